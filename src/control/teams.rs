//! Teams' requests in flight, at this router and at others, and admission based on them.

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;
use parking_lot::Mutex;

use crate::config::inventory::{Inventory, Target, Team};
use crate::decide::admit::{Decision, Request, decide};
use crate::decide::fair_share::{Grant, Shares};
use crate::edge::clock::Clock;
use crate::ids::{Class, RouterId, TeamId, Urgency};

/// Maximum teams whose counts one router publishes. It exceeds the number of teams that can be
/// over their share of a router's traffic and costs a few hundred bytes per exchange.
pub const PUBLISHED_TEAMS_MAX: usize = 32;

/// Fraction of an admission threshold from which teams' counts are published. Shares affect
/// decisions only from a higher fraction on, so the averages are known by then.
const CONTENTION_RATIO: f64 = 0.5;
/// Maximum age of another router's count: one exchange period plus the transmission delay.
const PEER_COUNT_LAG_MS: u64 = 350;
/// Time for which counts are still published after the last request above that fraction.
const CONTENTION_KEEP_MS: u64 = 10_000;

/// This router's requests on one target.
#[derive(Debug, Clone, Copy, Default)]
struct OwnRequests {
    in_flight: u32,
    /// Number published last to the other routers.
    published: u32,
}

#[derive(Debug, Default)]
struct State {
    shares: Shares,
    targets: IndexMap<Target, OwnRequests>,
    /// Start times of this router's recent requests on each target.
    starts: IndexMap<Target, VecDeque<u64>>,
    routers: usize,
    contended_at_ms: Option<u64>,
}

impl State {
    fn recent_starts(&mut self, target: &Target, now_ms: u64) -> usize {
        let Some(starts) = self.starts.get_mut(target) else {
            return 0;
        };
        while starts
            .front()
            .is_some_and(|at_ms| at_ms + PEER_COUNT_LAG_MS < now_ms)
        {
            starts.pop_front();
        }
        starts.len()
    }

    fn record_start(&mut self, target: &Target, now_ms: u64) {
        self.recent_starts(target, now_ms);
        self.starts
            .entry(target.clone())
            .or_default()
            .push_back(now_ms);
    }
}

/// Teams' requests in flight. Clones share the same state.
#[derive(Clone)]
pub struct Teams {
    clock: Arc<dyn Clock>,
    state: Arc<Mutex<State>>,
}

/// Input of an admission decision.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest<'a> {
    /// Team of the caller.
    pub team: &'a Team,
    /// Requested model or service.
    pub target: &'a Target,
    /// Whether the request may be deferred.
    pub urgency: Urgency,
    /// Estimated number of requests on all servers of the target.
    pub load: f64,
    /// Slots of all servers of the target.
    pub slots: f64,
    /// Usage up to which requests of the team's class are admitted.
    pub threshold: f64,
}

fn grant(team: &Team) -> Grant {
    Grant {
        class: team.class,
        weight: team.weight,
    }
}

