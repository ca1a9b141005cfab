//! Failure detector for routers and backend servers, based on direct evidence and on rows from
//! peers.
//!
//! A failed contact makes a member suspect; a suspect that is not refuted in time becomes dead.
//! A row with a higher incarnation always wins. Within one incarnation a peer's row can only
//! worsen a member's health, and leaving is final until a new incarnation. Where direct evidence
//! may refute, a peer's `Alive` row also revives a suspect or dead member, unless it has failed
//! here recently. A member that fails repeatedly stays suspect for an increasing
//! time after it recovers (flap damping).

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::ids::Incarnation;
use crate::peer::row::Health;

/// Time limits of the failure detector.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Time after which a suspect that is not refuted becomes dead.
    pub suspect_timeout_ms: u64,
    /// Time after which a dead member is removed.
    pub retain_dead_ms: u64,
    /// Time for which direct evidence, of life or of failure, outweighs a peer's row that
    /// contradicts it.
    pub contact_valid_ms: u64,
    /// Sliding window in which failures are counted for flap damping.
    pub flap_window_ms: u64,
    /// Failures within the window above which damping begins.
    pub flaps_max: usize,
    /// First damping time; it doubles with each further failure in the window.
    pub damping_base_ms: u64,
    /// Longest damping time.
    pub damping_max_ms: u64,
}

/// What may refute a suspicion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refutation {
    /// Only the member itself, by a higher incarnation. Used for routers.
    HigherIncarnation,
    /// Also direct evidence of life. Used for backend servers, which do not learn that they are
    /// suspected.
    DirectEvidence,
}

/// State of one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Highest incarnation that was observed or reported.
    pub incarnation: Incarnation,
    /// Health in this incarnation.
    pub health: Health,
    /// Monotonic time of the last change of health, in ms.
    pub since_ms: u64,
    last_contact_ms: Option<u64>,
    last_failure_ms: Option<u64>,
    failures: VecDeque<u64>,
    damped_until_ms: u64,
    /// Whether the member recovered during damping; it becomes alive when damping ends.
    is_damped: bool,
}

/// A change of a member's health, for the driver to publish.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Name of the member.
    pub name: String,
    /// Incarnation that the new health applies to.
    pub incarnation: Incarnation,
    /// New health.
    pub health: Health,
}

/// State of a member's host in the host list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostListing {
    /// Listed as live.
    Live,
    /// Listed as leaving, or not listed.
    Leaving,
}

/// All known members and their health.
#[derive(Debug, Clone)]
pub struct Membership {
    timing: Timing,
    refutation: Refutation,
    members: IndexMap<String, Member>,
}

/// Severity of a health; within one incarnation a row applies only if its health is more severe.
fn severity(health: Health) -> u8 {
    match health {
        Health::Alive => 0,
        Health::Suspect => 1,
        Health::Leaving => 2,
        Health::Dead => 3,
    }
}

/// Timing for routers, which exchange heartbeats every 500 ms.
pub const ROUTER_TIMING: Timing = Timing {
    suspect_timeout_ms: 3_000,
    retain_dead_ms: 600_000,
    contact_valid_ms: 1_500,
    flap_window_ms: 30_000,
    flaps_max: 3,
    damping_base_ms: 2_000,
    damping_max_ms: 30_000,
};

/// Timing for backend servers, which are probed about once a second.
pub const SERVER_TIMING: Timing = Timing {
    suspect_timeout_ms: 2_000,
    retain_dead_ms: u64::MAX,
    contact_valid_ms: 1_500,
    flap_window_ms: 30_000,
    flaps_max: 3,
    damping_base_ms: 1_000,
    damping_max_ms: 15_000,
};

impl Member {
    fn new(incarnation: Incarnation, health: Health, now_ms: u64) -> Self {
        Self {
            incarnation,
            health,
            since_ms: now_ms,
            last_contact_ms: None,
            last_failure_ms: None,
            failures: VecDeque::new(),
            damped_until_ms: 0,
            is_damped: false,
        }
    }

    fn set(&mut self, health: Health, now_ms: u64) -> bool {
        if self.health == health {
            return false;
        }
        self.health = health;
        self.since_ms = now_ms;
        true
    }

    fn count_failure(&mut self, timing: &Timing, now_ms: u64) {
        self.is_damped = false;
        self.failures.push_back(now_ms);
        while let Some(first) = self.failures.front() {
            if now_ms.saturating_sub(*first) <= timing.flap_window_ms {
                break;
            }
            self.failures.pop_front();
        }
        let excess = self.failures.len().saturating_sub(timing.flaps_max);
        if excess > 0 {
            let damping_ms = timing.damping_base_ms << (excess - 1).min(16);
            self.damped_until_ms = now_ms + damping_ms.min(timing.damping_max_ms);
        }
    }

    fn has_contact_within(&self, contact_valid_ms: u64, now_ms: u64) -> bool {
        self.last_contact_ms > self.last_failure_ms
            && self
                .last_contact_ms
                .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) <= contact_valid_ms)
    }

    /// Health of a member that has just recovered: suspect while it is damped.
    fn recovered(&mut self, now_ms: u64) -> Health {
        self.is_damped = now_ms < self.damped_until_ms;
        match self.is_damped {
            true => Health::Suspect,
            false => Health::Alive,
        }
    }

    fn is_failing(&self, contact_valid_ms: u64, now_ms: u64) -> bool {
        self.last_failure_ms > self.last_contact_ms
            && self
                .last_failure_ms
                .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) <= contact_valid_ms)
    }
}

