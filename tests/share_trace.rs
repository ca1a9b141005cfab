//! Capacity shares of teams across several routers, simulated with a test clock.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use jujubeusher::config::inventory::{Target, Team};
use jujubeusher::control::teams::{AdmissionRequest, TeamTicket, Teams};
use jujubeusher::edge::clock::Clock;
use jujubeusher::ids::{Class, ModelId, RouterId, TeamId, Urgency};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

#[derive(Default)]
struct TestClock(AtomicU64);

impl Clock for TestClock {
    fn monotonic_ms(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    fn wall_ms(&self) -> u64 {
        self.monotonic_ms()
    }
}

const ROUTERS: usize = 3;
const SLOTS: f64 = 24.0;
const EXCHANGE_MS: u64 = 250;
const REQUEST_DURATION_MS: u64 = 250;
const WARM_UP_MS: u64 = 10_000;
const LENGTH_MS: u64 = 60_000;

/// A team's callers. Each sends its next request when the previous one has completed, or after a
/// random pause (mean `pause_ms`) if it was refused.
#[derive(Clone)]
struct Demand {
    name: &'static str,
    class: Class,
    weight: u32,
    callers: usize,
    routers: usize,
    pause_ms: u64,
}

const EQUAL: Demand = Demand {
    name: "",
    class: Class::Paying,
    weight: 1,
    callers: 24,
    routers: ROUTERS,
    pause_ms: 200,
};

struct Simulation {
    clock: Arc<TestClock>,
    routers: Vec<Teams>,
    teams: Vec<Team>,
    /// Running requests of each router as last published to the others.
    published: Vec<f64>,
    /// Running requests of each router.
    own: Vec<f64>,
    /// Completed requests of each team after the warm-up.
    completed: Vec<f64>,
}

impl Simulation {
    fn open(demands: &[Demand]) -> Self {
        let clock = Arc::<TestClock>::default();
        let names: Vec<RouterId> = (0..ROUTERS).map(router_id).collect();
        let router = |_| {
            let teams = Teams::new(Arc::clone(&clock) as Arc<dyn Clock>);
            teams.retain_routers(&names);
            teams
        };
        let team = |demand: &Demand| Team {
            id: TeamId::from(demand.name),
            class: demand.class,
            weight: demand.weight,
        };
        Self {
            routers: (0..ROUTERS).map(router).collect(),
            teams: demands.iter().map(team).collect(),
            published: vec![0.0; ROUTERS],
            own: vec![0.0; ROUTERS],
            completed: vec![0.0; demands.len()],
            clock,
        }
    }

    fn exchange(&mut self) {
        for from in 0..ROUTERS {
            self.published[from] = self.own[from];
            let rows = self.routers[from].counts_to_publish();
            for to in (0..ROUTERS).filter(|to| *to != from) {
                for team in &self.teams {
                    let row = rows.iter().find(|(id, _)| *id == team.id);
                    let count = row.map_or(0, |(_, count)| *count);
                    self.routers[to].set_peer_requests(&router_id(from), team, count);
                }
            }
        }
    }

