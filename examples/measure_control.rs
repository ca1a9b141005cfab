//! Measures control traffic, CPU time and memory of the peer protocol for each node, with
//! several numbers of routers and servers.
//!
//! `cargo run --release --example measure_control` measures all sizes; append
//! `-- ROUTERS SERVERS` to measure one, for example `-- 48 2400`.
//!
//! Each node is a separate process that runs only the peer protocol. It publishes what a prober
//! publishes: the rows of a third of its servers each second, within its zone.

use std::error::Error;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use jujubeusher::config::ini::Document;
use jujubeusher::config::settings::RouterSettings;
use jujubeusher::edge::clock::{Clock, HostClock};
use jujubeusher::ids::{Incarnation, ServerId};
use jujubeusher::peer::{Delta, Health, PeerHandle, Scope, ServerRow};
use jujubeusher::runtime::{Runtime, Shutdown};

type BoxResult<T> = Result<T, Box<dyn Error>>;

const ZONES: usize = 5;
/// Time before the measurement, in which the nodes connect to each other.
const SETTLE_TIME: Duration = Duration::from_secs(8);
const SAMPLE_TIME: Duration = Duration::from_secs(15);
const PUBLISH_INTERVAL: Duration = Duration::from_secs(1);
/// Clock ticks per second in `/proc/PID/stat` on Linux.
const TICKS_PER_S: f64 = 100.0;
/// Numbers of routers and servers, over all zones.
const FLEET_SIZES: [(usize, usize); 7] = [
    (4, 480),
    (16, 480),
    (48, 480),
    (96, 480),
    (48, 0),
    (48, 1200),
    (48, 2400),
];

fn main() -> BoxResult<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.first().map(String::as_str) {
        Some("node") => run_node(&arguments[1..]),
        Some(routers) => measure(routers.parse()?, arguments[1].parse()?),
        None => FLEET_SIZES
            .iter()
            .try_for_each(|(routers, servers)| measure(*routers, *servers)),
    }
}

/// Runs one node; the arguments are its index, its listen address, the seed's address and the
/// numbers of routers and servers.
fn run_node(arguments: &[String]) -> BoxResult<()> {
    let index: usize = arguments[0].parse()?;
    let routers: usize = arguments[3].parse()?;
    let servers: usize = arguments[4].parse()?;
    let settings_text = format!(
        "[router]\nname = router-{index}\nzone = zone-{}\nregion = region-{}\nthreads = 1\n\
         listen = 127.0.0.1:0\nadmin = 127.0.0.1:0\n[peers]\nlisten = {}\nseeds = {}\n\
         shared_key = a shared key of the measurement\n",
        index % ZONES,
        index % ZONES / 3,
        arguments[1],
        arguments[2],
    );
    let settings = RouterSettings::from_document(&Document::parse("node", &settings_text)?)?;
    let runtime = Runtime::start(1);
    let clock: Arc<dyn Clock> = Arc::new(HostClock::open());
    let peers = PeerHandle::bind(&settings, &runtime, &clock, &Shutdown::new())?;
    let names: Vec<ServerId> = (0..servers)
        .map(|s| format!("server-{s}").as_str().into())
        .collect();
    peers.set_servers(names.iter());
    let rows = peers.subscribe();
    runtime.spawn_detached(async move { while rows.recv().await.is_ok() {} });
    let own_servers: Vec<&ServerId> = names.iter().skip(index).step_by(routers).collect();
    for second in 0usize.. {
        thread::sleep(PUBLISH_INTERVAL);
        let changed = own_servers
            .iter()
            .enumerate()
            .filter(|(n, _)| n % 3 == second % 3);
        let deltas = changed.map(|(n, id)| server_row(id, second + n)).collect();
        peers.publish_all(Scope::Zone, deltas);
        let dump = peers.dump();
        println!("{} {}", dump["bytes_sent"], dump["bytes_received"]);
    }
    Ok(())
}

fn server_row(server: &ServerId, value: usize) -> Delta {
    Delta::Server(ServerRow {
        server: server.clone(),
        incarnation: Incarnation(1_700_000_000_000),
        running: value as u32 % 64,
        waiting: value as u32 % 5,
        slots: 32,
        health: Health::Alive,
        age_ms: value as u32 % 300,
    })
}

