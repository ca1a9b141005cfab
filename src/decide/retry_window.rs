//! A router's part of the retries that all routers together may send to a service.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;

/// The bound on the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetBound {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beyond that.
    pub slack: f64,
    /// Length of the sliding window that the bound holds in.
    pub window_ms: u64,
}

/// Part of the bound that is used: requests in the window may fall quickly while retries that
/// an earlier, busier window allowed are still in it.
const USED_PART: f64 = 0.7;

/// Retries and requests of the last window.
#[derive(Debug, Default)]
pub struct RetryWindow {
    requests_ms: VecDeque<u64>,
    retries_ms: VecDeque<u64>,
}

impl RetryWindow {
    /// Counts a request.
    pub fn request(&mut self, now_ms: u64, bound: &FleetBound) {
        self.forget_old(now_ms, bound);
        self.requests_ms.push_back(now_ms);
    }

    fn forget_old(&mut self, now_ms: u64, bound: &FleetBound) {
        let from_ms = now_ms.saturating_sub(bound.window_ms);
        for times_ms in [&mut self.requests_ms, &mut self.retries_ms] {
            while times_ms.front().is_some_and(|at_ms| *at_ms < from_ms) {
                times_ms.pop_front();
            }
        }
    }

    /// Counts a retry if this router, one of `routers`, may still send one.
    ///
    /// ```
    /// use jujubeusher::decide::retry_window::{FleetBound, RetryWindow};
    /// let bound = FleetBound { ratio: 0.0, slack: 20.0, window_ms: 1_000 };
    /// let mut window = RetryWindow::default();
    /// assert!((0..7).all(|_| window.take(0, &bound, 2)));
    /// assert!(!window.take(0, &bound, 2));
    /// assert!(window.take(1_001, &bound, 2));
    /// ```
    pub fn take(&mut self, now_ms: u64, bound: &FleetBound, routers: usize) -> bool {
        self.forget_old(now_ms, bound);
        let earned = bound.ratio * self.requests_ms.len() as f64;
        let allowed = USED_PART * (earned + bound.slack / routers.max(1) as f64);
        let is_allowed = (self.retries_ms.len() as f64) < allowed.floor();
        if is_allowed {
            self.retries_ms.push_back(now_ms);
        }
        is_allowed
    }
}
