use super::*;

fn id(name: &str) -> ServerId {
    ServerId::from(name)
}

#[test]
fn fetch_source_overflow_fetches_from_the_first_in_order() {
    let order = [id("a"), id("b")];
    assert_eq!(fetch_source(&id("b"), None, &order, false), Some(&id("a")));
}

#[test]
fn fetch_source_home_itself_fetches_nothing() {
    let order = [id("a"), id("b")];
    assert_eq!(fetch_source(&id("a"), None, &order, false), None);
    assert_eq!(fetch_source(&id("a"), Some(&id("a")), &order, true), None);
}

/// Servers that join become the first for some prompts and would read all of them anew.
#[test]
fn fetch_source_new_first_fetches_from_the_one_before() {
    let order = [id("a"), id("b")];
    assert_eq!(fetch_source(&id("a"), None, &order, true), Some(&id("b")));
    assert_eq!(
        fetch_source(&id("a"), Some(&id("b")), &order, true),
        Some(&id("b"))
    );
}

#[test]
fn home_is_forgotten_after_a_while() {
    let mut homes = PromptHomes::default();
    homes.record(1, &id("a"), 0);
    assert_eq!(homes.home(1, KEEP_MS - 1), Some(&id("a")));
    assert_eq!(homes.home(1, KEEP_MS), None);
}

#[test]
fn record_memory_is_bounded() {
    let mut homes = PromptHomes::default();
    for hash in 0..2 * HOMES_MAX as u64 {
        homes.record(hash, &id("a"), 0);
    }
    assert_eq!(homes.homes.len(), HOMES_MAX);
    assert_eq!(homes.home(0, 1), None);
}
