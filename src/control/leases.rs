//! Drives lease state machines: reads their rows from the table and writes renewals,
//! takeovers and releases.

use std::sync::Arc;

use indexmap::IndexMap;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

use crate::decide::lease::{Change, Event, Lease, LeaseMachine, LeaseTimes, LeaseWrite};
use crate::edge::clock::Clock;
use crate::edge::table::{Row, Table, TableError, Write};
use crate::ids::FencingNumber;

/// Maximum takeovers in one round. A low number spreads the leases over the processes without
/// a list of processes. Each round starts at a random lease, so that processes rarely contend
/// for the same one.
const TAKEOVERS_MAX: usize = 2;

struct Entry {
    key: String,
    machine: Mutex<LeaseMachine>,
}

/// The leases that this process contends for.
pub struct LeaseSet {
    prefix: String,
    table: Arc<dyn Table>,
    clock: Arc<dyn Clock>,
    random: Mutex<StdRng>,
    entries: Vec<Entry>,
}

impl LeaseSet {
    /// Creates a set of leases with keys `prefix` + name, none of which has been read yet.
    pub fn new(
        holder: &str,
        prefix: &str,
        names: &[String],
        times: LeaseTimes,
        table: Arc<dyn Table>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        let entries = names
            .iter()
            .map(|name| Entry {
                key: format!("{prefix}{name}"),
                machine: Mutex::new(LeaseMachine::new(holder, times)),
            })
            .collect();
        Self {
            prefix: prefix.to_owned(),
            table,
            clock,
            random: Mutex::new(StdRng::from_rng(&mut rand::rng())),
            entries,
        }
    }

    /// The fencing number of lease `index`, if it is held for at least `needed_ms` more.
    pub fn fencing(&self, index: usize, needed_ms: u64) -> Option<FencingNumber> {
        let now_ms = self.clock.monotonic_ms();
        self.entries[index]
            .machine
            .lock()
            .fencing(now_ms, needed_ms)
    }

    /// Number of leases held now.
    pub fn held_count(&self) -> usize {
        (0..self.entries.len())
            .filter(|index| self.fencing(*index, 0).is_some())
            .count()
    }

    /// Reads the rows of all leases below the prefix, including those of other sets.
    pub async fn read_rows(&self) -> Result<Vec<Row>, TableError> {
        self.table.scan(&self.prefix).await
    }

    /// Records rows that were just read. The wait before a takeover starts when the row was
    /// first seen, so rows are recorded for leases that are not contended for now, too.
    pub fn observe(&self, rows: &[Row]) {
        let now_ms = self.clock.monotonic_ms();
        let by_key: IndexMap<&str, &Row> = rows.iter().map(|row| (row.key.as_str(), row)).collect();
        for entry in &self.entries {
            let row = by_key.get(entry.key.as_str()).map(|row| parse(row));
            self.handle(entry, Event::Row(row), now_ms);
        }
    }

    /// Reads the rows and writes the renewals and takeovers that are due.
    pub async fn tick(&self) -> Result<(), TableError> {
        self.expire();
        let rows = self.read_rows().await?;
        self.observe(&rows);
        self.write_due().await;
        Ok(())
    }

    /// Writes the renewals and takeovers that are due.
    pub async fn write_due(&self) {
        let start = self.random.lock().random_range(0..self.entries.len());
        let (before, after) = self.entries.split_at(start);
        let mut takeovers = 0;
        for entry in after.iter().chain(before) {
            let is_held = entry.machine.lock().is_held();
            if !is_held && takeovers == TAKEOVERS_MAX {
                continue;
            }
            let now_ms = self.clock.monotonic_ms();
            let lease_write = entry
                .machine
                .lock()
                .due_write(now_ms, &mut *self.random.lock());
            if let Some(lease_write) = lease_write {
                takeovers += usize::from(!is_held);
                self.write(entry, lease_write).await;
            }
        }
    }

    /// Releases all leases, so that other processes need not wait until they expire.
    pub async fn release(&self) {
        for entry in &self.entries {
            let now_ms = self.clock.monotonic_ms();
            let lease_write = entry
                .machine
                .lock()
                .release(now_ms, &mut *self.random.lock());
            if let Some(lease_write) = lease_write {
                self.write(entry, lease_write).await;
            }
        }
    }

    /// Drops expired leases.
    pub fn expire(&self) {
        let now_ms = self.clock.monotonic_ms();
        for entry in &self.entries {
            let change = entry.machine.lock().expire(now_ms);
            log_change(&entry.key, change);
        }
    }

    fn handle(&self, entry: &Entry, event: Event, now_ms: u64) {
        let change = entry.machine.lock().handle(event, now_ms);
        log_change(&entry.key, change);
    }

    async fn write(&self, entry: &Entry, lease_write: LeaseWrite) {
        // A lease holds only plain values, which always encode.
        let value = serde_json::to_string(&lease_write.lease).unwrap_or_default();
        let write = Write {
            key: entry.key.clone(),
            value,
            condition: lease_write.condition,
        };
        let event = match self.table.transact(vec![write]).await {
            Ok(versions) => Event::Written(versions.first().copied().unwrap_or_default()),
            Err(TableError::Conflict { version: 0, .. }) => Event::Row(None),
            Err(TableError::Conflict {
                key,
                version,
                value,
            }) => Event::Row(Some(parse(&Row {
                key,
                value,
                version,
            }))),
            Err(TableError::ResponseLost(_)) => Event::ResponseLost,
            Err(TableError::Unavailable(_)) => Event::Unavailable,
        };
        self.handle(entry, event, self.clock.monotonic_ms());
    }

    /// State of the leases as JSON, for the admin dump.
    pub fn dump(&self) -> Value {
        let now_ms = self.clock.monotonic_ms();
        let leases = self.entries.iter().map(|entry| {
            let machine = entry.machine.lock();
            json!({
                "key": entry.key,
                "fencing": machine.fencing(now_ms, 0),
                "last_holder": machine.last_holder(),
            })
        });
        Value::Array(leases.collect())
    }
}

/// Decodes a lease row. A malformed row counts as a lease of an unknown holder with a long
/// duration: it is replaced by compare-and-set once it has not changed for that long.
fn parse(row: &Row) -> (Lease, u64) {
    let lease = serde_json::from_str(&row.value).unwrap_or_else(|error| {
        log::warn!("event=lease_malformed key={} error=\"{error}\"", row.key);
        Lease {
            holder: "unknown".to_owned(),
            nonce: 0,
            fencing: FencingNumber(row.version),
            duration_ms: MALFORMED_LEASE_DURATION_MS,
            is_released: false,
        }
    });
    (lease, row.version)
}

/// Time for which a malformed lease row must stay unchanged before it is replaced.
const MALFORMED_LEASE_DURATION_MS: u64 = 60_000;

fn log_change(key: &str, change: Option<Change>) {
    match change {
        Some(Change::Acquired(fencing)) => {
            log::info!("event=lease_acquired lease={key} fencing={fencing}");
        }
        Some(Change::Lost) => log::info!("event=lease_lost lease={key}"),
        None => {}
    }
}
