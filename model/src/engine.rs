//! A modelled engine that processes a batch of requests in steps.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::traffic::{Job, PromptPart};

/// Capacity and speed of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpec {
    /// Requests in the batch at most.
    pub slots: u32,
    /// Requests in the queue at most; further ones are declined.
    pub queue_max: usize,
    /// Base duration of a step.
    pub step_base_us: f64,
    /// Additional duration of a step for each running request.
    pub step_per_request_us: f64,
    /// Prompt tokens prefilled per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Prompt tokens prefilled in one step at most.
    pub prefill_chunk_tokens: u64,
    /// Memory capacity in tokens, shared by running requests and cached prompt parts.
    pub memory_tokens: u64,
    /// Multiplier of all durations; 2 is half as fast.
    pub time_factor: f64,
}

#[derive(Debug)]
struct Run {
    job: Job,
    prefill_tokens_left: u64,
    output_tokens_left: u64,
    has_first_token: bool,
}

impl Run {
    fn tokens(&self) -> u64 {
        self.job.unique_tokens
            + self
                .job
                .output_tokens
                .saturating_sub(self.output_tokens_left)
    }
}

/// Progress of a request in a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// The request with this id generated its first token.
    FirstToken(usize),
    /// The request with this id is complete.
    Completed(usize),
}

/// Counters of an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineCounts {
    /// Shared prompt tokens that were prefilled for a request although an earlier one had the
    /// same shared prompt.
    pub reread_tokens: u64,
    /// Requests preempted for lack of memory.
    pub preempted: u64,
    /// Requests whose shared prompt an earlier request had too.
    pub repeated: u64,
    /// Requests among those that the engine started without holding their shared prompt.
    pub missed: u64,
}

/// An engine: batch, queue and cache of shared prompt parts.
#[derive(Debug)]
pub struct Engine {
    spec: EngineSpec,
    waiting: VecDeque<Run>,
    running: Vec<Run>,
    /// Ids of cached prompt parts and their lengths in tokens, least recently used first.
    cached: IndexMap<u64, u64>,
    is_stepping: bool,
    /// Counters since the start of the run.
    pub counts: EngineCounts,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(spec: EngineSpec) -> Self {
        Self {
            spec,
            waiting: VecDeque::new(),
            running: Vec::new(),
            cached: IndexMap::new(),
            is_stepping: false,
            counts: EngineCounts::default(),
        }
    }

    /// Changes the multiplier of the durations, from the next step on.
    pub fn set_time_factor(&mut self, time_factor: f64) {
        self.spec.time_factor = time_factor;
    }

    /// Capacity and speed.
    pub fn spec(&self) -> EngineSpec {
        self.spec
    }

    /// Number of running and waiting requests, which is the engine's load.
    pub fn request_count(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }

    /// Enqueues a request, or returns it if the batch and the queue are full.
    pub fn enqueue(&mut self, job: Job) -> Result<(), Job> {
        let is_full = self.running.len() >= self.spec.slots as usize;
        if is_full && self.waiting.len() >= self.spec.queue_max {
            return Err(job);
        }
        let run = Run {
            prefill_tokens_left: 0,
            output_tokens_left: job.output_tokens,
            has_first_token: false,
            job,
        };
        // The queue is ordered by priority and then by arrival.
        let urgency = run.job.priority;
        let at = self.waiting.partition_point(|r| r.job.priority <= urgency);
        self.waiting.insert(at, run);
        Ok(())
    }

    /// Whether no step is in progress.
    pub fn is_idle(&self) -> bool {
        !self.is_stepping
    }

    /// Starts a step and returns its duration in µs; `None` if there are no requests to run.
    /// `is_fetchable` says whether a prompt part can be fetched instead of prefilled.
    pub fn start_step(&mut self, is_fetchable: impl Fn(u64) -> bool) -> Option<u64> {
        self.admit(is_fetchable);
        if self.running.is_empty() {
            self.is_stepping = false;
            return None;
        }
        self.is_stepping = true;
        let mut chunk = self.spec.prefill_chunk_tokens;
        for run in &mut self.running {
            let prefilled = run.prefill_tokens_left.min(chunk);
            run.prefill_tokens_left -= prefilled;
            chunk -= prefilled;
        }
        let prefilled = (self.spec.prefill_chunk_tokens - chunk) as f64;
        let length_us = self.spec.step_base_us
            + self.spec.step_per_request_us * self.running.len() as f64
            + prefilled / self.spec.prefill_tokens_per_ms * 1_000.0;
        Some((length_us * self.spec.time_factor) as u64)
    }

    /// Ends the step and returns the progress of its requests.
    pub fn end_step(&mut self) -> Vec<Progress> {
        let mut progress = Vec::new();
        for run in self
            .running
            .iter_mut()
            .filter(|r| r.prefill_tokens_left == 0)
        {
            run.output_tokens_left = run.output_tokens_left.saturating_sub(1);
            if !run.has_first_token {
                run.has_first_token = true;
                progress.push(Progress::FirstToken(run.job.id));
            }
            if run.output_tokens_left == 0 {
                progress.push(Progress::Completed(run.job.id));
            }
        }
        self.running.retain(|run| run.output_tokens_left > 0);
        self.preempt();
        progress
    }

    fn running_tokens(&self) -> u64 {
        self.running.iter().map(Run::tokens).sum()
    }

    fn cached_tokens(&self) -> u64 {
        self.cached.values().sum()
    }

    fn admit(&mut self, is_fetchable: impl Fn(u64) -> bool) {
        while self.running.len() < self.spec.slots as usize {
            let Some(run) = self.waiting.front() else {
                return;
            };
            let needed = run.tokens() + run.job.output_tokens / 2;
            if self.running_tokens() + needed > self.spec.memory_tokens && !self.running.is_empty()
            {
                return;
            }
            let Some(mut run) = self.waiting.pop_front() else {
                return;
            };
            run.prefill_tokens_left = run.tokens() + self.prefill_shared(&run.job, &is_fetchable);
            self.running.push(run);
            self.evict();
        }
    }

    /// Caches the shared parts of a prompt and returns the number of their tokens that must be
    /// prefilled. A cached part is usable only if all parts before it are available too.
    fn prefill_shared(&mut self, job: &Job, is_fetchable: impl Fn(u64) -> bool) -> u64 {
        let mut missing = 0;
        if job.was_prefilled_before {
            let is_cached = |part: &PromptPart| self.cached.contains_key(&part.id);
            self.counts.repeated += 1;
            self.counts.missed += u64::from(!job.parts.iter().all(is_cached));
        }
        for part in &job.parts {
            let cached = self.cached.shift_remove(&part.id);
            self.cached.insert(part.id, part.tokens);
            if missing > 0 || (cached.is_none() && !is_fetchable(part.id)) {
                missing += part.tokens;
            }
        }
        if job.was_prefilled_before {
            self.counts.reread_tokens += missing;
        }
        missing
    }

    fn evict(&mut self) {
        while self.running_tokens() + self.cached_tokens() > self.spec.memory_tokens {
            if self.cached.shift_remove_index(0).is_none() {
                return;
            }
        }
    }

    /// Moves the newest of the least urgent requests back to the queue while memory is short.
    fn preempt(&mut self) {
        self.evict();
        while self.running_tokens() > self.spec.memory_tokens && self.running.len() > 1 {
            let indexes = 0..self.running.len();
            let Some(last) = indexes.max_by_key(|i| (self.running[*i].job.priority, *i)) else {
                return;
            };
            self.counts.preempted += 1;
            let run = self.running.remove(last);
            self.waiting.push_front(run);
        }
    }
}
