use super::*;

fn id(name: &str) -> ServerId {
    ServerId::from(name)
}

fn book(faults: &[(&str, usize, usize)]) -> HealthBook {
    let mut book = HealthBook::default();
    for (name, every, count) in faults {
        for number in 1..=*count {
            book.outcome(&id(name), number % every == 0, 0);
        }
    }
    book
}

/// Each request that tries an unreachable server waits for the connection's time limit, so none
/// may be used to find out whether it is back.
#[test]
fn order_unreachable_server_gets_no_request_however_long_it_lasts() {
    let mut book = HealthBook::default();
    book.unreachable(&id("a"), 0);
    for now_ms in (0..60_000).step_by(500) {
        assert_eq!(book.order(vec![id("a"), id("b")], now_ms), [id("b")]);
    }
    assert!(book.order(vec![id("a")], 0).is_empty());
}

#[test]
fn due_unreachable_server_is_looked_at_until_it_is_reached() {
    let mut book = HealthBook::default();
    book.unreachable(&id("a"), 0);
    assert!(book.due(PROBE_MS - 1).is_empty());
    assert_eq!(book.due(PROBE_MS), [id("a")]);
    assert!(book.due(PROBE_MS + 1).is_empty());
    assert!(book.reached(&id("a")));
    assert!(book.due(10 * PROBE_MS).is_empty());
}

#[test]
fn order_faulty_server_comes_last_for_a_while() {
    let book = book(&[("a", 2, 20), ("b", 100, 20)]);
    assert_eq!(book.order(vec![id("a"), id("b")], 1), [id("b"), id("a")]);
    let later_ms = DOUBT_MAX_MS + 1;
    assert_eq!(
        book.order(vec![id("a"), id("b")], later_ms),
        [id("a"), id("b")]
    );
}

/// A kind of request that fails for one in seven everywhere must not turn its servers away.
#[test]
fn order_faults_common_to_all_servers_change_nothing() {
    let book = book(&[("a", 7, 70), ("b", 7, 70), ("c", 7, 70)]);
    let all = vec![id("a"), id("b"), id("c")];
    assert_eq!(book.order(all.clone(), 1), all);
}

#[test]
fn outcome_first_faults_decide_nothing() {
    let book = book(&[("a", 1, 2)]);
    assert_eq!(book.order(vec![id("a"), id("b")], 1), [id("a"), id("b")]);
}

#[test]
fn order_crowded_server_comes_last_for_a_moment() {
    let mut book = HealthBook::default();
    book.crowded(&id("a"), 0);
    assert_eq!(book.order(vec![id("a"), id("b")], 1), [id("b"), id("a")]);
    let later_ms = CROWDED_MS + 1;
    assert_eq!(
        book.order(vec![id("a"), id("b")], later_ms),
        [id("a"), id("b")]
    );
}
