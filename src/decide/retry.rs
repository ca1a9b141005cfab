//! Retry decisions for failed attempts: whether, where and when to retry, within a budget.

#[cfg(test)]
mod tests;

use rand::{Rng, RngExt};

use crate::ids::{Repeat, RunState, ServerId};

/// Capacity of a budget, in deposits.
const DEPOSITS_MAX: f64 = 1000.0;
/// Initial balance of a budget, in deposits, so that a router that has just started can retry.
const DEPOSITS_AT_START: f64 = 200.0;

/// Retry budget of a model or plain service: each successful request deposits a fraction of a
/// retry, and each retry withdraws one.
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
    /// Creates a budget that allows `ratio` retries for each successful request.
    pub fn new(ratio: f64) -> Self {
        Self {
            tokens: ratio * DEPOSITS_AT_START,
            ratio,
        }
    }

    /// Balance of the budget in retries.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Deposits the share of a successful request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.ratio * DEPOSITS_MAX);
    }

    /// Withdraws one retry; returns false if the balance is less than one.
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
    /// Maximum number of attempts, including the first.
    pub attempts_max: u32,
    /// Backoff before the first retry; it doubles with each further retry.
    pub backoff_base_ms: u64,
    /// Longest backoff.
    pub backoff_max_ms: u64,
}

/// Why a request is not retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum GiveUp {
    /// An attempt may have run, and the request must not run twice.
    #[error("the call may have run and must not be repeated")]
    NotRepeatable,
    /// The request has had the maximum number of attempts.
    #[error("all attempts are used")]
    AttemptsExhausted,
    /// No server other than that of the last attempt accepts requests.
    #[error("no other server takes work")]
    NoOtherServer,
    /// The deadline would pass during the backoff.
    #[error("the deadline is too near for another attempt")]
    DeadlineNear,
    /// The retry budget of the model or service is exhausted.
    #[error("the retry budget is spent")]
    BudgetExhausted,
}

/// Server and delay of the next attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NextAttempt {
    /// Server to send the attempt to.
    pub server: ServerId,
    /// Delay before the attempt.
    pub backoff_ms: u64,
}

/// State of a request on which the retry decision depends.
#[derive(Debug, Clone, Copy)]
pub struct RetryContext<'a> {
    /// Current monotonic time.
    pub now_ms: u64,
    /// Deadline of the request, by the same clock.
    pub deadline_ms: u64,
    /// Whether the request may run more than once.
    pub repeat: Repeat,
    /// Whether an attempt so far may have run.
    pub run_state: RunState,
    /// Servers that accept requests, in order of preference.
    pub candidates: &'a [ServerId],
}

/// Attempts made for a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Attempts {
    servers: Vec<ServerId>,
}

impl Attempts {
    /// Number of attempts made.
    pub fn count(&self) -> u32 {
        self.servers.len() as u32
    }

    /// Server of the last attempt.
    pub fn last(&self) -> Option<&ServerId> {
        self.servers.last()
    }

    /// Records an attempt at a server.
    pub fn record(&mut self, server: &ServerId) {
        self.servers.push(server.clone());
    }

    /// Decides whether to retry after a failed attempt; withdraws from the budget only if so.
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

    /// First candidate that was not tried yet, or else the first other than the last one tried.
    fn next_server<'a>(&self, candidates: &'a [ServerId]) -> Option<&'a ServerId> {
        let untried = candidates.iter().find(|s| !self.servers.contains(s));
        untried.or_else(|| candidates.iter().find(|s| Some(*s) != self.last()))
    }

    /// Random backoff between half and all of the exponential step, so that requests that
    /// failed together are not retried together.
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
