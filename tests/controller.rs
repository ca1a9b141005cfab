//! Controllers as real processes: leases, fencing and orders under faults.

mod common;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use common::{Env, any_port, ctl, get, wait_until};
use jujubeusher_standins::orders::{ControlServer, LoggedOrder};
use jujubeusher_standins::proxy::{Faults, Proxy};

/// Short, so that a takeover does not prolong the test.
const SHORT_LEASE_MS: u64 = 1_000;
/// Long enough that the holder does not lose its lease on a busy machine.
const LONG_LEASE_MS: u64 = 5_000;

struct ControllerProcess {
    child: Child,
    admin: SocketAddr,
}

impl ControllerProcess {
    fn spawn(env: &Env, name: &str, table: SocketAddr, lease_ms: u64) -> Self {
        let order_timeout_ms = lease_ms * 3 / 10;
        let text = format!(
            "[controller]\nname = {name}\nregion = g1\nadmin = 127.0.0.1:0\n\
             lease_ms = {lease_ms}\nreconcile_ms = 50\norder_timeout_ms = {order_timeout_ms}\n\
             [platform]\ntable = {table}\nobjects = {objects}\nhosts = {table}\n\
             timeout_ms = 300\npoll_ms = 100\n",
            objects = env.objects.address(),
        );
        let settings = env.temp_dir.write(&format!("{name}.ini"), &text);
        let mut child = Command::new(env!("CARGO_BIN_EXE_jujubeusher-controller"))
            .arg("--settings")
            .arg(settings)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the controller starts");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("stdout is piped");
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("the controller prints its address");
        let address = line.trim().strip_prefix("admin=").expect("an address");
        Self {
            admin: address.parse().expect("an address"),
            child,
        }
    }

    fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status();
        assert!(status.expect("kill runs").success());
    }

    /// Number of engines that its metrics report as in order.
    fn engines_in_order(&self) -> u64 {
        let text = get(self.admin, "/metrics").body;
        let line = text
            .lines()
            .find(|line| line.starts_with("controller_engines{") && line.contains("in_order"));
        let count = line.and_then(|line| line.rsplit(' ').next()?.parse().ok());
        count.unwrap_or(0)
    }

    /// Number of shards whose lease this process holds.
    fn leases_held(&self) -> usize {
        get(self.admin, "/dump")
            .body
            .matches("\"fencing\":")
            .count()
            - get(self.admin, "/dump")
                .body
                .matches("\"fencing\":null")
                .count()
    }
}

impl Drop for ControllerProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Stand-ins for platform and engines with a control API, and a proxy in front of each engine.
struct Testbed {
    env: Env,
    engines: Vec<ControlServer>,
    proxies: Vec<Proxy>,
}

impl Testbed {
    /// Starts `count` engines; those with an even index check fencing numbers, the others do not.
    fn open(count: usize) -> Self {
        let bind =
            |index| ControlServer::bind(any_port(), index % 2 == 0).expect("an engine binds");
        let engines: Vec<_> = (0..count).map(bind).collect();
        let proxies = engines
            .iter()
            .map(|engine| Proxy::bind(any_port(), engine.address()).expect("a proxy binds"))
            .collect();
        Self {
            env: Env::open(0),
            engines,
            proxies,
        }
    }

    fn apply(&self, weights_version: &str, loads_per_min: u32) {
        let mut text = format!(
            "[rules]\nweight_loads_per_min = {loads_per_min}\n\
             [zone z1]\nregion = g1\n[model m]\nweights_version = {weights_version}\n"
        );
        for (index, proxy) in self.proxies.iter().enumerate() {
            let checks = ["yes", "no"][index % 2];
            text.push_str(&format!(
                "[server e{index}]\nmodel = m\naddress = {}\nzone = z1\nchecks_fencing = {checks}\n",
                proxy.address()
            ));
        }
        let output = self.env.apply(&text);
        assert!(output.status.success(), "{output:?}");
    }

    fn controller(&self, name: &str) -> ControllerProcess {
        ControllerProcess::spawn(&self.env, name, self.env.table.address(), SHORT_LEASE_MS)
    }

    fn is_converged(&self, weights_version: &str) -> bool {
        self.engines.iter().all(|engine| {
            let actual = engine.order_state().last_accepted();
            actual.is_some_and(|order| {
                order.models.len() == 1 && order.models[0].weights_version == weights_version
            })
        })
    }

