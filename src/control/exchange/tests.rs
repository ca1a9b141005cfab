use super::*;

/// Guards against publishing values that did not change, and against not publishing a value
/// that returned to 0.
#[test]
fn is_due_on_changes_and_repeats_only() {
    let mut published = PublishedValues::default();
    let mut due = |value, now_ms| published.is_due(&"a", value, 1, 1_000, now_ms);
    assert!(!due(0, 0));
    assert!(due(3, 10));
    assert!(!due(3, 500));
    assert!(due(3, 1_010));
    assert!(due(0, 1_020));
    assert!(!due(0, 9_000));
}

/// Guards against publishing a row for each request of a busy server.
#[test]
fn is_due_ignores_changes_below_the_step() {
    let mut published = PublishedValues::default();
    assert!(published.is_due(&"a", 40, 4, 1_000, 0));
    assert!(!published.is_due(&"a", 43, 4, 1_000, 10));
    assert!(published.is_due(&"a", 44, 4, 1_000, 20));
}
