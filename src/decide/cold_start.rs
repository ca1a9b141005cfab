//! Cold servers: until when a server counts as cold after its start, and the bound on the few requests
//! that it tolerates meanwhile.
//!
//! A cold server crashes under a rate that a warm one takes easily. What a router knows of a server is
//! always slightly late, so a server counts as cold after each event in which it may have started,
//! until something that was said after the event shows otherwise.

#[cfg(test)]
mod tests;

use indexmap::IndexMap;

use crate::decide::allowance::Bound;
use crate::ids::ServerId;

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
/// Window in which the requests to a cold server are bounded.
const WINDOW_MS: u64 = 1_000;

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
    /// Bound on the requests of all routers together to one cold server.
    pub bound: Bound,
}

impl ColdPolicy {
    /// Policy of a service whose cold servers tolerate `per_s` requests a second.
    ///
    /// ```
    /// use jujubeusher::decide::cold_start::{ColdBounds, ColdPolicy};
    /// let bounds = ColdBounds { over: 1.5, slack: 5.0 };
    /// assert_eq!(ColdPolicy::new(8_000, 11.0, bounds).bound.most, 21.5);
    /// ```
    pub fn new(cold_ms: u64, per_s: f64, bounds: ColdBounds) -> Self {
        Self {
            cold_ms: cold_ms.min(COLD_MAX_MS),
            bound: Bound {
                rate_per_s: per_s,
                window_ms: WINDOW_MS,
                most: per_s * bounds.over + bounds.slack,
            },
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
                // A request sent before may have run on an earlier incarnation of the server.
                entry.stated = entry.stated.filter(|stated| sent_ms < stated.since_ms);
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
