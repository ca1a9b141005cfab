//! Simulation of several routers that choose servers for one trace of arrivals; each router sees
//! the servers' loads only with a delay.

#![allow(
    dead_code,
    reason = "the test and the measuring program use different parts"
)]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::ops::Range;

use jujubeusher::decide::choose::Policy;
use jujubeusher::decide::load::{Report, ServerLoad};
use jujubeusher::decide::trace::{Choose, Line, ServerInput};
use jujubeusher::ids::{ChatId, Incarnation, ServerId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SECOND_MS: u64 = 1_000;
const PROBE_INTERVAL_MS: u64 = 500;
const HISTORY_INTERVAL_MS: u64 = 10;
const SAMPLE_INTERVAL_MS: u64 = 100;
/// Samples in one mean: 5 s, less than a request's mean duration of 7.5 s.
const WINDOW_SAMPLES: u64 = 50;
/// Delay between one router's detection of a change and the next router's.
const NOTICE_DELAY_MS: u64 = 200;

/// One request of the trace.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at_ms: u64,
    pub chat: u64,
    pub duration_ms: u64,
    pub router: usize,
}

/// Change of a server's state.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    Join,
    Fail,
    StopReports,
    StartReports,
}

/// Inputs of a replay.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub policy: Policy,
    pub routers: usize,
    /// Number of slots of each server.
    pub slots: Vec<u32>,
    /// Mean number of running requests per slot.
    pub load_per_slot: f64,
    pub has_hints: bool,
    pub report_lag_ms: u64,
    /// Interval at which routers exchange their counts of requests in flight; 0 disables it.
    pub peer_exchange_ms: u64,
    /// Start (ms), end (ms) and factor by which the arrivals of the surging teams rise.
    pub surge: Option<(u64, u64, f64)>,
    pub changes: Vec<(u64, usize, Change)>,
    /// Indices of servers that join only through a change.
    pub absent_at_start: Vec<usize>,
    pub length_ms: u64,
    /// Period whose choices are recorded as trace lines.
    pub recorded_ms: Range<u64>,
    /// Start of the measurement.
    pub measure_from_ms: u64,
}

impl Scenario {
    /// Constant traffic on twelve unequal servers and seven routers, with load reports 1 s late.
    pub fn steady(policy: Policy) -> Self {
        Self {
            policy,
            routers: 7,
            slots: vec![32, 48, 64, 32, 48, 64, 32, 48, 64, 48, 48, 48],
            load_per_slot: 0.65,
            has_hints: true,
            report_lag_ms: SECOND_MS,
            peer_exchange_ms: 250,
            surge: None,
            changes: Vec::new(),
            absent_at_start: Vec::new(),
            length_ms: 400 * SECOND_MS,
            recorded_ms: 0..0,
            measure_from_ms: 200 * SECOND_MS,
        }
    }

    /// All scenarios of requirement R1, with their names.
    pub fn all(policy: Policy) -> Vec<(&'static str, Self)> {
        let with = |change: &dyn Fn(&mut Self)| {
            let mut scenario = Self::steady(policy);
            change(&mut scenario);
            scenario
        };
        let flap = |at| [(at, 6, Change::Fail), (at + 3_000, 6, Change::Join)];
        vec![
            ("steady", with(&|_| {})),
            (
                "one_lost",
                with(&|s| s.changes = vec![(230_000, 3, Change::Fail)]),
            ),
            (
                "one_joins",
                with(&|s| {
                    s.absent_at_start = vec![4];
                    s.changes = vec![(230_000, 4, Change::Join)];
                }),
            ),
            (
                "flapping",
                with(&|s| {
                    s.changes = [230_000, 240_000, 250_000]
                        .into_iter()
                        .flat_map(flap)
                        .collect();
                }),
            ),
            (
                "three_teams_surge",
                with(&|s| s.surge = Some((230_000, 290_000, 3.0))),
            ),
            (
                "reports_stop",
                with(&|s| {
                    s.changes = vec![
                        (230_000, 2, Change::StopReports),
                        (290_000, 2, Change::StartReports),
                    ];
                }),
            ),
            (
                "cold_fleet",
                with(&|s| {
                    s.length_ms = 60_000;
                    s.measure_from_ms = 3_000;
                }),
            ),
        ]
    }

