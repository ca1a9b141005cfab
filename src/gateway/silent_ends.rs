//! Servers that end without closing their connections. Nothing tells of such an end but the silence
//! of the server, which a hang or a cut path shares; the removal of its row confirms it.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

use crate::config::routing::Route;
use crate::decide::open_runs::{Open, OpenRuns, RunId};
use crate::decide::part_strikes::CrashedRun;
use crate::decide::registry::{Registration, Vanished};
use crate::decide::strikes::{Fingerprint, StrikeStatus};
use crate::edge::clock::Clock;
use crate::gateway::crash::{self, Probe};
use crate::gateway::quarantine::POLICY;
use crate::gateway::routed_request::RoutedRequest;
use crate::gateway::state::State;
use crate::ids::{RequestId, ServerId};

/// Shortest time from the end of a server until its row is removed: it may have ended just before a
/// heartbeat, of which three, 1.2 s apart, have to be missing.
const LAPSE_MIN_MS: u64 = 2_400;
/// Time for which a server whose row was removed may register again, before its end is confirmed.
const CONFIRM_DELAY: Duration = Duration::from_millis(400);
/// Longest time until the tables of a router that was restarted, paused or cut off are up to date
/// again, in which it may learn that a server has registered again: 6 s, and the pause of a source.
const UPDATE_WAIT_MS: u64 = 8_000;

/// Interval at which runs on a server of a silent zone are judged again.
const SILENT_ZONE_POLL: Duration = Duration::from_millis(500);
/// Time for which they are kept. A request that ends servers has ended one of another zone by then.
const SILENT_ZONE_MS: u64 = 20_000;

/// What logs say of an open run.
#[derive(Debug, Clone)]
pub struct RunLabel {
    id: RequestId,
    route: Arc<Route>,
}

type Shared = Arc<Mutex<OpenRuns<RunLabel>>>;

/// The open runs of a router.
#[derive(Debug, Default)]
pub struct OpenRunsTable(Shared);

/// A run that its server has not completed. Dropping it gives the run up.
pub struct OpenRun {
    runs: Shared,
    id: RunId,
    clock: Arc<dyn Clock>,
}

impl OpenRunsTable {
    /// Removes the runs of a request that a server has completed.
    pub fn remove_request(&self, request: Fingerprint) {
        self.0.lock().remove_request(request);
    }

    /// Removes the runs of a request on a server whose crash was seen.
    pub fn remove(&self, server: &ServerId, request: Fingerprint) {
        self.0.lock().remove(server, request);
    }
}

impl State {
    /// Records that a request is sent to a server.
    pub(super) fn open_run(
        &self,
        routed: &RoutedRequest,
        server: &Registration,
        sent_ms: u64,
    ) -> OpenRun {
        let run = CrashedRun {
            parts: routed.prompt_parts.clone(),
            request: routed.fingerprint,
            caller: routed.caller_hash(),
            server: server.id.clone(),
            started_ms: sent_ms,
            at_ms: sent_ms,
            is_silent: true,
        };
        let label = RunLabel {
            id: routed.id.clone(),
            route: Arc::clone(&routed.route),
        };
        OpenRun {
            id: self.open_runs.0.lock().begin(run, label),
            runs: Arc::clone(&self.open_runs.0),
            clock: Arc::clone(&self.clock),
        }
    }
}

impl OpenRun {
    /// Records that the server has completed the run, or has not begun it.
    pub fn complete(self) {
        self.runs.lock().complete(self.id);
    }

    /// Records that the answer went on for some time.
    pub fn record_answer(&self) {
        self.runs.lock().record_answer(self.id);
    }
}

impl Drop for OpenRun {
    fn drop(&mut self) {
        // Without effect on a completed run.
        let now_ms = self.clock.monotonic_ms();
        self.runs.lock().give_up(self.id, now_ms);
    }
}

