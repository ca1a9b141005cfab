//! Requests that crash servers: the number of crashed servers is bounded, other requests complete,
//! and the crashing request is refused afterwards.

mod common;

use std::net::TcpStream;
use std::time::{Duration, Instant};

use common::caller::{
    home_engine, is_complete_in_parts, open_env, read_response, read_to_event, send_chat,
    start_router, stream_body, stream_chat,
};
use common::{Env, RouterProcess, get, wait_until};
use jujubeusher_standins::engine::EngineOptions;

const TOKENS: u64 = 8;
const CRASH_PROMPT: &str = "CRASH-THE-ENGINE";

fn slow(options: EngineOptions) -> EngineOptions {
    EngineOptions {
        token_interval: Duration::from_millis(40),
        ..options
    }
}

fn crashes(env: &Env) -> usize {
    env.engines.iter().map(|engine| engine.crashes()).sum()
}

/// Starts streams of one chat with distinct bodies and reads the first event of each.
fn open_other_streams(router: &RouterProcess, count: usize) -> Vec<(String, TcpStream)> {
    let open = |number| {
        let body = stream_body(&format!("innocent {number}"));
        let caller = send_chat(router.address, "c", "", &body);
        (read_to_event(&caller, 1), caller)
    };
    (0..count).map(open).collect()
}

/// Guards against a request that is retried on one server after the other and crashes all of them,
/// and against other requests that are lost or refused because of it. One caller that repeats the
/// request may crash `strikes_max` servers, which is 2.
#[test]
fn crashing_request_stops_two_servers_and_others_complete() {
    let mut env = open_env(5, slow);
    let router = start_router(&env, "r1", &env.inventory(), "");
    let other_streams = open_other_streams(&router, 15);

    let crashing = read_response(send_chat(
        router.address,
        "c",
        "",
        &stream_body(CRASH_PROMPT),
    ));
    assert_eq!(crashing.status, 422, "{crashing:?}");
    assert_eq!(crashing.header("x-run-state"), Some("unknown"));
    assert!(
        crashing.body.contains("\"code\":\"request_quarantined\""),
        "{crashing:?}"
    );
    assert_eq!(crashes(&env), 2);
    let dead = env.engines.iter().filter(|engine| engine.crashes() > 0);
    let cut: usize = dead
        .map(|engine| engine.runs().len() - engine.finished().len() - 1)
        .sum();
    assert!(cut > 0, "no other request ran on a crashed server");
    for (first, rest) in other_streams {
        assert!(is_complete_in_parts(&first, rest, TOKENS));
    }

    for engine in env.engines.iter_mut().filter(|engine| engine.crashes() > 0) {
        engine.restart().expect("the port is free");
    }
    for _ in 0..5 {
        let again = read_response(send_chat(
            router.address,
            "c",
            "",
            &stream_body(CRASH_PROMPT),
        ));
        assert_eq!(again.status, 422, "{again:?}");
        assert_eq!(again.header("x-run-state"), Some("not_run"));
    }
    assert_eq!(crashes(&env), 2);
    assert!(stream_chat(router.address, "c").is_complete(TOKENS));
}

/// Guards against a third crash when the request crashes servers after the first tokens of its
/// response, and against a response that ends as if it were complete.
#[test]
fn crashing_request_during_its_response_stops_two_servers() {
    let env = open_env(5, |options| EngineOptions {
        crash_after_tokens: 2,
        ..slow(options)
    });
    let router = start_router(&env, "r1", &env.inventory(), "");
    let other_streams = open_other_streams(&router, 30);
    let crashing = read_response(send_chat(
        router.address,
        "c",
        "",
        &stream_body(CRASH_PROMPT),
    ));
    assert!(crashing.is_reported_failure(), "{crashing:?}");
    assert_eq!(
        crashing.tokens.len(),
        4,
        "expected two tokens from each server: {crashing:?}"
    );
    assert_eq!(crashes(&env), 2);
    for (first, rest) in other_streams {
        assert!(is_complete_in_parts(&first, rest, TOKENS));
    }
    let again = read_response(send_chat(
        router.address,
        "c",
        "",
        &stream_body(CRASH_PROMPT),
    ));
    assert_eq!(again.status, 422, "{again:?}");
}

/// Guards against refusing a request because several copies of it ran on a server that crashed for
/// another reason.
#[test]
fn repeated_request_is_served_after_loss_of_one_server() {
    let mut env = open_env(3, slow);
    let router = start_router(&env, "r1", &env.inventory(), "");
    let home = home_engine(&router, "c");
    let body = stream_body("common");
    let callers: Vec<_> = (0..6)
        .map(|number| {
            let caller = send_chat(router.address, &format!("c{number}"), "", &body);
            (read_to_event(&caller, 1), caller)
        })
        .collect();
    env.engines[home].crash();
    for (first, rest) in callers {
        assert!(is_complete_in_parts(&first, rest, TOKENS));
    }
    let later = read_response(send_chat(router.address, "c", "", &body));
    assert!(later.is_complete(TOKENS), "{later:?}");
}