    /// Returns the scenario of [`Self::all`] with this name.
    pub fn named(policy: Policy, name: &str) -> Self {
        let found = Self::all(policy).into_iter().find(|(n, _)| *n == name);
        found.expect("a known scenario").1
    }
}

/// Measurements of a replay.
#[derive(Debug, Clone, Default)]
pub struct ReplayResult {
    /// Highest ratio of a server's load per slot to the mean load per slot in any sample.
    pub skew_max: f64,
    /// Highest mean of that ratio over 5 s.
    pub skew_mean_5s: f64,
    /// 99th percentile of the samples' highest ratio.
    pub skew_p99: f64,
    /// Fraction of returning requests that reached the server with their cache.
    pub reuse: f64,
    pub returning: u64,
    /// Recorded choices.
    pub lines: Vec<Line>,
}

impl ReplayResult {
    /// Formats the result as a row of a Markdown table.
    pub fn row(&self, name: &str) -> String {
        format!(
            "| {name} | {:.3} | {:.2} | {:.2} | {:.4} | {} |",
            self.skew_mean_5s, self.skew_p99, self.skew_max, self.reuse, self.returning
        )
    }
}

const TEAMS: u64 = 10;
const SURGING_TEAMS: u64 = 3;
const DURATION_MEAN_MS: f64 = 7_500.0;
const THINK_MEAN_MS: f64 = 45_000.0;
const TURNS_MEAN: f64 = 6.0;

fn exponential(random: &mut StdRng, mean: f64) -> f64 {
    -mean * (1.0 - random.random::<f64>()).ln()
}

/// Generates the arrivals of a scenario; the same for all policies.
pub fn arrivals(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let mut random = StdRng::seed_from_u64(seed);
    let slots: u32 = scenario.slots.iter().sum();
    let turns_per_ms = f64::from(slots) * scenario.load_per_slot / DURATION_MEAN_MS;
    let chats_per_ms = turns_per_ms / TURNS_MEAN;
    let mut all = Vec::new();
    let mut chat = 0;
    // Chats that began before the start give a steady mix of first and later requests.
    let (mut at, warm_up_ms) = (0.0, 600_000.0);
    let factor_max = scenario.surge.map_or(1.0, |s| s.2);
    while at < scenario.length_ms as f64 + warm_up_ms {
        at += exponential(&mut random, 1.0 / (chats_per_ms * factor_max));
        chat += 1;
        let team = chat % TEAMS;
        let is_surge = scenario.surge.is_some_and(|(from, until, _)| {
            team < SURGING_TEAMS && at >= from as f64 + warm_up_ms && at < until as f64 + warm_up_ms
        });
        if !is_surge && random.random::<f64>() > 1.0 / factor_max {
            continue;
        }
        let mut turn_at = at;
        loop {
            let duration_ms = exponential(&mut random, DURATION_MEAN_MS).max(50.0);
            if turn_at >= warm_up_ms && turn_at < scenario.length_ms as f64 + warm_up_ms {
                all.push(Arrival {
                    at_ms: (turn_at - warm_up_ms) as u64,
                    chat,
                    duration_ms: duration_ms as u64,
                    router: random.random_range(0..scenario.routers),
                });
            }
            turn_at += duration_ms + exponential(&mut random, THINK_MEAN_MS);
            if random.random::<f64>() < 1.0 / TURNS_MEAN {
                break;
            }
        }
    }
    all.sort_by_key(|a| (a.at_ms, a.chat));
    all
}

struct Server {
    id: ServerId,
    slots: u32,
    is_up: bool,
    changed_ms: u64,
    has_reports: bool,
    incarnation: u64,
    load: u32,
    history: Vec<u32>,
}

/// State of a running replay.
pub struct Replay<'a> {
    scenario: &'a Scenario,
    servers: Vec<Server>,
    routers: Vec<Vec<ServerLoad>>,
    random: StdRng,
    last_servers: HashMap<u64, usize>,
    finishes: BinaryHeap<Reverse<(u64, usize, usize, u64)>>,
    published_counts: Vec<Vec<u32>>,
    lines: Vec<Line>,
    samples: Vec<f64>,
    window: Vec<f64>,
    windows: Vec<f64>,
    cache_hits: u64,
    returning: u64,
}

