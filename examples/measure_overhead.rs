//! Measures the latency that the router adds to a direct call and the throughput of one router
//! process.
//!
//! `cargo run --release --example measure_overhead` runs all measurements; an argument selects
//! one. The router and the engines run in separate processes, which this program starts from its
//! own executable.

#[path = "measure_overhead/client.rs"]
mod client;
#[path = "measure_overhead/engine.rs"]
mod engine;

use std::error::Error;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use client::{Load, Totals};
use hdrhistogram::Histogram;
use jujubeusher::config::ini::Document;
use jujubeusher::config::inventory::Inventory;
use jujubeusher::config::settings::RouterSettings;
use jujubeusher::filter::identify::key_sha256;
use jujubeusher::observe::logging;
use jujubeusher::router::Router;
use jujubeusher::runtime::{Runtime, raise_open_file_limit};

/// API key of the only team.
const KEY: &str = "measure-key";
/// Number of engine processes; each has several listeners.
const ENGINE_PROCESSES: usize = 3;
/// Slots of each engine; no load occupies all of them.
const SLOTS: u32 = 10_000;
/// A node's share of the design's peak of 9,600 requests per second over 370 nodes.
const SHARE_REQUESTS_PER_S: f64 = 26.0;
/// A node's share of the design's peak of 2.5 million tokens per second.
const SHARE_EVENTS_PER_S: f64 = 6_757.0;
/// Tokens of a response at the peak: 2.5 million over 9,600.
const PEAK_TOKENS: u32 = 260;
/// Time between tokens at the peak.
const PEAK_GAP_MS: u64 = 29;
/// Pairs of a direct and a routed call in the latency measurement.
const LATENCY_PAIRS: usize = 10_000;

/// Any error; it can be sent between threads, because tasks return it.
type BoxError = Box<dyn Error + Send + Sync>;

/// Names of the measurements.
///
/// `latency` measures the duration of single calls, `small` the throughput of short responses and
/// `unpaced` that of complete streams. `paced` offers 20 times a node's share of events, with the
/// token interval of the peak.
const MEASUREMENTS: [&str; 4] = ["latency", "small", "unpaced", "paced"];

type Result<T> = std::result::Result<T, BoxError>;

fn main() -> Result<()> {
    raise_open_file_limit();
    match std::env::args().nth(1).as_deref() {
        None => measure(&MEASUREMENTS),
        Some("router") => run_router(),
        Some("engine") => engine::run(),
        Some(name) if MEASUREMENTS.contains(&name) => measure(&[name]),
        Some(other) => {
            Err(format!("unknown argument `{other}`; give none or one of {MEASUREMENTS:?}").into())
        }
    }
}

/// A process started from this program's executable; dropping it kills the process.
struct Process {
    child: Child,
    /// Listeners of the process.
    addresses: Vec<SocketAddr>,
}

