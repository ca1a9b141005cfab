//! Measures load skew and server reuse of the choice policies, on replayed traces and on real
//! processes.
//!
//! `cargo build --release && cargo run --release --example measure_choice` prints the tables
//! of docs/measurements.md. With `--record FOLDER` it only writes a part of the choices of each
//! scenario as a trace.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use jujubeusher::decide::choose::Policy;
use jujubeusher::decide::trace::{FORMAT_VERSION, Header, Line};
use jujubeusher::ids::RouterId;
use jujubeusher_standins::engine::EngineOptions;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

mod fleet;
#[path = "../tests/replay/mod.rs"]
mod replay;

use fleet::{ChatRequest, Fleet, Result, Team, send_chat_request};
use replay::{Replay, ReplayResult, Scenario, arrivals};

const SEEDS: [u64; 3] = [1, 2, 3];
/// Period of each scenario that `--record` writes; it begins 500 ms after the scenario's first
/// change.
const RECORDED_MS: std::ops::Range<u64> = 230_500..231_000;
/// Period that `--record` writes of the cold start.
const RECORDED_COLD_MS: std::ops::Range<u64> = 0..2_000;

/// Measures load skew and server reuse of the choice policies.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Only write traces of the scenarios to this directory.
    #[bpaf(long, argument("FOLDER"))]
    record: Option<PathBuf>,
}

fn main() -> Result<()> {
    let options = options().run();
    if let Some(folder) = &options.record {
        return record(folder);
    }
    print_replay_tables();
    println!("| real processes | max/mean, 5 s | highest sample | reuse | returning |");
    println!("| --- | --- | --- | --- | --- |");
    for (policy, has_hints) in [
        ("rendezvous", true),
        ("two_choices", true),
        ("rendezvous", false),
        ("two_choices", false),
    ] {
        measure_processes(policy, has_hints)?;
    }
    Ok(())
}

/// Returns the worst value of each figure over all seeds.
fn worst_result(scenario: &Scenario) -> ReplayResult {
    let mut all = SEEDS.map(|seed| Replay::run(scenario, &arrivals(scenario, seed)));
    let returning = all.iter().map(|f| f.returning).sum();
    let highest = |figure: fn(&ReplayResult) -> f64| all.iter().map(figure).fold(0.0, f64::max);
    ReplayResult {
        skew_mean_5s: highest(|f| f.skew_mean_5s),
        skew_p99: highest(|f| f.skew_p99),
        skew_max: highest(|f| f.skew_max),
        reuse: all.iter().map(|f| f.reuse).fold(1.0, f64::min),
        returning,
        lines: std::mem::take(&mut all[0].lines),
    }
}

fn print_replay_tables() {
    for (policy, title) in [
        (Policy::Rendezvous, "rendezvous"),
        (Policy::TwoChoices, "two choices"),
    ] {
        println!("| {title} | max/mean, 5 s | p99 of samples | highest sample | reuse | n |");
        println!("| --- | --- | --- | --- | --- | --- |");
        for (name, scenario) in Scenario::all(policy) {
            println!("{}", worst_result(&scenario).row(name));
        }
        let mut without_hints = Scenario::steady(policy);
        without_hints.has_hints = false;
        println!("{}", worst_result(&without_hints).row("steady, no hints"));
        let mut without_exchange = Scenario::steady(policy);
        without_exchange.peer_exchange_ms = 0;
        println!(
            "{}",
            worst_result(&without_exchange).row("steady, no exchange of counts")
        );
        println!();
    }
}

fn record(folder: &std::path::Path) -> Result<()> {
    for (name, mut scenario) in Scenario::all(Policy::Rendezvous) {
        scenario.recorded_ms = match name {
            "cold_fleet" => RECORDED_COLD_MS,
            _ => RECORDED_MS,
        };
        let result = Replay::run(&scenario, &arrivals(&scenario, SEEDS[0]));
        let header = Line::Header(Header {
            version: FORMAT_VERSION,
            router: RouterId::from("replay"),
        });
        let mut text = String::new();
        for line in std::iter::once(&header).chain(&result.lines) {
            text.push_str(&serde_json::to_string(line)?);
            text.push('\n');
        }
        std::fs::write(folder.join(format!("{name}.jsonl")), text)?;
    }
    Ok(())
}

const ROUTERS: usize = 3;
const SLOTS: [u32; 6] = [32, 48, 64, 32, 48, 64];
/// Concurrent chats. Each has a request running for 5 of 20 s, so together they occupy two thirds
/// of the slots.
const CONCURRENT_CHATS: usize = 760;
/// Mean pause before each request of a chat.
const MEAN_PAUSE_S: f64 = 15.0;
const TURNS_PER_CHAT: usize = 6;
/// Time before the measurement.
const WARM_UP: Duration = Duration::from_secs(15);
const MEASURE_TIME: Duration = Duration::from_secs(30);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Samples over which the skew is averaged: 5 s.
const WINDOW_SAMPLES: usize = 50;

