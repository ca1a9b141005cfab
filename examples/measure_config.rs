//! Measures the time from the acceptance of a change until it is in force at every router.
//!
//! `cargo build --release --bins && cargo run --release --example measure_config -- 7 200`

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

const KEY: &str = "a shared key of the measurement";
const TIMEOUT: Duration = Duration::from_secs(2);
/// Bound of the requirement.
const BOUND_MS: f64 = 3_000.0;
/// A change that is not in force after this time counts as lost.
const PATIENCE: Duration = Duration::from_secs(20);
const TEAMS: usize = 100;

/// How a change is made.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Way {
    /// Pushed to two routers, the platform stays up.
    Pushed,
    /// Pushed to two routers, the platform goes down right after acceptance.
    PlatformDown,
    /// Not pushed: the first poll finds it, peers spread it.
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

struct Site {
    table: Table,
    table_way: Proxy,
    objects: ObjectStore,
    routers: Vec<Router>,
    in_force: Receiver<(u64, Instant)>,
    directory: PathBuf,
}

impl Drop for Site {
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

fn binary() -> BoxResult<PathBuf> {
    let program = std::env::current_exe()?;
    let directory = program.ancestors().nth(2).ok_or("examples have a parent")?;
    Ok(directory.join("jujubeusher-router"))
}

fn version_of(line: &str) -> Option<u64> {
    let rest = line.split_once("event=config_in_force version=")?.1;
    rest.split_whitespace().next()?.parse().ok()
}

fn spawn(settings: &Path, address: SocketAddr, told: Sender<(u64, Instant)>) -> BoxResult<Router> {
    let mut child = Command::new(binary()?)
        .arg("--settings")
        .arg(settings)
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()?;
    let lines = BufReader::new(child.stderr.take().ok_or("stderr is piped")?).lines();
    thread::spawn(move || {
        for line in lines.map_while(Result::ok) {
            if let Some(version) = version_of(&line) {
                let _ = told.send((version, Instant::now()));
            }
        }
    });
    Ok(Router { child, address })
}

impl Site {
    fn open(count: usize) -> BoxResult<Self> {
        let table = Table::bind(any_port())?;
        let directory = std::env::temp_dir().join(format!("measure-config-{}", std::process::id()));
        std::fs::create_dir_all(&directory)?;
        let (told, in_force) = channel();
        let mut site = Self {
            table_way: Proxy::bind(any_port(), table.address())?,
            table,
            objects: ObjectStore::bind(any_port())?,
            routers: Vec::new(),
            in_force,
            directory,
        };
        for index in 0..count {
            let address = free_port()?;
            let seed = site.routers.first().map_or(address, |first| first.address);
            let text = format!(
                "[router]\nname = r{index}\nzone = z{}\nregion = g\nthreads = 1\n\
                 listen = 127.0.0.1:0\nadmin = 127.0.0.1:0\n[platform]\ntable = {way}\n\
                 objects = {}\nhosts = {way}\n[peers]\nlisten = {address}\nseeds = {seed}\n\
                 shared_key = {KEY}\n",
                index % 3,
                site.objects.address(),
                way = site.table_way.address(),
            );
            let path = site.directory.join(format!("r{index}.ini"));
            std::fs::write(&path, text)?;
            site.routers.push(spawn(&path, address, told.clone())?);
        }
        // The overlay settles: every router knows the others and keeps its links.
        thread::sleep(Duration::from_secs(5));
        Ok(site)
    }

    fn seeds(&self) -> Peers {
        Peers {
            listen: any_port(),
            advertise: None,
            seeds: self
                .routers
                .iter()
                .take(2)
                .map(|router| router.address)
                .collect(),
            shared_key: KEY.to_owned(),
            degree: 6,
        }
    }

    /// Makes one change; returns the time until it was in force at each router, in ms.
    fn change(&self, number: usize, way: Way) -> BoxResult<Vec<f64>> {
        let table = HttpTable::open(self.table.address(), TIMEOUT);
        let objects = HttpObjectStore::open(self.objects.address(), TIMEOUT);
        let platform = Platform {
            table: &*table,
            objects: &*objects,
        };
        let push = smol::block_on(async {
            let current = platform.current().await?;
            platform
                .accept(&current, "measure", inventory(number).into())
                .await
        })?;
        let accepted = Instant::now();
        if way == Way::PlatformDown {
            self.table_way.set_faults(Faults::blackhole());
            self.table_way.end_connections(End::Reset);
        }
        if way != Way::Polled {
            smol::block_on(peer::push_config(&self.seeds(), &push));
        }
        let mut times = Vec::new();
        while times.len() < self.routers.len() {
            let left = PATIENCE.saturating_sub(accepted.elapsed());
            let (version, at) = self.in_force.recv_timeout(left)?;
            if version == push.version.0 {
                times.push(at.saturating_duration_since(accepted).as_secs_f64() * 1e3);
            }
        }
        if way == Way::PlatformDown {
            self.table_way.clear_faults();
        }
        Ok(times)
    }
}

fn inventory(number: usize) -> String {
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

fn measure(site: &Site, first: usize, changes: usize, way: Way) -> BoxResult<()> {
    let mut everywhere = Histogram::<u64>::new(3)?;
    for number in first..first + changes {
        let times = site.change(number, way)?;
        let last_ms = times.iter().copied().fold(0.0, f64::max);
        everywhere.record((last_ms * 1e3) as u64)?;
    }
    let ms = |micros: u64| micros as f64 / 1e3;
    let p99_ms = ms(everywhere.value_at_quantile(0.99));
    println!(
        "routers={} changes={changes} way={way:?} p50_ms={:.1} p99_ms={p99_ms:.1} max_ms={:.1} p99_share_of_3s={:.4}",
        site.routers.len(),
        ms(everywhere.value_at_quantile(0.5)),
        ms(everywhere.max()),
        p99_ms / BOUND_MS,
    );
    Ok(())
}

fn main() -> BoxResult<()> {
    let mut arguments = std::env::args().skip(1);
    let count = arguments.next().map_or(Ok(7), |text| text.parse())?;
    let changes = arguments.next().map_or(Ok(200), |text| text.parse())?;
    let site = Site::open(count)?;
    site.change(0, Way::Polled)?;
    measure(&site, 1, changes, Way::Pushed)?;
    measure(&site, 1 + changes, changes, Way::PlatformDown)?;
    measure(&site, 1 + 2 * changes, changes / 10, Way::Polled)
}
