//! Requests as they arrive at the routers.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// A shared part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies its content.
    pub id: u64,
    /// Its length.
    pub tokens: u64,
}

/// One request.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// Its number.
    pub id: usize,
    /// Index of its kind.
    pub kind: usize,
    /// Shared parts of its prompt, in order.
    pub parts: Vec<PromptPart>,
    /// Prompt tokens of its own.
    pub unique_tokens: u64,
    /// Tokens that it generates.
    pub output_tokens: u64,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Whether some engine has read its shared parts before.
    pub was_prefilled_before: bool,
}

/// A kind of request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestKind {
    /// Name for reports.
    pub name: &'static str,
    /// Requests a second.
    pub rate_per_s: f64,
    /// Different shared prompts.
    pub distinct_prompts: u64,
    /// Tokens of the first part, which all prompts of the kind share.
    pub common_tokens: u64,
    /// Tokens of the second part, one a prompt.
    pub prompt_tokens: u64,
    /// Tokens of the request alone.
    pub unique_tokens: u64,
    /// Tokens that it generates.
    pub output_tokens: u64,
    /// Time until its first token within which it is served in time.
    pub goal_ms: u64,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
}

/// A span of unusual traffic.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Burst {
    /// Its begin.
    pub start_ms: u64,
    /// Its end.
    pub end_ms: u64,
    /// Factor on the usual rate.
    pub factor: f64,
    /// Part of the first kind that is about one prompt.
    pub hot_share: f64,
}

impl Burst {
    /// Whether it is on.
    pub fn is_active(&self, now_ms: u64) -> bool {
        (self.start_ms..self.end_ms).contains(&now_ms)
    }
}

/// Draws requests.
#[derive(Debug)]
pub struct Traffic {
    kinds: Vec<RequestKind>,
    burst: Burst,
    rng: ChaCha8Rng,
    next: usize,
    read: std::collections::HashSet<u64>,
}

impl Traffic {
    /// Traffic of these kinds.
    pub fn new(kinds: Vec<RequestKind>, burst: Burst, rng: ChaCha8Rng) -> Self {
        Self {
            kinds,
            burst,
            rng,
            next: 0,
            read: std::collections::HashSet::new(),
        }
    }

    /// Requests that arrive within one millisecond.
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
            false => self.rng.random_range(0..kind.distinct_prompts),
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
        // Lengths are spread as on the users' sheets, where the longest are some times the mean.
        let spread = 0.3 - self.rng.random::<f64>().ln().max(-3.0) * 0.7;
        let output_tokens = (kind.output_tokens as f64 * spread).max(1.0) as u64;
        let id = self.next;
        self.next += 1;
        Job {
            id,
            kind: index,
            was_prefilled_before: !self.read.insert(part_id(prompt)),
            parts,
            unique_tokens: kind.unique_tokens,
            output_tokens,
            priority: kind.priority,
        }
    }
}
