//! Simulates a scenario: routers with incomplete, delayed knowledge of the load, and engines that
//! advance in steps.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet, VecDeque};

use jujubeusher::decide::fleet_counts::{Counts, Scope, next_changes};
use jujubeusher::ids::ServerId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::engine::{Engine, Progress};
use crate::report::{Outcome, Report};
use crate::router::Router;
use crate::scenario::{Policy, Scenario};
use crate::traffic::{Job, Traffic};

/// Interval at which a router publishes its counts, as in the product.
const COUNTS_PERIOD_MS: u64 = 200;
/// Counts in one message at most, as in the product.
const COUNTS_PER_MESSAGE_MAX: usize = 150;
/// Servers to which a request is sent at most, as in the product.
const ATTEMPTS_MAX: usize = 4;
/// Retry delay given to refused callers, as in the product.
const RETRY_AFTER_MS: std::ops::RangeInclusive<u64> = 250..=900;
/// Retries of a refused caller.
const RETRIES_MAX: u32 = 1;

#[derive(Debug, Clone)]
struct Request {
    job: Job,
    /// Time of the first attempt; a retry doesn't change it.
    arrived_ms: u64,
    retries: u32,
    /// Router and server that process the request, until it is complete.
    assigned: Option<(usize, usize)>,
}

impl Request {
    fn prompt_id(&self) -> u64 {
        self.job.parts.last().map_or(0, |part| part.id)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    StepEnd(usize),
    PublishCounts(usize),
    Retry(usize),
}

/// A directed link between two routers, over which counts are published.
#[derive(Debug)]
struct Link {
    to: usize,
    /// Number that the receiver gave to the link.
    number: u64,
    /// Counts that it carries: the sender's own, those of a seed's group, or those of the fleet.
    scope: Scope,
    last_sent: Counts,
}

/// State of a simulated fleet.
#[derive(Debug)]
pub struct Fleet {
    scenario: Scenario,
    policy: Policy,
    rng: ChaCha8Rng,
    routers: Vec<Router>,
    links: Vec<Vec<Link>>,
    engines: Vec<Engine>,
    /// Samples of each engine's load, every [`SAMPLE_INTERVAL_MS`], newest last.
    history: Vec<VecDeque<u32>>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    prefilled_parts: HashSet<u64>,
    report: Report,
}

/// Interval between samples of the engines' loads.
const SAMPLE_INTERVAL_MS: u64 = 10;

impl Fleet {
    /// Simulates a scenario. The same seed gives the same report.
    pub fn simulate(scenario: &Scenario, policy: Policy, seed: u64) -> Report {
        let mut fleet = Self::new(scenario, policy, seed);
        let traffic_rng = ChaCha8Rng::seed_from_u64(seed ^ 0x7472_6166);
        let mut traffic = Traffic::new(scenario.kinds.clone(), scenario.burst, traffic_rng);
        for now_ms in 0..scenario.length_ms {
            let shift_ms = scenario.time_factor_shift_ms;
            if shift_ms > 0 && now_ms.is_multiple_of(shift_ms) {
                fleet.shift_time_factors(now_ms / shift_ms);
            }
            fleet.run_events(now_ms * 1_000);
            for job in traffic.arrivals_at(now_ms) {
                let request = fleet.requests.len();
                fleet.requests.push(Request {
                    job: Job { id: request, ..job },
                    arrived_ms: now_ms,
                    retries: 0,
                    assigned: None,
                });
                fleet.arrive(request, now_ms);
            }
            if now_ms.is_multiple_of(SAMPLE_INTERVAL_MS) {
                fleet.sample_loads(now_ms);
            }
        }
        fleet.finish()
    }

