use super::*;

/// Observes a run each time that it asks for it, from `from_ms` to `to_ms`; returns when it came in
/// doubt.
fn observe_until(doubt: &mut RunDoubt, from_ms: u64, to_ms: u64, progress_ms: u64) -> Option<u64> {
    let mut now_ms = from_ms;
    while now_ms < to_ms {
        now_ms += doubt.next_check_ms();
        if doubt.observe(now_ms, progress_ms) {
            return Some(now_ms);
        }
    }
    None
}

/// Guards against a time-out that is kept late, as it is observed only now and then.
#[test]
fn observe_silent_run_is_in_doubt_on_time() {
    for overdue_ms in [1, 200, 250, 1_333, 4_000] {
        let mut doubt = RunDoubt::new(overdue_ms, 100);
        let at_ms = observe_until(&mut doubt, 100, 10_000, 0);
        assert_eq!(at_ms, Some(100 + overdue_ms));
    }
}

/// Guards against all runs of a router coming in doubt at once after it was paused: it has observed
/// nothing of that time.
#[test]
fn observe_pause_of_the_router_counts_as_one_check() {
    let mut doubt = RunDoubt::new(2_000, 0);
    assert!(!doubt.observe(250, 0));
    assert!(!doubt.observe(5_250, 0));
    let at_ms = observe_until(&mut doubt, 5_250, 20_000, 0);
    assert_eq!(at_ms, Some(5_250 + 2_000 - 250 - OBSERVED_MAX_MS));
}

/// Guards against a run that goes on and is in doubt, however slow it is.
#[test]
fn observe_progress_begins_the_time_anew() {
    let mut doubt = RunDoubt::new(1_000, 0);
    for step in 1..50 {
        let progress_ms = step * 900;
        assert!(!doubt.observe(progress_ms + 50, progress_ms), "{step}");
    }
}