/// Checks, beside the caller, whether servers that have vanished ended under the requests that this
/// router had sent to them.
pub fn check(state: &Arc<State>, vanished: Vec<Vanished>) {
    for vanished in vanished {
        let now_ms = state.now_ms();
        let server = &vanished.registration.id;
        let ended_ms = now_ms.saturating_sub(match vanished.has_restarted {
            true => POLICY.restart_min_ms,
            false => LAPSE_MIN_MS,
        });
        let runs = state.open_runs.0.lock().take(server, now_ms, ended_ms);
        if runs.is_empty() {
            continue;
        }
        let shared = Arc::clone(state);
        state.runtime.spawn_detached(async move {
            let finding = find(&shared, &vanished).await;
            let server = &vanished.registration.id;
            log::info!(
                "event=server_vanished server={server} runs={} finding={}",
                runs.len(),
                finding.as_str(),
            );
            match finding {
                Finding::Ended => runs
                    .into_iter()
                    .for_each(|open| record(&shared, open, ended_ms)),
                Finding::ZoneSilent => await_strikes(&shared, server, runs, ended_ms).await,
                Finding::Returned | Finding::Running | Finding::Outdated => {}
            }
        });
    }
}

/// Records those runs on a server of a silent zone whose request turns out to have ended a server
/// elsewhere, unless the server returns. With few servers in a zone, all of them may have ended under
/// one request, which looks like a zone that is cut off.
async fn await_strikes(
    state: &State,
    server: &ServerId,
    mut runs: Vec<Open<RunLabel>>,
    ended_ms: u64,
) {
    let until_ms = state.now_ms() + SILENT_ZONE_MS;
    while !runs.is_empty() && state.now_ms() < until_ms && !state.is_registered(server) {
        let now_ms = state.now_ms();
        let (struck, clear): (Vec<_>, Vec<_>) = runs.into_iter().partition(|open| {
            state.strikes.status(open.run.request, now_ms, POLICY) != StrikeStatus::Clear
        });
        struck
            .into_iter()
            .for_each(|open| record(state, open, ended_ms));
        runs = clear;
        smol::Timer::after(SILENT_ZONE_POLL).await;
    }
}

fn record(state: &State, open: Open<RunLabel>, ended_ms: u64) {
    let Open { mut run, label, .. } = open;
    run.at_ms = ended_ms;
    crash::record(state, &label.id, &label.route.name, run);
}

/// What became of a server that has vanished.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Finding {
    Ended,
    /// It has registered again.
    Returned,
    /// It accepts connections: its row is removed before it stops.
    Running,
    /// Its zone cannot be reached, or has no other server to tell.
    ZoneSilent,
    /// This router may have missed that it registered again.
    Outdated,
}

impl Finding {
    fn as_str(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Returned => "returned",
            Self::Running => "running",
            Self::ZoneSilent => "zone_silent",
            Self::Outdated => "outdated",
        }
    }
}

async fn find(state: &State, vanished: &Vanished) -> Finding {
    if vanished.has_restarted {
        return Finding::Ended;
    }
    let server = &vanished.registration;
    let wait_until_ms = state.now_ms() + UPDATE_WAIT_MS;
    smol::Timer::after(CONFIRM_DELAY).await;
    while !state.has_current_servers() {
        if state.now_ms() >= wait_until_ms {
            return Finding::Outdated;
        }
        smol::Timer::after(CONFIRM_DELAY).await;
    }
    if state.is_registered(&server.id) {
        return Finding::Returned;
    }
    if state.is_address_reused(server) {
        return Finding::Ended;
    }
    if crash::probe(state, server.address).await == Probe::Accepted {
        return Finding::Running;
    }
    // A zone that is cut off loses all its rows. The own zone is not: its rows have just been read.
    let is_own_zone = state.settings().zone == server.zone;
    match crash::witness(state, server).await {
        Some(true) => Finding::Ended,
        None if is_own_zone => Finding::Ended,
        _ => Finding::ZoneSilent,
    }
}
