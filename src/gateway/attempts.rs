//! The attempts of a request: one server after another until one responds or no retry is allowed.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use futures_util::stream::{FuturesUnordered, StreamExt};

use crate::decide::pause::can_wait;
use crate::decide::registry::Registration;
use crate::decide::run_doubt::RunDoubt;
use crate::gateway::attempt::{
    self, AttemptLimits, Failure, FailureKind, ResponseBody, ServerResponse,
};
use crate::gateway::crash;
use crate::gateway::first_server;
use crate::gateway::next_server::{NoServer, Selected, next_server, reports_load};
use crate::gateway::placement::{self, NoSelection};
use crate::gateway::reachability::LastActivity;
use crate::gateway::rejection::Rejection;
use crate::gateway::routed_request::{AttemptHistory, RoutedRequest};
use crate::gateway::silent_ends::OpenRun;
use crate::gateway::state::State;
use crate::ids::RunState;

/// Interval at which a request that waits for the end of a pause looks for another server.
const PAUSE_POLL_MS: u64 = 100;

/// Interval at which another server is sought again for a run in doubt, after none could be had: some
/// requests of the servers end within it.
const SEARCH_INTERVAL: Duration = Duration::from_millis(500);

/// An attempt in progress.
struct Running {
    server: Registration,
    sent_ms: u64,
    progress: LastActivity,
    doubt: RunDoubt,
    is_doubted: bool,
}

impl Running {
    /// Completes when another server is to be sought beside this run.
    async fn wait_for_doubt(&mut self, state: &State, routed: &RoutedRequest) {
        if self.is_doubted {
            smol::Timer::after(SEARCH_INTERVAL).await;
            return;
        }
        let mut now_ms = state.now_ms();
        while !self.doubt.observe(now_ms, self.progress.at_ms()) {
            smol::Timer::after(Duration::from_millis(self.doubt.next_check_ms())).await;
            now_ms = state.now_ms();
        }
        self.is_doubted = true;
        log::info!(
            "event=attempt_overdue id={} server={} ms={}",
            routed.id,
            self.server.id,
            now_ms.saturating_sub(self.sent_ms),
        );
        // Its own connection shows that it is late, whether it is given up or not.
        let server = &self.server;
        state.pool.close_idle(server.address);
        state.reachability.record_outcome(&server.id, true, now_ms);
    }
}

/// An attempt that has ended.
struct Ended {
    server: Registration,
    sent_ms: u64,
    result: Result<ServerResponse, Failure>,
}

/// Sends the request to one server after another until one responds or no retry is allowed. While a
/// run is in doubt, another server is sought beside it, and the response that comes first is taken;
/// the other run is given up then. If this is not awaited to its end, the caller gives up the
/// attempts in progress in `history`.
pub async fn run_attempts(
    state: &Arc<State>,
    routed: &RoutedRequest,
    history: &mut AttemptHistory,
    last_event: Option<u64>,
) -> Result<ServerResponse, Rejection> {
    let mut attempts = FuturesUnordered::new();
    let mut running: Vec<Running> = Vec::new();
    let mut fallback = None;
    let mut last_failure: Option<Failure> = None;
    let mut is_next_due = true;
    loop {
        if is_next_due {
            let next = match attempts.is_empty() {
                true => first_server::wait_for_server(state, routed, history).await,
                false => next_server(state, routed, history),
            };
            match next {
                Ok(Selected { server, taken_ms }) => {
                    let begun = begin(state, routed, history, server);
                    let open = state.open_run(routed, &begun.server, begun.sent_ms);
                    attempts.push(run(state, routed, &begun, open, last_event, taken_ms));
                    running.push(begun);
                }
                Err(reason) if attempts.is_empty() => {
                    let wait = reason.wait(state, routed);
                    if let Some(wait) = wait.filter(|_| fallback.is_none()) {
                        smol::Timer::after(wait).await;
                        continue;
                    }
                    let failure = last_failure.as_ref();
                    return fallback
                        .ok_or_else(|| reason.into_rejection(state, routed, history, failure));
                }
                // The run in doubt goes on.
                Err(_) => {}
            }
        }
        let doubted = running.last_mut().filter(|_| may_repeat(routed, history));
        let Some(ended) = next_ended(&mut attempts, doubted, state, routed).await else {
            is_next_due = true;
            continue;
        };
        let server = ended.server;
        running.retain(|running| running.server.id != server.id);
        history.in_progress -= 1;
        match ended.result {
            Ok(response) => {
                record_response(state, routed, history, &server, ended.sent_ms, &response);
                let is_fault = response.status.is_server_error();
                if !is_fault || (attempts.is_empty() && !may_repeat(routed, history)) {
                    history.give_up();
                    return Ok(response);
                }
                log::info!(
                    "event=retry id={} server={} status={}",
                    routed.id,
                    server.id,
                    response.status.as_u16()
                );
                fallback = Some(response);
            }
            Err(failure) => {
                record_failure(state, routed, history, &server, &failure);
                if failure.kind == FailureKind::Broken {
                    crash::check(state, routed, &server, ended.sent_ms, false).await;
                }
                if attempts.is_empty() && !may_retry(routed, history) {
                    return fallback.ok_or_else(|| failure_rejection(history, Some(&failure)));
                }
                last_failure = Some(failure);
            }
        }
        is_next_due = attempts.is_empty();
    }
}

