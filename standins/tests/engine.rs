//! Tests of the engine stand-in through its HTTP API.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use jujubeusher_standins::engine::{CancelReason, Engine, EngineOptions, Faults};

/// Maximum wait for a response or a condition.
const TIMEOUT: Duration = Duration::from_secs(20);

fn bind(options: EngineOptions) -> Engine {
    Engine::bind(SocketAddr::from(([127, 0, 0, 1], 0)), options).expect("the engine binds")
}

fn options() -> EngineOptions {
    EngineOptions::named("e")
}

fn post(engine: &Engine, attempt: &str, chat: &str, priority: u8, body: &str) -> TcpStream {
    let mut stream = TcpStream::connect(engine.address()).expect("the engine listens");
    stream
        .set_read_timeout(Some(TIMEOUT))
        .expect("the timeout is valid");
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         x-attempt-id: {attempt}\r\nx-chat-id: {chat}\r\nx-priority: {priority}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream
        .write_all(request.as_bytes())
        .expect("the request is sent");
    stream
}

fn request(engine: &Engine, method: &str, path: &str, headers: &str) -> String {
    let mut stream = TcpStream::connect(engine.address()).expect("the engine listens");
    stream
        .set_read_timeout(Some(TIMEOUT))
        .expect("the timeout is valid");
    let request =
        format!("{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}\r\n");
    stream
        .write_all(request.as_bytes())
        .expect("the request is sent");
    read_response(stream)
}

