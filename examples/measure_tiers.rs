//! Measures the free tier and the teams' shares on real processes.
//!
//! `cargo build --release && cargo run --release --example measure_tiers`
//!
//! First a paying team runs alone and beside a free flood of 5 times the capacity, in turns
//! within one run. Then equal teams that all want more than their share run at once; one of
//! them reaches a single router and one comes back ten times as fast after a refusal.

use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use jujubeusher_standins::engine::EngineOptions;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

mod fleet;

use fleet::{ChatRequest, Fleet, Result, Team, quantile, send_chat_request};

const ROUTERS: usize = 3;
const ENGINES: usize = 3;
const SLOTS: u32 = 64;
const TOKENS: u32 = 38;
const FIRST_TOKEN: Duration = Duration::from_millis(100);
const NEXT_TOKEN: Duration = Duration::from_millis(50);
/// Slots over the time that a request holds one.
const CAPACITY_PER_S: f64 = 192.0 / 2.0;
const PHASE: Duration = Duration::from_secs(8);
const PHASES: usize = 4;
/// Time in each phase that is not counted, so that the one before has ended.
const LEAD: Duration = Duration::from_millis(2_500);
const SHARE_RUN: Duration = Duration::from_secs(60);
const SHARE_LEAD: Duration = Duration::from_secs(10);
const WORKERS: usize = 96;
/// Bound of requirement R8.
const FLOOD_RATIO_MAX: f64 = 1.1;
/// Bound of requirement R9.
const SHARE_DISTANCE_MAX: f64 = 0.05;

fn engines() -> Vec<EngineOptions> {
    let engine = |index| EngineOptions {
        slots: SLOTS,
        tokens: TOKENS,
        first_token_delay: FIRST_TOKEN,
        token_interval: NEXT_TOKEN,
        load_lag: Duration::from_secs(1),
        ..EngineOptions::named(&format!("e{index}"))
    };
    (0..ENGINES).map(engine).collect()
}

fn team(name: &'static str, class: &'static str) -> Team {
    Team { name, class }
}

/// Sends requests at a mean rate until a flag is set, whatever becomes of them.
async fn open_loop(
    routers: Vec<std::net::SocketAddr>,
    key: &'static str,
    per_s: f64,
    until: Instant,
    seed: u64,
    sink: Arc<Mutex<Vec<fleet::ChatResponse>>>,
) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut next = Instant::now();
    let mut number = 0u64;
    while next < until {
        smol::Timer::at(next).await;
        let wait_s = -(1.0 - random.random::<f64>()).ln() / per_s;
        next += Duration::from_secs_f64(wait_s);
        number += 1;
        let request = ChatRequest {
            router: routers[random.random_range(0..routers.len())],
            key: key.to_owned(),
            chat: format!("{key}-{seed}-{number}"),
            is_returning: false,
            hint: None,
        };
        let sink = Arc::clone(&sink);
        smol::spawn(async move {
            if let Ok(response) = send_chat_request(&request).await {
                sink.lock().push(response);
            }
        })
        .detach();
    }
}

#[derive(Default)]
struct Tier {
    first_ms: Vec<f64>,
    asked: usize,
    complete: usize,
}

/// Returns the ratio of the paying callers' p95 first token, flooded over alone.
fn measure_flood(paying_part: f64) -> Result<f64> {
    let teams = [team("desk", "paying"), team("flood", "free")];
    let fleet = Fleet::open(engines(), ROUTERS, &teams, "")?;
    let mut alone = Tier::default();
    let mut flooded = Tier::default();
    let mut free = Tier::default();
    for phase in 0..PHASES {
        let is_flooded = phase % 2 == 1;
        let paying = Arc::new(Mutex::new(Vec::new()));
        let flood_replies = Arc::new(Mutex::new(Vec::new()));
        let start = Instant::now();
        let until = start + PHASE;
        let routers = || fleet.router_addresses.clone();
        smol::block_on(async {
            if is_flooded {
                let rate = 5.0 * CAPACITY_PER_S;
                let flood = open_loop(
                    routers(),
                    "flood",
                    rate,
                    until,
                    9,
                    Arc::clone(&flood_replies),
                );
                smol::spawn(flood).detach();
            }
            smol::Timer::after(LEAD).await;
            let rate = paying_part * CAPACITY_PER_S;
            let seed = phase as u64 / 2;
            open_loop(routers(), "desk", rate, until, seed, Arc::clone(&paying)).await;
            smol::Timer::after(LEAD).await;
        });
        let tier = if is_flooded { &mut flooded } else { &mut alone };
        for response in paying.lock().iter() {
            tier.asked += 1;
            if response.is_complete {
                tier.complete += 1;
                tier.first_ms
                    .push(response.first_token_delay.as_secs_f64() * 1e3);
            }
        }
        free.asked += flood_replies.lock().len();
        free.complete += flood_replies
            .lock()
            .iter()
            .filter(|r| r.is_complete)
            .count();
    }
    alone.first_ms.sort_by(f64::total_cmp);
    flooded.first_ms.sort_by(f64::total_cmp);
    let p95 = [&alone, &flooded].map(|t| quantile(&t.first_ms, 0.95));
    let p50 = [&alone, &flooded].map(|t| quantile(&t.first_ms, 0.50));
    println!(
        "paying at {paying_part} of capacity: p50 alone {:.1} ms, flooded {:.1} ms; p95 alone {:.1} ms, flooded {:.1} ms, ratio {:.3}",
        p50[0],
        p50[1],
        p95[0],
        p95[1],
        p95[1] / p95[0]
    );
    println!(
        "  paying complete alone {}/{}, flooded {}/{}; free complete {}/{}",
        alone.complete, alone.asked, flooded.complete, flooded.asked, free.complete, free.asked
    );
    Ok(p95[1] / p95[0])
}