impl<'a> Replay<'a> {
    pub fn run(scenario: &'a Scenario, trace: &[Arrival]) -> ReplayResult {
        let servers = scenario.slots.iter().enumerate().map(|(i, slots)| Server {
            id: ServerId::from(format!("e{i}").as_str()),
            slots: *slots,
            is_up: !scenario.absent_at_start.contains(&i),
            changed_ms: 0,
            has_reports: true,
            incarnation: 1,
            load: 0,
            history: Vec::new(),
        });
        let mut replay = Self {
            scenario,
            servers: servers.collect(),
            routers: vec![vec![ServerLoad::default(); scenario.slots.len()]; scenario.routers],
            random: StdRng::seed_from_u64(1),
            last_servers: HashMap::new(),
            finishes: BinaryHeap::new(),
            published_counts: vec![vec![0; scenario.slots.len()]; scenario.routers],
            lines: Vec::new(),
            samples: Vec::new(),
            window: vec![0.0; scenario.slots.len()],
            windows: Vec::new(),
            cache_hits: 0,
            returning: 0,
        };
        let mut next = trace.iter().peekable();
        for now in 0..scenario.length_ms {
            replay.finish_requests_until(now);
            replay.apply_changes(now);
            while let Some(arrival) = next.next_if(|a| a.at_ms <= now) {
                replay.dispatch(arrival, now);
            }
            if now.is_multiple_of(SAMPLE_INTERVAL_MS) {
                replay.sample(now);
            }
            replay.probe(now);
            replay.exchange_counts(now);
        }
        replay.result()
    }

    fn finish_requests_until(&mut self, now: u64) {
        while let Some(Reverse((at, router, server, incarnation))) = self.finishes.peek().copied() {
            if at > now {
                return;
            }
            self.finishes.pop();
            self.routers[router][server].finish(now);
            if self.servers[server].incarnation == incarnation {
                self.servers[server].load -= 1;
            }
        }
    }

    fn apply_changes(&mut self, now: u64) {
        for (_, index, change) in self.scenario.changes.iter().filter(|c| c.0 == now) {
            let server = &mut self.servers[*index];
            if matches!(change, Change::Join | Change::Fail) {
                server.changed_ms = now;
            }
            match change {
                Change::Join => server.is_up = true,
                Change::Fail => {
                    server.is_up = false;
                    server.load = 0;
                    server.incarnation += 1;
                    server.history.clear();
                }
                Change::StopReports => server.has_reports = false,
                Change::StartReports => server.has_reports = true,
            }
        }
    }

    /// Delivers each server's load to each router, at a different time for each pair and
    /// `report_lag_ms` late.
    fn probe(&mut self, now: u64) {
        for (index, server) in self.servers.iter_mut().enumerate() {
            if !server.is_up {
                continue;
            }
            if now.is_multiple_of(HISTORY_INTERVAL_MS) {
                server.history.push(server.load);
            }
            let lag_steps = (self.scenario.report_lag_ms / HISTORY_INTERVAL_MS) as usize;
            for (number, router) in self.routers.iter_mut().enumerate() {
                let phase = (index as u64 * 71 + number as u64 * 13) % PROBE_INTERVAL_MS;
                if now % PROBE_INTERVAL_MS != phase || !server.has_reports {
                    continue;
                }
                let Some(at) = server.history.len().checked_sub(lag_steps + 1) else {
                    continue;
                };
                router[index].apply_report(Report {
                    incarnation: Incarnation(server.incarnation),
                    held: server.history[at],
                    slots: server.slots,
                    as_of_ms: now - self.scenario.report_lag_ms,
                });
            }
        }
    }

    /// Sends each router's counts of its own requests in flight to all other routers.
    fn exchange_counts(&mut self, now: u64) {
        let period = self.scenario.peer_exchange_ms;
        if period == 0 || !now.is_multiple_of(period) {
            return;
        }
        for from in 0..self.routers.len() {
            for server in 0..self.servers.len() {
                let after = self.routers[from][server].own_in_flight();
                let before = std::mem::replace(&mut self.published_counts[from][server], after);
                for to in (0..self.routers.len()).filter(|to| *to != from) {
                    let at_ms = now.saturating_sub(period / 2);
                    self.routers[to][server].record_peer_count(at_ms, before, after);
                }
            }
        }
    }

