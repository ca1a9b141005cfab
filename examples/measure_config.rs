//! Measures the time from the acceptance of a change until it is in force at every router.
//!
//! `cargo build --release --bins && cargo run --release --example measure_config -- 7 200`
//!
//! The arguments are the number of routers and the number of changes.

use std::error::Error;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use jujubeusher::cli::change::Platform;
use jujubeusher::config::settings::Peers;
use jujubeusher::edge::object::HttpObjectStore;
use jujubeusher::edge::table::HttpTable;
use jujubeusher::peer;
use jujubeusher_standins::objects::ObjectStore;
use jujubeusher_standins::proxy::{End, Faults, Proxy};
use jujubeusher_standins::table::Table;

type BoxResult<T> = Result<T, Box<dyn Error>>;

/// Time in which the overlay network settles: each router knows the others and keeps its links.
const SETTLE_TIME: Duration = Duration::from_secs(5);
const SHARED_KEY: &str = "a shared key of the measurement";
const TIMEOUT: Duration = Duration::from_secs(2);
/// Time within which a change must be in force at every router (requirement R7).
const REQUIRED_MS: f64 = 3_000.0;
/// Time after which a change that is not in force at every router fails the measurement.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);
const TEAMS: usize = 100;

/// How a change reaches the routers.
#[derive(Debug, Clone, Copy, PartialEq)]
enum ChangeMode {
    /// Pushed to two routers while the platform is up.
    Pushed,
    /// The table is cut off directly after the acceptance; the change is then pushed to two
    /// routers.
    PlatformDown,
    /// Not pushed: the first router whose poll finds the change forwards it to its peers.
    Polled,
}

struct Router {
    child: Child,
    address: SocketAddr,
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Stand-ins for the platform, and router processes that reach the table through a proxy.
struct Testbed {
    table: Table,
    table_proxy: Proxy,
    objects: ObjectStore,
    routers: Vec<Router>,
    /// Versions that a router reported as in force, with the time of the report.
    in_force: Receiver<(u64, Instant)>,
    directory: PathBuf,
}

impl Drop for Testbed {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn free_port() -> BoxResult<SocketAddr> {
    Ok(std::net::TcpListener::bind(any_port())?.local_addr()?)
}

fn router_binary() -> BoxResult<PathBuf> {
    let program = std::env::current_exe()?;
    let directory = program
        .ancestors()
        .nth(2)
        .ok_or("the example has no target directory")?;
    Ok(directory.join("jujubeusher-router"))
}

/// Parses the version of a `config_in_force` log line.
fn parse_version(line: &str) -> Option<u64> {
    let rest = line.split_once("event=config_in_force version=")?.1;
    rest.split_whitespace().next()?.parse().ok()
}

/// Starts a router and sends each version that it reports as in force to `sender`.
fn spawn_router(
    settings_path: &Path,
    address: SocketAddr,
    sender: Sender<(u64, Instant)>,
) -> BoxResult<Router> {
    let mut child = Command::new(router_binary()?)
        .arg("--settings")
        .arg(settings_path)
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()?;
    let lines = BufReader::new(
        child
            .stderr
            .take()
            .ok_or("the router has no standard error")?,
    )
    .lines();
    thread::spawn(move || {
        for line in lines.map_while(Result::ok) {
            if let Some(version) = parse_version(&line) {
                let _ = sender.send((version, Instant::now()));
            }
        }
    });
    Ok(Router { child, address })
}

impl Testbed {
    fn open(count: usize) -> BoxResult<Self> {
        let table = Table::bind(any_port())?;
        let directory = std::env::temp_dir().join(format!("measure-config-{}", std::process::id()));
        std::fs::create_dir_all(&directory)?;
        let (sender, in_force) = channel();
        let mut testbed = Self {
            table_proxy: Proxy::bind(any_port(), table.address())?,
            table,
            objects: ObjectStore::bind(any_port())?,
            routers: Vec::new(),
            in_force,
            directory,
        };
        for index in 0..count {
            let address = free_port()?;
            let seed = testbed
                .routers
                .first()
                .map_or(address, |first| first.address);
            let text = format!(
                "[router]\nname = r{index}\nzone = z{}\nregion = g\nthreads = 1\n\
                 listen = 127.0.0.1:0\nadmin = 127.0.0.1:0\n[platform]\ntable = {table_address}\n\
                 objects = {}\nhosts = {table_address}\n[peers]\nlisten = {address}\nseeds = {seed}\n\
                 shared_key = {SHARED_KEY}\n",
                index % 3,
                testbed.objects.address(),
                table_address = testbed.table_proxy.address(),
            );
            let path = testbed.directory.join(format!("r{index}.ini"));
            std::fs::write(&path, text)?;
            testbed
                .routers
                .push(spawn_router(&path, address, sender.clone())?);
        }
        thread::sleep(SETTLE_TIME);
        Ok(testbed)
    }

