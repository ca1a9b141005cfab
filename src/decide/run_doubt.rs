//! When a run that has brought nothing is in doubt, so that another server is sought beside it.
//!
//! Doubt ends no run: a server that is slow, or leaving, finishes what it runs.

#[cfg(test)]
mod tests;

/// Longest time between two observations of a run.
const CHECK_MS: u64 = 250;
/// Longest time that counts as silence between two observations. A router that was paused, or is late
/// under load, has not observed the rest: what arrived meanwhile may wait to be read.
const OBSERVED_MAX_MS: u64 = 2 * CHECK_MS;

/// What is known of a run from its own connection: how long it has been observed without progress.
#[derive(Debug, Clone)]
pub struct RunDoubt {
    /// Observed time without progress after which the run is overdue, in ms.
    overdue_ms: u64,
    observed_at_ms: u64,
    progress_at_ms: u64,
    quiet_ms: u64,
}

impl RunDoubt {
    /// Begins to observe a run at `now_ms`, which is overdue after `overdue_ms` without progress.
    pub fn new(overdue_ms: u64, now_ms: u64) -> Self {
        Self {
            overdue_ms,
            observed_at_ms: now_ms,
            progress_at_ms: now_ms,
            quiet_ms: 0,
        }
    }

    /// Observes at `now_ms` that the run made its last progress at `progress_at_ms`; returns whether
    /// it is in doubt. Both are ms of the monotonic clock.
    ///
    /// ```
    /// use jujubeusher::decide::run_doubt::RunDoubt;
    /// let mut doubt = RunDoubt::new(500, 1_000);
    /// assert!(!doubt.observe(1_250, 1_000));
    /// assert!(doubt.observe(1_500, 1_000));
    /// assert!(!doubt.observe(1_750, 1_600));
    /// ```
    pub fn observe(&mut self, now_ms: u64, progress_at_ms: u64) -> bool {
        let elapsed_ms = now_ms.saturating_sub(self.observed_at_ms);
        if progress_at_ms > self.progress_at_ms {
            self.progress_at_ms = progress_at_ms;
            self.quiet_ms = now_ms.saturating_sub(progress_at_ms).min(elapsed_ms);
        } else {
            self.quiet_ms += elapsed_ms.min(OBSERVED_MAX_MS);
        }
        self.observed_at_ms = now_ms;
        self.quiet_ms >= self.overdue_ms
    }

    /// Time in ms after which the run is to be observed again.
    pub fn next_check_ms(&self) -> u64 {
        self.overdue_ms
            .saturating_sub(self.quiet_ms)
            .clamp(1, CHECK_MS)
    }
}
