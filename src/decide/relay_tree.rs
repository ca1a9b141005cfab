//! Which router relays tables and counts to which: a tree of bounded degree below each seed, with
//! few links between availability zones.
//!
//! Answers the load of a start or a recovery, in which all routers subscribe at the same moment. In
//! a star each seed would send every table and all counts to a third of the fleet, mostly across
//! availability zones.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;

use indexmap::IndexMap;

use crate::ids::ZoneId;

/// Maximum number of subscribers from each other availability zone. Two keep the zone supplied when
/// one of them is lost; the routers of that zone subscribe to these two.
pub const OTHER_ZONE_CHILDREN_MAX: usize = 2;
/// Maximum length of the path from a seed. A complete tree of the smallest degree reaches 1,000
/// routers of a zone within 6.
pub const PATH_MAX: usize = 12;
/// A router that was redirected without success is accepted beyond the degree, up to this multiple.
const INSISTING_FACTOR: usize = 2;
/// Maximum number of routers to which a subscriber is redirected.
const REDIRECT_MAX: usize = 3;

/// Smallest degree. It keeps the tree shallow where links are narrow.
const DEGREE_MIN: usize = 4;
/// Largest degree. It bounds the messages that a router with a small core handles on fast links: 160 a
/// second in each direction.
const DEGREE_MAX: usize = 32;
/// Traffic over one link at the highest rate of counts, in kbit/s: 150 counts of 11 bytes in each
/// message, and five messages a second.
const LINK_KBIT_PER_S: f64 = 66.0;
/// Share of a router's network link that its subscribers may use for counts. A smaller share makes the
/// tree deeper and the counts older, and plain services with few slots refuse more.
const LINK_SHARE: f64 = 0.1;

/// Maximum number of subscribers from the own availability zone, for a network link of this speed.
///
/// ```
/// use jujubeusher::decide::relay_tree::degree;
/// assert_eq!(degree(10.0), 15);
/// assert_eq!(degree(20.0), 30);
/// assert_eq!(degree(1_000.0), 32);
/// ```
pub fn degree(link_mbit_per_s: f64) -> usize {
    const KBIT_PER_MBIT: f64 = 1_000.0;
    let links = link_mbit_per_s * KBIT_PER_MBIT * LINK_SHARE / LINK_KBIT_PER_S;
    (links as usize).clamp(DEGREE_MIN, DEGREE_MAX)
}

/// A router that subscribes, or asks to.
#[derive(Debug, Clone, PartialEq)]
pub struct Subscriber {
    /// Address at which it accepts subscribers itself; `None` for a version that accepts none.
    pub address: Option<SocketAddr>,
    /// Availability zone.
    pub zone: ZoneId,
    /// Maximum number of its own subscribers.
    pub degree: usize,
    /// Whether it was redirected before and no router accepted it.
    pub is_insisting: bool,
}

/// Response to a subscriber.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// The subscriber is accepted.
    Accept,
    /// The subscriber should try these routers, in this order.
    Redirect(Vec<SocketAddr>),
    /// The subscriber relays to this router, directly or not, or the path from the seed has the
    /// maximum length.
    Refuse,
}

#[derive(Debug)]
struct Child {
    subscriber: Subscriber,
    /// Number of routers in its subtree, itself included.
    routers: u32,
}

impl Child {
    /// Subscribers that it can still accept, as far as known here.
    fn free_links(&self) -> usize {
        let below = self.routers.saturating_sub(1) as usize;
        self.subscriber.degree.saturating_sub(below)
    }
}

/// This router's place in the tree: the path from its seed, and its subscribers.
#[derive(Debug)]
pub struct RelayTree {
    address: SocketAddr,
    zone: ZoneId,
    degree: usize,
    parents: Vec<SocketAddr>,
    children: IndexMap<u64, Child>,
    seeds: IndexMap<u64, (SocketAddr, ZoneId)>,
}

impl RelayTree {
    /// A router without subscribers that reads the tables itself.
    pub fn new(address: SocketAddr, zone: ZoneId, degree: usize) -> Self {
        Self {
            address,
            zone,
            degree,
            parents: Vec::new(),
            children: IndexMap::new(),
            seeds: IndexMap::new(),
        }
    }

