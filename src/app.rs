//! State of a router that all its requests and background tasks share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use serde_json::{Value, json};

use crate::config::settings::RouterSettings;
use crate::control::claims::Claims;
use crate::control::config::ConfigStore;
use crate::control::deferred::DeferredQueue;
use crate::control::flight::FlightCounter;
use crate::control::load::LoadTable;
use crate::control::members::Members;
use crate::control::preempt::FreeWork;
use crate::control::probe::LiveRouters;
use crate::control::retries::RetryBudgets;
use crate::control::strikes::Strikes;
use crate::control::suspects::Suspects;
use crate::control::teams::Teams;
use crate::decide::hint::HintKey;
use crate::decide::strikes::StrikePolicy;
use crate::edge::clock::Clock;
use crate::edge::object::ObjectStore;
use crate::edge::table::Table;
use crate::http::pool::Pool;
use crate::observe::metrics::Metrics;
use crate::observe::recent_requests::RecentRequests;
use crate::observe::recorder::Recorder;
use crate::peer::{Health, PeerHandle};
use crate::runtime::Runtime;

/// State of a router that all its requests and background tasks share.
pub struct App {
    /// Settings of this process.
    pub settings: RouterSettings,
    /// Thread pool that runs the tasks.
    pub runtime: Runtime,
    /// Source of monotonic and wall-clock time.
    pub clock: Arc<dyn Clock>,
    /// Table service of the platform, which stores claims and configuration versions.
    pub table: Arc<dyn Table>,
    /// Object store of the platform, which stores inventories.
    pub objects: Arc<dyn ObjectStore>,
    /// Connection pool for backend servers.
    pub pool: Pool,
    /// Configuration in force.
    pub config: ConfigStore,
    /// Links to the other routers.
    pub peers: PeerHandle,
    /// Health of backend servers as seen by this router and its peers.
    pub members: Members,
    /// Load estimates of backend servers.
    pub load: LoadTable,
    /// Use of the fleet by each team, for admission.
    pub teams: Teams,
    /// Running requests of free teams that may be cancelled for paying work.
    pub free_work: FreeWork,
    /// Deferred requests that wait for admission.
    pub deferred: DeferredQueue,
    /// Signs and checks placement hints.
    pub hint_key: HintKey,
    /// Live routers with their zones, from which the routers that probe a server are selected.
    pub live_routers: LiveRouters,
    /// Retry budgets.
    pub retries: RetryBudgets,
    /// Strikes against requests on which backend servers crashed.
    pub strikes: Strikes,
    /// Servers that failed recently and are tried last.
    pub suspects: Suspects,
    /// Claims of this router on non-idempotent calls.
    pub claims: Claims,
    /// Number and body size of the requests in flight.
    pub in_flight: FlightCounter,
    /// Metrics of this process.
    pub metrics: Metrics,
    /// Records the inputs and outcomes of decisions for `/trace`.
    pub recorder: Recorder,
    /// Records of recent requests for `/explain`.
    pub recent_requests: RecentRequests,
    /// Whether the router reports itself ready; false during a planned stop.
    pub is_ready: AtomicBool,
}

impl App {
    /// Strike limits of the configuration in force.
    pub fn strike_policy(&self) -> StrikePolicy {
        let rules = &self.config.current().inventory.rules;
        StrikePolicy {
            strikes_max: rules.strikes_max,
            proven_strikes_max: rules.strikes_max,
            quarantine_ms: rules.quarantine_ms,
            common_cause_ms: 0,
            restart_min_ms: 0,
        }
    }

    /// State of this process as JSON, for `/dump`.
    pub fn dump(&self) -> Value {
        let configuration = self.config.current();
        let servers: Vec<Value> = configuration
            .inventory
            .servers
            .values()
            .map(|server| {
                json!({
                    "server": server,
                    "health": self.members.view().get(&server.id).unwrap_or(&Health::Alive),
                    "load": self.load.view(&server.id),
                    "load_age_ms": self.load.age_ms(&server.id),
                    "own_requests": self.load.own_requests(&server.id),
                })
            })
            .collect();
        let teams: Vec<Value> = self
            .teams
            .in_flight()
            .into_iter()
            .map(|(team, own, all)| json!({"team": team, "own": own, "fleet": all}))
            .collect();
        json!({
            "router": self.settings.name,
            "zone": self.settings.zone,
            "region": self.settings.region,
            "is_ready": self.is_ready.load(Ordering::Relaxed),
            "uptime_ms": self.clock.monotonic_ms(),
            "requests_in_flight": self.in_flight.total(),
            "deferred_waiting": self.deferred.len(),
            "teams": teams,
            "requests_struck": self.strikes.len(),
            "requests_quarantined": self.strikes.quarantined_count(self.clock.monotonic_ms()),
            "servers_suspect": self.suspects.servers(),
            "claims_settling": self.claims.pending_outcomes(),
            "config": {
                "version": configuration.version,
                "change_id": configuration.change_id,
                "rules": configuration.inventory.rules,
            },
            "is_cut_off": self.peers.is_cut_off(),
            "peers": self.peers.dump(),
            "servers": servers,
        })
    }
}
