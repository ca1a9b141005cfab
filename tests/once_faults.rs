//! Non-idempotent calls while routers and the table fail, checked against the runs that the
//! services recorded.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::process::Command;
use std::thread;
use std::time::Duration;

use common::fault_run::{self, Plan};
use common::once::{Call, OnceEnv, Violations};
use common::{Response, exchange, get, wait_until};
use jujubeusher_standins::proxy::Faults;
use jujubeusher_standins::service::{Fault, Service};
use jujubeusher_standins::table::{Outage, TableFaults};

/// Platform timeout above the delay of [`slow_table`], so that its responses arrive in time.
const LONG_PLATFORM_TIMEOUT: &str = "timeout_ms = 5000\n";

fn slow_table(response_delay_ms: u64) -> TableFaults {
    TableFaults {
        response_delay: Duration::from_millis(response_delay_ms),
        ..TableFaults::default()
    }
}

fn outage(outage: Outage) -> TableFaults {
    TableFaults {
        outage,
        ..TableFaults::default()
    }
}

/// Sends a call on a new thread.
fn send_on_thread(env: &OnceEnv, index: usize, call: &Call) -> thread::JoinHandle<Response> {
    let (address, bytes) = (env.address(index), call.bytes());
    thread::spawn(move || exchange(address, &bytes))
}

fn signal(env: &OnceEnv, index: usize, name: &str) {
    let id = env.router(index).child.id().to_string();
    let status = Command::new("kill").args([name, &id]).status();
    assert!(status.expect("kill runs").success());
}

fn wait_claimed(env: &OnceEnv) {
    wait_until("the claim is written", || {
        !env.table.rows().keys("claim/").is_empty()
    });
}

/// Guards against two routers, or two requests on one router, that both claim the same key.
#[test]
fn same_key_at_same_time_runs_once() {
    const KEYS: usize = 150;
    const AT_ONCE: usize = 10;
    let env = OnceEnv::open(2, 2);
    let calls: Vec<Call> = (0..KEYS)
        .map(|index| Call::new(&format!("key-{index}"), &format!("body {index}")))
        .collect();
    let mut responses: Vec<(&Call, Response)> = Vec::new();
    for group in calls.chunks(AT_ONCE) {
        let sent: Vec<_> = group
            .iter()
            .flat_map(|call| [0, 1, 0].map(|index| (call, send_on_thread(&env, index, call))))
            .collect();
        for (call, handle) in sent {
            responses.push((call, handle.join().expect("the call ends")));
        }
    }
    let pairs: Vec<(&Call, &Response)> = responses
        .iter()
        .map(|(call, response)| (*call, response))
        .collect();
    env.assert_no_violations(&pairs);
    assert_eq!(env.runs().len(), KEYS, "each key runs exactly once");
}

/// Guards against a call that fails or runs twice because the table's response to the claim was
/// lost.
#[test]
fn table_response_lost_after_write_is_read_back() {
    let env = OnceEnv::open(1, 1);
    env.table.set_faults(TableFaults {
        lose_next_responses: 1,
        ..TableFaults::default()
    });
    let call = Call::new("k1", "x");
    let response = env.send(0, &call);
    assert_eq!(response.status, 200, "{response:?}");
    env.assert_no_violations(&[(&call, &response)]);
    assert_eq!(env.runs().len(), 1);
}

/// Guards against a dispatch without a claim, against a false `not_run`, and against a key that
/// stays unusable after an outage of the table.
#[test]
fn table_down_is_refused_as_not_run() {
    for kind in [Outage::Refuse, Outage::Hang] {
        let env = OnceEnv::open(1, 1);
        env.table.set_faults(outage(kind));
        let call = Call::new("k1", "x");
        let refused = env.send(0, &call);
        assert_eq!(refused.status, 503, "{kind:?}: {refused:?}");
        assert!(refused.body.contains("claims_unavailable"), "{refused:?}");
        assert_eq!(refused.header("x-run-state"), Some("not_run"));
        assert!(env.runs().is_empty());

        env.table.set_faults(TableFaults::default());
        let mut responses = vec![refused];
        wait_until("the key can be used", || {
            responses.push(env.send(0, &call));
            responses
                .last()
                .is_some_and(|response| response.status == 200)
        });
        let pairs: Vec<_> = responses.iter().map(|response| (&call, response)).collect();
        env.assert_no_violations(&pairs);
    }
}

