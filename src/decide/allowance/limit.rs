//! One divided limit at one router: demand, minting, and units.

use indexmap::IndexMap;

use crate::decide::allowance::{Claimant, Demand, IDLE_MS, LimitKey, Role, Terms};

/// Interval at which the own demand is measured, that of the reports.
const FOLD_MS: u64 = 200;
/// Share of the last interval in the mean of the own demand.
const FOLD_WEIGHT: f64 = 0.5;
/// Demand below which none is reported.
const DEMAND_MIN_PER_S: f64 = 0.05;
/// Time for which a received demand holds. Reports come every 200 ms, and a limit may be left out of
/// four of five.
const DEMAND_KEEP_MS: u64 = 1_100;
/// Units whose ends are this close are kept and sent together, with the earliest end.
const LOT_MS: u64 = 25;
/// Interval between messages with grants.
const GRANT_PERIOD_MS: u64 = 200;
const US_PER_MS: u64 = 1_000;
const MS_PER_S: f64 = 1_000.0;

/// Units with a common end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Lot {
    pub units: u32,
    pub end_ms: u64,
}

/// Units in the order of their ends.
#[derive(Debug, Default)]
struct Lots(Vec<Lot>);

impl Lots {
    fn add(&mut self, units: u32, end_ms: u64) {
        if units == 0 {
            return;
        }
        let index = self.0.partition_point(|lot| lot.end_ms <= end_ms);
        if let Some(lot) = index.checked_sub(1).and_then(|index| self.0.get_mut(index))
            && end_ms < lot.end_ms + LOT_MS
        {
            lot.units = lot.units.saturating_add(units);
            return;
        }
        self.0.insert(index, Lot { units, end_ms });
    }

    /// Removes the units that have ended, and returns their number.
    fn expire(&mut self, now_ms: u64) -> u64 {
        let ended = self.0.partition_point(|lot| lot.end_ms <= now_ms);
        let ended = self.0.drain(..ended);
        ended.map(|lot| u64::from(lot.units)).sum()
    }
}

/// What another router asked for.
#[derive(Debug, Clone, Copy)]
struct Claim {
    rate_per_s: f64,
    terms: Terms,
    received_ms: u64,
}

impl Claim {
    fn is_fresh(&self, now_ms: u64) -> bool {
        now_ms < self.received_ms + DEMAND_KEEP_MS
    }
}

#[derive(Debug, Default)]
pub(super) struct Limit {
    /// Terms as this router derives them; `None` until its own requests ask.
    own_terms: Option<Terms>,
    /// Time of the last own request that asked.
    asked_ms: u64,
    own_asked: u32,
    own_rate_per_s: f64,
    folded_ms: u64,
    used_ms: u64,
    claims: IndexMap<Claimant, Claim>,
    /// Fractions of units that each claimant is owed, carried from unit to unit.
    credit: IndexMap<Claimant, f64>,
    /// Earliest time of the next unit; `None` before the first one.
    next_mint_us: Option<u64>,
    own: Lots,
    granted: IndexMap<Claimant, Lots>,
    /// Time of the last unit from another router, and the mean interval between them.
    received_ms: Option<u64>,
    received_every_ms: f64,
}

impl Limit {
    /// Records that a request asks for room.
    pub fn ask(&mut self, terms: Terms, now_ms: u64) {
        self.fold(now_ms);
        self.own_terms = Some(terms);
        self.asked_ms = now_ms;
        self.own_asked = self.own_asked.saturating_add(1);
        self.used_ms = now_ms;
    }

