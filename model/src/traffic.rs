//! Generation of the requests that arrive at the routers.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// A shared part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of the content; equal content has equal identifiers.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// A request.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// Sequence number.
    pub id: usize,
    /// Index of the request's kind in the scenario.
    pub kind: usize,
    /// Shared parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
    /// Prompt tokens after the shared parts.
    pub unique_tokens: u64,
    /// Tokens to generate.
    pub output_tokens: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether an earlier request had the same shared prompt.
    pub was_prefilled_before: bool,
}

/// A kind of request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestKind {
    /// Name in the results.
    pub name: &'static str,
    /// Usual rate in requests per second.
    pub rate_per_s: f64,
    /// Number of distinct shared prompts.
    pub distinct_prompts: u64,
    /// Exponent of the Zipf distribution of the prompts' popularity; 0 makes all equally popular.
    pub popularity_exponent: f64,
    /// Tokens of the first part, which is common to all prompts of the kind.
    pub common_tokens: u64,
    /// Tokens of the second part, which is common to the requests with the same prompt.
    pub prompt_tokens: u64,
    /// Prompt tokens after the shared parts.
    pub unique_tokens: u64,
    /// Tokens to generate, before the spread of lengths is applied.
    pub output_tokens: u64,
    /// Maximum time to the first token for a request to count as served in time.
    pub goal_ms: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
}

/// A period of unusual traffic.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Burst {
    /// Start, inclusive.
    pub start_ms: u64,
    /// End, exclusive.
    pub end_ms: u64,
    /// Multiplier of the usual rates.
    pub factor: f64,
    /// Share of the first kind of request that uses a single prompt.
    pub hot_share: f64,
}

impl Burst {
    /// Whether the burst is active.
    pub fn is_active(&self, now_ms: u64) -> bool {
        (self.start_ms..self.end_ms).contains(&now_ms)
    }
}

/// Generator of requests.
#[derive(Debug)]
pub struct Traffic {
    kinds: Vec<RequestKind>,
    burst: Burst,
    rng: ChaCha8Rng,
    next_id: usize,
    seen_prompts: std::collections::HashSet<u64>,
    /// For each kind, the cumulative popularity of its prompts; empty if all are equally popular.
    popularity: Vec<Vec<f64>>,
}

/// Cumulated shares of a kind's prompts, the most popular one first.
fn cumulative_popularity(kind: &RequestKind) -> Vec<f64> {
    if kind.popularity_exponent == 0.0 {
        return Vec::new();
    }
    let weight = |rank: u64| (rank as f64).powf(-kind.popularity_exponent);
    let total: f64 = (1..=kind.distinct_prompts).map(weight).sum();
    let sums = (1..=kind.distinct_prompts).scan(0.0, |sum, rank| {
        *sum += weight(rank) / total;
        Some(*sum)
    });
    sums.collect()
}

impl Traffic {
    /// Creates a generator for these kinds of request.
    pub fn new(kinds: Vec<RequestKind>, burst: Burst, rng: ChaCha8Rng) -> Self {
        Self {
            popularity: kinds.iter().map(cumulative_popularity).collect(),
            kinds,
            burst,
            rng,
            next_id: 0,
            seen_prompts: std::collections::HashSet::new(),
        }
    }

    /// Draws the requests that arrive within the millisecond `now_ms`.
    pub fn arrivals_at(&mut self, now_ms: u64) -> Vec<Job> {
        let is_burst = self.burst.is_active(now_ms);
        let factor = if is_burst { self.burst.factor } else { 1.0 };
        let mut jobs = Vec::new();
        for kind in 0..self.kinds.len() {
            let mut expected = self.kinds[kind].rate_per_s * factor / 1_000.0;
            while expected > 0.0 && self.rng.random::<f64>() < expected {
                jobs.push(self.draw(kind, is_burst));
                expected -= 1.0;
            }
        }
        jobs
    }

    fn draw(&mut self, index: usize, is_burst: bool) -> Job {
        let kind = self.kinds[index];
        let is_hot = is_burst && index == 0 && self.rng.random::<f64>() < self.burst.hot_share;
        let prompt = match is_hot {
            true => 0,
            false if self.popularity[index].is_empty() => {
                self.rng.random_range(0..kind.distinct_prompts)
            }
            false => {
                let drawn: f64 = self.rng.random();
                let rank = self.popularity[index].partition_point(|sum| *sum < drawn) as u64;
                rank.min(kind.distinct_prompts - 1)
            }
        };
        let part_id = |name: u64| (index as u64 + 1) << 32 | name;
        let parts = vec![
            PromptPart {
                id: part_id(u64::from(u32::MAX)),
                tokens: kind.common_tokens,
            },
            PromptPart {
                id: part_id(prompt),
                tokens: kind.prompt_tokens,
            },
        ];
        // The distribution of lengths follows the users' sheets, where the longest responses are
        // several times the mean.
        let spread = 0.3 - self.rng.random::<f64>().ln().max(-3.0) * 0.7;
        let output_tokens = (kind.output_tokens as f64 * spread).max(1.0) as u64;
        let id = self.next_id;
        self.next_id += 1;
        Job {
            id,
            kind: index,
            was_prefilled_before: !self.seen_prompts.insert(part_id(prompt)),
            parts,
            unique_tokens: kind.unique_tokens,
            output_tokens,
            priority: kind.priority,
        }
    }
}