    fn new(scenario: &Scenario, policy: Policy, seed: u64) -> Self {
        let servers: Vec<(ServerId, u32)> = (0..scenario.engines)
            .map(|index| {
                let id = ServerId::from(format!("s-{index}").as_str());
                (id, scenario.engine.slots)
            })
            .collect();
        let mut routers: Vec<Router> = (0..scenario.routers)
            .map(|_| Router::new(&servers, scenario.routers))
            .collect();
        let links = link_routers(&mut routers, scenario.seeds);
        let time_factors = scenario.time_factors.iter().cycle();
        let engines: Vec<Engine> = (0..scenario.engines)
            .zip(time_factors)
            .map(|(_, time_factor)| {
                Engine::new(crate::engine::EngineSpec {
                    time_factor: *time_factor,
                    ..scenario.engine
                })
            })
            .collect();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let events = (0..routers.len()).map(|router| {
            let phase_us = rng.random_range(0..COUNTS_PERIOD_MS) * 1_000;
            Reverse((phase_us, Event::PublishCounts(router)))
        });
        Self {
            events: events.collect(),
            history: vec![VecDeque::new(); engines.len()],
            report: Report::new(scenario, policy),
            scenario: scenario.clone(),
            policy,
            rng,
            routers,
            links,
            engines,
            requests: Vec::new(),
            prefilled_parts: HashSet::new(),
        }
    }

    fn run_events(&mut self, until_us: u64) {
        while let Some(Reverse((at_us, event))) = self.events.peek().copied() {
            if at_us > until_us {
                return;
            }
            self.events.pop();
            match event {
                Event::StepEnd(engine) => self.end_step(engine, at_us),
                Event::PublishCounts(router) => self.publish_counts(router, at_us),
                Event::Retry(request) => self.arrive(request, at_us / 1_000),
            }
        }
    }

    /// Delivers a request to a random router, which places or refuses it.
    fn arrive(&mut self, request: usize, now_ms: u64) {
        let router = self.rng.random_range(0..self.routers.len());
        let prompt = self.requests[request].prompt_id();
        let mut attempted = Vec::new();
        while attempted.len() < ATTEMPTS_MAX {
            let draw = self.rng.random();
            let picked =
                self.routers[router].choose_server(self.policy, prompt, &attempted, draw, now_ms);
            let Some(server) = picked else {
                break;
            };
            attempted.push(server);
            if self.send(request, router, server, now_ms) {
                return;
            }
        }
        self.refuse(request, now_ms);
    }

    fn send(&mut self, request: usize, router: usize, server: usize, now_ms: u64) -> bool {
        self.report.record_arrival(&self.engines, server, now_ms);
        let job = self.requests[request].job.clone();
        if self.engines[server].enqueue(job).is_err() {
            let load = self.reported_load(server);
            let speed = self.reported_speed(server);
            self.routers[router].apply_load_report(server, load, speed, now_ms);
            return false;
        }
        self.requests[request].assigned = Some((router, server));
        let prompt = self.requests[request].prompt_id();
        self.routers[router].record_sent(server, prompt, now_ms);
        if self.engines[server].is_idle() {
            self.start_step(server, now_ms * 1_000);
        }
        true
    }

    fn refuse(&mut self, request: usize, now_ms: u64) {
        if self.requests[request].retries >= RETRIES_MAX {
            let kind = self.requests[request].job.kind;
            self.report.record_outcome(kind, Outcome::Refused);
            return;
        }
        self.requests[request].retries += 1;
        let at_ms = now_ms + self.rng.random_range(RETRY_AFTER_MS);
        let event = Event::Retry(request);
        self.events.push(Reverse((at_ms * 1_000, event)));
    }

    fn start_step(&mut self, engine: usize, now_us: u64) {
        let prefilled_parts = &mut self.prefilled_parts;
        let length_us = self.engines[engine].start_step(|part| prefilled_parts.contains(&part));
        if let Some(length_us) = length_us {
            let event = Event::StepEnd(engine);
            self.events.push(Reverse((now_us + length_us, event)));
        }
    }

    fn end_step(&mut self, engine: usize, now_us: u64) {
        let now_ms = now_us / 1_000;
        for progress in self.engines[engine].end_step() {
            match progress {
                Progress::FirstToken(request) => self.record_first_token(request, engine, now_ms),
                Progress::Completed(request) => {
                    if let Some((router, server)) = self.requests[request].assigned.take() {
                        let prompt = self.requests[request].prompt_id();
                        self.routers[router].record_finished(server, prompt, now_ms);
                    }
                }
            }
        }
        self.start_step(engine, now_us);
    }

