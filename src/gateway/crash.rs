//! Crashes of servers while they ran a request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;

use crate::config::routing::Route;
use crate::decide::part_strikes::CrashedRun;
use crate::decide::registry::Registration;
use crate::decide::strikes::Fingerprint;
use crate::gateway::quarantine::POLICY;
use crate::gateway::routed_request::RoutedRequest;
use crate::gateway::state::State;
use crate::http::connect_failure::ConnectFailure;
use crate::ids::{RequestId, ServerId};
use crate::runtime::with_timeout;

/// Longest wait for a probe's connection: servers are within a few ms, and a retry waits for it.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Pause before a server that accepted a connection is probed once more.
const SECOND_PROBE_DELAY: Duration = Duration::from_millis(60);
/// Number of other servers of the availability zone that are probed, one after the other.
const WITNESSES_MAX: usize = 2;
/// Time for which the result of a probe holds for the other requests that ran on the server.
const RESULT_VALID_MS: u64 = 300;
/// Number of results that are kept.
const RESULTS_MAX: usize = 256;

/// Results of recent probes: whether the server had crashed, and when that was found.
#[derive(Debug, Default)]
pub struct CrashProbes(Mutex<IndexMap<ServerId, (bool, u64)>>);

impl CrashProbes {
    fn recent(&self, server: &ServerId, as_of_ms: u64) -> Option<bool> {
        let results = self.0.lock();
        let (has_crashed, at_ms) = results.get(server)?;
        // A server that was found running may have crashed since.
        let valid_ms = match has_crashed {
            true => at_ms + RESULT_VALID_MS,
            false => *at_ms,
        };
        (as_of_ms <= valid_ms).then_some(*has_crashed)
    }

    fn has_crashed(&self, server: &ServerId) -> bool {
        let results = self.0.lock();
        results.get(server).is_some_and(|(crashed, _)| *crashed)
    }

    fn record(&self, server: &ServerId, has_crashed: bool, now_ms: u64) {
        let mut results = self.0.lock();
        if results.len() >= RESULTS_MAX {
            results.clear();
        }
        results.insert(server.clone(), (has_crashed, now_ms));
    }
}

/// Records a strike if the server of a broken connection no longer listens, while another one of its
/// availability zone can be reached. A server that accepts a connection has only reset the other
/// one, and a path without an answer shows nothing; a path that is cut may refuse connections to the
/// whole zone, and a zone that fails ends servers whatever they run; and a server that was leaving
/// has ended as planned.
///
/// `has_answered` tells that the server had gone on with an answer for some time, so that no part of
/// the prompt is the cause.
///
/// A server that still accepts connections is probed once more, without delaying a retry: the
/// listener of a process that ends may be closed after its connections.
pub async fn check(
    state: &Arc<State>,
    routed: &RoutedRequest,
    server: &Registration,
    sent_ms: u64,
    has_answered: bool,
) {
    let broken_ms = state.now_ms();
    let parts = match has_answered {
        true => Vec::new(),
        false => routed.prompt_parts.clone(),
    };
    let broken = BrokenRun {
        id: routed.id.clone(),
        route: Arc::clone(&routed.route),
        crashed: CrashedRun {
            parts,
            request: routed.fingerprint,
            caller: routed.caller_hash(),
            server: server.id.clone(),
            started_ms: sent_ms,
            at_ms: broken_ms,
            is_silent: false,
        },
    };
    match find(state, server, broken_ms, false).await {
        Finding::Crashed => broken.record(state),
        Finding::Inconclusive => {}
        Finding::Running { is_zone_reached } => {
            let (shared, server) = (Arc::clone(state), server.clone());
            state.runtime.spawn_detached(async move {
                smol::Timer::after(SECOND_PROBE_DELAY).await;
                if shared.crash_probes.has_crashed(&server.id) {
                    // It was running when this connection broke, and ended under another run.
                    return;
                }
                let now_ms = shared.now_ms();
                if find(&shared, &server, now_ms, is_zone_reached).await == Finding::Crashed {
                    broken.record(&shared);
                }
            });
        }
    }
}

