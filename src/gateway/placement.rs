//! Selects the server of an attempt.

use std::net::SocketAddr;

use rand::RngExt;

use crate::decide::placement::{
    AtCapacity, PromptDemand, Server, place, prefer_limited, smooth_counts,
};
use crate::decide::registry::Registration;
use crate::decide::rendezvous::score;
use crate::decide::server_limit::Room;
use crate::gateway::rejection::Rejection;
use crate::gateway::routed_request::{AttemptHistory, RoutedRequest};
use crate::gateway::state::State;
use crate::ids::ServerId;

/// Shortest retry pause for callers whose request no server can accept.
const RETRY_AFTER_MIN_MS: u64 = 250;
/// Longest retry pause for callers whose request no server can accept. Pauses are random, so that
/// callers do not retry at the same time.
const RETRY_AFTER_MAX_MS: u64 = 900;

/// Random retry pause for a rejected caller.
pub fn random_retry_after_ms() -> u64 {
    rand::rng().random_range(RETRY_AFTER_MIN_MS..=RETRY_AFTER_MAX_MS)
}

/// Why no server was selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoSelection {
    /// The request is to be rejected.
    Rejected(Rejection),
    /// All servers have asked for a pause; the first one ends at this monotonic time in ms.
    Paused { until_ms: u64 },
    /// All servers are at capacity.
    AtCapacity,
    /// This router's shares of the limits of all servers are used up, the first one until the given
    /// time; `None` if it has no share.
    AtLimit { until_ms: Option<u64> },
}

/// Selects the server of the next attempt, among those that were not tried before. Whether it is sent
/// there is for the caller to decide, who then takes it from the server's limit.
pub fn select_server(
    state: &State,
    routed: &RoutedRequest,
    history: &AttemptHistory,
) -> Result<Registration, NoSelection> {
    let now_ms = state.now_ms();
    let pause_end_ms = |server: &Registration| state.reachability.pause_end_ms(server, now_ms);
    let (mut servers, paused): (Vec<_>, Vec<_>) = state
        .available_servers(&routed.service)
        .into_iter()
        .partition(|server| pause_end_ms(server).is_none());
    servers.retain(|server| !history.excludes(&server.id));
    if servers.is_empty() {
        return Err(match paused.iter().filter_map(pause_end_ms).min() {
            Some(until_ms) => NoSelection::Paused { until_ms },
            None => NoSelection::Rejected(Rejection::NoServer {
                retry_after_ms: random_retry_after_ms(),
            }),
        });
    }
    let until_ms = retain_with_room(state, &mut servers, now_ms);
    if servers.is_empty() {
        return Err(NoSelection::AtLimit { until_ms });
    }
    let mut candidates: Vec<Server> = servers
        .iter()
        .map(|server| Server {
            id: server.id.clone(),
            slots: server.slots,
            view: state.load.view(&server.id),
        })
        .collect();
    if let Some(run_ms) = state.run_ms(&routed.service) {
        let own = servers.iter().map(|s| state.load.own_requests(&s.id));
        smooth_counts(&mut candidates, &own.collect::<Vec<_>>(), run_ms);
    }
    let offers = state.offers.record_offer(&routed.service, now_ms);
    let prompt = routed.prompt.map(|prompt| PromptDemand {
        shared_hash: prompt.shared_hash,
        own_in_flight: state.prompts_in_flight.count(prompt.shared_hash),
        routers: state.router_count(),
        offers,
    });
    let placed = place(&candidates, prompt, rand::rng().random());
    let mut ordered = placed.map_err(|AtCapacity| NoSelection::AtCapacity)?;
    state.offers.record_placed(&routed.service, now_ms);
    let shared_tokens = routed.prompt.map_or(0, |prompt| prompt.shared_tokens);
    let is_light = state.record_prompt_size(&routed.service, shared_tokens);
    if is_light {
        prefer_limited(&mut ordered, &state.reachability.limited(&servers, now_ms));
    }
    let ordered = state.reachability.order(ordered, now_ms);
    let first = ordered.into_iter().next();
    let selected = first.and_then(|id| servers.into_iter().find(|server| server.id == id));
    selected.ok_or_else(|| {
        NoSelection::Rejected(Rejection::NoServer {
            retry_after_ms: random_retry_after_ms(),
        })
    })
}

/// Removes the servers whose limits leave no room for a request of this router; returns when the
/// first of them has room again, if any has.
fn retain_with_room(state: &State, servers: &mut Vec<Registration>, now_ms: u64) -> Option<u64> {
    let fleet_place = state.fleet_place();
    let mut first_ms = None;
    servers.retain(|server| {
        let room = state.reachability.limit_room(server, fleet_place, now_ms);
        if let Room::UsedUp(until_ms) = room {
            first_ms = first_ms.into_iter().chain(until_ms).min();
        }
        room == Room::Free
    });
    first_ms
}

/// Minimum number of shared tokens for which fetching them from another server is faster than
/// processing them: a fetch takes about 5 ms to set up, in which a server processes about 250
/// tokens.
const FETCH_MIN_TOKENS: u64 = 256;

/// Address of the server from which `server` fetches the shared prompt parts; `None` if it should
/// process them itself.
pub fn fetch_source(
    state: &State,
    routed: &RoutedRequest,
    server: &Registration,
) -> Option<SocketAddr> {
    let prompt = routed
        .prompt
        .filter(|p| p.shared_tokens >= FETCH_MIN_TOKENS)?;
    let mut servers = state.available_servers(&routed.service);
    let rank = |s: &Registration| score(prompt.shared_hash, s.id.as_str(), f64::from(s.slots));
    servers.sort_by(|a, b| rank(b).total_cmp(&rank(a)));
    let order: Vec<ServerId> = servers.into_iter().map(|s| s.id).collect();
    state.fetch_source(prompt.shared_hash, &server.id, &order)
}
