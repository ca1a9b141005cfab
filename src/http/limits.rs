//! Limits on what a peer may send and hold open.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// A limit on time that may change while connections are open. Clones share it.
#[derive(Debug, Clone)]
pub struct TimeLimit(Arc<AtomicU64>);

impl TimeLimit {
    /// The limit now.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jujubeusher::http::limits::TimeLimit;
    /// let limit = TimeLimit::from(Duration::from_secs(60));
    /// limit.clone().set(Duration::from_secs(15));
    /// assert_eq!(limit.get(), Duration::from_secs(15));
    /// ```
    pub fn get(&self) -> Duration {
        Duration::from_millis(self.0.load(Ordering::Relaxed))
    }

    /// Changes the limit, also of connections that are open.
    pub fn set(&self, limit: Duration) {
        let ms = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
        self.0.store(ms, Ordering::Relaxed);
    }
}

impl From<Duration> for TimeLimit {
    fn from(limit: Duration) -> Self {
        let shared = Self(Arc::default());
        shared.set(limit);
        shared
    }
}

/// Limits of a listener.
#[derive(Debug, Clone)]
pub struct ServerLimits {
    /// Most bytes of a header block.
    pub header_bytes: usize,
    /// Most headers.
    pub headers_max: usize,
    /// Longest wait for a whole header block after its first byte.
    pub header_timeout: TimeLimit,
    /// Longest wait for a request on an open connection, or for a caller to read on.
    pub idle_timeout: TimeLimit,
    /// Most open connections; more are refused and closed at once.
    pub connections_max: usize,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            headers_max: 64,
            header_timeout: Duration::from_secs(10).into(),
            idle_timeout: Duration::from_secs(60).into(),
            connections_max: 1024,
        }
    }
}
