//! Requests in flight on each server from all routers, summed from the counts that other routers
//! send to this one.

#[cfg(test)]
mod tests;

use indexmap::IndexMap;

/// Number that identifies a server in messages between routers.
pub type ServerNumber = u64;
/// Requests in flight by server; servers without any are absent.
pub type Counts = IndexMap<ServerNumber, u32>;

/// Which routers' requests the counts received over a link include.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// Those of the sender and of the routers below it in the relay tree; the sender receives the
    /// counts of all routers in return.
    Subtree,
    /// Those of another seed and of the routers below it.
    Group,
    /// Those of all routers, including this one.
    Fleet,
}

#[derive(Debug)]
struct Link {
    scope: Scope,
    counts: Counts,
    /// Number of routers whose requests the counts include.
    routers: u32,
    /// Whether the routers of the link have lower numbers than this one.
    is_before: bool,
}

/// Counts received over each open link.
#[derive(Debug, Default)]
pub struct FleetCounts {
    links: IndexMap<u64, Link>,
    last_link: u64,
    /// Whether this router numbers those below it without a router above.
    is_root: bool,
    /// Number of this router as received over a link, and that link.
    index_from: Option<(u64, u32)>,
}

impl FleetCounts {
    /// Adds a link without counts and returns its number.
    pub fn open_link(&mut self, scope: Scope) -> u64 {
        self.last_link += 1;
        let link = Link {
            scope,
            counts: Counts::new(),
            routers: 1,
            is_before: false,
        };
        self.links.insert(self.last_link, link);
        self.last_link
    }

    /// Makes this router one of the roots, which number the routers of the fleet.
    pub fn set_root(&mut self) {
        self.is_root = true;
    }

    /// Records that the routers of another root's group have lower numbers than those of this one.
    pub fn set_before(&mut self, link: u64) {
        if let Some(link) = self.links.get_mut(&link) {
            link.is_before = true;
        }
    }

    /// Sets the number of this router, as received over a link.
    pub fn set_index(&mut self, link: u64, index: u32) {
        self.index_from = Some((link, index));
    }

    /// Number of this router among all routers, from 0; `None` while it is not known. Each router
    /// numbers those below it.
    ///
    /// ```
    /// use jujubeusher::decide::fleet_counts::{FleetCounts, Scope};
    /// let mut fleet = FleetCounts::default();
    /// assert_eq!(fleet.index(), None);
    /// fleet.set_root();
    /// let (first, second) = (fleet.open_link(Scope::Subtree), fleet.open_link(Scope::Subtree));
    /// fleet.set_router_count(first, 3);
    /// assert_eq!((fleet.index(), fleet.index_below(second)), (Some(0), Some(4)));
    /// ```
    pub fn index(&self) -> Option<u32> {
        let before = self.links.values().filter(|link| link.is_before);
        match self.is_root {
            true => Some(before.map(|link| link.routers).sum()),
            false => self.index_from.map(|(_, index)| index),
        }
    }

    /// Number of the router at the other end of a link below this one.
    pub fn index_below(&self, link: u64) -> Option<u32> {
        let earlier = self
            .links
            .iter()
            .filter(|(id, other)| other.scope == Scope::Subtree && **id < link);
        let earlier: u32 = earlier.map(|(_, other)| other.routers).sum();
        Some(self.index()? + 1 + earlier)
    }

    /// Applies the changed counts of a link; a count of 0 removes the server. Counts for a closed
    /// link are ignored.
    pub fn apply<I>(&mut self, link: u64, changed: I)
    where
        I: IntoIterator<Item = (ServerNumber, u32)>,
    {
        let Some(link) = self.links.get_mut(&link) else {
            return;
        };
        for (server, count) in changed {
            match count {
                0 => _ = link.counts.swap_remove(&server),
                _ => _ = link.counts.insert(server, count),
            }
        }
    }

    /// Sets the number of routers whose requests the counts of a link include, at least 1.
    pub fn set_router_count(&mut self, link: u64, routers: u32) {
        if let Some(link) = self.links.get_mut(&link) {
            link.routers = routers.max(1);
        }
    }

    /// Number of routers in this subtree: this one and those below it.
    pub fn subtree_router_count(&self) -> u32 {
        let below = self.links.values();
        let below = below.filter(|link| link.scope == Scope::Subtree);
        1 + below.map(|link| link.routers).sum::<u32>()
    }

