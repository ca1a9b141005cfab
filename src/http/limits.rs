//! Limits on the connections, headers and idle times of a listener's clients.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// A timeout that may change while connections are open. Clones share it.
#[derive(Debug, Clone)]
pub struct TimeLimit(Arc<AtomicU64>);

impl TimeLimit {
    /// The current limit, in whole milliseconds.
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

    /// Changes the limit, also for open connections.
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

/// Receive buffer that is requested for a connection whose bytes are read as they arrive. The system's
/// own grows up to 6 MB if it is not read; 128 KiB carry 1 Gbit/s at a round trip of 1 ms.
pub const RECEIVE_BUFFER_BYTES: usize = 128 * 1024;

/// Limits of a listener.
#[derive(Debug, Clone)]
pub struct ServerLimits {
    /// Maximum size of a header block in bytes.
    pub header_bytes: usize,
    /// Maximum number of headers.
    pub headers_max: usize,
    /// Timeout from the first byte of a header block to its end.
    pub header_timeout: TimeLimit,
    /// Timeout for the first byte of a request on an idle connection, and for a caller to continue
    /// reading a response.
    pub idle_timeout: TimeLimit,
    /// Maximum number of open connections; further ones are refused and closed at once.
    pub connections_max: usize,
    /// Receive buffer that is requested from the system for each connection; `None` leaves it to the
    /// system.
    pub receive_buffer_bytes: Option<usize>,
    /// Announced length of a body from which its connection is closed after the response, since its
    /// receive buffer may have been extended.
    pub close_from_body_bytes: Option<u64>,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            headers_max: 64,
            header_timeout: Duration::from_secs(10).into(),
            idle_timeout: Duration::from_secs(60).into(),
            connections_max: 1024,
            receive_buffer_bytes: None,
            close_from_body_bytes: None,
        }
    }
}
