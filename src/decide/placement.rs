//! Orders the servers of a service for one request, or finds that none has room.

#[cfg(test)]
mod tests;

use crate::decide::choose::{Ask, Bounds, Candidate, Policy, order};
use crate::decide::load::{LoadView, fleet};
use crate::ids::{ChatId, ServerId};

/// Highest loads over the mean, as this router estimates them, up to which prompts go to a
/// server. A prompt that leaves the server which holds its shared parts has them read again
/// elsewhere, which costs more than a batch that is somewhat larger; the platform's bound on
/// the true load is twice the mean.
const BOUNDS: Bounds = Bounds {
    returning: 1.7,
    new: 1.0,
};
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

/// All servers hold as many requests as they should.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Full;

/// The servers with room in the order of preference. Requests with the same shared prompt
/// parts have the same order at all routers; the others go to the less loaded of two.
///
/// ```
/// use jujubeusher::decide::load::LoadView;
/// use jujubeusher::decide::placement::{Full, Server, place};
/// use jujubeusher::ids::ServerId;
/// let view = LoadView { held: Some(4), net: 0, known: 4 };
/// let server = Server { id: ServerId::from("a"), slots: 4, view };
/// assert_eq!(place(&[server.clone()], None, 0), Err(Full));
/// let roomy = Server { slots: 8, ..server };
/// assert_eq!(place(&[roomy.clone()], None, 0), Ok(vec![roomy.id]));
/// ```
pub fn place(
    servers: &[Server],
    shared_hash: Option<u64>,
    draw: u64,
) -> Result<Vec<ServerId>, Full> {
    let fleet = fleet(servers.iter().map(|server| (server.view, server.slots)));
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
    let has_room = |(candidate, server): &(Candidate<'_>, &Server)| {
        // The load of those that told theirs says nothing of a server that told none.
        let load = match server.view.held {
            Some(_) => candidate.load,
            None => f64::from(server.view.known),
        };
        load < FULL_PER_SLOT * f64::from(candidate.slots)
    };
    let open = candidates.zip(servers).filter(has_room);
    let open: Vec<Candidate<'_>> = open.map(|(candidate, _)| candidate).collect();
    if open.is_empty() && !servers.is_empty() {
        return Err(Full);
    }
    let policy = match shared_hash {
        Some(_) => Policy::Rendezvous,
        None => Policy::TwoChoices,
    };
    let ask = Ask {
        chat: ChatId(shared_hash.unwrap_or(0)),
        home: None,
        is_new: false,
    };
    Ok(order(policy, &ask, &open, &BOUNDS, draw))
}
