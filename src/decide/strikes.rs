//! Tracks requests that may crash servers: strikes, isolation and quarantine.
//!
//! When a server crashes, each request that it was running gets a strike. A struck request
//! then runs in isolation, so that a further crash can be attributed to it; a request with too
//! many strikes is quarantined, which means that it is refused.
//!
//! A request that servers have completed before is proven. It needs more strikes, and strikes that
//! may have a common cause count once: a popular request runs on many of the servers that a failure
//! of their availability zone ends together.

mod completions;
mod entry;
mod lifted;
mod parts;
mod snapshot;
#[cfg(test)]
mod tests;
mod types;

use indexmap::IndexMap;

use crate::decide::part_strikes::{CrashedRun, PartStrikes};
use crate::ids::ServerId;

pub(super) use completions::Completions;
pub(super) use entry::confirm;
use entry::{Entry, Strike};
use lifted::{Answered, Lifted};
pub use types::{
    Evidence, Fingerprint, Incarnation, Quarantine, Snapshot, SoundPart, StrikeDelta, StrikePolicy,
    StrikeStatus,
};

/// Maximum number of tracked requests; the oldest are evicted first.
const ENTRIES_MAX: usize = 10_000;
/// Maximum number of changes queued for peers; the oldest are dropped first.
const OUTGOING_MAX: usize = 4_096;
/// Number of entries that are evicted together, as each eviction visits all of them.
const EVICTED_AT_ONCE: usize = 1_000;
/// Interval between two evictions of expired entries.
const EVICTION_INTERVAL_MS: u64 = 1_000;
/// Smallest extension of a quarantine that is passed on. Transfer times make the same quarantine
/// end at slightly different times on different routers.
const EXTENSION_MIN_MS: u64 = 2_000;

#[derive(Debug, Clone)]
struct Outgoing {
    delta: StrikeDelta,
    at_ms: u64,
}

/// Strikes known to a router, its own and those received from other routers.
#[derive(Debug, Default)]
pub struct StrikeTracker {
    entries: IndexMap<Fingerprint, Entry>,
    isolated: Vec<(Fingerprint, ServerId)>,
    outgoing: Vec<Outgoing>,
    completions: Completions,
    evicted_ms: u64,
    lifts_on_completion: bool,
    parts: PartStrikes,
    outgoing_sound: Vec<(Fingerprint, Answered)>,
    lifted: Lifted,
    newly_quarantined: Vec<Fingerprint>,
}

impl StrikeTracker {
    /// Creates a tracker without strikes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a tracker in which a completion also ends a quarantine: copies of the request that were
    /// in flight show that it does not crash every server.
    pub fn lifting_on_completion() -> Self {
        Self {
            lifts_on_completion: true,
            ..Self::default()
        }
    }

