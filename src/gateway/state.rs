//! State that all requests of a gateway share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use indexmap::IndexMap;
use parking_lot::{Mutex, RwLock};

use crate::config::routing::RoutingTable;
use crate::control::load::LoadTable;
use crate::decide::prompt_homes::{PromptHomes, source};
use crate::decide::registry::{Change, Registration, Registry};
use crate::decide::retry_window::{FleetBound, RetryWindow};
use crate::edge::clock::Clock;
use crate::gateway::protocol::{BackendProtocol, CallerProtocol};
use crate::gateway::reach::Reach;
use crate::gateway::watch::{Follower, Row};
use crate::http::pool::Pool;
use crate::ids::{RouterId, ServerId, ServiceId, ZoneId};
use crate::runtime::Runtime;

/// Settings of a gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// This router's name.
    pub name: RouterId,
    /// Availability zone of this host.
    pub zone: ZoneId,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address where the platform asks whether this router is ready.
    pub ready: SocketAddr,
    /// Most open connections of callers.
    pub connections_max: usize,
    /// Bound on the retries of all routers together.
    pub retries: FleetBound,
    /// Time from the order to stop until the process is killed.
    pub stop_ms: u64,
    /// Longest time for which a server that leaves may get requests.
    pub leave_ms: u64,
}

/// State that all requests share.
pub struct State {
    settings: RwLock<Arc<GatewaySettings>>,
    /// Runs the tasks.
    pub runtime: Runtime,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Connections to backend servers.
    pub pool: Pool,
    /// Load of backend servers.
    pub load: LoadTable,
    /// Which servers can be reached and serve.
    pub reach: Reach,
    /// Protocol of the callers.
    pub callers: Box<dyn CallerProtocol>,
    /// Protocol of the backend servers.
    pub backends: Box<dyn BackendProtocol>,
    routing: RwLock<Option<Arc<RoutingTable>>>,
    registry: Mutex<Registry>,
    retries: Mutex<IndexMap<ServiceId, RetryWindow>>,
    homes: Mutex<PromptHomes>,
    in_flight: AtomicUsize,
    is_stopping: AtomicBool,
}

/// Routers that share the retry budget where their number is not known: the first users have
/// seven, and more may be added.
const ROUTERS_ASSUMED: usize = 12;

/// Time after a server's first registration for which prompts that moved to it may still be
/// held by the server that had them before.
const JOINED_LATELY_MS: u64 = 20_000;

impl State {
    /// State that knows no configuration and no server yet.
    pub fn open(
        settings: GatewaySettings,
        runtime: Runtime,
        clock: Arc<dyn Clock>,
        pool: Pool,
        callers: Box<dyn CallerProtocol>,
        backends: Box<dyn BackendProtocol>,
    ) -> Self {
        Self {
            settings: RwLock::new(Arc::new(settings)),
            runtime,
            load: LoadTable::open(Arc::clone(&clock)),
            clock,
            pool,
            reach: Reach::default(),
            callers,
            backends,
            routing: RwLock::default(),
            registry: Mutex::default(),
            retries: Mutex::default(),
            homes: Mutex::default(),
            in_flight: AtomicUsize::new(0),
            is_stopping: AtomicBool::new(false),
        }
    }

    /// Monotonic time in ms.
    pub fn now_ms(&self) -> u64 {
        self.clock.monotonic_ms()
    }

    /// Settings in force.
    pub fn settings(&self) -> Arc<GatewaySettings> {
        Arc::clone(&self.settings.read())
    }

    /// Puts new settings into force. Addresses stay as they were bound, since the platform
    /// gives a process new ones only at its start.
    pub fn reload(&self, new: GatewaySettings) {
        let mut settings = self.settings.write();
        if **settings == new {
            return;
        }
        log::info!(
            "event=reloaded retry_ratio={} retry_slack={} retry_window_ms={} stop_ms={} leave_ms={}",
            new.retries.ratio,
            new.retries.slack,
            new.retries.window_ms,
            new.stop_ms,
            new.leave_ms,
        );
        *settings = Arc::new(new);
    }

    /// The routes in force.
    pub fn routing(&self) -> Option<Arc<RoutingTable>> {
        self.routing.read().clone()
    }

    /// Servers of a service that take requests.
    pub fn usable(&self, service: &ServiceId) -> Vec<Registration> {
        self.registry.lock().usable(service).cloned().collect()
    }

    /// A server that takes requests.
    pub fn registration(&self, server: &ServerId) -> Option<Registration> {
        self.registry.lock().get(server).cloned()
    }

    /// Notes that a server runs a request with these shared prompt parts.
    pub fn note_home(&self, shared_hash: u64, server: &ServerId) {
        self.homes.lock().note(shared_hash, server, self.now_ms());
    }