/// Waits until an attempt has ended; `None` if another server is to be sought before.
async fn next_ended<F>(
    attempts: &mut FuturesUnordered<F>,
    doubted: Option<&mut Running>,
    state: &State,
    routed: &RoutedRequest,
) -> Option<Ended>
where
    F: Future<Output = Ended>,
{
    let doubt = async {
        match doubted {
            Some(running) => running.wait_for_doubt(state, routed).await,
            None => std::future::pending().await,
        }
        None
    };
    attempts.next().or(doubt).await
}

fn begin(
    state: &State,
    routed: &RoutedRequest,
    history: &mut AttemptHistory,
    server: Registration,
) -> Running {
    let now_ms = state.now_ms();
    history.servers.push(server.id.clone());
    history.last_sent_ms = now_ms;
    history.in_progress += 1;
    history.has_own_place = false;
    state.offers.record_placed(&routed.service, now_ms);
    if !reports_load(state, &server) {
        state.queues.record_sent(&routed.service);
    }
    Running {
        doubt: RunDoubt::new(overdue_ms(routed, now_ms), now_ms),
        server,
        sent_ms: now_ms,
        progress: LastActivity::default(),
        is_doubted: false,
    }
}

/// Runs an attempt to its end. The future holds no reference to `running`.
fn run<'a>(
    state: &'a State,
    routed: &'a RoutedRequest,
    running: &Running,
    open: OpenRun,
    last_event: Option<u64>,
    taken_ms: u64,
) -> impl Future<Output = Ended> + use<'a> {
    let (server, sent_ms) = (running.server.clone(), running.sent_ms);
    let progress = running.progress.clone();
    async move {
        let limits = AttemptLimits {
            remaining_ms: routed.remaining_ms(sent_ms),
            last_event,
            taken_ms,
            fetch_source: placement::fetch_source(state, routed, &server),
        };
        let mut result = attempt::send(state, routed, &server, limits, &progress).await;
        close_run(open, &mut result);
        Ended {
            result,
            server,
            sent_ms,
        }
    }
}

/// Records that the server has completed its run or did not run the request. A stream goes on; any
/// other run without a response is given up.
fn close_run(open: OpenRun, result: &mut Result<ServerResponse, Failure>) {
    match result {
        Ok(ServerResponse {
            body: ResponseBody::Stream(source),
            ..
        }) => source.open = Some(open),
        Ok(_) => open.complete(),
        Err(failure) if failure.kind.run_state() == RunState::NotRun => open.complete(),
        Err(_) => {}
    }
}

impl NoServer {
    /// Time to wait before a server is selected again; `None` if that is no use.
    fn wait(&self, state: &State, routed: &RoutedRequest) -> Option<Duration> {
        let Self::NotSelected(NoSelection::Paused { until_ms }) = *self else {
            return None;
        };
        let may_wait = !state.is_stopping()
            && can_wait(until_ms, routed.deadline_ms, routed.route.latency_target_ms);
        let wait_ms = until_ms.saturating_sub(state.now_ms()).min(PAUSE_POLL_MS);
        may_wait.then(|| Duration::from_millis(wait_ms))
    }

