//! Connects the state machine of the peer protocol, which is behind one lock, with links,
//! subscribers and counters. [`crate::peer::driver`] runs it.

mod config;
mod dialing;

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use parking_lot::{Mutex, RwLock};
use rand::RngExt;
use serde_json::{Value, json};

use crate::config::settings::RouterSettings;
use crate::edge::clock::Clock;
use crate::ids::{ConfigVersion, RouterId, ServerId};
use crate::peer::core::{Core, Delivery};
use crate::peer::frame::{LinkError, Side};
use crate::peer::outbox::Outbox;
use crate::peer::row::{Delta, Scope, ServerRow, UseRow, server_hash};
use crate::peer::{ConfigMessage, RouterView, wire};
use crate::runtime::Shutdown;

/// Maximum number of unread messages of a subscriber; beyond it the oldest are dropped.
const SUBSCRIBER_QUEUE_MAX: usize = 8_192;
/// Time limit for sending the notice of a planned stop.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(300);

/// Counters of traffic since the process started.
#[derive(Debug, Default)]
pub struct Counters {
    /// Bytes of sent frames, including their length prefixes.
    pub bytes_sent: AtomicU64,
    /// Bytes of received frames, including their length prefixes.
    pub bytes_received: AtomicU64,
    /// Frames sent on links, heartbeats included.
    pub frames_sent: AtomicU64,
    /// Frames received on links, heartbeats included.
    pub frames_received: AtomicU64,
    /// Links closed because a frame was malformed, oversized or not authentic.
    pub frames_rejected: AtomicU64,
}

type Subscribers<T> = Mutex<Vec<Sender<(RouterId, T)>>>;

/// A request to dial a peer.
#[derive(Debug)]
pub struct DialRequest {
    /// Name of the router; none for a seed, whose name is not known.
    pub name: Option<String>,
    /// Address to connect to.
    pub address: SocketAddr,
}

/// State of the peer protocol of one process, shared by its tasks.
pub struct PeerNode {
    /// Counters for the dump and for measurements.
    pub counters: Counters,
    core: Mutex<Core>,
    clock: Arc<dyn Clock>,
    stop: Shutdown,
    dial_requests: (Sender<DialRequest>, Receiver<DialRequest>),
    shared_key: String,
    source_address: IpAddr,
    address: RwLock<Option<SocketAddr>>,
    subscribers: Subscribers<Delta>,
    config_subscribers: Subscribers<ConfigMessage>,
    servers: RwLock<HashMap<u64, ServerId>>,
    routers: RwLock<Arc<Vec<RouterView>>>,
    config_version: AtomicU64,
    config_version_offered: AtomicU64,
}

fn own_member(settings: &RouterSettings, clock: &dyn Clock) -> wire::Member {
    wire::Member {
        name: settings.name.to_string(),
        zone: settings.zone.to_string(),
        region: settings.region.to_string(),
        address: String::new(),
        // A process persists nothing. The wall clock gives a restarted process a higher
        // incarnation; if a peer knows a higher one nevertheless, this process raises its own.
        incarnation: clock.wall_ms(),
        state: wire::MemberState::Alive.into(),
        session: rand::rng().random(),
    }
}

impl PeerNode {
    /// Creates a node without links.
    pub fn new(settings: &RouterSettings, clock: &Arc<dyn Clock>, stop: &Shutdown) -> Arc<Self> {
        let peers = settings.peers.as_ref();
        let core = Core::new(
            own_member(settings, &**clock),
            peers.map_or(0, |p| p.degree),
        );
        let node = Arc::new(Self {
            counters: Counters::default(),
            core: Mutex::new(core),
            clock: Arc::clone(clock),
            stop: stop.clone(),
            // The core requests at most one dial per router at a time, which bounds the queue.
            dial_requests: async_channel::unbounded(),
            shared_key: peers.map_or_else(String::new, |p| p.shared_key.clone()),
            source_address: peers.map_or(Ipv4Addr::UNSPECIFIED.into(), |p| p.listen.ip()),
            address: RwLock::new(None),
            subscribers: Mutex::default(),
            config_subscribers: Mutex::default(),
            servers: RwLock::default(),
            routers: RwLock::default(),
            config_version: AtomicU64::new(0),
            config_version_offered: AtomicU64::new(0),
        });
        node.refresh_routers();
        node
    }

    /// Sets the address of the listener and the address that peers dial.
    pub fn set_addresses(&self, listen: SocketAddr, advertised: SocketAddr) {
        *self.address.write() = Some(listen);
        self.core.lock().own.address = advertised.to_string();
    }

    fn request_dial(&self, dial: DialRequest) {
        // The node owns the receiver too, so the channel is never closed.
        let _ = self.dial_requests.0.try_send(dial);
    }

