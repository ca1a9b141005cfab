//! Probes backend servers for their load; the results also show whether they are alive.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use futures_lite::FutureExt;
use indexmap::IndexMap;
use parking_lot::{Mutex, RwLock};
use rand::RngExt;
use serde::Deserialize;

use crate::config::inventory::{BackendServer, Target};
use crate::control::config::ConfigStore;
use crate::control::load::LoadTable;
use crate::decide::load::Report;
use crate::decide::probe::{Role, probe_role};
use crate::edge::clock::Clock;
use crate::http::client::{CallError, Client};
use crate::ids::{ConfigVersion, Incarnation, RouterId, ServerId, ZoneId};
use crate::runtime::{Runtime, Shutdown};

/// Ticks between two probes of a server by its secondary router; the primary router probes it
/// in each tick.
const SECONDARY_PROBE_TICKS: u64 = 4;
/// Random variation as a fraction of the period, so that routers do not probe at the same time.
const PERIOD_JITTER: f64 = 0.2;
/// Maximum age of a report by the engine's clock. A higher age means that the clocks of the
/// two hosts differ; the report then counts as new.
const REPORT_AGE_MAX_MS: u64 = 10_000;

/// Body of `GET /v1/load`.
#[derive(Debug, Clone, Deserialize)]
struct LoadBody {
    #[serde(default)]
    incarnation: u64,
    running: u32,
    #[serde(default)]
    waiting: u32,
    slots: u32,
    as_of_ms: u64,
}

/// Result of a probe.
#[derive(Debug, Clone, PartialEq)]
pub struct ProbeResult {
    /// Probed server.
    pub server: ServerId,
    /// The server's response; none if there was no valid one.
    pub response: Option<ProbeResponse>,
    /// Whether the server refused or broke the connection or was unreachable, as opposed to
    /// being slow.
    pub is_unreached: bool,
}

/// A server's response to a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProbeResponse {
    /// Load report with the time of this router's monotonic clock.
    pub report: Report,
    /// Requests that occupy a slot.
    pub running: u32,
    /// Requests queued on the server.
    pub waiting: u32,
}

/// Live routers and their zones, written by `MembersDriver`.
pub type LiveRouters = Arc<RwLock<Vec<(RouterId, ZoneId)>>>;

/// Newest responses that are not published to the other routers yet.
pub type ProbeResponses = Arc<Mutex<IndexMap<ServerId, ProbeResponse>>>;

/// Probes the servers that are assigned to this router.
#[derive(Clone)]
pub struct Prober {
    /// Name of this router.
    pub router: RouterId,
    /// Live routers, this one included.
    pub live_routers: LiveRouters,
    /// Configuration with the servers.
    pub config: ConfigStore,
    /// Receives the reports.
    pub load: LoadTable,
    /// Clock for the ages of reports.
    pub clock: Arc<dyn Clock>,
    /// Runs the probes.
    pub runtime: Runtime,
    /// Mean time between ticks.
    pub period: Duration,
    /// Receives the responses that are to be published to the other routers.
    pub responses: ProbeResponses,
    /// Receives the results.
    pub results: Sender<ProbeResult>,
}

/// Servers that this router probes as primary or secondary router, with the configuration
/// version and the live routers for which they were determined.
#[derive(Debug, Default)]
struct Assignment {
    version: ConfigVersion,
    live: Vec<(RouterId, ZoneId)>,
    primary: Vec<BackendServer>,
    secondary: Vec<BackendServer>,
}

impl Prober {
    /// Probes until the shutdown.
    pub async fn run(self, stop: Shutdown) {
        let mut tick = 0u64;
        let mut assignment = Assignment::default();
        while !stop.is_triggered() {
            self.update_assignment(&mut assignment);
            self.start_probes(&assignment, tick);
            tick += 1;
            let factor = rand::rng().random_range(1.0 - PERIOD_JITTER..1.0 + PERIOD_JITTER);
            let pause = smol::Timer::after(self.period.mul_f64(factor));
            async {
                pause.await;
            }
            .or(stop.wait())
            .await;
        }
    }

    /// Recomputes the assignment if the live routers or the configuration changed. It is cached
    /// because each server's role requires a comparison of all routers of its zone.
    fn update_assignment(&self, assignment: &mut Assignment) {
        let configuration = self.config.current();
        let live = self.live_routers.read();
        if assignment.version == configuration.version && assignment.live == *live {
            return;
        }
        assignment.version = configuration.version;
        assignment.live.clone_from(&live);
        assignment.primary.clear();
        assignment.secondary.clear();
        for server in configuration.inventory.servers.values() {
            if !matches!(server.target, Target::Model(_)) {
                continue;
            }
            match probe_role(&self.router, &server.id, &server.zone, &live) {
                Role::Primary => assignment.primary.push(server.clone()),
                Role::Secondary => assignment.secondary.push(server.clone()),
                Role::Observer => {}
            }
        }
    }

    fn start_probes(&self, assignment: &Assignment, tick: u64) {
        let secondary = match tick.is_multiple_of(SECONDARY_PROBE_TICKS) {
            true => &assignment.secondary[..],
            false => &[],
        };
        for server in assignment.primary.iter().chain(secondary) {
            self.runtime
                .spawn_detached(self.clone().probe(server.clone()));
        }
    }

    async fn probe(self, server: BackendServer) {
        let result = Client::open(server.address, self.period)
            .get("/v1/load")
            .await;
        // A process that accepts a connection and closes it is as unusable as one that refuses
        // it.
        let is_unreached = matches!(
            result,
            Err(CallError::NotSent(_) | CallError::ResponseLost(_))
        );
        let body = result
            .ok()
            .filter(|response| response.status == 200)
            .and_then(|response| serde_json::from_slice::<LoadBody>(&response.body).ok());
        let response = body.map(|body| self.probe_response(&body));
        if let Some(response) = response {
            self.load.apply_report(&server.id, response.report);
            self.responses.lock().insert(server.id.clone(), response);
        }
        let result = ProbeResult {
            server: server.id,
            response,
            is_unreached,
        };
        // If the channel is full, its reader is behind; the next tick has newer results.
        let _ = self.results.try_send(result);
    }

    fn probe_response(&self, body: &LoadBody) -> ProbeResponse {
        let age_ms = self.clock.wall_ms().saturating_sub(body.as_of_ms);
        let age_ms = if age_ms > REPORT_AGE_MAX_MS {
            0
        } else {
            age_ms
        };
        ProbeResponse {
            report: Report {
                incarnation: Incarnation(body.incarnation),
                held: body.running + body.waiting,
                slots: body.slots,
                as_of_ms: self.clock.monotonic_ms().saturating_sub(age_ms),
            },
            running: body.running,
            waiting: body.waiting,
        }
    }
}
