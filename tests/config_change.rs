//! Configuration changes with real router processes, peers and platform faults.

mod common;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use common::{Env, RouterProcess, any_port, ctl, get, wait_until};
use jujubeusher::cli::change::Platform;
use jujubeusher::config::ini::Document;
use jujubeusher::config::settings::RouterSettings;
use jujubeusher::edge::BoxFuture;
use jujubeusher::edge::clock::{Clock, HostClock};
use jujubeusher::edge::object::MemoryObjectStore;
use jujubeusher::edge::table::{MemoryTable, Row, Table, TableError, TableResult, Write};
use jujubeusher::ids::ConfigVersion;
use jujubeusher::peer::{ConfigPush, Delta, PeerHandle, SectionChange};
use jujubeusher::runtime::{Runtime, Shutdown};
use jujubeusher_standins::proxy::{End, Faults, Proxy};

const KEY: &str = "a shared key of the tests";

struct Fleet {
    env: Env,
    table: Proxy,
    routers: Vec<(RouterProcess, SocketAddr)>,
}

fn peers_of(router: &RouterProcess) -> serde_json::Value {
    dump(router)["peers"].clone()
}

fn dump(router: &RouterProcess) -> serde_json::Value {
    serde_json::from_str(&get(router.admin, "/dump").body).expect("a dump")
}

fn version(router: &RouterProcess) -> u64 {
    dump(router)["config"]["version"]
        .as_u64()
        .unwrap_or_default()
}

impl Fleet {
    /// Starts routers that poll the platform at start and then only once a minute, so that changes
    /// reach them in time only through their peers.
    fn open(count: usize) -> Self {
        let env = Env::open(1);
        let table = Proxy::bind(any_port(), env.table.address()).expect("a proxy");
        let mut fleet = Self {
            env,
            table,
            routers: Vec::new(),
        };
        for index in 0..count {
            fleet.start(index, 60_000);
        }
        for (router, _) in &fleet.routers {
            let all = || peers_of(router)["routers"].as_array().map(Vec::len) == Some(count);
            wait_until("all routers know each other", all);
        }
        fleet
    }

    fn settings(&self, index: usize, poll_ms: u64, listen: &str, extra: &str) -> PathBuf {
        let seed = self.routers.first().map(|(_, address)| address.to_string());
        let text = format!(
            "[router]\nname = r{index}\nzone = z{}\nregion = g1\nthreads = 1\nlisten = 127.0.0.1:0\n\
             admin = 127.0.0.1:0\n[platform]\ntable = {table}\nobjects = {}\nhosts = {table}\n\
             poll_ms = {poll_ms}\n[peers]\nlisten = {listen}\nseeds = {}\nshared_key = {KEY}\n{extra}",
            index % 3,
            self.env.objects.address(),
            seed.unwrap_or_default(),
            table = self.table.address(),
        );
        self.env.temp_dir.write(&format!("r{index}.ini"), &text)
    }

    fn start(&mut self, index: usize, poll_ms: u64) {
        let settings = self.settings(index, poll_ms, "127.0.0.1:0", "");
        let router = RouterProcess::spawn(&settings);
        let address = peers_of(&router)["address"].as_str().map(str::parse);
        let address = address.expect("an address").expect("an address");
        self.routers.push((router, address));
    }

    /// Starts a router that peers reach only through a proxy; returns it with the proxy and its
    /// real peer address.
    fn proxied(&self, index: usize) -> (RouterProcess, Proxy, SocketAddr) {
        let proxy = Proxy::bind(any_port(), any_port()).expect("a proxy");
        let extra = format!("advertise = {}\n", proxy.address());
        let settings = self.settings(index, 100, "127.0.0.1:0", &extra);
        let router = RouterProcess::spawn(&settings);
        let listen = peers_of(&router)["listen"].as_str().map(str::parse);
        let listen = listen.expect("a listener").expect("an address");
        proxy.set_upstream(listen);
        (router, proxy, listen)
    }

