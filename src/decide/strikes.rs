//! Requests that crash servers: strikes, isolation and quarantine.
//!
//! Each server that dies gives a strike to every request that it was running. A struck
//! request runs alone, which shows whether it was the cause; a further strike refuses it.

#[cfg(test)]
mod tests;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::ServerId;

/// Requests that are remembered; the oldest are forgotten first.
const ENTRIES_MAX: usize = 10_000;
/// Changes that wait for peers; the oldest are dropped first.
const OUTGOING_MAX: usize = 4_096;

/// Identifies a request by its content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Hashes method, path and body.
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
}

impl std::fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Rules of the inventory that apply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StrikePolicy {
    /// Strikes after which a request is refused.
    pub strikes_max: u32,
    /// How long a strike counts, and how long a request is refused.
    pub quarantine_ms: u64,
}

/// How a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StrikeStatus {
    /// As any other.
    Clear,
    /// Alone: one at a time, on a server that runs no other struck request.
    Struck,
    /// Not at all.
    Quarantined {
        /// Time until it may run again.
        left_ms: u64,
    },
}

/// One change, for other routers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StrikeDelta {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The server that died, or that completed the request.
    pub server: ServerId,
    /// Deaths of this server that the sender knows of; 0 once it completed the request.
    pub count: u32,
    /// Time since the last of them, as the sender saw it.
    pub age_ms: u64,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Strike {
    server: ServerId,
    at_ms: u64,
    /// Whether some server completed the request since.
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

/// Owner of all strikes that a router knows of.
#[derive(Debug, Default)]
pub struct StrikeTracker {
    entries: IndexMap<Fingerprint, Entry>,
    isolated: Vec<(Fingerprint, ServerId)>,
    outgoing: Vec<Outgoing>,
}

impl StrikeTracker {
    /// A book without strikes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Struck and quarantined requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request is struck.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Requests that are refused now.
    pub fn quarantined_count(&self, now_ms: u64) -> usize {
        let is_refused = |entry: &&Entry| entry.quarantined_until_ms > now_ms;
        self.entries.values().filter(is_refused).count()
    }

    /// How a request may run now.
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

    /// Notes that a server died while it ran a request for `ran_ms`.
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
        // Copies of a request that ran on the server at the same time see the same death.
        let is_known = entry.is_some_and(|entry| {
            let mut strikes = entry.strikes.iter();
            strikes.any(|strike| strike.server == *server && strike.at_ms >= started_ms)
        });
        if !is_known {
            self.add_strike(fingerprint, server, now_ms, now_ms, policy);
            let count = self.count(fingerprint, server);
            self.queue_delta(fingerprint, server, count, now_ms);
        }
        self.status(fingerprint, now_ms, policy)
    }

    /// Notes that a server ran a request to its end, which refutes the strikes on that
    /// server and shows that the request does not crash every server.
    pub fn on_completed(&mut self, fingerprint: Fingerprint, server: &ServerId, now_ms: u64) {
        if self.refute(fingerprint, server) {
            self.queue_delta(fingerprint, server, 0, now_ms);
        }
    }

    /// Takes up what another router saw; says whether it was news.
    pub fn apply_remote(&mut self, delta: &StrikeDelta, now_ms: u64, policy: StrikePolicy) -> bool {
        let (fingerprint, server) = (delta.fingerprint, &delta.server);
        if delta.count == 0 {
            return self.refute(fingerprint, server);
        }
        let at_ms = now_ms.saturating_sub(delta.age_ms);
        if at_ms + policy.quarantine_ms <= now_ms {
            return false;
        }
        // Two routers that saw the same death both count it once.
        let missing = delta.count.min(policy.strikes_max);
        let missing = missing.saturating_sub(self.count(fingerprint, server));
        for _ in 0..missing {
            self.add_strike(fingerprint, server, at_ms, now_ms, policy);
        }
        missing > 0
    }

    /// Changes seen by this router that peers have not been told yet.
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

    fn count(&self, fingerprint: Fingerprint, server: &ServerId) -> u32 {
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

    /// Adds a strike and quarantines the request if it is one too many.
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
        // A completion in between clears the request of a pattern over several servers,
        // but not of killing the same server again.
        let counts = |strike: &&Strike| !strike.is_stale || strike.server == *server;
        if entry.strikes.iter().filter(counts).count() as u32 >= policy.strikes_max {
            entry.quarantined_until_ms = at_ms + policy.quarantine_ms;
        }
    }

    fn refute(&mut self, fingerprint: Fingerprint, server: &ServerId) -> bool {
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

    /// Picks the server on which a struck request may run now: none while the same
    /// request runs in isolation, or while each candidate runs a struck request.
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

    /// Ends what [`StrikeTracker::isolate`] began.
    pub fn release(&mut self, fingerprint: Fingerprint) {
        self.isolated.retain(|(other, _)| *other != fingerprint);
    }
}
