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

/// Guards against requests that are sent to an unreachable server to find out whether it has
/// recovered: each would wait for the connection time-out.
#[test]
fn order_unreachable_server_is_never_a_candidate() {
    let mut health = ServerHealth::default();
    health.record_unreachable(&id("a"), 0);
    for now_ms in (0..60_000).step_by(500) {
        assert_eq!(health.order(vec![id("a"), id("b")], now_ms), [id("b")]);
    }
    assert!(health.order(vec![id("a")], 0).is_empty());
}

/// Guards against an unreachable server that is never probed again, or is probed after it was
/// reached.
#[test]
fn due_probes_unreachable_server_is_probed_until_it_is_reached() {
    let mut health = ServerHealth::default();
    health.record_unreachable(&id("a"), 0);
    assert!(health.due_probes(PROBE_MS - 1).is_empty());
    assert_eq!(health.due_probes(PROBE_MS), [id("a")]);
    assert!(health.due_probes(PROBE_MS + 1).is_empty());
    assert!(health.record_reached(&id("a")));
    assert!(health.due_probes(10 * PROBE_MS).is_empty());
}

/// Guards against preferring a server that fails far more often than the others, and against a
/// penalty that never ends.
#[test]
fn order_faulty_server_comes_last_for_a_while() {
    let health = health_after(&[("a", 2, 20), ("b", 100, 20)]);
    assert_eq!(health.order(vec![id("a"), id("b")], 1), [id("b"), id("a")]);
    let later_ms = PENALTY_MAX_MS + 1;
    assert_eq!(
        health.order(vec![id("a"), id("b")], later_ms),
        [id("a"), id("b")]
    );
}

/// Guards against ordering a server last for faults that are as frequent on every server, such
/// as a kind of request that fails for one in seven.
#[test]
fn order_faults_common_to_all_servers_change_nothing() {
    let health = health_after(&[("a", 7, 70), ("b", 7, 70), ("c", 7, 70)]);
    let all = vec![id("a"), id("b"), id("c")];
    assert_eq!(health.order(all.clone(), 1), all);
}

/// Guards against ordering a server last on too few outcomes.
#[test]
fn record_outcome_first_faults_change_nothing() {
    let health = health_after(&[("a", 1, 2)]);
    assert_eq!(health.order(vec![id("a"), id("b")], 1), [id("a"), id("b")]);
}

/// Guards against sending requests to a server that has just refused one, and against a penalty
/// that never ends.
#[test]
fn order_refusing_server_comes_last_for_a_while() {
    let mut health = ServerHealth::default();
    health.record_refusal(&id("a"), 0);
    assert_eq!(health.order(vec![id("a"), id("b")], 1), [id("b"), id("a")]);
    let later_ms = REFUSAL_PENALTY_MS + 1;
    assert_eq!(
        health.order(vec![id("a"), id("b")], later_ms),
        [id("a"), id("b")]
    );
}
