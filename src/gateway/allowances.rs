//! This router's part in the limits that are divided among all routers.

use std::sync::Arc;

use parking_lot::Mutex;

use crate::decide::allowance::{
    self, Bound, Claimant, GrantAnswer, LimitKey, Receiver, Report, Role,
};
use crate::decide::allowance::{LimitKind, UnitCounts};
use crate::decide::registry::Registration;
use crate::decide::server_limit::{Room, bound};
use crate::edge::clock::Clock;
use crate::gateway::state::{RelaySettings, State};

/// Units of divided limits, for the request path and the links of the relay.
pub struct Allowances {
    units: Mutex<allowance::Allowances>,
    clock: Arc<dyn Clock>,
    /// Units that the metrics contain.
    recorded: Mutex<UnitCounts>,
}

impl Allowances {
    /// Starts without units. A router without a relay, or whose settings name no seed, has the whole
    /// rate of each limit.
    pub fn new(relay: Option<&RelaySettings>, clock: Arc<dyn Clock>) -> Self {
        let role = match relay {
            None => Role::Seed(1),
            Some(relay) if relay.seeds.is_empty() => Role::Seed(1),
            Some(relay) if relay.seeds.contains(&relay.listen) => {
                Role::Seed(relay.seeds.len() as u32)
            }
            Some(relay) => Role::Below(relay.seeds.len() as u32),
        };
        let started_ms = clock.boot_ms();
        Self {
            units: Mutex::new(allowance::Allowances::new(role, rand::random(), started_ms)),
            clock,
            recorded: Mutex::default(),
        }
    }

    /// Whether a limit leaves room for a request of this router at the monotonic time `now_ms`.
    pub fn room(&self, key: LimitKey, limit: &Bound, now_ms: u64) -> Room {
        let mut units = self.units.lock();
        let boot_ms = self.clock.boot_ms();
        match units.room(key, limit, boot_ms) {
            Room::UsedUp(Some(next_ms)) => {
                Room::UsedUp(Some(now_ms + next_ms.saturating_sub(boot_ms)))
            }
            room => room,
        }
    }

    /// Like [`Self::room`], without adding to this router's demand.
    pub fn peek(&self, key: LimitKey) -> Room {
        match self.units.lock().has_unit(key, self.clock.boot_ms()) {
            true => Room::Free,
            false => Room::UsedUp(None),
        }
    }

    /// Uses a unit for a request that is sent within
    /// [`HOLD_MS`](crate::decide::allowance::HOLD_MS); false if none is valid.
    pub fn take(&self, key: LimitKey) -> bool {
        let mut units = self.units.lock();
        units.take(key, self.clock.boot_ms())
    }

    /// Units counted since the start.
    pub fn counts(&self) -> UnitCounts {
        self.units.lock().counts()
    }

    /// Units counted since the last call.
    fn take_unrecorded(&self) -> UnitCounts {
        let mut recorded = self.recorded.lock();
        let counts = self.counts();
        let before = std::mem::replace(&mut *recorded, counts);
        UnitCounts {
            granted: counts.granted - before.granted,
            used: counts.used - before.used,
            expired: counts.expired - before.expired,
        }
    }

    /// Demands of this router and those below it, to be sent at once.
    pub(super) fn report(&self, to: Receiver) -> Option<Report> {
        let mut units = self.units.lock();
        units.report(to, self.clock.boot_ms())
    }

    /// Applies a report that has been received.
    pub(super) fn apply_report(&self, from: Claimant, report: &Report) {
        let mut units = self.units.lock();
        units.apply_report(from, report, self.clock.boot_ms());
    }

    /// Units for another router, to be sent at once.
    pub(super) fn grants_for(&self, to: Claimant) -> Option<GrantAnswer> {
        let mut units = self.units.lock();
        units.grants_for(to, self.clock.boot_ms())
    }

    /// Applies units that have been received.
    pub(super) fn apply_grants(&self, answer: &GrantAnswer) {
        let mut units = self.units.lock();
        units.apply_grants(answer, self.clock.boot_ms());
    }

    /// Removes the demands of a closed link.
    pub(super) fn close(&self, from: Claimant) {
        self.units.lock().close(from);
    }
}

impl State {
    /// All metrics in the Prometheus text format.
    pub fn render_metrics(&self) -> Vec<u8> {
        self.record_held_back();
        self.record_memory();
        self.record_table_ages();
        let units = self.allowances.take_unrecorded();
        self.metrics.count_allowance_units(units);
        self.metrics.render()
    }

    /// Whether a server's limit leaves room for a request of this router.
    pub fn limit_room(&self, server: &Registration, now_ms: u64) -> Room {
        match self.reachability.limit_per_s(server, now_ms) {
            None => Room::Free,
            Some(limit_per_s) => {
                let key = request_limit_key(server);
                self.allowances.room(key, &bound(limit_per_s), now_ms)
            }
        }
    }

    /// Like [`Self::limit_room`], for operators.
    pub fn peek_limit_room(&self, server: &Registration, now_ms: u64) -> Room {
        match self.reachability.limit_per_s(server, now_ms) {
            None => Room::Free,
            Some(_) => self.allowances.peek(request_limit_key(server)),
        }
    }

    /// Whether a cold server has room for a request of this router.
    pub fn cold_room(&self, server: &Registration, bound: &Bound, now_ms: u64) -> Room {
        self.allowances.room(cold_key(server), bound, now_ms)
    }

    /// Like [`Self::cold_room`], for operators.
    pub fn peek_cold_room(&self, server: &Registration) -> Room {
        self.allowances.peek(cold_key(server))
    }

    /// Takes a request to a server from its limits, right before it is sent; false if this router has
    /// no valid unit, and the request must not be sent there.
    pub fn take_limit(&self, server: &Registration) -> bool {
        let now_ms = self.now_ms();
        let is_cold = self.cold(server, now_ms).is_some();
        let is_limited = self.reachability.limit_per_s(server, now_ms).is_some();
        (!is_cold || self.allowances.take(cold_key(server)))
            && (!is_limited || self.allowances.take(request_limit_key(server)))
    }
}

fn request_limit_key(server: &Registration) -> LimitKey {
    LimitKey::of_server(LimitKind::ServerRequests, &server.id, server.incarnation)
}

fn cold_key(server: &Registration) -> LimitKey {
    LimitKey::of_server(LimitKind::ColdServer, &server.id, server.incarnation)
}
