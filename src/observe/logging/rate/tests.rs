use super::*;

/// A flood of one event once filled the queue, and the lines that explain it were dropped.
#[test]
fn check_line_flood_of_one_event_leaves_others() {
    let mut limiter = LineRateLimiter::new(10);
    let written =
        (0..100).filter(|_| limiter.check_line("rejected", 5) != LineDecision::Suppressed);
    assert_eq!(written.count(), 10);
    assert_eq!(limiter.check_line("server_left", 5), LineDecision::Written);
    assert_eq!(
        limiter.check_line("rejected", 1_005),
        LineDecision::WrittenAfterSuppressed(90)
    );
    assert_eq!(limiter.check_line("rejected", 1_006), LineDecision::Written);
}

#[test]
fn check_line_many_events_take_bounded_memory() {
    let mut limiter = LineRateLimiter::new(1);
    for number in 0..1_000 {
        limiter.check_line(&format!("e{number}"), 5);
    }
    assert!(limiter.windows.len() <= EVENTS_MAX + 1);
}

#[test]
fn event_name_any_line() {
    assert_eq!(event_name("time_ms=1 level=info event=retry id=x"), "retry");
    assert_eq!(event_name("free text"), OTHER_EVENTS);
}
