//! The configuration in force. It comes from the platform and from peers, and its version
//! only ever increases.

mod applier;
mod exchange;
mod poll;

use std::sync::Arc;

use parking_lot::RwLock;
use serde::{Deserialize, Serialize};

pub use crate::control::config::applier::{ApplyResult, ConfigApplier};
pub use crate::control::config::exchange::ConfigExchange;
pub use crate::control::config::poll::ConfigPoller;

use crate::config::inventory::Inventory;
use crate::ids::ConfigVersion;
use crate::peer::row::ConfigPush;

/// Key of the table row that names the newest version.
pub const HEAD_KEY: &str = "config/head";

/// Content of the head row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Newest version.
    pub version: ConfigVersion,
    /// Random id of the change that produced this version; names the object with the full
    /// text.
    pub change_id: String,
    /// Who made the change.
    pub operator: String,
    /// Time of the change by the operator's clock, in ms since 1970.
    pub accepted_wall_ms: u64,
    /// SHA-256 of the inventory's text in normal form.
    pub digest: String,
}

impl Head {
    /// Key of the object with the inventory's full text.
    pub fn object_key(&self) -> String {
        object_key(&self.change_id)
    }
}

impl From<&ConfigPush> for Head {
    fn from(push: &ConfigPush) -> Self {
        Self {
            version: push.version,
            change_id: push.change_id.clone(),
            operator: push.operator.clone(),
            accepted_wall_ms: push.accepted_wall_ms,
            digest: push.digest.clone(),
        }
    }
}

/// Key of the object with the inventory's full text after a change.
pub fn object_key(change_id: &str) -> String {
    format!("inventory/{change_id}")
}

/// Key of the row with the sections that a version changed.
pub fn change_key(version: ConfigVersion) -> String {
    format!("config/change/{version}")
}

/// A configuration in force.
#[derive(Debug, Default)]
pub struct Configuration {
    /// Version; 0 before the first configuration.
    pub version: ConfigVersion,
    /// Id of the change that produced this version.
    pub change_id: String,
    /// Parsed inventory: servers, teams, zones and rules.
    pub inventory: Inventory,
}

/// Provides the configuration in force. Clones share the same state.
#[derive(Debug, Clone, Default)]
pub struct ConfigStore {
    current: Arc<RwLock<Arc<Configuration>>>,
}

impl ConfigStore {
    /// Creates a store with an empty configuration of version 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// Snapshot of the configuration in force.
    pub fn current(&self) -> Arc<Configuration> {
        Arc::clone(&self.current.read())
    }

    /// Puts a configuration in force if its version is higher; returns whether it was.
    pub fn replace_if_newer(&self, configuration: Configuration) -> bool {
        let mut current = self.current.write();
        if configuration.version <= current.version {
            return false;
        }
        log::info!(
            "event=config_in_force version={} change={} servers={} teams={}",
            configuration.version,
            configuration.change_id,
            configuration.inventory.servers.len(),
            configuration.inventory.teams.len(),
        );
        let old = std::mem::replace(&mut *current, Arc::new(configuration));
        drop(current);
        drop(old);
        release_free_memory();
        true
    }
}

/// Returns the memory that the parser freed to the system. Without this a router of the design
/// size retains about 8 MB, a quarter of the 32 MB budget for control work.
#[cfg(target_env = "gnu")]
#[allow(unsafe_code, reason = "glibc offers this as a C function only")]
fn release_free_memory() {
    // SAFETY: malloc_trim takes no pointer and may be called at any time from any thread.
    unsafe {
        libc::malloc_trim(0);
    }
}

#[cfg(not(target_env = "gnu"))]
fn release_free_memory() {}

#[cfg(test)]
mod tests;
