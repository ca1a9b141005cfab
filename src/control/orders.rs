//! Reconciles engines with the inventory, under leases.
//!
//! Each engine belongs to one shard by a hash of its name. The holder of a shard's lease
//! periodically reads the state of the shard's engines and sends orders where it differs from
//! the inventory. A stale order from an earlier holder is thus detected and corrected in the
//! next round.

use std::sync::Arc;

use futures_util::StreamExt;
use futures_util::stream;
use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::config::inventory::BackendServer;
use crate::control::config::{ConfigStore, Configuration};
use crate::control::leases::LeaseSet;
use crate::control::weights::WeightPermits;
use crate::decide::orders::{Action, EngineState, Order, desired_state, required_action};
use crate::edge::engine::{EngineControl, EngineError};
use crate::ids::{RegionId, ServerId};

/// Engines reconciled concurrently, so that a few unresponsive ones do not delay a round.
const CONCURRENT_ENGINES_MAX: usize = 16;

/// Result for an engine whose state matches the inventory.
const IN_ORDER: &str = "in order";

/// Shards of control work in each region.
pub const SHARDS: usize = 16;

/// The shard of a server, from a hash of its name.
///
/// ```
/// use jujubeusher::control::orders::{SHARDS, shard_of};
/// use jujubeusher::ids::ServerId;
/// assert!(shard_of(&ServerId::from("s1")) < SHARDS);
/// ```
pub fn shard_of(server: &ServerId) -> usize {
    xxh3_64(server.as_str().as_bytes()) as usize % SHARDS
}

/// Result of the last reconciliation of an engine.
#[derive(Debug, Clone, Serialize)]
pub struct EngineReport {
    /// State reported by the engine; none if it did not respond.
    pub state: Option<EngineState>,
    /// What was done, or why nothing could be done.
    pub result: String,
}

/// Sends orders to the engines of the shards whose leases this process holds.
pub struct Reconciler {
    /// Region whose engines are controlled.
    pub region: RegionId,
    /// Configuration in force.
    pub config: ConfigStore,
    /// One lease for each shard.
    pub shards: Arc<LeaseSet>,
    /// Permits for weight loads of the region.
    pub weights: WeightPermits,
    /// Client for the engines' control interface.
    pub engines: Arc<dyn EngineControl>,
    /// Timeout of one order; a lease must be valid for at least this long when it is sent.
    pub order_timeout_ms: u64,
    /// Last report of each engine in the shards held.
    pub reports: Mutex<IndexMap<ServerId, EngineReport>>,
}

impl Reconciler {
    /// Runs one round over all engines of the shards held.
    pub async fn tick(&self) {
        let configuration = self.config.current();
        self.weights
            .set_rate(configuration.inventory.rules.weight_loads_per_min);
        let servers = configuration
            .inventory
            .servers
            .values()
            .filter(|server| self.is_in_region(&configuration, server));
        stream::iter(servers)
            .for_each_concurrent(CONCURRENT_ENGINES_MAX, |server| {
                self.reconcile_if_leased(&configuration, server)
            })
            .await;
    }

    async fn reconcile_if_leased(&self, configuration: &Configuration, server: &BackendServer) {
        let inventory = &configuration.inventory;
        let Some(desired) = desired_state(inventory, configuration.version, server) else {
            return;
        };
        if self.shards.fencing(shard_of(&server.id), 0).is_none() {
            self.reports.lock().swap_remove(&server.id);
            return;
        }
        let report = self.reconcile(server, desired).await;
        self.reports.lock().insert(server.id.clone(), report);
    }

    /// Engines under control, counted by the result of the last round.
    pub fn counts(&self) -> Vec<(&'static str, u64)> {
        let reports = self.reports.lock();
        let mut counts = [("in_order", 0), ("other", 0), ("unreachable", 0)];
        for report in reports.values() {
            let index = match &report.state {
                None => 2,
                Some(_) if report.result == IN_ORDER => 0,
                Some(_) => 1,
            };
            counts[index].1 += 1;
        }
        counts.to_vec()
    }

    fn is_in_region(&self, configuration: &Configuration, server: &BackendServer) -> bool {
        let zone = configuration.inventory.zones.get(&server.zone);
        zone.is_some_and(|zone| zone.region == self.region)
    }

    async fn reconcile(&self, server: &BackendServer, desired: EngineState) -> EngineReport {
        let actual = match self.engines.read_state(server.address).await {
            Ok(actual) => actual,
            Err(error) => {
                return EngineReport {
                    state: None,
                    result: error.to_string(),
                };
            }
        };
        let result = match required_action(desired, &actual) {
            Action::None => IN_ORDER.to_owned(),
            Action::Order(state) => self.send_order(server, state).await,
            Action::Load(state) => match self.weights.try_acquire().await {
                true => self.send_order(server, state).await,
                false => "waiting for a weight load permit".to_owned(),
            },
        };
        EngineReport {
            state: Some(actual),
            result,
        }
    }

    /// Sends one order, if the lease is valid for longer than the order's timeout.
    async fn send_order(&self, server: &BackendServer, state: EngineState) -> String {
        let version = state.config_version;
        let shard = shard_of(&server.id);
        // Read just before sending: the process may have been paused until the lease expired.
        let Some(fencing) = self.shards.fencing(shard, self.order_timeout_ms) else {
            return "lease expires before the order timeout".to_owned();
        };
        let result = self
            .engines
            .send_order(server.address, Order { fencing, state })
            .await;
        let text = match &result {
            Ok(()) => "ordered".to_owned(),
            Err(EngineError::Fenced(_)) => "rejected: stale fencing number".to_owned(),
            Err(error) => error.to_string(),
        };
        log::info!(
            "event=order server={} shard={shard} fencing={fencing} config_version={version} result=\"{text}\"",
            server.id
        );
        text
    }
}
