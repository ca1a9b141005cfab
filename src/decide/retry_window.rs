//! Sliding-window limit on the retries that one router sends to a service, as its share of a
//! limit on the whole fleet.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;

/// Limit on the retries of all routers together to one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetRetryLimit {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Retries allowed in addition, shared by all routers.
    pub slack: f64,
    /// Length of the sliding window.
    pub window_ms: u64,
}

/// Share of the limit that is used. The rest is reserve: the requests in the window may drop
/// quickly while retries that an earlier, busier window allowed are still in it.
const USED_SHARE: f64 = 0.7;

/// Times of this router's requests and retries in the current window.
#[derive(Debug, Default)]
pub struct RetryWindow {
    requests_ms: VecDeque<u64>,
    retries_ms: VecDeque<u64>,
}

impl RetryWindow {
    /// Records a request, which raises the number of retries allowed.
    pub fn record_request(&mut self, now_ms: u64, limit: &FleetRetryLimit) {
        self.evict_expired(now_ms, limit);
        self.requests_ms.push_back(now_ms);
    }

    fn evict_expired(&mut self, now_ms: u64, limit: &FleetRetryLimit) {
        let from_ms = now_ms.saturating_sub(limit.window_ms);
        for times_ms in [&mut self.requests_ms, &mut self.retries_ms] {
            while times_ms.front().is_some_and(|at_ms| *at_ms < from_ms) {
                times_ms.pop_front();
            }
        }
    }

    /// Records a retry and returns true if this router, one of `routers`, may still send one.
    ///
    /// ```
    /// use jujubeusher::decide::retry_window::{FleetRetryLimit, RetryWindow};
    /// let limit = FleetRetryLimit { ratio: 0.0, slack: 20.0, window_ms: 1_000 };
    /// let mut window = RetryWindow::default();
    /// assert!((0..7).all(|_| window.try_record_retry(0, &limit, 2)));
    /// assert!(!window.try_record_retry(0, &limit, 2));
    /// assert!(window.try_record_retry(1_001, &limit, 2));
    /// ```
    pub fn try_record_retry(
        &mut self,
        now_ms: u64,
        limit: &FleetRetryLimit,
        routers: usize,
    ) -> bool {
        self.evict_expired(now_ms, limit);
        let earned = limit.ratio * self.requests_ms.len() as f64;
        let allowed = USED_SHARE * (earned + limit.slack / routers.max(1) as f64);
        let is_allowed = (self.retries_ms.len() as f64) < allowed.floor();
        if is_allowed {
            self.retries_ms.push_back(now_ms);
        }
        is_allowed
    }
}
