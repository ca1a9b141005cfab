//! Division of fleet-wide limits among routers by traffic, with units that are valid for a short time.
//!
//! Each seed mints units for its fixed part of a limit's rate. Units pass down the relay tree in
//! proportion to the demand that routers report, and each allows one request until it expires. See
//! `docs/design/allowances.md` for why the sum over all routers keeps to the bound.

mod limit;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::decide::allowance::limit::Limit;
use crate::decide::server_limit::Room;
use crate::ids::{Incarnation, ServerId};

/// Time for which a report remains known; longer than any unit is valid.
const REPORT_KEEP_MS: u64 = 10_000;
/// Maximum number of demands in one report: at 23 bytes each, 4.5 KB/s on a link of the 13 KB/s that
/// a router may use for control traffic. Three reports name all 115 servers of the fleet with the most.
const DEMANDS_MAX: usize = 39;
/// Longest validity of a unit, so that those of a limit that was lowered end well within 4 s.
const VALID_MAX_MS: f64 = 2_000.0;
/// Shortest validity of a unit: it waits for up to two messages of 200 ms on its way to a router.
const VALID_MIN_MS: f64 = 600.0;
/// Longest time between two units of a seed, an hour.
const PERIOD_MAX_US: u64 = 3_600_000_000;
/// Time after the check of a unit within which its request must be written.
pub const HOLD_MS: u64 = 50;
/// Time for which a request may be on its way to a server.
const TRANSIT_MS: u64 = 50;
/// Time without demand after which a limit is forgotten.
const IDLE_MS: u64 = 5_000;
const MS_PER_S: f64 = 1_000.0;

/// What a limit is put on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitKind {
    /// Requests to a server that announces a limit.
    ServerRequests,
    /// Requests to a server that is cold.
    ColdServer,
}

/// Name of a limit, the same at all routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LimitKey(pub u64);

impl LimitKey {
    /// Name of a limit on one run of a server.
    ///
    /// ```
    /// use jujubeusher::decide::allowance::{LimitKey, LimitKind};
    /// use jujubeusher::ids::{Incarnation, ServerId};
    /// let server = ServerId::from("a");
    /// let key = |run| LimitKey::of_server(LimitKind::ColdServer, &server, Incarnation(run));
    /// assert_eq!(key(1), key(1));
    /// assert_ne!(key(1), key(2));
    /// ```
    pub fn of_server(kind: LimitKind, server: &ServerId, incarnation: Incarnation) -> Self {
        let kind_number = match kind {
            LimitKind::ServerRequests => 1,
            LimitKind::ColdServer => 2,
        };
        let run = xxh3_64_with_seed(&incarnation.0.to_le_bytes(), kind_number);
        Self(xxh3_64_with_seed(server.as_str().as_bytes(), run))
    }
}

/// A limit on the requests of all routers together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Requests a second that may be granted.
    pub rate_per_s: f64,
    /// Length of the window.
    pub window_ms: u64,
    /// Most requests in any window.
    pub most: f64,
}

impl Bound {
    /// Terms on which each of `seeds` seeds mints units.
    ///
    /// ```
    /// use jujubeusher::decide::allowance::Bound;
    /// let cold = Bound { rate_per_s: 11.0, window_ms: 1_000, most: 21.5 };
    /// let terms = cold.terms(3);
    /// assert_eq!((terms.period_us, terms.valid_ms), (272_728, 809));
    /// ```
    pub fn terms(&self, seeds: u32) -> Terms {
        let seeds = f64::from(seeds.max(1));
        let window_ms = self.window_ms as f64;
        // Units of one seed within a window and their validity. A bound below one unit of each seed
        // is exceeded rather than left unused: no limit in use has one.
        let units = (self.most / seeds).floor().max(1.0);
        let rate_per_ms = (self.rate_per_s / MS_PER_S).max(f64::MIN_POSITIVE);
        let period_ms = (seeds / rate_per_ms).max((window_ms + VALID_MIN_MS) / units);
        let valid_ms = (units * period_ms - window_ms).min(VALID_MAX_MS);
        Terms {
            period_us: (period_ms * MS_PER_S).ceil() as u64,
            valid_ms: (valid_ms as u64).saturating_sub(HOLD_MS + TRANSIT_MS),
        }
        .clamped()
    }
}

/// How units of a limit are minted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Terms {
    /// Shortest time between two units of one seed.
    pub period_us: u64,
    /// Time for which a unit is valid.
    pub valid_ms: u64,
}

