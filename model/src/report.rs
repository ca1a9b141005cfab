//! Results of a run.

use std::fmt::Write as _;

use crate::engine::{Engine, EngineCounts};
use crate::scenario::{Policy, Scenario};

/// Outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The first token came within the goal, measured from the caller's first attempt.
    InTime,
    /// The first token came after the goal.
    Late,
    /// The request and its retry were refused.
    Refused,
}

/// Number of requests of one kind by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct KindCounts {
    /// Requests whose first token came within the goal.
    pub in_time: u64,
    /// Requests whose first token came after the goal.
    pub late: u64,
    /// Requests that were refused.
    pub refused: u64,
}

impl KindCounts {
    /// Share of the requests that were served in time.
    pub fn in_time_share(&self) -> f64 {
        let all = self.in_time + self.late + self.refused;
        self.in_time as f64 / all.max(1) as f64
    }

    /// Share of the requests that were served late.
    pub fn late_share(&self) -> f64 {
        let all = self.in_time + self.late + self.refused;
        self.late as f64 / all.max(1) as f64
    }
}

/// Arrivals at the engines within one span of [`SPAN_MS`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Span {
    arrivals: u64,
    /// Arrivals at an engine whose load was over the platform's bound.
    over_bound: u64,
}

/// Length of the spans that are summed up to sliding windows.
const SPAN_MS: u64 = 250;
/// Interval between the samples whose ratios are compared.
const RATIO_INTERVAL_MS: u64 = 100;
/// Length of the window in which the platform measures arrivals at crowded servers.
const WINDOW_MS: u64 = 5_000;
/// The platform's bound on a server's load: `BOUND_TIMES_MEAN` times the mean plus `BOUND_BEYOND`
/// requests. A server over it is crowded.
const BOUND_TIMES_MEAN: f64 = 2.0;
const BOUND_BEYOND: f64 = 3.0;

/// Loads of the engines at one point in time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sample {
    /// Time since the start of the run, in ms.
    pub at_ms: u64,
    /// Mean load over the engines.
    pub mean: f64,
    /// Highest load of an engine.
    pub highest: u32,
}

/// Results of one run.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Simulated policy.
    pub policy: Policy,
    /// Kinds of request by name, and their outcomes.
    pub kinds: Vec<(&'static str, KindCounts)>,
    /// Samples of the loads, in order of time.
    pub samples: Vec<Sample>,
    /// Counters summed over the engines.
    pub engines: EngineCounts,
    spans: Vec<Span>,
}

impl Report {
    /// Creates a report without outcomes.
    pub fn new(scenario: &Scenario, policy: Policy) -> Self {
        let kinds = scenario.kinds.iter();
        Self {
            policy,
            kinds: kinds
                .map(|kind| (kind.name, KindCounts::default()))
                .collect(),
            samples: Vec::new(),
            engines: EngineCounts::default(),
            spans: vec![Span::default(); (scenario.length_ms / SPAN_MS) as usize + 1],
        }
    }

    /// Records the outcome of a request of the given kind.
    pub fn record_outcome(&mut self, kind: usize, outcome: Outcome) {
        let counts = &mut self.kinds[kind].1;
        match outcome {
            Outcome::InTime => counts.in_time += 1,
            Outcome::Late => counts.late += 1,
            Outcome::Refused => counts.refused += 1,
        }
    }

    /// Records the arrival of a request at an engine, before the engine enqueues it.
    pub fn record_arrival(&mut self, engines: &[Engine], server: usize, now_ms: u64) {
        let total: u32 = engines.iter().map(Engine::request_count).sum();
        let mean = f64::from(total) / engines.len() as f64;
        let bound = BOUND_TIMES_MEAN * mean + BOUND_BEYOND;
        let span = &mut self.spans[(now_ms / SPAN_MS) as usize];
        span.arrivals += 1;
        span.over_bound += u64::from(f64::from(engines[server].request_count()) > bound);
    }

    /// Records a sample of the loads.
    pub fn record_sample(&mut self, engines: &[Engine], at_ms: u64) {
        let loads = engines.iter().map(Engine::request_count);
        let total: u32 = loads.clone().sum();
        self.samples.push(Sample {
            at_ms,
            mean: f64::from(total) / engines.len() as f64,
            highest: loads.max().unwrap_or(0),
        });
    }

    /// Adds an engine's counters to the sums.
    pub fn add_engine_counts(&mut self, counts: EngineCounts) {
        self.engines.reread_tokens += counts.reread_tokens;
        self.engines.preempted += counts.preempted;
        self.engines.repeated += counts.repeated;
        self.engines.missed += counts.missed;
    }

    /// Share of the arrivals at engines over the platform's bound, in the window where it is
    /// highest.
    pub fn highest_over_bound_share(&self) -> f64 {
        let length = (WINDOW_MS / SPAN_MS) as usize;
        let shares = self.spans.windows(length).map(|window| {
            let arrivals: u64 = window.iter().map(|span| span.arrivals).sum();
            let over_bound: u64 = window.iter().map(|span| span.over_bound).sum();
            over_bound as f64 / arrivals.max(1) as f64
        });
        shares.fold(0.0, f64::max)
    }