    fn admit(&self, router: usize, team: usize) -> Option<TeamTicket> {
        let target = Target::Model(ModelId::from("m"));
        let others: f64 = (0..ROUTERS)
            .filter(|other| *other != router)
            .map(|other| self.published[other])
            .sum();
        let request = AdmissionRequest {
            team: &self.teams[team],
            target: &target,
            urgency: Urgency::Interactive,
            load: self.own[router] + others,
            slots: SLOTS,
            threshold: 1.0,
        };
        self.routers[router].admit(&request).1.ok()
    }
}

fn router_id(index: usize) -> RouterId {
    RouterId::from(format!("r{index}").as_str())
}

/// Simulates the demands and returns the completed requests of each team after the warm-up.
fn simulate(demands: &[Demand]) -> Vec<f64> {
    let mut simulation = Simulation::open(demands);
    let mut random = StdRng::seed_from_u64(1);
    let mut wake_ups = BinaryHeap::new();
    let mut tickets: Vec<Option<(usize, TeamTicket)>> = Vec::new();
    for (team, demand) in demands.iter().enumerate() {
        for _ in 0..demand.callers {
            wake_ups.push(Reverse((
                random.random_range(0..1_000),
                tickets.len(),
                team,
            )));
            tickets.push(None);
        }
    }
    for now in 0..LENGTH_MS {
        simulation.clock.0.store(now, Ordering::Relaxed);
        if now.is_multiple_of(EXCHANGE_MS) {
            simulation.exchange();
        }
        while let Some(Reverse((_, caller, team))) =
            wake_ups.peek().copied().filter(|w| w.0.0 <= now)
        {
            wake_ups.pop();
            if let Some((router, _ticket)) = tickets[caller].take() {
                simulation.own[router] -= 1.0;
                simulation.completed[team] += f64::from(u8::from(now >= WARM_UP_MS));
            }
            let router = random.random_range(0..demands[team].routers);
            let ticket = simulation.admit(router, team);
            let wait = match ticket {
                Some(_) => REQUEST_DURATION_MS,
                None => random.random_range(1..2 * demands[team].pause_ms),
            };
            simulation.own[router] += f64::from(u8::from(ticket.is_some()));
            tickets[caller] = ticket.map(|ticket| (router, ticket));
            wake_ups.push(Reverse((now + wait, caller, team)));
        }
    }
    simulation.completed
}

/// Bound of requirement R9 on the relative difference between equal teams.
const DIFFERENCE_MAX: f64 = 0.05;

fn assert_equal(completed: &[f64]) {
    let mean = completed.iter().sum::<f64>() / completed.len() as f64;
    for count in completed {
        assert!(
            (count / mean - 1.0).abs() <= DIFFERENCE_MAX,
            "{completed:?}"
        );
    }
    let used = mean * completed.len() as f64 * REQUEST_DURATION_MS as f64
        / (LENGTH_MS - WARM_UP_MS) as f64
        / SLOTS;
    assert!(used > 0.8, "used fraction of the capacity: {used}");
}

/// Guards against shares that depend on the number of routers a team uses, on its number of callers
/// or on how soon they retry.
#[test]
fn shares_equal_teams_complete_equal_work() {
    let completed = simulate(&[
        Demand {
            name: "one-router",
            routers: 1,
            ..EQUAL
        },
        Demand {
            name: "all-routers",
            ..EQUAL
        },
        Demand {
            name: "hasty",
            pause_ms: 20,
            ..EQUAL
        },
        Demand {
            name: "many",
            callers: 96,
            ..EQUAL
        },
    ]);
    assert_equal(&completed);
}

/// Guards against limiting the other teams to the usage of a team with little demand.
#[test]
fn shares_unused_by_a_light_team_go_to_the_others() {
    let completed = simulate(&[
        Demand {
            name: "light",
            callers: 1,
            pause_ms: 1,
            ..EQUAL
        },
        Demand {
            name: "heavy-1",
            ..EQUAL
        },
        Demand {
            name: "heavy-2",
            routers: 1,
            ..EQUAL
        },
    ]);
    let most = (LENGTH_MS - WARM_UP_MS) as f64 / REQUEST_DURATION_MS as f64;
    assert!(completed[0] > 0.9 * most, "{completed:?}");
    assert!(
        (completed[1] / completed[2] - 1.0).abs() <= DIFFERENCE_MAX,
        "{completed:?}"
    );
    assert!(completed[1] > 8.0 * completed[0], "{completed:?}");
}

/// Guards against ignoring the weights that the inventory sets.
#[test]
fn shares_follow_the_weights() {
    let completed = simulate(&[
        Demand {
            name: "single",
            ..EQUAL
        },
        Demand {
            name: "double",
            weight: 2,
            ..EQUAL
        },
    ]);
    assert!(
        (completed[1] / completed[0] / 2.0 - 1.0).abs() <= DIFFERENCE_MAX,
        "{completed:?}"
    );
}
