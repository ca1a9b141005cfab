//! What holds servers back that are registered: evacuated zones, cold starts, pauses and limits.

use indexmap::{IndexMap, IndexSet};

use crate::decide::capacity::{Availability, HoldReason, Knowledge};
use crate::decide::cold_start::{Cold, ColdCause, ColdPolicy};
use crate::decide::evacuation::ZoneChange;
use crate::decide::registry::{Change, Registration};
use crate::decide::server_limit::Room;
use crate::gateway::state::State;
use crate::ids::{ServerId, ServiceId, ZoneId};

/// Why the availability of servers is looked up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Lookup {
    /// For a request, which adds to this router's demand for units of divided limits.
    Request,
    /// For operators. It changes nothing.
    Report,
}

impl State {
    /// Evacuates a zone.
    pub fn evacuate_zone(&self, zone: &ZoneId) {
        let change = self.evacuations.write().evacuate(zone, self.now_ms());
        self.record_zone_changes(change);
    }

    /// Ends the evacuation of a zone.
    pub fn restore_zone(&self, zone: &ZoneId) {
        if self.evacuated_since_ms(zone).is_some() {
            self.record_zone_cold(zone);
        }
        let change = self.evacuations.write().restore(zone, self.now_ms());
        self.record_zone_changes(change);
    }

    /// Applies the evacuations of a snapshot; a zone whose row is `unreadable` stays as it was.
    pub fn replace_evacuations(&self, listed: &IndexSet<ZoneId>, unreadable: &IndexSet<ZoneId>) {
        let now_ms = self.now_ms();
        let ended = {
            let evacuations = self.evacuations.read();
            evacuations.ended_by(listed, unreadable, now_ms)
        };
        ended.iter().for_each(|zone| self.record_zone_cold(zone));
        let changes = self.evacuations.write().replace(listed, unreadable, now_ms);
        self.record_zone_changes(changes);
    }

    /// Records that the source of the evacuations came back from an older copy.
    pub fn record_evacuations_restored(&self) {
        let now_ms = self.now_ms();
        self.evacuations.write().on_source_restored(now_ms);
    }

    /// Whether a snapshot is due to see which evacuations a restored source lacks for good; true once.
    pub fn take_evacuation_snapshot_due(&self) -> bool {
        let now_ms = self.now_ms();
        self.evacuations.write().take_snapshot_due(now_ms)
    }

    /// Time from which a zone is known to be evacuated; `None` if it is not.
    pub fn evacuated_since_ms(&self, zone: &ZoneId) -> Option<u64> {
        self.evacuations.read().since_ms(zone)
    }

    fn record_zone_changes<C>(&self, changes: C)
    where
        C: IntoIterator<Item = ZoneChange>,
    {
        for change in changes {
            match change {
                ZoneChange::Evacuated(zone) => log::warn!("event=zone_evacuated zone={zone}"),
                ZoneChange::Restored(zone, for_ms) => {
                    log::warn!("event=zone_restored zone={zone} evacuated_for_ms={for_ms}");
                }
            }
        }
        let zones = self.evacuations.read().all().count();
        self.metrics.record_evacuated_zones(zones);
    }

    /// The evacuated zones, with the time from which each is known to be.
    pub fn evacuated_zones(&self) -> Vec<(ZoneId, u64)> {
        let evacuations = self.evacuations.read();
        let zones = evacuations.all();
        zones
            .map(|(zone, since_ms)| (zone.clone(), since_ms))
            .collect()
    }

    /// Records that the servers of a zone whose evacuation ends may be cold. Called before it ends, so
    /// that no other thread finds them open and warm.
    fn record_zone_cold(&self, zone: &ZoneId) {
        let now_ms = self.now_ms();
        let servers: Vec<ServerId> = {
            let registry = self.registry.lock();
            let in_zone = registry.all().filter(|server| server.zone == *zone);
            in_zone.map(|server| server.id.clone()).collect()
        };
        let mut cold_starts = self.reachability.cold_starts.lock();
        for server in &servers {
            cold_starts.record_event(server, ColdCause::ZoneRestored, now_ms);
        }
    }

    /// Records what a server's row says of its cold time. `is_first` is whether it is of the first
    /// snapshot. Returns whether other routers need the row.
    pub fn record_cold_row(&self, server: &Registration, change: Change, is_first: bool) -> bool {
        let now_ms = self.now_ms();
        let has_policy = self.cold_policy(&server.service).is_some();
        let mut cold_starts = self.reachability.cold_starts.lock();
        let is_news = match change {
            Change::Joined if !is_first => {
                cold_starts.record_joined(&server.id, server.cold_left_ms, now_ms);
                true
            }
            Change::Joined | Change::None | Change::Returned | Change::Lapsed => {
                cold_starts.record_row(&server.id, server.cold_left_ms, now_ms)
            }
            Change::Left => {
                cold_starts.remove(&server.id);
                false
            }
            Change::Outdated => false,
        };
        is_news && has_policy
    }

    /// Records what the response to a request sent at `sent_ms` says of its server's cold time.
    pub fn record_cold_response(&self, server: &Registration, cold_ms: u64, sent_ms: u64) {
        let now_ms = self.now_ms();
        let mut cold_starts = self.reachability.cold_starts.lock();
        cold_starts.record_response(&server.id, cold_ms, sent_ms, now_ms);
    }

