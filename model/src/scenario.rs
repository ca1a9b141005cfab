//! What is played: routers, engines and traffic of the users' sheets.

use crate::engine::EngineSpec;
use crate::traffic::{Burst, RequestKind};

/// How a router picks a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// As the product does.
    Deployed,
    /// As the product does, but for hot prompts, which are not spread.
    Unspread,
    /// The less loaded of two, whatever they hold; refuses as the product does.
    TwoChoices,
    /// The first in the prompt's order, whatever its load; never refuses.
    Prompt,
    /// Any; never refuses.
    Random,
}

impl Policy {
    /// All policies, in the order of reports.
    pub const ALL: [Self; 4] = [Self::Deployed, Self::TwoChoices, Self::Prompt, Self::Random];

    /// Name in reports and on the command line.
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
    /// Routers; the first are the seeds.
    pub routers: usize,
    /// Routers that pass counts on.
    pub seeds: usize,
    /// Engines.
    pub engines: usize,
    /// What each engine can do.
    pub engine: EngineSpec,
    /// Factors on the engines' times, dealt out in turn.
    pub time_factor: Vec<f64>,
    /// Age of the load that an answer tells.
    pub report_lag_ms: u64,
    /// Kinds of request.
    pub kinds: Vec<RequestKind>,
    /// Unusual traffic.
    pub burst: Burst,
    /// Length of the run.
    pub length_ms: u64,
}

/// Names of the fleets that can be played.
pub const FLEETS: [&str; 2] = ["small", "grown"];

impl Scenario {
    /// The fleet of this name under `factor` times its usual traffic for ten seconds, in which
    /// a part of the first kind is about one prompt.
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
            _ => None,
        }
    }
}

/// Rates, lengths and goals are of the users' sheets (`cmos-booking`).
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
        time_factor: vec![1.0],
        report_lag_ms: 200,
        kinds: kinds([13.0, 21.5, 18.9], [1_000, 500, 500], [385, 294, 21]),
        burst,
        length_ms: 20_000,
    }
}

/// Rates, lengths and goals are of the users' sheets (`cmos-booking-grown`).
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
        time_factor: vec![1.0, 1.0, 1.3],
        report_lag_ms: 100,
        kinds: kinds([217.0, 255.0, 356.0], [800, 400, 500], [380, 290, 20]),
        burst,
        length_ms: 20_000,
    }
}

fn kinds(rate_per_s: [f64; 3], goal_ms: [u64; 3], output_tokens: [u64; 3]) -> Vec<RequestKind> {
    let kind = |index: usize, name, distinct_prompts, tokens: [u64; 3], priority| RequestKind {
        name,
        rate_per_s: rate_per_s[index],
        distinct_prompts,
        common_tokens: tokens[0],
        prompt_tokens: tokens[1],
        unique_tokens: tokens[2],
        output_tokens: output_tokens[index],
        goal_ms: goal_ms[index],
        priority,
    };
    vec![
        kind(0, "digest", 48, [512, 10_000, 1_300], 1),
        kind(1, "answer", 130, [119, 580, 130], 0),
        kind(2, "tag", 111, [341, 1_700, 360], 2),
    ]
}