impl Terms {
    /// The terms, with values that a faulty router or a faulty configuration may have stated put within
    /// sound limits.
    fn clamped(self) -> Self {
        Self {
            period_us: self.period_us.clamp(1, PERIOD_MAX_US),
            valid_ms: self.valid_ms.min(VALID_MAX_MS as u64),
        }
    }

    /// The stricter of two terms.
    fn strictest(self, other: Self) -> Self {
        Self {
            period_us: self.period_us.max(other.period_us),
            valid_ms: self.valid_ms.min(other.valid_ms),
        }
    }
}

/// Who gets units from a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Claimant {
    /// The router's own requests.
    Own,
    /// The routers at the other end of a link below this one.
    Below(u64),
    /// Another seed and the routers below it.
    Seed(SocketAddr),
}

/// To whom a router reports its demands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Receiver {
    /// The router above.
    Above,
    /// Another seed.
    Seed(SocketAddr),
}

/// Demand for one limit in a report.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    pub key: LimitKey,
    /// Requests a second that ask for room.
    pub rate_per_s: f64,
    pub terms: Terms,
}

/// Units of one limit in a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    pub key: LimitKey,
    pub units: u32,
    /// Time from the receipt of the answered report to the end of the units.
    pub valid_ms: u64,
}

/// Demands of a subtree.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Number that no other report of any router has.
    pub number: u64,
    pub demands: Vec<Demand>,
}

/// Answer to a report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantAnswer {
    /// Number of the report.
    pub report: u64,
    pub grants: Vec<Grant>,
}

/// Where a router stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// One of this number of seeds, each of which mints an equal part.
    Seed(u32),
    /// A router below this number of seeds.
    Below(u32),
}

impl Role {
    /// Number of seeds that mint.
    pub fn seeds(self) -> u32 {
        match self {
            Self::Seed(seeds) | Self::Below(seeds) => seeds,
        }
    }
}

/// Units counted since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UnitCounts {
    /// Units that this router's own requests may use.
    pub granted: u64,
    pub used: u64,
    pub expired: u64,
}

#[derive(Debug, Clone, Copy)]
struct ReceivedReport {
    number: u64,
    received_ms: u64,
}

/// One router's part in all divided limits. All times are of a clock that counts suspended time.
#[derive(Debug)]
pub struct Allowances {
    role: Role,
    /// Start of the process, before which another one may have minted for this seed.
    started_ms: u64,
    last_report: u64,
    /// Times at which reports were sent.
    sent_reports: IndexMap<u64, u64>,
    received_reports: IndexMap<Claimant, ReceivedReport>,
    limits: IndexMap<LimitKey, Limit>,
    /// Positions in `limits` at which the next report to each receiver begins.
    next_demands: IndexMap<Receiver, usize>,
    counts: UnitCounts,
}

impl Allowances {
    /// Starts without units. `nonce` is random, so that grants to another process are recognized.
    pub fn new(role: Role, nonce: u64, started_ms: u64) -> Self {
        Self {
            role,
            started_ms,
            last_report: nonce,
            sent_reports: IndexMap::new(),
            received_reports: IndexMap::new(),
            limits: IndexMap::new(),
            next_demands: IndexMap::new(),
            counts: UnitCounts::default(),
        }
    }

    /// Whether a request may be sent now, as one that asks for it.
    ///
    /// ```
    /// use jujubeusher::decide::allowance::{Allowances, Bound, LimitKey, Role};
    /// use jujubeusher::decide::server_limit::Room;
    /// let bound = Bound { rate_per_s: 2.0, window_ms: 4_000, most: 17.0 };
    /// let mut alone = Allowances::new(Role::Seed(1), 7, 0);
    /// assert_eq!(alone.room(LimitKey(1), &bound, 0), Room::UsedUp(Some(500)));
    /// assert_eq!(alone.room(LimitKey(1), &bound, 500), Room::Free);
    /// assert!(alone.take(LimitKey(1), 500));
    /// assert!(!alone.take(LimitKey(1), 500));
    /// ```
    pub fn room(&mut self, key: LimitKey, bound: &Bound, now_ms: u64) -> Room {
        let terms = bound.terms(self.role.seeds());
        let (role, started_ms) = (self.role, self.started_ms);
        let limit = self.limit_mut(key, now_ms);
        limit.ask(terms, now_ms);
        let granted = limit.mint(role, started_ms, now_ms);
        let expired = limit.expire(now_ms);
        let room = match limit.units() {
            0 => Room::UsedUp(limit.next_unit_ms(role, now_ms)),
            _ => Room::Free,
        };
        self.counts.granted += granted;
        self.counts.expired += expired;
        room
    }

