//! Picks the server of an attempt.

use std::net::SocketAddr;

use hyper::header::HeaderMap;
use rand::RngExt;

use crate::decide::choose::{Ask as Place, Bounds, Candidate, Policy, order};
use crate::decide::load::fleet;
use crate::decide::registry::Registration;
use crate::decide::rendezvous::score;
use crate::gateway::ask::{Ask, Sends};
use crate::gateway::rejection::Rejection;
use crate::gateway::state::State;
use crate::ids::{ChatId, ServerId};

/// Requests that a server holds, as a multiple of those it runs at once, from which on it
/// gets no more: what waits behind a whole further batch is late in any case.
const FULL_PER_SLOT: f64 = 2.0;
/// Highest loads over the mean, as this router estimates them, up to which prompts go to a
/// server. A prompt that leaves the server which holds its shared parts has them read again
/// elsewhere, which costs more than a batch that is somewhat larger; the platform's bound on
/// the true load is twice the mean.
const BOUNDS: Bounds = Bounds {
    returning: 1.7,
    new: 1.0,
};
/// Shortest pause asked of callers when there is no room.
const RETRY_AFTER_MIN_MS: u64 = 250;
/// Longest pause asked of callers when there is no room; the pauses are spread, so that
/// callers do not return together.
const RETRY_AFTER_MAX_MS: u64 = 900;

/// A pause for a caller that is turned away.
pub fn retry_after_ms() -> u64 {
    rand::rng().random_range(RETRY_AFTER_MIN_MS..=RETRY_AFTER_MAX_MS)
}

/// The server of the next attempt.
pub fn pick(state: &State, ask: &Ask, sends: &Sends) -> Result<Registration, Rejection> {
    let mut servers = state.usable(&ask.service);
    servers.retain(|server| !sends.servers.contains(&server.id));
    if servers.is_empty() {
        return Err(Rejection::NoServer {
            retry_after_ms: retry_after_ms(),
        });
    }
    let views: Vec<_> = servers.iter().map(|s| state.load.view(&s.id)).collect();
    let slots = || servers.iter().map(|server| server.slots);
    let fleet = fleet(views.iter().copied().zip(slots()));
    let is_told = views.iter().any(|view| view.held.is_some());
    let load = |index: usize| match is_told {
        true => views[index].estimate(servers[index].slots, &fleet),
        // Nothing is told of the other routers' requests, so own ones decide.
        false => f64::from(views[index].known),
    };
    let candidates: Vec<Candidate<'_>> = servers
        .iter()
        .enumerate()
        .map(|(index, server)| Candidate {
            id: &server.id,
            slots: server.slots.max(1),
            load: load(index),
        })
        .collect();
    let has_room = |c: &Candidate<'_>| c.load < FULL_PER_SLOT * f64::from(c.slots);
    let open: Vec<Candidate<'_>> = candidates.into_iter().filter(has_room).collect();
    if open.is_empty() {
        return Err(Rejection::Overloaded {
            retry_after_ms: retry_after_ms(),
        });
    }
    let ordered = ordered(ask, &open);
    let ordered = state.reach.order(ordered, state.now_ms());
    let first = ordered.into_iter().next();
    first
        .and_then(|id| servers.iter().find(|server| server.id == id).cloned())
        .ok_or(Rejection::NoServer {
            retry_after_ms: retry_after_ms(),
        })
}

fn ordered(ask: &Ask, open: &[Candidate<'_>]) -> Vec<ServerId> {
    let draw = rand::rng().random();
    let place = |key| Place {
        chat: ChatId(key),
        home: None,
        is_new: false,
    };
    match ask.prompt {
        Some(prompt) => order(
            Policy::Rendezvous,
            &place(prompt.shared_hash),
            open,
            &BOUNDS,
            draw,
        ),
        None => order(Policy::TwoChoices, &place(0), open, &BOUNDS, draw),
    }
}

/// Shared tokens from which on a fetch from another server is quicker than reading them: a
/// fetch takes some 5 ms to set up, in which a server reads about 250 tokens.
const FETCH_MIN_TOKENS: u64 = 256;

/// Address of the server from which the shared prompt parts are fetched.
pub fn fetch_from(state: &State, ask: &Ask, server: &Registration) -> Option<SocketAddr> {
    let prompt = ask.prompt.filter(|p| p.shared_tokens >= FETCH_MIN_TOKENS)?;
    let mut servers = state.usable(&ask.service);
    let rank = |s: &Registration| score(prompt.shared_hash, s.id.as_str(), f64::from(s.slots));
    servers.sort_by(|a, b| rank(b).total_cmp(&rank(a)));
    let order: Vec<ServerId> = servers.into_iter().map(|s| s.id).collect();
    state.fetch_from(prompt.shared_hash, &server.id, &order)
}

/// The text of a header, empty where it is missing or no text.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default()
}
