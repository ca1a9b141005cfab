use super::*;

/// Guards against a flood of one event that fills the queue, so that the lines explaining it are
/// dropped.
#[test]
fn check_line_flood_of_one_event_keeps_others() {
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

/// Guards against unbounded memory use with ever new event names.
#[test]
fn check_line_many_events_use_bounded_memory() {
    let mut limiter = LineRateLimiter::new(1);
    for number in 0..1_000 {
        limiter.check_line(&format!("e{number}"), 5);
    }
    assert!(limiter.windows.len() <= EVENTS_MAX + 1);
}

/// Guards against a missing name for a line without an event.
#[test]
fn event_name_any_line() {
    assert_eq!(event_name("time_ms=1 level=info event=retry id=x"), "retry");
    assert_eq!(event_name("free text"), OTHER_EVENTS);
}