    fn wait_for(&self, weights_version: &str) {
        wait_until(
            &format!("all engines have version {weights_version}"),
            || self.is_converged(weights_version),
        );
    }

    /// Panics if an engine that checks fencing numbers accepted an order with a lower number than
    /// an earlier one.
    fn assert_fenced(&self) {
        for engine in self.engines.iter().step_by(2) {
            let accepted: Vec<u64> = engine
                .order_state()
                .log()
                .iter()
                .filter(|logged| logged.is_taken)
                .map(|logged| logged.order.fencing)
                .collect();
            assert!(
                accepted.is_sorted(),
                "fencing numbers decreased: {accepted:?}"
            );
        }
    }
}

/// Guards against orders that are repeated or not sent in a healthy fleet.
#[test]
fn orders_two_controllers_order_each_engine_once() {
    let testbed = Testbed::open(6);
    let table = testbed.env.table.address();
    let controllers =
        ["c1", "c2"].map(|name| ControllerProcess::spawn(&testbed.env, name, table, LONG_LEASE_MS));
    testbed.apply("1", 10_000);
    testbed.wait_for("1");
    wait_until("the metrics count all engines as in order", || {
        let counts = controllers.iter().map(ControllerProcess::engines_in_order);
        counts.sum::<u64>() == 6
    });
    let orders: Vec<Vec<LoggedOrder>> = testbed
        .engines
        .iter()
        .map(|e| e.order_state().log())
        .collect();
    assert!(orders.iter().all(|log| log.len() == 1), "{orders:?}");
}

/// Guards against shards without a holder after theirs crashed, and against a new holder that
/// reuses an old fencing number.
#[test]
fn leases_killed_holder_is_replaced_with_a_higher_number() {
    let testbed = Testbed::open(4);
    let first = testbed.controller("c1");
    testbed.apply("1", 10_000);
    testbed.wait_for("1");
    let before: Vec<u64> = testbed
        .engines
        .iter()
        .map(|e| e.order_state().log()[0].order.fencing)
        .collect();
    let _second = testbed.controller("c2");
    drop(first);
    testbed.apply("2", 10_000);
    testbed.wait_for("2");
    for (engine, old) in testbed.engines.iter().zip(before) {
        let last = engine
            .order_state()
            .last_accepted()
            .expect("an order was accepted")
            .fencing;
        assert!(last > old, "fencing number {last} is not above {old}");
    }
    testbed.assert_fenced();
}

/// Guards against a holder that was paused until its lease expired and that, once resumed, learns
/// of a new configuration and sends orders for it with its old fencing number.
#[test]
fn leases_resumed_holder_orders_only_with_a_new_number() {
    let testbed = Testbed::open(4);
    let first = testbed.controller("c1");
    testbed.apply("1", 10_000);
    testbed.wait_for("1");
    first.signal("-STOP");
    let second = testbed.controller("c2");
    testbed.apply("2", 10_000);
    testbed.wait_for("2");
    second.signal("-STOP");
    testbed.apply("3", 10_000);
    first.signal("-CONT");
    testbed.wait_for("3");
    for engine in &testbed.engines {
        let numbers: Vec<u64> = engine
            .order_state()
            .log()
            .iter()
            .map(|l| l.order.fencing)
            .collect();
        assert!(
            numbers.is_sorted(),
            "an old fencing number was used again: {numbers:?}"
        );
    }
}

/// Guards against a holder that cannot reach the table and keeps sending orders after its leases
/// expired, concurrently with the new holder.
#[test]
fn leases_cut_off_holder_sends_no_orders_beside_the_new_one() {
    let testbed = Testbed::open(4);
    let table = Proxy::bind(any_port(), testbed.env.table.address()).expect("a proxy binds");
    let _first = ControllerProcess::spawn(&testbed.env, "c1", table.address(), SHORT_LEASE_MS);
    testbed.apply("1", 10_000);
    testbed.wait_for("1");
    let old: Vec<u64> = testbed
        .engines
        .iter()
        .map(|e| e.order_state().log()[0].order.fencing)
        .collect();
    table.set_faults(Faults::blackhole());
    let _second = testbed.controller("c2");
    for round in 0..5 {
        for engine in &testbed.engines {
            engine.order_state().reset();
        }
        wait_until(
            &format!("the engines have new orders, round {round}"),
            || {
                let are_new = testbed.engines.iter().zip(&old).map(|(engine, old)| {
                    let actual = engine.order_state().last_accepted();
                    let is_old = actual.as_ref().is_some_and(|order| order.fencing <= *old);
                    if is_old {
                        // The old holder may send orders until its lease expires.
                        engine.order_state().reset();
                    }
                    actual.is_some() && !is_old
                });
                are_new.filter(|is_new| !is_new).count() == 0
            },
        );
    }
    for engine in &testbed.engines {
        let numbers: Vec<u64> = engine
            .order_state()
            .log()
            .iter()
            .map(|l| l.order.fencing)
            .collect();
        assert!(numbers.is_sorted(), "both holders sent orders: {numbers:?}");
    }
}

