//! Orders to engines: compares the desired with the actual state of an engine and decides whether
//! it needs an order.

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use crate::config::inventory::{BackendServer, Inventory, ServerState, Target};
use crate::ids::{ConfigVersion, FencingNumber};

/// Operating mode of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts and runs requests.
    Serve,
    /// Finishes the requests that it has.
    Drain,
}

/// A model, loaded or to be loaded, with the version of its weights.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LoadedModel {
    pub name: String,
    pub weights_version: String,
}

/// State of an engine, either desired or as the engine reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Loaded models.
    pub models: IndexSet<LoadedModel>,
    /// Names of the loaded adapters.
    pub adapters: IndexSet<String>,
    /// Whether the engine serves or drains.
    pub role: Role,
    /// Version of the configuration from which the last applied order was derived.
    pub config_version: ConfigVersion,
}

/// An order to an engine; it states the complete desired state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the lease under which the order is sent.
    pub fencing: FencingNumber,
    /// State that the engine should adopt.
    #[serde(flatten)]
    pub state: EngineState,
}

/// What has to be done to bring an engine to its desired state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Nothing: the engine is in the desired state or follows a newer configuration.
    None,
    /// Send an order that loads no weights.
    Order(EngineState),
    /// Send an order that loads weights, which is subject to the weight store's rate limit.
    Load(EngineState),
}

/// The state that the inventory declares for an engine; `None` for servers that are not engines.
///
/// ```
/// use jujubeusher::config::ini::Document;
/// use jujubeusher::config::inventory::Inventory;
/// use jujubeusher::decide::orders::{Role, desired_state};
/// use jujubeusher::ids::ConfigVersion;
/// let text = "[zone z1]\nregion = g1\n[model m1]\n\
///             [server s1]\nmodel = m1\naddress = 127.0.0.1:9000\nzone = z1\n";
/// let inventory = Inventory::from_document(&Document::parse("i.ini", text).unwrap()).unwrap();
/// let desired = desired_state(&inventory, ConfigVersion(1), &inventory.servers["s1"]).unwrap();
/// assert_eq!(desired.role, Role::Serve);
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

/// Decides how to bring an engine from its actual to the desired state.
///
/// An engine that follows a newer configuration than this process knows gets no order: another
/// controller with the newer configuration has already sent it one.
pub fn required_action(mut desired: EngineState, actual: &EngineState) -> Action {
    if actual.config_version > desired.config_version {
        return Action::None;
    }
    if desired.role == Role::Drain {
        // An engine that drains keeps its weights until its requests have finished.
        desired.models.clone_from(&actual.models);
    }
    let is_same = actual.models == desired.models
        && actual.adapters == desired.adapters
        && actual.role == desired.role;
    if is_same {
        return Action::None;
    }
    let loads_weights = desired
        .models
        .iter()
        .any(|model| !actual.models.contains(model));
    match loads_weights {
        true => Action::Load(desired),
        false => Action::Order(desired),
    }
}

/// Duration of a permit for weight loads in ms, and the number of loads that it allows.
///
/// Each permit is a new lease on the region's single lease row and is never renewed. The fleet
/// thus stays within `loads_per_min` without a shared clock.
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
/// Shorter permits would have to be acquired more often than the lease rows are read.
const PERMIT_MIN_MS: u64 = 5_000;

#[cfg(test)]
mod tests;
