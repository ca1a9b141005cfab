//! Availability zones that the operator has evacuated: their servers get no new requests.
//!
//! An evacuation is a row of the operator. It ends when the row is removed or missing from a snapshot,
//! except for some time after the source was restored from an older copy, which may lack the row.

#[cfg(test)]
mod tests;

use indexmap::{IndexMap, IndexSet};

use crate::ids::ZoneId;

/// Time after a restore of the source for which evacuations that it lacks stay in force: the operator
/// writes lost rows again within some seconds, and routers learn of them up to 1.5 s later. An
/// evacuation that ends too late costs capacity, one that ends too early breaks requests.
const RESTORED_KEEP_MS: u64 = 8_000;

/// Change of a zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ZoneChange {
    /// The zone was evacuated.
    Evacuated(ZoneId),
    /// The zone's servers may get requests again, after the given time in ms.
    Restored(ZoneId, u64),
}

/// The evacuated zones and since when each is known to be.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    since_ms: IndexMap<ZoneId, u64>,
    /// Zones that a snapshot lacks and that stay evacuated.
    kept: IndexSet<ZoneId>,
    keep_until_ms: Option<u64>,
}

impl Evacuations {
    /// Records that a zone is evacuated.
    ///
    /// ```
    /// use jujubeusher::decide::evacuation::{Evacuations, ZoneChange};
    /// use jujubeusher::ids::ZoneId;
    /// let zone = ZoneId::from("z1");
    /// let mut evacuations = Evacuations::default();
    /// let evacuated = ZoneChange::Evacuated(zone.clone());
    /// assert_eq!(evacuations.evacuate(&zone, 100), Some(evacuated));
    /// assert_eq!(evacuations.since_ms(&zone), Some(100));
    /// let restored = ZoneChange::Restored(zone.clone(), 50);
    /// assert_eq!(evacuations.restore(&zone, 150), Some(restored));
    /// assert_eq!(evacuations.since_ms(&zone), None);
    /// ```
    pub fn evacuate(&mut self, zone: &ZoneId, now_ms: u64) -> Option<ZoneChange> {
        self.kept.shift_remove(zone);
        let is_new = !self.since_ms.contains_key(zone);
        if is_new {
            self.since_ms.insert(zone.clone(), now_ms);
        }
        is_new.then(|| ZoneChange::Evacuated(zone.clone()))
    }

    /// Records that a zone's row was removed.
    pub fn restore(&mut self, zone: &ZoneId, now_ms: u64) -> Option<ZoneChange> {
        self.kept.shift_remove(zone);
        let since_ms = self.since_ms.shift_remove(zone)?;
        let for_ms = now_ms.saturating_sub(since_ms);
        Some(ZoneChange::Restored(zone.clone(), for_ms))
    }

    /// Records that the source came back from an older copy.
    pub fn on_source_restored(&mut self, now_ms: u64) {
        self.keep_until_ms = Some(now_ms + RESTORED_KEEP_MS);
    }

    /// Applies a snapshot: zones evacuated by `listed` rows are, and all others are not, unless they are
    /// kept after a restore. A zone whose row is `unreadable` stays as it was.
    pub fn replace(
        &mut self,
        listed: &IndexSet<ZoneId>,
        unreadable: &IndexSet<ZoneId>,
        now_ms: u64,
    ) -> Vec<ZoneChange> {
        let evacuated = listed.iter().map(|zone| self.evacuate(zone, now_ms));
        let mut changes: Vec<ZoneChange> = evacuated.flatten().collect();
        for zone in self.missing(listed, unreadable) {
            match self.keeps_missing(now_ms) {
                true => _ = self.kept.insert(zone),
                false => changes.extend(self.restore(&zone, now_ms)),
            }
        }
        changes
    }

    /// Zones whose evacuation this snapshot ends.
    pub fn ended_by(
        &self,
        listed: &IndexSet<ZoneId>,
        unreadable: &IndexSet<ZoneId>,
        now_ms: u64,
    ) -> Vec<ZoneId> {
        match self.keeps_missing(now_ms) {
            true => Vec::new(),
            false => self.missing(listed, unreadable),
        }
    }

    fn missing(&self, listed: &IndexSet<ZoneId>, unreadable: &IndexSet<ZoneId>) -> Vec<ZoneId> {
        let zones = self.since_ms.keys();
        let missing = zones.filter(|zone| !listed.contains(*zone) && !unreadable.contains(*zone));
        missing.cloned().collect()
    }

    fn keeps_missing(&self, now_ms: u64) -> bool {
        self.keep_until_ms.is_some_and(|until_ms| now_ms < until_ms)
    }

    /// Whether a snapshot is due because zones are kept that the source may lack for good. True once.
    pub fn take_snapshot_due(&mut self, now_ms: u64) -> bool {
        let is_over = self.keep_until_ms.is_none_or(|until_ms| now_ms >= until_ms);
        let is_due = is_over && !self.kept.is_empty();
        if is_due {
            self.kept.clear();
        }
        is_due
    }

    /// Time from which a zone is known to be evacuated; `None` if it is not.
    pub fn since_ms(&self, zone: &ZoneId) -> Option<u64> {
        self.since_ms.get(zone).copied()
    }

    /// All evacuated zones, with the time from which each is known to be.
    pub fn all(&self) -> impl Iterator<Item = (&ZoneId, u64)> {
        self.since_ms
            .iter()
            .map(|(zone, since_ms)| (zone, *since_ms))
    }
}
