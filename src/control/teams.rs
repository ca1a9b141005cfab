//! Teams' requests in flight, here and at other routers, and admission by them.

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;
use parking_lot::Mutex;

use crate::config::inventory::{Inventory, Target, Team};
use crate::decide::admit::{Decision, Request, decide};
use crate::decide::fair_share::{Grant, Shares};
use crate::edge::clock::Clock;
use crate::ids::{Class, RouterId, TeamId, Urgency};

/// Teams that one router tells others about: more than can be over their share of a router's
/// traffic, and a few hundred bytes per exchange.
pub const PUBLISHED_TEAMS_MAX: usize = 32;

/// Part of a threshold from which teams' use is exchanged: before shares matter, so that the
/// averages are known by then.
const CONTENDED: f64 = 0.5;
/// Age that another router's count may have: a period of the exchange and the way.
const UNSEEN_MS: u64 = 350;
/// How long the exchange goes on after the last such request.
const CONTENDED_KEEP_MS: u64 = 10_000;

/// This router's requests on one target.
#[derive(Debug, Clone, Copy, Default)]
struct OwnUse {
    now: u32,
    /// What the other routers were told last.
    told: u32,
}

#[derive(Debug, Default)]
struct State {
    shares: Shares,
    targets: IndexMap<Target, OwnUse>,
    /// Times of this router's latest starts on each target.
    starts: IndexMap<Target, VecDeque<u64>>,
    routers: usize,
    contended_ms: Option<u64>,
}

impl State {
    fn recent_starts(&mut self, target: &Target, now_ms: u64) -> usize {
        let Some(starts) = self.starts.get_mut(target) else {
            return 0;
        };
        while starts
            .front()
            .is_some_and(|at_ms| at_ms + UNSEEN_MS < now_ms)
        {
            starts.pop_front();
        }
        starts.len()
    }

    fn note_start(&mut self, target: &Target, now_ms: u64) {
        self.recent_starts(target, now_ms);
        self.starts
            .entry(target.clone())
            .or_default()
            .push_back(now_ms);
    }
}

/// Owner of the teams' use.
#[derive(Clone)]
pub struct Teams {
    clock: Arc<dyn Clock>,
    state: Arc<Mutex<State>>,
}

/// What admission looks at.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest<'a> {
    /// The caller's team.
    pub team: &'a Team,
    /// What is asked for.
    pub target: &'a Target,
    /// Whether the work may wait.
    pub urgency: Urgency,
    /// Estimated requests on all servers of the target.
    pub load: f64,
    /// Slots of all servers of the target.
    pub slots: f64,
    /// Usage up to which the class is admitted.
    pub threshold: f64,
}

fn grant(team: &Team) -> Grant {
    Grant {
        class: team.class,
        weight: team.weight,
    }
}

impl Teams {
    /// No request in flight.
    pub fn open(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            state: Arc::default(),
        }
    }

    /// Decides on a request, and counts it if it is admitted.
    pub fn admit(&self, ask: &AdmissionRequest<'_>) -> (Request, Result<TeamTicket, Decision>) {
        let now_ms = self.clock.monotonic_ms();
        let mut state = self.state.lock();
        let own = state.targets.get(ask.target).copied().unwrap_or_default();
        // The other routers do not know of these starts yet, and may be making as many.
        let untold = f64::from(own.now.saturating_sub(own.told));
        let others = state.routers.saturating_sub(1) as f64;
        let unseen = match ask.team.class {
            Class::Paying => untold * others,
            // The others' counts are up to UNSEEN_MS old even right after this router told its
            // own. All routers fill the room that a wave of finished free work leaves, so free
            // work assumes that each other router has just started as much as this one.
            Class::Free => state.recent_starts(ask.target, now_ms) as f64 * others,
        };
        let load = match ask.team.class {
            // Free work is cancelled where paying work needs its slots.
            Class::Paying => {
                let free = state.shares.class_in_flight(Class::Free);
                (ask.load - f64::from(free)).max(0.0)
            }
            Class::Free => ask.load,
        };
        let request = Request {
            class: ask.team.class,
            urgency: ask.urgency,
            usage: (load + unseen) / ask.slots.max(1.0),
            threshold: ask.threshold,
            level: state.shares.level(&ask.team.id, now_ms),
        };
        if request.usage >= CONTENDED * request.threshold {
            state.contended_ms = Some(now_ms);
        }
        let decision = decide(&request);
        if decision != Decision::Admit {
            return (request, Err(decision));
        }
        state.shares.start(&ask.team.id, grant(ask.team), now_ms);
        state.targets.entry(ask.target.clone()).or_default().now += 1;
        state.note_start(ask.target, now_ms);
        let ticket = TeamTicket {
            teams: self.clone(),
            team: ask.team.id.clone(),
            target: ask.target.clone(),
        };
        (request, Ok(ticket))
    }

    /// The heaviest teams at this router, to be told to the others; none while there is room
    /// for all.
    pub fn counts_to_publish(&self) -> Vec<(TeamId, u32)> {
        let now_ms = self.clock.monotonic_ms();
        let mut state = self.state.lock();
        for own in state.targets.values_mut() {
            own.told = own.now;
        }
        let since = state.contended_ms.map(|at_ms| now_ms.saturating_sub(at_ms));
        match since.is_some_and(|since_ms| since_ms < CONTENDED_KEEP_MS) {
            true => state.shares.heaviest(PUBLISHED_TEAMS_MAX),
            false => Vec::new(),
        }
    }

    /// Takes up another router's requests in flight for a team.
    pub fn set_peer_requests(&self, router: &RouterId, team: &Team, in_flight: u32) {
        let now_ms = self.clock.monotonic_ms();
        let mut state = self.state.lock();
        let shares = &mut state.shares;
        shares.other_router(router, &team.id, grant(team), in_flight, now_ms);
    }

    /// Forgets routers that are gone.
    pub fn retain_routers(&self, live: &[RouterId]) {
        let now_ms = self.clock.monotonic_ms();
        let mut state = self.state.lock();
        state.routers = live.len();
        state.shares.keep(|router| live.contains(router), now_ms);
    }

    /// Teams with their requests in flight: own, and at all routers as far as known.
    pub fn in_flight(&self) -> Vec<(TeamId, u32, u32)> {
        let state = self.state.lock();
        let teams = state.shares.in_flight();
        teams.map(|(id, own, all)| (id.clone(), own, all)).collect()
    }
}

/// One admitted request; dropping it counts it out.
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
            own.now = own.now.saturating_sub(1);
            own.told = own.told.min(own.now);
        }
    }
}

/// The usage up to which a class is admitted.
pub fn threshold(inventory: &Inventory, class: Class) -> f64 {
    match class {
        Class::Paying => inventory.rules.paying_threshold,
        Class::Free => inventory.rules.free_threshold,
    }
}

#[cfg(test)]
mod tests;
