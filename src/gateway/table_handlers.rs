//! Applies rows of the watched tables to the routing table and the server registry.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use indexmap::{IndexMap, IndexSet};

use crate::config::routing::RoutingTable;
use crate::decide::registry::{Change, Registration};
use crate::decide::table_position::Era;
use crate::gateway::silent_ends;
use crate::gateway::state::State;
use crate::gateway::table::{Row, RowEffect, TableHandler};
use crate::ids::{ServerId, ZoneId};

/// Decodes the content of a row; the error says why the row cannot be used.
pub type Decode<T> = fn(key: &str, content: &[u8]) -> Result<T, String>;

/// What a key of the routes table stands for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RoutesKey {
    /// The row with the routing table.
    Routing,
    /// The row that evacuates an availability zone while it exists.
    Evacuation(ZoneId),
}

/// Decodes the rows of the routes table; each error says why a row cannot be used.
#[derive(Debug, Clone, Copy)]
pub struct RoutesDecoder {
    /// Decodes a key.
    pub key: fn(&str) -> Result<RoutesKey, String>,
    /// Decodes the routing table.
    pub routing: Decode<RoutingTable>,
    /// Checks the content of a row that evacuates a zone.
    pub evacuation: Decode<()>,
}

/// Applies the rows of the routes table.
pub struct RoutingHandler {
    /// State whose routing table and evacuations are updated.
    pub state: Arc<State>,
    /// Decodes the rows.
    pub decoder: RoutesDecoder,
}

impl RoutingHandler {
    /// The zone that a row evacuates; `None` for the row of the routing table. A row that is not valid
    /// is logged.
    fn decode_key(&self, key: &str) -> Result<Option<ZoneId>, ()> {
        match (self.decoder.key)(key) {
            Ok(RoutesKey::Routing) => Ok(None),
            Ok(RoutesKey::Evacuation(zone)) => Ok(Some(zone)),
            Err(problem) => {
                log_unreadable(key, &problem);
                Err(())
            }
        }
    }

    /// Whether the content of a row that evacuates a zone is valid; logs it if not.
    fn is_evacuation(&self, key: &str, content: &[u8]) -> bool {
        let decoded = (self.decoder.evacuation)(key, content);
        decoded
            .map_err(|problem| log_unreadable(key, &problem))
            .is_ok()
    }

    /// Applies the evacuations of a snapshot.
    fn replace_evacuations(&self, rows: &[Row]) {
        let (mut listed, mut unreadable) = (IndexSet::new(), IndexSet::new());
        for row in rows {
            let (Ok(Some(zone)), Some(content)) = (self.decode_key(&row.key), &row.content) else {
                continue;
            };
            match self.is_evacuation(&row.key, content) {
                true => listed.insert(zone),
                false => unreadable.insert(zone),
            };
        }
        self.state.replace_evacuations(&listed, &unreadable);
    }

    /// Applies a row that evacuates a zone, or its removal.
    fn apply_evacuation(&self, zone: &ZoneId, row: &Row) -> RowEffect {
        match &row.content {
            Some(content) if !self.is_evacuation(&row.key, content) => return RowEffect::Outdated,
            Some(_) => self.state.evacuate_zone(zone),
            None => self.state.restore_zone(zone),
        }
        RowEffect::Publish
    }

    /// Applies the row of the routing table.
    fn apply_routing(&self, row: &Row) -> RowEffect {
        let key = &row.key;
        let Some(content) = &row.content else {
            log::warn!("event=routes_removed key={key}");
            return RowEffect::Outdated;
        };
        match (self.decoder.routing)(key, content) {
            Ok(table) => self.set_table(table),
            Err(problem) => {
                log_unreadable(key, &problem);
                RowEffect::Outdated
            }
        }
    }

