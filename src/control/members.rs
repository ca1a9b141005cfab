//! Liveness of routers and backend servers: feeds events to the membership state machine and
//! provides views of it.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use futures_lite::FutureExt;
use indexmap::IndexMap;
use parking_lot::{Mutex, RwLock};

use crate::config::inventory::{BackendServer, Target};
use crate::control::config::ConfigStore;
use crate::control::probe::{LiveRouters, ProbeResult};
use crate::decide::membership::{Change, HostListing, Membership, Refutation, SERVER_TIMING};
use crate::edge::clock::Clock;
use crate::edge::host_list::{HostList, HostState};
use crate::http::client::Client;
use crate::http::pool::connect;
use crate::ids::{Incarnation, RouterId, ServerId};
use crate::peer::{Delta, Health, PeerHandle, ServerRow};
use crate::runtime::{Runtime, Shutdown};

/// Interval at which suspicions expire and the list of live routers is updated.
const TICK: Duration = Duration::from_millis(200);
/// Ticks between two rounds of checks of servers that are not alive.
const CHECK_TICKS: u64 = 5;
/// Maximum servers checked in one round. When a zone with hundreds of servers fails, each
/// router checks a few of them in turn instead of all; rows publish what it found to the other
/// routers.
const CHECKS_MAX: usize = 8;
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Health of the backend servers that are not alive.
pub type UnhealthyServers = Arc<IndexMap<ServerId, Health>>;

/// Liveness of the backend servers. Clones share the same state.
#[derive(Clone)]
pub struct Members {
    clock: Arc<dyn Clock>,
    peers: PeerHandle,
    servers: Arc<Mutex<Membership>>,
    view: Arc<RwLock<UnhealthyServers>>,
}

impl Members {
    /// Creates a membership in which all servers count as alive until a failure is recorded.
    pub fn new(clock: Arc<dyn Clock>, peers: PeerHandle) -> Self {
        let servers = Membership::new(SERVER_TIMING, Refutation::DirectEvidence);
        Self {
            clock,
            peers,
            servers: Arc::new(Mutex::new(servers)),
            view: Arc::default(),
        }
    }

    /// Servers that are not alive, with their health.
    pub fn view(&self) -> UnhealthyServers {
        Arc::clone(&self.view.read())
    }

    /// Records that a server responded to a probe or sent the first bytes of a response.
    pub fn record_response(&self, server: &ServerId, incarnation: Incarnation) {
        let now_ms = self.clock.monotonic_ms();
        let change = self
            .servers
            .lock()
            .record_contact(server.as_str(), incarnation, now_ms);
        self.publish(change);
    }

    /// Records a response that does not state the incarnation; the known one is assumed.
    pub fn record_response_without_incarnation(&self, server: &ServerId) {
        let known = self
            .servers
            .lock()
            .get(server.as_str())
            .map(|member| member.incarnation);
        self.record_response(server, known.unwrap_or_default());
    }

    /// Records a failure: the connection of a probe or an attempt was refused or broke.
    pub fn record_failure(&self, server: &ServerId) {
        let now_ms = self.clock.monotonic_ms();
        let mut servers = self.servers.lock();
        if servers.get(server.as_str()).is_none() {
            servers.apply_row(server.as_str(), Incarnation(0), Health::Alive, now_ms);
        }
        let change = servers.record_failure(server.as_str(), now_ms);
        drop(servers);
        self.publish(change);
    }

    /// Records a probe's result. A timeout is no failure: the server may only be busy, which
    /// its load shows.
    pub fn record_probe(&self, result: &ProbeResult) {
        match (&result.response, result.is_unreached) {
            (Some(response), _) => {
                self.record_response(&result.server, response.report.incarnation)
            }
            (None, true) => self.record_failure(&result.server),
            (None, false) => {}
        }
    }

    /// Applies a peer's row about a server.
    pub fn apply_row(&self, row: &ServerRow) {
        let now_ms = self.clock.monotonic_ms();
        let name = row.server.as_str();
        let change = self
            .servers
            .lock()
            .apply_row(name, row.incarnation, row.health, now_ms);
        if change.is_some() {
            self.refresh();
        }
    }

    /// Applies the host list's state of a server's host.
    pub fn apply_host_listing(&self, server: &ServerId, listing: HostListing) {
        let now_ms = self.clock.monotonic_ms();
        if self
            .servers
            .lock()
            .apply_host_listing(server.as_str(), listing, now_ms)
            .is_some()
        {
            self.refresh();
        }
    }

    /// Publishes a change that this router detected itself. The row has zero slots, which marks
    /// it as a row without load.
    fn publish(&self, change: Option<Change>) {
        let Some(change) = change else {
            return;
        };
        self.refresh();
        log::info!(
            "event=server_{} server={} incarnation={}",
            format!("{:?}", change.health).to_lowercase(),
            change.name,
            change.incarnation
        );
        self.peers.publish(Delta::Server(ServerRow {
            server: ServerId::from(change.name.as_str()),
            incarnation: change.incarnation,
            running: 0,
            waiting: 0,
            slots: 0,
            health: change.health,
            age_ms: 0,
        }));
    }