    /// Waits for the next request to dial a peer.
    pub async fn next_dial(&self) -> Option<DialRequest> {
        self.dial_requests.1.recv().await.ok()
    }

    /// Monotonic time in ms.
    pub fn now_ms(&self) -> u64 {
        self.clock.monotonic_ms()
    }

    /// This process, as it introduces itself.
    pub fn own(&self) -> wire::Member {
        self.core.lock().own.clone()
    }

    /// Whether the process is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stop.is_triggered()
    }

    /// Completes when the process stops.
    pub async fn stopped(&self) {
        self.stop.wait().await;
    }

    /// Key that authenticates peers.
    pub fn shared_key(&self) -> &str {
        &self.shared_key
    }

    /// Source address of connections to peers.
    pub fn source_address(&self) -> IpAddr {
        self.source_address
    }

    /// Address of the listener; none without `[peers]` in the settings.
    pub fn address(&self) -> Option<SocketAddr> {
        *self.address.read()
    }

    /// Version of the configuration in force.
    pub fn config_version(&self) -> u64 {
        self.config_version.load(Ordering::Relaxed)
    }

    /// Sets the version of the configuration in force; a lower version has no effect.
    pub fn set_config_version(&self, version: ConfigVersion) {
        self.config_version.fetch_max(version.0, Ordering::Relaxed);
        self.config_version_offered
            .fetch_max(version.0, Ordering::Relaxed);
    }

    /// Sets the servers whose rows are delivered to subscribers.
    pub fn set_servers<'a, I>(&self, servers: I)
    where
        I: Iterator<Item = &'a ServerId>,
    {
        let servers = servers.map(|id| (server_hash(id), id.clone()));
        *self.servers.write() = servers.collect();
    }

    /// Subscribes to rows from other routers, beginning with the stored ones.
    pub fn subscribe(&self) -> Receiver<(RouterId, Delta)> {
        let (sender, receiver) = async_channel::bounded(SUBSCRIBER_QUEUE_MAX);
        let new_subscriber = Mutex::new(vec![sender.clone()]);
        let core = self.core.lock();
        self.deliver_groups(&new_subscriber, &core.rows_by_publisher(self.now_ms()));
        self.subscribers.lock().push(sender);
        receiver
    }

    /// Subscribes to messages about the configuration.
    pub fn subscribe_config(&self) -> Receiver<(RouterId, ConfigMessage)> {
        let (sender, receiver) = async_channel::bounded(SUBSCRIBER_QUEUE_MAX);
        self.config_subscribers.lock().push(sender);
        receiver
    }

    /// All known routers, including this one, sorted by name.
    pub fn routers(&self) -> Arc<Vec<RouterView>> {
        Arc::clone(&self.routers.read())
    }

    /// Names of the routers that this process has links to.
    pub fn linked_routers(&self) -> Vec<RouterId> {
        let core = self.core.lock();
        core.links()
            .map(|link| link.peer.name.as_str().into())
            .collect()
    }

    fn refresh_routers(&self) {
        let core = self.core.lock();
        let view = |member: &wire::Member, health, incarnation| RouterView {
            name: member.name.as_str().into(),
            zone: member.zone.as_str().into(),
            region: member.region.as_str().into(),
            incarnation,
            health,
        };
        let own = view(
            &core.own,
            core.own.state().into(),
            crate::ids::Incarnation(core.own.incarnation),
        );
        let others = core
            .others()
            .map(|(member, health, inc)| view(member, health, inc));
        let mut routers: Vec<RouterView> = others.chain([own]).collect();
        routers.sort_by(|a, b| a.name.cmp(&b.name));
        *self.routers.write() = Arc::new(routers);
    }

    /// Publishes rows of this process.
    pub fn publish(&self, scope: Scope, deltas: Vec<Delta>) {
        let mut group = wire::Group::default();
        group.set_scope(scope.into());
        for delta in deltas {
            match delta {
                Delta::Server(row) => group.servers.push((&row).into()),
                Delta::TeamShare(row) => group.teams.push((&row).into()),
                Delta::Strike(row) => group.strikes.push((&row).into()),
                Delta::Use(row) => group.uses.push((&row).into()),
                Delta::Config(push) => self.publish_config_change(&push),
            }
        }
        if group.has_rows() {
            self.core.lock().publish(group, self.now_ms());
        }
    }

    /// Registers a new link. Returns none if an existing link to the same process is preferred.
    pub fn link_opened(
        &self,
        peer: wire::Member,
        side: Side,
        outbox: &Arc<Outbox>,
    ) -> Option<(u64, Shutdown)> {
        let mut delivery = Delivery::default();
        let opened =
            self.core
                .lock()
                .add_link(peer, side, Arc::clone(outbox), self.now_ms(), &mut delivery);
        self.deliver(delivery);
        opened
    }

    /// Removes a closed link and dials its peer if the end was not expected.
    pub fn link_closed(&self, id: u64) {
        let lost = self.core.lock().remove_link(id);
        if let Some(peer) = lost.filter(|_| !self.stop.is_triggered()) {
            self.dial(&peer.name);
        }
    }

    /// Queues the full state for a link whose queue dropped rows.
    pub fn resend_state(&self, outbox: &Outbox, zone: &str) {
        self.core
            .lock()
            .send_full_state(outbox, zone, self.now_ms());
    }

    /// Records the end of a dial. `is_connected` is true if the expected router accepted the
    /// connection.
    pub fn dial_ended(&self, name: &str, is_connected: bool) {
        let mut core = self.core.lock();
        if is_connected {
            core.finish_dial(name);
            return;
        }
        let has_changed = core.dial_failed(name, self.now_ms());
        drop(core);
        if has_changed {
            self.refresh_routers();
        }
    }

    /// Counts and logs a link that closes because its peer sent invalid frames.
    pub fn count_rejected(&self, error: &LinkError) {
        let is_rejected = match error {
            LinkError::NotAuthentic
            | LinkError::Malformed(_)
            | LinkError::Protocol(_)
            | LinkError::UnsupportedVersion(_) => true,
            LinkError::Connection(error) => error.kind() == std::io::ErrorKind::InvalidData,
            _ => false,
        };
        if is_rejected {
            self.counters
                .frames_rejected
                .fetch_add(1, Ordering::Relaxed);
            log::warn!("event=peer_frame_rejected error=\"{error}\"");
        }
    }

    /// Applies a packet that a link received and delivers its new rows.
    pub fn apply_packet(&self, id: u64, from: &str, packet: wire::Packet) {
        self.handle_config(Some(id), from, &packet);
        let delivery = self.core.lock().apply_packet(id, packet, self.now_ms());
        self.deliver(delivery);
    }

    fn notify<T: Clone>(&self, subscribers: &Subscribers<T>, from: &RouterId, message: T) {
        let mut subscribers = subscribers.lock();
        subscribers.retain(|sender| !sender.is_closed());
        for sender in subscribers.iter() {
            let _ = sender.force_send((from.clone(), message.clone()));
        }
    }

    fn deliver(&self, delivery: Delivery) {
        if delivery.has_member_changes {
            self.refresh_routers();
        }
        self.deliver_groups(&self.subscribers, &delivery.groups);
    }

    fn deliver_groups(&self, to: &Subscribers<Delta>, groups: &[(RouterId, wire::Group)]) {
        for (publisher, group) in groups {
            for row in &group.servers {
                let server = self.servers.read().get(&row.server).cloned();
                if let Some(server) = server {
                    let row = ServerRow::from_wire(server, row);
                    self.notify(to, publisher, Delta::Server(row));
                }
            }
            for row in &group.teams {
                self.notify(to, publisher, Delta::TeamShare(row.into()));
            }
            for row in &group.uses {
                let server = self.servers.read().get(&row.server).cloned();
                if let Some(server) = server {
                    let in_flight = row.in_flight;
                    let row = UseRow { server, in_flight };
                    self.notify(to, publisher, Delta::Use(row));
                }
            }
            for row in &group.strikes {
                self.notify(to, publisher, Delta::Strike(row.into()));
            }
        }
    }

    /// Notifies peers of the planned stop and waits until the notice is sent or the time limit
    /// passes.
    pub async fn leave(&self) {
        self.core.lock().leave();
        let is_sent = || self.core.lock().links().all(|link| link.outbox.is_empty());
        let poll = Duration::from_millis(10);
        let mut waited = Duration::ZERO;
        while waited < LEAVE_TIMEOUT && !is_sent() {
            smol::Timer::after(poll).await;
            waited += poll;
        }
    }

    /// State for the diagnostic dump.
    pub fn dump(&self) -> Value {
        let routers = self.routers();
        let core = self.core.lock();
        let links: Vec<Value> = core
            .links()
            .map(|link| json!({"peer": link.peer.name, "zone": link.peer.zone, "dialed": link.side == Side::Dialer}))
            .collect();
        let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        json!({
            "address": core.own.address,
            "listen": self.address(),
            "incarnation": core.own.incarnation,
            "routers": *routers,
            "links": links,
            "rows": core.row_count(),
            "bytes_sent": count(&self.counters.bytes_sent),
            "bytes_received": count(&self.counters.bytes_received),
            "frames_sent": count(&self.counters.frames_sent),
            "frames_received": count(&self.counters.frames_received),
            "frames_rejected": count(&self.counters.frames_rejected),
        })
    }
}
