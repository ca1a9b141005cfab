//! Scenarios: routers, engines and traffic according to the users' requirement sheets.

use crate::engine::EngineSpec;
use crate::traffic::{Burst, RequestKind};

/// How a router chooses a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The product's placement.
    Deployed,
    /// The product's placement without the spread of hot prompts.
    Unspread,
    /// The less loaded of two servers, regardless of cached prompts; refuses like the product.
    TwoChoices,
    /// The first server in the prompt's rendezvous order, regardless of load; never refuses.
    Prompt,
    /// A random server; never refuses.
    Random,
}

impl Policy {
    /// Policies that are compared by default, in the order of the table.
    pub const ALL: [Self; 4] = [Self::Deployed, Self::TwoChoices, Self::Prompt, Self::Random];

    /// Name in the table and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Deployed => "deployed",
            Self::Unspread => "unspread",
            Self::TwoChoices => "two-choices",
            Self::Prompt => "prompt",
            Self::Random => "random",
        }
    }
}

/// A fleet and its traffic.
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    /// Number of routers. The first ones are the seeds.
    pub routers: usize,
    /// Number of seeds, which relay counts between routers.
    pub seeds: usize,
    /// Number of engines.
    pub engines: usize,
    /// Capacity and speed of each engine, apart from its time factor.
    pub engine: EngineSpec,
    /// Time factors, assigned to the engines in rotation.
    pub time_factors: Vec<f64>,
    /// Interval at which the time factors move on to the next engine; 0 if they stay.
    pub time_factor_shift_ms: u64,
    /// Whether responses report the engine's time factor.
    pub reports_speed: bool,
    /// Age of the load that a response reports.
    pub report_lag_ms: u64,
    /// Kinds of request and their usual rates.
    pub kinds: Vec<RequestKind>,
    /// Period of unusual traffic.
    pub burst: Burst,
    /// Duration of the run.
    pub length_ms: u64,
}

/// Names of the available fleets.
pub const FLEETS: [&str; 4] = ["small", "grown", "fotocal", "agroeb"];

impl Scenario {
    /// The named fleet with a burst of ten seconds, during which the traffic is `factor` times the
    /// usual one and `hot_share` of the first kind of request uses a single prompt. `None` if the
    /// name is unknown.
    ///
    /// ```
    /// use jujubeusher_model::scenario::Scenario;
    /// assert_eq!(Scenario::named("grown", 5.0, 0.2).unwrap().engines, 140);
    /// assert!(Scenario::named("other", 5.0, 0.2).is_none());
    /// ```
    pub fn named(name: &str, factor: f64, hot_share: f64) -> Option<Self> {
        let burst = Burst {
            start_ms: 4_000,
            end_ms: 14_000,
            factor,
            hot_share,
        };
        match name {
            "small" => Some(small(burst)),
            "grown" => Some(grown(burst)),
            "fotocal" => Some(fotocal(burst)),
            "agroeb" => Some(agroeb(burst)),
            _ => None,
        }
    }
}

/// Rates, lengths and latency targets of the deployment `cmos-booking`.
fn small(burst: Burst) -> Scenario {
    Scenario {
        routers: 7,
        seeds: 3,
        engines: 9,
        engine: EngineSpec {
            slots: 64,
            queue_max: 192,
            step_base_us: 2_890.0,
            step_per_request_us: 101.0,
            prefill_tokens_per_ms: 55.0,
            prefill_chunk_tokens: 2_048,
            memory_tokens: 497_359,
            time_factor: 1.0,
        },
        time_factors: vec![1.0],
        time_factor_shift_ms: 0,
        reports_speed: false,
        report_lag_ms: 200,
        kinds: kinds([13.0, 21.5, 18.9], [1_000, 500, 500], [385, 294, 21], 0.0).to_vec(),
        burst,
        length_ms: 20_000,
    }
}