/// Guards against a claim that stays held although the call was refused: its write reached the
/// table, but the response did not reach the router.
#[test]
fn table_cut_off_after_write_releases_the_claim() {
    let env = OnceEnv::open(2, 1);
    let call = Call::new("k1", "x");
    // The write reaches the table; its response and those of all reads are delayed.
    env.table_proxy.set_faults(Faults {
        is_downstream_paused: true,
        ..Faults::default()
    });
    let refused = env.send(0, &call);
    assert_eq!(refused.status, 503, "{refused:?}");
    assert_eq!(refused.header("x-run-state"), Some("not_run"));
    assert!(!env.table.rows().keys("claim/").is_empty());

    env.table_proxy.clear_faults();
    let mut responses = vec![refused];
    wait_until("the claim is released", || {
        responses.push(env.send(1, &call));
        responses
            .last()
            .is_some_and(|response| response.status == 200)
    });
    let pairs: Vec<_> = responses.iter().map(|response| (&call, response)).collect();
    env.assert_no_violations(&pairs);
    assert_eq!(env.runs().len(), 1);
}

/// Guards against one transaction per claim, which would exceed the table's rate limit.
#[test]
fn table_rate_limit_allows_concurrent_claims() {
    const CALLERS: usize = 24;
    const ROUNDS: usize = 4;
    let env = OnceEnv::open(1, 2);
    env.table.set_faults(TableFaults {
        rate_limit_per_s: Some(40),
        ..TableFaults::default()
    });
    for round in 0..ROUNDS {
        let call = |caller| Call::new(&format!("k{round}-{caller}"), "x");
        let calls: Vec<Call> = (0..CALLERS).map(call).collect();
        let sent: Vec<_> = calls.iter().map(|c| send_on_thread(&env, 0, c)).collect();
        for (call, handle) in calls.iter().zip(sent) {
            let response = handle.join().expect("the call ends");
            assert_eq!(response.status, 200, "{response:?}");
            env.assert_no_violations(&[(call, &response)]);
        }
    }
    assert_eq!(env.runs().len(), CALLERS * ROUNDS);
    let counts = env.table.counts();
    assert!(
        counts.rows_written > 2 * counts.committed,
        "claims must share transactions: {counts:?}"
    );
}

/// Guards against running a call whose claim is held by a router that was killed before it
/// dispatched the call.
#[test]
fn router_killed_after_claim_leaves_unknown() {
    let mut env = OnceEnv::open_with(2, 1, LONG_PLATFORM_TIMEOUT);
    env.table.set_faults(slow_table(1_000));
    let call = Call::new("k1", "x");
    let first = send_on_thread(&env, 0, &call);
    wait_claimed(&env);
    env.kill_router(0);
    let first = first.join().expect("the call ends");
    assert_eq!(first.status, 0, "the connection breaks: {first:?}");

    env.table.set_faults(TableFaults::default());
    let retried = env.send(1, &call);
    assert_eq!(retried.status, 409, "{retried:?}");
    assert_eq!(retried.header("x-run-state"), Some("unknown"));
    env.assert_no_violations(&[(&call, &first), (&call, &retried)]);
    assert!(env.runs().is_empty());
}

/// Guards against a second run when a router is killed while the service runs the call.
#[test]
fn router_killed_after_dispatch_runs_once() {
    let mut env = OnceEnv::open(2, 1);
    env.services[0].inject_fault(Fault::Slow(Duration::from_secs(2)));
    let call = Call::new("k1", "x");
    let first = send_on_thread(&env, 0, &call);
    wait_until("the call runs", || env.runs().len() == 1);
    env.kill_router(0);
    let first = first.join().expect("the call ends");
    assert_eq!(first.status, 0, "the connection breaks: {first:?}");

    let retried = env.send(1, &call);
    assert_eq!(retried.status, 409, "{retried:?}");
    assert_eq!(retried.header("x-run-state"), Some("unknown"));
    env.assert_no_violations(&[(&call, &first), (&call, &retried)]);
    assert_eq!(env.runs().len(), 1);
}

/// Guards against a dispatch by a router that was paused until the request's deadline had passed.
#[test]
fn router_paused_past_deadline_does_not_dispatch() {
    const DEADLINE_MS: u64 = 1_500;
    let env = OnceEnv::open_with(2, 1, LONG_PLATFORM_TIMEOUT);
    env.table.set_faults(slow_table(1_000));
    let call = Call::new("k1", "x").with_deadline_ms(DEADLINE_MS);
    let first = send_on_thread(&env, 0, &call);
    wait_claimed(&env);
    signal(&env, 0, "-STOP");
    thread::sleep(Duration::from_millis(DEADLINE_MS));
    let meanwhile = env.send(1, &call);
    assert_eq!(meanwhile.status, 409, "{meanwhile:?}");
    signal(&env, 0, "-CONT");
    let first = first.join().expect("the call ends");
    assert_eq!(first.status, 504, "{first:?}");
    assert_eq!(first.header("x-run-state"), Some("not_run"));
    assert!(env.runs().is_empty());

    env.table.set_faults(TableFaults::default());
    // The retry has no deadline, so that only a claim that is still held can cause a refusal.
    let retried = env.send(1, &Call::new("k1", "x"));
    assert_eq!(retried.status, 200, "{retried:?}");
    env.assert_no_violations(&[(&call, &first), (&call, &meanwhile), (&call, &retried)]);
}

