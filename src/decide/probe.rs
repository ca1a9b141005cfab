//! Decides which routers probe a backend server.

use crate::decide::rendezvous::score;
use crate::ids::{RouterId, ServerId, ZoneId};

/// Role of a router in probing a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Probes at each tick.
    Primary,
    /// Probes at a lower rate, in case the primary is paused or partitioned.
    Secondary,
    /// Does not probe, and uses the results that the others publish.
    Observer,
}

/// Decides the role of router `own` in probing a server, from the live routers and their zones.
///
/// Only routers in the server's zone probe it; if there are none, all routers are eligible.
///
/// ```
/// use jujubeusher::decide::probe::{Role, probe_role};
/// use jujubeusher::ids::{RouterId, ServerId, ZoneId};
/// let own = RouterId::from("r1");
/// let live = [(own.clone(), ZoneId::from("z1"))];
/// assert_eq!(probe_role(&own, &ServerId::from("s1"), &ZoneId::from("z2"), &live), Role::Primary);
/// ```
pub fn probe_role(
    own: &RouterId,
    server: &ServerId,
    zone: &ZoneId,
    live: &[(RouterId, ZoneId)],
) -> Role {
    let key = xxhash_rust::xxh3::xxh3_64(server.as_str().as_bytes());
    let has_local_router = live.iter().any(|(_, router_zone)| router_zone == zone);
    let own_score = score(key, own.as_str(), 1.0);
    let is_eligible = |router_zone: &ZoneId| !has_local_router || router_zone == zone;
    if !live.iter().any(|(id, z)| id == own && is_eligible(z)) {
        return Role::Observer;
    }
    let ranked_higher = live
        .iter()
        .filter(|(id, z)| is_eligible(z) && id != own)
        .filter(|(id, _)| score(key, id.as_str(), 1.0) > own_score)
        .count();
    match ranked_higher {
        0 => Role::Primary,
        1 => Role::Secondary,
        _ => Role::Observer,
    }
}

#[cfg(test)]
mod tests;
