//! Retries: what may run again, where, after what pause, and how much of it in all.

#[cfg(test)]
mod tests;

use rand::{Rng, RngExt};

use crate::ids::{Repeat, RunState, ServerId};

/// A full bucket allows as many retries as this many requests earn.
const MAX_DEPOSITS: f64 = 1000.0;
/// A new bucket holds as many retries as this many requests earn, so that a router that
/// has just started can retry at all.
const INITIAL_DEPOSITS: f64 = 200.0;

/// Retries that a model may still spend; requests that succeed earn them.
///
/// ```
/// use jujubeusher::decide::retry::RetryBudget;
/// let mut budget = RetryBudget::new(0.1);
/// assert!(budget.try_withdraw());
/// assert!(!RetryBudget::new(0.0).try_withdraw());
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudget {
    tokens: f64,
    ratio: f64,
}

impl RetryBudget {
    /// A budget that allows `ratio` retries for each successful request.
    pub fn new(ratio: f64) -> Self {
        Self {
            tokens: ratio * INITIAL_DEPOSITS,
            ratio,
        }
    }

    /// Retries that may be spent now.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Counts a request that succeeded.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.ratio * MAX_DEPOSITS);
    }

    /// Spends one retry if there is one.
    pub fn try_withdraw(&mut self) -> bool {
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }
}

/// Limits on the attempts of one request.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryPolicy {
    /// Most attempts.
    pub attempts_max: u32,
    /// First pause.
    pub backoff_base_ms: u64,
    /// Longest pause.
    pub backoff_max_ms: u64,
}

/// Why a request is not tried again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum GiveUp {
    /// It may have run and may not run twice.
    #[error("the call may have run and must not be repeated")]
    NotRepeatable,
    /// All attempts are used.
    #[error("all attempts are used")]
    AttemptsExhausted,
    /// No server other than the last one takes work.
    #[error("no other server takes work")]
    NoOtherServer,
    /// The deadline falls into the pause.
    #[error("the deadline is too near for another attempt")]
    DeadlineNear,
    /// The model's budget is spent.
    #[error("the retry budget is spent")]
    BudgetExhausted,
}

/// Where and when to try again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NextAttempt {
    /// The server.
    pub server: ServerId,
    /// Pause before the attempt.
    pub backoff_ms: u64,
}

/// A request's state that a retry depends on.
#[derive(Debug, Clone, Copy)]
pub struct RetryContext<'a> {
    /// Time now.
    pub now_ms: u64,
    /// The request's deadline.
    pub deadline_ms: u64,
    /// Whether it may run more than once.
    pub repeat: Repeat,
    /// Whether the last attempt may have run.
    pub run_state: RunState,
    /// Servers that take work, in the order of preference.
    pub candidates: &'a [ServerId],
}

/// Attempts that a request has had.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Attempts {
    servers: Vec<ServerId>,
}

impl Attempts {
    /// Attempts so far.
    pub fn count(&self) -> u32 {
        self.servers.len() as u32
    }

    /// The server of the last attempt.
    pub fn last(&self) -> Option<&ServerId> {
        self.servers.last()
    }

    /// Counts an attempt.
    pub fn record(&mut self, server: &ServerId) {
        self.servers.push(server.clone());
    }

    /// Decides after a failed attempt; the budget is charged only for a retry.
    pub fn plan_retry<R>(
        &self,
        policy: &RetryPolicy,
        budget: &mut RetryBudget,
        context: RetryContext<'_>,
        random: &mut R,
    ) -> Result<NextAttempt, GiveUp>
    where
        R: Rng,
    {
        if context.repeat == Repeat::Once && context.run_state != RunState::NotRun {
            return Err(GiveUp::NotRepeatable);
        }
        if self.count() >= policy.attempts_max {
            return Err(GiveUp::AttemptsExhausted);
        }
        let server = self.next_server(context.candidates);
        let server = server.ok_or(GiveUp::NoOtherServer)?;
        let backoff_ms = self.backoff_ms(policy, random);
        if context.now_ms + backoff_ms >= context.deadline_ms {
            return Err(GiveUp::DeadlineNear);
        }
        if !budget.try_withdraw() {
            return Err(GiveUp::BudgetExhausted);
        }
        Ok(NextAttempt {
            server: server.clone(),
            backoff_ms,
        })
    }

    /// The first server not yet tried, or else the first that was not the last one tried.
    fn next_server<'a>(&self, candidates: &'a [ServerId]) -> Option<&'a ServerId> {
        let fresh = candidates.iter().find(|s| !self.servers.contains(s));
        fresh.or_else(|| candidates.iter().find(|s| Some(*s) != self.last()))
    }

    /// Half to all of the exponential step, so that requests that failed together do not
    /// come back together.
    fn backoff_ms<R>(&self, policy: &RetryPolicy, random: &mut R) -> u64
    where
        R: Rng,
    {
        let doublings = self.count().saturating_sub(1).min(16);
        let step_ms = policy.backoff_base_ms.saturating_mul(1 << doublings);
        let step_ms = step_ms.min(policy.backoff_max_ms).max(1);
        random.random_range(step_ms.div_ceil(2)..=step_ms)
    }
}