/// Rates, lengths and latency targets of the deployment `cmos-booking-grown`.
fn grown(burst: Burst) -> Scenario {
    Scenario {
        routers: 75,
        seeds: 3,
        engines: 140,
        engine: EngineSpec {
            slots: 16,
            queue_max: 48,
            step_base_us: 2_890.0,
            step_per_request_us: 101.0,
            prefill_tokens_per_ms: 55.0,
            prefill_chunk_tokens: 2_048,
            memory_tokens: 230_890,
            time_factor: 1.0,
        },
        time_factors: vec![1.0, 1.0, 1.3],
        time_factor_shift_ms: 0,
        reports_speed: false,
        report_lag_ms: 100,
        kinds: kinds([217.0, 255.0, 356.0], [800, 400, 500], [380, 290, 20], 0.0).to_vec(),
        burst,
        length_ms: 20_000,
    }
}

/// Popularity of prompts on the newer fleets: the first of 436 prompts has a ninth of the requests.
const POPULARITY_EXPONENT: f64 = 0.9;

/// Rates, lengths and latency targets of the deployment `fotocal`.
fn fotocal(burst: Burst) -> Scenario {
    let [mut report, mut label, mut verdict] = kinds(
        [96.0, 200.0, 165.0],
        [1_500, 400, 400],
        [385, 294, 21],
        POPULARITY_EXPONENT,
    );
    (report.name, report.distinct_prompts, report.priority) = ("batch-report", 332, 2);
    (label.name, label.distinct_prompts, label.priority) = ("defect-label", 436, 0);
    (verdict.name, verdict.distinct_prompts, verdict.priority) = ("pass-verdict", 233, 1);
    Scenario {
        routers: 86,
        seeds: 3,
        engines: 90,
        engine: EngineSpec {
            slots: 32,
            queue_max: 96,
            step_base_us: 3_740.0,
            step_per_request_us: 101.0,
            prefill_tokens_per_ms: 81.9,
            prefill_chunk_tokens: 2_048,
            memory_tokens: 510_024,
            time_factor: 1.0,
        },
        time_factors: vec![1.0],
        time_factor_shift_ms: 0,
        reports_speed: false,
        report_lag_ms: 0,
        kinds: vec![label, verdict, report],
        burst,
        length_ms: 16_000,
    }
}

/// Rates, lengths and latency targets of the deployment `agroeb`.
fn agroeb(burst: Burst) -> Scenario {
    let [mut summary, mut code, mut check] = kinds(
        [189.0, 219.0, 375.0],
        [600, 400, 400],
        [385, 294, 21],
        POPULARITY_EXPONENT,
    );
    (summary.name, summary.distinct_prompts) = ("diag-sumario", 332);
    (code.name, code.distinct_prompts) = ("codigo-falla", 436);
    (check.name, check.distinct_prompts) = ("check-registro", 233);
    Scenario {
        routers: 32,
        seeds: 3,
        engines: 112,
        engine: EngineSpec {
            slots: 16,
            queue_max: 48,
            step_base_us: 2_970.0,
            step_per_request_us: 101.0,
            prefill_tokens_per_ms: 101.0,
            prefill_chunk_tokens: 2_048,
            memory_tokens: 373_173,
            time_factor: 1.0,
        },
        time_factors: vec![1.0],
        time_factor_shift_ms: 0,
        reports_speed: false,
        report_lag_ms: 0,
        kinds: vec![summary, code, check],
        burst,
        length_ms: 16_000,
    }
}

/// The kinds that all fleets have, with a long, a short and a middle prompt.
fn kinds(
    rate_per_s: [f64; 3],
    goal_ms: [u64; 3],
    output_tokens: [u64; 3],
    popularity_exponent: f64,
) -> [RequestKind; 3] {
    let kind = |index: usize, name, distinct_prompts, tokens: [u64; 3], priority| RequestKind {
        name,
        rate_per_s: rate_per_s[index],
        distinct_prompts,
        popularity_exponent,
        common_tokens: tokens[0],
        prompt_tokens: tokens[1],
        unique_tokens: tokens[2],
        output_tokens: output_tokens[index],
        goal_ms: goal_ms[index],
        priority,
    };
    [
        kind(0, "digest", 48, [512, 10_000, 1_300], 1),
        kind(1, "answer", 130, [119, 580, 130], 0),
        kind(2, "tag", 111, [341, 1_700, 360], 2),
    ]
}
