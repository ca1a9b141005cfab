//! Plays a scenario: routers that know little and late, engines that step.

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

/// Time between messages with counts, as in the product.
const COUNTS_PERIOD_MS: u64 = 200;
/// Counts in one message, as in the product.
const COUNTS_MAX: usize = 150;
/// Servers that a request is offered to at most, as in the product.
const SENDS_MAX: usize = 4;
/// Pause that refused callers are asked for, as in the product.
const RETRY_AFTER_MS: std::ops::RangeInclusive<u64> = 250..=900;
/// Times that a refused caller comes back.
const RETURNS: u32 = 1;

#[derive(Debug, Clone)]
struct Request {
    job: Job,
    first_ms: u64,
    returns: u32,
    /// Router and server that have it.
    at: Option<(usize, usize)>,
}

impl Request {
    fn prompt(&self) -> u64 {
        self.job.parts.last().map_or(0, |part| part.id)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    StepEnds(usize),
    CountsDue(usize),
    Returns(usize),
}

/// A link between two routers over which counts go.
#[derive(Debug)]
struct Link {
    to: usize,
    /// Number of the link at its receiver.
    number: u64,
    /// What it tells: own counts, those of a seed's group, or all.
    scope: Scope,
    told: Counts,
}

/// A fleet that is being played.
#[derive(Debug)]
pub struct Fleet {
    scenario: Scenario,
    policy: Policy,
    rng: ChaCha8Rng,
    routers: Vec<Router>,
    links: Vec<Vec<Link>>,
    engines: Vec<Engine>,
    /// Loads of the engines, a sample each 10 ms, the newest last.
    history: Vec<VecDeque<u32>>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    read_parts: HashSet<u64>,
    report: Report,
}

/// Time between samples of the engines' loads.
const SAMPLE_MS: u64 = 10;

impl Fleet {
    /// Plays a scenario from a seed; the same seed gives the same report.
    pub fn play(scenario: &Scenario, policy: Policy, seed: u64) -> Report {
        let mut fleet = Self::open(scenario, policy, seed);
        let traffic_rng = ChaCha8Rng::seed_from_u64(seed ^ 0x7472_6166);
        let mut traffic = Traffic::new(scenario.kinds.clone(), scenario.burst, traffic_rng);
        for now_ms in 0..scenario.length_ms {
            fleet.run_events(now_ms * 1_000);
            for job in traffic.within_ms(now_ms) {
                let request = fleet.requests.len();
                fleet.requests.push(Request {
                    job: Job { id: request, ..job },
                    first_ms: now_ms,
                    returns: 0,
                    at: None,
                });
                fleet.arrive(request, now_ms);
            }
            if now_ms.is_multiple_of(SAMPLE_MS) {
                fleet.sample(now_ms);
            }
        }
        fleet.finish()
    }

    fn open(scenario: &Scenario, policy: Policy, seed: u64) -> Self {
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
        let slowness = scenario.slowness.iter().cycle();
        let engines: Vec<Engine> = (0..scenario.engines)
            .zip(slowness)
            .map(|(_, slowness)| {
                Engine::new(crate::engine::EngineSpec {
                    slowness: *slowness,
                    ..scenario.engine
                })
            })
            .collect();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let events = (0..routers.len()).map(|router| {
            let phase_us = rng.random_range(0..COUNTS_PERIOD_MS) * 1_000;
            Reverse((phase_us, Event::CountsDue(router)))
        });
        Self {
            events: events.collect(),
            history: vec![VecDeque::new(); engines.len()],
            report: Report::open(scenario, policy),
            scenario: scenario.clone(),
            policy,
            rng,
            routers,
            links,
            engines,
            requests: Vec::new(),
            read_parts: HashSet::new(),
        }
    }

    fn run_events(&mut self, until_us: u64) {
        while let Some(Reverse((at_us, event))) = self.events.peek().copied() {
            if at_us > until_us {
                return;
            }
            self.events.pop();
            match event {
                Event::StepEnds(engine) => self.end_step(engine, at_us),
                Event::CountsDue(router) => self.tell_counts(router, at_us),
                Event::Returns(request) => self.arrive(request, at_us / 1_000),
            }
        }
    }

    /// A request reaches a router, which places or refuses it.
    fn arrive(&mut self, request: usize, now_ms: u64) {
        let router = self.rng.random_range(0..self.routers.len());
        let prompt = self.requests[request].prompt();
        let mut tried = Vec::new();
        while tried.len() < SENDS_MAX {
            let draw = self.rng.random();
            let picked = self.routers[router].pick(self.policy, prompt, &tried, draw, now_ms);
            let Some(server) = picked else {
                break;
            };
            tried.push(server);
            if self.send(request, router, server, now_ms) {
                return;
            }
        }
        self.refuse(request, now_ms);
    }