    /// Puts a table in force unless a newer one is.
    fn set_table(&self, table: RoutingTable) -> RowEffect {
        let mut routing = self.state.routing.write();
        let current = routing.as_ref().map(|current| current.version);
        if current == Some(table.version) {
            return RowEffect::Publish;
        }
        if let Some(current) = current.filter(|current| *current > table.version) {
            log::info!(
                "event=routes_outdated version={} in_force={current}",
                table.version
            );
            return RowEffect::Outdated;
        }
        log::info!(
            "event=routes version={} hosts={} keys={}",
            table.version,
            table.hosts.len(),
            table.keys.as_ref().map_or(0, IndexMap::len),
        );
        self.state.caller_timeouts.apply(&table.limits);
        *routing = Some(Arc::new(table));
        RowEffect::Publish
    }
}

fn log_unreadable(key: &str, problem: &str) {
    log::warn!("event=routes_unreadable key={key} problem=\"{problem}\"");
}

impl TableHandler for RoutingHandler {
    /// Applies the evacuations first: with a routing table in force, requests are sent.
    fn replace(&self, rows: &[Row]) -> Vec<RowEffect> {
        self.replace_evacuations(rows);
        let effect = |row: &Row| match (self.decoder.key)(&row.key) {
            Ok(RoutesKey::Routing) => self.apply_routing(row),
            Ok(RoutesKey::Evacuation(_)) => match &row.content {
                Some(content) if (self.decoder.evacuation)(&row.key, content).is_err() => {
                    RowEffect::Outdated
                }
                _ => RowEffect::Publish,
            },
            Err(_) => RowEffect::Outdated,
        };
        rows.iter().map(effect).collect()
    }

    fn apply(&self, row: &Row) -> RowEffect {
        match self.decode_key(&row.key) {
            Ok(None) => self.apply_routing(row),
            Ok(Some(zone)) => self.apply_evacuation(&zone, row),
            Err(()) => RowEffect::Outdated,
        }
    }

    /// The operator replaces a configuration and never removes it. An evacuation ends with its row,
    /// unless it is kept after a restore of the source.
    fn keeps_missing(&self, key: &str) -> bool {
        match (self.decoder.key)(key) {
            Ok(RoutesKey::Routing) => {
                log::warn!("event=routes_missing key={key}");
                true
            }
            Ok(RoutesKey::Evacuation(zone)) => self.state.evacuated_since_ms(&zone).is_some(),
            Err(_) => false,
        }
    }

    fn take_snapshot_due(&self) -> bool {
        self.state.take_evacuation_snapshot_due()
    }

    fn begin_snapshot(&self, era: Era, is_restored: bool) {
        self.state.metrics.record_source_era(era, is_restored);
        if is_restored {
            self.state.record_evacuations_restored();
        }
    }

    fn source_unavailable(&self) {
        self.state.record_routes_lost();
    }

    fn source_available(&self, read_ms: u64) {
        self.state.record_routes_read(read_ms);
    }
}

/// Applies the rows of the servers table.
pub struct ServerHandler {
    /// State whose server registry is updated.
    pub state: Arc<State>,
    /// Decodes a row's content.
    pub decode: Decode<Registration>,
    /// Whether a snapshot was applied.
    pub has_snapshot: AtomicBool,
}

impl ServerHandler {
    fn decode_row(&self, row: &Row) -> Option<Registration> {
        match (self.decode)(&row.key, row.content.as_ref()?) {
            Ok(registration) => Some(registration),
            Err(problem) => {
                log::info!(
                    "event=server_unreadable server={} problem=\"{problem}\"",
                    row.key
                );
                None
            }
        }
    }
}

fn log_change(id: &ServerId, change: Change) {
    match change {
        Change::None => {}
        Change::Joined => log::info!("event=server_joined server={id}"),
        Change::Left => log::info!("event=server_left server={id}"),
        Change::Returned => log::info!("event=server_returned server={id}"),
        Change::Lapsed => log::info!("event=server_lapsed server={id}"),
        Change::Outdated => log::debug!("event=heartbeat_outdated server={id}"),
    }
}

