//! What the gateway's state knows of backend servers from their registrations.

use std::cmp::Reverse;

use indexmap::IndexSet;

use crate::decide::registry::Registration;
use crate::decide::server_limit::{Effect, LimitUpdate};
use crate::decide::strikes::Incarnation;
use crate::gateway::freshness::Freshness;
use crate::gateway::state::State;
use crate::gateway::strike_feed::StrikeChanges;
use crate::ids::{RequestId, ServerId, ServiceId};

impl State {
    /// Servers of a service that accept requests.
    pub fn available_servers(&self, service: &ServiceId) -> Vec<Registration> {
        let now_ms = self.now_ms();
        let registry = self.registry.lock();
        registry.usable(service, now_ms).cloned().collect()
    }

    /// Ids of all servers that accept requests.
    pub fn usable_servers(&self) -> IndexSet<ServerId> {
        let now_ms = self.now_ms();
        let registry = self.registry.lock();
        let ids = registry.all().map(|server| &server.id);
        let usable = ids.filter(|id| registry.get(id, now_ms).is_some());
        usable.cloned().collect()
    }

    /// Registration of a server; `None` if it does not accept requests.
    pub fn registration(&self, server: &ServerId) -> Option<Registration> {
        self.registry.lock().get(server, self.now_ms()).cloned()
    }

    /// Records what a response of a server said of its limit, and passes it on if it is new.
    pub fn record_limit(&self, server: &Registration, limit_per_s: Option<f64>, as_of_ms: u64) {
        let update = LimitUpdate {
            server: server.id.clone(),
            incarnation: server.incarnation,
            limit_per_s,
            age_ms: self.now_ms().saturating_sub(as_of_ms),
        };
        let effect = self
            .reachability
            .record_limit(&update, as_of_ms, "response");
        if effect == Effect::Changed {
            self.metrics.count_notice("limit");
        }
        if effect != Effect::None {
            let changes = StrikeChanges {
                limits: vec![update],
                as_of_ms: self.now_ms(),
                ..StrikeChanges::default()
            };
            self.strike_feed.publish(changes, None);
        }
    }

    /// Applies what other routers were told of the limits of servers; returns what is new. Servers
    /// that this router does not know are left out.
    pub fn apply_limit_updates<U>(&self, updates: U, now_ms: u64) -> Vec<LimitUpdate>
    where
        U: Iterator<Item = LimitUpdate>,
    {
        let is_known = |update: &LimitUpdate| {
            let registry = self.registry.lock();
            registry.known_for_ms(&update.server, now_ms).is_some()
        };
        let is_new = |update: &LimitUpdate| {
            let as_of_ms = now_ms.saturating_sub(update.age_ms);
            self.reachability.record_limit(update, as_of_ms, "peer") != Effect::None
        };
        updates
            .filter(|update| is_known(update) && is_new(update))
            .collect()
    }

    /// Whether a server still accepts requests, as the same incarnation at the same address. Asked
    /// right before a request is written. While the routes are out of date, as after a pause of the
    /// process, the server's zone may have been evacuated without this router's knowledge.
    pub fn accepts_requests(&self, server: &Registration) -> bool {
        let now_ms = self.now_ms();
        if self.has_outdated_routes() || !self.may_write(server, now_ms) {
            return false;
        }
        let registry = self.registry.lock();
        let current = registry.get(&server.id, now_ms);
        current.is_some_and(|current| {
            current.incarnation == server.incarnation && current.address == server.address
        })
    }

    /// Other servers of the same availability zone, of any service, those first that were active
    /// last.
    pub fn servers_nearby(&self, server: &Registration) -> Vec<Registration> {
        let registry = self.registry.lock();
        let nearby = registry.all().filter(|other| {
            other.zone == server.zone
                && other.address != server.address
                && registry.leaving_source(&other.id).is_none()
        });
        let mut nearby: Vec<Registration> = nearby.cloned().collect();
        nearby.sort_by_key(|other| Reverse(self.reachability.active_ms(&other.id)));
        nearby
    }

    /// Records that a server announced its leaving in the response to the request `id`.
    pub fn record_leaving(&self, server: &Registration, id: &RequestId) {
        let mut registry = self.registry.lock();
        if registry.record_announced_leaving(&server.id, server.incarnation) {
            log::info!(
                "event=server_leaving server={} incarnation={} source=response id={id}",
                server.id,
                server.incarnation,
            );
            self.metrics.count_notice("leaving");
        }
    }

    /// Records that another server answers at this server's address.
    pub fn record_misdirected(&self, server: &ServerId) {
        log::warn!("event=server_misdirected server={server}");
        self.registry.lock().mark_misdirected(server);
    }

    /// Records an update of the servers that were read at `read_ms`.
    pub fn record_servers_read(&self, read_ms: u64) {
        self.servers_source.lock().record_read(read_ms);
    }

    /// Records that the source of the servers does not answer.
    pub fn record_servers_lost(&self) {
        *self.servers_source.lock() = Freshness::default();
    }

    /// Whether the registrations that this router knows are up to date.
    pub fn has_current_servers(&self) -> bool {
        self.servers_source.lock().is_current(self.now_ms())
    }

    /// Whether a server is registered, whether or not it accepts requests.
    pub fn is_registered(&self, server: &ServerId) -> bool {
        self.registry.lock().zone(server).is_some()
    }

    /// Whether another server has registered at the address of one that has vanished.
    pub fn is_address_reused(&self, vanished: &Registration) -> bool {
        self.registry.lock().is_address_reused(vanished)
    }

    /// What became of a server that seemed to have crashed `age_ms` ago.
    pub fn incarnation(&self, server: &ServerId, age_ms: u64) -> Incarnation {
        let now_ms = self.now_ms();
        if !self.servers_source.lock().is_current(now_ms) || now_ms <= age_ms {
            return Incarnation::Unknown;
        }
        let registry = self.registry.lock();
        let is_registered = registry.get(server, now_ms).is_some();
        let known_for_ms = registry.known_for_ms(server, now_ms);
        match known_for_ms.filter(|_| is_registered) {
            Some(known_for_ms) if known_for_ms >= age_ms => Incarnation::Running,
            _ => Incarnation::Ended,
        }
    }
}