    /// Applies an inventory at the platform's real address, without the proxy; with `push` the
    /// change is also sent to `r0`.
    fn apply(&self, inventory: &str, push: bool, extra: &[&str]) -> std::process::Output {
        let path = self.env.temp_dir.write("inventory.ini", inventory);
        let settings = self.settings(99, 60_000, "127.0.0.1:0", "");
        let table = self.env.table.address().to_string();
        let objects = self.env.objects.address().to_string();
        let mut arguments = vec!["apply", "--table", &table, "--objects", &objects];
        if push {
            arguments.extend(["--push", settings.to_str().expect("UTF-8")]);
        }
        arguments.extend(extra);
        arguments.push(path.to_str().expect("UTF-8"));
        ctl(&arguments)
    }

    fn wait_version(&self, expected: u64) {
        for (router, _) in &self.routers {
            wait_until("the version is in force", || version(router) == expected);
        }
    }
}

fn with_team(inventory: &str, name: &str) -> String {
    let digest = jujubeusher::filter::identify::key_sha256(name);
    format!("{inventory}[team {name}]\nkey_sha256 = {digest}\n")
}

/// Guards against routers that apply a change only at their own poll, and against a change that is
/// lost because the platform becomes unreachable right after it accepted the change.
#[test]
fn apply_reaches_all_by_peers_while_the_platform_is_down() {
    let fleet = Fleet::open(7);
    let base = fleet.env.inventory();
    fleet.table.set_faults(Faults::blackhole());
    fleet.table.end_connections(End::Reset);
    for number in 1..=5 {
        // Versions after the first are sent as changed sections.
        let text = (0..number).fold(base.clone(), |text, n| with_team(&text, &format!("t{n}")));
        let applied = fleet.apply(&text, true, &[]);
        assert!(applied.status.success(), "{applied:?}");
        if number == 1 {
            // No router has a text to which changed sections could be applied, and none can read it
            // from the platform; another router reads it while the platform is reachable.
            fleet.table.clear_faults();
            let reader = fleet.settings(7, 100, "127.0.0.1:0", "");
            let _reader = RouterProcess::spawn(&reader);
            fleet.wait_version(1);
            fleet.table.set_faults(Faults::blackhole());
        }
        fleet.wait_version(number);
    }
}

/// Guards against a restarted router that serves nothing until the platform is reachable again.
#[test]
fn restarted_router_reads_the_text_from_peers() {
    let mut fleet = Fleet::open(2);
    let reader = RouterProcess::spawn(&fleet.settings(8, 100, "127.0.0.1:0", ""));
    // Large enough to be transferred in more than one part.
    let text = (0..1000).fold(fleet.env.inventory(), |text, n| {
        with_team(&text, &format!("t{n}"))
    });
    assert!(text.len() > 64 * 1024);
    assert!(fleet.apply(&text, false, &[]).status.success());
    fleet.wait_version(1);
    drop(reader);
    fleet.table.set_faults(Faults::blackhole());
    fleet.table.end_connections(End::Reset);
    fleet.start(2, 100);
    fleet.wait_version(1);
}

