//! Decides which links a router opens to other routers, from the list of live routers alone.
//!
//! The overlay is the union of `degree / 2` rings over all live routers, and each router
//! opens the link to its successor in each ring. Each ring over all routers is connected, and
//! with it the overlay. The first ring is ordered by region and zone, so that a partitioned zone or
//! region remains connected internally. The second is ordered by a hash over all routers, which
//! links zones and regions and keeps the diameter small. Further rings alternate between rings
//! within each zone and rings over all routers.

use std::cmp::Ordering;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{RegionId, RouterId, ZoneId};

/// Name and location of a router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Node {
    pub name: RouterId,
    pub zone: ZoneId,
    pub region: RegionId,
}

/// Members and order of a ring.
#[derive(Debug, Clone, Copy)]
enum Ring {
    /// All routers, ordered by region, zone and hash.
    Topology,
    /// All routers, ordered by hash.
    Fleet(u64),
    /// The routers of one zone, ordered by hash.
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
    fn contains(self, own: &Node, other: &Node) -> bool {
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
        let members = || others.iter().filter(|other| self.contains(own, other));
        let successors = members().filter(|other| self.compare(other, own) == Ordering::Greater);
        successors
            .min_by(|a, b| self.compare(a, b))
            .or_else(|| members().min_by(|a, b| self.compare(a, b)))
    }
}

/// The routers to which `own` should open a link.
///
/// `others` holds the other live routers that can be reached. About as many links are opened to a
/// router as it opens itself, so it has about `degree` links in total.
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