/// Guards against strikes for interrupted connections to servers that did not crash.
#[test]
fn cut_connection_gives_no_strike() {
    let env = open_env(2, slow);
    let router = start_router(&env, "r1", &env.inventory(), "");
    for engine in &env.engines {
        engine.set_faults(jujubeusher_standins::engine::Faults {
            cut_after_events: Some(2),
            refuses_resume: true,
            ..Default::default()
        });
    }
    let response = stream_chat(router.address, "c");
    assert!(response.is_reported_failure(), "{response:?}");
    let dump = get(router.admin, "/dump").body;
    assert!(dump.contains("\"requests_struck\":0"), "{dump}");
}

/// Guards against a crash that is not detected because the server restarted before the next probe.
#[test]
fn restart_before_probe_is_detected() {
    let mut env = open_env(2, slow);
    let router = start_router(&env, "r1", &env.inventory(), "");
    let home = home_engine(&router, "c");
    assert!(stream_chat(router.address, "c").is_complete(TOKENS));
    let caller = send_chat(router.address, "c", "", &stream_body("struck"));
    let first = read_to_event(&caller, 2);
    env.engines[home].restart().expect("the port is free");
    assert!(is_complete_in_parts(&first, caller, TOKENS));
    wait_until("a strike is counted", || {
        common::caller::metric(&router, "router_strikes") >= 1.0
    });
}

const PEERS: &str = "[peers]\nlisten = 127.0.0.1:0\nshared_key = a-key-for-these-tests\nseeds =";

fn dump(router: &RouterProcess) -> serde_json::Value {
    serde_json::from_str(&get(router.admin, "/dump").body).expect("the dump is JSON")
}

/// Starts two routers that are linked as peers.
fn open_pair(env: &Env) -> [RouterProcess; 2] {
    let inventory = env.inventory();
    let first = start_router(env, "r1", &inventory, &format!("{PEERS}\n"));
    let address = dump(&first)["peers"]["address"].clone();
    let seeds = address.as_str().expect("a peer address");
    let second = start_router(env, "r2", &inventory, &format!("{PEERS} {seeds}\n"));
    for router in [&first, &second] {
        wait_until("the routers are linked", || {
            dump(router)["peers"]["links"].as_array().map(Vec::len) == Some(1)
        });
    }
    [first, second]
}

/// Guards against a request that is refused by one router and crashes further servers through
/// another. All routers must refuse it within a second.
#[test]
fn crashing_request_refused_by_one_router_is_refused_by_all_within_a_second() {
    let env = open_env(5, slow);
    let [first, second] = open_pair(&env);
    let crashing = read_response(send_chat(
        first.address,
        "c",
        "",
        &stream_body(CRASH_PROMPT),
    ));
    assert_eq!(crashing.status, 422, "{crashing:?}");
    let start = Instant::now();
    wait_until("the other router refuses the request", || {
        dump(&second)["requests_quarantined"] == 1
    });
    let elapsed = start.elapsed();
    println!("refused by both routers after {elapsed:?}");
    assert!(elapsed < Duration::from_secs(1), "{elapsed:?}");
    let again = read_response(send_chat(
        second.address,
        "c",
        "",
        &stream_body(CRASH_PROMPT),
    ));
    assert_eq!(again.status, 422, "{again:?}");
    assert_eq!(again.header("x-run-state"), Some("not_run"));
    assert_eq!(crashes(&env), 2);
}

/// Guards against more crashes than documented when two routers run the request at the same time:
/// `strikes_max`, which is 2, plus one for the run that the other router started before the first
/// strike.
#[test]
fn crashing_request_on_two_routers_at_once_stops_at_most_three_servers() {
    let env = open_env(6, |options| EngineOptions {
        crash_after_tokens: 2,
        ..slow(options)
    });
    let routers = open_pair(&env);
    let callers = ["c1", "c2"].map(|chat| {
        let router = &routers[usize::from(chat == "c2")];
        let caller = send_chat(router.address, chat, "", &stream_body(CRASH_PROMPT));
        (read_to_event(&caller, 1), caller)
    });
    for (_, rest) in callers {
        let rest = read_response(rest);
        assert!(!rest.body.contains("[DONE]"), "{rest:?}");
    }
    let count = crashes(&env);
    println!("{count} servers crashed");
    assert!((2..=3).contains(&count), "{count}");
    for router in &routers {
        wait_until("the request is refused", || {
            read_response(send_chat(
                router.address,
                "c",
                "",
                &stream_body(CRASH_PROMPT),
            ))
            .status
                == 422
        });
    }
    assert_eq!(crashes(&env), count);
}
