//! Tracks requests that may crash servers: strikes, isolation and quarantine.
//!
//! When a server crashes, each request that it was running gets a strike. A struck request
//! then runs in isolation, so that a further crash can be attributed to it; a request with too
//! many strikes is quarantined, which means that it is refused.

#[cfg(test)]
mod tests;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::ServerId;

/// Maximum number of tracked requests; the oldest are evicted first.
const ENTRIES_MAX: usize = 10_000;
/// Maximum number of changes queued for peers; the oldest are dropped first.
const OUTGOING_MAX: usize = 4_096;

/// Hash that identifies a request by its content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Computes the hash of method, path and body.
    ///
    /// ```
    /// use jujubeusher::decide::strikes::Fingerprint;
    /// let of = |body: &str| Fingerprint::of("POST", "/v1/chat/completions", body.as_bytes());
    /// assert_eq!(of("a"), of("a"));
    /// assert_ne!(of("a"), of("b"));
    /// ```
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        let seed = xxhash_rust::xxh3::xxh3_64(format!("{method} {path}").as_bytes());
        Self(xxhash_rust::xxh3::xxh3_64_with_seed(body, seed))
    }

    /// Limits the fingerprint to the requests of one caller, so that no caller can get another's
    /// requests refused.
    ///
    /// ```
    /// use jujubeusher::decide::strikes::Fingerprint;
    /// let any = Fingerprint::of("GET", "/a", b"");
    /// assert_ne!(any.of_caller("team-1"), any.of_caller("team-2"));
    /// ```
    pub fn of_caller(self, caller: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64_with_seed(
            caller.as_bytes(),
            self.0,
        ))
    }
}

impl std::fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Limits from the rules of the inventory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StrikePolicy {
    /// Number of strikes at which a request is quarantined.
    pub strikes_max: u32,
    /// How long a strike counts, and how long a request is quarantined.
    pub quarantine_ms: u64,
}

/// Whether and how a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StrikeStatus {
    /// Without restriction.
    Clear,
    /// In isolation: one copy at a time, on a server that runs no other struck request.
    Struck,
    /// Not at all; the request is refused.
    Quarantined {
        /// Remaining time of the quarantine.
        left_ms: u64,
    },
}

/// A change that a router sends to the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StrikeDelta {
    /// Request that the change concerns.
    pub fingerprint: Fingerprint,
    /// Server that crashed or completed the request.
    pub server: ServerId,
    /// Crashes of this server under the request that the sender knows of; 0 when the server has
    /// completed the request.
    pub count: u32,
    /// Time from the change until the sender sent it.
    pub age_ms: u64,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Strike {
    server: ServerId,
    at_ms: u64,
    /// Whether a server has completed the request since.
    is_stale: bool,
}

#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Entry {
    strikes: Vec<Strike>,
    quarantined_until_ms: u64,
}

#[derive(Debug, Clone)]
struct Outgoing {
    fingerprint: Fingerprint,
    server: ServerId,
    count: u32,
    at_ms: u64,
}

/// Strikes known to a router, its own and those received from other routers.
#[derive(Debug, Default)]
pub struct StrikeTracker {
    entries: IndexMap<Fingerprint, Entry>,
    isolated: Vec<(Fingerprint, ServerId)>,
    outgoing: Vec<Outgoing>,
}

impl StrikeTracker {
    /// Creates a tracker without strikes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of struck and quarantined requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request is struck or quarantined.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of requests in quarantine.
    pub fn quarantined_count(&self, now_ms: u64) -> usize {
        let is_refused = |entry: &&Entry| entry.quarantined_until_ms > now_ms;
        self.entries.values().filter(is_refused).count()
    }

