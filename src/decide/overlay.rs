//! Which links a router keeps, decided from the live routers alone.
//!
//! The overlay is the union of `degree / 2` rings over all live routers, and each router
//! opens the link to its successor in each ring. A ring is connected, so the overlay is. The
//! first ring is ordered by region and zone: a zone or region that is cut off keeps a
//! connected part of it. The second is ordered by a hash over all routers, which gives links
//! to other zones and regions and a short diameter. Further rings alternate between one
//! inside each zone and one over all.

use std::cmp::Ordering;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{RegionId, RouterId, ZoneId};

/// What the decision needs of a router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Node {
    /// Its name.
    pub name: RouterId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
}

/// How a ring is ordered.
#[derive(Debug, Clone, Copy)]
enum Ring {
    /// By region, zone and hash.
    Topology,
    /// By hash over all routers.
    Fleet(u64),
    /// By hash, within the zone only.
    Zone(u64),
}

fn ring(index: usize) -> Ring {
    match (index, index % 2) {
        (0, _) => Ring::Topology,
        (_, 1) => Ring::Fleet(index as u64),
        _ => Ring::Zone(index as u64),
    }
}

fn hash(node: &Node, seed: u64) -> u64 {
    xxh3_64_with_seed(node.name.as_str().as_bytes(), seed)
}

impl Ring {
    fn holds(self, own: &Node, other: &Node) -> bool {
        match self {
            Self::Zone(_) => own.zone == other.zone,
            Self::Topology | Self::Fleet(_) => true,
        }
    }

    fn compare(self, a: &Node, b: &Node) -> Ordering {
        let by_hash = |seed| (hash(a, seed), &a.name).cmp(&(hash(b, seed), &b.name));
        match self {
            Self::Topology => (&a.region, &a.zone)
                .cmp(&(&b.region, &b.zone))
                .then_with(|| by_hash(0)),
            Self::Fleet(seed) | Self::Zone(seed) => by_hash(seed),
        }
    }

    fn successor<'a>(self, own: &Node, others: &'a [Node]) -> Option<&'a Node> {
        let members = || others.iter().filter(|other| self.holds(own, other));
        let after = members().filter(|other| self.compare(other, own) == Ordering::Greater);
        after
            .min_by(|a, b| self.compare(a, b))
            .or_else(|| members().min_by(|a, b| self.compare(a, b)))
    }
}

/// The routers that `own` should have a link to on its own account.
///
/// `others` holds the live routers that can be reached, without `own`. Each router has
/// about as many links opened towards it as it opens, so it keeps about `degree` links.
///
/// ```
/// use jujubeusher::decide::overlay::{Node, outgoing_links};
/// let node = |name: &str| Node { name: name.into(), zone: "z".into(), region: "g".into() };
/// assert_eq!(outgoing_links(&node("a"), &[node("b")], 4), ["b".into()]);
/// ```
pub fn outgoing_links(own: &Node, others: &[Node], degree: usize) -> Vec<RouterId> {
    let mut chosen: Vec<RouterId> = Vec::new();
    for index in 0..degree.div_ceil(2) {
        let Some(node) = ring(index).successor(own, others) else {
            continue;
        };
        if !chosen.contains(&node.name) {
            chosen.push(node.name.clone());
        }
    }
    chosen
}

#[cfg(test)]
mod tests;