/// Guards against a stale or faulty peer that returns the fleet to an old version.
#[test]
fn stale_peer_changes_nothing() {
    let fleet = Fleet::open(2);
    let reader = RouterProcess::spawn(&fleet.settings(8, 100, "127.0.0.1:0", ""));
    let base = fleet.env.inventory();
    for number in 1..=3 {
        let text = (0..number).fold(base.clone(), |text, n| with_team(&text, &format!("t{n}")));
        assert!(fleet.apply(&text, true, &[]).status.success());
        fleet.wait_version(number);
    }
    drop(reader);
    let path = fleet.settings(9, 60_000, "127.0.0.1:0", "");
    let settings = RouterSettings::from_document(&Document::open(&path).expect("INI"));
    let runtime = Runtime::start(1);
    let clock: Arc<dyn Clock> = Arc::new(HostClock::open());
    let stop = Shutdown::new();
    let stale = PeerHandle::bind(&settings.expect("settings"), &runtime, &clock, &stop);
    let stale = stale.expect("the peer port binds");
    wait_until("the stale peer has links", || {
        !stale.linked_routers().is_empty()
    });
    let push = |version| ConfigPush {
        version: ConfigVersion(version),
        change_id: "stale".to_owned(),
        operator: "stale".to_owned(),
        accepted_wall_ms: 0,
        digest: "0".repeat(64),
        sections: Some(vec![SectionChange {
            name: "model m".to_owned(),
            body: None,
        }]),
    };
    // An older version, the current one, and a newer one whose sections do not match its digest.
    for offered in [1, 2, 3, 4] {
        stale.publish(Delta::Config(push(offered)));
    }
    assert!(
        fleet
            .apply(&with_team(&base, "after"), true, &[])
            .status
            .success()
    );
    fleet.wait_version(4);
    for (router, _) in &fleet.routers {
        assert_ne!(dump(router)["config"]["change_id"], "stale");
    }
    stop.trigger();
}

/// Guards against an operator's edit that silently reverts another operator's edit.
#[test]
fn apply_on_old_base_is_a_conflict() {
    let fleet = Fleet::open(1);
    let base = fleet.env.inventory();
    assert!(
        fleet
            .apply(&base, false, &["--base", "0", "--operator", "ana"])
            .status
            .success()
    );
    let ana = fleet.apply(
        &with_team(&base, "a"),
        false,
        &["--base", "1", "--operator", "ana"],
    );
    assert!(ana.status.success());
    let ben = fleet.apply(
        &with_team(&base, "b"),
        false,
        &["--base", "1", "--operator", "ben"],
    );
    assert!(!ben.status.success());
    let text = String::from_utf8_lossy(&ben.stderr).into_owned();
    assert!(
        text.contains("version 2 by ana") && text.contains("merge your edit"),
        "{text}"
    );
}

/// Guards against `apply --wait` succeeding while routers lag behind or cannot be reached.
#[test]
fn apply_wait_names_routers_that_lag() {
    let fleet = Fleet::open(1);
    // Port 1 is never assigned as an ephemeral port, so no listener of another test uses it.
    let unreachable = "127.0.0.1:1".to_owned();
    fleet.table.set_faults(Faults::blackhole());
    let admin = fleet.routers[0].0.admin.to_string();
    let wait = [
        "--wait",
        "--wait-ms",
        "300",
        "--admin",
        &admin,
        "--admin",
        &unreachable,
    ];
    let output = fleet.apply(&fleet.env.inventory(), false, &wait);
    assert!(!output.status.success());
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        text.contains("r0 at") && text.contains("lags at version 0"),
        "{text}"
    );
    assert!(
        text.contains(&format!("{unreachable}: cannot be reached")),
        "{text}"
    );
}

/// Guards against a partitioned zone that stops serving or returns to an older version, and against
/// one that stays on its old version after the partition has ended.
#[test]
fn cut_off_zone_serves_and_catches_up() {
    let mut fleet = Fleet::open(0);
    let (stays, stays_in, stays_port) = fleet.proxied(0);
    fleet.routers.push((stays, stays_in.address()));
    let (cut, cut_in, _) = fleet.proxied(1);
    // The operator's command runs on the side of the router that is not cut off.
    fleet.routers[0].1 = stays_port;
    let base = fleet.env.inventory();
    assert!(fleet.apply(&base, true, &[]).status.success());
    wait_until("the router applies version 1", || version(&cut) == 1);
    fleet.wait_version(1);
    for proxy in [&stays_in, &cut_in, &fleet.table] {
        proxy.set_faults(Faults::blackhole());
        proxy.end_connections(End::Reset);
    }
    wait_until("the zone reports that it is cut off", || {
        dump(&cut)["is_cut_off"] == true
    });
    assert!(
        fleet
            .apply(&with_team(&base, "t1"), true, &[])
            .status
            .success()
    );
    fleet.wait_version(2);
    assert_eq!(version(&cut), 1);
    let response = common::chat(cut.address, common::PAYING_KEY, "chat-1");
    assert_eq!(
        response.status, 200,
        "the cut-off zone serves: {response:?}"
    );
    stays_in.clear_faults();
    cut_in.clear_faults();
    wait_until("the cut-off zone catches up", || version(&cut) == 2);
    wait_until("the zone reports that it is no longer cut off", || {
        dump(&cut)["is_cut_off"] == false
    });
}