    /// Returns whether and how a request may run now.
    pub fn status(
        &self,
        fingerprint: Fingerprint,
        now_ms: u64,
        policy: StrikePolicy,
    ) -> StrikeStatus {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return StrikeStatus::Clear;
        };
        if entry.quarantined_until_ms > now_ms {
            return StrikeStatus::Quarantined {
                left_ms: entry.quarantined_until_ms - now_ms,
            };
        }
        let counts =
            |strike: &&Strike| !strike.is_stale && strike.at_ms + policy.quarantine_ms > now_ms;
        match entry.strikes.iter().find(counts) {
            Some(_) => StrikeStatus::Struck,
            None => StrikeStatus::Clear,
        }
    }

    /// Records that a server crashed after it had run a request for `ran_ms`.
    pub fn on_server_crash(
        &mut self,
        fingerprint: Fingerprint,
        server: &ServerId,
        ran_ms: u64,
        now_ms: u64,
        policy: StrikePolicy,
    ) -> StrikeStatus {
        let started_ms = now_ms.saturating_sub(ran_ms);
        let entry = self.entries.get(&fingerprint);
        // Copies of a request that ran on the server at the same time report the same crash.
        let is_known = entry.is_some_and(|entry| {
            let mut strikes = entry.strikes.iter();
            strikes.any(|strike| strike.server == *server && strike.at_ms >= started_ms)
        });
        if !is_known {
            self.add_strike(fingerprint, server, now_ms, now_ms, policy);
            let count = self.strike_count(fingerprint, server);
            self.queue_delta(fingerprint, server, count, now_ms);
        }
        self.status(fingerprint, now_ms, policy)
    }

    /// Records that a server completed a request. This removes the request's strikes from that
    /// server and marks those from other servers as stale, as the request does not crash every
    /// server.
    pub fn on_completed(&mut self, fingerprint: Fingerprint, server: &ServerId, now_ms: u64) {
        if self.apply_completion(fingerprint, server) {
            self.queue_delta(fingerprint, server, 0, now_ms);
        }
    }

    /// Applies a change from another router; returns whether it changed anything.
    pub fn apply_remote(&mut self, delta: &StrikeDelta, now_ms: u64, policy: StrikePolicy) -> bool {
        let (fingerprint, server) = (delta.fingerprint, &delta.server);
        if delta.count == 0 {
            return self.apply_completion(fingerprint, server);
        }
        let at_ms = now_ms.saturating_sub(delta.age_ms);
        if at_ms + policy.quarantine_ms <= now_ms {
            return false;
        }
        // `count` is a total, so a crash that both routers observed is counted once.
        let missing = delta.count.min(policy.strikes_max);
        let missing = missing.saturating_sub(self.strike_count(fingerprint, server));
        for _ in 0..missing {
            self.add_strike(fingerprint, server, at_ms, now_ms, policy);
        }
        missing > 0
    }

    /// Removes and returns the changes that this router observed and has not yet sent to peers.
    pub fn drain_outgoing(&mut self, now_ms: u64) -> Vec<StrikeDelta> {
        self.outgoing
            .drain(..)
            .map(|change| StrikeDelta {
                fingerprint: change.fingerprint,
                server: change.server,
                count: change.count,
                age_ms: now_ms.saturating_sub(change.at_ms),
            })
            .collect()
    }

    fn strike_count(&self, fingerprint: Fingerprint, server: &ServerId) -> u32 {
        let strikes = self.entries.get(&fingerprint).map(|entry| &entry.strikes);
        let of_server = |strike: &&Strike| strike.server == *server;
        strikes.map_or(0, |strikes| strikes.iter().filter(of_server).count() as u32)
    }

    fn queue_delta(&mut self, fingerprint: Fingerprint, server: &ServerId, count: u32, at_ms: u64) {
        if self.outgoing.len() >= OUTGOING_MAX {
            self.outgoing.remove(0);
        }
        self.outgoing.push(Outgoing {
            fingerprint,
            server: server.clone(),
            count,
            at_ms,
        });
    }

    /// Adds a strike and quarantines the request if it reaches the limit.
    fn add_strike(
        &mut self,
        fingerprint: Fingerprint,
        server: &ServerId,
        at_ms: u64,
        now_ms: u64,
        policy: StrikePolicy,
    ) {
        self.evict_expired(now_ms, policy);
        let entry = self.entries.entry(fingerprint).or_default();
        entry.strikes.push(Strike {
            server: server.clone(),
            at_ms,
            is_stale: false,
        });
        // Strikes from before a completion no longer count together with those from other servers,
        // but still with further ones from the same server.
        let counts = |strike: &&Strike| !strike.is_stale || strike.server == *server;
        if entry.strikes.iter().filter(counts).count() as u32 >= policy.strikes_max {
            entry.quarantined_until_ms = at_ms + policy.quarantine_ms;
        }
    }

    fn apply_completion(&mut self, fingerprint: Fingerprint, server: &ServerId) -> bool {
        let Some(entry) = self.entries.get_mut(&fingerprint) else {
            return false;
        };
        let before = entry.clone();
        entry.strikes.retain(|strike| strike.server != *server);
        for strike in &mut entry.strikes {
            strike.is_stale = true;
        }
        let is_changed = *entry != before;
        if entry.strikes.is_empty() && entry.quarantined_until_ms == 0 {
            self.entries.swap_remove(&fingerprint);
        }
        is_changed
    }

    fn evict_expired(&mut self, now_ms: u64, policy: StrikePolicy) {
        self.entries.retain(|_, entry| {
            entry
                .strikes
                .retain(|strike| strike.at_ms + policy.quarantine_ms > now_ms);
            !entry.strikes.is_empty() || entry.quarantined_until_ms > now_ms
        });
        while self.entries.len() >= ENTRIES_MAX {
            self.entries.shift_remove_index(0);
        }
    }

    /// Reserves a server on which a struck request may run in isolation. None while a copy of
    /// the request runs in isolation, or while every candidate is reserved for a struck request.
    pub fn isolate(
        &mut self,
        fingerprint: Fingerprint,
        candidates: &[ServerId],
    ) -> Option<ServerId> {
        if self.isolated.iter().any(|(other, _)| *other == fingerprint) {
            return None;
        }
        let is_free = |server: &&ServerId| self.isolated.iter().all(|(_, used)| used != *server);
        let server = candidates.iter().find(is_free)?.clone();
        self.isolated.push((fingerprint, server.clone()));
        Some(server)
    }

    /// Releases the server that [`StrikeTracker::isolate`] reserved for a request.
    pub fn release(&mut self, fingerprint: Fingerprint) {
        self.isolated.retain(|(other, _)| *other != fingerprint);
    }
}
