//! Whether backend servers can be reached: recorded activity, and probes that open a connection.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures_lite::FutureExt;
use indexmap::{IndexMap, IndexSet};
use parking_lot::Mutex;

use crate::decide::cold_start::{ColdCause, ColdStarts};
use crate::decide::health::ServerHealth;
use crate::decide::pause::Pause;
use crate::decide::registry::Registration;
use crate::decide::server_limit::{Effect, LimitUpdate};
use crate::gateway::state::State;
use crate::http::connect_failure::ConnectFailure;
use crate::ids::{RequestId, ServerId};

/// Silence of a server on all connections after which a waiting request probes whether it can still
/// be reached: over ten times the usual duration of an engine's step or a plain service's run.
const SILENCE_BEFORE_PROBE_MS: u64 = 250;
/// Interval between rounds of probes of unreachable servers.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);

/// Time of the last activity, of a server on any connection or of one run, in ms of the monotonic
/// clock; clones share it.
#[derive(Debug, Clone, Default)]
pub struct LastActivity(Arc<AtomicU64>);

impl LastActivity {
    /// Records activity at `now_ms`.
    pub fn record(&self, now_ms: u64) {
        self.0.store(now_ms, Ordering::Relaxed);
    }

    /// Time of the last activity; 0 if there was none.
    pub fn at_ms(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    fn is_silent(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.at_ms()) >= SILENCE_BEFORE_PROBE_MS
    }
}

/// Health and last activity of all backend servers.
#[derive(Debug, Default)]
pub struct Reachability {
    health: Mutex<ServerHealth>,
    /// Which servers count as cold.
    pub(super) cold_starts: Mutex<ColdStarts>,
    last_activity: Mutex<IndexMap<ServerId, LastActivity>>,
    /// Time at which each silent server was probed last.
    probed_ms: Mutex<IndexMap<ServerId, u64>>,
}

impl Reachability {
    /// Shared record of a server's last activity.
    pub fn last_activity(&self, server: &ServerId) -> LastActivity {
        let mut last_activity = self.last_activity.lock();
        last_activity.entry(server.clone()).or_default().clone()
    }

    /// Time of a server's last activity, in ms of the monotonic clock; 0 if there was none.
    pub fn active_ms(&self, server: &ServerId) -> u64 {
        let last_activity = self.last_activity.lock();
        last_activity.get(server).map_or(0, LastActivity::at_ms)
    }

    /// Records that no connection to a server could be opened.
    pub fn record_unreachable(&self, server: &ServerId, now_ms: u64) {
        if self.health.lock().record_unreachable(server, now_ms) {
            log::warn!("event=server_unreachable server={server}");
        }
    }

    /// Records that a server was reached. One that could not be reached before may have started anew.
    pub fn record_reached(&self, server: &ServerId, now_ms: u64) {
        let is_again = {
            // Held until the server counts as cold, so that no thread finds it reachable and warm.
            let mut health = self.health.lock();
            let is_again = health.record_reached(server);
            if is_again {
                let mut cold_starts = self.cold_starts.lock();
                cold_starts.record_event(server, ColdCause::ReachedAgain, now_ms);
            }
            is_again
        };
        if is_again {
            log::info!("event=server_reached_again server={server}");
        }
    }

    /// Records that a server accepts no further connection, or refused a request without running
    /// it.
    pub fn record_refusal(&self, server: &ServerId, now_ms: u64) {
        self.health.lock().record_refusal(server, now_ms);
    }

    /// Records a pause that a server asked for in the response to the request `id`.
    pub fn record_pause(&self, server: &Registration, pause: Pause, id: &RequestId, now_ms: u64) {
        let incarnation = server.incarnation;
        let mut health = self.health.lock();
        if health.record_pause(&server.id, pause, incarnation, now_ms) {
            let end_ms = health.pause_end_ms(&server.id, incarnation, now_ms);
            log::info!(
                "event=server_paused server={} incarnation={incarnation} source=response \
                 for_ms={} is_bounded={} id={id}",
                server.id,
                end_ms.map_or(0, |end_ms| end_ms - now_ms),
                pause.is_bounded(),
            );
        }
    }

    /// End of a server's pause; `None` if it is not pausing.
    pub fn pause_end_ms(&self, server: &Registration, now_ms: u64) -> Option<u64> {
        let health = self.health.lock();
        health.pause_end_ms(&server.id, server.incarnation, now_ms)
    }

    /// Records what a response, here or at another router, said of a server's limit.
    pub fn record_limit(&self, update: &LimitUpdate, as_of_ms: u64, source: &str) -> Effect {
        let effect = self.health.lock().record_limit(update, as_of_ms);
        if effect == Effect::Changed {
            log::info!(
                "event=server_limit server={} incarnation={} limit_per_s={} source={source}",
                update.server,
                update.incarnation,
                update
                    .limit_per_s
                    .map_or("none".to_owned(), |limit| limit.to_string()),
            );
        }
        effect
    }

    /// Those of the servers that name a limit.
    pub fn limited(&self, servers: &[Registration], now_ms: u64) -> IndexSet<ServerId> {
        let health = self.health.lock();
        let limited = servers.iter().filter(|server| {
            let limit = health.limit_per_s(&server.id, server.incarnation, now_ms);
            limit.is_some()
        });
        limited.map(|server| server.id.clone()).collect()
    }

