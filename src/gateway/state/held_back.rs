//! What holds servers back that are registered: evacuated availability zones.

use indexmap::IndexSet;
use serde_json::{Value, json};

use crate::decide::evacuation::ZoneChange;
use crate::gateway::state::State;
use crate::ids::ZoneId;

impl State {
    /// Evacuates a zone.
    pub fn evacuate_zone(&self, zone: &ZoneId) {
        let change = self.evacuations.write().evacuate(zone, self.now_ms());
        self.record_zone_changes(change);
    }

    /// Ends the evacuation of a zone.
    pub fn restore_zone(&self, zone: &ZoneId) {
        let change = self.evacuations.write().restore(zone, self.now_ms());
        self.record_zone_changes(change);
    }

    /// Applies the evacuations of a snapshot; a zone whose row is `unreadable` stays as it was.
    pub fn replace_evacuations(&self, listed: &IndexSet<ZoneId>, unreadable: &IndexSet<ZoneId>) {
        let now_ms = self.now_ms();
        let changes = self.evacuations.write().replace(listed, unreadable, now_ms);
        self.record_zone_changes(changes);
    }

    /// Records that the source of the evacuations came back from an older copy.
    pub fn record_evacuations_restored(&self) {
        let now_ms = self.now_ms();
        self.evacuations.write().on_source_restored(now_ms);
    }

    /// Whether a snapshot is due to see which evacuations a restored source lacks for good; true once.
    pub fn take_evacuation_snapshot_due(&self) -> bool {
        let now_ms = self.now_ms();
        self.evacuations.write().take_snapshot_due(now_ms)
    }

    /// Time from which a zone is known to be evacuated; `None` if it is not.
    pub fn evacuated_since_ms(&self, zone: &ZoneId) -> Option<u64> {
        self.evacuations.read().since_ms(zone)
    }

    fn record_zone_changes<C>(&self, changes: C)
    where
        C: IntoIterator<Item = ZoneChange>,
    {
        for change in changes {
            match change {
                ZoneChange::Evacuated(zone) => log::warn!("event=zone_evacuated zone={zone}"),
                ZoneChange::Restored(zone, for_ms) => {
                    log::warn!("event=zone_restored zone={zone} evacuated_for_ms={for_ms}");
                }
            }
        }
        let zones = self.evacuations.read().all().count();
        self.metrics.record_evacuated_zones(zones);
    }

    pub(super) fn evacuated_zones_json(&self, now_ms: u64) -> Vec<Value> {
        let evacuations = self.evacuations.read();
        let zones = evacuations.all().map(|(zone, since_ms)| {
            json!({"zone": zone, "evacuated_for_ms": now_ms.saturating_sub(since_ms)})
        });
        zones.collect()
    }
}
