//! Permits that limit the rate of loads from the weight store, by one lease row per region.

use std::sync::Arc;

use parking_lot::Mutex;
use serde_json::{Value, json};

use crate::control::leases::LeaseSet;
use crate::decide::lease::LeaseTimes;
use crate::decide::orders::weight_permit;
use crate::edge::clock::Clock;
use crate::edge::table::{Row, Table};
use crate::ids::{FencingNumber, RegionId};

/// Contenders wait for a permit's duration plus this part (1 / 20) of it, as the clocks of two
/// hosts may run at different rates.
const DRIFT_DIVISOR: u64 = 20;

struct Permit {
    loads_per_min: u32,
    loads: u32,
    leases: Arc<LeaseSet>,
    fencing: FencingNumber,
    loads_left: u32,
}

/// Acquires permits of a region and spends their loads.
pub struct WeightPermits {
    holder: String,
    prefix: String,
    table: Arc<dyn Table>,
    clock: Arc<dyn Clock>,
    permit: Mutex<Option<Permit>>,
}

impl WeightPermits {
    /// Creates the permits of a region; none is acquired before a rate is set.
    pub fn new(
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

    /// Sets the rate; a permit with another rate is dropped.
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
            // A permit is never renewed: its loads are the quota for its full duration.
            renew_ms: duration_ms,
            drift_ms: duration_ms / DRIFT_DIVISOR,
        };
        let leases = LeaseSet::new(
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
            loads_left: 0,
        });
    }

    /// Records the region's lease rows that were just read.
    pub fn observe(&self, rows: &[Row]) {
        if let Some(permit) = self.permit.lock().as_ref() {
            permit.leases.observe(rows);
        }
    }

    /// Spends one load, after contending for a new permit if none is left; false if no permit
    /// is available.
    pub async fn try_acquire(&self) -> bool {
        if self.spend_load() {
            return true;
        }
        let Some(leases) = self.permit.lock().as_ref().map(|p| Arc::clone(&p.leases)) else {
            return false;
        };
        if let Err(error) = leases.tick().await {
            log::warn!("event=weight_permit_failed error=\"{error}\"");
            return false;
        }
        self.spend_load()
    }

    fn spend_load(&self) -> bool {
        let mut permit = self.permit.lock();
        let Some(permit) = permit.as_mut() else {
            return false;
        };
        let Some(fencing) = permit.leases.fencing(0, 0) else {
            return false;
        };
        if permit.fencing != fencing {
            permit.fencing = fencing;
            permit.loads_left = permit.loads;
        }
        if permit.loads_left == 0 {
            return false;
        }
        permit.loads_left -= 1;
        true
    }

    /// State of the permit as JSON, for the admin dump.
    pub fn dump(&self) -> Value {
        let permit = self.permit.lock();
        permit.as_ref().map_or(Value::Null, |permit| {
            json!({
                "loads_per_min": permit.loads_per_min,
                "loads_left": permit.loads_left,
                "lease": permit.leases.dump(),
            })
        })
    }
}
