//! Non-idempotent calls through real routers, checked against the runs that the services recorded.

mod common;

use common::get;
use common::once::{Call, OnceEnv};
use jujubeusher_standins::service::{Fault, Run};

/// Guards against a second run of a call that is repeated with the same key.
#[test]
fn call_same_key_runs_once_and_is_replayed() {
    let env = OnceEnv::open(2, 1);
    let call = Call::new("k1", "book slot 7");
    let first = env.send(0, &call);
    assert_eq!(first.status, 200, "{first:?}");
    assert_eq!(first.header("x-run-state"), Some("ran"));
    env.wait_until_settled();

    let second = env.send(1, &call);
    assert_eq!(second.status, 200, "{second:?}");
    assert_eq!(second.body, first.body);
    assert_eq!(second.header("x-replayed"), Some("1"));
    env.assert_no_violations(&[(&call, &first), (&call, &second)]);
    assert_eq!(env.runs().len(), 1);
    let metrics = get(env.router(1).admin, "/metrics").body;
    let replays = metrics.lines().find(|line| {
        line.starts_with("router_claims_total") && line.contains("result=\"replayed\"")
    });
    assert!(
        replays.is_some_and(|line| line.ends_with(" 1")),
        "{metrics}"
    );
}

/// Guards against returning the stored response of a call to a different call with the same key.
#[test]
fn call_same_key_other_body_is_refused() {
    let env = OnceEnv::open(2, 1);
    let first = env.send(0, &Call::new("k1", "book slot 7"));
    let second = env.send(1, &Call::new("k1", "book slot 8"));
    assert_eq!(first.status, 200, "{first:?}");
    assert_eq!(second.status, 422, "{second:?}");
    assert_eq!(second.header("x-run-state"), Some("not_run"));
    assert_eq!(env.runs().len(), 1);
}

/// Guards against running a call without a key, and so without a claim, on a route that requires a
/// key.
#[test]
fn call_without_key_runs_only_if_the_route_allows_it() {
    let env = OnceEnv::open(1, 1);
    let refused = env.send(0, &Call::without_key("/desk/book", "x"));
    assert_eq!(refused.status, 400, "{refused:?}");
    assert!(refused.body.contains("key_required"), "{refused:?}");
    assert!(env.runs().is_empty());

    let allowed = env.send(0, &Call::without_key("/desk/free/book", "x"));
    assert_eq!(allowed.status, 200, "{allowed:?}");
    assert_eq!(env.runs().len(), 1);
}

/// Guards against a false `not_run`, and against a key that cannot be used after `not_run`.
#[test]
fn call_declined_as_not_run_goes_to_another_server() {
    let env = OnceEnv::open(1, 2);
    for service in &env.services {
        service.inject_fault(Fault::NotRun);
    }
    let call = Call::new("k1", "x");
    let refused = env.send(0, &call);
    assert_eq!(refused.status, 503, "{refused:?}");
    assert_eq!(refused.header("x-run-state"), Some("not_run"));
    assert!(env.runs().is_empty());
    assert_eq!(env.received(), 2, "each server must receive the call once");

    let second = env.send(0, &call);
    assert_eq!(second.status, 200, "{second:?}");
    env.assert_no_violations(&[(&call, &refused), (&call, &second)]);
}

/// Guards against a refusal or a second run while one server's port is closed.
#[test]
fn call_to_closed_port_goes_to_another_server() {
    const CALLS: usize = 12;
    let env = OnceEnv::open(1, 1);
    env.add_closed_server();
    for index in 0..CALLS {
        let call = Call::new(&format!("k{index}"), "x");
        let response = env.send(0, &call);
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(response.header("x-backend-server"), Some("s0"));
        env.assert_no_violations(&[(&call, &response)]);
    }
    let runs = env.runs();
    assert_eq!(runs.len(), CALLS);
    let is_second = |run: &&Run| run.attempt.ends_with("-2");
    assert!(runs.iter().any(|run| is_second(&run)), "{runs:?}");
}

/// Guards against a second attempt, or a `not_run` response, after bytes of the call may have
/// reached a server.
#[test]
fn call_reset_by_server_is_unknown_and_has_one_attempt() {
    let env = OnceEnv::open(2, 2);
    let faults = [
        Fault::ResetBeforeBody,
        Fault::ResetDuringBody,
        Fault::ResetAfterBody,
        Fault::ResetAfterRun,
        Fault::MisattributedResponse,
        Fault::MisattributedNotRun,
        Fault::TruncatedResponse,
        Fault::EncodedResponse,
        Fault::InvalidStatus,
    ];
    let mut expected_runs = 0;
    for (index, fault) in faults.into_iter().enumerate() {
        // The router may choose either server; the other one must not receive the call.
        let received = env.received();
        for service in &env.services {
            service.inject_fault(fault);
        }
        let call = Call::new(&format!("k{index}"), &"x".repeat(200_000));
        let response = env.send(0, &call);
        assert_eq!(response.status, 502, "{fault:?}: {response:?}");
        assert_eq!(response.header("x-run-state"), Some("unknown"), "{fault:?}");
        assert_eq!(env.received(), received + 1, "{fault:?}");
        let again = env.send(1, &call);
        assert_eq!(again.status, 409, "{fault:?}: {again:?}");
        assert_eq!(again.header("x-run-state"), Some("unknown"), "{fault:?}");
        env.assert_no_violations(&[(&call, &response), (&call, &again)]);
        env.clear_faults();
        let does_run = matches!(
            fault,
            Fault::ResetAfterRun
                | Fault::MisattributedResponse
                | Fault::TruncatedResponse
                | Fault::EncodedResponse
                | Fault::InvalidStatus
        );
        expected_runs += usize::from(does_run);
        assert_eq!(env.runs().len(), expected_runs, "{fault:?}");
    }
}
