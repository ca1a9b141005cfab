//! Orders the servers of a service for one request, or finds that none has room.

#[cfg(test)]
mod tests;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::decide::choose::{Bounds, Candidate, PlacementRequest, Policy, rank_candidates};
use crate::decide::load::{LoadView, estimate_fleet};
use crate::ids::{ChatId, ServerId};

/// Highest loads over the mean, as this router estimates them, up to which prompts go to a
/// server. A prompt that leaves the server which holds its shared parts has them read again
/// elsewhere, which costs more than a batch that is somewhat larger; the platform's bound on
/// the true load is twice the mean.
const BOUNDS: Bounds = Bounds {
    returning: 1.7,
    new: 1.0,
};
/// Requests for one prompt, in multiples of the mean load, from which on a further server takes a
/// part of them: the load up to which a server keeps its prompts. The counts of the other routers
/// are half a second late, within which a prompt that turns hot would fill the first one's queue.
const PROMPT_LOAD: f64 = 1.7;
/// Requests that a server holds, as a multiple of those it runs at once, from which on it gets
/// no more: what waits behind a full batch tends to be late. At five times the usual traffic two
/// sites served 0.86 and 0.85 with 2.0, 0.90 and 0.95 with 1.0, and 0.87 and 0.91 with 0.75.
const FULL_PER_SLOT: f64 = 1.0;

/// A server as this router sees it now.
#[derive(Debug, Clone, PartialEq)]
pub struct Server {
    /// Its id.
    pub id: ServerId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// What is known of its load.
    pub view: LoadView,
}

/// The shared parts of a request's prompt, and how much they are asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptDemand {
    /// Identifies them.
    pub shared_hash: u64,
    /// Requests of this router with the same parts that are in flight.
    pub own_in_flight: u32,
    /// Routers that share the traffic.
    pub routers: usize,
}

impl PromptDemand {
    /// Key of the order in which servers are tried. A prompt with more requests in flight than a
    /// server should hold has several, of which the draw takes one.
    fn key(&self, mean_load: f64, servers: usize, draw: u64) -> u64 {
        // One request at this router says little of the others: most prompts have one.
        let in_flight = f64::from(self.own_in_flight.saturating_sub(1)) * self.routers as f64;
        let orders = 1 + (in_flight / (PROMPT_LOAD * mean_load).max(1.0)) as u64;
        match draw % orders.min(servers as u64).max(1) {
            0 => self.shared_hash,
            other => xxh3_64_with_seed(&other.to_le_bytes(), self.shared_hash),
        }
    }
}

/// All servers hold as many requests as they should.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AtCapacity;

/// The servers with room in the order of preference. Requests with the same shared prompt
/// parts have the same order at all routers; the others go to the less loaded of two. `draw` is
/// a random number.
///
/// ```
/// use jujubeusher::decide::load::LoadView;
/// use jujubeusher::decide::placement::{AtCapacity, Server, place};
/// use jujubeusher::ids::ServerId;
/// let view = LoadView { held: Some(4), net: 0, known: 4 };
/// let server = Server { id: ServerId::from("a"), slots: 4, view };
/// assert_eq!(place(&[server.clone()], None, 0), Err(AtCapacity));
/// let roomy = Server { slots: 8, ..server };
/// assert_eq!(place(&[roomy.clone()], None, 0), Ok(vec![roomy.id]));
/// ```
pub fn place(
    servers: &[Server],
    prompt: Option<PromptDemand>,
    draw: u64,
) -> Result<Vec<ServerId>, AtCapacity> {
    let candidates = candidates(servers);
    let total: f64 = candidates.iter().map(|c| c.load).sum();
    let mean_load = total / candidates.len().max(1) as f64;
    let has_room = |(candidate, server): &(Candidate<'_>, &Server)| {
        // The load of those that told theirs says nothing of a server that told none.
        let load = match server.view.held {
            Some(_) => candidate.load,
            None => f64::from(server.view.known),
        };
        load < FULL_PER_SLOT * f64::from(candidate.slots)
    };
    let open = candidates.into_iter().zip(servers).filter(has_room);
    let open: Vec<Candidate<'_>> = open.map(|(candidate, _)| candidate).collect();
    if open.is_empty() && !servers.is_empty() {
        return Err(AtCapacity);
    }
    let (policy, key) = match prompt {
        Some(prompt) => {
            let key = prompt.key(mean_load, servers.len(), draw);
            (Policy::RendezvousSpread, key)
        }
        None => (Policy::TwoChoices, 0),
    };
    let request = PlacementRequest {
        chat: ChatId(key),
        home: None,
        is_new: false,
    };
    Ok(rank_candidates(policy, &request, &open, &BOUNDS, draw))
}

/// The servers with their estimated loads.
fn candidates(servers: &[Server]) -> Vec<Candidate<'_>> {
    let fleet = estimate_fleet(servers.iter().map(|server| (server.view, server.slots)));
    let is_told = servers.iter().any(|server| server.view.held.is_some());
    let load = |server: &Server| match is_told {
        true => server.view.estimate(server.slots, &fleet),
        // Nothing is told of the other routers' requests, so own ones decide.
        false => f64::from(server.view.known),
    };
    let candidates = servers.iter().map(|server| Candidate {
        id: &server.id,
        slots: server.slots.max(1),
        load: load(server),
    });
    candidates.collect()
}
