//! What a router's own traffic tells of each backend server: silence, lost connections and
//! faults.

#[cfg(test)]
mod tests;

use indexmap::IndexMap;

use crate::ids::ServerId;

/// Time between looks whether an unreachable server can be reached again. A connection costs
/// little, and a server that is back must not wait for long.
const PROBE_MS: u64 = 300;
/// Weight of a new outcome in the rate of faults: about ten requests decide.
const OUTCOME_WEIGHT: f64 = 0.1;
/// Outcomes from which on the rate of faults counts.
const OUTCOMES_MIN: u32 = 4;
/// Rate of faults over that of the other servers from which on a server is chosen last. Some
/// kinds of request fail for one in seven on every server.
const FAULTS_OVER_MEAN: f64 = 0.2;
/// Time for which a faulty server is chosen last before a request tries it again; doubled for
/// each time in a row.
const DOUBT_MS: u64 = 500;
/// Longest time for which a faulty server is chosen last.
const DOUBT_MAX_MS: u64 = 4_000;

/// Time for which a server that accepts no further connection is chosen last: some of its
/// requests end within it.
const CROWDED_MS: u64 = 100;

#[derive(Debug, Clone, Default)]
struct Entry {
    /// When the next look is due, for a server that cannot be reached.
    probe_at_ms: Option<u64>,
    fault_rate: f64,
    outcomes: u32,
    doubt_until_ms: u64,
    doubts: u32,
}

/// What is known of all servers.
#[derive(Debug, Default)]
pub struct ServerHealth {
    entries: IndexMap<ServerId, Entry>,
}

impl ServerHealth {
    /// Notes that no connection to a server can be opened; says whether that is news.
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
        let is_news = entry.probe_at_ms.is_none();
        entry.probe_at_ms = Some(now_ms + PROBE_MS);
        is_news
    }

    /// Notes that a connection was opened; says whether that is news.
    pub fn record_reached(&mut self, server: &ServerId) -> bool {
        let entry = self.entries.get_mut(server);
        entry.is_some_and(|entry| entry.probe_at_ms.take().is_some())
    }

    /// Notes that a server accepts no further connection.
    pub fn record_connection_limit(&mut self, server: &ServerId, now_ms: u64) {
        let entry = self.entries.entry(server.clone()).or_default();
        entry.doubt_until_ms = entry.doubt_until_ms.max(now_ms + CROWDED_MS);
    }

    /// Notes whether a server served a request.
    pub fn record_outcome(&mut self, server: &ServerId, is_fault: bool, now_ms: u64) {
        let mean = self.mean_fault_rate(server);
        let entry = self.entries.entry(server.clone()).or_default();
        let value = if is_fault { 1.0 } else { 0.0 };
        entry.fault_rate += (value - entry.fault_rate) * OUTCOME_WEIGHT;
        entry.outcomes = entry.outcomes.saturating_add(1);
        let is_faulty =
            entry.outcomes >= OUTCOMES_MIN && entry.fault_rate > mean + FAULTS_OVER_MEAN;
        match (is_fault, is_faulty) {
            (true, true) => {
                let pause_ms = (DOUBT_MS << entry.doubts.min(8)).min(DOUBT_MAX_MS);
                entry.doubt_until_ms = now_ms + pause_ms;
                entry.doubts += 1;
            }
            (false, false) => {
                entry.doubt_until_ms = 0;
                entry.doubts = 0;
            }
            _ => {}
        }
    }

    /// Mean rate of faults of the other servers.
    fn mean_fault_rate(&self, server: &ServerId) -> f64 {
        let others = self.entries.iter().filter(|(id, _)| *id != server);
        let rates: Vec<f64> = others.map(|(_, entry)| entry.fault_rate).collect();
        match rates.is_empty() {
            true => 0.0,
            false => rates.iter().sum::<f64>() / rates.len() as f64,
        }
    }

    /// Whether connections to a server can be opened, as far as is known.
    pub fn is_reachable(&self, server: &ServerId) -> bool {
        let entry = self.entries.get(server);
        entry.is_none_or(|entry| entry.probe_at_ms.is_none())
    }

    /// Leaves out the servers that cannot be reached, and puts the faulty ones last.
    pub fn order(&self, candidates: Vec<ServerId>, now_ms: u64) -> Vec<ServerId> {
        let is_doubtful = |server: &ServerId| {
            let entry = self.entries.get(server);
            entry.is_some_and(|entry| entry.doubt_until_ms > now_ms)
        };
        let reachable = candidates.into_iter().filter(|id| self.is_reachable(id));
        let (last, mut ordered): (Vec<_>, Vec<_>) = reachable.partition(is_doubtful);
        ordered.extend(last);
        ordered
    }

    /// Servers that should be looked at now; the next look at each is set.
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

    /// Forgets servers that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&ServerId) -> bool) {
        self.entries.retain(|server, _| is_known(server));
    }
}
