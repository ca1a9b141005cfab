//! Retries: requests succeed although an engine is down or hangs, and the failure of all engines of
//! a model causes no retry storm.

mod common;

use std::thread;
use std::time::Duration;

use common::RouterProcess;
use common::caller::{
    Received, home_engine, metric, open_env, read_response, send_chat, start_router, stream_body,
    stream_chat,
};
use jujubeusher_standins::engine::{EngineOptions, Faults};

const TOKENS: u64 = 8;
const TIMEOUTS: &str = "[timeouts]\nfirst_event_ms = 200\nnext_event_ms = 200\n";

fn default_options(options: EngineOptions) -> EngineOptions {
    options
}

/// Streams `count` chats from each of `callers` threads.
fn send_load(router: &RouterProcess, callers: usize, count: usize) -> Vec<Received> {
    let address = router.address;
    let threads: Vec<_> = (0..callers)
        .map(|caller| {
            thread::spawn(move || {
                let chats = (0..count).map(|number| format!("c{caller}-{number}"));
                chats
                    .map(|chat| stream_chat(address, &chat))
                    .collect::<Vec<_>>()
            })
        })
        .collect();
    let join = |thread: thread::JoinHandle<Vec<_>>| thread.join().expect("a caller ends");
    threads.into_iter().flat_map(join).collect()
}

/// Guards against a retry storm: requirement R2 allows 1.2 attempts per request while all servers
/// of a model fail under load. Callers must get an error response.
#[test]
fn all_servers_fail_attempts_stay_under_the_bound() {
    let cases = [
        (
            Faults {
                status: Some(503),
                ..Faults::default()
            },
            40,
        ),
        (
            Faults {
                is_hung: true,
                ..Faults::default()
            },
            40,
        ),
    ];
    for (faults, count) in cases {
        let env = open_env(4, default_options);
        let router = start_router(&env, "r1", &env.inventory(), TIMEOUTS);
        for engine in &env.engines {
            engine.set_faults(faults.clone());
        }
        let responses = send_load(&router, 16, count);
        for response in &responses {
            assert_eq!(response.status, 502, "{response:?}");
            assert_eq!(response.header("x-run-state"), Some("unknown"));
            assert!(
                response.body.contains("\"code\":\"no_answer\""),
                "{response:?}"
            );
        }
        let attempts = metric(&router, "router_attempts");
        let ratio = attempts / responses.len() as f64;
        println!(
            "{attempts} attempts for {} requests: {ratio:.3} per request",
            responses.len()
        );
        assert!((1.0..=1.2).contains(&ratio), "{ratio}");
    }
}

/// Guards against refusals that do not state that the request did not run although no engine could
/// be reached, and against a storm of connection attempts.
#[test]
fn all_servers_down_is_not_run() {
    let mut env = open_env(3, default_options);
    let router = start_router(&env, "r1", &env.inventory(), TIMEOUTS);
    env.engines.iter_mut().for_each(|engine| engine.crash());
    let responses = send_load(&router, 16, 25);
    for response in &responses {
        assert_eq!(response.status, 503, "{response:?}");
        assert_eq!(response.header("x-run-state"), Some("not_run"));
        assert_eq!(response.header("retry-after"), Some("1"));
    }
    let ratio = metric(&router, "router_attempts") / responses.len() as f64;
    println!("attempts for each request: {ratio:.3}");
    assert!((1.0..=1.2).contains(&ratio), "{ratio}");
}

/// Guards against failed requests and a retry storm while one of three engines is down.
#[test]
fn one_server_down_all_requests_are_answered() {
    let mut env = open_env(3, default_options);
    let router = start_router(&env, "r1", &env.inventory(), TIMEOUTS);
    env.engines[1].crash();
    let responses = send_load(&router, 8, 50);
    assert!(
        responses
            .iter()
            .all(|response| response.is_complete(TOKENS))
    );
    let ratio = metric(&router, "router_attempts") / responses.len() as f64;
    println!("attempts for each request: {ratio:.3}");
    assert!(ratio <= 1.2, "{ratio}");
}

/// Guards against a request that waits for a hung engine until its deadline instead of being sent
/// to another one.
#[test]
fn hung_engine_request_goes_to_another() {
    let env = open_env(3, default_options);
    let router = start_router(&env, "r1", &env.inventory(), TIMEOUTS);
    let home = home_engine(&router, "c");
    env.engines[home].set_faults(Faults {
        is_hung: true,
        ..Faults::default()
    });
    for body in [stream_body("c"), stream_body("c").replace("true", "false")] {
        let response = read_response(send_chat(router.address, "c", "", &body));
        assert_eq!(response.status, 200, "{response:?}");
        let server = response
            .header("x-backend-server")
            .expect("a server's name");
        assert_ne!(server, format!("e{home}"));
    }
}

/// Guards against attempts that continue after the caller's deadline.
#[test]
fn deadline_ends_the_attempts() {
    let env = open_env(3, |options| EngineOptions {
        first_token_delay: Duration::from_secs(60),
        ..options
    });
    let router = start_router(&env, "r1", &env.inventory(), "");
    let headers = "x-deadline-ms: 100\r\n";
    let response = read_response(send_chat(router.address, "c", headers, &stream_body("c")));
    assert_eq!(response.status, 504, "{response:?}");
    assert_eq!(response.header("x-run-state"), Some("unknown"));
    assert!(
        response.body.contains("\"code\":\"deadline_passed\""),
        "{response:?}"
    );
}
