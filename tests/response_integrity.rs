//! Complete responses (requirement R2): whatever an engine does, the caller receives each event
//! once and in order, or a response that is recognisably incomplete.

mod common;

use std::time::Duration;

use common::caller::{
    Received, home_engine, is_complete_in_parts, open_env, read_response, read_to_event, send_chat,
    start_router, stream_body, stream_chat,
};
use common::{Env, RouterProcess, any_port, get, wait_until};
use jujubeusher::ids::ChatId;
use jujubeusher_standins::engine::{Cancel, CancelReason, EngineOptions, Faults};
use jujubeusher_standins::proxy::{End, Faults as ProxyFaults, Proxy, RandomFaults};

const TOKENS: u64 = 8;
const TIMEOUTS: &str = "[timeouts]\nfirst_event_ms = 2000\nnext_event_ms = 300\n";

fn open(engines: usize, options: impl Fn(EngineOptions) -> EngineOptions) -> (Env, RouterProcess) {
    let env = open_env(engines, options);
    let router = start_router(&env, "r1", &env.inventory(), TIMEOUTS);
    (env, router)
}

fn slow(options: EngineOptions) -> EngineOptions {
    EngineOptions {
        token_interval: Duration::from_millis(30),
        ..options
    }
}

/// Guards against a stream that ends early, or restarts, when the connection to its engine is lost.
#[test]
fn stream_cut_connection_is_resumed_on_the_same_engine() {
    let (env, router) = open(3, |options| options);
    let home = home_engine(&router, "c");
    for faults in [
        Faults {
            cut_after_events: Some(3),
            ..Faults::default()
        },
        Faults {
            end_after_events: Some(5),
            ..Faults::default()
        },
    ] {
        env.engines[home].set_faults(faults);
        let response = stream_chat(router.address, "c");
        assert!(response.is_complete(TOKENS), "{response:?}");
    }
    assert_eq!(env.engines[home].resumes().len(), 2);
    let others = (0..3).filter(|index| *index != home);
    for index in others {
        assert!(env.engines[index].runs().is_empty(), "no second run");
    }
}

/// Guards against lost or duplicate events when the engine refuses to resume the stream and another
/// engine has to continue it from the text that the caller already has.
#[test]
fn stream_without_resume_continues_from_the_text_delivered() {
    let (env, router) = open(3, slow);
    let home = home_engine(&router, "c");
    env.engines[home].set_faults(Faults {
        cut_after_events: Some(3),
        refuses_resume: true,
        ..Faults::default()
    });
    let response = stream_chat(router.address, "c");
    assert!(response.is_complete(TOKENS), "{response:?}");
    let continued: Vec<u32> = env
        .engines
        .iter()
        .flat_map(|engine| engine.runs())
        .map(|run| run.continued_tokens)
        .filter(|tokens| *tokens > 0)
        .collect();
    assert_eq!(continued, [3]);
    wait_until("the interrupted run is cancelled", || {
        env.engines[home].cancels().len() == 1
    });
    let id = response.header("x-request-id").expect("a request id");
    let explained = get(router.admin, &format!("/explain/{id}")).body;
    assert!(explained.contains("continued on e"), "{explained}");
}

/// Guards against a response that ends early because its engine crashed.
#[test]
fn stream_engine_crashes_continues_elsewhere() {
    let (mut env, router) = open(3, slow);
    let home = home_engine(&router, "c");
    let caller = send_chat(router.address, "c", "", &stream_body("c"));
    let first = read_to_event(&caller, 2);
    env.engines[home].crash();
    assert!(is_complete_in_parts(&first, caller, TOKENS));
}

/// Guards against waiting indefinitely for an engine that no longer sends events.
#[test]
fn stream_engine_stalls_continues_elsewhere() {
    let (env, router) = open(3, |options| options);
    let home = home_engine(&router, "c");
    env.engines[home].set_faults(Faults {
        stall_after_tokens: Some(4),
        ..Faults::default()
    });
    let response = stream_chat(router.address, "c");
    assert!(response.is_complete(TOKENS), "{response:?}");
    wait_until("the stalled run is cancelled", || {
        env.engines[home].cancels().len() == 1
    });
}

/// Guards against a stalled engine that keeps its stream open for good with comments.
#[test]
fn stream_engine_stalls_with_comments_continues_elsewhere() {
    let (env, router) = open(3, |options| options);
    let home = home_engine(&router, "c");
    env.engines[home].set_faults(Faults {
        stall_after_tokens: Some(4),
        sends_comments: true,
        ..Faults::default()
    });
    let response = stream_chat(router.address, "c");
    assert!(response.is_complete(TOKENS), "{response:?}");
}

/// Guards against a truncated response that looks complete.
#[test]
fn stream_all_engines_fail_ends_in_an_error_event() {
    let (env, router) = open(2, |options| options);
    for engine in &env.engines {
        engine.set_faults(Faults {
            cut_after_events: Some(2),
            refuses_resume: true,
            ..Faults::default()
        });
    }
    let response = stream_chat(router.address, "c");
    assert!(response.is_reported_failure(), "{response:?}");
    assert!(
        response.errors[0].contains("answer_incomplete"),
        "{response:?}"
    );
}