/// Table that commits writes but loses its responses to them.
struct LossyTable(Arc<MemoryTable>);

impl Table for LossyTable {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, TableResult<Option<Row>>> {
        self.0.get(key)
    }

    fn scan<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, TableResult<Vec<Row>>> {
        self.0.scan(prefix)
    }

    fn transact(&self, writes: Vec<Write>) -> BoxFuture<'_, TableResult<Vec<u64>>> {
        let written = self.0.transact(writes);
        Box::pin(async move {
            written.await?;
            Err(TableError::ResponseLost("test".to_owned()))
        })
    }
}

/// Guards against an accepted change that is reported as failed, and then applied again, because
/// the table's response was lost.
#[test]
fn accept_with_lost_response_reads_the_change_back() {
    let table = LossyTable(MemoryTable::new());
    let objects = MemoryObjectStore::new();
    let platform = Platform {
        table: &table,
        objects: &*objects,
    };
    smol::block_on(async {
        let text = "[zone z1]\nregion = g1\n";
        let empty = platform.current().await.expect("the table can be read");
        let first = platform
            .accept(&empty, "ana", text.into())
            .await
            .expect("the change took effect");
        assert_eq!(first.version, ConfigVersion(1));
        // Based on the same state, so the read-back finds the other operator's change.
        let second = platform.accept(&empty, "ben", text.into()).await;
        let error = second.expect_err("a conflict").to_string();
        assert!(error.contains("version 1 by ana"), "{error}");
    });
}

/// Guards against a rollback that lowers the version, and against a router that was paused during
/// several changes and stays behind or applies them out of order.
#[test]
fn rollback_is_a_new_version_also_for_a_paused_router() {
    let fleet = Fleet::open(3);
    let _reader = RouterProcess::spawn(&fleet.settings(8, 100, "127.0.0.1:0", ""));
    let base = fleet.env.inventory();
    assert!(fleet.apply(&base, true, &[]).status.success());
    fleet.wait_version(1);
    let paused = &fleet.routers[2].0;
    let signal = |name: &str| {
        let id = paused.child.id().to_string();
        let status = std::process::Command::new("kill")
            .args([name, &id])
            .status();
        assert!(status.expect("kill runs").success());
    };
    signal("-STOP");
    for number in 2..=4 {
        let text = (2..=number).fold(base.clone(), |text, n| with_team(&text, &format!("t{n}")));
        assert!(fleet.apply(&text, true, &[]).status.success());
    }
    let (table, objects) = (fleet.env.table.address(), fleet.env.objects.address());
    let (table, objects) = (table.to_string(), objects.to_string());
    let output = ctl(&[
        "rollback",
        "--table",
        &table,
        "--objects",
        &objects,
        "--to",
        "2",
    ]);
    assert!(output.status.success(), "{output:?}");
    signal("-CONT");
    fleet.wait_version(5);
    let diff = fleet.env.temp_dir.write("two.ini", &with_team(&base, "t2"));
    let diff = diff.to_str().expect("UTF-8");
    let output = ctl(&["diff", "--table", &table, "--objects", &objects, diff]);
    assert_eq!(
        String::from_utf8_lossy(&output.stdout),
        "base=5\n",
        "the text of version 2"
    );
}