    fn send(&mut self, request: usize, router: usize, server: usize, now_ms: u64) -> bool {
        self.report.note_arrival(&self.engines, server, now_ms);
        let job = self.requests[request].job.clone();
        if self.engines[server].offer(job).is_err() {
            let held = self.lagged(server);
            self.routers[router].report(server, held, now_ms);
            return false;
        }
        self.requests[request].at = Some((router, server));
        let prompt = self.requests[request].prompt();
        self.routers[router].start(server, prompt, now_ms);
        if self.engines[server].is_idle() {
            self.begin_step(server, now_ms * 1_000);
        }
        true
    }

    fn refuse(&mut self, request: usize, now_ms: u64) {
        if self.requests[request].returns >= RETURNS {
            let kind = self.requests[request].job.kind;
            self.report.outcome(kind, Outcome::Refused);
            return;
        }
        self.requests[request].returns += 1;
        let at_ms = now_ms + self.rng.random_range(RETRY_AFTER_MS);
        let event = Event::Returns(request);
        self.events.push(Reverse((at_ms * 1_000, event)));
    }

    fn begin_step(&mut self, engine: usize, now_us: u64) {
        let read_parts = &mut self.read_parts;
        let length_us = self.engines[engine].begin_step(|part| read_parts.contains(&part));
        if let Some(length_us) = length_us {
            let event = Event::StepEnds(engine);
            self.events.push(Reverse((now_us + length_us, event)));
        }
    }

    fn end_step(&mut self, engine: usize, now_us: u64) {
        let now_ms = now_us / 1_000;
        for progress in self.engines[engine].end_step() {
            match progress {
                Progress::First(request) => self.begun(request, engine, now_ms),
                Progress::Done(request) => {
                    if let Some((router, server)) = self.requests[request].at.take() {
                        let prompt = self.requests[request].prompt();
                        self.routers[router].finish(server, prompt, now_ms);
                    }
                }
            }
        }
        self.begin_step(engine, now_us);
    }

    fn begun(&mut self, request: usize, engine: usize, now_ms: u64) {
        let held = self.lagged(engine);
        let Request { job, first_ms, .. } = &self.requests[request];
        let waited_ms = now_ms - first_ms;
        let is_late = waited_ms > self.scenario.kinds[job.kind].goal_ms;
        let outcome = match is_late {
            true => Outcome::Late,
            false => Outcome::InTime,
        };
        self.report.outcome(job.kind, outcome);
        self.read_parts.extend(job.parts.iter().map(|part| part.id));
        if let Some((router, server)) = self.requests[request].at {
            self.routers[router].report(server, held, now_ms);
        }
    }

    /// Load of an engine as its answers tell it.
    fn lagged(&self, engine: usize) -> u32 {
        let samples = (self.scenario.report_lag_ms / SAMPLE_MS) as usize;
        let history = &self.history[engine];
        let index = history.len().saturating_sub(samples + 1);
        history.get(index).copied().unwrap_or(0)
    }

    fn sample(&mut self, now_ms: u64) {
        let samples = (self.scenario.report_lag_ms / SAMPLE_MS) as usize + 1;
        for (history, engine) in self.history.iter_mut().zip(&self.engines) {
            history.push_back(engine.held());
            if history.len() > samples {
                history.pop_front();
            }
        }
        self.report.sample(&self.engines, now_ms);
    }

    /// A router tells its links what changed.
    fn tell_counts(&mut self, router: usize, now_us: u64) {
        let now_ms = now_us / 1_000;
        let own = self.routers[router].own();
        let group = self.routers[router].fleet.group_counts(&own);
        let mut all = self.routers[router].fleet.others(&own);
        for (server, count) in &own {
            *all.entry(*server).or_default() += count;
        }
        for link in &mut self.links[router] {
            let now = match link.scope {
                Scope::Own => &own,
                Scope::Group => &group,
                Scope::Fleet => &all,
            };
            let receiver = &mut self.routers[link.to];
            let changes = next_changes(&mut link.told, now, COUNTS_MAX);
            receiver.fleet.apply(link.number, changes);
            receiver.apply_counts(now_ms);
        }
        let at_us = now_us + COUNTS_PERIOD_MS * 1_000;
        self.events.push(Reverse((at_us, Event::CountsDue(router))));
    }

    fn finish(mut self) -> Report {
        for engine in &self.engines {
            self.report.engine(engine.counts);
        }
        self.report
    }
}

/// Links each router to a seed, and the seeds to each other.
fn link_routers(routers: &mut [Router], seeds: usize) -> Vec<Vec<Link>> {
    let count = routers.len();
    let mut links: Vec<Vec<Link>> = (0..count).map(|_| Vec::new()).collect();
    let mut link = |from: usize, to: usize, scope| {
        let number = routers[to].fleet.open_link(scope);
        let told = Counts::new();
        links[from].push(Link {
            to,
            number,
            scope,
            told,
        });
    };
    for router in 0..count {
        let seed = router % seeds;
        if router >= seeds {
            link(router, seed, Scope::Own);
            link(seed, router, Scope::Fleet);
            continue;
        }
        for other in (0..seeds).filter(|other| *other != router) {
            link(router, other, Scope::Group);
        }
    }
    links
}
