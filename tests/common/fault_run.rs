//! Sends many non-idempotent calls while seeded faults are injected, and checks the responses
//! against the runs that the services recorded. Used by a test with few calls and by
//! `examples/fault_run.rs` with many.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use jujubeusher_standins::proxy::{End, Faults, Proxy, RandomFaults};
use jujubeusher_standins::service::{Fault, FaultMix};
use jujubeusher_standins::table::{Outage, TableFaults};
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::once::{Call, OnceEnv, Violations, violations};
use super::{Response, WAIT_TIMEOUT, any_port};

/// Size and seed of a run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Number of calls, without retries.
    pub calls: usize,
    /// Number of router processes.
    pub routers: usize,
    /// Seed of keys, bodies and faults.
    pub seed: u64,
    /// Number of threads, each of which sends one call at a time.
    pub threads: usize,
    /// Whether faults are injected.
    pub has_faults: bool,
}

/// Counts of a run and the violations found.
#[derive(Debug)]
pub struct Report {
    pub requests: usize,
    pub keys: usize,
    pub runs: usize,
    pub ran: usize,
    pub unknown: usize,
    pub not_run: usize,
    pub no_response: usize,
    pub violations: Violations,
    pub elapsed: Duration,
}

impl Report {
    /// Requests per second, retries included.
    pub fn requests_per_s(&self) -> f64 {
        self.requests as f64 / self.elapsed.as_secs_f64()
    }
}

/// On average one call in this many repeats the key of an earlier one.
const CALLS_PER_REPEAT: usize = 4;
/// Largest distance, in calls, between a repeat and the call it repeats; small enough for both to
/// be in flight at the same time.
const REPEAT_DISTANCE_MAX: usize = 40;
/// On average one call in this many has a deadline that a slow server misses.
const CALLS_PER_SHORT_DEADLINE: usize = 10;
const SHORT_DEADLINE_MS: u64 = 150;
const SLOW_RESPONSE_DELAY: Duration = Duration::from_millis(400);
const DEADLINE_MS: u64 = 5_000;
/// Most attempts at one call; it is sent again after no response, `not_run` or `unknown`.
const ATTEMPTS_MAX: usize = 3;

/// Generates the calls of a run from its seed.
fn calls(plan: &Plan) -> Vec<Call> {
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let mut calls: Vec<Call> = Vec::with_capacity(plan.calls);
    for index in 0..plan.calls {
        let is_repeat = index > 0 && rng.random_range(0..CALLS_PER_REPEAT) == 0;
        let call = if is_repeat {
            let back = rng.random_range(1..=REPEAT_DISTANCE_MAX.min(index));
            calls[index - back].clone()
        } else {
            let length = rng.random_range(10..3_000);
            let body = format!("call {index} {}", "x".repeat(length));
            Call::new(&format!("key-{index}"), &body)
        };
        let deadline_ms = match rng.random_range(0..CALLS_PER_SHORT_DEADLINE) {
            0 => SHORT_DEADLINE_MS,
            _ => DEADLINE_MS,
        };
        calls.push(call.with_deadline_ms(deadline_ms));
    }
    calls
}

fn service_mix(seed: u64) -> FaultMix {
    FaultMix {
        seed,
        per_mille: vec![
            (Fault::ResetBeforeBody, 10),
            (Fault::ResetDuringBody, 10),
            (Fault::ResetAfterBody, 10),
            (Fault::ResetAfterRun, 15),
            (Fault::NotRun, 30),
            (Fault::Slow(SLOW_RESPONSE_DELAY), 15),
            (Fault::MisattributedResponse, 5),
            (Fault::MisattributedNotRun, 5),
            (Fault::TruncatedResponse, 10),
        ],
    }
}

fn table_faults(seed: u64, outage: Outage) -> TableFaults {
    TableFaults {
        outage,
        lost_responses_per_mille: 20,
        seed,
        ..TableFaults::default()
    }
}

/// Ends some connections after a random number of bytes, at most 600, so that a response of a few
/// hundred bytes is often truncated in its middle.
fn random_disconnects(seed: u64, end: End) -> Faults {
    Faults {
        random: Some(RandomFaults {
            seed,
            end_probability: 0.02,
            end,
            end_max_bytes: 600,
            delay_max: Duration::from_millis(2),
        }),
        ..Faults::default()
    }
}

/// Environment of a run, with a proxy in front of each router.
struct Run {
    env: Mutex<OnceEnv>,
    router_proxies: Vec<Proxy>,
    plan: Plan,
    completed: AtomicUsize,
}

impl Run {
    fn open(plan: &Plan) -> Self {
        let env = OnceEnv::open(plan.routers, 2);
        let router_proxy =
            |index| Proxy::bind(any_port(), env.address(index)).expect("a proxy binds");
        let router_proxies: Vec<Proxy> = (0..plan.routers).map(router_proxy).collect();
        if plan.has_faults {
            inject_random_faults(&env, &router_proxies, plan.seed);
        }
        Self {
            env: Mutex::new(env),
            router_proxies,
            plan: plan.clone(),
            completed: AtomicUsize::new(0),
        }
    }

