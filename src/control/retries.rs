//! Retry budgets, one for each model or plain service.

use std::sync::Arc;

use indexmap::IndexMap;
use parking_lot::Mutex;

use crate::config::inventory::Target;
use crate::decide::retry::{Attempts, GiveUp, NextAttempt, RetryBudget, RetryContext, RetryPolicy};

/// Retry budgets by target. Clones share the same state.
#[derive(Debug, Clone)]
pub struct RetryBudgets {
    ratio: f64,
    policy: RetryPolicy,
    budgets: Arc<Mutex<IndexMap<Target, RetryBudget>>>,
}

impl RetryBudgets {
    /// Creates budgets that allow `ratio` retries for each successful request.
    pub fn new(ratio: f64, policy: RetryPolicy) -> Self {
        Self {
            ratio,
            policy,
            budgets: Arc::default(),
        }
    }

    /// Credits the target's budget for a successful request.
    pub fn record_success(&self, target: &Target) {
        self.with_budget(target, RetryBudget::deposit);
    }

    /// Decides after a failed attempt whether and when to retry, and charges the budget.
    pub fn plan_retry(
        &self,
        target: &Target,
        attempts: &Attempts,
        context: RetryContext<'_>,
    ) -> Result<NextAttempt, GiveUp> {
        self.with_budget(target, |budget| {
            attempts.plan_retry(&self.policy, budget, context, &mut rand::rng())
        })
    }

    fn with_budget<T>(&self, target: &Target, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.budgets.lock();
        // Models and services come from the inventory, so the map stays small.
        if !budgets.contains_key(target) {
            budgets.insert(target.clone(), RetryBudget::new(self.ratio));
        }
        act(&mut budgets[target])
    }
}