/// Guards against relaying an engine's response to a different request.
#[test]
fn response_to_another_request_is_dropped_and_its_connection_closed() {
    let (env, router) = open(3, slow);
    let home = home_engine(&router, "c");
    for body in [stream_body("c"), stream_body("c").replace("true", "false")] {
        env.engines[home].set_faults(Faults {
            misattributed_responses: 1,
            ..Faults::default()
        });
        let response = read_response(send_chat(router.address, "c", "", &body));
        assert_eq!(response.status, 200, "{response:?}");
        let server = response
            .header("x-backend-server")
            .expect("a server's name");
        assert_ne!(server, format!("e{home}"));
        let text = &response.body;
        assert!(!text.contains(&format!("e{home}-")), "{text}");
    }
    wait_until("the misattributed stream is cancelled", || {
        !env.engines[home].cancels().is_empty()
    });
}

/// Guards against relaying a truncated body as a complete one.
#[test]
fn unstreamed_body_truncated_or_without_framing_is_rejected() {
    let (env, router) = open(2, |options| options);
    let body = stream_body("c").replace("true", "false");
    let home = home_engine(&router, "c");
    for faults in [
        Faults {
            cut_after_events: Some(0),
            ..Faults::default()
        },
        Faults {
            is_unframed: true,
            ..Faults::default()
        },
    ] {
        env.engines[home].set_faults(faults.clone());
        let response = read_response(send_chat(router.address, "c", "", &body));
        assert_eq!(response.status, 200, "{response:?}");
        let value: serde_json::Value = serde_json::from_str(&response.body).expect("complete JSON");
        let text = value["choices"][0]["message"]["content"].as_str();
        assert!(
            text.is_some_and(|text| text.contains("-8 ")),
            "{response:?}"
        );
        for engine in &env.engines {
            engine.set_faults(faults.clone());
        }
        let response = read_response(send_chat(router.address, "c", "", &body));
        assert_eq!(response.status, 502, "{response:?}");
        assert_eq!(response.header("x-run-state"), Some("unknown"));
        for engine in &env.engines {
            engine.set_faults(Faults::default());
        }
    }
}

/// Guards against a body that is passed on without the field that states its coding.
#[test]
fn response_with_a_content_coding_is_rejected() {
    let (env, router) = open(2, |options| options);
    for engine in &env.engines {
        engine.set_faults(Faults {
            is_encoded: true,
            ..Faults::default()
        });
    }
    for body in [stream_body("c"), stream_body("c").replace("true", "false")] {
        let response = read_response(send_chat(router.address, "c", "", &body));
        assert_eq!(response.status, 502, "{response:?}");
        assert_eq!(response.header("x-run-state"), Some("unknown"));
    }
}

/// Guards against a status that is none, which hyper accepts and which was passed on.
#[test]
fn response_with_a_status_that_is_none_is_rejected() {
    let (env, router) = open(2, |options| options);
    for status in [600, 999] {
        for engine in &env.engines {
            engine.set_faults(Faults {
                status: Some(status),
                ..Faults::default()
            });
        }
        for body in [stream_body("c"), stream_body("c").replace("true", "false")] {
            let response = read_response(send_chat(router.address, "c", "", &body));
            assert_eq!(response.status, 502, "{status}: {response:?}");
            assert_eq!(response.header("x-run-state"), Some("unknown"));
        }
    }
}

/// Guards against a failure of a stream that has neither a length nor chunks and ends with its
/// connection: its last event tells that it is complete. If it ends before that, it is resumed.
#[test]
fn unframed_stream_is_complete_after_its_last_event() {
    let (env, router) = open(2, |options| options);
    for end_after_events in [None, Some(3)] {
        for engine in &env.engines {
            engine.set_faults(Faults {
                is_unframed: true,
                end_after_events,
                ..Faults::default()
            });
        }
        let response = stream_chat(router.address, "c");
        assert!(response.is_complete(TOKENS), "{response:?}");
    }
}

/// Guards against engines that keep working on requests whose callers have disconnected.
#[test]
fn caller_disconnected_cancels_the_engines_work() {
    let (env, router) = open(1, |options| EngineOptions {
        first_token_delay: Duration::from_millis(300),
        token_interval: Duration::from_secs(60),
        ..options
    });
    let engine = &env.engines[0];
    let streaming = send_chat(router.address, "c", "", &stream_body("c"));
    read_to_event(&streaming, 1);
    drop(streaming);
    wait_until("the stream is cancelled", || engine.cancels().len() == 1);
    let body = stream_body("c").replace("true", "false");
    for body in [stream_body("c"), body] {
        let waiting = send_chat(router.address, "c", "", &body);
        let before = engine.cancels().len();
        wait_until("the engine runs the request", || {
            engine.runs().len() == before + 1
        });
        drop(waiting);
        wait_until("the request is cancelled before its first event", || {
            engine.cancels().len() == before + 1
        });
    }
    wait_until("all three disconnects are counted", || {
        let metrics = get(router.admin, "/metrics").body;
        let disconnects = metrics.lines().filter(|line| line.contains("caller_gone"));
        let counts = disconnects.filter_map(|line| line.rsplit(' ').next()?.parse::<u32>().ok());
        counts.sum::<u32>() == 3
    });
    let is_requested = |cancel: &Cancel| cancel.reason == CancelReason::Requested;
    assert!(
        engine.cancels().iter().all(is_requested),
        "{:?}",
        engine.cancels()
    );
    wait_until("all slots are free", || engine.load() == (0, 0));
}