    /// Number of struck and quarantined requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request is struck or quarantined.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.parts.is_empty()
    }

    /// Number of requests in quarantine.
    pub fn quarantined_count(&self, now_ms: u64) -> usize {
        let is_refused = |entry: &&Entry| entry.is_quarantined(now_ms);
        self.entries.values().filter(is_refused).count()
    }

    /// Quarantines in force.
    pub fn quarantines(&self, now_ms: u64) -> Vec<Quarantine> {
        let entries = self.entries.iter();
        let refused = entries.filter(|(_, entry)| entry.is_quarantined(now_ms));
        refused
            .map(|(fingerprint, entry)| Quarantine {
                fingerprint: *fingerprint,
                left_ms: entry.quarantined_until_ms - now_ms,
            })
            .collect()
    }

    /// Crashes that count against a request or a part, oldest first.
    pub fn evidence(&self, fingerprint: Fingerprint, now_ms: u64) -> Vec<Evidence> {
        let entry = self.entries.get(&fingerprint);
        let strikes = entry.into_iter().flat_map(|entry| &entry.strikes);
        let strikes = strikes.map(|strike| Evidence {
            server: strike.server.clone(),
            age_ms: now_ms.saturating_sub(strike.at_ms),
        });
        strikes
            .chain(self.parts.evidence(fingerprint, now_ms))
            .collect()
    }

    /// Whether a quarantine is in force.
    pub fn is_in_force(&self, verdict: Fingerprint, now_ms: u64) -> bool {
        let entry = self.entries.get(&verdict);
        entry.is_some_and(|entry| entry.is_quarantined(now_ms))
    }

    /// Whether a server crashed under any request.
    pub fn has_crashed(&self, server: &ServerId) -> bool {
        let mut strikes = self.entries.values().flat_map(|entry| &entry.strikes);
        strikes.any(|strike| strike.server == *server)
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
        if entry.is_quarantined(now_ms) {
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
        let run = CrashedRun {
            parts: Vec::new(),
            request: fingerprint,
            caller: 0,
            server: server.clone(),
            started_ms: now_ms.saturating_sub(ran_ms),
            at_ms: now_ms,
            is_silent: false,
        };
        self.on_run_crash(run, policy)
    }

    /// Like `on_server_crash`. If the server had not begun to answer, the run has the parts of its
    /// prompt, each of which may be the cause.
    pub fn on_run_crash(&mut self, run: CrashedRun, policy: StrikePolicy) -> StrikeStatus {
        let (fingerprint, now_ms) = (run.request, run.at_ms);
        let entry = self.entries.get(&fingerprint);
        // Copies of a request that ran on the server at the same time report the same crash.
        let is_known = entry.is_some_and(|entry| {
            let mut strikes = entry.strikes.iter();
            strikes.any(|strike| {
                strike.server == run.server
                    && strike.at_ms + policy.restart_min_ms >= run.started_ms
            })
        });
        let is_proven = self.completions.last_ms(fingerprint).is_some();
        if !is_known {
            let strike = Strike {
                server: run.server.clone(),
                started_ms: run.started_ms,
                at_ms: now_ms,
                is_stale: false,
                is_confirmed: false,
                is_silent: run.is_silent,
            };
            self.add_strike(fingerprint, strike, is_proven, now_ms, policy);
        }
        let is_known_run = !self.add_run(run.clone(), now_ms, policy);
        if !is_known || !is_known_run {
            let delta = StrikeDelta {
                fingerprint,
                count: self.strike_count(fingerprint, &run.server),
                ran_ms: now_ms.saturating_sub(run.started_ms),
                server: run.server,
                is_proven,
                parts: run.parts,
                caller: run.caller,
                is_silent: run.is_silent,
                age_ms: 0,
            };
            self.queue_delta(delta, now_ms);
        }
        self.status(fingerprint, now_ms, policy)
    }

    /// Remembers that a server completed a request, which proves it in case of later strikes.
    pub fn remember_completion(&mut self, fingerprint: Fingerprint, now_ms: u64) {
        self.completions.record(fingerprint, now_ms);
    }

    /// Records that a server completed a request. This removes the request's strikes from that
    /// server and marks those from other servers as stale, as the request does not crash every
    /// server.
    pub fn on_completed(&mut self, fingerprint: Fingerprint, server: &ServerId, now_ms: u64) {
        if self.apply_completion(fingerprint, server, now_ms) {
            let delta = StrikeDelta {
                fingerprint,
                server: server.clone(),
                count: 0,
                ran_ms: 0,
                is_proven: true,
                parts: Vec::new(),
                caller: 0,
                is_silent: false,
                age_ms: 0,
            };
            self.queue_delta(delta, now_ms);
        }
    }

    /// Applies a change from another router; returns whether it changed anything.
    pub fn apply_remote(&mut self, delta: &StrikeDelta, now_ms: u64, policy: StrikePolicy) -> bool {
        let (fingerprint, server) = (delta.fingerprint, &delta.server);
        if delta.count == 0 {
            return self.apply_completion(fingerprint, server, now_ms);
        }
        let at_ms = now_ms.saturating_sub(delta.age_ms);
        if at_ms + policy.quarantine_ms <= now_ms {
            return false;
        }
        // `count` is a total, so a crash that both routers observed is counted once.
        let missing = delta.count.min(policy.strikes_max);
        let missing = missing.saturating_sub(self.strike_count(fingerprint, server));
        let completed_ms = self.completions.last_ms(fingerprint);
        let is_proven = delta.is_proven || completed_ms.is_some();
        for _ in 0..missing {
            let strike = Strike {
                server: server.clone(),
                started_ms: at_ms.saturating_sub(delta.ran_ms),
                at_ms,
                is_stale: false,
                is_confirmed: false,
                is_silent: delta.is_silent,
            };
            self.add_strike(fingerprint, strike, is_proven, now_ms, policy);
        }
        // The crash was not due to the request if another server completed it later.
        if missing > 0 && completed_ms.is_some_and(|completed_ms| completed_ms > at_ms) {
            self.on_completed(fingerprint, &ServerId::from(""), now_ms);
        }
        let run = CrashedRun {
            parts: delta.parts.clone(),
            request: fingerprint,
            caller: delta.caller,
            server: server.clone(),
            started_ms: at_ms.saturating_sub(delta.ran_ms),
            at_ms,
            is_silent: delta.is_silent,
        };
        let is_new_run = self.add_run(run, now_ms, policy);
        missing > 0 || is_new_run
    }

    /// Reviews the strikes that are `confirmed_after_ms` old or older: removes those whose server
    /// goes on running, with the quarantines that no longer have enough strikes. `incarnation` tells
    /// what became of a server that seemed to have crashed this many ms ago. Returns the requests
    /// whose quarantine was lifted.
    pub fn review<I>(
        &mut self,
        now_ms: u64,
        confirmed_after_ms: u64,
        policy: StrikePolicy,
        incarnation: I,
    ) -> Vec<Fingerprint>
    where
        I: Fn(&ServerId, u64) -> Incarnation,
    {
        let of_parts = self
            .parts
            .review(now_ms, confirmed_after_ms, policy, &incarnation);
        for fingerprint in &of_parts {
            if let Some(entry) = self.entries.get_mut(fingerprint) {
                entry.quarantined_until_ms = 0;
                entry.quarantines = entry.quarantines.saturating_sub(1);
            }
        }
        let mut lifted = of_parts;
        for (fingerprint, entry) in &mut self.entries {
            let count_before = entry.strikes.len();
            entry.strikes.retain_mut(|strike| {
                let age_ms = now_ms.saturating_sub(strike.at_ms);
                let is_due = age_ms >= confirmed_after_ms;
                !is_due
                    || confirm(&mut strike.is_confirmed, || {
                        incarnation(&strike.server, age_ms)
                    })
            });
            let is_retracted = entry.strikes.len() < count_before;
            let earlier = entry.quarantines.saturating_sub(1);
            if is_retracted
                && entry.is_quarantined(now_ms)
                && !entry.has_enough_strikes(earlier, policy)
            {
                entry.quarantined_until_ms = 0;
                entry.quarantines = earlier;
                lifted.push(*fingerprint);
            }
        }
        self.entries.retain(|_, entry| {
            !entry.strikes.is_empty() || entry.quarantines > 0 || entry.is_quarantined(now_ms)
        });
        lifted
    }

    /// Applies a quarantine from another router or from before a restart; returns whether it
    /// begins or extends one.
    pub fn apply_quarantine(&mut self, quarantine: Quarantine, now_ms: u64) -> bool {
        let until_ms = now_ms + quarantine.left_ms;
        let fingerprint = quarantine.fingerprint;
        if self
            .lifted
            .contains(fingerprint, until_ms, EXTENSION_MIN_MS)
        {
            return false;
        }
        let entry = self.entries.entry(fingerprint).or_default();
        let is_new = until_ms >= entry.quarantined_until_ms + EXTENSION_MIN_MS;
        if is_new {
            entry.quarantined_until_ms = until_ms;
            entry.quarantined_since_ms = now_ms;
            entry.quarantines = entry.quarantines.max(1);
        }
        is_new
    }

    /// Removes and returns the changes that this router observed and has not yet sent to peers.
    pub fn drain_outgoing(&mut self, now_ms: u64) -> Vec<StrikeDelta> {
        self.outgoing
            .drain(..)
            .map(|change| StrikeDelta {
                age_ms: now_ms.saturating_sub(change.at_ms),
                ..change.delta
            })
            .collect()
    }

    fn strike_count(&self, fingerprint: Fingerprint, server: &ServerId) -> u32 {
        let strikes = self.entries.get(&fingerprint).map(|entry| &entry.strikes);
        let of_server = |strike: &&Strike| strike.server == *server;
        strikes.map_or(0, |strikes| strikes.iter().filter(of_server).count() as u32)
    }

    fn queue_delta(&mut self, delta: StrikeDelta, at_ms: u64) {
        if self.outgoing.len() >= OUTGOING_MAX {
            self.outgoing.remove(0);
        }
        self.outgoing.push(Outgoing { delta, at_ms });
    }

    /// Adds a strike and quarantines the request if it reaches the limit.
    fn add_strike(
        &mut self,
        fingerprint: Fingerprint,
        strike: Strike,
        is_proven: bool,
        now_ms: u64,
        policy: StrikePolicy,
    ) {
        self.evict_expired(now_ms, policy);
        let entry = self.entries.entry(fingerprint).or_default();
        entry.is_proven |= is_proven;
        entry.strikes.push(strike);
        entry.strikes.sort_by_key(|strike| strike.at_ms);
        if !entry.is_quarantined(now_ms) && entry.has_enough_strikes(entry.quarantines, policy) {
            let at_ms = entry.strikes.last().map_or(now_ms, |last| last.at_ms);
            entry.quarantine(at_ms, policy);
        }
    }

    fn apply_completion(
        &mut self,
        fingerprint: Fingerprint,
        server: &ServerId,
        now_ms: u64,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(&fingerprint) else {
            return false;
        };
        let before = entry.clone();
        entry.strikes.retain(|strike| strike.server != *server);
        for strike in &mut entry.strikes {
            strike.is_stale = true;
        }
        entry.is_proven = true;
        if self.lifts_on_completion {
            if entry.is_quarantined(now_ms) {
                self.lifted.record(fingerprint, entry.quarantined_until_ms);
            }
            entry.quarantined_until_ms = 0;
        }
        if !entry.is_quarantined(now_ms) {
            entry.quarantines = 0;
        }
        let is_changed = *entry != before;
        if entry.strikes.is_empty() && entry.quarantined_until_ms == 0 {
            self.entries.swap_remove(&fingerprint);
        }
        is_changed
    }

    /// Evicts expired entries, and the oldest others while there are too many. Quarantines yield
    /// last, so that a caller with many different requests cannot lift them.
    fn evict_expired(&mut self, now_ms: u64, policy: StrikePolicy) {
        let is_full = self.entries.len() >= ENTRIES_MAX;
        if !is_full && now_ms < self.evicted_ms + EVICTION_INTERVAL_MS {
            return;
        }
        self.evicted_ms = now_ms;
        self.entries.retain(|_, entry| {
            entry
                .strikes
                .retain(|strike| strike.at_ms + policy.quarantine_ms > now_ms);
            // After its end, a quarantine is remembered for as long again as the first one.
            let is_remembered =
                entry.quarantines > 0 && entry.quarantined_until_ms + policy.quarantine_ms > now_ms;
            is_remembered || !entry.strikes.is_empty()
        });
        if self.entries.len() < ENTRIES_MAX {
            return;
        }
        let excess = self.entries.len() + EVICTED_AT_ONCE - ENTRIES_MAX;
        let is_open = |entry: &Entry| entry.quarantined_until_ms <= now_ms;
        let mut left = excess.min(self.entries.values().filter(|e| is_open(e)).count());
        self.entries.retain(|_, entry| {
            let is_evicted = left > 0 && is_open(entry);
            left -= usize::from(is_evicted);
            !is_evicted
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