    /// Peer settings for a push to the first two routers.
    fn push_settings(&self) -> Peers {
        Peers {
            listen: any_port(),
            advertise: None,
            seeds: self
                .routers
                .iter()
                .take(2)
                .map(|router| router.address)
                .collect(),
            shared_key: SHARED_KEY.to_owned(),
            degree: 6,
        }
    }

    /// Submits a change and returns the time until it was in force at each router, in ms.
    fn apply_change(&self, number: usize, mode: ChangeMode) -> BoxResult<Vec<f64>> {
        let table = HttpTable::new(self.table.address(), TIMEOUT);
        let objects = HttpObjectStore::new(self.objects.address(), TIMEOUT);
        let platform = Platform {
            table: &*table,
            objects: &*objects,
        };
        let push = smol::block_on(async {
            let current = platform.current().await?;
            platform
                .accept(&current, "measure", inventory_text(number).into())
                .await
        })?;
        let accepted = Instant::now();
        if mode == ChangeMode::PlatformDown {
            self.table_proxy.set_faults(Faults::blackhole());
            self.table_proxy.end_connections(End::Reset);
        }
        if mode != ChangeMode::Polled {
            smol::block_on(peer::push_config(&self.push_settings(), &push));
        }
        let mut times = Vec::new();
        while times.len() < self.routers.len() {
            let remaining = CHANGE_TIMEOUT.saturating_sub(accepted.elapsed());
            let (version, at) = self.in_force.recv_timeout(remaining)?;
            if version == push.version.0 {
                times.push(at.saturating_duration_since(accepted).as_secs_f64() * 1e3);
            }
        }
        if mode == ChangeMode::PlatformDown {
            self.table_proxy.clear_faults();
        }
        Ok(times)
    }
}

fn inventory_text(number: usize) -> String {
    let mut text = String::from("[zone z0]\nregion = g\n[model m]\n");
    for team in 0..TEAMS {
        // Each change alters one team.
        let key = jujubeusher::filter::identify::key_sha256(&format!("key {team}"));
        let weight = 1 + usize::from(team == number % TEAMS) + number / TEAMS;
        let _ = writeln!(
            text,
            "[team t{team}]\nkey_sha256 = {key}\nweight = {weight}"
        );
    }
    text
}

fn measure(testbed: &Testbed, first: usize, changes: usize, mode: ChangeMode) -> BoxResult<()> {
    let mut slowest_router_us = Histogram::<u64>::new(3)?;
    for number in first..first + changes {
        let times = testbed.apply_change(number, mode)?;
        let last_ms = times.iter().copied().fold(0.0, f64::max);
        slowest_router_us.record((last_ms * 1e3) as u64)?;
    }
    let ms = |micros: u64| micros as f64 / 1e3;
    let p99_ms = ms(slowest_router_us.value_at_quantile(0.99));
    println!(
        "routers={} changes={changes} way={mode:?} p50_ms={:.1} p99_ms={p99_ms:.1} max_ms={:.1} p99_share_of_3s={:.4}",
        testbed.routers.len(),
        ms(slowest_router_us.value_at_quantile(0.5)),
        ms(slowest_router_us.max()),
        p99_ms / REQUIRED_MS,
    );
    Ok(())
}

fn main() -> BoxResult<()> {
    let mut arguments = std::env::args().skip(1);
    let count = arguments.next().map_or(Ok(7), |text| text.parse())?;
    let changes = arguments.next().map_or(Ok(200), |text| text.parse())?;
    let testbed = Testbed::open(count)?;
    testbed.apply_change(0, ChangeMode::Polled)?;
    measure(&testbed, 1, changes, ChangeMode::Pushed)?;
    measure(&testbed, 1 + changes, changes, ChangeMode::PlatformDown)?;
    measure(&testbed, 1 + 2 * changes, changes / 10, ChangeMode::Polled)
}
