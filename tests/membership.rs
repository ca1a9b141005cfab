//! Failure detection of routers and backend servers, with real processes.

mod common;

use std::net::SocketAddr;
use std::process::Command;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Resource, Rlimit, getrlimit, prlimit};

use common::{Env, PAYING_KEY, RouterProcess, any_port, chat, ctl, get, unused_port, wait_until};
use jujubeusher_standins::proxy::{Faults, Proxy};

const KEY: &str = "a shared key of the tests";
/// Latest time after the mark at which a leaving server may get new work (requirement R5).
const LEAVE_BOUND: Duration = Duration::from_secs(2);

fn dump(router: &RouterProcess) -> serde_json::Value {
    serde_json::from_str(&get(router.admin, "/dump").body).expect("a dump")
}

fn health(router: &RouterProcess, name: &str) -> String {
    let dump = dump(router);
    let routers = dump["peers"]["routers"]
        .as_array()
        .expect("routers")
        .clone();
    let found = routers.iter().find(|router| router["name"] == name);
    found
        .map_or("unknown", |router| router["health"].as_str().expect("text"))
        .to_owned()
}

struct Fleet {
    env: Env,
    addresses: Vec<SocketAddr>,
    routers: Vec<RouterProcess>,
}

impl Fleet {
    fn open(count: usize, engines: usize) -> Self {
        let mut fleet = Self {
            env: Env::open(engines),
            addresses: Vec::new(),
            routers: Vec::new(),
        };
        for index in 0..count {
            let (router, address) = fleet.spawn(index, "");
            fleet.addresses.push(address);
            fleet.routers.push(router);
        }
        fleet.wait_all("alive");
        fleet
    }

    /// Starts a router on an ephemeral port, as the port of its previous process may be in use by
    /// another listener.
    fn spawn(&self, index: usize, extra: &str) -> (RouterProcess, SocketAddr) {
        let seeds: Vec<String> = self.addresses.iter().map(ToString::to_string).collect();
        let peers = format!(
            "[peers]\nlisten = 127.0.0.1:0\nseeds = {}\nshared_key = {KEY}\n{extra}",
            seeds.join(", ")
        );
        let settings = self.env.settings(&format!("r{index}"), &peers);
        let router = RouterProcess::spawn(&settings);
        let listen = dump(&router)["peers"]["listen"].as_str().map(str::parse);
        let address = listen.expect("a listener").expect("an address");
        (router, address)
    }

    fn restart(&mut self, index: usize) {
        let (router, address) = self.spawn(index, "");
        self.routers[index] = router;
        self.addresses[index] = address;
    }

    fn wait_all(&self, expected: &str) {
        for router in &self.routers {
            for index in 0..self.addresses.len() {
                let name = format!("r{index}");
                wait_until("all routers report each other's health as expected", || {
                    health(router, &name) == expected
                });
            }
        }
    }

    fn drain(&self, server: &str) {
        let (table, objects) = (self.env.table.address(), self.env.objects.address());
        let arguments = [
            "drain",
            "--table",
            &table.to_string(),
            "--objects",
            &objects.to_string(),
            server,
        ];
        let output = ctl(&arguments);
        assert!(output.status.success(), "{output:?}");
    }
}

fn signal(router: &RouterProcess, name: &str) {
    let status = Command::new("kill")
        .args([name, &router.child.id().to_string()])
        .status();
    assert!(status.expect("kill runs").success());
}

/// Kills a router and waits until its process has exited, which frees its ports.
fn kill(router: &mut RouterProcess) {
    router.child.kill().expect("the router runs");
    router.child.wait().expect("the router exits");
}

/// Guards against new work for a server more than 2 s after it was marked as leaving (requirement
/// R5).
#[test]
fn drain_ends_new_work_within_the_bound() {
    let fleet = Fleet::open(3, 2);
    assert!(fleet.env.apply(&fleet.env.inventory()).status.success());
    for router in &fleet.routers {
        wait_until("the router applies version 1", || {
            dump(router)["config"]["version"] == 1
        });
    }
    let last = Mutex::new(None);
    let start = Instant::now();
    let marked = Mutex::new(None);
    std::thread::scope(|scope| {
        for router in &fleet.routers {
            let (last, marked) = (&last, &marked);
            scope.spawn(move || {
                let mut number = 0;
                while start.elapsed() < LEAVE_BOUND * 2 {
                    number += 1;
                    let sent = Instant::now();
                    let response = chat(router.address, PAYING_KEY, &format!("chat-{number}"));
                    assert_eq!(response.status, 200, "{response:?}");
                    if response.header("x-backend-server") == Some("e0")
                        && marked.lock().expect("the lock is not poisoned").is_some()
                    {
                        *last.lock().expect("the lock is not poisoned") = Some(sent);
                    }
                    std::thread::sleep(Duration::from_millis(20));
                }
            });
        }
        fleet.drain("e0");
        *marked.lock().expect("the lock is not poisoned") = Some(Instant::now());
    });
    let marked = marked
        .lock()
        .expect("the lock is not poisoned")
        .expect("the server was marked");
    if let Some(last) = *last.lock().expect("the lock is not poisoned") {
        let late = last.saturating_duration_since(marked);
        assert!(
            late <= LEAVE_BOUND,
            "a request was sent {late:?} after the mark"
        );
    }
    assert!(
        fleet.env.engines[1].chats().len() > 20,
        "the other server must receive the requests"
    );
}

