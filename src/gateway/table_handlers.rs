//! Applies rows of the watched tables to the routing table and the server registry.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::config::routing::RoutingTable;
use crate::decide::registry::{Change, Registration};
use crate::gateway::state::State;
use crate::gateway::table::{Propagation, Row, TableHandler};
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
    fn set_table(&self, table: RoutingTable) {
        let mut routing = self.state.routing.write();
        let current = routing.as_ref().map(|current| current.version);
        if current.is_some_and(|current| current >= table.version) {
            log::info!(
                "event=routes_outdated version={} in_force={current:?}",
                table.version
            );
            return;
        }
        log::info!(
            "event=routes version={} hosts={} keys={}",
            table.version,
            table.hosts.len(),
            table.keys.as_ref().map_or(0, IndexMap::len),
        );
        self.state.caller_timeouts.apply(&table.limits);
        *routing = Some(Arc::new(table));
    }
}

impl TableHandler for RoutingHandler {
    fn replace(&self, rows: &[Row]) -> Vec<String> {
        for row in rows {
            self.apply(row);
        }
        rows.iter().map(|row| row.key.clone()).collect()
    }

    fn apply(&self, row: &Row) -> Propagation {
        let key = &row.key;
        match row
            .content
            .as_ref()
            .map(|content| (self.decode)(key, content))
        {
            Some(Ok(table)) => self.set_table(table),
            Some(Err(problem)) => {
                log::warn!("event=routes_unreadable key={key} problem=\"{problem}\"");
            }
            None => log::warn!("event=routes_removed key={key}"),
        }
        Propagation::Publish
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

impl TableHandler for ServerHandler {
    fn replace(&self, rows: &[Row]) -> Vec<String> {
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
        let mut published = Vec::new();
        for (id, change) in changes {
            log_change(&id, change);
            if !matches!(change, Change::None | Change::Outdated) {
                published.push(id.as_str().to_owned());
            }
        }
        published
    }

    fn apply(&self, row: &Row) -> Propagation {
        let now_ms = self.state.now_ms();
        let id = ServerId::from(row.key.as_str());
        let change = match (&row.content, self.decode_row(row)) {
            (None, _) => self.state.registry.lock().remove(&id, now_ms),
            (Some(_), Some(registration)) => self.state.registry.lock().set(registration, now_ms),
            (Some(_), None) => return Propagation::Skip,
        };
        log_change(&id, change);
        match (change, &row.content) {
            (Change::None | Change::Outdated, Some(_)) => Propagation::Skip,
            _ => Propagation::Publish,
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