    /// A server's limit in requests a second; `None` if it names none.
    pub fn limit_per_s(&self, server: &Registration, now_ms: u64) -> Option<f64> {
        let health = self.health.lock();
        health.limit_per_s(&server.id, server.incarnation, now_ms)
    }

    /// All known limits of servers, for another router.
    pub fn limit_updates(&self, now_ms: u64) -> Vec<LimitUpdate> {
        self.health.lock().limit_updates(now_ms)
    }

    /// Records whether a request to a server failed.
    pub fn record_outcome(&self, server: &ServerId, is_fault: bool, now_ms: u64) {
        self.health.lock().record_outcome(server, is_fault, now_ms);
    }

    /// Removes the servers that cannot be reached from `candidates`, and puts the faulty ones last.
    pub fn order(&self, candidates: Vec<ServerId>, now_ms: u64) -> Vec<ServerId> {
        self.health.lock().order(candidates, now_ms)
    }

    /// Time from which a server could not be reached; `None` if it can be, as far as known, as for
    /// servers never tried.
    pub fn unreachable_since_ms(&self, server: &ServerId) -> Option<u64> {
        self.health.lock().unreachable_since_ms(server)
    }

    /// Whether a silent server is to be probed now, for all requests that wait for it.
    fn try_begin_probe(&self, server: &ServerId, now_ms: u64) -> bool {
        let mut probed_ms = self.probed_ms.lock();
        let last_ms = probed_ms.get(server).copied();
        let is_due = last_ms.is_none_or(|ms| ms + SILENCE_BEFORE_PROBE_MS <= now_ms);
        if is_due {
            probed_ms.insert(server.clone(), now_ms);
        }
        is_due
    }

    fn due_probes(&self, now_ms: u64) -> Vec<ServerId> {
        self.health.lock().due_probes(now_ms)
    }

    fn retain(&self, now_ms: u64, is_known: impl Fn(&ServerId) -> bool) {
        self.health.lock().retain(now_ms, &is_known);
        self.last_activity
            .lock()
            .retain(|server, _| is_known(server));
        self.probed_ms.lock().retain(|server, _| is_known(server));
    }
}

/// Probes a server by opening a connection, which then goes to the pool.
async fn probe(state: &State, server: &Registration) {
    let error = match state.pool.connect(server.address).await {
        Ok(connection) => {
            state.pool.release(server.address, connection);
            state
                .reachability
                .record_reached(&server.id, state.now_ms());
            return;
        }
        Err(error) => error,
    };
    let failure = ConnectFailure::of(&error);
    let now_ms = state.now_ms();
    let active_ms = state.reachability.active_ms(&server.id);
    log::info!(
        "event=probe_failed server={} kind={} error=\"{error}\" silent_ms={}",
        server.id,
        failure.as_str(),
        now_ms.saturating_sub(active_ms),
    );
    match failure {
        // A server that closes a new connection at once is reachable.
        ConnectFailure::ConnectionLimit => state.reachability.record_reached(&server.id, now_ms),
        ConnectFailure::Refused | ConnectFailure::NoAnswer => {
            state.pool.close_idle(server.address);
            state.reachability.record_unreachable(&server.id, now_ms);
        }
        ConnectFailure::NoResources => {}
    }
}

/// Awaits `future`, and probes its server while that is silent on all connections.
///
/// A probe says whether a new connection can be opened, which decides about further requests. It says
/// nothing about a request that the server is running: a leaving server accepts no connections and
/// finishes what it runs. Only the request's own connection, its deadline or its caller ends it.
pub async fn probe_while_silent<F>(state: &State, server: &Registration, future: F) -> F::Output
where
    F: Future,
{
    let last_activity = state.reachability.last_activity(&server.id);
    let probes = async {
        loop {
            let due_ms = state.now_ms() + SILENCE_BEFORE_PROBE_MS;
            smol::Timer::after(Duration::from_millis(SILENCE_BEFORE_PROBE_MS)).await;
            let now_ms = state.now_ms();
            // A router that was paused has not read what its servers sent meanwhile.
            let is_late = now_ms.saturating_sub(due_ms) >= SILENCE_BEFORE_PROBE_MS;
            if !is_late
                && last_activity.is_silent(now_ms)
                && state.reachability.try_begin_probe(&server.id, now_ms)
            {
                probe(state, server).await;
            }
        }
    };
    future.or(probes).await
}

/// Probes unreachable servers until they are reached or deregistered. Never returns.
pub async fn probe_loop(state: Arc<State>) {
    loop {
        smol::Timer::after(PROBE_INTERVAL).await;
        state.review_cold_servers();
        let due = state.reachability.due_probes(state.now_ms());
        if due.is_empty() {
            continue;
        }
        state.reachability.retain(state.now_ms(), |server| {
            state.registration(server).is_some()
        });
        for server in due.iter().filter_map(|server| state.registration(server)) {
            let state = Arc::clone(&state);
            state.runtime.clone().spawn_detached(async move {
                probe(&state, &server).await;
            });
        }
    }
}
