//! Request counts of the whole fleet, as summed from all links.

use crate::decide::fleet_counts::Counts;

/// Request counts of the fleet as known to this router at one point in time.
#[derive(Debug, Clone, Default)]
pub struct FleetTotals {
    /// Requests of this router and of those below it in the relay tree.
    pub subtree: Counts,
    /// Number of routers in the subtree.
    pub subtree_routers: u32,
    /// Requests of all routers.
    pub all: Counts,
    /// Number of all routers, as far as known.
    pub routers: u32,
    /// When the sums were computed.
    pub(super) as_of_ms: u64,
}

/// Counts of the other routers that the load estimates include.
#[derive(Debug, Default)]
pub(super) struct AppliedCounts {
    pub(super) counts: Counts,
    pub(super) as_of_ms: Option<u64>,
}

/// Interval at which sums over all links are computed at most: a router with 32 links receives a
/// message every 6 ms, and each sum passes over all servers.
const TOTALS_REFRESH_MS: u64 = 50;

/// Whether a value of `as_of_ms` is as old as the refresh interval.
pub(super) fn is_due(as_of_ms: u64, now_ms: u64) -> bool {
    now_ms.saturating_sub(as_of_ms) >= TOTALS_REFRESH_MS
}