    /// Share of the arrivals at engines over the platform's bound, for each second.
    pub fn over_bound_share_by_second(&self) -> Vec<f64> {
        let seconds = self.spans.chunks((1_000 / SPAN_MS) as usize);
        let share = |spans: &[Span]| {
            let arrivals: u64 = spans.iter().map(|span| span.arrivals).sum();
            let over_bound: u64 = spans.iter().map(|span| span.over_bound).sum();
            over_bound as f64 / arrivals.max(1) as f64
        };
        seconds.map(share).collect()
    }

    /// Share of the requests with a shared prompt that ran before which went to an engine that did
    /// not hold it.
    pub fn missed_share(&self) -> f64 {
        self.engines.missed as f64 / self.engines.repeated.max(1) as f64
    }

    /// Share of all arrivals between two times that met an engine over the platform's bound.
    pub fn over_bound_share(&self, from_ms: u64, to_ms: u64) -> f64 {
        let spans = &self.spans[(from_ms / SPAN_MS) as usize..(to_ms / SPAN_MS) as usize];
        let arrivals: u64 = spans.iter().map(|span| span.arrivals).sum();
        let over_bound: u64 = spans.iter().map(|span| span.over_bound).sum();
        over_bound as f64 / arrivals.max(1) as f64
    }

    /// Ratios of the highest load to the mean between two times, every 100 ms, in ascending order.
    pub fn load_ratios(&self, from_ms: u64, to_ms: u64) -> Vec<f64> {
        let samples = self.samples.iter().filter(|sample| {
            (from_ms..to_ms).contains(&sample.at_ms)
                && sample.at_ms.is_multiple_of(RATIO_INTERVAL_MS)
                && sample.mean >= 1.0
        });
        let mut ratios: Vec<f64> = samples.map(|s| f64::from(s.highest) / s.mean).collect();
        ratios.sort_by(f64::total_cmp);
        ratios
    }

    /// Number of requests of all kinds by outcome.
    pub fn total(&self) -> KindCounts {
        let mut total = KindCounts::default();
        for (_, counts) in &self.kinds {
            total.in_time += counts.in_time;
            total.late += counts.late;
            total.refused += counts.refused;
        }
        total
    }

    /// Lowest share of requests served in time among the kinds.
    pub fn worst_kind_share(&self) -> f64 {
        let shares = self.kinds.iter().map(|(_, counts)| counts.in_time_share());
        shares.fold(1.0, f64::min)
    }

    /// Highest ratio of the highest load to the mean, over samples with a mean of at least 1.
    pub fn highest_over_mean(&self) -> f64 {
        let samples = self.samples.iter().filter(|sample| sample.mean >= 1.0);
        let ratios = samples.map(|sample| f64::from(sample.highest) / sample.mean);
        ratios.fold(0.0, f64::max)
    }

    /// Row of the results table.
    pub fn row(&self) -> String {
        let total = self.total();
        format!(
            "{:<12} {:>8} {:>8} {:>8} {:>8.3} {:>8.3} {:>8.3} {:>8.2} {:>12} {:>9}",
            self.policy.name(),
            total.in_time,
            total.late,
            total.refused,
            total.in_time_share(),
            self.worst_kind_share(),
            self.highest_over_bound_share(),
            self.highest_over_mean(),
            self.engines.reread_tokens,
            self.engines.preempted,
        )
    }
}

/// Header of the results table.
pub fn header() -> String {
    format!(
        "{:<12} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>12} {:>9}",
        "policy",
        "in_time",
        "late",
        "refused",
        "share",
        "worst",
        "crowded",
        "max/mean",
        "reread",
        "preempted"
    )
}

const PLOT_WIDTH: f64 = 900.0;
const PLOT_HEIGHT: f64 = 300.0;

/// Plots the mean and the highest load over time as an SVG image.
pub fn plot(report: &Report) -> String {
    let end_ms = report
        .samples
        .last()
        .map_or(1, |sample| sample.at_ms.max(1));
    let top = report.samples.iter().map(|sample| sample.highest).max();
    let top = f64::from(top.unwrap_or(1).max(1));
    let line = |color: &str, value: &dyn Fn(&Sample) -> f64| {
        let points = report.samples.iter().fold(String::new(), |mut text, s| {
            let x = s.at_ms as f64 / end_ms as f64 * PLOT_WIDTH;
            let y = PLOT_HEIGHT - value(s) / top * PLOT_HEIGHT;
            let _ = write!(text, "{x:.1},{y:.1} ");
            text
        });
        format!("<polyline fill=\"none\" stroke=\"{color}\" points=\"{points}\"/>\n")
    };
    let mean = line("steelblue", &|sample| sample.mean);
    let highest = line("firebrick", &|sample| f64::from(sample.highest));
    format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 -20 {PLOT_WIDTH} {}\">\n\
         <text x=\"0\" y=\"-6\" font-size=\"12\">{}: requests at an engine, mean (blue) and \
         highest (red, up to {top}), over {end_ms} ms</text>\n{mean}{highest}</svg>\n",
        PLOT_HEIGHT + 20.0,
        report.policy.name(),
    )
}
