use super::*;

/// Guards against a process that was paused and takes its old table for the current one.
#[test]
fn is_current_only_after_updates_without_a_gap() {
    let mut freshness = Freshness::default();
    assert!(!freshness.is_current(5_000));
    for now_ms in (5_000..=11_000).step_by(1_000) {
        assert!(!freshness.is_current(now_ms - 1));
        freshness.record_read(now_ms);
    }
    assert!(freshness.is_current(11_000));
    for now_ms in (20_000..26_000).step_by(1_000) {
        assert!(!freshness.is_current(now_ms));
        freshness.record_read(now_ms);
    }
    freshness.record_read(26_000);
    assert!(freshness.is_current(26_000));
}