impl Teams {
    /// Creates a state without requests in flight.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            state: Arc::default(),
        }
    }

    /// Decides on a request and, if it is admitted, counts it until the ticket is dropped.
    pub fn admit(
        &self,
        admission: &AdmissionRequest<'_>,
    ) -> (Request, Result<TeamTicket, Decision>) {
        let now_ms = self.clock.monotonic_ms();
        let mut state = self.state.lock();
        let own = state
            .targets
            .get(admission.target)
            .copied()
            .unwrap_or_default();
        // The other routers do not know of these starts yet and may have started as many
        // themselves.
        let unpublished = f64::from(own.in_flight.saturating_sub(own.published));
        let others = state.routers.saturating_sub(1) as f64;
        let unseen = match admission.team.class {
            Class::Paying => unpublished * others,
            // The other routers' counts are up to PEER_COUNT_LAG_MS old even right after this
            // router published its own. When many free requests finish, all routers admit new
            // ones into the freed capacity, so a free request assumes that each other router
            // has recently started as many as this one.
            Class::Free => state.recent_starts(admission.target, now_ms) as f64 * others,
        };
        let load = match admission.team.class {
            // Free requests do not count, as they are cancelled if a paying one needs the slot.
            Class::Paying => {
                let free = state.shares.class_in_flight(Class::Free);
                (admission.load - f64::from(free)).max(0.0)
            }
            Class::Free => admission.load,
        };
        let request = Request {
            class: admission.team.class,
            urgency: admission.urgency,
            usage: (load + unseen) / admission.slots.max(1.0),
            threshold: admission.threshold,
            level: state.shares.level(&admission.team.id, now_ms),
        };
        if request.usage >= CONTENTION_RATIO * request.threshold {
            state.contended_at_ms = Some(now_ms);
        }
        let decision = decide(&request);
        if decision != Decision::Admit {
            return (request, Err(decision));
        }
        state
            .shares
            .start(&admission.team.id, grant(admission.team), now_ms);
        state
            .targets
            .entry(admission.target.clone())
            .or_default()
            .in_flight += 1;
        state.record_start(admission.target, now_ms);
        let ticket = TeamTicket {
            teams: self.clone(),
            team: admission.team.id.clone(),
            target: admission.target.clone(),
        };
        (request, Ok(ticket))
    }

    /// Requests in flight of the heaviest teams at this router, to be published to the others;
    /// empty while no target is near its threshold. Marks this router's counts as published.
    pub fn counts_to_publish(&self) -> Vec<(TeamId, u32)> {
        let now_ms = self.clock.monotonic_ms();
        let mut state = self.state.lock();
        for own in state.targets.values_mut() {
            own.published = own.in_flight;
        }
        let since = state
            .contended_at_ms
            .map(|at_ms| now_ms.saturating_sub(at_ms));
        match since.is_some_and(|since_ms| since_ms < CONTENTION_KEEP_MS) {
            true => state.shares.top_teams(PUBLISHED_TEAMS_MAX),
            false => Vec::new(),
        }
    }

    /// Sets another router's number of requests in flight for a team.
    pub fn set_peer_requests(&self, router: &RouterId, team: &Team, in_flight: u32) {
        let now_ms = self.clock.monotonic_ms();
        let mut state = self.state.lock();
        let shares = &mut state.shares;
        shares.record_peer_in_flight(router, &team.id, grant(team), in_flight, now_ms);
    }

    /// Removes the counts of routers that are not live.
    pub fn retain_routers(&self, live: &[RouterId]) {
        let now_ms = self.clock.monotonic_ms();
        let mut state = self.state.lock();
        state.routers = live.len();
        state.shares.prune(|router| live.contains(router), now_ms);
    }

    /// Teams with their requests in flight at this router, and at all routers as far as known.
    pub fn in_flight(&self) -> Vec<(TeamId, u32, u32)> {
        let state = self.state.lock();
        let teams = state.shares.in_flight();
        teams.map(|(id, own, all)| (id.clone(), own, all)).collect()
    }
}

/// One admitted request; dropping it ends the count.
pub struct TeamTicket {
    teams: Teams,
    team: TeamId,
    target: Target,
}

impl std::fmt::Debug for TeamTicket {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("TeamTicket").field(&self.team).finish()
    }
}

impl Drop for TeamTicket {
    fn drop(&mut self) {
        let now_ms = self.teams.clock.monotonic_ms();
        let mut state = self.teams.state.lock();
        state.shares.finish(&self.team, now_ms);
        if let Some(own) = state.targets.get_mut(&self.target) {
            own.in_flight = own.in_flight.saturating_sub(1);
            own.published = own.published.min(own.in_flight);
        }
    }
}

/// Usage up to which requests of a class are admitted.
pub fn threshold(inventory: &Inventory, class: Class) -> f64 {
    match class {
        Class::Paying => inventory.rules.paying_threshold,
        Class::Free => inventory.rules.free_threshold,
    }
}

#[cfg(test)]
mod tests;
