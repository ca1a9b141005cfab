//! Limits on the wait for an event of a stream.

use std::time::Duration;

/// Rate at which a part of an event must arrive to extend the wait for its end. A byte now and
/// then stays far below it, and an event of some tokens needs under a second.
const EVENT_MIN_BYTES_PER_S: u64 = 100;

/// How long to wait for an event. Answers the load of a server that stalls, but sends a byte or a
/// comment now and then: only a part of an event that arrives at a fair rate extends the wait.
#[derive(Debug, Clone, Copy)]
pub struct EventWait {
    /// Longest time without progress.
    pub stall_ms: u64,
    /// Longest time in all, whatever arrives.
    pub total_ms: u64,
}

impl EventWait {
    /// A wait that ends after `total_ms`, whatever arrives.
    pub fn until(total_ms: u64) -> Self {
        Self {
            stall_ms: total_ms,
            total_ms,
        }
    }

    /// What is left of the wait after this time.
    pub fn after(self, elapsed_ms: u64) -> Self {
        Self {
            stall_ms: self.stall_ms.saturating_sub(elapsed_ms),
            total_ms: self.total_ms.saturating_sub(elapsed_ms),
        }
    }

    /// Time to wait for further bytes when `received_bytes` of an incomplete event have arrived;
    /// `None` once the wait is over.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jujubeusher::http::event_wait::EventWait;
    /// let wait = EventWait { stall_ms: 2_000, total_ms: 9_000 };
    /// assert_eq!(wait.remaining(500, 0), Some(Duration::from_millis(1_500)));
    /// assert_eq!(wait.remaining(2_000, 2), Some(Duration::from_millis(20)));
    /// assert_eq!(wait.remaining(2_000, 0), None);
    /// assert_eq!(wait.remaining(8_999, 1_000_000), Some(Duration::from_millis(1)));
    /// assert_eq!(wait.remaining(9_000, 1_000_000), None);
    /// ```
    pub fn remaining(self, elapsed_ms: u64, received_bytes: u64) -> Option<Duration> {
        const MS_PER_S: u64 = 1_000;
        let extension_ms = received_bytes * MS_PER_S / EVENT_MIN_BYTES_PER_S;
        let limit_ms = self
            .total_ms
            .min(self.stall_ms.saturating_add(extension_ms));
        let remaining_ms = limit_ms.checked_sub(elapsed_ms)?;
        (remaining_ms > 0).then(|| Duration::from_millis(remaining_ms))
    }
}