    fn into_rejection(
        self,
        state: &State,
        routed: &RoutedRequest,
        history: &AttemptHistory,
        failure: Option<&Failure>,
    ) -> Rejection {
        match self {
            Self::TimedOut => deadline_rejection(history),
            Self::Quarantined(rejection) => rejection,
            Self::NotSelected(reason) => no_selection(state, routed, history, reason),
            Self::RateUsedUp { .. } => {
                no_selection(state, routed, history, NoSelection::AtCapacity)
            }
            Self::NotQueued {
                is_at_limit,
                retry_after_ms,
            } => {
                let remaining_ms = routed.remaining_ms(state.now_ms());
                let pause_ms = state.record_overload(&routed.service, remaining_ms);
                let retry_after_ms = pause_ms.max(retry_after_ms);
                match is_at_limit {
                    true => Rejection::AtLimit { retry_after_ms },
                    false => Rejection::Overloaded { retry_after_ms },
                }
            }
            Self::NoRetry => failure_rejection(history, failure),
        }
    }
}

fn record_response(
    state: &State,
    routed: &RoutedRequest,
    history: &mut AttemptHistory,
    server: &Registration,
    sent_ms: u64,
    response: &ServerResponse,
) {
    let now_ms = state.now_ms();
    history.record_responder(&server.id, sent_ms);
    if matches!(response.body, ResponseBody::Complete(_)) {
        state.record_completion(routed.fingerprint, &server.id);
        if response.status.is_success() {
            let caller = routed.caller_hash();
            state
                .strikes
                .record_answer(&routed.prompt_parts, caller, now_ms);
        }
    }
    if !routed.route.is_stream {
        let elapsed_ms = now_ms.saturating_sub(sent_ms);
        state.record_run(&routed.service, elapsed_ms);
        if !response.status.is_server_error() && !reports_load(state, server) {
            let target_ms = routed.route.latency_target_ms;
            state
                .queues
                .record_completion(&routed.service, elapsed_ms, target_ms);
        }
    }
    state.metrics.count_attempt("answered");
    state.reachability.record_reached(&server.id, now_ms);
    let is_fault = response.status.is_server_error();
    state
        .reachability
        .record_outcome(&server.id, is_fault, now_ms);
    history.delivered += 1;
    history.possible_runs += 1;
    if let Some(prompt) = routed.prompt {
        state.record_prompt_server(prompt.shared_hash, &server.id);
    }
}

/// Share of the remaining time that a run may take to bring something before it is overdue.
const OVERDUE_DIVISOR: u64 = 3;

/// Time without progress after which a run that began at `now_ms` is overdue.
fn overdue_ms(routed: &RoutedRequest, now_ms: u64) -> u64 {
    let share_ms = routed.remaining_ms(now_ms) / OVERDUE_DIVISOR;
    share_ms.max(routed.route.latency_target_ms)
}

fn record_failure(
    state: &State,
    routed: &RoutedRequest,
    history: &mut AttemptHistory,
    server: &Registration,
    failure: &Failure,
) {
    log::info!(
        "event=attempt_failed id={} fingerprint={} server={} kind={} reason=\"{}\" ms={}",
        routed.id,
        routed.fingerprint,
        server.id,
        failure.kind.as_str(),
        failure.reason,
        state.now_ms().saturating_sub(routed.arrived_ms),
    );
    state.metrics.count_attempt(failure.kind.as_str());
    if failure.kind.is_delivered() {
        history.delivered += 1;
    }
    if failure.kind.run_state() != RunState::NotRun {
        history.possible_runs += 1;
    }
    let now_ms = state.now_ms();
    let is_not_run = failure.kind.run_state() == RunState::NotRun;
    let is_paused = state.reachability.pause_end_ms(server, now_ms).is_some();
    if is_not_run && is_paused {
        history.paused.push(server.id.clone());
    }
    if failure.kind == FailureKind::NotRun && !is_paused && !reports_load(state, server) {
        state.queues.record_decline(&routed.service);
    }
    match failure.kind {
        FailureKind::Connect => {
            state.pool.close_idle(server.address);
            state.reachability.record_unreachable(&server.id, now_ms);
        }
        FailureKind::Timeout => {
            state.pool.close_idle(server.address);
            state.reachability.record_outcome(&server.id, true, now_ms);
        }
        FailureKind::Broken | FailureKind::Foreign => {
            state.reachability.record_outcome(&server.id, true, now_ms);
        }
        FailureKind::ConnectionLimit | FailureKind::NotRun => {
            state.reachability.record_refusal(&server.id, now_ms);
        }
        // Neither says anything of the server.
        FailureKind::NoResources | FailureKind::Withheld => {}
        FailureKind::Misdirected => state.record_misdirected(&server.id),
    }
}

