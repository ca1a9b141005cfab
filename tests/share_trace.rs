//! Shares of teams over several routers, replayed with a clock of the test.

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
const RUN_MS: u64 = 250;
const LEAD_MS: u64 = 10_000;
const LENGTH_MS: u64 = 60_000;

/// A team's callers, each of which asks again as soon as it may.
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

struct Run {
    clock: Arc<TestClock>,
    routers: Vec<Teams>,
    teams: Vec<Team>,
    /// Requests of each router that the others know of.
    told: Vec<f64>,
    own: Vec<f64>,
    done: Vec<f64>,
}

impl Run {
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
            told: vec![0.0; ROUTERS],
            own: vec![0.0; ROUTERS],
            done: vec![0.0; demands.len()],
            clock,
        }
    }

    fn exchange(&mut self) {
        for from in 0..ROUTERS {
            self.told[from] = self.own[from];
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

    fn ask(&self, router: usize, team: usize) -> Option<TeamTicket> {
        let target = Target::Model(ModelId::from("m"));
        let others: f64 = (0..ROUTERS)
            .filter(|other| *other != router)
            .map(|other| self.told[other])
            .sum();
        let ask = AdmissionRequest {
            team: &self.teams[team],
            target: &target,
            urgency: Urgency::Interactive,
            load: self.own[router] + others,
            slots: SLOTS,
            threshold: 1.0,
        };
        self.routers[router].admit(&ask).1.ok()
    }
}

fn router_id(index: usize) -> RouterId {
    RouterId::from(format!("r{index}").as_str())
}

/// Completed requests of each team after the lead.
fn run(demands: &[Demand]) -> Vec<f64> {
    let mut run = Run::open(demands);
    let mut random = StdRng::seed_from_u64(1);
    let mut wakes = BinaryHeap::new();
    let mut tickets: Vec<Option<(usize, TeamTicket)>> = Vec::new();
    for (team, demand) in demands.iter().enumerate() {
        for _ in 0..demand.callers {
            wakes.push(Reverse((
                random.random_range(0..1_000),
                tickets.len(),
                team,
            )));
            tickets.push(None);
        }
    }
    for now in 0..LENGTH_MS {
        run.clock.0.store(now, Ordering::Relaxed);
        if now.is_multiple_of(EXCHANGE_MS) {
            run.exchange();
        }
        while let Some(Reverse((_, caller, team))) = wakes.peek().copied().filter(|w| w.0.0 <= now)
        {
            wakes.pop();
            if let Some((router, _ticket)) = tickets[caller].take() {
                run.own[router] -= 1.0;
                run.done[team] += f64::from(u8::from(now >= LEAD_MS));
            }
            let router = random.random_range(0..demands[team].routers);
            let ticket = run.ask(router, team);
            let wait = match ticket {
                Some(_) => RUN_MS,
                None => random.random_range(1..2 * demands[team].pause_ms),
            };
            run.own[router] += f64::from(u8::from(ticket.is_some()));
            tickets[caller] = ticket.map(|ticket| (router, ticket));
            wakes.push(Reverse((now + wait, caller, team)));
        }
    }
    run.done
}

/// Bound of requirement R9 on the difference between equal teams.
const FAIR: f64 = 0.05;

fn assert_equal(done: &[f64]) {
    let mean = done.iter().sum::<f64>() / done.len() as f64;
    for count in done {
        assert!((count / mean - 1.0).abs() <= FAIR, "{done:?}");
    }
    let used = mean * done.len() as f64 * RUN_MS as f64 / (LENGTH_MS - LEAD_MS) as f64 / SLOTS;
    assert!(used > 0.8, "capacity used {used}");
}

/// Guards against shares by router, and by how hard a team's callers press.
#[test]
fn shares_equal_teams_complete_equal_work() {
    let done = run(&[
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
    assert_equal(&done);
}

/// Guards against a team with little demand that holds the others down to its own use.
#[test]
fn shares_unused_by_a_light_team_go_to_the_others() {
    let done = run(&[
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
    let most = (LENGTH_MS - LEAD_MS) as f64 / RUN_MS as f64;
    assert!(done[0] > 0.9 * most, "{done:?}");
    assert!((done[1] / done[2] - 1.0).abs() <= FAIR, "{done:?}");
    assert!(done[1] > 8.0 * done[0], "{done:?}");
}

/// Guards against equal work where the inventory sets weights.
#[test]
fn shares_follow_the_weights() {
    let done = run(&[
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
    assert!((done[1] / done[0] / 2.0 - 1.0).abs() <= FAIR, "{done:?}");
}