/// Guards against a `not_run` response or a second run when the router is paused during the run.
#[test]
fn router_paused_during_run_reports_unknown_or_ran() {
    let env = OnceEnv::open(2, 1);
    env.services[0].inject_fault(Fault::Slow(Duration::from_millis(500)));
    let call = Call::new("k1", "x").with_deadline_ms(1_000);
    let first = send_on_thread(&env, 0, &call);
    wait_until("the call runs", || env.runs().len() == 1);
    signal(&env, 0, "-STOP");
    thread::sleep(Duration::from_millis(1_200));
    signal(&env, 0, "-CONT");
    let first = first.join().expect("the call ends");
    assert_ne!(first.header("x-run-state"), Some("not_run"), "{first:?}");
    wait_until("the outcome is stored", || env.send(1, &call).status == 200);
    let replayed = env.send(1, &call);
    env.assert_no_violations(&[(&call, &first), (&call, &replayed)]);
    assert_eq!(env.runs().len(), 1);
}

/// Guards against cancelling a call, or losing its outcome, when its caller disconnects and the
/// router is stopped.
#[test]
fn caller_disconnected_and_planned_stop_keep_the_outcome() {
    let mut env = OnceEnv::open(2, 1);
    env.services[0].inject_fault(Fault::Slow(Duration::from_millis(700)));
    let call = Call::new("k1", "x");
    let mut caller = TcpStream::connect(env.address(0)).expect("the router listens");
    caller.write_all(&call.bytes()).expect("the call is sent");
    wait_until("the call runs", || env.runs().len() == 1);
    drop(caller);
    signal(&env, 0, "-TERM");
    let mut router = env.routers[0].take().expect("the router runs");
    let status = router.child.wait().expect("the router ends");
    assert!(status.success(), "{status:?}");

    let replayed = env.send(1, &call);
    assert_eq!(replayed.status, 200, "{replayed:?}");
    assert_eq!(replayed.header("x-replayed"), Some("1"));
    env.assert_no_violations(&[(&call, &replayed)]);
    assert_eq!(env.runs().len(), 1);
}

/// Guards against a `not_run` response for a call that runs past its deadline, and against losing
/// the late response of the service.
#[test]
fn late_response_is_unknown_then_replayed() {
    let env = OnceEnv::open(1, 1);
    env.services[0].inject_fault(Fault::Slow(Duration::from_millis(800)));
    let call = Call::new("k1", "x").with_deadline_ms(300);
    let first = env.send(0, &call);
    assert_eq!(first.status, 502, "{first:?}");
    assert_eq!(first.header("x-run-state"), Some("unknown"));
    let call = Call::new("k1", "x");
    wait_until("the outcome is stored", || env.send(0, &call).status == 200);
    let replayed = env.send(0, &call);
    env.assert_no_violations(&[(&call, &first), (&call, &replayed)]);
    assert!(get(env.router(0).admin, "/dump").status == 200);
    assert_eq!(env.runs().len(), 1);
}

/// Guards against a body that crashes one server after the other under new keys.
#[test]
fn body_that_crashes_servers_is_quarantined() {
    let mut env = OnceEnv::open(1, 3);
    for crash in 0..2 {
        for service in &env.services {
            service.inject_fault(Fault::Slow(Duration::from_secs(10)));
        }
        let call = Call::new(&format!("k{crash}"), "poison");
        let sent = send_on_thread(&env, 0, &call);
        wait_until("the call runs", || env.runs().len() == crash + 1);
        let has_run_call = |s: &Service| {
            s.runs()
                .iter()
                .any(|run| Some(&run.key) == call.key.as_ref())
        };
        let index = env
            .services
            .iter()
            .position(has_run_call)
            .expect("a server ran it");
        env.close_service_port(index);
        let response = sent.join().expect("the call ends");
        assert_eq!(
            response.header("x-run-state"),
            Some("unknown"),
            "{response:?}"
        );
        env.assert_no_violations(&[(&call, &response)]);
        env.clear_faults();
    }
    let call = Call::new("k2", "poison");
    let refused = env.send(0, &call);
    assert!(refused.body.contains("request_quarantined"), "{refused:?}");
    env.assert_no_violations(&[(&call, &refused)]);
    let other = env.send(0, &Call::new("k3", "harmless"));
    assert_eq!(other.status, 200, "{other:?}");
}

/// Guards against duplicate runs, false run states and truncated responses under all faults
/// combined.
#[test]
fn fault_run_small_has_no_violation() {
    let plan = Plan {
        calls: 600,
        routers: 2,
        seed: 7,
        threads: 16,
        has_faults: true,
    };
    let report = fault_run::run(&plan);
    assert_eq!(report.violations, Violations::default(), "{report:?}");
    assert!(
        report.ran * 2 > plan.calls,
        "at most half of the calls ran: {report:?}"
    );
    assert!(report.not_run > 0 && report.unknown > 0, "{report:?}");
}
