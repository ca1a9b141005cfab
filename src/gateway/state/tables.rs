//! Where this router has the watched tables from, and how old they are.

use std::net::SocketAddr;
use std::sync::{Arc, Weak};

use serde_json::{Value, json};

use crate::gateway::mirror::Mirror;
use crate::gateway::rejection::Rejection;
use crate::gateway::state::State;

/// The watched tables, and the routers over which they are relayed to this one.
#[derive(Default)]
pub(super) struct Tables {
    /// Weak, since their handlers refer to the state.
    mirrors: Vec<Weak<Mirror>>,
    /// Relay addresses from the router that reads the tables to the one that relays them to this one.
    path: Vec<SocketAddr>,
}

/// What this router knows of one table.
struct TableView {
    name: &'static str,
    position: Option<String>,
    age_ms: Option<u64>,
    /// Router that relays the table; `None` if this one reads it itself.
    relayed_by: Option<SocketAddr>,
}

impl State {
    /// Sets the watched tables.
    pub fn set_tables(&self, mirrors: &[Arc<Mirror>]) {
        self.tables.write().mirrors = mirrors.iter().map(Arc::downgrade).collect();
    }

    /// Sets the routers over which the tables are relayed to this one; none if it has no such link.
    pub fn set_relay_path(&self, path: &[SocketAddr]) {
        self.tables.write().path = path.to_vec();
    }

    fn table_views(&self) -> Vec<TableView> {
        let now_ms = self.now_ms();
        let tables = self.tables.read();
        let relay = tables.path.last().copied();
        let mirrors = tables.mirrors.iter().filter_map(Weak::upgrade);
        mirrors
            .map(|mirror| TableView {
                name: mirror.name(),
                position: mirror.position().map(|position| position.to_string()),
                age_ms: mirror.age_ms(now_ms),
                relayed_by: relay.filter(|_| mirror.is_relayed()),
            })
            .collect()
    }

    /// The tables for operators.
    pub(super) fn dump_tables(&self) -> Vec<Value> {
        let hops = self.tables.read().path.len();
        let views = self.table_views().into_iter();
        let views = views.map(|view| {
            json!({
                "table": view.name,
                "position": view.position,
                "age_ms": view.age_ms,
                "relayed_by": view.relayed_by,
                "hops": view.relayed_by.map_or(0, |_| hops),
            })
        });
        views.collect()
    }

    /// Records the ages of the tables in the metrics.
    pub(in crate::gateway) fn record_table_ages(&self) {
        for view in self.table_views() {
            if let Some(age_ms) = view.age_ms {
                self.metrics.record_table_age(view.name, age_ms);
            }
        }
    }

    /// Text of the log line of a rejection, for one that depends on the routes: their version and age,
    /// and the router that relayed them.
    pub(in crate::gateway) fn routes_text(&self, rejection: &Rejection) -> String {
        if !matches!(rejection, Rejection::UnknownRoute | Rejection::UnknownKey) {
            return String::new();
        }
        let version = self.routing().map_or(0, |routing| routing.version.0);
        // The routes are the first table.
        let view = self.table_views().into_iter().next();
        let age_ms = view.as_ref().and_then(|view| view.age_ms);
        let relayed_by = view.and_then(|view| view.relayed_by);
        format!(
            " version={version} routes_age_ms={} from={}",
            age_ms.map_or_else(|| "unknown".to_owned(), |ms| ms.to_string()),
            relayed_by.map_or_else(|| "store".to_owned(), |address| address.to_string()),
        )
    }
}
