//! Which routers probe a backend server.

use crate::decide::rendezvous::score;
use crate::ids::{RouterId, ServerId, ZoneId};

/// How a router takes part in probing a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Probes at each tick.
    Primary,
    /// Probes more slowly, in case the first one is paused or cut off.
    Secondary,
    /// Relies on the others' rows.
    Observer,
}

/// The role of router `own` for a server, from the live routers and their zones.
///
/// The routers of the server's own zone come first; where there are none, all others do.
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
    let is_local = live.iter().any(|(_, router_zone)| router_zone == zone);
    let own_score = score(key, own.as_str(), 1.0);
    let takes_part = |router_zone: &ZoneId| !is_local || router_zone == zone;
    if !live.iter().any(|(id, z)| id == own && takes_part(z)) {
        return Role::Observer;
    }
    let before = live
        .iter()
        .filter(|(id, z)| takes_part(z) && id != own)
        .filter(|(id, _)| score(key, id.as_str(), 1.0) > own_score)
        .count();
    match before {
        0 => Role::Primary,
        1 => Role::Secondary,
        _ => Role::Observer,
    }
}

#[cfg(test)]
mod tests;