/// A caller that sends its next request when the last one ended, or after a pause when it
/// was refused.
async fn closed_loop(
    routers: Vec<std::net::SocketAddr>,
    key: &'static str,
    pause: Duration,
    worker: usize,
    counted: Arc<AtomicBool>,
    done: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
) {
    let mut number = worker;
    while !stop.load(Ordering::Relaxed) {
        number += WORKERS;
        let request = ChatRequest {
            router: routers[number / WORKERS % routers.len()],
            key: key.to_owned(),
            chat: format!("{key}-{number}"),
            is_returning: false,
            hint: None,
        };
        match send_chat_request(&request).await {
            Ok(response) if response.is_complete => {
                if counted.load(Ordering::Relaxed) {
                    done.fetch_add(1, Ordering::Relaxed);
                }
            }
            _ => {
                smol::Timer::after(pause).await;
            }
        }
    }
}

/// Returns the largest distance of a team's completed work from the mean, as a share of it.
fn measure_shares() -> Result<f64> {
    const NAMES: [&str; 4] = ["one-router", "all-routers", "hasty", "calm"];
    let teams = NAMES.map(|name| team(name, "paying"));
    let fleet = Fleet::open(engines(), ROUTERS, &teams, "")?;
    let (counted, stop) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
    let done = NAMES.map(|_| Arc::<AtomicUsize>::default());
    for (name, done) in NAMES.into_iter().zip(&done) {
        let routers = match name {
            "one-router" => fleet.router_addresses[..1].to_vec(),
            _ => fleet.router_addresses.clone(),
        };
        let pause = Duration::from_millis(if name == "hasty" { 100 } else { 1_000 });
        for worker in 0..WORKERS {
            smol::spawn(closed_loop(
                routers.clone(),
                name,
                pause,
                worker,
                Arc::clone(&counted),
                Arc::clone(done),
                Arc::clone(&stop),
            ))
            .detach();
        }
    }
    std::thread::sleep(SHARE_LEAD);
    counted.store(true, Ordering::Relaxed);
    std::thread::sleep(SHARE_RUN);
    counted.store(false, Ordering::Relaxed);
    stop.store(true, Ordering::Relaxed);
    let counts = done.each_ref().map(|d| d.load(Ordering::Relaxed) as f64);
    let mean = counts.iter().sum::<f64>() / counts.len() as f64;
    for (name, count) in NAMES.iter().zip(counts) {
        println!(
            "team {name}: {count} complete, {:+.1}% of the mean",
            (count / mean - 1.0) * 1e2
        );
    }
    let used = mean * counts.len() as f64 / (CAPACITY_PER_S * SHARE_RUN.as_secs_f64());
    println!("capacity used: {used:.2}");
    let distance = |count: f64| (count / mean - 1.0).abs();
    Ok(counts.into_iter().map(distance).fold(0.0, f64::max))
}

fn main() -> Result<ExitCode> {
    let mut is_met = true;
    for part in [0.3, 0.6] {
        is_met &= measure_flood(part)? <= FLOOD_RATIO_MAX;
    }
    is_met &= measure_shares()? <= SHARE_DISTANCE_MAX;
    println!("R8 and R9 met: {is_met}");
    Ok(match is_met {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}