/// Effect of a server's row that was set; `is_cold_news` is whether other routers need what it says of
/// the server's cold time.
fn effect(change: Change, is_cold_news: bool) -> RowEffect {
    match change {
        Change::None if is_cold_news => RowEffect::Publish,
        Change::None => RowEffect::Skip,
        Change::Outdated => RowEffect::Outdated,
        Change::Joined | Change::Left | Change::Returned | Change::Lapsed => RowEffect::Publish,
    }
}

impl TableHandler for ServerHandler {
    fn replace(&self, rows: &[Row]) -> Vec<RowEffect> {
        let now_ms = self.state.now_ms();
        let mut registrations = Vec::new();
        let mut unreadable = Vec::new();
        for row in rows {
            match self.decode_row(row) {
                Some(registration) => registrations.push(registration),
                None => unreadable.push(ServerId::from(row.key.as_str())),
            }
        }
        let is_first = !self.has_snapshot.swap(true, Ordering::Relaxed);
        let rows_by_id = registrations
            .iter()
            .cloned()
            .map(|row| (row.id.clone(), row));
        let rows_by_id: IndexMap<ServerId, Registration> = rows_by_id.collect();
        // Locked until new servers count as cold, so that no thread finds one registered and warm.
        let mut registry = self.state.registry.lock();
        let changes = registry.replace(registrations, &unreadable, now_ms);
        let mut effects = IndexMap::new();
        for (id, change) in changes {
            log_change(&id, change);
            let row = rows_by_id.get(&id);
            let is_cold_news =
                row.is_some_and(|row| self.state.record_cold_row(row, change, is_first));
            effects.insert(id, effect(change, is_cold_news));
        }
        let vanished = registry.take_vanished();
        drop(registry);
        silent_ends::check(&self.state, vanished);
        let effect = |row: &Row| effects.get(row.key.as_str()).copied();
        let effects = rows.iter().map(effect);
        effects.map(|e| e.unwrap_or(RowEffect::Skip)).collect()
    }

    fn apply(&self, row: &Row) -> RowEffect {
        let now_ms = self.state.now_ms();
        let id = ServerId::from(row.key.as_str());
        let change = match (&row.content, self.decode_row(row)) {
            (None, _) => {
                let mut registry = self.state.registry.lock();
                let change = registry.remove(&id, now_ms);
                let vanished = registry.take_vanished();
                drop(registry);
                silent_ends::check(&self.state, vanished);
                change
            }
            (Some(_), Some(registration)) => {
                // As in `replace`.
                let mut registry = self.state.registry.lock();
                let change = registry.set(registration.clone(), now_ms);
                let is_cold_news = self.state.record_cold_row(&registration, change, false);
                let vanished = registry.take_vanished();
                drop(registry);
                silent_ends::check(&self.state, vanished);
                log_change(&id, change);
                return effect(change, is_cold_news);
            }
            (Some(_), None) => return RowEffect::Skip,
        };
        log_change(&id, change);
        RowEffect::Publish
    }

    fn keeps_missing(&self, _key: &str) -> bool {
        false
    }

    fn take_snapshot_due(&self) -> bool {
        let now_ms = self.state.now_ms();
        self.state.registry.lock().take_snapshot_due(now_ms)
    }

    fn begin_snapshot(&self, _era: Era, is_restored: bool) {
        if is_restored {
            let now_ms = self.state.now_ms();
            self.state.registry.lock().on_store_restored(now_ms);
        }
    }

    fn source_unavailable(&self) {
        self.state.record_servers_lost();
        let now_ms = self.state.now_ms();
        self.state.registry.lock().on_store_lost(now_ms);
    }

    fn source_available(&self, read_ms: u64) {
        self.state.record_servers_read(read_ms);
        let now_ms = self.state.now_ms();
        let mut registry = self.state.registry.lock();
        registry.on_store_recovered(now_ms);
        for id in registry.expire(now_ms) {
            log::info!("event=server_left server={id} reason=not_registered_again");
        }
        let vanished = registry.take_vanished();
        drop(registry);
        silent_ends::check(&self.state, vanished);
    }
}
