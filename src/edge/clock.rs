//! Clock. Time is read outside of decisions and passed to them in milliseconds.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Source of time.
pub trait Clock: Send + Sync {
    /// Milliseconds since the clock was created; never decreases.
    fn monotonic_ms(&self) -> u64;
    /// Milliseconds since 1970 by the host's clock, which may be adjusted.
    fn wall_ms(&self) -> u64;
}

/// Clock of the host.
#[derive(Debug)]
pub struct HostClock {
    start: Instant,
}

impl HostClock {
    /// Creates a clock whose monotonic time starts now.
    pub fn open() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Clock for HostClock {
    fn monotonic_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn wall_ms(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |elapsed| elapsed.as_millis() as u64)
    }
}
