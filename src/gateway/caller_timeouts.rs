//! Timeouts of callers' connections, as set by the configuration in force.

use std::time::Duration;

use crate::config::routing::CallerLimits;
use crate::http::limits::TimeLimit;

/// Time beyond the configured limit for which an idle connection is kept, so that a request sent
/// within the limit does not race with the close, even from a caller that still uses the limit of
/// an older configuration.
const IDLE_MARGIN: Duration = Duration::from_secs(5);
/// Idle timeout until a configuration is known; longer than any known configuration sets.
const IDLE_UNKNOWN: Duration = Duration::from_secs(90);
/// Timeout for a header block until a configuration is known.
const HEADER_UNKNOWN: Duration = Duration::from_secs(10);

/// Timeouts of callers' connections; clones share their values.
#[derive(Debug, Clone)]
pub struct CallerTimeouts {
    /// Time for which a connection may be idle.
    pub idle: TimeLimit,
    /// Time for receiving a complete header block.
    pub header: TimeLimit,
}

impl Default for CallerTimeouts {
    fn default() -> Self {
        Self {
            idle: IDLE_UNKNOWN.into(),
            header: HEADER_UNKNOWN.into(),
        }
    }
}

impl CallerTimeouts {
    /// Applies the limits of a configuration, also to open connections.
    pub fn apply(&self, limits: &CallerLimits) {
        let idle = Duration::from_millis(limits.idle_timeout_ms);
        self.idle.set(idle.saturating_add(IDLE_MARGIN));
        self.header
            .set(Duration::from_millis(limits.header_timeout_ms));
    }
}