    /// Address of the server from which `target` fetches the shared prompt parts that it
    /// lacks; `order` is the prompt's order of servers whatever their load.
    pub fn fetch_from(
        &self,
        shared_hash: u64,
        target: &ServerId,
        order: &[ServerId],
    ) -> Option<SocketAddr> {
        let now_ms = self.now_ms();
        let registry = self.registry.lock();
        let known_for_ms = registry.known_for_ms(target, now_ms).unwrap_or(0);
        let homes = self.homes.lock();
        let known = homes.home(shared_hash, now_ms);
        let known = known.filter(|home| registry.address(home).is_some());
        let source = source(target, known, order, known_for_ms < JOINED_LATELY_MS)?;
        registry.address(source)
    }

    /// Notes that another server has the address of this one.
    pub fn misdirected(&self, server: &ServerId) {
        log::warn!("event=server_misdirected server={server}");
        self.registry.lock().misdirected(server);
    }

    /// Counts a request for a service.
    pub fn count_request(&self, service: &ServiceId) {
        let now_ms = self.now_ms();
        let mut retries = self.retries.lock();
        let window = retries.entry(service.clone()).or_default();
        window.request(now_ms, &self.settings().retries);
    }

    /// Spends a retry at a service if the budget has one left.
    pub fn take_retry(&self, service: &ServiceId) -> bool {
        let now_ms = self.now_ms();
        let mut retries = self.retries.lock();
        let window = retries.entry(service.clone()).or_default();
        window.take(now_ms, &self.settings().retries, ROUTERS_ASSUMED)
    }

    /// Whether the platform should send callers here.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.routing.read().is_some()
    }

    /// Whether the process was told to stop.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Notes that the process was told to stop.
    pub fn begin_stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts a request as in flight until the ticket is dropped.
    pub fn enter(self: &Arc<Self>) -> FlightTicket {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        FlightTicket(Arc::clone(self))
    }
}

/// One request in flight.
pub struct FlightTicket(Arc<State>);

impl Drop for FlightTicket {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Takes up the routes.
pub struct RoutingFollower(pub Arc<State>);

impl RoutingFollower {
    fn take(&self, rows: Vec<Row<RoutingTable>>) {
        for row in rows {
            match row {
                Row::Set(table) => self.set(table),
                Row::Removed { key } => log::warn!("event=routes_removed key={key}"),
                Row::Unreadable { key, problem } => {
                    log::warn!("event=routes_unreadable key={key} problem=\"{problem}\"");
                }
            }
        }
    }

    fn set(&self, table: RoutingTable) {
        let mut routing = self.0.routing.write();
        let known = routing.as_ref().map(|known| known.version);
        if known.is_some_and(|known| known >= table.version) {
            return;
        }
        log::info!(
            "event=routes version={} hosts={} keys={}",
            table.version,
            table.hosts.len(),
            table.keys.as_ref().map_or(0, IndexMap::len),
        );
        *routing = Some(Arc::new(table));
    }
}

impl Follower<RoutingTable> for RoutingFollower {
    fn replace(&self, rows: Vec<Row<RoutingTable>>) {
        self.take(rows);
    }

    fn apply(&self, rows: Vec<Row<RoutingTable>>) {
        self.take(rows);
    }

    fn lost(&self) {}

    fn reached(&self) {}
}

/// Takes up the servers.
pub struct ServerFollower(pub Arc<State>);

fn log_change(id: &ServerId, change: Change) {
    match change {
        Change::None => {}
        Change::Joined => log::info!("event=server_joined server={id}"),
        Change::Left => log::info!("event=server_left server={id}"),
        Change::Lapsed => log::info!("event=server_lapsed server={id}"),
        Change::Outdated => log::debug!("event=heartbeat_outdated server={id}"),
    }
}

impl Follower<Registration> for ServerFollower {
    fn replace(&self, rows: Vec<Row<Registration>>) {
        let now_ms = self.0.now_ms();
        let mut set = Vec::new();
        let mut unreadable = Vec::new();
        for row in rows {
            match row {
                Row::Set(registration) => set.push(registration),
                Row::Unreadable { key, problem } => {
                    log::info!("event=server_unreadable server={key} problem=\"{problem}\"");
                    unreadable.push(ServerId::from(key.as_str()));
                }
                Row::Removed { .. } => {}
            }
        }
        let changes = self.0.registry.lock().replace(set, &unreadable, now_ms);
        for (id, change) in changes {
            log_change(&id, change);
        }
    }

    fn apply(&self, rows: Vec<Row<Registration>>) {
        let now_ms = self.0.now_ms();
        let mut registry = self.0.registry.lock();
        for row in rows {
            match row {
                Row::Set(registration) => {
                    let id = registration.id.clone();
                    log_change(&id, registry.set(registration, now_ms));
                }
                Row::Removed { key } => {
                    let id = ServerId::from(key.as_str());
                    log_change(&id, registry.remove(&id, now_ms));
                }
                Row::Unreadable { key, problem } => {
                    log::info!("event=server_unreadable server={key} problem=\"{problem}\"");
                }
            }
        }
    }

    fn lost(&self) {
        self.0.registry.lock().store_lost();
    }

    fn reached(&self) {
        let now_ms = self.0.now_ms();
        let mut registry = self.0.registry.lock();
        registry.store_back(now_ms);
        for id in registry.expire(now_ms) {
            log::info!("event=server_left server={id} reason=not_registered_again");
        }
    }
}
