//! Probes backend servers for their load; the results also tell whether they are alive.

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
use crate::decide::probe::{Role, role};
use crate::edge::clock::Clock;
use crate::http::client::{CallError, Client};
use crate::ids::{ConfigVersion, Incarnation, RouterId, ServerId, ZoneId};
use crate::runtime::{Runtime, Shutdown};

/// The second router probes once in this many ticks.
const SECOND_EVERY: u64 = 4;
/// Ticks vary by this share of their period, so that routers do not probe in step.
const JITTER: f64 = 0.2;
/// Oldest state that an engine's clock is believed to show. An older one means that the
/// clocks of the two hosts disagree; the state then counts as new.
const AGE_MAX_MS: u64 = 10_000;

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

/// What a probe found.
#[derive(Debug, Clone, PartialEq)]
pub struct ProbeResult {
    /// The server.
    pub server: ServerId,
    /// Its report with the running and waiting requests; none when it gave no usable answer.
    pub answer: Option<ProbeAnswer>,
    /// Whether the server refused, broke off or could not be reached, as opposed to being slow.
    pub is_unreached: bool,
}

/// A server's answer to a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProbeAnswer {
    /// The report.
    pub report: Report,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// Live routers and their zones; the owner of the membership writes them.
pub type LiveRouters = Arc<RwLock<Vec<(RouterId, ZoneId)>>>;

/// Newest answers that the other routers were not told yet.
pub type ProbeAnswers = Arc<Mutex<IndexMap<ServerId, ProbeAnswer>>>;

/// Probes those servers that are this router's to probe.
#[derive(Clone)]
pub struct Prober {
    /// This router.
    pub router: RouterId,
    /// Live routers, this one included.
    pub live_routers: LiveRouters,
    /// Servers to probe.
    pub config: ConfigStore,
    /// Where reports go.
    pub load: LoadTable,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Runs the probes.
    pub runtime: Runtime,
    /// Mean time between ticks.
    pub period: Duration,
    /// Answers for the other routers.
    pub answers: ProbeAnswers,
    /// Where results go.
    pub results: Sender<ProbeResult>,
}

/// Servers that this router probes.
#[derive(Debug, Default)]
struct Assignment {
    version: ConfigVersion,
    live: Vec<(RouterId, ZoneId)>,
    first: Vec<BackendServer>,
    second: Vec<BackendServer>,
}

impl Prober {
    /// Probes until the shutdown.
    pub async fn run(self, stop: Shutdown) {
        let mut tick = 0u64;
        let mut assignment = Assignment::default();
        while !stop.is_triggered() {
            self.assign(&mut assignment);
            self.start_probes(&assignment, tick);
            tick += 1;
            let factor = rand::rng().random_range(1.0 - JITTER..1.0 + JITTER);
            let pause = smol::Timer::after(self.period.mul_f64(factor));
            async {
                pause.await;
            }
            .or(stop.wait())
            .await;
        }
    }

    /// Works the assignment out again when the routers or the configuration changed: each
    /// server's role is a comparison with all routers of its zone.
    fn assign(&self, assignment: &mut Assignment) {
        let configuration = self.config.current();
        let live = self.live_routers.read();
        if assignment.version == configuration.version && assignment.live == *live {
            return;
        }
        assignment.version = configuration.version;
        assignment.live.clone_from(&live);
        assignment.first.clear();
        assignment.second.clear();
        for server in configuration.inventory.servers.values() {
            if !matches!(server.target, Target::Model(_)) {
                continue;
            }
            match role(&self.router, &server.id, &server.zone, &live) {
                Role::First => assignment.first.push(server.clone()),
                Role::Second => assignment.second.push(server.clone()),
                Role::Listener => {}
            }
        }
    }

    fn start_probes(&self, assignment: &Assignment, tick: u64) {
        let second = match tick.is_multiple_of(SECOND_EVERY) {
            true => &assignment.second[..],
            false => &[],
        };
        for server in assignment.first.iter().chain(second) {
            self.runtime.detach(self.clone().probe(server.clone()));
        }
    }

    async fn probe(self, server: BackendServer) {
        let result = Client::open(server.address, self.period)
            .get("/v1/load")
            .await;
        // A process that accepts a connection and closes it is as gone as one that refuses it.
        let is_unreached = matches!(result, Err(CallError::NotSent(_) | CallError::Lost(_)));
        let body = result
            .ok()
            .filter(|answer| answer.status == 200)
            .and_then(|answer| serde_json::from_slice::<LoadBody>(&answer.body).ok());
        let answer = body.map(|body| self.answer(&body));
        if let Some(answer) = answer {
            self.load.apply_report(&server.id, answer.report);
            self.answers.lock().insert(server.id.clone(), answer);
        }
        let result = ProbeResult {
            server: server.id,
            answer,
            is_unreached,
        };
        // A full channel means that its reader is behind; the next tick has newer results.
        let _ = self.results.try_send(result);
    }

    fn answer(&self, body: &LoadBody) -> ProbeAnswer {
        let age_ms = self.clock.wall_ms().saturating_sub(body.as_of_ms);
        let age_ms = if age_ms > AGE_MAX_MS { 0 } else { age_ms };
        ProbeAnswer {
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
