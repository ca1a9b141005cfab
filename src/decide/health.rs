//! Health of backend servers as observed by a router's own traffic: failed connections,
//! refusals, pauses that servers ask for, limits that they name, and failed requests.

#[cfg(test)]
mod tests;

use indexmap::IndexMap;

use crate::decide::pause::Pause;
use crate::decide::server_limit::{Effect, LimitUpdate, ServerLimit};
use crate::ids::{Incarnation, ServerId};

/// Time between probes of an unreachable server. A connection costs little, and a server that
/// has recovered must get requests again soon.
const PROBE_MS: u64 = 300;
/// Weight of a new outcome in the moving average of the fault rate, which thus reflects about
/// the last ten requests.
const OUTCOME_WEIGHT: f64 = 0.1;
/// Outcomes required before the fault rate is considered.
const OUTCOMES_MIN: u32 = 4;
/// Excess of a server's fault rate over the mean of the other servers above which it is ordered
/// last. The comparison is relative as some kinds of request fail for one in seven on every
/// server.
const FAULT_RATE_EXCESS_MAX: f64 = 0.2;
/// Time for which a faulty server is ordered last before requests try it again; doubled for
/// each further fault while its fault rate stays too high.
const PENALTY_MS: u64 = 500;
/// Longest time for which a faulty server is ordered last.
const PENALTY_MAX_MS: u64 = 4_000;

/// Time for which a server that refused a connection or a request is ordered last; some of its
/// other requests end within this time and free capacity.
const REFUSAL_PENALTY_MS: u64 = 100;

#[derive(Debug, Clone, Default)]
struct Entry {
    /// Time of the next probe; none while the server is reachable.
    probe_at_ms: Option<u64>,
    /// Time from which the server could not be reached; none while it is reachable.
    unreachable_since_ms: Option<u64>,
    fault_rate: f64,
    outcomes: u32,
    penalty_until_ms: u64,
    penalties: u32,
    pause: Option<Pause>,
    limit: Option<ServerLimit>,
}

/// Observed health of all servers; a server without observations counts as healthy.
#[derive(Debug, Default)]
pub struct ServerHealth {
    entries: IndexMap<ServerId, Entry>,
}

impl ServerHealth {
    /// Records that no connection to a server could be opened; returns whether the server was
    /// reachable before.
    ///
    /// ```
    /// use jujubeusher::decide::health::ServerHealth;
    /// use jujubeusher::ids::ServerId;
    /// let (a, b) = (ServerId::from("a"), ServerId::from("b"));
    /// let mut health = ServerHealth::default();
    /// assert!(health.record_unreachable(&a, 0));
    /// assert_eq!(health.order(vec![a.clone(), b.clone()], 1), [b.clone()]);
    /// health.record_reached(&a);
    /// assert_eq!(health.order(vec![a.clone(), b.clone()], 1), [a, b]);
    /// ```
    pub fn record_unreachable(&mut self, server: &ServerId, now_ms: u64) -> bool {
        let entry = self.entries.entry(server.clone()).or_default();
        let is_change = entry.probe_at_ms.is_none();
        entry.probe_at_ms = Some(now_ms + PROBE_MS);
        entry.unreachable_since_ms.get_or_insert(now_ms);
        is_change
    }

    /// Records that a connection was opened; returns whether the server was unreachable before.
    pub fn record_reached(&mut self, server: &ServerId) -> bool {
        let Some(entry) = self.entries.get_mut(server) else {
            return false;
        };
        entry.unreachable_since_ms = None;
        entry.probe_at_ms.take().is_some()
    }

    /// Records that a server accepts no further connection, or refused a request without running
    /// it.
    pub fn record_refusal(&mut self, server: &ServerId, now_ms: u64) {
        let entry = self.entries.entry(server.clone()).or_default();
        entry.penalty_until_ms = entry.penalty_until_ms.max(now_ms + REFUSAL_PENALTY_MS);
    }

    /// Records a pause that a server asked for; returns whether it was not pausing before.
    ///
    /// ```
    /// use jujubeusher::decide::health::ServerHealth;
    /// use jujubeusher::decide::pause::Pause;
    /// use jujubeusher::ids::{Incarnation, ServerId};
    /// let (server, incarnation) = (ServerId::from("a"), Incarnation(1));
    /// let mut health = ServerHealth::default();
    /// assert!(health.record_pause(&server, Pause::new(incarnation, 500, 0.0, 0), incarnation, 0));
    /// assert_eq!(health.pause_end_ms(&server, incarnation, 1), Some(500));
    /// ```
    pub fn record_pause(
        &mut self,
        server: &ServerId,
        pause: Pause,
        incarnation: Incarnation,
        now_ms: u64,
    ) -> bool {
        let was_pausing = self.pause_end_ms(server, incarnation, now_ms).is_some();
        let entry = self.entries.entry(server.clone()).or_default();
        entry.pause = Some(entry.pause.map_or(pause, |known| known.extend(pause)));
        !was_pausing
    }

    /// End of a server's pause; `None` if it is not pausing.
    pub fn pause_end_ms(
        &self,
        server: &ServerId,
        incarnation: Incarnation,
        now_ms: u64,
    ) -> Option<u64> {
        let entry = self.entries.get(server)?;
        entry.pause?.end_ms(incarnation, now_ms)
    }

