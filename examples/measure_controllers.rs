//! Measures the table traffic, CPU time and memory of controllers, and the duration of a
//! takeover.
//!
//! `cargo build --release --bins && cargo run --release --example measure_controllers`

mod process;

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use jujubeusher::config::inventory_text::InventoryText;
use jujubeusher::control::config::{HEAD_KEY, Head, object_key};
use jujubeusher::control::orders::shard_of;
use jujubeusher::decide::lease::Lease;
use jujubeusher::edge::object::{HttpObjectStore, ObjectStore as _};
use jujubeusher::edge::table::{Condition, HttpTable, Table as _, Write};
use jujubeusher::ids::{ConfigVersion, ServerId};
use jujubeusher_standins::objects::ObjectStore;
use jujubeusher_standins::orders::ControlServer;
use jujubeusher_standins::table::Table;
use process::{BoxResult, Process, TICKS_PER_S};

const TIMEOUT: Duration = Duration::from_secs(2);
/// Defaults of the settings, so that the measured cost is that of an installation.
const LEASE_MS: u64 = 10_000;
const RECONCILE_MS: u64 = 2_000;
const SAMPLE_TIME: Duration = Duration::from_secs(10);

/// A controller process and the name in its settings.
struct Controller {
    process: Process,
    name: String,
}

/// Stand-ins for the platform and the engines, and the directory of the settings files.
struct Testbed {
    directory: PathBuf,
    table: Table,
    objects: ObjectStore,
    engines: Vec<ControlServer>,
}

impl Drop for Testbed {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.directory);
    }
}

