//! Reconciles engines with the inventory, under leases.
//!
//! Each engine belongs to one shard by a hash of its name. The holder of a shard's lease reads
//! the state of its engines again and again and orders what is missing, so a stale order that
//! an engine took from an earlier holder is found and repaired in the next round.

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
use crate::decide::orders::{EngineState, Need, Order, desired, need};
use crate::edge::engine::{EngineControl, EngineError};
use crate::ids::{RegionId, ServerId};

/// Engines visited at once, so that a few that do not answer do not hold up a round.
const ENGINES_AT_ONCE: usize = 16;

/// Result of an engine that needs nothing.
const IN_ORDER: &str = "in order";

/// Shards of control work in each region.
pub const SHARDS: usize = 16;

/// The shard that a server belongs to.
///
/// ```
/// use jujubeusher::control::orders::{SHARDS, shard_of};
/// use jujubeusher::ids::ServerId;
/// assert!(shard_of(&ServerId::from("s1")) < SHARDS);
/// ```
pub fn shard_of(server: &ServerId) -> usize {
    xxh3_64(server.as_str().as_bytes()) as usize % SHARDS
}

/// What the controller last saw of an engine.
#[derive(Debug, Clone, Serialize)]
pub struct EngineReport {
    /// State as the engine reported it.
    pub state: Option<EngineState>,
    /// What was done, or why nothing could be.
    pub result: String,
}

/// Gives orders to the engines of the shards whose leases are held.
pub struct Reconciler {
    /// Region whose engines are controlled.
    pub region: RegionId,
    /// Configuration in force.
    pub config: ConfigStore,
    /// One lease for each shard.
    pub shards: Arc<LeaseSet>,
    /// Permits for weight loads of the region.
    pub weights: WeightPermits,
    /// The engines.
    pub engines: Arc<dyn EngineControl>,
    /// Longest time one order may take.
    pub order_timeout_ms: u64,
    /// Last report of each engine.
    pub reports: Mutex<IndexMap<ServerId, EngineReport>>,
}

impl Reconciler {
    /// One round over all engines of the shards held.
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
            .for_each_concurrent(ENGINES_AT_ONCE, |server| self.visit(&configuration, server))
            .await;
    }

    async fn visit(&self, configuration: &Configuration, server: &BackendServer) {
        let inventory = &configuration.inventory;
        let Some(wanted) = desired(inventory, configuration.version, server) else {
            return;
        };
        if self.shards.fencing(shard_of(&server.id), 0).is_none() {
            self.reports.lock().swap_remove(&server.id);
            return;
        }
        let report = self.reconcile(server, wanted).await;
        self.reports.lock().insert(server.id.clone(), report);
    }

    /// Engines under control by what the last round found.
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

    async fn reconcile(&self, server: &BackendServer, wanted: EngineState) -> EngineReport {
        let actual = match self.engines.state(server.address).await {
            Ok(actual) => actual,
            Err(error) => {
                return EngineReport {
                    state: None,
                    result: error.to_string(),
                };
            }
        };
        let result = match need(wanted, &actual) {
            Need::Nothing => IN_ORDER.to_owned(),
            Need::Order(state) => self.order(server, state).await,
            Need::Load(state) => match self.weights.try_acquire().await {
                true => self.order(server, state).await,
                false => "waits for the weight store's rate".to_owned(),
            },
        };
        EngineReport {
            state: Some(actual),
            result,
        }
    }

    /// Gives one order, if the lease lasts longer than the order may take.
    async fn order(&self, server: &BackendServer, state: EngineState) -> String {
        let version = state.config_version;
        let shard = shard_of(&server.id);
        // Read just before the order is sent: a pause may have outlived the lease.
        let Some(fencing) = self.shards.fencing(shard, self.order_timeout_ms) else {
            return "the lease ends too soon".to_owned();
        };
        let result = self
            .engines
            .order(server.address, Order { fencing, state })
            .await;
        let text = match &result {
            Ok(()) => "ordered".to_owned(),
            Err(EngineError::Fenced(_)) => "fenced off".to_owned(),
            Err(error) => error.to_string(),
        };
        log::info!(
            "event=order server={} shard={shard} fencing={fencing} config_version={version} result=\"{text}\"",
            server.id
        );
        text
    }
}