/// A run whose connection broke.
struct BrokenRun {
    id: RequestId,
    route: Arc<Route>,
    crashed: CrashedRun,
}

impl BrokenRun {
    /// Records that the server crashed.
    fn record(self, state: &State) {
        let run = self.crashed;
        state.open_runs.remove(&run.server, run.request);
        record(state, &self.id, &self.route.name, run);
    }
}

/// Records and logs that a server crashed while it ran a request.
pub(super) fn record(state: &State, id: &RequestId, route: &str, run: CrashedRun) {
    log::warn!(
        "event=crashed id={id} fingerprint={} parts={} route={route} server={} ran_ms={} is_silent={}",
        run.request,
        join(&run.parts),
        run.server,
        run.at_ms.saturating_sub(run.started_ms),
        run.is_silent,
    );
    let status = state.strikes.record_run_crash(run, POLICY);
    state.metrics.count_strike(status);
}

/// What a probe of a server whose connection broke has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Finding {
    Crashed,
    /// It accepts connections.
    Running {
        /// Whether its zone could be reached at that moment.
        is_zone_reached: bool,
    },
    Inconclusive,
}

/// Finds out whether a server has crashed, as of `as_of_ms` or later. `was_zone_reached` tells that
/// its zone could be reached when the connection broke. With few servers in a zone, all of them may
/// have crashed by now.
async fn find(
    state: &State,
    server: &Registration,
    as_of_ms: u64,
    was_zone_reached: bool,
) -> Finding {
    match state.crash_probes.recent(&server.id, as_of_ms) {
        Some(true) => return Finding::Crashed,
        Some(false) => return Finding::Inconclusive,
        None => {}
    }
    if state.registration(&server.id).is_none() {
        return Finding::Inconclusive;
    }
    let probed = probe(state, server.address).await;
    let is_zone_reached = was_zone_reached || is_zone_reached(state, server).await;
    let finding = match probed {
        Probe::Refused if is_zone_reached => Finding::Crashed,
        Probe::Accepted => Finding::Running { is_zone_reached },
        Probe::Refused | Probe::Unknown => Finding::Inconclusive,
    };
    let has_crashed = finding == Finding::Crashed;
    state
        .crash_probes
        .record(&server.id, has_crashed, state.now_ms());
    finding
}

/// Whether another server of the availability zone accepts a connection; true if there is none that
/// has not crashed itself.
async fn is_zone_reached(state: &State, server: &Registration) -> bool {
    witness(state, server).await.unwrap_or(true)
}

/// Whether one of the other servers of the availability zone accepts a connection; `None` if there is
/// none that has not crashed itself.
pub(super) async fn witness(state: &State, server: &Registration) -> Option<bool> {
    let mut witnesses = state.servers_nearby(server);
    witnesses.retain(|witness| {
        let id = &witness.id;
        !state.crash_probes.has_crashed(id) && !state.strikes.has_server_crashed(id)
    });
    witnesses.truncate(WITNESSES_MAX);
    for witness in &witnesses {
        if probe(state, witness.address).await == Probe::Accepted {
            return Some(true);
        }
    }
    (!witnesses.is_empty()).then_some(false)
}

/// What a connection to a server has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Probe {
    Accepted,
    Refused,
    Unknown,
}

/// Opens a connection to a server, which is kept for later requests.
pub(super) async fn probe(state: &State, address: SocketAddr) -> Probe {
    match with_timeout(PROBE_TIMEOUT, state.pool.connect(address)).await {
        Some(Ok(connection)) => {
            state.pool.release(address, connection);
            Probe::Accepted
        }
        Some(Err(error)) => match ConnectFailure::of(&error) {
            ConnectFailure::ConnectionLimit => Probe::Accepted,
            ConnectFailure::Refused => Probe::Refused,
            ConnectFailure::NoAnswer | ConnectFailure::NoResources => Probe::Unknown,
        },
        None => Probe::Unknown,
    }
}

/// Joins the hashes of prompt parts with commas, for logs.
fn join(parts: &[Fingerprint]) -> String {
    let parts: Vec<String> = parts.iter().map(Fingerprint::to_string).collect();
    parts.join(",")
}
