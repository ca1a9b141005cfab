//! Peer protocol between nodes in the test process, and with an unauthorised or faulty peer.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

use common::{any_port, wait_until};
use jujubeusher::config::ini::Document;
use jujubeusher::config::settings::RouterSettings;
use jujubeusher::edge::clock::{Clock, HostClock};
use jujubeusher::ids::{Incarnation, RouterId, ServerId};
use jujubeusher::peer::frame::FRAME_MAX_BYTES;
use jujubeusher::peer::{Delta, Health, PeerHandle, Scope, ServerRow, StrikeRow};
use jujubeusher::runtime::{Runtime, Shutdown};

const KEY: &str = "a shared key of the tests";

struct Node {
    peers: PeerHandle,
    stop: Shutdown,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.stop.trigger();
    }
}

impl Node {
    fn open(name: &str, zone: &str, seeds: &[SocketAddr]) -> Self {
        Self::with_key(name, zone, seeds, KEY)
    }

    fn with_key(name: &str, zone: &str, seeds: &[SocketAddr], key: &str) -> Self {
        let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
        let text = format!(
            "[router]\nname = {name}\nzone = {zone}\nregion = g\nlisten = 127.0.0.1:0\n\
             admin = 127.0.0.1:0\n[peers]\nlisten = {}\nseeds = {}\nshared_key = {key}\n",
            any_port(),
            seeds.join(", ")
        );
        let document = Document::parse("test", &text).expect("INI");
        let settings = RouterSettings::from_document(&document).expect("settings");
        let runtime = Runtime::start(1);
        let stop = Shutdown::new();
        let clock: Arc<dyn Clock> = Arc::new(HostClock::open());
        let peers =
            PeerHandle::bind(&settings, &runtime, &clock, &stop).expect("the peer port binds");
        peers.set_servers([ServerId::from("s1")].iter());
        Self { peers, stop }
    }

    fn address(&self) -> SocketAddr {
        self.peers.address().expect("a listener")
    }

    fn alive(&self) -> usize {
        let routers = self.peers.routers();
        routers
            .iter()
            .filter(|router| router.health == Health::Alive)
            .count()
    }

    fn health_of(&self, name: &str) -> Option<Health> {
        let routers = self.peers.routers();
        let router = routers.iter().find(|router| router.name.as_str() == name);
        router.map(|router| router.health)
    }

    fn rejected(&self) -> u64 {
        self.peers.dump()["frames_rejected"]
            .as_u64()
            .expect("a count")
    }
}

/// Starts one node per zone entry, with the first node as the only seed, and waits until all know
/// each other.
fn fleet(zones: &[&str]) -> Vec<Node> {
    let mut nodes: Vec<Node> = Vec::new();
    for (index, zone) in zones.iter().enumerate() {
        let seeds: Vec<SocketAddr> = nodes.first().map(Node::address).into_iter().collect();
        nodes.push(Node::open(&format!("r{index}"), zone, &seeds));
    }
    for node in &nodes {
        wait_until("all nodes know each other", || node.alive() == zones.len());
    }
    nodes
}

fn server_row(running: u32) -> Delta {
    Delta::Server(ServerRow {
        server: ServerId::from("s1"),
        incarnation: Incarnation(1),
        running,
        waiting: 0,
        slots: 8,
        health: Health::Alive,
        age_ms: 0,
    })
}

fn strike_row() -> StrikeRow {
    StrikeRow {
        fingerprint: 7,
        server: ServerId::from("s1"),
        count: 1,
        remaining_ms: 60_000,
    }
}

