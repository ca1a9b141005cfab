//! Clock. Time is read outside of decisions and passed to them in milliseconds.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Source of time.
pub trait Clock: Send + Sync {
    /// Milliseconds since the clock was created; never decreases.
    fn monotonic_ms(&self) -> u64;
    /// Like `monotonic_ms`, but also counts the time in which the host was suspended.
    fn boot_ms(&self) -> u64 {
        self.monotonic_ms()
    }
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

    fn boot_ms(&self) -> u64 {
        const MS_PER_S: u64 = 1_000;
        const NS_PER_MS: u64 = 1_000_000;
        let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        now.tv_sec as u64 * MS_PER_S + now.tv_nsec as u64 / NS_PER_MS
    }

    fn wall_ms(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |elapsed| elapsed.as_millis() as u64)
    }
}