impl Testbed {
    /// Starts the stand-ins and stores a configuration with `engines` engines.
    fn open(engines: usize) -> BoxResult<Self> {
        let any: SocketAddr = "127.0.0.1:0".parse()?;
        let name = format!("measure-controllers-{}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        fs::create_dir_all(&directory)?;
        let testbed = Self {
            directory,
            table: Table::bind(any)?,
            objects: ObjectStore::bind(any)?,
            engines: (0..engines)
                .map(|_| ControlServer::bind(any, true))
                .collect::<Result<_, _>>()?,
        };
        smol::block_on(testbed.store_configuration())?;
        Ok(testbed)
    }

    async fn store_configuration(&self) -> BoxResult<()> {
        let mut text = String::from(
            "[rules]\nweight_loads_per_min = 10000\n[zone z1]\nregion = g1\n[model m]\n",
        );
        for (index, engine) in self.engines.iter().enumerate() {
            let address = engine.address();
            text.push_str(&format!(
                "[server e{index}]\nmodel = m\naddress = {address}\nzone = z1\n"
            ));
        }
        let head = Head {
            version: ConfigVersion(1),
            change_id: "measure".to_owned(),
            operator: "measure".to_owned(),
            accepted_wall_ms: 0,
            digest: InventoryText::parse("measure", text.as_bytes())?.digest(),
        };
        let objects = HttpObjectStore::new(self.objects.address(), TIMEOUT);
        objects
            .put(&object_key("measure"), Bytes::from(text))
            .await?;
        let write = Write {
            key: HEAD_KEY.to_owned(),
            value: serde_json::to_string(&head)?,
            condition: Condition::Absent,
        };
        HttpTable::new(self.table.address(), TIMEOUT)
            .transact(vec![write])
            .await?;
        Ok(())
    }

    fn spawn_controller(&self, index: usize) -> BoxResult<Controller> {
        let table = self.table.address();
        let objects = self.objects.address();
        let text = format!(
            "[controller]\nname = c{index}\nregion = g1\nadmin = 127.0.0.1:0\n\
             lease_ms = {LEASE_MS}\nreconcile_ms = {RECONCILE_MS}\n\
             [platform]\ntable = {table}\nobjects = {objects}\nhosts = {table}\n\
             [log]\nlevel = error\n"
        );
        let settings_path = self.directory.join(format!("c{index}.ini"));
        fs::write(&settings_path, text)?;
        let arguments = [Path::new("--settings"), &settings_path];
        Ok(Controller {
            process: Process::spawn("jujubeusher-controller", &arguments)?,
            name: format!("c{index}"),
        })
    }

    /// Waits until each engine has accepted an order.
    fn wait_for_orders(&self) {
        while self
            .engines
            .iter()
            .any(|e| e.order_state().last_accepted().is_none())
        {
            thread::sleep(Duration::from_millis(20));
        }
    }
}

fn measure_cost(controllers: usize, engines: usize) -> BoxResult<()> {
    let testbed = Testbed::open(engines)?;
    let processes = (0..controllers)
        .map(|index| testbed.spawn_controller(index))
        .collect::<BoxResult<Vec<_>>>()?;
    testbed.wait_for_orders();
    let cpu_ticks = |processes: &[Controller]| -> BoxResult<u64> {
        processes.iter().map(|c| c.process.cpu_ticks()).sum()
    };
    let (reads_before, writes_before) = (
        testbed.table.counts().row_reads,
        testbed.table.counts().committed,
    );
    let ticks_before = cpu_ticks(&processes)?;
    thread::sleep(SAMPLE_TIME);
    let seconds = SAMPLE_TIME.as_secs_f64();
    let counts = testbed.table.counts();
    let cores = (cpu_ticks(&processes)? - ticks_before) as f64 / TICKS_PER_S / seconds;
    let resident: u64 = processes
        .iter()
        .map(|controller| controller.process.resident_kb())
        .sum::<BoxResult<u64>>()?;
    println!(
        "controllers={controllers} engines={engines} table_reads_per_s={:.1} \
         table_writes_per_s={:.1} core_percent_each={:.2} resident_mb_each={:.1}",
        (counts.row_reads - reads_before) as f64 / seconds,
        (counts.committed - writes_before) as f64 / seconds,
        100.0 * cores / controllers as f64,
        resident as f64 / 1024.0 / controllers as f64,
    );
    Ok(())
}

/// Controllers in the takeover measurement: as many as current deployments run, one beside each
/// router.
const TAKEOVER_CONTROLLERS: usize = 7;

/// Returns the index of the process that holds the lease of the only engine's shard.
fn lease_holder(testbed: &Testbed, processes: &[Controller]) -> BoxResult<usize> {
    let shard = shard_of(&ServerId::from("e0"));
    let row = testbed
        .table
        .rows()
        .get(&format!("lease/g1/shard-{shard:02}"));
    let lease: Lease = serde_json::from_str(&row.ok_or("the shard has no lease row")?)?;
    let index = processes.iter().position(|p| p.name == lease.holder);
    Ok(index.ok_or("the lease holder is not a running controller")?)
}

/// Kills the controller of the engine, resets the engine and measures the time until another
/// controller sends it an order.
fn measure_takeover(rounds: usize) -> BoxResult<()> {
    let testbed = Testbed::open(1)?;
    let mut processes = (0..TAKEOVER_CONTROLLERS)
        .map(|index| testbed.spawn_controller(index))
        .collect::<BoxResult<Vec<_>>>()?;
    testbed.wait_for_orders();
    let mut lease_ratios = Vec::new();
    for round in 0..rounds {
        thread::sleep(Duration::from_millis(LEASE_MS));
        let holder = lease_holder(&testbed, &processes)?;
        drop(processes.remove(holder));
        processes.push(testbed.spawn_controller(TAKEOVER_CONTROLLERS + round)?);
        let start = Instant::now();
        testbed.engines[0].order_state().reset();
        testbed.wait_for_orders();
        lease_ratios.push(start.elapsed().as_millis() as f64 / LEASE_MS as f64);
    }
    lease_ratios.sort_by(f64::total_cmp);
    println!(
        "takeovers={rounds} over_lease_min={:.2} over_lease_max={:.2}",
        lease_ratios[0],
        lease_ratios[rounds - 1]
    );
    Ok(())
}

fn main() -> BoxResult<()> {
    for (controllers, engines) in [(1, 16), (4, 16), (16, 16), (4, 64), (4, 128)] {
        measure_cost(controllers, engines)?;
    }
    measure_takeover(6)
}