fn engine_options() -> Vec<EngineOptions> {
    let engine = |(index, slots): (usize, &u32)| EngineOptions {
        slots: *slots,
        tokens: 50,
        first_token_delay: Duration::from_millis(100),
        token_interval: Duration::from_millis(100),
        load_lag: Duration::from_secs(1),
        ..EngineOptions::named(&format!("e{index}"))
    };
    SLOTS.iter().enumerate().map(engine).collect()
}

#[derive(Default)]
struct ReuseCounts {
    /// Requests, failed ones excluded, of chats that already had a response.
    returning: AtomicU64,
    /// Those that reached the server of the previous response.
    same_server: AtomicU64,
}

/// Runs one chat after the other, with a random pause and router for each request.
async fn run_chats(
    routers: Vec<std::net::SocketAddr>,
    number: usize,
    has_hints: bool,
    measure_start: Instant,
    counts: Arc<ReuseCounts>,
) {
    let mut random = StdRng::seed_from_u64(number as u64);
    let mut next_pause_and_router = || {
        let wait_s = -(1.0 - random.random::<f64>()).ln() * MEAN_PAUSE_S;
        let router = routers[random.random_range(0..routers.len())];
        (Duration::from_secs_f64(wait_s), router)
    };
    for chat in 0.. {
        let mut request = ChatRequest {
            router: routers[0],
            key: "desk".to_owned(),
            chat: format!("chat-{number}-{chat}"),
            is_returning: false,
            hint: None,
        };
        let mut server = String::new();
        // The first chat of each task begins at a different turn, as if it had started earlier.
        let first_turn = if chat == 0 {
            number % TURNS_PER_CHAT
        } else {
            0
        };
        for _ in first_turn..TURNS_PER_CHAT {
            let (wait, router) = next_pause_and_router();
            smol::Timer::after(wait).await;
            request.router = router;
            let Ok(response) = send_chat_request(&request).await else {
                break;
            };
            if request.is_returning && Instant::now() >= measure_start {
                counts.returning.fetch_add(1, Ordering::Relaxed);
                let is_same = u64::from(response.server == server);
                counts.same_server.fetch_add(is_same, Ordering::Relaxed);
            }
            server = response.server;
            request.is_returning = true;
            request.hint = response.hint.filter(|_| has_hints);
        }
    }
}

fn measure_processes(policy: &str, has_hints: bool) -> Result<()> {
    let team = Team {
        name: "desk",
        class: "paying",
    };
    let settings = format!("[choose]\npolicy = {policy}\n");
    let fleet = Fleet::open(engine_options(), ROUTERS, &[team], &settings)?;
    let counts = Arc::new(ReuseCounts::default());
    let measure_start = Instant::now() + WARM_UP;
    let tasks: Vec<_> = (0..CONCURRENT_CHATS)
        .map(|number| {
            let counts = Arc::clone(&counts);
            let routers = fleet.router_addresses.clone();
            smol::spawn(run_chats(routers, number, has_hints, measure_start, counts))
        })
        .collect();
    std::thread::sleep(WARM_UP);
    let mut samples: Vec<Vec<f64>> = Vec::new();
    while measure_start.elapsed() < MEASURE_TIME {
        std::thread::sleep(SAMPLE_INTERVAL);
        let loads = fleet.engines.iter().map(|engine| {
            let (running, waiting) = engine.load();
            f64::from(running + waiting)
        });
        let loads: Vec<f64> = loads.collect();
        let slots: f64 = SLOTS.iter().map(|s| f64::from(*s)).sum();
        let mean = loads.iter().sum::<f64>() / slots;
        let ratio = |(load, slots): (&f64, &u32)| load / f64::from(*slots) / mean;
        samples.push(loads.iter().zip(&SLOTS).map(ratio).collect());
    }
    let highest_ratio = |row: &Vec<f64>| row.iter().copied().fold(0.0, f64::max);
    let window_maximum = |rows: &[Vec<f64>]| {
        let column = |i: usize| rows.iter().map(|r| r[i]).sum::<f64>() / rows.len() as f64;
        (0..SLOTS.len()).map(column).fold(0.0, f64::max)
    };
    let skew = samples
        .chunks_exact(WINDOW_SAMPLES)
        .map(window_maximum)
        .fold(0.0, f64::max);
    let highest_sample = samples.iter().map(highest_ratio).fold(0.0, f64::max);
    let returning = counts.returning.load(Ordering::Relaxed);
    let reuse = counts.same_server.load(Ordering::Relaxed) as f64 / returning.max(1) as f64;
    let hint_note = if has_hints { "" } else { ", no hints" };
    println!(
        "| {policy}{hint_note} | {skew:.3} | {highest_sample:.2} | {reuse:.4} | {returning} |"
    );
    drop(tasks);
    Ok(())
}
