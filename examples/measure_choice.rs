//! Measures the choosing policies: skew and reuse, on replayed traces and on real processes.
//!
//! `cargo build --release && cargo run --release --example measure_choice` prints the tables
//! of docs/measurements.md. `--record FOLDER` only writes some choices of each situation as
//! traces.

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
use replay::{Figures, Replay, Scenario, arrivals};

const SEEDS: [u64; 3] = [1, 2, 3];
/// Part of each situation that `--record` writes: right after the changes.
const RECORDED_MS: std::ops::Range<u64> = 230_500..231_000;
const RECORDED_COLD_MS: std::ops::Range<u64> = 0..2_000;

/// Measures skew and reuse of the choosing policies.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Folder for recorded traces.
    #[bpaf(long, argument("FOLDER"))]
    record: Option<PathBuf>,
}

fn main() -> Result<()> {
    let options = options().run();
    if let Some(folder) = &options.record {
        return record(folder);
    }
    print_replays();
    println!("| real processes | max/mean, 5 s | highest sample | reuse | returning |");
    println!("| --- | --- | --- | --- | --- |");
    for (policy, has_hints) in [
        ("rendezvous", true),
        ("two_choices", true),
        ("rendezvous", false),
        ("two_choices", false),
    ] {
        measure_real(policy, has_hints)?;
    }
    Ok(())
}

/// The worst of all seeds.
fn worst(scenario: &Scenario) -> Figures {
    let mut all = SEEDS.map(|seed| Replay::run(scenario, &arrivals(scenario, seed)));
    let returning = all.iter().map(|f| f.returning).sum();
    let highest = |of: fn(&Figures) -> f64| all.iter().map(of).fold(0.0, f64::max);
    Figures {
        skew_5s: highest(|f| f.skew_5s),
        skew_p99: highest(|f| f.skew_p99),
        skew_max: highest(|f| f.skew_max),
        reuse: all.iter().map(|f| f.reuse).fold(1.0, f64::min),
        returning,
        lines: std::mem::take(&mut all[0].lines),
    }
}

fn print_replays() {
    for (policy, title) in [
        (Policy::Rendezvous, "rendezvous"),
        (Policy::TwoChoices, "two choices"),
    ] {
        println!("| {title} | max/mean, 5 s | p99 of samples | highest sample | reuse | n |");
        println!("| --- | --- | --- | --- | --- | --- |");
        for (name, scenario) in Scenario::all(policy) {
            println!("{}", worst(&scenario).row(name));
        }
        let mut plain = Scenario::steady(policy);
        plain.has_hints = false;
        println!("{}", worst(&plain).row("steady, no hints"));
        let mut alone = Scenario::steady(policy);
        alone.peer_ms = 0;
        println!("{}", worst(&alone).row("steady, no exchange of counts"));
        println!();
    }
}

fn record(folder: &std::path::Path) -> Result<()> {
    for (name, mut scenario) in Scenario::all(Policy::Rendezvous) {
        scenario.recorded_ms = match name {
            "cold_fleet" => RECORDED_COLD_MS,
            _ => RECORDED_MS,
        };
        let figures = Replay::run(&scenario, &arrivals(&scenario, SEEDS[0]));
        let header = Line::Header(Header {
            version: FORMAT_VERSION,
            router: RouterId::from("replay"),
        });
        let mut text = String::new();
        for line in std::iter::once(&header).chain(&figures.lines) {
            text.push_str(&serde_json::to_string(line)?);
            text.push('\n');
        }
        std::fs::write(folder.join(format!("{name}.jsonl")), text)?;
    }
    Ok(())
}

const ROUTERS: usize = 3;
const SLOTS: [u32; 6] = [32, 48, 64, 32, 48, 64];
/// Chats at a time: with 5 s of answer in 20 s they hold two thirds of the slots.
const CHATS: usize = 760;
const THINK_S: f64 = 15.0;
const TURNS: usize = 6;
const LEAD: Duration = Duration::from_secs(15);
const RUN: Duration = Duration::from_secs(30);
const SAMPLE: Duration = Duration::from_millis(100);
const WINDOW: usize = 50;

fn engines() -> Vec<EngineOptions> {
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
struct Count {
    returning: AtomicU64,
    same: AtomicU64,
}

/// Chats one after the other, each with some turns and pauses between them.
async fn chat_loop(
    routers: Vec<std::net::SocketAddr>,
    number: usize,
    has_hints: bool,
    from: Instant,
    count: Arc<Count>,
) {
    let mut random = StdRng::seed_from_u64(number as u64);
    let mut pause = || {
        let wait_s = -(1.0 - random.random::<f64>()).ln() * THINK_S;
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
        // The first chats are joined at different turns.
        let first_turn = if chat == 0 { number % TURNS } else { 0 };
        for _ in first_turn..TURNS {
            let (wait, router) = pause();
            smol::Timer::after(wait).await;
            request.router = router;
            let Ok(response) = send_chat_request(&request).await else {
                break;
            };
            if request.is_returning && Instant::now() >= from {
                count.returning.fetch_add(1, Ordering::Relaxed);
                let is_same = u64::from(response.server == server);
                count.same.fetch_add(is_same, Ordering::Relaxed);
            }
            server = response.server;
            request.is_returning = true;
            request.hint = response.hint.filter(|_| has_hints);
        }
    }
}

fn measure_real(policy: &str, has_hints: bool) -> Result<()> {
    let team = Team {
        name: "desk",
        class: "paying",
    };
    let settings = format!("[choose]\npolicy = {policy}\n");
    let fleet = Fleet::open(engines(), ROUTERS, &[team], &settings)?;
    let count = Arc::new(Count::default());
    let from = Instant::now() + LEAD;
    let tasks: Vec<_> = (0..CHATS)
        .map(|number| {
            let count = Arc::clone(&count);
            let routers = fleet.router_addresses.clone();
            smol::spawn(chat_loop(routers, number, has_hints, from, count))
        })
        .collect();
    std::thread::sleep(LEAD);
    let mut samples: Vec<Vec<f64>> = Vec::new();
    while from.elapsed() < RUN {
        std::thread::sleep(SAMPLE);
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
    let highest = |row: &Vec<f64>| row.iter().copied().fold(0.0, f64::max);
    let window = |rows: &[Vec<f64>]| {
        let column = |i: usize| rows.iter().map(|r| r[i]).sum::<f64>() / rows.len() as f64;
        (0..SLOTS.len()).map(column).fold(0.0, f64::max)
    };
    let skew = samples.chunks_exact(WINDOW).map(window).fold(0.0, f64::max);
    let sample = samples.iter().map(highest).fold(0.0, f64::max);
    let returning = count.returning.load(Ordering::Relaxed);
    let reuse = count.same.load(Ordering::Relaxed) as f64 / returning.max(1) as f64;
    let hints = if has_hints { "" } else { ", no hints" };
    println!("| {policy}{hints} | {skew:.3} | {sample:.2} | {reuse:.4} | {returning} |");
    drop(tasks);
    Ok(())
}