struct Node {
    child: Child,
    lines: BufReader<ChildStdout>,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[derive(Debug, Clone, Copy)]
struct Sample {
    sent_bytes: f64,
    received_bytes: f64,
    cpu_s: f64,
    seconds: usize,
}

impl Node {
    fn spawn(
        index: usize,
        listen: SocketAddr,
        seed: SocketAddr,
        routers: usize,
        servers: usize,
    ) -> BoxResult<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .args([
                "node",
                &index.to_string(),
                &listen.to_string(),
                &seed.to_string(),
            ])
            .args([routers.to_string(), servers.to_string()])
            .stdout(Stdio::piped())
            .spawn()?;
        let stdout = child
            .stdout
            .take()
            .ok_or("the node has no standard output")?;
        Ok(Self {
            child,
            lines: BufReader::new(stdout),
        })
    }

    /// Reads the lines that the node prints in `seconds`, one a second, and returns the figures of
    /// the last one.
    fn sample(&mut self, seconds: usize) -> BoxResult<Sample> {
        let mut line = String::new();
        for _ in 0..seconds {
            line.clear();
            self.lines.read_line(&mut line)?;
        }
        let mut numbers = line.split_whitespace().map(str::parse::<f64>);
        let mut next = || numbers.next().ok_or("the node's line lacks a number");
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split(' ').collect();
        // utime and stime are fields 14 and 15, counted from 1; ')' ends field 2.
        let ticks = fields[12].parse::<f64>()? + fields[13].parse::<f64>()?;
        Ok(Sample {
            sent_bytes: next()??,
            received_bytes: next()??,
            cpu_s: ticks / TICKS_PER_S,
            seconds,
        })
    }

    fn resident_kb(&self) -> BoxResult<f64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().nth(1));
        Ok(number
            .ok_or("/proc/PID/status has no VmRSS line")?
            .parse()?)
    }
}

fn measure(routers: usize, servers: usize) -> BoxResult<()> {
    // Only the seed's port must be known in advance; the other nodes bind any port.
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let seed = std::net::TcpListener::bind(any_port)?.local_addr()?;
    let mut nodes = Vec::new();
    for index in 0..routers {
        let listen = if index == 0 { seed } else { any_port };
        nodes.push(Node::spawn(index, listen, seed, routers, servers)?);
    }
    let settle_s = SETTLE_TIME.as_secs() as usize;
    let before: Vec<Sample> = nodes
        .iter_mut()
        .map(|n| n.sample(settle_s))
        .collect::<BoxResult<_>>()?;
    let sample_s = SAMPLE_TIME.as_secs() as usize;
    let after: Vec<Sample> = nodes
        .iter_mut()
        .map(|n| n.sample(sample_s))
        .collect::<BoxResult<_>>()?;
    let resident: Vec<f64> = nodes
        .iter()
        .map(Node::resident_kb)
        .collect::<BoxResult<_>>()?;
    let mean_and_max_per_s = |value: &dyn Fn(&Sample) -> f64| {
        let rates = before
            .iter()
            .zip(&after)
            .map(|(b, a)| (value(a) - value(b)) / a.seconds as f64);
        let rates: Vec<f64> = rates.collect();
        let mean = rates.iter().sum::<f64>() / rates.len() as f64;
        (mean, rates.iter().copied().fold(0.0, f64::max))
    };
    let (sent, sent_max) = mean_and_max_per_s(&|sample| sample.sent_bytes);
    let (received, _) = mean_and_max_per_s(&|sample| sample.received_bytes);
    let (cpu, cpu_max) = mean_and_max_per_s(&|sample| sample.cpu_s);
    println!(
        "routers={routers} servers={servers} sent_kB_per_s={:.2} (max {:.2}) received_kB_per_s={:.2} cpu_percent={:.2} (max {:.2}) resident_MB_max={:.1}",
        sent / 1e3,
        sent_max / 1e3,
        received / 1e3,
        cpu * 100.0,
        cpu_max * 100.0,
        resident.iter().copied().fold(0.0, f64::max) / 1024.0,
    );
    Ok(())
}
