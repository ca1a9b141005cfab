//! Who is alive: routers and backend servers, from direct evidence and from peers' rows.
//!
//! A failed attempt makes a member suspect; a suspect that does not refute becomes dead. A
//! row with a higher incarnation always wins. Within one incarnation a row can only worsen
//! a member's health, and leaving is never taken back. A member that fails again and again
//! is held as suspect for a growing time before it counts as alive (damping).

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::ids::Incarnation;
use crate::peer::row::Health;

/// Time limits of the failure detector.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// From suspicion to death.
    pub suspect_timeout_ms: u64,
    /// From death until the member is forgotten.
    pub retain_dead_ms: u64,
    /// Own evidence of life is preferred to peers' suspicion for this long.
    pub contact_valid_ms: u64,
    /// Window in which failures count as flapping.
    pub flap_window_ms: u64,
    /// Failures within the window that are tolerated.
    pub flaps_max: usize,
    /// First damping time; it doubles with each further failure.
    pub damping_base_ms: u64,
    /// Longest damping time.
    pub damping_max_ms: u64,
}

/// Who may take back a suspicion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refutation {
    /// Only the member itself, by a higher incarnation. Routers do this.
    HigherIncarnation,
    /// Also direct evidence of life, as backend servers do not know that they are suspected.
    DirectEvidence,
}

/// What is known of one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its health.
    pub health: Health,
    /// Since when it has this health.
    pub since_ms: u64,
    last_contact_ms: Option<u64>,
    last_failure_ms: Option<u64>,
    failures: VecDeque<u64>,
    damped_until_ms: u64,
    /// It recovered while it was held, and counts as alive when the hold ends.
    is_damped: bool,
}

/// A change that the driver passes on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The member.
    pub name: String,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its health now.
    pub health: Health,
}

/// What a host list says of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostListing {
    /// It is listed as live.
    Live,
    /// It is listed as leaving, or not listed.
    Leaving,
}

/// The members and their health.
#[derive(Debug, Clone)]
pub struct Membership {
    timing: Timing,
    refutation: Refutation,
    members: IndexMap<String, Member>,
}

/// Severity of a health within one incarnation: a row only takes effect when it is worse.
fn severity(health: Health) -> u8 {
    match health {
        Health::Alive => 0,
        Health::Suspect => 1,
        Health::Leaving => 2,
        Health::Dead => 3,
    }
}

/// Timing for routers, which exchange heartbeats every half second.
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
                .is_some_and(|heard| now_ms.saturating_sub(heard) <= contact_valid_ms)
    }

    /// The health that a recovered member gets.
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
                .is_some_and(|failed| now_ms.saturating_sub(failed) <= contact_valid_ms)
    }
}

impl Membership {
    /// No members yet.
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

    /// What is known of a member.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// All members.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Member)> {
        self.members
            .iter()
            .map(|(name, member)| (name.as_str(), member))
    }

    /// Forgets a member.
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

    /// A peer's row, or what a member says of itself.
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
        let is_revived = health == Health::Alive
            && self.refutation == Refutation::DirectEvidence
            && matches!(member.health, Health::Suspect | Health::Dead)
            && !member.is_failing(timing.contact_valid_ms, now_ms);
        if is_revived {
            let health = member.recovered(now_ms);
            let is_changed = member.set(health, now_ms);
            return is_changed.then(|| self.change(name)).flatten();
        }
        let is_worse = severity(health) > severity(member.health);
        let is_doubt = matches!(health, Health::Suspect | Health::Dead);
        let is_contradicted = is_doubt
            && self.refutation == Refutation::DirectEvidence
            && member.has_contact_within(timing.contact_valid_ms, now_ms);
        if !is_worse || is_contradicted {
            return None;
        }
        if member.health == Health::Alive && is_doubt {
            member.count_failure(&timing, now_ms);
        }
        member.set(health, now_ms);
        self.change(name)
    }

    /// Direct evidence of life.
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
        let is_doubted = matches!(member.health, Health::Suspect | Health::Dead);
        if !is_doubted || self.refutation == Refutation::HigherIncarnation {
            return None;
        }
        let health = member.recovered(now_ms);
        match member.set(health, now_ms) {
            true => self.change(name),
            false => None,
        }
    }

    /// Direct evidence of failure: a broken connection or a probe without an answer.
    pub fn record_failure(&mut self, name: &str, now_ms: u64) -> Option<Change> {
        let timing = self.timing;
        let member = self.members.get_mut(name)?;
        member.last_failure_ms = Some(now_ms);
        let health = match member.health {
            Health::Alive => Health::Suspect,
            // A member that said it leaves and is gone has left.
            Health::Leaving => Health::Dead,
            Health::Suspect | Health::Dead => return None,
        };
        member.count_failure(&timing, now_ms);
        member.set(health, now_ms);
        self.change(name)
    }

    /// The operators mark a member as leaving; only a new incarnation ends it.
    pub fn mark_leaving(&mut self, name: &str, now_ms: u64) -> Option<Change> {
        let incarnation = self.members.get(name)?.incarnation;
        self.apply_row(name, incarnation, Health::Leaving, now_ms)
    }

    /// What the host list says. The list lags, so it only ends an existing suspicion early:
    /// it neither kills a member that answers nor revives one that does not.
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

    /// Time passes: suspects die, damped members recover, the dead are forgotten.
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