/// Guards against routers that do not find each other again after all restarted one by one, or
/// after several restarted at the same time.
#[test]
fn mass_restarts_leave_all_alive() {
    let mut fleet = Fleet::open(7, 0);
    for index in 0..7 {
        kill(&mut fleet.routers[index]);
        fleet.restart(index);
    }
    fleet.wait_all("alive");
    for index in [0, 2, 4] {
        kill(&mut fleet.routers[index]);
    }
    for index in [0, 2, 4] {
        fleet.restart(index);
    }
    fleet.wait_all("alive");
}

/// Guards against a paused router that its peers do not declare dead, or that stays dead for them
/// after it resumed.
#[test]
fn paused_router_is_dead_and_refutes_when_resumed() {
    let fleet = Fleet::open(3, 0);
    signal(&fleet.routers[2], "-STOP");
    wait_until("the paused router is dead", || {
        health(&fleet.routers[0], "r2") == "dead"
    });
    let before = dump(&fleet.routers[0])["peers"]["routers"][2]["incarnation"].as_u64();
    signal(&fleet.routers[2], "-CONT");
    fleet.wait_all("alive");
    let after = dump(&fleet.routers[0])["peers"]["routers"][2]["incarnation"].as_u64();
    assert!(
        after > before,
        "the resumed router has no higher incarnation"
    );
}

/// Guards against declaring a router dead that receives nothing on the links which its peers opened
/// but still reaches them on its own links.
#[test]
fn one_way_partition_leaves_all_alive() {
    let mut fleet = Fleet::open(2, 0);
    let inbound = Proxy::bind(any_port(), any_port()).expect("a proxy");
    let extra = format!("advertise = {}\n", inbound.address());
    let (third, listen) = fleet.spawn(2, &extra);
    inbound.set_upstream(listen);
    fleet.addresses.push(inbound.address());
    fleet.routers.push(third);
    fleet.wait_all("alive");
    inbound.set_faults(Faults {
        is_upstream_paused: true,
        ..Faults::default()
    });
    // Long enough for a suspicion to become death; r2 sends its refutations on links that it opened
    // itself.
    std::thread::sleep(Duration::from_secs(8));
    fleet.wait_all("alive");
}

/// Guards against requests to a server that cannot be reached, and against one that is not used
/// again after it can be reached.
#[test]
fn dead_server_is_skipped_until_it_is_back() {
    let fleet = Fleet::open(2, 2);
    let port = fleet.env.engines[0].address();
    let proxy = Proxy::bind(any_port(), port).expect("a proxy");
    let inventory = fleet
        .env
        .inventory()
        .replace(&port.to_string(), &proxy.address().to_string());
    assert!(fleet.env.apply(&inventory).status.success());
    for router in &fleet.routers {
        wait_until("the router applies version 1", || {
            dump(router)["config"]["version"] == 1
        });
    }
    let server = |router: &RouterProcess| dump(router)["servers"][0]["health"].clone();
    proxy.set_upstream(unused_port());
    proxy.end_connections(jujubeusher_standins::proxy::End::Reset);
    for router in &fleet.routers {
        wait_until("the server is dead", || server(router) == "dead");
        let response = chat(router.address, PAYING_KEY, "any");
        assert_eq!(response.header("x-backend-server"), Some("e1"));
    }
    proxy.set_upstream(port);
    for router in &fleet.routers {
        wait_until("the server is alive", || server(router) == "alive");
    }
}

/// Guards against a router without a free file descriptor that takes its servers as dead, and tells
/// the other routers so.
#[test]
fn router_without_descriptors_reports_no_server_as_failed() {
    let fleet = Fleet::open(2, 2);
    assert!(fleet.env.apply(&fleet.env.inventory()).status.success());
    let servers = |router: &RouterProcess| -> Vec<String> {
        let dump = dump(router);
        let servers = dump["servers"].as_array().expect("servers");
        let health = |server: &serde_json::Value| server["health"].as_str().map(str::to_owned);
        servers.iter().filter_map(health).collect()
    };
    wait_until("the second router sees both servers alive", || {
        servers(&fleet.routers[1]) == ["alive", "alive"]
    });
    let process = Pid::from_child(&fleet.routers[0].child);
    let maximum = getrlimit(Resource::Nofile).maximum;
    let held = std::fs::read_dir(format!("/proc/{}/fd", fleet.routers[0].child.id()));
    let held: Vec<u64> = held
        .expect("the open files")
        .filter_map(|entry| entry.ok()?.file_name().to_str()?.parse().ok())
        .collect();
    let current = (0..).find(|number| !held.contains(number));
    prlimit(Some(process), Resource::Nofile, Rlimit { current, maximum }).expect("a limit");
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(4) {
        assert_eq!(servers(&fleet.routers[1]), ["alive", "alive"]);
        std::thread::sleep(Duration::from_millis(100));
    }
}
