//! Selects the server of an attempt.

use std::net::SocketAddr;

use rand::RngExt;

use crate::decide::capacity::{Availability, Hold, HoldReason};
use crate::decide::offers::RecentOffers;
use crate::decide::placement::{
    AtCapacity, FULL_PER_SLOT, PromptDemand, Server, place_below, prefer_limited, smooth_counts,
};
use crate::decide::registry::Registration;
use crate::decide::rendezvous::score;
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

/// Shortest retry pause for callers whose request no server can accept because all zones are
/// evacuated: longer than the one above, as operators end evacuations after minutes.
const EVACUATED_RETRY_MIN_MS: u64 = 1_000;
/// Longest such pause.
const EVACUATED_RETRY_MAX_MS: u64 = 3_000;

/// Random retry pause for a caller that is rejected because all zones are evacuated.
pub fn random_evacuated_retry_after_ms() -> u64 {
    rand::rng().random_range(EVACUATED_RETRY_MIN_MS..=EVACUATED_RETRY_MAX_MS)
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
    /// This router has no unit of the limits of any server, announced or for its cold time; one is
    /// expected at the given time, `None` if that is not known.
    AtLimit { until_ms: Option<u64> },
    /// All servers are in availability zones that the operator has evacuated.
    Evacuated,
}

/// Selects the server of the next attempt, among those that were not tried before. Whether it is sent
/// there is for the caller to decide, who then takes it from the server's limit.
pub fn select_server(
    state: &State,
    routed: &RoutedRequest,
    history: &AttemptHistory,
) -> Result<Registration, NoSelection> {
    let available = state.available_servers(&routed.service);
    let (open, held) = split_available(state, routed, history, available);
    if open.is_empty() {
        return Err(no_open_server(&held, history));
    }
    let (cold, warm): (Vec<_>, Vec<_>) = open.into_iter().partition(|(_, is_cold)| *is_cold);
    let shared_tokens = routed.prompt.map_or(0, |prompt| prompt.shared_tokens);
    let is_light = state.record_prompt_size(&routed.service, shared_tokens);
    // The few requests that cold servers take are left to light prompts while there are warm servers.
    let may_use_cold = is_light || warm.is_empty();
    let mut selected = Err(NoSelection::AtCapacity);
    for (servers, may_use) in [(warm, true), (cold, may_use_cold)] {
        if selected.is_err() && may_use && !servers.is_empty() {
            let servers = servers.into_iter().map(|(server, _)| server).collect();
            selected = select_among(state, routed, history, servers, is_light);
        }
    }
    selected
}

/// A server, and why it is held back.
type HeldServer = (Registration, Hold);

/// Splits servers into those that may get this request, with whether each is cold, and those that are
/// held back. Servers that were tried before are left out of the former.
fn split_available(
    state: &State,
    routed: &RoutedRequest,
    history: &AttemptHistory,
    available: Vec<Registration>,
) -> (Vec<(Registration, bool)>, Vec<HeldServer>) {
    let (mut open, mut held) = (Vec::new(), Vec::new());
    for (server, availability) in state.availabilities(&routed.service, available) {
        match availability {
            Availability::Open { is_cold } if !history.excludes(&server.id) => {
                open.push((server, is_cold));
            }
            Availability::Open { .. } => {}
            Availability::Held(hold) => held.push((server, hold)),
        }
    }
    (open, held)
}

/// Why no server may get a request, from what holds them back.
fn no_open_server(held: &[HeldServer], history: &AttemptHistory) -> NoSelection {
    let is_limit = |reason| matches!(reason, HoldReason::Cold | HoldReason::AtLimit);
    let is_tried = |server: &Registration| history.excludes(&server.id);
    let mut limited = held
        .iter()
        .filter(|(server, hold)| is_limit(hold.reason) && !is_tried(server))
        .map(|(_, hold)| hold.until_ms)
        .peekable();
    if limited.peek().is_some() {
        let until_ms = limited.flatten().min();
        return NoSelection::AtLimit { until_ms };
    }
    let has = |reason| held.iter().filter(move |(_, hold)| hold.reason == reason);
    if let Some(until_ms) = has(HoldReason::Paused)
        .filter_map(|(_, hold)| hold.until_ms)
        .min()
    {
        return NoSelection::Paused { until_ms };
    }
    let evacuated = has(HoldReason::Evacuated).count();
    if evacuated > 0 && evacuated == held.len() && history.servers.is_empty() {
        return NoSelection::Evacuated;
    }
    no_server()
}

fn no_server() -> NoSelection {
    NoSelection::Rejected(Rejection::NoServer {
        retry_after_ms: random_retry_after_ms(),
    })
}

/// Selects one of these servers.
fn select_among(
    state: &State,
    routed: &RoutedRequest,
    history: &AttemptHistory,
    servers: Vec<Registration>,
    is_light: bool,
) -> Result<Registration, NoSelection> {
    let now_ms = state.now_ms();
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
    let offers = match history.has_own_place {
        true => RecentOffers::default(),
        false => state.offers.recent(&routed.service, now_ms),
    };
    let prompt = routed.prompt.map(|prompt| PromptDemand {
        shared_hash: prompt.shared_hash,
        own_in_flight: state.prompts_in_flight.count(prompt.shared_hash),
        routers: state.router_count(),
        offers,
    });
    let full_per_slot = match routed.prompt {
        Some(_) => state.queues.full_per_slot(&routed.service, routed.priority),
        None => FULL_PER_SLOT,
    };
    let draw = rand::rng().random();
    let placed = place_below(full_per_slot, &candidates, prompt, draw);
    let mut ordered = placed.map_err(|AtCapacity| NoSelection::AtCapacity)?;
    if is_light {
        prefer_limited(&mut ordered, &state.reachability.limited(&servers, now_ms));
    }
    let ordered = state.reachability.order(ordered, now_ms);
    let first = ordered.into_iter().next();
    let selected = first.and_then(|id| servers.into_iter().find(|server| server.id == id));
    selected.ok_or_else(no_server)
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
