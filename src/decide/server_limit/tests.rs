use super::*;

const FIRST: Incarnation = Incarnation(1);

/// Guards against a limit that is lifted by a response to a request sent before another response
/// named it, and against one that never ends.
#[test]
fn apply_later_word_holds() {
    let mut limit = ServerLimit::new(FIRST, 2.0, 1_000);
    assert_eq!(limit.apply(FIRST, None, 900), Effect::None);
    assert_eq!(limit.limit_per_s(FIRST, 1_000), Some(2.0));
    assert_eq!(limit.apply(FIRST, None, 1_001), Effect::Changed);
    assert_eq!(limit.limit_per_s(FIRST, 1_100), None);
    assert_eq!(limit.apply(FIRST, None, 1_100), Effect::None);
    assert!(limit.was_just_lifted(1_100) && !limit.was_just_lifted(2_050));
    assert_eq!(limit.apply(FIRST, Some(3.0), 1_200), Effect::Changed);
    assert_eq!(limit.limit_per_s(FIRST, 1_200), Some(3.0));
    assert_eq!(limit.limit_per_s(FIRST, 1_200 + LIMIT_KEEP_MS), None);
}

/// Guards against a limit of an earlier incarnation that holds for the next one.
#[test]
fn apply_limit_belongs_to_an_incarnation() {
    let next = Incarnation(2);
    let mut limit = ServerLimit::new(FIRST, 2.0, 1_000);
    assert_eq!(limit.limit_per_s(next, 1_000), None);
    assert_eq!(limit.apply(next, Some(4.0), 500), Effect::Changed);
    assert_eq!(limit.apply(FIRST, Some(2.0), 2_000), Effect::None);
    assert_eq!(limit.limit_per_s(next, 2_000), Some(4.0));
}

/// Guards against updates that are passed on for each response.
#[test]
fn apply_same_limit_is_refreshed_only_after_a_while() {
    let mut limit = ServerLimit::new(FIRST, 2.0, 0);
    assert_eq!(limit.apply(FIRST, Some(2.1), 100), Effect::None);
    assert_eq!(limit.apply(FIRST, Some(2.0), REFRESH_MS), Effect::Refreshed);
    assert_eq!(
        limit.apply(FIRST, Some(2.0), REFRESH_MS + 100),
        Effect::None
    );
    assert_eq!(
        limit.apply(FIRST, Some(3.0), REFRESH_MS + 200),
        Effect::Changed
    );
}