impl Membership {
    /// Creates a membership without members.
    ///
    /// ```
    /// use jujubeusher::decide::membership::{Membership, Refutation, SERVER_TIMING};
    /// let servers = Membership::new(SERVER_TIMING, Refutation::DirectEvidence);
    /// assert!(servers.get("s1").is_none());
    /// ```
    pub fn new(timing: Timing, refutation: Refutation) -> Self {
        Self {
            timing,
            refutation,
            members: IndexMap::new(),
        }
    }

    /// State of a member, if it is known.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// All known members by name, including dead ones that are not yet removed.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Member)> {
        self.members
            .iter()
            .map(|(name, member)| (name.as_str(), member))
    }

    /// Removes a member.
    pub fn remove(&mut self, name: &str) {
        self.members.shift_remove(name);
    }

    fn change(&self, name: &str) -> Option<Change> {
        self.members.get(name).map(|member| Change {
            name: name.to_owned(),
            incarnation: member.incarnation,
            health: member.health,
        })
    }

    /// Applies a row from a peer, which may be the member itself.
    pub fn apply_row(
        &mut self,
        name: &str,
        incarnation: Incarnation,
        health: Health,
        now_ms: u64,
    ) -> Option<Change> {
        let timing = self.timing;
        let Some(member) = self.members.get_mut(name) else {
            let member = Member::new(incarnation, health, now_ms);
            self.members.insert(name.to_owned(), member);
            return self.change(name);
        };
        if incarnation < member.incarnation {
            return None;
        }
        if incarnation > member.incarnation {
            member.incarnation = incarnation;
            let health = match health {
                Health::Alive => member.recovered(now_ms),
                other => other,
            };
            member.set(health, now_ms);
            return self.change(name);
        }
        let can_revive = health == Health::Alive
            && self.refutation == Refutation::DirectEvidence
            && matches!(member.health, Health::Suspect | Health::Dead)
            && !member.is_failing(timing.contact_valid_ms, now_ms);
        if can_revive {
            let health = member.recovered(now_ms);
            let is_changed = member.set(health, now_ms);
            return is_changed.then(|| self.change(name)).flatten();
        }
        let is_worse = severity(health) > severity(member.health);
        let is_suspicion = matches!(health, Health::Suspect | Health::Dead);
        let is_contradicted = is_suspicion
            && self.refutation == Refutation::DirectEvidence
            && member.has_contact_within(timing.contact_valid_ms, now_ms);
        if !is_worse || is_contradicted {
            return None;
        }
        if member.health == Health::Alive && is_suspicion {
            member.count_failure(&timing, now_ms);
        }
        member.set(health, now_ms);
        self.change(name)
    }

    /// Records direct evidence of life, such as a response to a probe.
    pub fn record_contact(
        &mut self,
        name: &str,
        incarnation: Incarnation,
        now_ms: u64,
    ) -> Option<Change> {
        if !self.members.contains_key(name) || self.members[name].incarnation < incarnation {
            let change = self.apply_row(name, incarnation, Health::Alive, now_ms);
            self.members[name].last_contact_ms = Some(now_ms);
            return change;
        }
        let member = &mut self.members[name];
        member.last_contact_ms = Some(now_ms);
        let is_suspected = matches!(member.health, Health::Suspect | Health::Dead);
        if !is_suspected || self.refutation == Refutation::HigherIncarnation {
            return None;
        }
        let health = member.recovered(now_ms);
        match member.set(health, now_ms) {
            true => self.change(name),
            false => None,
        }
    }

    /// Records direct evidence of failure: a broken connection or a probe without a response.
    pub fn record_failure(&mut self, name: &str, now_ms: u64) -> Option<Change> {
        let timing = self.timing;
        let member = self.members.get_mut(name)?;
        member.last_failure_ms = Some(now_ms);
        let health = match member.health {
            Health::Alive => Health::Suspect,
            // A member that announced that it leaves and then fails has left.
            Health::Leaving => Health::Dead,
            Health::Suspect | Health::Dead => return None,
        };
        member.count_failure(&timing, now_ms);
        member.set(health, now_ms);
        self.change(name)
    }

    /// Marks a member as leaving on an operator's request; only a new incarnation ends this.
    pub fn mark_leaving(&mut self, name: &str, now_ms: u64) -> Option<Change> {
        let incarnation = self.members.get(name)?.incarnation;
        self.apply_row(name, incarnation, Health::Leaving, now_ms)
    }

    /// Applies the host list's state of a member. The list lags behind, so it only turns an
    /// existing suspicion into death early: it neither marks a responding member as dead nor
    /// revives one that does not respond.
    pub fn apply_host_listing(
        &mut self,
        name: &str,
        listing: HostListing,
        now_ms: u64,
    ) -> Option<Change> {
        let member = self.members.get_mut(name)?;
        if listing == HostListing::Live || member.health != Health::Suspect || member.is_damped {
            return None;
        }
        member.set(Health::Dead, now_ms);
        self.change(name)
    }

    /// Applies the time limits: suspects become dead, damped members become alive, and dead
    /// members are removed.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Change> {
        let timing = self.timing;
        self.members.retain(|_, member| {
            let age_ms = now_ms.saturating_sub(member.since_ms);
            member.health != Health::Dead || age_ms < timing.retain_dead_ms
        });
        let mut changed = Vec::new();
        for (name, member) in &mut self.members {
            if member.health != Health::Suspect {
                continue;
            }
            let health = match member.is_damped {
                true if now_ms < member.damped_until_ms => continue,
                true => Health::Alive,
                false if now_ms.saturating_sub(member.since_ms) < timing.suspect_timeout_ms => {
                    continue;
                }
                false => Health::Dead,
            };
            member.set(health, now_ms);
            changed.push(name.clone());
        }
        changed
            .iter()
            .filter_map(|name| self.change(name))
            .collect()
    }
}

#[cfg(test)]
mod tests;
