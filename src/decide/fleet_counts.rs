//! Requests that all routers together have on each server, from the counts that reach this one.

#[cfg(test)]
mod tests;

use indexmap::IndexMap;

/// Number that stands for a server between routers.
pub type ServerNumber = u64;
/// Requests on each server.
pub type Counts = IndexMap<ServerNumber, u32>;

/// What the other end of a link counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// Its own requests; it is told those of all routers.
    Own,
    /// Those of itself and of the routers that tell it theirs.
    Group,
    /// Those of all routers, this one included.
    Fleet,
}

#[derive(Debug)]
struct Link {
    scope: Scope,
    counts: Counts,
    /// Routers that the other end counts for.
    routers: u32,
}

/// The counts that came over each link.
#[derive(Debug, Default)]
pub struct FleetCounts {
    links: IndexMap<u64, Link>,
    next: u64,
}

impl FleetCounts {
    /// Opens a link; its counts begin at zero.
    pub fn open_link(&mut self, scope: Scope) -> u64 {
        self.next += 1;
        let link = Link {
            scope,
            counts: Counts::new(),
            routers: 1,
        };
        self.links.insert(self.next, link);
        self.next
    }

    /// Takes up counts that changed.
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

    /// Takes up how many routers the other end counts for.
    pub fn set_router_count(&mut self, link: u64, routers: u32) {
        if let Some(link) = self.links.get_mut(&link) {
            link.routers = routers.max(1);
        }
    }

    /// Routers of this group: this one and those that tell it their counts.
    pub fn group_router_count(&self) -> u32 {
        let own = self.links.values().filter(|link| link.scope == Scope::Own);
        1 + own.count() as u32
    }

    /// All routers, as far as they are known over the links.
    ///
    /// ```
    /// use jujubeusher::decide::fleet_counts::{FleetCounts, Scope};
    /// let mut fleet = FleetCounts::default();
    /// fleet.open_link(Scope::Own);
    /// let other = fleet.open_link(Scope::Group);
    /// fleet.set_router_count(other, 5);
    /// assert_eq!(fleet.router_count(), 7);
    /// ```
    pub fn router_count(&self) -> u32 {
        let of = |scope| self.links.values().filter(move |link| link.scope == scope);
        let told = of(Scope::Fleet).map(|link| link.routers).max();
        let counted =
            self.group_router_count() + of(Scope::Group).map(|link| link.routers).sum::<u32>();
        counted.max(told.unwrap_or(0))
    }

    /// Forgets a link and what came over it.
    pub fn close_link(&mut self, link: u64) {
        self.links.shift_remove(&link);
    }

    /// Requests of this router and of those that tell it theirs, for the other groups.
    pub fn group_counts(&self, own: &Counts) -> Counts {
        let mut sum = own.clone();
        self.add(&mut sum, Scope::Own);
        sum
    }

    /// Requests of all routers but this one.
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
        self.add(&mut sum, Scope::Fleet);
        for (server, count) in own {
            if let Some(total) = sum.get_mut(server) {
                *total = total.saturating_sub(*count);
            }
        }
        self.add(&mut sum, Scope::Own);
        self.add(&mut sum, Scope::Group);
        sum
    }

    fn add(&self, sum: &mut Counts, scope: Scope) {
        let links = self.links.values().filter(|link| link.scope == scope);
        for (server, count) in links.flat_map(|link| &link.counts) {
            *sum.entry(*server).or_default() += count;
        }
    }
}

/// What to tell of the counts, at most `max`: the largest changes first. It is taken as told; the
/// rest is left for the next time.
///
/// ```
/// use jujubeusher::decide::fleet_counts::{Counts, next_changes};
/// let mut told = Counts::new();
/// let now = Counts::from([(1, 2), (2, 9)]);
/// assert_eq!(next_changes(&mut told, &now, 1), [(2, 9)]);
/// assert_eq!(next_changes(&mut told, &now, 1), [(1, 2)]);
/// assert!(next_changes(&mut told, &now, 1).is_empty());
/// ```
pub fn next_changes(told: &mut Counts, now: &Counts, max: usize) -> Vec<(ServerNumber, u32)> {
    let changed = now
        .iter()
        .filter(|(server, count)| told.get(*server) != Some(*count));
    let changed = changed.map(|(server, count)| (*server, *count));
    let gone = told.keys().filter(|server| !now.contains_key(*server));
    let mut changes: Vec<_> = changed.chain(gone.map(|server| (*server, 0))).collect();
    if changes.len() > max {
        let change = |(server, count): &(ServerNumber, u32)| {
            let before = told.get(server).copied().unwrap_or(0);
            before.abs_diff(*count)
        };
        changes.sort_by_key(|entry| std::cmp::Reverse(change(entry)));
        changes.truncate(max);
    }
    for (server, count) in &changes {
        match count {
            0 => _ = told.swap_remove(server),
            _ => _ = told.insert(*server, *count),
        }
    }
    changes
}