/// Guards against cancelling a deferred request because its caller disconnected.
#[test]
fn caller_disconnected_deferred_request_runs_to_completion() {
    let (env, router) = open(1, slow);
    let engine = &env.engines[0];
    let deferred = "x-urgency: deferred\r\n";
    let streaming = send_chat(router.address, "c", deferred, &stream_body("c"));
    read_to_event(&streaming, 2);
    drop(streaming);
    let body = stream_body("c").replace("true", "false");
    let waiting = send_chat(router.address, "c", deferred, &body);
    wait_until("both run", || engine.runs().len() == 2);
    drop(waiting);
    wait_until("both finish", || engine.finished().len() == 2);
    wait_until("the router has no request in flight", || {
        get(router.admin, "/dump")
            .body
            .contains("\"requests_in_flight\":0")
    });
    assert!(engine.cancels().is_empty(), "{:?}", engine.cancels());
}

/// Guards against a failed request, or an extra attempt, because the engine closed the pooled
/// connection while it was idle.
#[test]
fn pooled_connection_closed_while_idle_is_replaced() {
    let (mut env, router) = open(1, |options| options);
    for _ in 0..5 {
        let response = stream_chat(router.address, "c");
        assert!(response.is_complete(TOKENS), "{response:?}");
        let id = response.header("x-request-id").expect("a request id");
        let explained = get(router.admin, &format!("/explain/{id}")).body;
        let record: serde_json::Value = serde_json::from_str(&explained).expect("JSON");
        assert_eq!(
            record["attempts"].as_array().map(Vec::len),
            Some(1),
            "{explained}"
        );
        env.engines[0].restart().expect("the port is free");
    }
}

/// Concurrent callers in the test with random faults.
const CALLERS: usize = 8;
/// Streams of each caller, one after the other.
const STREAMS: usize = 100;

/// Streams [`STREAMS`] chats from each of [`CALLERS`] threads and returns each with its response.
fn stream_many(router: &RouterProcess) -> Vec<(String, Received)> {
    let address = router.address;
    let caller = move |caller: usize| {
        let chats = (0..STREAMS).map(move |number| format!("c{caller}-{number}"));
        let responses = chats.map(move |chat| {
            let response = stream_chat(address, &chat);
            (chat, response)
        });
        responses.collect::<Vec<_>>()
    };
    let threads: Vec<_> = (0..CALLERS)
        .map(|number| std::thread::spawn(move || caller(number)))
        .collect();
    let join = |thread: std::thread::JoinHandle<Vec<_>>| thread.join().expect("a caller ends");
    threads.into_iter().flat_map(join).collect()
}

/// Guards against missing, duplicate or misattributed events when connections end at random points
/// and engines return the responses of other requests. No truncated response may look complete.
#[test]
fn stream_with_random_faults_is_complete_or_reports_failure() {
    let env = open_env(4, |options| options);
    let proxies: Vec<Proxy> = env
        .engines
        .iter()
        .map(|engine| Proxy::bind(any_port(), engine.address()).expect("a proxy binds"))
        .collect();
    let mut inventory = env.inventory();
    for (engine, proxy) in env.engines.iter().zip(&proxies) {
        let (old, new) = (engine.address().to_string(), proxy.address().to_string());
        inventory = inventory.replace(&old, &new);
    }
    let router = start_router(&env, "r1", &inventory, TIMEOUTS);
    for (seed, (engine, proxy)) in env.engines.iter().zip(&proxies).enumerate() {
        engine.set_faults(Faults {
            misattributed_responses: 5,
            ..Faults::default()
        });
        proxy.set_faults(ProxyFaults {
            random: Some(RandomFaults {
                seed: seed as u64,
                end_probability: 0.3,
                end: if seed % 2 == 0 {
                    End::Reset
                } else {
                    End::Close
                },
                end_max_bytes: 1500,
                delay_max: Duration::from_millis(2),
            }),
            ..ProxyFaults::default()
        });
    }
    let responses = stream_many(&router);
    let mut complete = 0;
    for (chat, response) in &responses {
        let is_own = response
            .chats
            .iter()
            .all(|c| *c == ChatId::from_text(chat).to_string());
        assert!(is_own, "{chat}: {response:?}");
        let is_refusal = matches!(response.status, 502 | 503) && response.is_body_complete;
        assert!(
            response.is_complete(TOKENS) || response.is_reported_failure() || is_refusal,
            "{response:?}"
        );
        complete += usize::from(response.is_complete(TOKENS));
    }
    println!("{complete} of {} responses complete", responses.len());
    assert!(
        complete * 100 >= responses.len() * 95,
        "{complete} of {}",
        responses.len()
    );
}
