//! Selects the server of the next attempt of a request, and takes what its limits allow.

use std::sync::Arc;

use crate::decide::learned_capacity::Permit;
use crate::decide::registry::Registration;
use crate::gateway::placement::{self, NoSelection};
use crate::gateway::quarantine;
use crate::gateway::rejection::Rejection;
use crate::gateway::routed_request::{AttemptHistory, RoutedRequest};
use crate::gateway::state::State;

/// A server that was selected for an attempt, with a unit of each of its limits.
pub(super) struct Selected {
    pub(super) server: Registration,
    /// Time, including suspended time, at which the units were valid.
    pub(super) taken_ms: u64,
}

/// Why there is no server for an attempt.
pub(super) enum NoServer {
    /// The deadline has passed.
    TimedOut,
    Quarantined(Rejection),
    NotSelected(NoSelection),
    /// The learned rate of the service is used up until this monotonic time in ms.
    RateUsedUp {
        until_ms: u64,
    },
    /// The request cannot wait for capacity, or has waited in vain.
    NotQueued {
        is_at_limit: bool,
        retry_after_ms: u64,
    },
    /// The retry budget is used up.
    NoRetry,
}

/// Selects the server of the next attempt. A request that was sent before uses up a retry of the
/// service's budget; one that was not delivered costs the servers nothing.
pub(super) fn next_server(
    state: &Arc<State>,
    routed: &RoutedRequest,
    history: &AttemptHistory,
) -> Result<Selected, NoServer> {
    if routed.remaining_ms(state.now_ms()) == 0 {
        return Err(NoServer::TimedOut);
    }
    let trial = quarantine::check(state, routed, history).map_err(NoServer::Quarantined)?;
    let select = || placement::select_server(state, routed, history).map_err(NoServer::NotSelected);
    let mut server = select()?;
    if history.runs() == 0
        && !reports_load(state, &server)
        && let Permit::Wait { until_ms } = permit(state, routed)
    {
        return Err(NoServer::RateUsedUp { until_ms });
    }
    let is_retry = history.delivered + history.in_progress > 0;
    if is_retry && !state.try_acquire_retry(&routed.service) {
        return Err(NoServer::NoRetry);
    }
    // Another request may have taken the last unit of the server's limit since it was selected.
    loop {
        // Read before the units are taken, so that a pause of the process in between counts.
        let taken_ms = state.clock.boot_ms();
        if state.take_limit(&server) {
            if let Some(trial) = trial {
                trial.begin(&server.id);
            }
            return Ok(Selected { server, taken_ms });
        }
        server = select()?;
    }
}

/// Whether the learned rate of a service without load reports allows a request now.
fn permit(state: &State, routed: &RoutedRequest) -> Permit {
    let servers = state.available_servers(&routed.service);
    let slots: u32 = servers.iter().map(|server| server.slots).sum();
    let slots_share = f64::from(slots) / state.router_count() as f64;
    state.queues.permit(&routed.service, slots_share)
}

/// Whether a server has reported its load; the rates of the others are learned.
pub(super) fn reports_load(state: &State, server: &Registration) -> bool {
    state.load.last_report(&server.id).is_some()
}
