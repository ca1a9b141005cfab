//! Cold servers: until when a server counts as cold after its start, and this router's share of the
//! few requests that it tolerates meanwhile.
//!
//! A cold server crashes under a rate that a warm one takes easily. What a router knows of a server is
//! always slightly late, so a server counts as cold after each event in which it may have started,
//! until something that was said after the event shows otherwise.

#[cfg(test)]
mod tests;

use indexmap::IndexMap;

use crate::decide::server_limit::{FleetPlace, Room, ServerLimit};
use crate::ids::{Incarnation, ServerId};

/// Longest time for which a row may be on its way: up to 1.2 s pass between a server's write and a
/// router below a seed, and the store may take as long again. A row that arrives later was written
/// after the event.
const ROW_DELAY_MS: u64 = 2_500;
/// Longest time for which a server counts as cold, whatever its row says.
const COLD_MAX_MS: u64 = 600_000;
/// Change of a cold time's end that other routers need to know.
const END_CHANGE_MIN_MS: u64 = 500;
/// Time for which rows of a server that has become warm are relayed: at least one heartbeat, every
/// 1.2 s, as a router that saw the event later does not yet rely on the first one.
const WARM_RELAY_MS: u64 = 2_000;
/// Time after a change of a router's place in which it sends nothing to cold servers. A router that
/// has lost its links notices it within 1.6 s of silence; the one that had the place before it learns
/// of the change within a few messages, one every 200 ms.
const PLACE_SETTLE_MS: u64 = 2_500;
/// Routers beyond the limit's whole requests a second that each may send one in the same second.
const SENDERS_MIN: f64 = 3.0;
/// Requests in a second relative to the limit where few routers have large shares, each with a burst
/// of a quarter of a second.
const BURST_FACTOR: f64 = 1.25;

/// Bound on the requests that reach a cold server in any one second, summed over all routers: the
/// rate that it tolerates times `over`, plus `slack`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBounds {
    pub over: f64,
    pub slack: f64,
}

/// How the cold servers of one service are used.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdPolicy {
    /// Time for which a server is cold after its start.
    pub cold_ms: u64,
    /// Requests a second of all routers together.
    pub limit_per_s: f64,
}

impl ColdPolicy {
    /// Policy of a service whose cold servers tolerate `per_s` requests a second. The rate is lowered
    /// as far as needed so that the requests of one second stay within the bounds.
    ///
    /// ```
    /// use jujubeusher::decide::cold_start::{ColdBounds, ColdPolicy};
    /// let bounds = ColdBounds { over: 1.5, slack: 5.0 };
    /// assert_eq!(ColdPolicy::new(8_000, 11.0, bounds).limit_per_s, 11.0);
    /// let narrow = ColdBounds { over: 1.0, slack: 0.0 };
    /// assert_eq!(ColdPolicy::new(8_000, 10.0, narrow).limit_per_s, 7.0);
    /// ```
    pub fn new(cold_ms: u64, per_s: f64, bounds: ColdBounds) -> Self {
        let bound = per_s * bounds.over + bounds.slack;
        let limit_per_s = per_s.min(bound - SENDERS_MIN).min(bound / BURST_FACTOR);
        Self {
            cold_ms: cold_ms.min(COLD_MAX_MS),
            limit_per_s: limit_per_s.max(0.0),
        }
    }
}

/// Why a server counts as cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdCause {
    /// It joined or was restarted.
    Joined,
    /// This router reached it again.
    ReachedAgain,
    /// The evacuation of its zone ended.
    ZoneRestored,
    /// Its row says so.
    Row,
    /// A response says so.
    Response,
}

impl ColdCause {
    /// Name in logs and the state dump.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Joined => "joined",
            Self::ReachedAgain => "reached_again",
            Self::ZoneRestored => "zone_restored",
            Self::Row => "row",
            Self::Response => "response",
        }
    }
}

/// A server's cold time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cold {
    pub cause: ColdCause,
    pub since_ms: u64,
    pub until_ms: u64,
}

/// An event or a response after which a server counts as cold.
#[derive(Debug, Clone, Copy)]
struct Assumed {
    cause: ColdCause,
    since_ms: u64,
    /// Time that a response stated; `None` for the service's time.
    for_ms: Option<u64>,
}