    /// Waits until this share of the calls is completed.
    fn wait_completed(&self, per_mille: usize) {
        while self.completed.load(Ordering::Relaxed) * 1000 < self.plan.calls * per_mille {
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Injects the faults that occur once each, at fixed shares of the completed calls.
    fn inject_scheduled_faults(&self) {
        let seed = self.plan.seed;
        let last = self.plan.routers - 1;
        self.wait_completed(150);
        self.table_outage(Outage::Refuse, Duration::from_millis(300));
        self.wait_completed(300);
        self.restart(0);
        self.wait_completed(450);
        self.pause(last, Duration::from_millis(700));
        self.wait_completed(600);
        self.table_outage(Outage::Hang, Duration::from_millis(700));
        self.wait_completed(750);
        self.restart(last);
        self.wait_completed(850);
        self.pause(0, Duration::from_millis(300));
        self.env
            .lock()
            .table
            .set_faults(table_faults(seed, Outage::None));
    }

    fn table_outage(&self, outage: Outage, length: Duration) {
        let seed = self.plan.seed;
        let set = |outage| self.env.lock().table.set_faults(table_faults(seed, outage));
        set(outage);
        thread::sleep(length);
        set(Outage::None);
    }

    fn restart(&self, index: usize) {
        let mut env = self.env.lock();
        env.kill_router(index);
        let router = env.spawn_router(index, "");
        self.router_proxies[index].set_upstream(router.address);
        env.routers[index] = Some(router);
    }

    fn pause(&self, index: usize, length: Duration) {
        let id = self.env.lock().router(index).child.id().to_string();
        for name in ["-STOP", "-CONT"] {
            let status = Command::new("kill").args([name, &id]).status();
            assert!(status.expect("kill runs").success());
            thread::sleep(if name == "-STOP" {
                length
            } else {
                Duration::ZERO
            });
        }
    }

    /// Sends a call; repeats it through the other routers while its outcome is not final.
    fn send(&self, index: usize, call: &Call, responses: &mut Vec<(Call, Response)>) {
        for attempt in 0..ATTEMPTS_MAX {
            let router_proxy = &self.router_proxies[(index + attempt) % self.router_proxies.len()];
            let response = try_exchange(router_proxy.address(), &call.bytes());
            let is_final = matches!(response.status, 200 | 422);
            responses.push((call.clone(), response));
            if is_final {
                break;
            }
            thread::sleep(Duration::from_millis(5 << attempt));
        }
        self.completed.fetch_add(1, Ordering::Relaxed);
    }
}

fn inject_random_faults(env: &OnceEnv, router_proxies: &[Proxy], seed: u64) {
    for (index, service) in env.services.iter().enumerate() {
        service.set_fault_mix(Some(service_mix(seed + index as u64)));
    }
    env.table.set_faults(table_faults(seed, Outage::None));
    env.table_proxy
        .set_faults(random_disconnects(seed, End::Reset));
    for (index, proxy) in env.service_proxies.iter().chain(router_proxies).enumerate() {
        let end = if index % 2 == 0 {
            End::Reset
        } else {
            End::Close
        };
        proxy.set_faults(random_disconnects(seed + 10 + index as u64, end));
    }
}

/// Like [`exchange`](super::exchange), but tolerates failure at any point; the status is 0 if the
/// header block is incomplete.
fn try_exchange(address: SocketAddr, request: &[u8]) -> Response {
    let mut bytes = Vec::new();
    if let Ok(mut stream) = TcpStream::connect(address) {
        let _ = stream.set_read_timeout(Some(WAIT_TIMEOUT));
        if stream.write_all(request).is_ok() {
            let _ = stream.read_to_end(&mut bytes);
        }
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (headers, body) = text.split_once("\r\n\r\n").unwrap_or_default();
    let status = headers.split_whitespace().nth(1);
    Response {
        status: status.and_then(|code| code.parse().ok()).unwrap_or(0),
        headers: headers.to_owned(),
        body: body.to_owned(),
    }
}

/// Executes a run and reports its outcome.
pub fn run(plan: &Plan) -> Report {
    let calls = calls(plan);
    let run = Run::open(plan);
    let next = AtomicUsize::new(0);
    let start = Instant::now();
    let work = || {
        let mut responses = Vec::new();
        loop {
            let index = next.fetch_add(1, Ordering::Relaxed);
            let Some(call) = calls.get(index) else {
                return responses;
            };
            run.send(index, call, &mut responses);
        }
    };
    let responses: Vec<(Call, Response)> = thread::scope(|scope| {
        let workers: Vec<_> = (0..plan.threads).map(|_| scope.spawn(work)).collect();
        if plan.has_faults {
            run.inject_scheduled_faults();
        }
        let ends = workers
            .into_iter()
            .map(|w| w.join().expect("a worker ends"));
        ends.flatten().collect()
    });
    let elapsed = start.elapsed();
    report(&run.env.lock(), &calls, &responses, elapsed)
}

fn report(
    env: &OnceEnv,
    calls: &[Call],
    responses: &[(Call, Response)],
    elapsed: Duration,
) -> Report {
    // Calls whose response was `unknown` may still be running.
    env.wait_until_settled();
    let runs = env.runs();
    let count = |state: &str| {
        let is_state =
            |(_, response): &&(Call, Response)| response.header("x-run-state") == Some(state);
        responses.iter().filter(is_state).count()
    };
    let mut keys: Vec<_> = calls.iter().map(|call| &call.key).collect();
    keys.sort();
    keys.dedup();
    Report {
        requests: responses.len(),
        keys: keys.len(),
        runs: runs.len(),
        ran: count("ran"),
        unknown: count("unknown"),
        not_run: count("not_run"),
        no_response: responses
            .iter()
            .filter(|(_, response)| response.status == 0)
            .count(),
        violations: violations(
            &runs,
            responses.iter().map(|(call, response)| (call, response)),
        ),
        elapsed,
    }
}