    fn record_first_token(&mut self, request: usize, engine: usize, now_ms: u64) {
        let load = self.reported_load(engine);
        let Request {
            job, arrived_ms, ..
        } = &self.requests[request];
        let first_token_ms = now_ms - arrived_ms;
        let is_late = first_token_ms > self.scenario.kinds[job.kind].goal_ms;
        let outcome = match is_late {
            true => Outcome::Late,
            false => Outcome::InTime,
        };
        self.report.record_outcome(job.kind, outcome);
        self.prefilled_parts
            .extend(job.parts.iter().map(|part| part.id));
        if let Some((router, server)) = self.requests[request].assigned {
            let speed = self.reported_speed(server);
            self.routers[router].apply_load_report(server, load, speed, now_ms);
        }
    }

    /// Time factor of an engine in percent, if responses report it.
    fn reported_speed(&self, engine: usize) -> Option<u32> {
        let factor = self.engines[engine].spec().time_factor;
        let percent = (factor * 100.0) as u32;
        Some(percent).filter(|_| self.scenario.reports_speed)
    }

    /// Moves each engine's time factor on to the next engine.
    fn shift_time_factors(&mut self, shifts: u64) {
        let factors = &self.scenario.time_factors;
        for (index, engine) in self.engines.iter_mut().enumerate() {
            engine.set_time_factor(factors[(index + shifts as usize) % factors.len()]);
        }
    }

    /// Load of an engine as its responses report it, which is `report_lag_ms` old.
    fn reported_load(&self, engine: usize) -> u32 {
        let samples = (self.scenario.report_lag_ms / SAMPLE_INTERVAL_MS) as usize;
        let history = &self.history[engine];
        let index = history.len().saturating_sub(samples + 1);
        history.get(index).copied().unwrap_or(0)
    }

    fn sample_loads(&mut self, now_ms: u64) {
        let samples = (self.scenario.report_lag_ms / SAMPLE_INTERVAL_MS) as usize + 1;
        for (history, engine) in self.history.iter_mut().zip(&self.engines) {
            history.push_back(engine.request_count());
            if history.len() > samples {
                history.pop_front();
            }
        }
        self.report.record_sample(&self.engines, now_ms);
    }

    /// Publishes a router's changed counts over its links.
    fn publish_counts(&mut self, router: usize, now_us: u64) {
        let now_ms = now_us / 1_000;
        let own = self.routers[router].own_counts();
        let group = self.routers[router].fleet_counts.subtree_counts(&own);
        let mut all = self.routers[router].fleet_counts.others(&own);
        for (server, count) in &own {
            *all.entry(*server).or_default() += count;
        }
        for link in &mut self.links[router] {
            let now = match link.scope {
                Scope::Subtree => &own,
                Scope::Group => &group,
                Scope::Fleet => &all,
            };
            let receiver = &mut self.routers[link.to];
            let changes = next_changes(&mut link.last_sent, now, COUNTS_PER_MESSAGE_MAX);
            receiver.fleet_counts.apply(link.number, changes);
            receiver.apply_counts(now_ms);
        }
        let at_us = now_us + COUNTS_PERIOD_MS * 1_000;
        self.events
            .push(Reverse((at_us, Event::PublishCounts(router))));
    }

    fn finish(mut self) -> Report {
        for engine in &self.engines {
            self.report.add_engine_counts(engine.counts);
        }
        self.report
    }
}

/// Links each router to one seed in both directions, and the seeds to each other.
fn link_routers(routers: &mut [Router], seeds: usize) -> Vec<Vec<Link>> {
    let count = routers.len();
    let mut links: Vec<Vec<Link>> = (0..count).map(|_| Vec::new()).collect();
    let mut link = |from: usize, to: usize, scope| {
        let number = routers[to].fleet_counts.open_link(scope);
        let last_sent = Counts::new();
        links[from].push(Link {
            to,
            number,
            scope,
            last_sent,
        });
    };
    for router in 0..count {
        let seed = router % seeds;
        if router >= seeds {
            link(router, seed, Scope::Subtree);
            link(seed, router, Scope::Fleet);
            continue;
        }
        for other in (0..seeds).filter(|other| *other != router) {
            link(router, other, Scope::Group);
        }
    }
    links
}
