//! Measures a router's memory against the size of its inventory.
//!
//! `cargo build --release --bins && cargo run --release --example measure_inventory`
//!
//! The inventory holds as many engines as each of 74 routers probes in a zone of 480 servers;
//! the other servers belong to a plain service, which routers do not probe. Nothing listens on
//! the servers' addresses, so each probe fails at once.

mod process;

use std::fs;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

use jujubeusher::filter::identify::key_sha256;
use process::{BoxResult, Process, TICKS_PER_S};

const ZONES: usize = 5;
const MODELS: usize = 7;
/// Engines that one router probes: its part of 480 servers over 74 routers, as the first and as
/// the second prober.
const PROBED_ENGINES: usize = 13;
/// Wait before the measurement, which excludes the start-up.
const SETTLE_TIME: Duration = Duration::from_secs(4);
const SAMPLE_TIME: Duration = Duration::from_secs(5);
/// Numbers of teams and servers of each measurement.
const INVENTORY_SIZES: [(usize, usize); 6] = [
    (1, 7),
    (6_500, 7),
    (13_000, 7),
    (1, 480),
    (1, 2_400),
    (13_000, 2_400),
];

fn inventory_text(teams: usize, servers: usize) -> String {
    let mut text = String::new();
    for zone in 0..ZONES {
        text.push_str(&format!(
            "[zone zone-{zone}]\nregion = region-{}\n",
            zone % 2
        ));
    }
    for model in 0..MODELS {
        text.push_str(&format!("[model model-{model}]\n"));
    }
    text.push_str("[service records]\npath_prefix = /records/\n");
    for team in 0..teams {
        let digest = key_sha256(&format!("key-{team}"));
        text.push_str(&format!("[team team-{team:05}]\nkey_sha256 = {digest}\n"));
    }
    for server in 0..servers {
        // Port 1 of an address in the loopback range refuses connections at once.
        let address = format!("127.1.{}.{}:1", server / 250, server % 250 + 1);
        text.push_str(&format!(
            "[server server-{server:04}]\n{}\naddress = {address}\nzone = zone-{}\n",
            match server < PROBED_ENGINES {
                true => format!("model = model-{}", server % MODELS),
                false => "service = records".to_owned(),
            },
            server % ZONES
        ));
    }
    text
}

fn spawn_router(directory: &Path, inventory: &str) -> BoxResult<Process> {
    let inventory_path = directory.join("inventory.ini");
    let settings_path = directory.join("router.ini");
    fs::write(&inventory_path, inventory)?;
    fs::write(
        &settings_path,
        "[router]\nname = r1\nzone = zone-0\nregion = region-0\nthreads = 1\n\
         listen = 127.0.0.1:0\nadmin = 127.0.0.1:0\n[log]\nlevel = error\n",
    )?;
    let arguments = [
        Path::new("--settings"),
        &settings_path,
        Path::new("--standalone"),
        &inventory_path,
    ];
    Process::spawn("jujubeusher-router", &arguments)
}

fn measure(directory: &Path, teams: usize, servers: usize) -> BoxResult<()> {
    let inventory = inventory_text(teams, servers);
    let router = spawn_router(directory, &inventory)?;
    thread::sleep(SETTLE_TIME);
    let ticks_before = router.cpu_ticks()?;
    thread::sleep(SAMPLE_TIME);
    let core_share =
        (router.cpu_ticks()? - ticks_before) as f64 / TICKS_PER_S / SAMPLE_TIME.as_secs_f64();
    println!(
        "teams={teams} servers={servers} text_kb={} resident_mb={:.1} core_percent={:.1}",
        inventory.len() / 1024,
        router.resident_kb()? as f64 / 1024.0,
        core_share * 100.0
    );
    Ok(())
}

fn main() -> BoxResult<()> {
    let name = format!("measure-inventory-{}", std::process::id());
    let directory: PathBuf = std::env::temp_dir().join(name);
    fs::create_dir_all(&directory)?;
    let result = INVENTORY_SIZES
        .iter()
        .try_for_each(|(teams, servers)| measure(&directory, *teams, *servers));
    fs::remove_dir_all(&directory)?;
    result
}
