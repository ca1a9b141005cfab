//! Permits for loads from the weight store, one lease row for each region.

use std::sync::Arc;

use parking_lot::Mutex;
use serde_json::{Value, json};

use crate::control::leases::LeaseSet;
use crate::decide::lease::LeaseTimes;
use crate::decide::orders::weight_permit;
use crate::edge::clock::Clock;
use crate::edge::table::{Row, Table};
use crate::ids::{FencingNumber, RegionId};

/// Part of a permit's duration that contenders wait longer, for clocks of unequal rate.
const DRIFT_PARTS: u64 = 20;

struct Permit {
    loads_per_min: u32,
    loads: u32,
    leases: Arc<LeaseSet>,
    fencing: FencingNumber,
    left: u32,
}

/// Contends for permits and spends them.
pub struct WeightPermits {
    holder: String,
    prefix: String,
    table: Arc<dyn Table>,
    clock: Arc<dyn Clock>,
    permit: Mutex<Option<Permit>>,
}

impl WeightPermits {
    /// Permits of a region; none is taken before a rate is set.
    pub fn open(
        holder: &str,
        region: &RegionId,
        table: Arc<dyn Table>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        Self {
            holder: holder.to_owned(),
            prefix: format!("lease/{region}/weights"),
            table,
            clock,
            permit: Mutex::new(None),
        }
    }

    /// Sets the rate; a permit of another rate is dropped.
    pub fn set_rate(&self, loads_per_min: u32) {
        let mut permit = self.permit.lock();
        if permit
            .as_ref()
            .is_some_and(|p| p.loads_per_min == loads_per_min)
        {
            return;
        }
        let (duration_ms, loads) = weight_permit(loads_per_min);
        let times = LeaseTimes {
            duration_ms,
            // A permit is never renewed: its whole duration pays for its loads.
            renew_ms: duration_ms,
            drift_ms: duration_ms / DRIFT_PARTS,
        };
        let leases = LeaseSet::open(
            &self.holder,
            &self.prefix,
            &[String::new()],
            times,
            Arc::clone(&self.table),
            Arc::clone(&self.clock),
        );
        *permit = Some(Permit {
            loads_per_min,
            loads,
            leases: Arc::new(leases),
            fencing: FencingNumber(0),
            left: 0,
        });
    }

    /// Takes note of the region's lease rows.
    pub fn observe(&self, rows: &[Row]) {
        if let Some(permit) = self.permit.lock().as_ref() {
            permit.leases.observe(rows);
        }
    }

    /// Takes one load, after contending for a new permit where none is left.
    pub async fn try_acquire(&self) -> bool {
        if self.take_left() {
            return true;
        }
        let Some(leases) = self.permit.lock().as_ref().map(|p| Arc::clone(&p.leases)) else {
            return false;
        };
        if let Err(error) = leases.tick().await {
            log::warn!("event=weight_permit_failed error=\"{error}\"");
            return false;
        }
        self.take_left()
    }

    fn take_left(&self) -> bool {
        let mut permit = self.permit.lock();
        let Some(permit) = permit.as_mut() else {
            return false;
        };
        let Some(fencing) = permit.leases.fencing(0, 0) else {
            return false;
        };
        if permit.fencing != fencing {
            permit.fencing = fencing;
            permit.left = permit.loads;
        }
        if permit.left == 0 {
            return false;
        }
        permit.left -= 1;
        true
    }

    /// State of the permit as JSON.
    pub fn dump(&self) -> Value {
        let permit = self.permit.lock();
        permit.as_ref().map_or(Value::Null, |permit| {
            json!({
                "loads_per_min": permit.loads_per_min,
                "loads_left": permit.left,
                "lease": permit.leases.dump(),
            })
        })
    }
}
