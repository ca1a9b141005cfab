use super::*;

fn id(name: &str) -> ServerId {
    ServerId::from(name)
}

fn health_after(faults: &[(&str, usize, usize)]) -> ServerHealth {
    let mut health = ServerHealth::default();
    for (name, every, count) in faults {
        for number in 1..=*count {
            health.record_outcome(&id(name), number % every == 0, 0);
        }
    }
    health
}

/// Each request that tries an unreachable server waits for the connection's time limit, so none
/// may be used to find out whether it is back.
#[test]
fn order_unreachable_server_gets_no_request_however_long_it_lasts() {
    let mut health = ServerHealth::default();
    health.record_unreachable(&id("a"), 0);
    for now_ms in (0..60_000).step_by(500) {
        assert_eq!(health.order(vec![id("a"), id("b")], now_ms), [id("b")]);
    }
    assert!(health.order(vec![id("a")], 0).is_empty());
}

#[test]
fn due_unreachable_server_is_looked_at_until_it_is_reached() {
    let mut health = ServerHealth::default();
    health.record_unreachable(&id("a"), 0);
    assert!(health.due_probes(PROBE_MS - 1).is_empty());
    assert_eq!(health.due_probes(PROBE_MS), [id("a")]);
    assert!(health.due_probes(PROBE_MS + 1).is_empty());
    assert!(health.record_reached(&id("a")));
    assert!(health.due_probes(10 * PROBE_MS).is_empty());
}

#[test]
fn order_faulty_server_comes_last_for_a_while() {
    let health = health_after(&[("a", 2, 20), ("b", 100, 20)]);
    assert_eq!(health.order(vec![id("a"), id("b")], 1), [id("b"), id("a")]);
    let later_ms = DOUBT_MAX_MS + 1;
    assert_eq!(
        health.order(vec![id("a"), id("b")], later_ms),
        [id("a"), id("b")]
    );
}

/// A kind of request that fails for one in seven everywhere must not turn its servers away.
#[test]
fn order_faults_common_to_all_servers_change_nothing() {
    let health = health_after(&[("a", 7, 70), ("b", 7, 70), ("c", 7, 70)]);
    let all = vec![id("a"), id("b"), id("c")];
    assert_eq!(health.order(all.clone(), 1), all);
}

#[test]
fn outcome_first_faults_decide_nothing() {
    let health = health_after(&[("a", 1, 2)]);
    assert_eq!(health.order(vec![id("a"), id("b")], 1), [id("a"), id("b")]);
}

#[test]
fn order_crowded_server_comes_last_for_a_moment() {
    let mut health = ServerHealth::default();
    health.record_connection_limit(&id("a"), 0);
    assert_eq!(health.order(vec![id("a"), id("b")], 1), [id("b"), id("a")]);
    let later_ms = CROWDED_MS + 1;
    assert_eq!(
        health.order(vec![id("a"), id("b")], later_ms),
        [id("a"), id("b")]
    );
}