    /// Whether a unit of a limit is valid, for operators: the limit's demand stays as it is.
    pub fn has_unit(&mut self, key: LimitKey, now_ms: u64) -> bool {
        self.limits.get_mut(&key).is_some_and(|limit| {
            self.counts.expired += limit.expire(now_ms);
            limit.units() > 0
        })
    }

    /// Known limit of this name, or a new one; forgets those without demand before it adds one.
    fn limit_mut(&mut self, key: LimitKey, now_ms: u64) -> &mut Limit {
        if !self.limits.contains_key(&key) {
            self.forget_idle(now_ms);
        }
        self.limits.entry(key).or_default()
    }

    fn forget_idle(&mut self, now_ms: u64) {
        let counts = &mut self.counts;
        self.limits.retain(|_, limit| {
            counts.expired += limit.expire(now_ms);
            !limit.is_idle(now_ms)
        });
    }

    /// Uses a unit for a request that is sent within [`HOLD_MS`]; false if none is valid.
    pub fn take(&mut self, key: LimitKey, now_ms: u64) -> bool {
        let Some(limit) = self.limits.get_mut(&key) else {
            return false;
        };
        self.counts.expired += limit.expire(now_ms);
        let is_taken = limit.take();
        self.counts.used += u64::from(is_taken);
        is_taken
    }

    /// Demands of this router and those below it; `None` if there are none. The report must be sent
    /// after this call.
    pub fn report(&mut self, to: Receiver, now_ms: u64) -> Option<Report> {
        self.forget_idle(now_ms);
        self.sent_reports
            .retain(|_, sent_ms| now_ms < *sent_ms + REPORT_KEEP_MS);
        let count = self.limits.len();
        let first = self.next_demands.get(&to).copied().unwrap_or(0);
        let mut demands = Vec::new();
        let mut passed = 0;
        while passed < count && demands.len() < DEMANDS_MAX {
            let (key, limit) = self.limits.get_index_mut((first + passed) % count)?;
            demands.extend(limit.group_demand(*key, now_ms));
            passed += 1;
        }
        let next = (first + passed) % count.max(1);
        self.next_demands.insert(to, next);
        if demands.is_empty() {
            return None;
        }
        self.last_report = self.last_report.wrapping_add(1);
        self.sent_reports.insert(self.last_report, now_ms);
        Some(Report {
            number: self.last_report,
            demands,
        })
    }

    /// Applies a report that was received at `now_ms` or earlier.
    pub fn apply_report(&mut self, from: Claimant, report: &Report, now_ms: u64) {
        let received = ReceivedReport {
            number: report.number,
            received_ms: now_ms,
        };
        self.received_reports.insert(from, received);
        for demand in &report.demands {
            let limit = self.limit_mut(demand.key, now_ms);
            limit.claim(from, demand, now_ms);
        }
    }

    /// Removes the demand of a closed link, and the units that were meant for it.
    pub fn close(&mut self, from: Claimant) {
        self.received_reports.swap_remove(&from);
        self.limits.values_mut().for_each(|limit| limit.close(from));
    }

    /// Takes the units that are granted to a claimant, to be sent to it at once; `None` if there are
    /// none or it has sent no report.
    pub fn grants_for(&mut self, to: Claimant, now_ms: u64) -> Option<GrantAnswer> {
        let report = *self.received_reports.get(&to)?;
        let mut grants = Vec::new();
        for (key, limit) in &mut self.limits {
            self.counts.granted += limit.mint(self.role, self.started_ms, now_ms);
            for lot in limit.take_for(to, now_ms) {
                let valid_ms = lot.end_ms.saturating_sub(report.received_ms);
                grants.push(Grant {
                    key: *key,
                    units: lot.units,
                    valid_ms,
                });
            }
        }
        (!grants.is_empty()).then_some(GrantAnswer {
            report: report.number,
            grants,
        })
    }

    /// Divides received units among this router and those below it. An answer to no known report of
    /// this router is worth nothing.
    pub fn apply_grants(&mut self, answer: &GrantAnswer, now_ms: u64) {
        let Some(sent_ms) = self.sent_reports.get(&answer.report).copied() else {
            return;
        };
        for grant in &answer.grants {
            let end_ms = sent_ms.saturating_add(grant.valid_ms);
            // No unit that was minted by now is valid for longer.
            let end_ms = end_ms.min(now_ms + VALID_MAX_MS as u64);
            if let Some(limit) = self.limits.get_mut(&grant.key) {
                self.counts.granted += limit.receive(grant.units, end_ms, now_ms);
            }
        }
    }

    /// Units counted since the start.
    pub fn counts(&self) -> UnitCounts {
        self.counts
    }
}