    fn tick(&self, known: &HashSet<&str>) {
        let now_ms = self.clock.monotonic_ms();
        let mut servers = self.servers.lock();
        let removed: Vec<String> = servers
            .iter()
            .map(|(name, _)| name.to_owned())
            .filter(|name| !known.contains(name.as_str()))
            .collect();
        for name in &removed {
            servers.remove(name);
        }
        let changes = servers.tick(now_ms);
        drop(servers);
        if !removed.is_empty() || !changes.is_empty() {
            self.refresh();
        }
    }

    fn refresh(&self) {
        let servers = self.servers.lock();
        let view = servers
            .iter()
            .filter(|(_, member)| member.health != Health::Alive)
            .map(|(name, member)| (ServerId::from(name), member.health))
            .collect();
        *self.view.write() = Arc::new(view);
    }
}

/// Periodically updates the views of servers and routers and checks unavailable servers.
pub struct MembersDriver {
    /// The servers' liveness.
    pub members: Members,
    /// Source of the live routers.
    pub peers: PeerHandle,
    /// Inventory; servers that it does not list are removed.
    pub config: ConfigStore,
    /// Live routers, updated here and read by the prober.
    pub live_routers: LiveRouters,
    /// Runs the checks of servers that are not alive.
    pub runtime: Runtime,
}

impl MembersDriver {
    /// Runs until the shutdown.
    pub async fn run(self, stop: Shutdown) {
        let mut ticks = 0u64;
        while !stop.is_triggered() {
            if ticks.is_multiple_of(CHECK_TICKS) {
                self.check_unavailable(ticks / CHECK_TICKS);
            }
            ticks += 1;
            let configuration = self.config.current();
            let known = configuration.inventory.servers.keys();
            self.members.tick(&known.map(ServerId::as_str).collect());
            *self.live_routers.write() = live_routers(&self.peers);
            let pause = async {
                smol::Timer::after(TICK).await;
            };
            pause.or(stop.wait()).await;
        }
    }
}

impl MembersDriver {
    /// Checks servers that are suspect or dead. Dead servers receive no requests, so only these
    /// checks detect that they have recovered.
    fn check_unavailable(&self, round: u64) {
        let configuration = self.config.current();
        let view = self.members.view();
        let unavailable: Vec<&ServerId> = view
            .iter()
            .filter(|(_, health)| **health != Health::Leaving)
            .map(|(id, _)| id)
            .collect();
        let start = (round as usize * CHECKS_MAX) % unavailable.len().max(1);
        let candidates = unavailable.iter().cycle().skip(start);
        for id in candidates.take(CHECKS_MAX.min(unavailable.len())) {
            if let Some(server) = configuration.inventory.servers.get(*id) {
                self.runtime
                    .spawn_detached(check(self.members.clone(), server.clone()));
            }
        }
    }
}

/// Checks one server. An engine must respond to a query for its load, as a stuck engine still
/// accepts connections; a plain service must accept a connection.
async fn check(members: Members, server: BackendServer) {
    let is_up = match server.target {
        Target::Model(_) => {
            let response = Client::open(server.address, CHECK_TIMEOUT)
                .get("/v1/load")
                .await;
            response.is_ok_and(|response| response.status == 200)
        }
        Target::Service(_) => connect(server.address, CHECK_TIMEOUT).await.is_ok(),
    };
    if is_up {
        members.record_response_without_incarnation(&server.id);
    }
}

fn live_routers(peers: &PeerHandle) -> Vec<(RouterId, crate::ids::ZoneId)> {
    let routers = peers.routers();
    let alive = routers
        .iter()
        .filter(|router| router.health == Health::Alive);
    alive
        .map(|router| (router.name.clone(), router.zone.clone()))
        .collect()
}

/// Applies peers' rows about servers until the channel closes.
pub async fn apply_rows(members: Members, rows: Receiver<(RouterId, Delta)>) {
    while let Ok((_, delta)) = rows.recv().await {
        if let Delta::Server(row) = delta {
            members.apply_row(&row);
        }
    }
}

/// Polls the host list and applies it to the servers.
pub struct HostListPoller {
    /// Source of the hosts' states.
    pub hosts: Arc<dyn HostList>,
    /// Receives the state of each server's host.
    pub members: Members,
    /// Inventory, whose servers are matched to hosts by address.
    pub config: ConfigStore,
    /// Time between polls.
    pub period: Duration,
}

impl HostListPoller {
    /// Polls until the shutdown.
    pub async fn run(self, stop: Shutdown) {
        while !stop.is_triggered() {
            match self.hosts.list().await {
                Ok(hosts) => self.apply_hosts(&hosts),
                Err(error) => log::debug!("event=host_list_failed error=\"{error}\""),
            }
            let pause = async {
                smol::Timer::after(self.period).await;
            };
            pause.or(stop.wait()).await;
        }
    }

    fn apply_hosts(&self, hosts: &[crate::edge::host_list::Host]) {
        let configuration = self.config.current();
        for server in configuration.inventory.servers.values() {
            let ip = server.address.ip().to_string();
            let matching_host = hosts
                .iter()
                .find(|host| host.address.split(':').next() == Some(ip.as_str()));
            let listing = match matching_host.map(|host| host.state) {
                Some(HostState::Live) => HostListing::Live,
                Some(HostState::Leaving) | None => HostListing::Leaving,
            };
            self.members.apply_host_listing(&server.id, listing);
        }
    }
}
