//! Weighted fair sharing of capacity between teams, across all routers.
//!
//! A team's use is its number of requests in flight at all routers, averaged over several
//! seconds. A team therefore gains nothing from reaching more routers, nor from callers that
//! retry quickly after a refusal.

use indexmap::IndexMap;

use crate::ids::{Class, RouterId, TeamId};

/// Time constant of the averaged use in ms: several request durations, so that a team whose
/// requests were refused for a while can catch up, but short enough for past use to expire soon.
const AVERAGING_TIME_MS: f64 = 10_000.0;
/// Averaged requests in flight below which a team counts as idle.
const IDLE_REQUESTS: f64 = 0.05;

/// Fraction of the mean use per weight below which a team counts as a light user. The use of teams
/// that fill their share stays within an eighth of the share, well above this fraction.
const LIGHT_USE_FRACTION: f64 = 0.7;

/// Class and weight that the inventory assigns to a team.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// Service class; capacity is shared among the teams of one class.
    pub class: Class,
    /// Relative weight of the team's share.
    pub weight: u32,
}

#[derive(Debug, Clone)]
struct TeamUse {
    grant: Grant,
    own: u32,
    others: IndexMap<RouterId, u32>,
    others_total: u32,
    average: f64,
    as_of_ms: u64,
}

impl TeamUse {
    fn new(grant: Grant, now_ms: u64) -> Self {
        Self {
            grant,
            own: 0,
            others: IndexMap::new(),
            others_total: 0,
            average: 0.0,
            as_of_ms: now_ms,
        }
    }

    fn in_flight(&self) -> u32 {
        self.own + self.others_total
    }

    fn average_at(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.as_of_ms) as f64;
        let decay = (-elapsed_ms / AVERAGING_TIME_MS).exp();
        self.average * decay + f64::from(self.in_flight()) * (1.0 - decay)
    }

    fn advance(&mut self, now_ms: u64) {
        self.average = self.average_at(now_ms);
        self.as_of_ms = self.as_of_ms.max(now_ms);
    }

    fn per_weight(&self, now_ms: u64) -> f64 {
        self.average_at(now_ms) / f64::from(self.grant.weight)
    }
}

/// Requests in flight by team across the fleet, as known to one router.
#[derive(Debug, Clone, Default)]
pub struct Shares {
    teams: IndexMap<TeamId, TeamUse>,
}

impl Shares {
    fn team(&mut self, team: &TeamId, grant: Grant, now_ms: u64) -> &mut TeamUse {
        let entry = self.teams.entry(team.clone());
        let entry = entry.or_insert_with(|| TeamUse::new(grant, now_ms));
        entry.grant = grant;
        entry.advance(now_ms);
        entry
    }

    /// Records that a request of a team started at this router.
    pub fn start(&mut self, team: &TeamId, grant: Grant, now_ms: u64) {
        self.team(team, grant, now_ms).own += 1;
    }

    /// Records that a request of a team ended at this router.
    pub fn finish(&mut self, team: &TeamId, now_ms: u64) {
        if let Some(entry) = self.teams.get_mut(team) {
            entry.advance(now_ms);
            entry.own = entry.own.saturating_sub(1);
        }
    }

    /// Sets the number of requests that another router has in flight for a team.
    pub fn record_peer_in_flight(
        &mut self,
        router: &RouterId,
        team: &TeamId,
        grant: Grant,
        in_flight: u32,
        now_ms: u64,
    ) {
        let entry = self.team(team, grant, now_ms);
        let before = match in_flight {
            0 => entry.others.swap_remove(router),
            _ => entry.others.insert(router.clone(), in_flight),
        };
        entry.others_total = entry.others_total + in_flight - before.unwrap_or(0);
    }

    /// Removes the requests of routers that are no longer live, then the teams that are idle.
    pub fn prune(&mut self, is_live: impl Fn(&RouterId) -> bool, now_ms: u64) {
        for entry in self.teams.values_mut() {
            entry.advance(now_ms);
            entry.others.retain(|router, _| is_live(router));
            entry.others_total = entry.others.values().sum();
        }
        self.teams
            .retain(|_, entry| entry.in_flight() > 0 || entry.average > IDLE_REQUESTS);
    }

    /// A team's averaged use per weight as a multiple of the fair share of its class; 0 for an
    /// unknown team.
    ///
    /// The fair share is the mean use per weight of the teams that use about as much as they may.
    /// Teams that use clearly less have no unmet demand, and the others share what they leave.
    ///
    /// ```
    /// use jujubeusher::decide::fair_share::{Grant, Shares};
    /// use jujubeusher::ids::{Class, TeamId};
    /// let (a, b) = (TeamId::from("a"), TeamId::from("b"));
    /// let grant = Grant { class: Class::Paying, weight: 1 };
    /// let mut shares = Shares::default();
    /// for team in [&a, &a, &a, &b, &b] {
    ///     shares.start(team, grant, 0);
    /// }
    /// assert!((shares.level(&a, 1_000) - 1.2).abs() < 0.01);
    /// assert!((shares.level(&b, 1_000) - 0.8).abs() < 0.01);
    /// ```
    pub fn level(&self, team: &TeamId, now_ms: u64) -> f64 {
        let Some(entry) = self.teams.get(team) else {
            return 0.0;
        };
        let mut uses: Vec<(f64, f64)> = self
            .teams
            .values()
            .filter(|other| other.grant.class == entry.grant.class)
            .map(|other| (other.average_at(now_ms), f64::from(other.grant.weight)))
            .filter(|(average, _)| *average > IDLE_REQUESTS)
            .collect();
        match fair_share(&mut uses) {
            fair if fair > 0.0 => entry.per_weight(now_ms) / fair,
            _ => 0.0,
        }
    }

    /// Requests of a class in flight at all routers, as far as known to this one.
    pub fn class_in_flight(&self, class: Class) -> u32 {
        let of_class = self.teams.values().filter(|e| e.grant.class == class);
        of_class.map(TeamUse::in_flight).sum()
    }

    /// The `count` teams with the most requests in flight at this router, largest first; they are
    /// published to the other routers.
    pub fn top_teams(&self, count: usize) -> Vec<(TeamId, u32)> {
        let own = self.teams.iter().filter(|(_, entry)| entry.own > 0);
        let mut teams: Vec<_> = own.map(|(id, entry)| (id.clone(), entry.own)).collect();
        teams.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
        teams.truncate(count);
        teams
    }

    /// All known teams, each with its requests in flight at this router and at all routers.
    pub fn in_flight(&self) -> impl Iterator<Item = (&TeamId, u32, u32)> {
        self.teams
            .iter()
            .map(|(id, entry)| (id, entry.own, entry.in_flight()))
    }
}

/// Mean use per weight of the teams that are not light users. `uses` holds pairs of averaged use
/// and weight; light users are removed from it.
fn fair_share(uses: &mut Vec<(f64, f64)>) -> f64 {
    loop {
        let (used, weight) = uses
            .iter()
            .fold((0.0, 0.0), |sum, team| (sum.0 + team.0, sum.1 + team.1));
        if weight == 0.0 {
            return 0.0;
        }
        let mean = used / weight;
        let count = uses.len();
        uses.retain(|(average, weight)| average / weight >= LIGHT_USE_FRACTION * mean);
        if uses.len() == count {
            return mean;
        }
    }
}

#[cfg(test)]
mod tests;