    /// Records what a response said of a server's limit at `as_of_ms`. A response without a limit
    /// says nothing new about a server that named none.
    ///
    /// ```
    /// use jujubeusher::decide::health::ServerHealth;
    /// use jujubeusher::decide::server_limit::{Effect, LimitUpdate};
    /// use jujubeusher::ids::{Incarnation, ServerId};
    /// let mut health = ServerHealth::default();
    /// let mut update = LimitUpdate {
    ///     server: ServerId::from("a"),
    ///     incarnation: Incarnation(1),
    ///     limit_per_s: None,
    ///     age_ms: 0,
    /// };
    /// assert_eq!(health.record_limit(&update, 100), Effect::None);
    /// update.limit_per_s = Some(2.0);
    /// assert_eq!(health.record_limit(&update, 200), Effect::Changed);
    /// ```
    pub fn record_limit(&mut self, update: &LimitUpdate, as_of_ms: u64) -> Effect {
        let known = self.entries.get_mut(&update.server);
        if let Some(limit) = known.and_then(|entry| entry.limit.as_mut()) {
            return limit.apply(update.incarnation, update.limit_per_s, as_of_ms);
        }
        let Some(limit_per_s) = update.limit_per_s else {
            return Effect::None;
        };
        let limit = ServerLimit::new(update.incarnation, limit_per_s, as_of_ms);
        let entry = self.entries.entry(update.server.clone()).or_default();
        entry.limit = Some(limit);
        Effect::Changed
    }

    /// A server's limit in requests a second; `None` if it names none.
    pub fn limit_per_s(
        &self,
        server: &ServerId,
        incarnation: Incarnation,
        now_ms: u64,
    ) -> Option<f64> {
        let limit = self.entries.get(server)?.limit.as_ref()?;
        limit.limit_per_s(incarnation, now_ms)
    }

    /// All known limits, for another router.
    pub fn limit_updates(&self, now_ms: u64) -> Vec<LimitUpdate> {
        let limits = self.entries.iter().filter_map(|(server, entry)| {
            let limit = entry.limit.as_ref()?;
            limit.to_update(server, now_ms)
        });
        limits.collect()
    }

    /// Records whether a request to a server succeeded or failed through a fault of the server.
    pub fn record_outcome(&mut self, server: &ServerId, is_fault: bool, now_ms: u64) {
        let mean = self.mean_fault_rate(server);
        let entry = self.entries.entry(server.clone()).or_default();
        let value = if is_fault { 1.0 } else { 0.0 };
        entry.fault_rate += (value - entry.fault_rate) * OUTCOME_WEIGHT;
        entry.outcomes = entry.outcomes.saturating_add(1);
        let is_faulty =
            entry.outcomes >= OUTCOMES_MIN && entry.fault_rate > mean + FAULT_RATE_EXCESS_MAX;
        match (is_fault, is_faulty) {
            (true, true) => {
                let penalty_ms = (PENALTY_MS << entry.penalties.min(8)).min(PENALTY_MAX_MS);
                entry.penalty_until_ms = now_ms + penalty_ms;
                entry.penalties += 1;
            }
            (false, false) => {
                entry.penalty_until_ms = 0;
                entry.penalties = 0;
            }
            _ => {}
        }
    }

    /// Mean fault rate of all other servers.
    fn mean_fault_rate(&self, server: &ServerId) -> f64 {
        let others = self.entries.iter().filter(|(id, _)| *id != server);
        let rates: Vec<f64> = others.map(|(_, entry)| entry.fault_rate).collect();
        match rates.is_empty() {
            true => 0.0,
            false => rates.iter().sum::<f64>() / rates.len() as f64,
        }
    }

    /// Whether the last attempt to open a connection to a server succeeded; true without one.
    pub fn is_reachable(&self, server: &ServerId) -> bool {
        let entry = self.entries.get(server);
        entry.is_none_or(|entry| entry.probe_at_ms.is_none())
    }

    /// Time from which a server could not be reached; `None` if it can be.
    pub fn unreachable_since_ms(&self, server: &ServerId) -> Option<u64> {
        self.entries.get(server)?.unreachable_since_ms
    }

    /// Removes the unreachable servers from the candidates and moves those with a penalty, and those
    /// whose pause or limit has just ended, to the end.
    pub fn order(&self, candidates: Vec<ServerId>, now_ms: u64) -> Vec<ServerId> {
        let has_penalty = |server: &ServerId| {
            let entry = self.entries.get(server);
            entry.is_some_and(|entry| {
                let has_paused = entry.pause.is_some_and(|pause| pause.is_recent(now_ms));
                let limit = entry.limit.as_ref();
                let was_limited = limit.is_some_and(|limit| limit.was_just_lifted(now_ms));
                entry.penalty_until_ms > now_ms || has_paused || was_limited
            })
        };
        let reachable = candidates.into_iter().filter(|id| self.is_reachable(id));
        let (last, mut ordered): (Vec<_>, Vec<_>) = reachable.partition(has_penalty);
        ordered.extend(last);
        ordered
    }

    /// Returns the servers whose probe is due and schedules the next probe of each.
    pub fn due_probes(&mut self, now_ms: u64) -> Vec<ServerId> {
        let mut due = Vec::new();
        for (server, entry) in &mut self.entries {
            if entry.probe_at_ms.is_some_and(|at_ms| at_ms <= now_ms) {
                entry.probe_at_ms = Some(now_ms + PROBE_MS);
                due.push(server.clone());
            }
        }
        due
    }

    /// Removes the servers that are no longer known. A pause is kept until its end, since the row of
    /// its server may only have lapsed.
    pub fn retain(&mut self, now_ms: u64, is_known: impl Fn(&ServerId) -> bool) {
        self.entries.retain(|server, entry| {
            is_known(server) || entry.pause.is_some_and(|pause| pause.is_recent(now_ms))
        });
    }
}