    /// Number of routers in the fleet, as far as known over the links.
    ///
    /// ```
    /// use jujubeusher::decide::fleet_counts::{FleetCounts, Scope};
    /// let mut fleet = FleetCounts::default();
    /// fleet.open_link(Scope::Subtree);
    /// let other = fleet.open_link(Scope::Group);
    /// fleet.set_router_count(other, 5);
    /// assert_eq!(fleet.router_count(), 7);
    /// ```
    pub fn router_count(&self) -> u32 {
        let links_of = |scope| self.links.values().filter(move |link| link.scope == scope);
        let reported = links_of(Scope::Fleet).map(|link| link.routers).max();
        let counted = self.subtree_router_count()
            + links_of(Scope::Group).map(|link| link.routers).sum::<u32>();
        counted.max(reported.unwrap_or(0))
    }

    /// Removes a link and the counts received over it.
    pub fn close_link(&mut self, link: u64) {
        self.links.shift_remove(&link);
        self.index_from = self.index_from.filter(|(from, _)| *from != link);
    }

    /// Requests of this router and of those below it, to be sent to the router that relays to this
    /// one, or to the other seeds.
    pub fn subtree_counts(&self, own: &Counts) -> Counts {
        let mut sum = own.clone();
        self.add(&mut sum, Scope::Subtree);
        sum
    }

    /// Requests of all routers except this one. The counts of the whole fleet, where a link reports
    /// them, include those of the routers below.
    ///
    /// ```
    /// use jujubeusher::decide::fleet_counts::{Counts, FleetCounts, Scope};
    /// let mut fleet = FleetCounts::default();
    /// let own = Counts::from([(7, 2)]);
    /// let seed = fleet.open_link(Scope::Fleet);
    /// fleet.apply(seed, [(7, 5)]);
    /// assert_eq!(fleet.others(&own), Counts::from([(7, 3)]));
    /// ```
    pub fn others(&self, own: &Counts) -> Counts {
        let mut sum = Counts::new();
        let is_relayed = self.links.values().any(|link| link.scope == Scope::Fleet);
        if !is_relayed {
            self.add(&mut sum, Scope::Subtree);
            self.add(&mut sum, Scope::Group);
            return sum;
        }
        self.add(&mut sum, Scope::Fleet);
        for (server, count) in own {
            if let Some(total) = sum.get_mut(server) {
                *total = total.saturating_sub(*count);
            }
        }
        sum
    }

    fn add(&self, sum: &mut Counts, scope: Scope) {
        let links = self.links.values().filter(|link| link.scope == scope);
        for (server, count) in links.flat_map(|link| &link.counts) {
            *sum.entry(*server).or_default() += count;
        }
    }
}

/// Selects up to `max` changed counts to send, the largest changes first if there are more, and
/// records them in `sent`. The remaining changes are left for the next call.
///
/// ```
/// use jujubeusher::decide::fleet_counts::{Counts, next_changes};
/// let mut sent = Counts::new();
/// let now = Counts::from([(1, 2), (2, 9)]);
/// assert_eq!(next_changes(&mut sent, &now, 1), [(2, 9)]);
/// assert_eq!(next_changes(&mut sent, &now, 1), [(1, 2)]);
/// assert!(next_changes(&mut sent, &now, 1).is_empty());
/// ```
pub fn next_changes(sent: &mut Counts, now: &Counts, max: usize) -> Vec<(ServerNumber, u32)> {
    let changed = now
        .iter()
        .filter(|(server, count)| sent.get(*server) != Some(*count));
    let changed = changed.map(|(server, count)| (*server, *count));
    let removed = sent.keys().filter(|server| !now.contains_key(*server));
    let mut changes: Vec<_> = changed.chain(removed.map(|server| (*server, 0))).collect();
    if changes.len() > max {
        let change = |(server, count): &(ServerNumber, u32)| {
            let before = sent.get(server).copied().unwrap_or(0);
            before.abs_diff(*count)
        };
        changes.sort_by_key(|entry| std::cmp::Reverse(change(entry)));
        changes.truncate(max);
    }
    for (server, count) in &changes {
        match count {
            0 => _ = sent.swap_remove(server),
            _ => _ = sent.insert(*server, *count),
        }
    }
    changes
}