    /// Whether a router regards a server as alive; routers detect a change one after the other.
    fn is_seen_alive(&self, router: usize, server: &Server, now: u64) -> bool {
        let delay = NOTICE_DELAY_MS * router as u64;
        server.is_up == (server.changed_ms == 0 || now >= server.changed_ms + delay)
    }

    fn dispatch(&mut self, arrival: &Arrival, now: u64) {
        let view = &self.routers[arrival.router];
        let up: Vec<usize> = (0..self.servers.len())
            .filter(|i| self.is_seen_alive(arrival.router, &self.servers[*i], now))
            .collect();
        let input = |i: &usize| ServerInput {
            id: self.servers[*i].id.clone(),
            slots: self.servers[*i].slots,
            view: view[*i].view(now),
        };
        let last_server = self.last_servers.get(&arrival.chat).copied();
        let home = last_server.filter(|_| self.scenario.has_hints);
        let is_home_up = home.is_some_and(|home| up.contains(&home));
        let mut choice = Choose {
            at_ms: now,
            policy: self.scenario.policy,
            load_bound: 1.25,
            chat: ChatId(arrival.chat.wrapping_mul(0x9E37_79B9_7F4A_7C15)),
            home: home
                .filter(|_| is_home_up)
                .map(|i| self.servers[i].id.clone()),
            is_new: self.scenario.has_hints && !is_home_up,
            draw: self.random.random(),
            servers: up.iter().map(input).collect(),
            outcome: Vec::new(),
        };
        let chosen = choice.decide();
        // A failed server refuses the connection; the router then tries the next one.
        let is_chosen = |id: &ServerId| {
            let found = up.iter().copied().find(|i| self.servers[*i].id == *id);
            found.filter(|i| self.servers[*i].is_up)
        };
        let index = chosen.iter().find_map(is_chosen).expect("a live server");
        if self.scenario.recorded_ms.contains(&now) {
            choice.outcome = chosen;
            self.lines.push(Line::Choose(choice));
        }
        if let Some(last_server) = last_server.filter(|_| now >= self.scenario.measure_from_ms) {
            self.returning += 1;
            self.cache_hits += u64::from(last_server == index);
        }
        self.last_servers.insert(arrival.chat, index);
        self.routers[arrival.router][index].start(now);
        self.servers[index].load += 1;
        let incarnation = self.servers[index].incarnation;
        self.finishes.push(Reverse((
            now + arrival.duration_ms,
            arrival.router,
            index,
            incarnation,
        )));
    }

    fn sample(&mut self, now: u64) {
        if now < self.scenario.measure_from_ms {
            return;
        }
        let up = || self.servers.iter().filter(|s| s.is_up);
        let load: u32 = up().map(|s| s.load).sum();
        let slots: u32 = up().map(|s| s.slots).sum();
        let mean = f64::from(load) / f64::from(slots);
        let highest = up()
            .map(|s| f64::from(s.load) / f64::from(s.slots))
            .fold(0.0, f64::max);
        if load == 0 {
            return;
        }
        self.samples.push(highest / mean);
        for (sum, server) in self.window.iter_mut().zip(&self.servers) {
            *sum += match server.is_up {
                true => f64::from(server.load) / f64::from(server.slots) / mean,
                false => 0.0,
            };
        }
        if (self.samples.len() as u64).is_multiple_of(WINDOW_SAMPLES) {
            let highest = self.window.iter().copied().fold(0.0, f64::max);
            self.windows.push(highest / WINDOW_SAMPLES as f64);
            self.window.fill(0.0);
        }
    }

    fn result(mut self) -> ReplayResult {
        self.samples.sort_by(f64::total_cmp);
        let at = |part: f64| self.samples[((self.samples.len() - 1) as f64 * part) as usize];
        ReplayResult {
            skew_max: at(1.0),
            skew_mean_5s: self.windows.iter().copied().fold(0.0, f64::max),
            skew_p99: at(0.99),
            reuse: self.cache_hits as f64 / self.returning.max(1) as f64,
            returning: self.returning,
            lines: self.lines,
        }
    }
}