    /// Addresses from the router that reads the tables to this one, both included.
    pub fn path(&self) -> Vec<SocketAddr> {
        let own = std::iter::once(self.address);
        self.parents.iter().copied().chain(own).collect()
    }

    /// Sets the path of the router that relays to this one; false if it passes through this router,
    /// so that no table would reach either.
    pub fn set_parents(&mut self, path: Vec<SocketAddr>) -> bool {
        let is_valid = !path.contains(&self.address) && path.len() < PATH_MAX;
        if is_valid {
            self.parents = path;
        }
        is_valid
    }

    /// Number of links from the router that reads the tables to this one.
    pub fn hops(&self) -> usize {
        self.parents.len()
    }

    /// Records that no router relays to this one.
    pub fn clear_parents(&mut self) {
        self.parents.clear();
    }

    /// Decides on a subscriber. `order` is a random number that spreads redirected subscribers over
    /// routers with equally many free links.
    pub fn admit(&self, subscriber: &Subscriber, order: u64) -> Admission {
        let Some(address) = subscriber.address else {
            return Admission::Accept;
        };
        let path = self.path();
        if path.contains(&address) || path.len() >= PATH_MAX {
            return Admission::Refuse;
        }
        let is_own_zone = subscriber.zone == self.zone;
        let candidates = self.redirect_candidates(subscriber, order);
        let limit = match is_own_zone {
            true => self.degree,
            false if self.has_seed_in(&subscriber.zone) => 0,
            false => OTHER_ZONE_CHILDREN_MAX,
        };
        let has_room = self.child_count(&subscriber.zone) < limit;
        let may_insist = subscriber.is_insisting && self.children.len() < self.insisting_max();
        match has_room || may_insist || candidates.is_empty() {
            true => Admission::Accept,
            false => Admission::Redirect(candidates),
        }
    }

    fn insisting_max(&self) -> usize {
        INSISTING_FACTOR * (self.degree + OTHER_ZONE_CHILDREN_MAX)
    }

    fn child_count(&self, zone: &ZoneId) -> usize {
        let children = self.children.values();
        children
            .filter(|child| child.subscriber.zone == *zone)
            .count()
    }

    fn has_seed_in(&self, zone: &ZoneId) -> bool {
        self.seeds.values().any(|(_, seed)| seed == zone)
    }

    /// Routers of the subscriber's zone that can relay to it: a seed, else the children with the
    /// most free links.
    fn redirect_candidates(&self, subscriber: &Subscriber, order: u64) -> Vec<SocketAddr> {
        let seeds = self.seeds.values();
        let mut candidates: Vec<SocketAddr> = seeds
            .filter(|(_, zone)| *zone == subscriber.zone)
            .map(|(address, _)| *address)
            .collect();
        let same_zone = |child: &&Child| child.subscriber.zone == subscriber.zone;
        let mut children: Vec<&Child> = self.children.values().filter(same_zone).collect();
        if !children.is_empty() {
            let first = order as usize % children.len();
            children.rotate_left(first);
        }
        children.sort_by_key(|child| std::cmp::Reverse(child.free_links()));
        candidates.extend(children.iter().filter_map(|child| child.subscriber.address));
        candidates.retain(|candidate| Some(*candidate) != subscriber.address);
        candidates.truncate(REDIRECT_MAX);
        candidates
    }

    /// Adds an accepted subscriber under the number of its link.
    pub fn add_child(&mut self, link: u64, subscriber: Subscriber) {
        let child = Child {
            subscriber,
            routers: 1,
        };
        self.children.insert(link, child);
    }

    /// Sets the number of routers in a child's subtree.
    pub fn set_subtree(&mut self, link: u64, routers: u32) {
        if let Some(child) = self.children.get_mut(&link) {
            child.routers = routers;
        }
    }

    /// Adds the link to another seed.
    pub fn add_seed(&mut self, link: u64, address: SocketAddr, zone: ZoneId) {
        self.seeds.insert(link, (address, zone));
    }

    /// Removes the link to a child or a seed.
    pub fn remove_link(&mut self, link: u64) {
        self.children.shift_remove(&link);
        self.seeds.shift_remove(&link);
    }

    /// Number of subscribers.
    pub fn children(&self) -> usize {
        self.children.len()
    }
}
