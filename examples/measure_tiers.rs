//! Measures, on real processes, how the free tier affects paying callers and how evenly capacity
//! is shared among teams.
//!
//! `cargo build --release && cargo run --release --example measure_tiers`
//!
//! The first measurement alternates, within one run, between a paying team alone and the same
//! team beside free requests at 5 times the capacity. The second one runs equal teams at the same
//! time, each of which requests more than its share; one of them uses a single router and one
//! retries ten times as fast after a refusal.

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
const FIRST_TOKEN_DELAY: Duration = Duration::from_millis(100);
const TOKEN_INTERVAL: Duration = Duration::from_millis(50);
/// Requests per second at full load: all slots, divided by the 2 s that a request occupies one.
const CAPACITY_PER_S: f64 = 192.0 / 2.0;
/// Time in which requests are started in each phase.
const PHASE_TIME: Duration = Duration::from_secs(8);
/// Phases of the flood measurement: alternately without and with the flood.
const PHASES: usize = 4;
/// Wait before and after the paying requests of each phase, so that the requests of one phase end
/// before those of the next are counted.
const PHASE_MARGIN: Duration = Duration::from_millis(2_500);
const SHARE_MEASURE_TIME: Duration = Duration::from_secs(60);
/// Time before the measurement of shares.
const SHARE_WARM_UP: Duration = Duration::from_secs(10);
/// Concurrent callers of each team in the measurement of shares.
const WORKERS: usize = 96;
/// Bound of requirement R8: the paying callers' p95 time to the first token with the flood, over
/// that without it.
const FLOOD_RATIO_MAX: f64 = 1.1;
/// Bound of requirement R9: the difference between a team's completed requests and the mean, as a
/// share of the mean.
const SHARE_DEVIATION_MAX: f64 = 0.05;

fn engine_options() -> Vec<EngineOptions> {
    let engine = |index| EngineOptions {
        slots: SLOTS,
        tokens: TOKENS,
        first_token_delay: FIRST_TOKEN_DELAY,
        token_interval: TOKEN_INTERVAL,
        load_lag: Duration::from_secs(1),
        ..EngineOptions::named(&format!("e{index}"))
    };
    (0..ENGINES).map(engine).collect()
}

fn team(name: &'static str, class: &'static str) -> Team {
    Team { name, class }
}

/// Sends requests at a mean rate until `until`, without waiting for their responses.
async fn open_loop(
    routers: Vec<std::net::SocketAddr>,
    key: &'static str,
    per_s: f64,
    until: Instant,
    seed: u64,
    responses: Arc<Mutex<Vec<fleet::ChatResponse>>>,
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
        let responses = Arc::clone(&responses);
        smol::spawn(async move {
            if let Ok(response) = send_chat_request(&request).await {
                responses.lock().push(response);
            }
        })
        .detach();
    }
}

#[derive(Default)]
struct TierFigures {
    /// Times to the first token of the complete responses.
    first_token_ms: Vec<f64>,
    /// Requests that got any response.
    responses: usize,
    /// Requests with a complete response.
    complete: usize,
}

