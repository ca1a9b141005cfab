use super::*;

/// A flood of one event once filled the queue, and the lines that explain it were dropped.
#[test]
fn line_flood_of_one_event_leaves_others() {
    let mut bound = RateBound::new(10);
    let written = (0..100).filter(|_| bound.line("rejected", 5) != Verdict::LeftOut);
    assert_eq!(written.count(), 10);
    assert_eq!(bound.line("server_left", 5), Verdict::Written);
    assert_eq!(bound.line("rejected", 1_005), Verdict::WrittenAfter(90));
    assert_eq!(bound.line("rejected", 1_006), Verdict::Written);
}

#[test]
fn line_many_events_take_bounded_memory() {
    let mut bound = RateBound::new(1);
    for number in 0..1_000 {
        bound.line(&format!("e{number}"), 5);
    }
    assert!(bound.windows.len() <= EVENTS_MAX + 1);
}

#[test]
fn event_of_any_line() {
    assert_eq!(event_of("time_ms=1 level=info event=retry id=x"), "retry");
    assert_eq!(event_of("free text"), OTHER_EVENTS);
}