/// Maximum number of servers that a request is sent to, whatever the reasons of the failures.
const ATTEMPTED_SERVERS_MAX: usize = 4;

/// Whether a request that may have run, or is being run, may run once more.
pub fn may_repeat(routed: &RoutedRequest, history: &AttemptHistory) -> bool {
    routed.is_repeatable()
        && history.runs() < routed.route.attempts_max
        && history.servers.len() < ATTEMPTED_SERVERS_MAX
}

fn may_retry(routed: &RoutedRequest, history: &AttemptHistory) -> bool {
    match history.runs() {
        0 => history.servers.len() < ATTEMPTED_SERVERS_MAX,
        _ => may_repeat(routed, history),
    }
}

/// Rejection of a request for which there is no server.
fn no_selection(
    state: &State,
    routed: &RoutedRequest,
    history: &AttemptHistory,
    reason: NoSelection,
) -> Rejection {
    let now_ms = state.now_ms();
    let remaining_ms = routed.remaining_ms(now_ms);
    let rejection = match reason {
        NoSelection::Paused { until_ms } => return pause_rejection(history, until_ms, now_ms),
        // A search beside a run that goes on refuses no caller.
        _ if history.runs() > 0 => Rejection::AnswerLost,
        NoSelection::AtCapacity => Rejection::Overloaded {
            retry_after_ms: state.record_overload(&routed.service, remaining_ms),
        },
        NoSelection::AtLimit { until_ms } => {
            let wait_ms = until_ms.map_or(0, |until_ms| until_ms.saturating_sub(now_ms));
            let pause_ms = state.record_overload(&routed.service, remaining_ms);
            Rejection::AtLimit {
                retry_after_ms: pause_ms.max(wait_ms),
            }
        }
        NoSelection::Evacuated => Rejection::Evacuated {
            retry_after_ms: placement::random_evacuated_retry_after_ms(),
        },
        NoSelection::Rejected(rejection) => rejection,
    };
    placement_failure(history, rejection)
}

/// Rejection of a request that cannot wait for the end of a pause.
fn pause_rejection(history: &AttemptHistory, until_ms: u64, now_ms: u64) -> Rejection {
    match history.possible_runs {
        0 => Rejection::Paused {
            retry_after_ms: until_ms.saturating_sub(now_ms) + placement::random_retry_after_ms(),
        },
        _ => Rejection::AnswerLost,
    }
}

fn deadline_rejection(history: &AttemptHistory) -> Rejection {
    match history.possible_runs {
        0 => Rejection::NotAccepted {
            retry_after_ms: placement::random_retry_after_ms(),
        },
        _ => Rejection::TimedOut,
    }
}

fn placement_failure(history: &AttemptHistory, rejection: Rejection) -> Rejection {
    match (history.possible_runs, history.delivered) {
        (0, 0) => rejection,
        (0, _) => Rejection::NotAccepted {
            retry_after_ms: placement::random_retry_after_ms(),
        },
        _ => Rejection::AnswerLost,
    }
}

fn failure_rejection(history: &AttemptHistory, failure: Option<&Failure>) -> Rejection {
    match (history.possible_runs, failure.map(|failure| failure.kind)) {
        (0, _) => Rejection::NotAccepted {
            retry_after_ms: placement::random_retry_after_ms(),
        },
        (_, Some(FailureKind::Timeout)) => Rejection::TimedOut,
        _ => Rejection::AnswerLost,
    }
}
