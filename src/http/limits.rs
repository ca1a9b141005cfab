//! Limits on what a peer may send and hold open.

use std::time::Duration;

/// Limits of a listener.
#[derive(Debug, Clone)]
pub struct ServerLimits {
    /// Most bytes of a header block.
    pub header_bytes: usize,
    /// Most headers.
    pub headers_max: usize,
    /// Longest wait for a whole header block after its first byte.
    pub header_timeout: Duration,
    /// Longest wait for a request on an open connection, or for a caller to read on.
    pub idle_timeout: Duration,
    /// Most open connections; more are refused and closed at once.
    pub connections_max: usize,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            headers_max: 64,
            header_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
            connections_max: 1024,
        }
    }
}
