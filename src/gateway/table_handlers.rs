//! Applies rows of the watched tables to the routing table and the server registry.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::config::routing::RoutingTable;
use crate::decide::registry::{Change, Registration};
use crate::decide::table_position::Era;
use crate::gateway::state::State;
use crate::gateway::table::{Row, RowEffect, TableHandler};
use crate::ids::ServerId;

/// Decodes the content of a row; the error says why the row cannot be used.
pub type Decode<T> = fn(key: &str, content: &[u8]) -> Result<T, String>;

/// Applies the rows of the routes table.
pub struct RoutingHandler {
    /// State whose routing table is updated.
    pub state: Arc<State>,
    /// Decodes a row's content.
    pub decode: Decode<RoutingTable>,
}

impl RoutingHandler {
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

impl TableHandler for RoutingHandler {
    fn replace(&self, rows: &[Row]) -> Vec<RowEffect> {
        rows.iter().map(|row| self.apply(row)).collect()
    }

    fn apply(&self, row: &Row) -> RowEffect {
        let key = &row.key;
        match row
            .content
            .as_ref()
            .map(|content| (self.decode)(key, content))
        {
            Some(Ok(table)) => self.set_table(table),
            Some(Err(problem)) => {
                log::warn!("event=routes_unreadable key={key} problem=\"{problem}\"");
                RowEffect::Outdated
            }
            None => {
                log::warn!("event=routes_removed key={key}");
                RowEffect::Outdated
            }
        }
    }

    /// The operator replaces a configuration and never removes it.
    fn keeps_missing(&self, key: &str) -> bool {
        log::warn!("event=routes_missing key={key}");
        true
    }

    fn take_snapshot_due(&self) -> bool {
        false
    }

    fn begin_snapshot(&self, era: Era, is_restored: bool) {
        self.state.metrics.record_source_era(era, is_restored);
    }

    fn source_unavailable(&self) {
        self.state.record_routes_source(false);
    }

    fn source_available(&self) {
        self.state.record_routes_source(true);
    }
}

/// Applies the rows of the servers table.
pub struct ServerHandler {
    /// State whose server registry is updated.
    pub state: Arc<State>,
    /// Decodes a row's content.
    pub decode: Decode<Registration>,
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

/// Effect of a server's row that was set.
fn effect(change: Change) -> RowEffect {
    match change {
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
        let changes = self
            .state
            .registry
            .lock()
            .replace(registrations, &unreadable, now_ms);
        let mut effects = IndexMap::new();
        for (id, change) in changes {
            log_change(&id, change);
            effects.insert(id, effect(change));
        }
        let effect = |row: &Row| effects.get(row.key.as_str()).copied();
        let effects = rows.iter().map(effect);
        effects.map(|e| e.unwrap_or(RowEffect::Skip)).collect()
    }

    fn apply(&self, row: &Row) -> RowEffect {
        let now_ms = self.state.now_ms();
        let id = ServerId::from(row.key.as_str());
        let change = match (&row.content, self.decode_row(row)) {
            (None, _) => self.state.registry.lock().remove(&id, now_ms),
            (Some(_), Some(registration)) => self.state.registry.lock().set(registration, now_ms),
            (Some(_), None) => return RowEffect::Skip,
        };
        log_change(&id, change);
        match row.content {
            Some(_) => effect(change),
            None => RowEffect::Publish,
        }
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
        self.state.record_servers_source(false);
        let now_ms = self.state.now_ms();
        self.state.registry.lock().on_store_lost(now_ms);
    }

    fn source_available(&self) {
        self.state.record_servers_source(true);
        let now_ms = self.state.now_ms();
        let mut registry = self.state.registry.lock();
        registry.on_store_recovered(now_ms);
        for id in registry.expire(now_ms) {
            log::info!("event=server_left server={id} reason=not_registered_again");
        }
    }
}