/// Guards against rows that do not reach every node or reach a node twice.
#[test]
fn publish_reaches_each_node_once() {
    let nodes = fleet(&["a", "a", "a", "b", "b", "c", "c", "c", "c"]);
    let channels: Vec<_> = nodes[1..]
        .iter()
        .map(|node| node.peers.subscribe())
        .collect();
    for running in 0..5 {
        nodes[0].peers.publish(server_row(running));
    }
    for channel in &channels {
        let mut last = 0;
        while last < 4 {
            let (from, delta) = channel.recv_blocking().expect("a row");
            let Delta::Server(row) = delta else {
                panic!("{delta:?}");
            };
            assert_eq!(from, RouterId::from("r0"));
            assert!(
                row.running > last || row.running == 0,
                "{} after {last}",
                row.running
            );
            last = row.running;
        }
        assert!(channel.try_recv().is_err(), "a duplicate was delivered");
    }
}

/// Guards against rows with zone scope that are sent to other zones and load their links.
#[test]
fn publish_all_zone_scope_stays_in_zone() {
    let nodes = fleet(&["a", "a", "b", "b"]);
    let near = nodes[1].peers.subscribe();
    let far = nodes[2].peers.subscribe();
    nodes[0].peers.publish_all(Scope::Zone, vec![server_row(3)]);
    nodes[0].peers.publish(Delta::Strike(strike_row()));
    assert_eq!(
        far.recv_blocking().expect("a strike").1,
        Delta::Strike(strike_row())
    );
    assert!(far.try_recv().is_err());
    assert!(matches!(
        near.recv_blocking().expect("a row").1,
        Delta::Server(_) | Delta::Strike(_)
    ));
}

/// Guards against a node that joins late and does not receive rows that were published before and
/// are still valid.
#[test]
fn link_opened_gets_full_state() {
    let nodes = fleet(&["a", "a"]);
    nodes[1].peers.publish(Delta::Strike(strike_row()));
    let late = Node::open("late", "a", &[nodes[0].address()]);
    let channel = late.peers.subscribe();
    let (from, delta) = channel.recv_blocking().expect("a strike");
    assert_eq!(from, RouterId::from("r1"));
    assert!(matches!(delta, Delta::Strike(row) if row.fingerprint == 7));
}

/// Guards against a node without the shared key that changes the fleet's state.
#[test]
fn link_with_other_key_changes_nothing() {
    let nodes = fleet(&["a", "a"]);
    let seeds = [nodes[0].address()];
    let other_node = Node::with_key("stranger", "a", &seeds, "quite another key");
    wait_until("the frame is rejected", || nodes[0].rejected() > 0);
    assert_eq!(nodes[0].health_of("stranger"), None);
    assert_eq!(other_node.alive(), 1);
    assert_eq!(nodes[0].alive(), 2);
}

/// Guards against a malformed or oversized frame that stops a node or closes its other links.
#[test]
fn link_with_bad_frames_closes_alone() {
    let nodes = fleet(&["a", "a"]);
    let oversized = (FRAME_MAX_BYTES as u32 + 1).to_be_bytes().to_vec();
    for malformed in [
        oversized,
        vec![0, 0, 0, 3, 0xff, 0xff, 0xff],
        vec![0, 0, 0, 0],
    ] {
        let mut stream = TcpStream::connect(nodes[0].address()).expect("the node listens");
        stream
            .write_all(&malformed)
            .expect("the bytes are accepted");
        let mut rest = Vec::new();
        stream.read_to_end(&mut rest).expect("the link is closed");
    }
    wait_until("three links are closed", || nodes[0].rejected() == 3);
    assert_eq!(nodes[0].peers.linked_routers(), [RouterId::from("r1")]);
}

/// Guards against a stopped node that is still regarded as alive, and against its name being
/// unusable after a restart.
#[test]
fn node_that_stops_is_dead_and_returns() {
    let mut nodes = fleet(&["a", "b", "c"]);
    let address = nodes[0].address();
    drop(nodes.pop());
    wait_until("the node is no longer alive", || {
        nodes[0].health_of("r2") == Some(Health::Dead)
    });
    let again = Node::open("r2", "c", &[address]);
    wait_until("the restarted node is alive", || {
        nodes[1].health_of("r2") == Some(Health::Alive)
    });
    drop(again);
}
