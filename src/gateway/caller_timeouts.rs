//! Times that callers may take, as the configuration in force states them.

use std::time::Duration;

use crate::config::routing::CallerLimits;
use crate::http::limits::TimeLimit;

/// Time beyond the stated limit for which an idle connection is kept: a request that a caller
/// sends within the limit must not meet a close, nor one that still goes by an older version.
const IDLE_MARGIN: Duration = Duration::from_secs(5);
/// Idle time until a configuration is known; longer than any that was seen in one.
const IDLE_UNKNOWN: Duration = Duration::from_secs(90);
/// Time for a header block until a configuration is known.
const HEADER_UNKNOWN: Duration = Duration::from_secs(10);

/// Limits on time of callers' connections.
#[derive(Debug, Clone)]
pub struct CallerTimeouts {
    /// For which a connection may lie idle.
    pub idle: TimeLimit,
    /// For a whole header block.
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
    /// Puts the limits of a configuration into force.
    pub fn apply(&self, limits: &CallerLimits) {
        let idle = Duration::from_millis(limits.idle_ms);
        self.idle.set(idle.saturating_add(IDLE_MARGIN));
        self.header.set(Duration::from_millis(limits.header_ms));
    }
}
