//! Requests that crash servers: few servers die, innocent requests finish, and the request
//! is refused afterwards.

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
const POISON: &str = "CRASH-THE-ENGINE";

fn slow(options: EngineOptions) -> EngineOptions {
    EngineOptions {
        token_interval: Duration::from_millis(40),
        ..options
    }
}

fn crashes(env: &Env) -> usize {
    env.engines.iter().map(|engine| engine.crashes()).sum()
}

/// Starts streams of one chat, each with a body of its own, and reads their first event.
fn open_innocents(router: &RouterProcess, count: usize) -> Vec<(String, TcpStream)> {
    let open = |number| {
        let body = stream_body(&format!("innocent {number}"));
        let caller = send_chat(router.address, "c", "", &body);
        (read_to_event(&caller, 1), caller)
    };
    (0..count).map(open).collect()
}

/// Guards against a request that goes from server to server and takes all of them down, and
/// against innocent requests that are lost or refused with it. One caller that sends the
/// request again and again takes down `strikes_max` servers, which is 2.
#[test]
fn poison_takes_down_two_servers_and_innocents_finish() {
    let mut env = open_env(5, slow);
    let router = start_router(&env, "r1", &env.inventory(), "");
    let innocents = open_innocents(&router, 15);

    let poison = read_response(send_chat(router.address, "c", "", &stream_body(POISON)));
    assert_eq!(poison.status, 422, "{poison:?}");
    assert_eq!(poison.header("x-run-state"), Some("unknown"));
    assert!(
        poison.body.contains("\"code\":\"request_quarantined\""),
        "{poison:?}"
    );
    assert_eq!(crashes(&env), 2);
    let dead = env.engines.iter().filter(|engine| engine.crashes() > 0);
    let cut: usize = dead
        .map(|engine| engine.runs().len() - engine.finished().len() - 1)
        .sum();
    assert!(cut > 0, "no innocent request ran on a server that died");
    for (first, rest) in innocents {
        assert!(is_complete_in_parts(&first, rest, TOKENS));
    }

    for engine in env.engines.iter_mut().filter(|engine| engine.crashes() > 0) {
        engine.restart().expect("the port is free");
    }
    for _ in 0..5 {
        let again = read_response(send_chat(router.address, "c", "", &stream_body(POISON)));
        assert_eq!(again.status, 422, "{again:?}");
        assert_eq!(again.header("x-run-state"), Some("not_run"));
    }
    assert_eq!(crashes(&env), 2);
    assert!(stream_chat(router.address, "c").is_complete(TOKENS));
}

/// Guards against a third victim where the request crashes servers in the midst of its
/// response, and against a clean end of that response.
#[test]
fn poison_in_the_midst_of_its_answer_takes_down_two_servers() {
    let env = open_env(5, |options| EngineOptions {
        crash_after_tokens: 2,
        ..slow(options)
    });
    let router = start_router(&env, "r1", &env.inventory(), "");
    let innocents = open_innocents(&router, 30);
    let poison = read_response(send_chat(router.address, "c", "", &stream_body(POISON)));
    assert!(poison.is_reported_failure(), "{poison:?}");
    assert_eq!(
        poison.tokens.len(),
        4,
        "two tokens of each server: {poison:?}"
    );
    assert_eq!(crashes(&env), 2);
    for (first, rest) in innocents {
        assert!(is_complete_in_parts(&first, rest, TOKENS));
    }
    let again = read_response(send_chat(router.address, "c", "", &stream_body(POISON)));
    assert_eq!(again.status, 422, "{again:?}");
}

/// Guards against refusing a common request, of which copies run on a server that dies for
/// another reason.
#[test]
fn common_request_survives_the_loss_of_one_server() {
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

/// Guards against strikes for broken connections of servers that did not die.
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

/// Guards against a crash that goes unseen because the server came back at once.
#[test]
fn restart_between_break_and_probe_is_seen() {
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

/// Guards against a request that is refused by one router and takes down further servers
/// through another. The refusal must hold everywhere within a second.
#[test]
fn poison_refused_by_one_router_is_refused_by_all_within_a_second() {
    let env = open_env(5, slow);
    let [first, second] = open_pair(&env);
    let poison = read_response(send_chat(first.address, "c", "", &stream_body(POISON)));
    assert_eq!(poison.status, 422, "{poison:?}");
    let start = Instant::now();
    wait_until("the other router knows", || {
        dump(&second)["requests_quarantined"] == 1
    });
    let took = start.elapsed();
    println!("refused everywhere after {took:?}");
    assert!(took < Duration::from_secs(1), "{took:?}");
    let again = read_response(send_chat(second.address, "c", "", &stream_body(POISON)));
    assert_eq!(again.status, 422, "{again:?}");
    assert_eq!(again.header("x-run-state"), Some("not_run"));
    assert_eq!(crashes(&env), 2);
}

/// Guards against more victims than stated when two routers run the request at the same
/// time: `strikes_max`, which is 2, and one for the run that began elsewhere before the
/// first strike.
#[test]
fn poison_on_two_routers_at_once_takes_down_three_servers_at_most() {
    let env = open_env(6, |options| EngineOptions {
        crash_after_tokens: 2,
        ..slow(options)
    });
    let routers = open_pair(&env);
    let callers = ["c1", "c2"].map(|chat| {
        let router = &routers[usize::from(chat == "c2")];
        let caller = send_chat(router.address, chat, "", &stream_body(POISON));
        (read_to_event(&caller, 1), caller)
    });
    for (_, rest) in callers {
        let rest = read_response(rest);
        assert!(!rest.body.contains("[DONE]"), "{rest:?}");
    }
    let count = crashes(&env);
    println!("{count} servers down");
    assert!((2..=3).contains(&count), "{count}");
    for router in &routers {
        wait_until("the request is refused", || {
            read_response(send_chat(router.address, "c", "", &stream_body(POISON))).status == 422
        });
    }
    assert_eq!(crashes(&env), count);
}