fn read_response(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < TIMEOUT,
            "condition not met within {TIMEOUT:?}: {what}"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Reads up to the id line of this event.
fn read_to_event(stream: &TcpStream, id: u32) {
    let id_line = format!("id: {id}");
    let mut lines = BufReader::new(stream.try_clone().expect("the stream can be cloned")).lines();
    assert!(lines.any(|line| line.is_ok_and(|line| line == id_line)));
}

const STREAM: &str = r#"{"stream":true}"#;

/// Guards against a resumed stream that loses or repeats events, and against a resume of an
/// unknown stream.
#[test]
fn resume_continues_after_last_event() {
    let engine = bind(options());
    engine.set_faults(Faults {
        cut_after_events: Some(3),
        ..Faults::default()
    });
    let cut = read_response(post(&engine, "a1", "c", 1, STREAM));
    assert!(cut.contains("id: 3\n") && !cut.contains("id: 4\n"), "{cut}");
    let resumed = request(&engine, "GET", "/v1/streams/a1", "last-event-id: 3\r\n");
    assert!(
        !resumed.contains("id: 3\n") && resumed.contains("id: 4\n"),
        "{resumed}"
    );
    assert!(
        resumed.contains("x-attempt-id: a1") && resumed.contains("[DONE]"),
        "{resumed}"
    );
    assert_eq!(engine.resumes(), ["a1"]);
    assert!(request(&engine, "GET", "/v1/streams/a2", "").starts_with("HTTP/1.1 404"));
}

/// Guards against a continuation that generates already delivered tokens again.
#[test]
fn continue_text_skips_delivered_tokens() {
    let engine = bind(options());
    let body = r#"{"stream":true,"continue_text":"x-1 x-2 x-3 "}"#;
    let response = read_response(post(&engine, "a1", "c", 1, body));
    assert!(
        !response.contains("e-3 ") && response.contains("e-4 "),
        "{response}"
    );
    assert_eq!(engine.runs()[0].continued_tokens, 3);
}

/// Guards against a run that keeps its slot after a cancel request or after the caller
/// disconnected.
#[test]
fn cancel_by_request_and_by_disconnect_frees_slot() {
    let engine = bind(EngineOptions {
        token_interval: Duration::from_secs(60),
        resume_window: Duration::from_millis(20),
        ..options()
    });
    let cancelled = post(&engine, "a1", "c", 1, STREAM);
    read_to_event(&cancelled, 1);
    assert!(request(&engine, "DELETE", "/v1/streams/a1", "").starts_with("HTTP/1.1 204"));
    let disconnected = post(&engine, "a2", "c", 1, STREAM);
    read_to_event(&disconnected, 1);
    drop(disconnected);
    wait_until("both runs have ended", || engine.load() == (0, 0));
    let reasons: Vec<_> = engine.cancels().iter().map(|c| c.reason).collect();
    assert_eq!(reasons, [CancelReason::Requested, CancelReason::Disconnect]);
}

/// Guards against a queue that ignores priority, and against a load report without the
/// configured lag.
#[test]
fn slots_queue_by_priority_and_report_with_lag() {
    let engine = bind(EngineOptions {
        slots: 1,
        first_token_delay: Duration::from_millis(100),
        load_lag: Duration::from_secs(60),
        ..options()
    });
    let first = post(&engine, "a1", "c", 1, STREAM);
    wait_until("the slot is occupied", || engine.load() == (1, 0));
    let low = post(&engine, "a2", "c", 0, STREAM);
    wait_until("one request waits", || engine.load() == (1, 1));
    let high = post(&engine, "a3", "c", 1, STREAM);
    wait_until("two requests wait", || engine.load() == (1, 2));
    let report = request(&engine, "GET", "/v1/load", "");
    assert!(
        report.contains("\"running\":0") && report.contains("\"slots\":1"),
        "{report}"
    );
    for stream in [first, high, low] {
        assert!(read_response(stream).contains("[DONE]"));
    }
    assert_eq!(engine.finished(), ["a1", "a3", "a2"]);
}

/// Guards against a cache that exceeds its capacity and against cache events that are listed
/// although they are to be hidden.
#[test]
fn cache_evicts_and_hides_events() {
    let engine = bind(EngineOptions {
        cache_capacity_chats: 2,
        hidden_cache_event_interval: 4,
        ..options()
    });
    for (number, chat) in ["c1", "c2", "c1", "c3", "c2"].iter().enumerate() {
        let response = read_response(post(&engine, &format!("a{number}"), chat, 1, STREAM));
        let word = if engine.runs()[number].is_hit {
            "hit"
        } else {
            "miss"
        };
        assert!(response.contains(&format!("x-cache: {word}")), "{response}");
    }
    let hits: Vec<bool> = engine.runs().iter().map(|run| run.is_hit).collect();
    assert_eq!(hits, [false, false, true, false, false]);
    let events = request(&engine, "GET", "/v1/cache/events?after=1", "");
    assert!(
        events.contains("\"number\":3") && !events.contains("\"number\":1,"),
        "{events}"
    );
    assert!(!events.contains("\"number\":4"), "{events}");
}

/// Guards against a crash that leaves connections open or the port in use.
#[test]
fn crash_closes_connections_and_restarts_on_same_port() {
    let mut engine = bind(EngineOptions {
        token_interval: Duration::from_secs(60),
        ..options()
    });
    let unmarked = post(&engine, "a1", "c", 1, STREAM);
    read_to_event(&unmarked, 1);
    let marked = post(
        &engine,
        "a2",
        "c",
        1,
        r#"{"stream":true,"x":"CRASH-THE-ENGINE"}"#,
    );
    assert!(!read_response(marked).contains("[DONE]"));
    assert!(!read_response(unmarked).contains("[DONE]"));
    wait_until("the port is closed", || {
        TcpStream::connect(engine.address()).is_err()
    });
    assert_eq!(engine.crashes(), 1);
    let address = engine.address();
    engine.restart().expect("the port is free");
    assert_eq!(engine.address(), address);
    assert!(request(&engine, "GET", "/v1/streams/a1", "").starts_with("HTTP/1.1 404"));
}

/// Guards against configured faults that the engine does not inject.
#[test]
fn faults_appear_in_responses() {
    let engine = bind(options());
    let response = |faults: Faults, body: &str| {
        engine.set_faults(faults);
        read_response(post(&engine, "a1", "c", 1, body))
    };
    let misattributed = response(
        Faults {
            misattributed_responses: 1,
            ..Faults::default()
        },
        STREAM,
    );
    assert!(
        misattributed.contains("x-attempt-id: another-attempt"),
        "{misattributed}"
    );
    let ended = response(
        Faults {
            end_after_events: Some(2),
            ..Faults::default()
        },
        STREAM,
    );
    assert!(
        ended.ends_with("0\r\n\r\n") && !ended.contains("[DONE]"),
        "{ended}"
    );
    let unframed = response(
        Faults {
            is_unframed: true,
            ..Faults::default()
        },
        "{}",
    );
    assert!(
        !unframed.contains("content-length") && !unframed.contains("chunked"),
        "{unframed}"
    );
    let cut = response(
        Faults {
            cut_after_events: Some(0),
            ..Faults::default()
        },
        "{}",
    );
    assert!(
        cut.contains("content-length") && !cut.ends_with('}'),
        "{cut}"
    );
    let refused = response(
        Faults {
            status: Some(503),
            ..Faults::default()
        },
        STREAM,
    );
    assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
}

/// Guards against a long response without pauses that starves the other stand-ins of the process:
/// on a busy machine, concurrent chats failed with status 502 after 10 s.
#[test]
fn unpaced_run_lets_others_run() {
    let mut unpaced = options();
    unpaced.tokens = 300_000;
    unpaced.first_token_delay = Duration::ZERO;
    unpaced.token_interval = Duration::ZERO;
    let (long, other) = (bind(unpaced), bind(options()));
    let _unread = post(&long, "a1", "c", 1, STREAM);
    wait_until("the long run has started", || !long.runs().is_empty());
    let response = read_response(post(&other, "a2", "c", 1, STREAM));
    assert!(response.contains("[DONE]"), "{response}");
    assert!(
        long.finished().is_empty(),
        "the other engine responded only after the long run"
    );
}
