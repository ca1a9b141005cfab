use super::*;

fn token(text: &str) -> String {
    serde_json::json!({"choices": [{"delta": {"content": text}}]}).to_string()
}

fn streamed(events: u64) -> Recovery {
    let mut recovery = Recovery::new();
    for id in 1..=events {
        let action = recovery.on_event(&id.to_string(), "", &token(&format!("t{id} ")));
        assert_eq!(action, EventAction::Deliver { id });
    }
    recovery
}

/// Guards against duplicate or lost events when an engine sends events again or skips some.
#[test]
fn on_event_drops_duplicates_and_finds_gaps() {
    let mut recovery = streamed(3);
    assert_eq!(
        recovery.on_event("2", "", &token("x")),
        EventAction::Duplicate
    );
    assert_eq!(
        recovery.on_event("5", "", &token("x")),
        EventAction::Broken(StreamError::Gap)
    );
    assert_eq!(
        recovery.on_event("4", "", &token("t4 ")),
        EventAction::Deliver { id: 4 }
    );
    assert_eq!(recovery.text(), Some("t1 t2 t3 t4 "));
}

/// Guards against event ids that restart or skip numbers for the caller when another engine
/// continues the stream.
#[test]
fn on_continued_event_ids_stay_consecutive() {
    let mut recovery = streamed(3);
    assert_eq!(
        recovery.on_error(StreamError::ConnectionLost),
        Step::Resume { after: 3 }
    );
    assert_eq!(recovery.on_resume_failed(), Step::Continue);
    recovery.on_continued();
    assert_eq!(
        recovery.on_event("1", "", &token("t4 ")),
        EventAction::Deliver { id: 4 }
    );
    assert_eq!(
        recovery.on_error(StreamError::ConnectionLost),
        Step::Resume { after: 1 }
    );
}

/// Guards against endless resumption of a stream that makes no progress.
#[test]
fn on_error_without_progress_continues() {
    let mut recovery = streamed(2);
    assert_eq!(
        recovery.on_error(StreamError::EndedEarly),
        Step::Resume { after: 2 }
    );
    assert_eq!(recovery.on_error(StreamError::Stalled), Step::Continue);
    let mut steps = Vec::new();
    for _ in 0..ERRORS_MAX {
        recovery.on_continued();
        steps.push(recovery.on_error(StreamError::EngineError));
    }
    let last = steps.last();
    assert_eq!(last, Some(&Step::GiveUp("the stream broke too often")));
}

/// Guards against continuing a response that has finished, or one whose delivered content
/// cannot be repeated as text.
#[test]
fn on_resume_failed_continues_only_unfinished_text() {
    let cases = [
        (r#"{"choices":[{"delta":{},"finish_reason":"stop"}]}"#, true),
        (r#"{"choices":[{"delta":{"tool_calls":[]}}]}"#, true),
        (r#"{"choices":[]}"#, true),
        ("not json", true),
        (
            r#"{"choices":[{"delta":{"role":"assistant"},"finish_reason":null}]}"#,
            false,
        ),
    ];
    for (data, gives_up) in cases {
        let mut recovery = streamed(1);
        recovery.on_event("2", "", data);
        let step = recovery.on_resume_failed();
        assert_eq!(
            matches!(step, Step::GiveUp(_)),
            gives_up,
            "{data}: {step:?}"
        );
    }
}

/// Guards against resuming a run whose events have no ids.
#[test]
fn on_error_without_ids_continues() {
    let mut recovery = Recovery::new();
    assert_eq!(
        recovery.on_event("", "", &token("a")),
        EventAction::Deliver { id: 1 }
    );
    assert_eq!(
        recovery.on_event("", "", &token("b")),
        EventAction::Deliver { id: 2 }
    );
    assert_eq!(
        recovery.on_error(StreamError::ConnectionLost),
        Step::Continue
    );
}
