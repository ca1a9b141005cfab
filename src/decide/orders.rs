//! Orders to engines: what an engine should hold against what it holds.

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use crate::config::inventory::{BackendServer, Inventory, ServerState, Target};
use crate::ids::{ConfigVersion, FencingNumber};

/// What an engine does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Runs requests.
    Serve,
    /// Finishes what it has.
    Drain,
}

/// A model with the version of its weights.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Model name.
    pub name: String,
    /// Version of the weights.
    pub weights_version: String,
}

/// State of an engine: wanted, or as it reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Models loaded.
    pub models: IndexSet<LoadedModel>,
    /// Adapters loaded.
    pub adapters: IndexSet<String>,
    /// What it does.
    pub role: Role,
    /// Configuration of the last order that it took.
    pub config_version: ConfigVersion,
}

/// An order: the whole state that the engine should take.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Number of the lease under which it is given.
    pub fencing: FencingNumber,
    /// The state to take.
    #[serde(flatten)]
    pub state: EngineState,
}

/// What an engine needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// It is as it should be.
    None,
    /// An order that loads no weights.
    Order(EngineState),
    /// An order that loads weights, which the weight store limits.
    Load(EngineState),
}

/// The state that the inventory wants for an engine; none for other servers.
///
/// ```
/// use jujubeusher::config::ini::Document;
/// use jujubeusher::config::inventory::Inventory;
/// use jujubeusher::decide::orders::{Role, desired_state};
/// use jujubeusher::ids::ConfigVersion;
/// let text = "[zone z1]\nregion = g1\n[model m1]\n\
///             [server s1]\nmodel = m1\naddress = 127.0.0.1:9000\nzone = z1\n";
/// let inventory = Inventory::from_document(&Document::parse("i.ini", text).unwrap()).unwrap();
/// let wanted = desired_state(&inventory, ConfigVersion(1), &inventory.servers["s1"]).unwrap();
/// assert_eq!(wanted.role, Role::Serve);
/// ```
pub fn desired_state(
    inventory: &Inventory,
    version: ConfigVersion,
    server: &BackendServer,
) -> Option<EngineState> {
    let Target::Model(id) = &server.target else {
        return None;
    };
    let model = inventory.models.get(id)?;
    let adapters = inventory
        .adapters
        .iter()
        .filter(|(_, adapter)| adapter.model == *id)
        .map(|(name, _)| name.clone())
        .collect();
    let loaded = LoadedModel {
        name: id.to_string(),
        weights_version: model.weights_version.clone(),
    };
    Some(EngineState {
        models: IndexSet::from([loaded]),
        adapters,
        role: match server.state {
            ServerState::Active => Role::Serve,
            ServerState::Leaving => Role::Drain,
        },
        config_version: version,
    })
}

/// Compares wanted with actual state.
///
/// An engine that follows a newer configuration than this process knows is left alone: the
/// process that gave that order is ahead.
pub fn required_action(mut wanted: EngineState, actual: &EngineState) -> Action {
    if actual.config_version > wanted.config_version {
        return Action::None;
    }
    if wanted.role == Role::Drain {
        // A leaving engine finishes with the weights it has.
        wanted.models.clone_from(&actual.models);
    }
    let is_same = actual.models == wanted.models
        && actual.adapters == wanted.adapters
        && actual.role == wanted.role;
    if is_same {
        return Action::None;
    }
    let loads_weights = wanted
        .models
        .iter()
        .any(|model| !actual.models.contains(model));
    match loads_weights {
        true => Action::Load(wanted),
        false => Action::Order(wanted),
    }
}

/// How long one permit for weight loads lasts, and how many loads it allows.
///
/// One lease row in each region is taken anew for each permit and never renewed, so that the
/// fleet together stays within `loads_per_min` with no clock that is shared.
///
/// ```
/// use jujubeusher::decide::orders::weight_permit;
/// assert_eq!(weight_permit(6), (10_000, 1));
/// assert_eq!(weight_permit(120), (5_000, 10));
/// ```
pub fn weight_permit(loads_per_min: u32) -> (u64, u32) {
    let loads_per_min = u64::from(loads_per_min.max(1));
    let duration_ms = MINUTE_MS.div_ceil(loads_per_min).max(PERMIT_MIN_MS);
    let loads = loads_per_min * duration_ms / MINUTE_MS;
    (duration_ms, loads as u32)
}

const MINUTE_MS: u64 = 60_000;
/// Shorter permits would be taken more often than the lease rows are read.
const PERMIT_MIN_MS: u64 = 5_000;

#[cfg(test)]
mod tests;