    /// How cold servers of a service are used; `None` if it has none.
    fn cold_policy(&self, service: &ServiceId) -> Option<ColdPolicy> {
        let bounds = self.settings().cold_bounds?;
        let cold = self.routing()?.services.get(service)?.cold?;
        Some(ColdPolicy::new(cold.cold_ms, cold.per_s, bounds))
    }

    /// A server's cold time; `None` if it is warm.
    pub fn cold(&self, server: &Registration, now_ms: u64) -> Option<Cold> {
        let policy = self.cold_policy(&server.service)?;
        let cold_starts = self.reachability.cold_starts.lock();
        cold_starts.cold(&server.id, policy.cold_ms, now_ms)
    }

    /// Logs the servers that have become cold or warm.
    pub fn review_cold_servers(&self) {
        let now_ms = self.now_ms();
        let servers = self.reachability.cold_starts.lock().servers();
        if servers.is_empty() {
            return;
        }
        // Looked up first, since the registry is not to be locked while the cold starts are.
        let times = servers.into_iter().filter_map(|server| {
            let registration = self.registration(&server)?;
            let policy = self.cold_policy(&registration.service)?;
            Some((server, policy.cold_ms))
        });
        let times: IndexMap<ServerId, u64> = times.collect();
        let cold_ms = |server: &ServerId| times.get(server).copied();
        let changes = {
            let mut cold_starts = self.reachability.cold_starts.lock();
            cold_starts.take_changes(cold_ms, now_ms)
        };
        for (server, cold) in changes {
            match cold {
                Some(cold) => log::info!(
                    "event=server_cold server={server} cause={} for_ms={}",
                    cold.cause.as_str(),
                    cold.until_ms.saturating_sub(now_ms),
                ),
                None => log::info!("event=server_warm server={server}"),
            }
        }
    }

    /// What is known of a server; `policy` is that of its service.
    fn knowledge(
        &self,
        server: &Registration,
        policy: Option<ColdPolicy>,
        lookup: Lookup,
        now_ms: u64,
    ) -> Knowledge {
        let cold = policy.and_then(|policy| {
            let cold_starts = self.reachability.cold_starts.lock();
            cold_starts.cold(&server.id, policy.cold_ms, now_ms)
        });
        let cold_bound = policy.filter(|_| cold.is_some()).map(|policy| policy.bound);
        let (cold_room, limit_room) = match lookup {
            Lookup::Request => (
                cold_bound.map(|bound| self.cold_room(server, &bound, now_ms)),
                self.limit_room(server, now_ms),
            ),
            Lookup::Report => (
                cold_bound.map(|_| self.peek_cold_room(server)),
                self.peek_limit_room(server, now_ms),
            ),
        };
        Knowledge {
            evacuated_since_ms: self.evacuated_since_ms(&server.zone),
            unreachable_since_ms: self.reachability.unreachable_since_ms(&server.id),
            pause_end_ms: self.reachability.pause_end_ms(server, now_ms),
            cold,
            cold_room: cold_room.unwrap_or(Room::Free),
            limit_room,
        }
    }

    /// Whether each of the servers, all of one service, may get a request of this router.
    pub fn availabilities(
        &self,
        service: &ServiceId,
        servers: Vec<Registration>,
    ) -> Vec<(Registration, Availability)> {
        let policy = self.cold_policy(service);
        let now_ms = self.now_ms();
        let availability = |server: &Registration| {
            let knowledge = self.knowledge(server, policy, Lookup::Request, now_ms);
            knowledge.availability()
        };
        let pairs = servers.into_iter().map(|server| {
            let availability = availability(&server);
            (server, availability)
        });
        pairs.collect()
    }

    /// Whether a request for which this server was selected may still be written to it.
    pub(super) fn may_write(&self, server: &Registration, now_ms: u64) -> bool {
        let knowledge = Knowledge {
            evacuated_since_ms: self.evacuated_since_ms(&server.zone),
            unreachable_since_ms: None,
            pause_end_ms: self.reachability.pause_end_ms(server, now_ms),
            cold: None,
            cold_room: Room::Free,
            limit_room: Room::Free,
        };
        knowledge.may_write()
    }

    /// The servers that are held back, or cold, of those that accept requests.
    pub(super) fn all_availabilities(&self) -> IndexMap<ServerId, Availability> {
        let now_ms = self.now_ms();
        let servers: Vec<Registration> = {
            let registry = self.registry.lock();
            let usable = registry
                .all()
                .filter(|s| registry.get(&s.id, now_ms).is_some());
            usable.cloned().collect()
        };
        let availabilities = servers.into_iter().map(|server| {
            let policy = self.cold_policy(&server.service);
            let knowledge = self.knowledge(&server, policy, Lookup::Report, now_ms);
            (server.id.clone(), knowledge.availability())
        });
        availabilities.collect()
    }

    /// Records the number of servers that are held back, by reason.
    pub fn record_held_back(&self) {
        let availabilities = self.all_availabilities();
        let count = |reason: HoldReason| {
            let is_held = |availability: &&Availability| matches!(availability, Availability::Held(hold) if hold.reason == reason);
            availabilities.values().filter(is_held).count()
        };
        for reason in HoldReason::ALL {
            self.metrics
                .record_held_back(reason.as_str(), count(reason));
        }
    }
}
