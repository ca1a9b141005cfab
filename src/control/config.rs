//! The configuration in force: from the platform and from peers, only ever to a higher
//! version.

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

/// Row that names the newest version.
pub const HEAD_KEY: &str = "config/head";

/// What the head row holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Newest version.
    pub version: ConfigVersion,
    /// Random id of the change that made it; names the object with the whole text.
    pub change_id: String,
    /// Who made the change.
    pub operator: String,
    /// When, by the operator's clock, in ms since 1970.
    pub accepted_wall_ms: u64,
    /// SHA-256 of the text in normal form.
    pub digest: String,
}

impl Head {
    /// Key of the object that holds the inventory's whole text.
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

/// Key of the object that holds the whole text of a change.
pub fn object_key(change_id: &str) -> String {
    format!("inventory/{change_id}")
}

/// Key of the row that holds the sections that a version changed.
pub fn change_key(version: ConfigVersion) -> String {
    format!("config/change/{version}")
}

/// A configuration in force.
#[derive(Debug, Default)]
pub struct Configuration {
    /// Its version; 0 before the first one.
    pub version: ConfigVersion,
    /// Id of the change that made it.
    pub change_id: String,
    /// What it declares.
    pub inventory: Inventory,
}

/// Owner of the configuration in force.
#[derive(Debug, Clone, Default)]
pub struct ConfigStore {
    current: Arc<RwLock<Arc<Configuration>>>,
}

impl ConfigStore {
    /// A store with no configuration yet.
    pub fn open() -> Self {
        Self::default()
    }

    /// The configuration in force.
    pub fn current(&self) -> Arc<Configuration> {
        Arc::clone(&self.current.read())
    }

    /// Puts a configuration in force if its version is higher; says whether it was.
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

/// Gives the parser's freed memory back to the system. Without this a router of the design
/// size keeps about 8 MB of it, a quarter of what control may take.
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
