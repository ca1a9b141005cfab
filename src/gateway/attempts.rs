//! The attempts of a request: one server after another until one responds or no retry is allowed.

use std::sync::Arc;
use std::time::Duration;

use crate::decide::pause::can_wait;
use crate::decide::registry::Registration;
use crate::gateway::attempt::{
    self, AttemptLimits, Failure, FailureKind, ResponseBody, ServerResponse,
};
use crate::gateway::crash;
use crate::gateway::placement::{self, NoSelection};
use crate::gateway::quarantine;
use crate::gateway::rejection::Rejection;
use crate::gateway::routed_request::{AttemptHistory, RoutedRequest};
use crate::gateway::state::State;
use crate::ids::RunState;

/// Interval at which a request that waits for the end of a pause looks for another server.
const PAUSE_POLL_MS: u64 = 100;

/// Sends the request to one server after another until one responds or no retry is allowed. If this
/// is not awaited to its end, the caller gives up the attempts in progress in `history`.
///
/// A request that was delivered before uses up a retry of the service's budget for each attempt, once
/// there is a server for it.
pub async fn run_attempts(
    state: &Arc<State>,
    routed: &RoutedRequest,
    history: &mut AttemptHistory,
    last_event: Option<u64>,
) -> Result<ServerResponse, Rejection> {
    let mut fallback = None;
    let mut last_failure: Option<Failure> = None;
    loop {
        let now_ms = state.now_ms();
        let remaining_ms = routed.remaining_ms(now_ms);
        if remaining_ms == 0 {
            return fallback.ok_or_else(|| deadline_rejection(history));
        }
        if let Err(rejection) = quarantine::check(state, routed, history) {
            return fallback.ok_or(rejection);
        }
        let server = match placement::select_server(state, routed, history) {
            Ok(server) => server,
            Err(NoSelection::Paused { until_ms })
                if fallback.is_none()
                    && !state.is_stopping()
                    && can_wait(until_ms, routed.deadline_ms, routed.route.latency_target_ms) =>
            {
                let wait_ms = until_ms.saturating_sub(now_ms).min(PAUSE_POLL_MS);
                smol::Timer::after(Duration::from_millis(wait_ms)).await;
                continue;
            }
            Err(reason) => {
                return fallback.ok_or_else(|| no_selection(state, routed, history, reason));
            }
        };
        // An undelivered request costs the servers nothing, so it uses no retry of the budget.
        if history.delivered > 0 && !state.try_acquire_retry(&routed.service) {
            return fallback.ok_or_else(|| failure_rejection(history, last_failure.as_ref()));
        }
        state.reachability.take_limit(&server.id);
        history.servers.push(server.id.clone());
        history.last_sent_ms = now_ms;
        let limits = AttemptLimits {
            first_event_ms: first_event_timeout_ms(routed, history, remaining_ms),
            remaining_ms,
            last_event,
            fetch_source: placement::fetch_source(state, routed, &server),
        };
        history.in_progress += 1;
        let outcome = attempt::send(state, routed, &server, limits).await;
        history.in_progress -= 1;
        match outcome {
            Ok(response) => {
                record_response(state, routed, history, &server, &response);
                let is_fault = response.status.is_server_error();
                if !is_fault || !may_repeat(routed, history) {
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
                    let sent_ms = history.last_sent_ms;
                    crash::check(state, routed, &server, sent_ms, false).await;
                }
                if !may_retry(routed, history) {
                    return fallback.ok_or_else(|| failure_rejection(history, Some(&failure)));
                }
                last_failure = Some(failure);
            }
        }
    }
}

fn record_response(
    state: &State,
    routed: &RoutedRequest,
    history: &mut AttemptHistory,
    server: &Registration,
    response: &ServerResponse,
) {
    let now_ms = state.now_ms();
    if matches!(response.body, ResponseBody::Complete(_)) {
        state.record_completion(routed.fingerprint, &server.id);
        if response.status.is_success() {
            state.strikes.record_answer(&routed.prompt_parts, now_ms);
        }
    }
    if !routed.route.is_stream {
        let elapsed_ms = now_ms.saturating_sub(history.last_sent_ms);
        state.record_run(&routed.service, elapsed_ms);
    }
    state.metrics.count_attempt("answered");
    state.reachability.record_reached(&server.id);
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

/// While another server could still be tried, a server has the remaining time divided by this for
/// the start of its response.
const FIRST_EVENT_DIVISOR: u64 = 3;

fn first_event_timeout_ms(
    routed: &RoutedRequest,
    history: &AttemptHistory,
    remaining_ms: u64,
) -> u64 {
    let can_try_another =
        routed.is_repeatable() && history.possible_runs + 1 < routed.route.attempts_max;
    match can_try_another {
        true => (remaining_ms / FIRST_EVENT_DIVISOR)
            .max(routed.route.latency_target_ms)
            .min(remaining_ms),
        false => remaining_ms,
    }
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
    if is_not_run && state.reachability.pause_end_ms(server, now_ms).is_some() {
        history.paused.push(server.id.clone());
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