/// Returns the paying callers' p95 time to the first token with the flood, over that without it.
///
/// The paying requests take `paying_part` of the capacity.
fn measure_flood(paying_part: f64) -> Result<f64> {
    let teams = [team("desk", "paying"), team("flood", "free")];
    let fleet = Fleet::open(engine_options(), ROUTERS, &teams, "")?;
    let mut alone = TierFigures::default();
    let mut flooded = TierFigures::default();
    let mut free = TierFigures::default();
    for phase in 0..PHASES {
        let is_flooded = phase % 2 == 1;
        let paying_responses = Arc::new(Mutex::new(Vec::new()));
        let flood_responses = Arc::new(Mutex::new(Vec::new()));
        let start = Instant::now();
        let until = start + PHASE_TIME;
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
                    Arc::clone(&flood_responses),
                );
                smol::spawn(flood).detach();
            }
            smol::Timer::after(PHASE_MARGIN).await;
            let rate = paying_part * CAPACITY_PER_S;
            let seed = phase as u64 / 2;
            open_loop(
                routers(),
                "desk",
                rate,
                until,
                seed,
                Arc::clone(&paying_responses),
            )
            .await;
            smol::Timer::after(PHASE_MARGIN).await;
        });
        let tier = if is_flooded { &mut flooded } else { &mut alone };
        for response in paying_responses.lock().iter() {
            tier.responses += 1;
            if response.is_complete {
                tier.complete += 1;
                tier.first_token_ms
                    .push(response.first_token_delay.as_secs_f64() * 1e3);
            }
        }
        free.responses += flood_responses.lock().len();
        free.complete += flood_responses
            .lock()
            .iter()
            .filter(|r| r.is_complete)
            .count();
    }
    alone.first_token_ms.sort_by(f64::total_cmp);
    flooded.first_token_ms.sort_by(f64::total_cmp);
    let p95 = [&alone, &flooded].map(|t| quantile(&t.first_token_ms, 0.95));
    let p50 = [&alone, &flooded].map(|t| quantile(&t.first_token_ms, 0.50));
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
        alone.complete,
        alone.responses,
        flooded.complete,
        flooded.responses,
        free.complete,
        free.responses
    );
    Ok(p95[1] / p95[0])
}

/// Sends the next request when the previous one is complete, or after a pause if it was refused or
/// failed.
async fn closed_loop(
    routers: Vec<std::net::SocketAddr>,
    key: &'static str,
    pause: Duration,
    worker: usize,
    is_measuring: Arc<AtomicBool>,
    completed: Arc<AtomicUsize>,
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
                if is_measuring.load(Ordering::Relaxed) {
                    completed.fetch_add(1, Ordering::Relaxed);
                }
            }
            _ => {
                smol::Timer::after(pause).await;
            }
        }
    }
}

/// Returns the largest difference between a team's completed requests and the mean, as a share of
/// the mean.
fn measure_shares() -> Result<f64> {
    const NAMES: [&str; 4] = ["one-router", "all-routers", "hasty", "calm"];
    let teams = NAMES.map(|name| team(name, "paying"));
    let fleet = Fleet::open(engine_options(), ROUTERS, &teams, "")?;
    let (is_measuring, stop) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
    let completed = NAMES.map(|_| Arc::<AtomicUsize>::default());
    for (name, completed) in NAMES.into_iter().zip(&completed) {
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
                Arc::clone(&is_measuring),
                Arc::clone(completed),
                Arc::clone(&stop),
            ))
            .detach();
        }
    }
    std::thread::sleep(SHARE_WARM_UP);
    is_measuring.store(true, Ordering::Relaxed);
    std::thread::sleep(SHARE_MEASURE_TIME);
    is_measuring.store(false, Ordering::Relaxed);
    stop.store(true, Ordering::Relaxed);
    let counts = completed
        .each_ref()
        .map(|d| d.load(Ordering::Relaxed) as f64);
    let mean = counts.iter().sum::<f64>() / counts.len() as f64;
    for (name, count) in NAMES.iter().zip(counts) {
        println!(
            "team {name}: {count} complete, {:+.1}% of the mean",
            (count / mean - 1.0) * 1e2
        );
    }
    let used = mean * counts.len() as f64 / (CAPACITY_PER_S * SHARE_MEASURE_TIME.as_secs_f64());
    println!("capacity used: {used:.2}");
    let deviation = |count: f64| (count / mean - 1.0).abs();
    Ok(counts.into_iter().map(deviation).fold(0.0, f64::max))
}

fn main() -> Result<ExitCode> {
    let mut is_within_bounds = true;
    for paying_part in [0.3, 0.6] {
        is_within_bounds &= measure_flood(paying_part)? <= FLOOD_RATIO_MAX;
    }
    is_within_bounds &= measure_shares()? <= SHARE_DEVIATION_MAX;
    println!("R8 and R9 met: {is_within_bounds}");
    Ok(match is_within_bounds {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}
