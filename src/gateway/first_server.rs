//! Selects the server of a request's first attempt. A request for which there is no capacity waits in
//! the queue of its service.

use std::sync::Arc;

use crate::decide::wait_queue::Waiting;
use crate::gateway::next_server::{NoServer, Selected, next_server};
use crate::gateway::placement::NoSelection;
use crate::gateway::quarantine;
use crate::gateway::queue::{Outcome, Place, Woken};
use crate::gateway::routed_request::{AttemptHistory, RoutedRequest};
use crate::gateway::state::State;

/// Prompt tokens that cost a server as much as a request does without them: those of a usual prompt.
const WORK_TOKENS: f64 = 2_400.0;

/// Selects the server of an attempt, and waits for capacity if it is the first one.
pub(super) async fn wait_for_server(
    state: &Arc<State>,
    routed: &RoutedRequest,
    history: &mut AttemptHistory,
) -> Result<Selected, NoServer> {
    if !history.servers.is_empty() {
        return next_server(state, routed, history);
    }
    // A request that waits for the end of a pause comes here again.
    let is_new = !std::mem::replace(&mut history.is_offered, true);
    if is_new {
        state.offers.record_offer(&routed.service, state.now_ms());
    }
    let is_behind = state.queues.has_as_urgent(&routed.service, routed.priority);
    let selected = match is_behind {
        // A request that is in quarantine would wait for a place only to be refused.
        true => quarantine::check(state, routed, history)
            .map_err(NoServer::Quarantined)
            .and(Err(NoServer::NotSelected(NoSelection::AtCapacity))),
        false => next_server(state, routed, history),
    };
    if is_new && routed.prompt.is_some() {
        let is_placed = selected.is_ok();
        state
            .queues
            .record_first_offer(&routed.service, routed.priority, is_placed);
    }
    match selected {
        Ok(server) => {
            let team = routed.caller_hash();
            state
                .queues
                .record_placed(&routed.service, team, work(routed));
            Ok(server)
        }
        Err(reason) if !may_wait(&reason) || state.is_stopping() => Err(reason),
        Err(reason) => wait_in_queue(state, routed, history, reason).await,
    }
}

async fn wait_in_queue(
    state: &Arc<State>,
    routed: &RoutedRequest,
    history: &mut AttemptHistory,
    mut reason: NoServer,
) -> Result<Selected, NoServer> {
    let waiting = waiting(state, routed);
    let place = match Place::enter(state, &routed.id, &routed.service, waiting) {
        Ok(place) => place,
        Err(refused) => {
            state.metrics.count_queue_refused();
            log::info!(
                "event=queue_refused id={} service={} priority={} retry_after_ms={}",
                routed.id,
                routed.service,
                routed.priority,
                refused.retry_after_ms,
            );
            return Err(not_queued(&reason, refused.retry_after_ms));
        }
    };
    loop {
        let outcome = match place.wait(retry_ms(&reason)).await {
            Woken::Stopping => Some(Outcome::Stopping),
            Woken::TimedOut => Some(Outcome::TimedOut),
            Woken::Offered { .. } if routed.has_caller_gone() => Some(Outcome::CallerGone),
            Woken::Offered { is_own_place } => {
                history.has_own_place = is_own_place;
                None
            }
        };
        if let Some(outcome) = outcome {
            history.queue_ms += place.leave(outcome);
            let refused = state.queues.refusal(&routed.service, &waiting);
            return Err(not_queued(&reason, refused.retry_after_ms));
        }
        match next_server(state, routed, history) {
            Ok(server) => {
                history.queue_ms += place.leave(Outcome::Placed);
                return Ok(server);
            }
            Err(next) if may_wait(&next) => {
                reason = next;
                place.decline_offer();
            }
            Err(next) => {
                history.queue_ms += place.leave(Outcome::Unservable);
                return Err(next);
            }
        }
    }
}

/// Whether capacity may come while a request waits.
fn may_wait(reason: &NoServer) -> bool {
    matches!(
        reason,
        NoServer::NotSelected(NoSelection::AtCapacity | NoSelection::AtLimit { .. })
            | NoServer::RateUsedUp { .. }
    )
}

/// When a place can be had without an event.
fn retry_ms(reason: &NoServer) -> Option<u64> {
    match reason {
        NoServer::RateUsedUp { until_ms } => Some(*until_ms),
        NoServer::NotSelected(NoSelection::AtLimit { until_ms }) => *until_ms,
        _ => None,
    }
}

fn not_queued(reason: &NoServer, retry_after_ms: u64) -> NoServer {
    let is_at_limit = matches!(reason, NoServer::NotSelected(NoSelection::AtLimit { .. }));
    NoServer::NotQueued {
        is_at_limit,
        retry_after_ms,
    }
}

fn waiting(state: &State, routed: &RoutedRequest) -> Waiting {
    let run_ms = state.run_ms(&routed.service).unwrap_or(0.0) as u64;
    Waiting {
        priority: routed.priority,
        team: routed.caller_hash(),
        work: work(routed),
        bytes: routed.body.len(),
        arrived_ms: routed.arrived_ms,
        latency_target_ms: routed.route.latency_target_ms,
        deadline_ms: routed.deadline_ms.saturating_sub(run_ms),
    }
}

/// Work of a request, in which its prompt counts by its tokens.
fn work(routed: &RoutedRequest) -> f64 {
    let tokens = routed.prompt.map_or(0, |prompt| prompt.tokens);
    1.0 + tokens as f64 / WORK_TOKENS
}