/// Guards against an old holder's order that the network delivers after the new holder's: engines
/// that check fencing numbers refuse it, the others are given the new order again.
#[test]
fn orders_late_delivery_is_refused_or_corrected() {
    let testbed = Testbed::open(4);
    let first = testbed.controller("c1");
    testbed.apply("1", 10_000);
    testbed.wait_for("1");
    for proxy in &testbed.proxies {
        proxy.set_faults(Faults {
            is_upstream_paused: true,
            ..Faults::default()
        });
    }
    testbed.apply("2", 10_000);
    let accepted: u64 = testbed.proxies.iter().map(Proxy::accepted).sum();
    wait_until("the first controller's calls are in flight", || {
        testbed.proxies.iter().map(Proxy::accepted).sum::<u64>() > accepted + 8
    });
    drop(first);
    let _second = testbed.controller("c2");
    testbed.apply("3", 10_000);
    for proxy in &testbed.proxies {
        proxy.clear_faults();
    }
    testbed.wait_for("3");
    testbed.assert_fenced();
}

/// Guards against orders without a valid lease while the table cannot be reached, and against a
/// fleet that does not recover afterwards.
#[test]
fn leases_table_down_stops_orders_until_it_is_back() {
    let testbed = Testbed::open(4);
    let table = Proxy::bind(any_port(), testbed.env.table.address()).expect("a proxy binds");
    let controllers = ["c1", "c2"]
        .map(|name| ControllerProcess::spawn(&testbed.env, name, table.address(), SHORT_LEASE_MS));
    testbed.apply("1", 10_000);
    testbed.wait_for("1");
    table.set_faults(Faults::blackhole());
    wait_until("all leases have expired", || {
        controllers
            .iter()
            .all(|controller| controller.leases_held() == 0)
    });
    testbed.apply("2", 10_000);
    assert!(
        testbed.is_converged("1"),
        "an order was sent without a lease"
    );
    table.clear_faults();
    testbed.wait_for("2");
    testbed.assert_fenced();
}

/// Guards against a rollout that loads weights faster than the weight store's rate limit.
#[test]
fn weights_loads_stay_within_the_rate() {
    const LOADS_PER_MIN: u32 = 24;
    const WINDOW_MS: u64 = 5_000;
    let testbed = Testbed::open(4);
    let _controllers = [testbed.controller("c1"), testbed.controller("c2")];
    let start = std::time::Instant::now();
    testbed.apply("1", LOADS_PER_MIN);
    testbed.wait_for("1");
    // Each engine's clock starts when it binds; 500 ms cover the differences.
    let mut loads_ms: Vec<u64> = testbed
        .engines
        .iter()
        .flat_map(|engine| engine.order_state().log())
        .filter(|logged| logged.has_loaded)
        .map(|logged| logged.at_ms)
        .collect();
    loads_ms.sort_unstable();
    assert_eq!(loads_ms.len(), 4, "after {:?}", start.elapsed());
    // 24 loads per minute are 2 in each window of 5 s.
    assert!(loads_ms[2] - loads_ms[0] + 500 >= WINDOW_MS, "{loads_ms:?}");
}

/// Guards against settings with which an order may still be executed after its lease expired.
#[test]
fn check_order_longer_than_half_a_lease_is_refused() {
    let env = Env::open(0);
    let text = "[controller]\nname = c\nregion = g\nadmin = 127.0.0.1:0\nlease_ms = 1000\n\
                order_timeout_ms = 900\n";
    let path = env.temp_dir.write("c.ini", text);
    let output = Command::new(env!("CARGO_BIN_EXE_jujubeusher-controller"))
        .args(["--check", "--settings"])
        .arg(path)
        .output()
        .expect("the controller runs");
    let message = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{message}");
    assert!(
        message.contains("c.ini:6:") && message.contains("lower `order_timeout_ms`"),
        "{message}"
    );
    assert!(ctl(&["--version"]).status.success());
}