impl Process {
    /// Starts a process, writes `input` to its standard input and reads the line with its
    /// addresses.
    fn spawn(role: &str, input: &str) -> Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .arg(role)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        let mut stdin = child
            .stdin
            .take()
            .ok_or("the process has no standard input")?;
        stdin.write_all(input.as_bytes())?;
        drop(stdin);
        let mut line = String::new();
        let stdout = child
            .stdout
            .take()
            .ok_or("the process has no standard output")?;
        BufReader::new(stdout).read_line(&mut line)?;
        let addresses = line.split_whitespace().map(str::parse);
        Ok(Self {
            addresses: addresses.collect::<std::result::Result<_, _>>()?,
            child,
        })
    }

    /// Returns the total time that its threads ran and that they waited for a core, in seconds.
    fn cpu_and_wait_s(&self) -> Result<(f64, f64)> {
        let (mut run_ns, mut wait_ns) = (0.0, 0.0);
        for thread in std::fs::read_dir(format!("/proc/{}/task", self.child.id()))? {
            let text = std::fs::read_to_string(thread?.path().join("schedstat"))?;
            let mut fields = text.split_whitespace().map(str::parse::<f64>);
            run_ns += fields.next().ok_or("schedstat has no run time")??;
            wait_ns += fields.next().ok_or("schedstat has no wait time")??;
        }
        Ok((run_ns / 1e9, wait_ns / 1e9))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs a router with the inventory that standard input contains.
fn run_router() -> Result<()> {
    let mut text = String::new();
    std::io::stdin().read_to_string(&mut text)?;
    let inventory = Inventory::from_document(&Document::parse("inventory", &text)?)?;
    let settings = "[router]\nname = r1\nzone = z1\nregion = g1\nthreads = 8\n\
                    listen = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\
                    [limits]\nrequests_max = 20000\nteam_requests_max = 20000\n";
    let settings = RouterSettings::from_document(&Document::parse("settings", settings)?)?;
    logging::open(settings.log_level)?;
    let router = Router::spawn_standalone(settings, inventory)?;
    println!("{}", router.address());
    loop {
        std::thread::park();
    }
}

fn inventory_text(engines: &[SocketAddr]) -> String {
    let digest = key_sha256(KEY);
    let mut text = format!("[zone z1]\nregion = g1\n[model m]\n[team t]\nkey_sha256 = {digest}\n");
    for (index, address) in engines.iter().enumerate() {
        text.push_str(&format!(
            "[server e{index}]\nmodel = m\nzone = z1\nslots = {SLOTS}\naddress = {address}\n"
        ));
    }
    text
}

fn measure(names: &[&str]) -> Result<()> {
    let engines = (0..ENGINE_PROCESSES)
        .map(|_| Process::spawn("engine", ""))
        .collect::<Result<Vec<_>>>()?;
    let addresses: Vec<SocketAddr> = engines.iter().flat_map(|e| e.addresses.clone()).collect();
    let router = Process::spawn("router", &inventory_text(&addresses))?;
    let runtime = Runtime::start(3);
    println!("| measurement | value |\n| --- | --- |");
    for name in names {
        let paced_callers = 20.0 * SHARE_EVENTS_PER_S * PEAK_GAP_MS as f64 / 1000.0;
        let load = match *name {
            "small" => Load::closed(64, 1, 0),
            "unpaced" => Load::closed(128, PEAK_TOKENS, 0),
            "paced" => Load::closed(paced_callers as usize, PEAK_TOKENS, PEAK_GAP_MS),
            _ => {
                measure_latency(&runtime, &router, addresses[0])?;
                continue;
            }
        };
        measure_throughput(name, &runtime, &router, &addresses, &load)?;
    }
    Ok(())
}

/// Measures the time until a short response is complete, one call at a time, alternately direct and
/// through the router.
fn measure_latency(runtime: &Runtime, router: &Process, engine: SocketAddr) -> Result<()> {
    let target = router.addresses[0];
    let (direct, routed) = smol::block_on(runtime.spawn(async move {
        let mut callers = [
            client::Caller::open(engine).await?,
            client::Caller::open(target).await?,
        ];
        let mut times = [Histogram::<u64>::new(3)?, Histogram::<u64>::new(3)?];
        for pair in 0..LATENCY_PAIRS + LATENCY_PAIRS / 10 {
            for (caller, times) in callers.iter_mut().zip(&mut times) {
                let start = Instant::now();
                caller.call(pair % 100, 1, 0).await?;
                // The first tenth of the pairs only warms up connections and caches.
                if pair >= LATENCY_PAIRS / 10 {
                    times.record(start.elapsed().as_nanos() as u64)?;
                }
            }
        }
        let [direct, routed] = times;
        Ok::<_, BoxError>((direct, routed))
    }))?;
    for quantile in [0.5, 0.99] {
        let us = |times: &Histogram<u64>| times.value_at_quantile(quantile) as f64 / 1000.0;
        let (direct, routed) = (us(&direct), us(&routed));
        println!(
            "| p{:.0}: direct, routed, added | {direct:.0} µs, {routed:.0} µs, {:.0} µs |",
            quantile * 100.0,
            routed - direct
        );
    }
    Ok(())
}

/// Runs a load against the engines directly and then against the router.
fn measure_throughput(
    name: &str,
    runtime: &Runtime,
    router: &Process,
    engines: &[SocketAddr],
    load: &Load,
) -> Result<()> {
    let direct = load.run(runtime, engines, || Ok(()))?;
    let mut thread_times = Vec::new();
    let routed = load.run(runtime, &router.addresses, || {
        thread_times.push(router.cpu_and_wait_s()?);
        Ok(())
    })?;
    let (cpu_s, wait_s) = (
        thread_times[1].0 - thread_times[0].0,
        thread_times[1].1 - thread_times[0].1,
    );
    let print_row = |target: &str, totals: &Totals| {
        println!(
            "| {name}, {target} | {:.0} requests/s ({:.0} × share), {:.0} events/s ({:.1} × share), {} failed |",
            totals.requests_per_s(),
            totals.requests_per_s() / SHARE_REQUESTS_PER_S,
            totals.events_per_s(),
            totals.events_per_s() / SHARE_EVENTS_PER_S,
            totals.failed,
        );
    };
    print_row("direct", &direct);
    print_row("routed", &routed);
    println!(
        "| {name}, router | {:.1} cores used, {:.1} more waited for, {:.1} µs of CPU for each event |",
        cpu_s / routed.elapsed.as_secs_f64(),
        wait_s / routed.elapsed.as_secs_f64(),
        cpu_s * 1e6 / routed.events as f64,
    );
    // Lets the connections of one load close before the next load starts.
    std::thread::sleep(Duration::from_millis(500));
    Ok(())
}