    fn fold(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.folded_ms);
        if elapsed_ms < FOLD_MS {
            return;
        }
        let kept = (1.0 - FOLD_WEIGHT).powf(elapsed_ms as f64 / FOLD_MS as f64);
        let asked_per_s = f64::from(self.own_asked) * MS_PER_S / elapsed_ms as f64;
        self.own_rate_per_s = kept * self.own_rate_per_s + (1.0 - kept) * asked_per_s;
        self.own_asked = 0;
        self.folded_ms = now_ms;
    }

    /// Demand of this router's own requests, including those since it was last measured.
    fn own_demand(&self) -> f64 {
        let demand = self.own_rate_per_s + f64::from(self.own_asked);
        match demand < DEMAND_MIN_PER_S {
            true => 0.0,
            false => demand,
        }
    }

    /// Records the demand of another router.
    pub fn claim(&mut self, from: Claimant, demand: &Demand, now_ms: u64) {
        let claim = Claim {
            rate_per_s: demand.rate_per_s.max(0.0),
            terms: demand.terms.clamped(),
            received_ms: now_ms,
        };
        self.claims.insert(from, claim);
        self.used_ms = now_ms;
    }

    pub fn close(&mut self, from: Claimant) {
        self.claims.swap_remove(&from);
        self.credit.swap_remove(&from);
        self.granted.swap_remove(&from);
    }

    /// Whether the limit can be forgotten without minting a unit too early afterwards.
    pub fn is_idle(&self, now_ms: u64) -> bool {
        let is_next_due = self
            .next_mint_us
            .is_none_or(|next_us| next_us <= now_ms * US_PER_MS);
        is_next_due && now_ms >= self.used_ms + IDLE_MS
    }

    fn terms(&self, now_ms: u64) -> Option<Terms> {
        let claims = self.claims.values().filter(|claim| claim.is_fresh(now_ms));
        // Terms of a request from long ago may be those of a limit that has changed since.
        let is_own_fresh = now_ms < self.asked_ms + IDLE_MS;
        let own_terms = self.own_terms.filter(|_| is_own_fresh);
        let terms = claims.map(|claim| claim.terms).chain(own_terms);
        terms.reduce(Terms::strictest)
    }

    /// Demand of this router and those below it.
    pub fn group_demand(&mut self, key: LimitKey, now_ms: u64) -> Option<Demand> {
        self.fold(now_ms);
        let rate_per_s = self
            .group_weights(now_ms)
            .iter()
            .map(|(_, rate)| rate)
            .sum();
        Some(Demand {
            key,
            rate_per_s,
            terms: self.terms(now_ms)?,
        })
        .filter(|demand| demand.rate_per_s >= DEMAND_MIN_PER_S)
    }

    fn group_weights(&self, now_ms: u64) -> Vec<(Claimant, f64)> {
        let below = self.claims.iter().filter(|(claimant, claim)| {
            matches!(claimant, Claimant::Below(_)) && claim.is_fresh(now_ms)
        });
        let below = below.map(|(claimant, claim)| (*claimant, claim.rate_per_s));
        let own = std::iter::once((Claimant::Own, self.own_demand()));
        own.chain(below).filter(|(_, rate)| *rate > 0.0).collect()
    }

    /// Weights of all that a seed mints for. Its part goes to another seed only as far as its own
    /// group's share of the demand is smaller, so that even demand sends nothing between seeds.
    fn seed_weights(&self, seeds: u32, now_ms: u64) -> Vec<(Claimant, f64)> {
        let mut weights = self.group_weights(now_ms);
        let others = self.claims.iter().filter(|(claimant, claim)| {
            matches!(claimant, Claimant::Seed(_)) && claim.is_fresh(now_ms)
        });
        let others: Vec<(Claimant, f64)> = others
            .map(|(claimant, claim)| (*claimant, claim.rate_per_s))
            .collect();
        let group: f64 = weights.iter().map(|(_, rate)| rate).sum();
        let total: f64 = group + others.iter().map(|(_, rate)| rate).sum::<f64>();
        let part = total / f64::from(seeds.max(1));
        if group >= part {
            return weights;
        }
        let excesses = others
            .iter()
            .map(|(claimant, rate)| (*claimant, (rate - part).max(0.0)));
        let excesses: Vec<_> = excesses.filter(|(_, excess)| *excess > 0.0).collect();
        let excess: f64 = excesses.iter().map(|(_, excess)| excess).sum();
        let spare = part - group;
        weights.extend(
            excesses
                .into_iter()
                .map(|(claimant, own)| (claimant, spare * own / excess)),
        );
        weights
    }

    /// Mints the units that are due at a seed, and divides them; returns the number of those for its
    /// own requests. Without demand none are minted.
    pub fn mint(&mut self, role: Role, started_ms: u64, now_ms: u64) -> u64 {
        let Role::Seed(seeds) = role else {
            return 0;
        };
        let Some(terms) = self.terms(now_ms) else {
            return 0;
        };
        self.fold(now_ms);
        self.expire_granted(now_ms);
        let now_us = now_ms * US_PER_MS;
        // A previous process of this seed may have minted just before this one started.
        let first_us = started_ms * US_PER_MS + terms.period_us;
        let next_us = self.next_mint_us.unwrap_or(now_us.max(first_us));
        let mut next_us = next_us.max(first_us);
        let weights = self.seed_weights(seeds, now_ms);
        if weights.is_empty() {
            self.next_mint_us = Some(next_us.max(now_us));
            return 0;
        }
        // Units that have ended since the last call are left out.
        let valid_us = terms.valid_ms * US_PER_MS;
        next_us = next_us.max(now_us.saturating_sub(valid_us));
        let mut own = 0;
        let period_us = terms.period_us.max(1);
        while next_us <= now_us {
            let last_us = now_us.min(next_us + LOT_MS * US_PER_MS);
            let units = (last_us - next_us) / period_us + 1;
            let end_ms = (next_us + valid_us) / US_PER_MS;
            own += self.grant(&weights, units as u32, end_ms);
            next_us += units * period_us;
        }
        self.next_mint_us = Some(next_us);
        own
    }

    /// Divides units from another router; returns the number of those for the own requests.
    pub fn receive(&mut self, units: u32, end_ms: u64, now_ms: u64) -> u64 {
        if end_ms <= now_ms {
            return 0;
        }
        self.expire_granted(now_ms);
        if let Some(last_ms) = self.received_ms {
            let every_ms = now_ms.saturating_sub(last_ms) as f64 / f64::from(units.max(1));
            self.received_every_ms += (every_ms - self.received_every_ms) * FOLD_WEIGHT;
        }
        self.received_ms = Some(now_ms);
        let mut weights = self.group_weights(now_ms);
        if weights.is_empty() {
            weights.push((Claimant::Own, 1.0));
        }
        self.grant(&weights, units, end_ms)
    }

    /// Divides units by weight, and the last ones to those that are owed most; returns the number of
    /// those for the own requests.
    fn grant(&mut self, weights: &[(Claimant, f64)], units: u32, end_ms: u64) -> u64 {
        let total: f64 = weights.iter().map(|(_, weight)| weight).sum();
        let mut left = units;
        let mut own = 0;
        for (claimant, weight) in weights {
            let credit = self.credit.entry(*claimant).or_default();
            *credit += f64::from(units) * weight / total;
            let whole = (credit.max(0.0) as u32).min(left);
            *credit -= f64::from(whole);
            left -= whole;
            own += self.add_units(*claimant, whole, end_ms);
        }
        for _ in 0..left {
            let owed = |claimant: &Claimant| self.credit.get(claimant).copied().unwrap_or(0.0);
            let claimants = weights.iter().map(|(claimant, _)| *claimant);
            let Some(chosen) = claimants.max_by(|a, b| owed(a).total_cmp(&owed(b))) else {
                break;
            };
            *self.credit.entry(chosen).or_default() -= 1.0;
            own += self.add_units(chosen, 1, end_ms);
        }
        own
    }

    fn add_units(&mut self, to: Claimant, units: u32, end_ms: u64) -> u64 {
        match to {
            Claimant::Own => {
                self.own.add(units, end_ms);
                u64::from(units)
            }
            other => {
                self.granted.entry(other).or_default().add(units, end_ms);
                0
            }
        }
    }

    /// Takes the valid units of a claimant.
    pub fn take_for(&mut self, to: Claimant, now_ms: u64) -> Vec<Lot> {
        let Some(lots) = self.granted.get_mut(&to) else {
            return Vec::new();
        };
        lots.expire(now_ms);
        std::mem::take(&mut lots.0)
    }

    /// Removes the units of other routers that have ended: nothing takes them while no link to their
    /// claimant is open.
    fn expire_granted(&mut self, now_ms: u64) {
        for lots in self.granted.values_mut() {
            lots.expire(now_ms);
        }
    }

    /// Removes the own units that have ended, and returns their number.
    pub fn expire(&mut self, now_ms: u64) -> u64 {
        self.own.expire(now_ms)
    }

    /// Number of units for the own requests.
    pub fn units(&self) -> u32 {
        self.own.0.iter().map(|lot| lot.units).sum()
    }

    /// Uses the unit that ends first; false if there is none.
    pub fn take(&mut self) -> bool {
        let Some(first) = self.own.0.first_mut() else {
            return false;
        };
        first.units -= 1;
        if first.units == 0 {
            self.own.0.remove(0);
        }
        true
    }

    /// Expected time of the next unit for the own requests; `None` if none came for a while.
    pub fn next_unit_ms(&self, role: Role, now_ms: u64) -> Option<u64> {
        if let Role::Seed(_) = role {
            return Some(self.next_mint_us?.div_ceil(US_PER_MS));
        }
        let received_ms = self.received_ms?;
        let every_ms = (self.received_every_ms as u64).max(GRANT_PERIOD_MS);
        let is_recent = now_ms < received_ms + IDLE_MS;
        is_recent.then_some((received_ms + every_ms).max(now_ms + 1))
    }
}
