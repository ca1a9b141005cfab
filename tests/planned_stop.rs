//! Planned stops (requirement R6): no stream is truncated, no request is lost, and the process
//! exits with code 0.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::process::Command;
use std::time::Duration;

use common::caller::{
    is_complete_in_parts, open_env, read_response, read_to_event, send_chat, start_router,
    stream_body,
};
use common::{Env, PAYING_KEY, RouterProcess, get, wait_until};
use jujubeusher_standins::engine::EngineOptions;

const TOKENS: u64 = 8;

fn slow(options: EngineOptions) -> EngineOptions {
    EngineOptions {
        token_interval: Duration::from_millis(60),
        ..options
    }
}

fn terminate(router: &RouterProcess) {
    let sent = Command::new("kill")
        .args(["-TERM", &router.child.id().to_string()])
        .status()
        .expect("kill runs");
    assert!(sent.success());
}

fn open_streams(router: &RouterProcess, count: usize) -> Vec<(String, TcpStream)> {
    let open = |number| {
        let chat = format!("c{number}");
        let caller = send_chat(router.address, &chat, "", &stream_body(&chat));
        (read_to_event(&caller, 1), caller)
    };
    (0..count).map(open).collect()
}

fn assert_exits_with_0(mut router: RouterProcess) {
    wait_until("the router exits", || {
        router
            .child
            .try_wait()
            .expect("the router is a child process")
            .is_some()
    });
    let status = router.child.wait().expect("the router has exited");
    assert_eq!(status.code(), Some(0));
}

fn runs(env: &Env) -> usize {
    env.engines.iter().map(|engine| engine.runs().len()).sum()
}

/// Guards against truncated streams, new connections and a wrong exit code in a planned stop.
#[test]
fn sigterm_streams_in_flight_run_to_completion() {
    let env = open_env(2, slow);
    let router = start_router(&env, "r1", &env.inventory(), "");
    let idle = TcpStream::connect(router.address).expect("the router listens");
    let streams = open_streams(&router, 10);
    terminate(&router);
    wait_until("the router reports that it is not ready", || {
        get(router.admin, "/readyz").status == 503
    });
    wait_until("the router accepts no more connections", || {
        TcpStream::connect(router.address).is_err()
    });
    let mut byte = [0];
    let closed = std::io::Read::read(&mut &idle, &mut byte);
    assert!(
        matches!(closed, Ok(0) | Err(_)),
        "the idle connection is closed"
    );
    for (first, rest) in streams {
        assert!(is_complete_in_parts(&first, rest, TOKENS));
    }
    assert_exits_with_0(router);
    assert_eq!(runs(&env), 10, "no stream ran twice");
}

/// Guards against a stopping router that leaves a persistent connection open: the response must
/// have the header `connection: close`.
#[test]
fn sigterm_persistent_connection_gets_close_header() {
    let env = open_env(1, |options| EngineOptions {
        first_token_delay: Duration::from_millis(500),
        ..options
    });
    let router = start_router(&env, "r1", &env.inventory(), "");
    let mut caller = TcpStream::connect(router.address).expect("the router listens");
    let body = stream_body("c");
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {PAYING_KEY}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    caller
        .write_all(request.as_bytes())
        .expect("the request is accepted");
    wait_until("the request runs", || runs(&env) == 1);
    terminate(&router);
    let response = read_response(caller);
    assert_eq!(response.header("connection"), Some("close"), "{response:?}");
    assert!(response.is_complete(TOKENS), "{response:?}");
    assert_exits_with_0(router);
}

/// Guards against a process that exits before deferred requests whose callers disconnected are
/// complete.
#[test]
fn sigterm_deferred_requests_without_caller_finish_first() {
    let env = open_env(1, slow);
    let router = start_router(&env, "r1", &env.inventory(), "");
    let deferred = "x-urgency: deferred\r\n";
    let streaming = send_chat(router.address, "c", deferred, &stream_body("c"));
    read_to_event(&streaming, 1);
    drop(streaming);
    let body = stream_body("c").replace("true", "false");
    let waiting = send_chat(router.address, "c", deferred, &body);
    wait_until("both requests run", || runs(&env) == 2);
    drop(waiting);
    terminate(&router);
    assert_exits_with_0(router);
    assert_eq!(env.engines[0].finished().len(), 2);
    assert!(env.engines[0].cancels().is_empty());
}

/// Guards against streams that are truncated or run twice in a rolling restart of all routers.
#[test]
fn rolling_restart_truncates_and_repeats_no_stream() {
    let env = open_env(3, slow);
    let mut routers: Vec<RouterProcess> = (0..4)
        .map(|number| start_router(&env, &format!("r{number}"), &env.inventory(), ""))
        .collect();
    let mut streams = Vec::new();
    for number in 0..routers.len() {
        for router in &routers {
            streams.extend(open_streams(router, 5));
        }
        let fresh = start_router(&env, &format!("n{number}"), &env.inventory(), "");
        let old = std::mem::replace(&mut routers[number], fresh);
        terminate(&old);
        assert_exits_with_0(old);
    }
    let count = streams.len();
    let complete = streams
        .into_iter()
        .filter(|(first, rest)| {
            let rest = rest.try_clone().expect("a second handle");
            is_complete_in_parts(first, rest, TOKENS)
        })
        .count();
    println!(
        "{complete} of {count} streams complete, {} runs",
        runs(&env)
    );
    assert_eq!(complete, count);
    assert_eq!(runs(&env), count, "no stream ran twice");
}
