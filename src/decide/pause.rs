//! Pauses that backend servers ask for when they decline a request.

#[cfg(test)]
mod tests;

use crate::ids::Incarnation;

/// Longest pause that is heeded. A faulty server may state any time.
pub const PAUSE_MAX_MS: u64 = 600_000;
/// Routers resume within this share of the pause after its end, so that they do not all return at
/// the same moment.
const SPREAD_SHARE: f64 = 0.25;
/// Longest time within which routers resume.
const SPREAD_MAX_MS: f64 = 1_000.0;
/// Time after a pause in which other servers are preferred, so that the load returns gradually.
const RAMP_MS: u64 = 1_000;

/// A pause of one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pause {
    incarnation: Incarnation,
    until_ms: u64,
    is_bounded: bool,
}

impl Pause {
    /// A pause of `pause_ms` from now on, at most [`PAUSE_MAX_MS`]. `draw`, from 0 to 1, spreads the
    /// routers over a time after its end.
    ///
    /// ```
    /// use jujubeusher::decide::pause::Pause;
    /// use jujubeusher::ids::Incarnation;
    /// let pause = Pause::new(Incarnation(1), 2_000, 0.5, 100);
    /// assert_eq!(pause.end_ms(Incarnation(1), 100), Some(2_350));
    /// assert_eq!(pause.end_ms(Incarnation(1), 2_350), None);
    /// assert_eq!(pause.end_ms(Incarnation(2), 100), None);
    /// ```
    pub fn new(incarnation: Incarnation, pause_ms: u64, draw: f64, now_ms: u64) -> Self {
        let is_bounded = pause_ms > PAUSE_MAX_MS;
        let pause_ms = pause_ms.min(PAUSE_MAX_MS);
        let spread_ms = (SPREAD_SHARE * pause_ms as f64).min(SPREAD_MAX_MS);
        Self {
            incarnation,
            until_ms: now_ms + pause_ms + (spread_ms * draw) as u64,
            is_bounded,
        }
    }

    /// The pause after another one was asked for: each holds until its end.
    pub fn extend(self, other: Self) -> Self {
        match (self.incarnation, self.until_ms) >= (other.incarnation, other.until_ms) {
            true => self,
            false => other,
        }
    }

    /// End of the pause; `None` if it is over, or if the server has been restarted since.
    pub fn end_ms(&self, incarnation: Incarnation, now_ms: u64) -> Option<u64> {
        let is_in_force = self.incarnation == incarnation && now_ms < self.until_ms;
        is_in_force.then_some(self.until_ms)
    }

    /// Whether the server asked for a longer time than is heeded.
    pub fn is_bounded(&self) -> bool {
        self.is_bounded
    }

    /// Whether the pause is in force or ended a short while ago.
    pub fn is_recent(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms + RAMP_MS
    }
}

/// Whether a request waits for the end of a pause: it does if at least `run_ms` are left then.
///
/// ```
/// use jujubeusher::decide::pause::can_wait;
/// assert!(can_wait(800, 4_000, 500));
/// assert!(!can_wait(3_800, 4_000, 500));
/// ```
pub fn can_wait(end_ms: u64, deadline_ms: u64, run_ms: u64) -> bool {
    end_ms + run_ms <= deadline_ms
}
