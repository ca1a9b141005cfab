//! When a caller that is refused for lack of capacity should return.
//!
//! Answers the load of a burst that lasts for seconds: callers that return after a fixed short pause
//! meet the same full servers, and are refused for good.

#[cfg(test)]
mod tests;

/// Time without a refusal after which an overload has ended: several times the pause between
/// refusals of a service that is at its capacity.
const OVERLOAD_END_MS: u64 = 1_000;
/// Expected further duration of an overload, as a multiple of its duration so far. With 1, more of the
/// callers come back into a burst of five times the usual traffic.
const EXPECTED_FACTOR: u64 = 2;
/// Shortest time for which an overload is expected to go on: a run takes about this long.
const EXPECTED_MIN_MS: u64 = 600;
/// Shortest pause.
const PAUSE_MIN_MS: u64 = 250;
/// Callers heed a pause up to a third of the time that they have left.
const REMAINING_DIVISOR: u64 = 3;

/// The current overload of one service, as seen by one router.
#[derive(Debug, Default, Clone)]
pub struct Overload {
    started_ms: u64,
    last_refusal_ms: Option<u64>,
}

impl Overload {
    /// Records a refusal and returns the caller's pause. An overload is expected to last twice as
    /// long again as it has lasted. `draw`, from 0 to 1, spreads the callers over three quarters to
    /// one and a half times that, so that they do not return at the same moment.
    ///
    /// ```
    /// use jujubeusher::decide::overload::Overload;
    /// let mut overload = Overload::default();
    /// assert_eq!(overload.record_refusal(10_000, 12_000, 0.5), 675);
    /// (1..=20).for_each(|n| _ = overload.record_refusal(10_000 + n * 100, 12_000, 0.5));
    /// assert_eq!(overload.record_refusal(12_000, 12_000, 0.5), 3_000);
    /// assert_eq!(overload.record_refusal(12_000, 1_500, 0.5), 375);
    /// ```
    pub fn record_refusal(&mut self, now_ms: u64, remaining_ms: u64, draw: f64) -> u64 {
        let is_ongoing = self
            .last_refusal_ms
            .is_some_and(|last_ms| now_ms.saturating_sub(last_ms) < OVERLOAD_END_MS);
        if !is_ongoing {
            self.started_ms = now_ms;
        }
        self.last_refusal_ms = Some(now_ms);
        let age_ms = now_ms.saturating_sub(self.started_ms);
        let expected_ms = (EXPECTED_FACTOR * age_ms).max(EXPECTED_MIN_MS) as f64;
        let longest_ms = (remaining_ms / REMAINING_DIVISOR).max(PAUSE_MIN_MS);
        // Pauses beyond the longest one are spread below it instead of all ending there.
        let highest_ms = (1.5 * expected_ms).min(longest_ms as f64);
        let lowest_ms = highest_ms / 2.0;
        let pause_ms = lowest_ms + (highest_ms - lowest_ms) * draw;
        (pause_ms as u64).max(PAUSE_MIN_MS)
    }
}