impl Assumed {
    fn to_cold(self, cold_ms: u64) -> Cold {
        Cold {
            cause: self.cause,
            since_ms: self.since_ms,
            until_ms: self.since_ms + self.for_ms.unwrap_or(cold_ms),
        }
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Entry {
    assumed: Option<Assumed>,
    /// Cold time according to the row.
    stated: Option<Cold>,
    /// When a row ended the cold time.
    warm_ms: Option<u64>,
    /// Whether the server was reported as cold by [`ColdStarts::take_changes`].
    is_reported: bool,
}

impl Entry {
    fn cold(&self, cold_ms: u64, now_ms: u64) -> Option<Cold> {
        let assumed = self.assumed.map(|assumed| assumed.to_cold(cold_ms));
        let times = assumed.into_iter().chain(self.stated);
        times
            .filter(|cold| now_ms < cold.until_ms)
            .max_by_key(|cold| cold.until_ms)
    }
}

/// What is known of the cold times of all servers; a server without an event counts as warm.
#[derive(Debug, Default)]
pub struct ColdStarts {
    entries: IndexMap<ServerId, Entry>,
}

impl ColdStarts {
    /// The servers that are cold or have been lately.
    pub fn servers(&self) -> Vec<ServerId> {
        self.entries.keys().cloned().collect()
    }

    /// Records an event in which a server may have started.
    pub fn record_event(&mut self, server: &ServerId, cause: ColdCause, now_ms: u64) {
        let entry = self.entries.entry(server.clone()).or_default();
        entry.assumed = Some(Assumed {
            cause,
            since_ms: now_ms,
            for_ms: None,
        });
        entry.warm_ms = None;
    }

    /// Records that a server joined or was restarted, with a row that says it is cold for `left_ms`
    /// more. If that is 0, the row may have been written before the server began to be cold.
    pub fn record_joined(&mut self, server: &ServerId, left_ms: u64, now_ms: u64) {
        self.entries.shift_remove(server);
        match left_ms {
            0 => self.record_event(server, ColdCause::Joined, now_ms),
            _ => _ = self.record_row(server, left_ms, now_ms),
        }
    }

    /// Records a heartbeat that says that its server is cold for `left_ms` more. Returns whether other
    /// routers need it.
    ///
    /// ```
    /// use jujubeusher::decide::cold_start::{ColdCause, ColdStarts};
    /// use jujubeusher::ids::ServerId;
    /// let server = ServerId::from("a");
    /// let mut cold_starts = ColdStarts::default();
    /// cold_starts.record_event(&server, ColdCause::ZoneRestored, 0);
    /// // This row may have been written before the event.
    /// cold_starts.record_row(&server, 0, 600);
    /// assert_eq!(cold_starts.cold(&server, 8_000, 600).map(|cold| cold.until_ms), Some(8_000));
    /// assert!(cold_starts.record_row(&server, 0, 3_000));
    /// assert_eq!(cold_starts.cold(&server, 8_000, 3_000), None);
    /// ```
    pub fn record_row(&mut self, server: &ServerId, left_ms: u64, now_ms: u64) -> bool {
        let left_ms = left_ms.min(COLD_MAX_MS);
        if left_ms == 0 && !self.entries.contains_key(server) {
            return false;
        }
        let entry = self.entries.entry(server.clone()).or_default();
        let was_cold = entry.assumed.is_some() || entry.stated.is_some();
        let is_later = |assumed: &Assumed| now_ms >= assumed.since_ms + ROW_DELAY_MS;
        entry.assumed = entry.assumed.filter(|assumed| !is_later(assumed));
        let known = entry.stated.filter(|stated| now_ms < stated.until_ms);
        entry.stated = (left_ms > 0).then(|| Cold {
            cause: ColdCause::Row,
            since_ms: known.map_or(now_ms, |known| known.since_ms),
            until_ms: now_ms + left_ms,
        });
        if let Some(stated) = entry.stated {
            entry.warm_ms = None;
            let known_end_ms = known.map_or(0, |known| known.until_ms);
            return stated.until_ms > known_end_ms + END_CHANGE_MIN_MS;
        }
        if was_cold && entry.assumed.is_none() {
            entry.warm_ms = Some(now_ms);
        }
        let warm_ms = entry.warm_ms;
        warm_ms.is_some_and(|warm_ms| now_ms < warm_ms + WARM_RELAY_MS)
    }

    /// Records that the response to a request sent at `sent_ms` says that its server is cold for
    /// `left_ms` more. Unlike a row, it was written after the request was sent.
    pub fn record_response(&mut self, server: &ServerId, left_ms: u64, sent_ms: u64, now_ms: u64) {
        let assumed = self.entries.get(server).and_then(|entry| entry.assumed);
        if assumed.is_some_and(|assumed| sent_ms < assumed.since_ms) {
            return;
        }
        match (left_ms.min(COLD_MAX_MS), self.entries.get_mut(server)) {
            (0, None) => {}
            (0, Some(entry)) => {
                entry.assumed = None;
                entry.stated = None;
            }
            (left_ms, _) => {
                self.record_event(server, ColdCause::Response, now_ms);
                if let Some(Entry { assumed, .. }) = self.entries.get_mut(server)
                    && let Some(assumed) = assumed
                {
                    assumed.for_ms = Some(left_ms);
                }
            }
        }
    }

    /// The cold time of a server of a service with this cold time; `None` if it is warm.
    pub fn cold(&self, server: &ServerId, cold_ms: u64, now_ms: u64) -> Option<Cold> {
        self.entries.get(server)?.cold(cold_ms, now_ms)
    }

    /// Servers that have become cold or warm (`None`) since the last call. `cold_ms` is the cold time
    /// of a server's service, `None` if it has none. Forgets what has no effect any more.
    pub fn take_changes(
        &mut self,
        cold_ms: impl Fn(&ServerId) -> Option<u64>,
        now_ms: u64,
    ) -> Vec<(ServerId, Option<Cold>)> {
        let mut changes = Vec::new();
        for (server, entry) in &mut self.entries {
            let cold = cold_ms(server).and_then(|cold_ms| entry.cold(cold_ms, now_ms));
            if cold.is_some() != entry.is_reported {
                entry.is_reported = cold.is_some();
                changes.push((server.clone(), cold));
            }
        }
        self.entries.retain(|_, entry| {
            let is_assumed = entry
                .assumed
                .is_some_and(|assumed| now_ms < assumed.since_ms + COLD_MAX_MS);
            let is_stated = entry.stated.is_some_and(|cold| now_ms < cold.until_ms);
            let is_relayed = entry
                .warm_ms
                .is_some_and(|warm_ms| now_ms < warm_ms + WARM_RELAY_MS);
            is_assumed || is_stated || is_relayed || entry.is_reported
        });
        changes
    }

    /// Forgets a server that has left.
    pub fn remove(&mut self, server: &ServerId) {
        self.entries.shift_remove(server);
    }
}

/// This router's place in the fleet and since when it has had it.
#[derive(Debug, Clone, Copy, Default)]
pub struct SettledPlace {
    known: Option<(FleetPlace, u64)>,
}

impl SettledPlace {
    /// Records the place; returns when it is settled.
    ///
    /// ```
    /// use jujubeusher::decide::cold_start::SettledPlace;
    /// use jujubeusher::decide::server_limit::FleetPlace;
    /// let mut settled = SettledPlace::default();
    /// let place = FleetPlace { index: Some(3), routers: 86 };
    /// assert_eq!(settled.observe(place, 100), 2_600);
    /// assert_eq!(settled.observe(place, 200), 2_600);
    /// assert_eq!(settled.observe(FleetPlace { routers: 87, ..place }, 300), 2_800);
    /// ```
    pub fn observe(&mut self, place: FleetPlace, now_ms: u64) -> u64 {
        let since_ms = match self.known {
            Some((known, since_ms)) if known == place => since_ms,
            _ => now_ms,
        };
        self.known = Some((place, since_ms));
        since_ms + PLACE_SETTLE_MS
    }
}

/// What bounds a router's requests to a cold server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    /// Requests a second of all routers together.
    pub per_s: f64,
    pub place: FleetPlace,
    /// Time from which this router may rely on its place.
    pub settled_ms: u64,
}

/// This router's share of the requests to one cold server.
#[derive(Debug, Clone)]
pub struct ColdShare {
    limit: ServerLimit,
    /// Whether room was found that was not taken yet.
    has_room: bool,
}

impl ColdShare {
    /// An empty share.
    pub fn new(incarnation: Incarnation, limit: ColdLimit, now_ms: u64) -> Self {
        Self {
            limit: ServerLimit::new(incarnation, limit.per_s, now_ms),
            has_room: false,
        }
    }

    /// Whether the server may get a request of this router. A router without a place sends none.
    pub fn room(
        &mut self,
        server: &ServerId,
        incarnation: Incarnation,
        limit: ColdLimit,
        now_ms: u64,
    ) -> Room {
        self.limit.apply(incarnation, Some(limit.per_s), now_ms);
        let room = match limit.place.index {
            None => Room::UsedUp(None),
            Some(_) if limit.per_s <= 0.0 => Room::UsedUp(None),
            Some(_) if now_ms < limit.settled_ms => Room::UsedUp(Some(limit.settled_ms)),
            Some(_) => self.limit.room(server, incarnation, limit.place, now_ms),
        };
        self.has_room = room == Room::Free;
        room
    }

    /// Records that a request is sent to the server.
    pub fn take(&mut self) {
        if std::mem::take(&mut self.has_room) {
            self.limit.take();
        }
    }
}
