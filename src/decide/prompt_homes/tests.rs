use super::*;

fn id(name: &str) -> ServerId {
    ServerId::from(name)
}

/// Guards against a server that gets a request because the first one is overloaded, and prefills
/// the parts instead of fetching them from there.
#[test]
fn fetch_source_overflow_fetches_from_the_first_in_order() {
    let order = [id("a"), id("b")];
    assert_eq!(fetch_source(&id("b"), None, &order, false), Some(&id("a")));
}

/// Guards against a server that fetches from itself, or fetches parts that it holds.
#[test]
fn fetch_source_home_itself_fetches_nothing() {
    let order = [id("a"), id("b")];
    assert_eq!(fetch_source(&id("a"), None, &order, false), None);
    assert_eq!(fetch_source(&id("a"), Some(&id("a")), &order, true), None);
}

/// Guards against a joining server that becomes the first for some prompts and prefills them all
/// again.
#[test]
fn fetch_source_joining_first_fetches_from_previous_first() {
    let order = [id("a"), id("b")];
    assert_eq!(fetch_source(&id("a"), None, &order, true), Some(&id("b")));
    assert_eq!(
        fetch_source(&id("a"), Some(&id("b")), &order, true),
        Some(&id("b"))
    );
}

/// Guards against fetching from a server that has probably evicted the parts.
#[test]
fn home_expires_after_the_retention_time() {
    let mut homes = PromptHomes::default();
    homes.record(1, &id("a"), 0);
    assert_eq!(homes.home(1, HOME_KEEP_MS - 1), Some(&id("a")));
    assert_eq!(homes.home(1, HOME_KEEP_MS), None);
}

/// Guards against memory that grows with the number of different prompts.
#[test]
fn record_number_of_homes_is_bounded() {
    let mut homes = PromptHomes::default();
    for hash in 0..2 * HOMES_MAX as u64 {
        homes.record(hash, &id("a"), 0);
    }
    assert_eq!(homes.homes.len(), HOMES_MAX);
    assert_eq!(homes.home(0, 1), None);
}
