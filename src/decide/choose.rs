//! Choosing a backend server for a chat.

use serde::{Deserialize, Serialize};

use crate::decide::rendezvous::score;
use crate::ids::{ChatId, ServerId};

/// How a server is chosen for a chat that has to be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// The first in the chat's rendezvous order that is under the load bound.
    Rendezvous,
    /// Like [`Policy::Rendezvous`], but beyond the bound the less loaded of two random servers and
    /// not the least loaded of all: that one many routers with late counts would crowd.
    RendezvousSpread,
    /// The less loaded of two random servers; the chat returns to it by its hint only.
    TwoChoices,
}

/// A backend server as this router sees it now.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate<'a> {
    /// Its id.
    pub id: &'a ServerId,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Estimated requests that it runs or holds in its queue.
    pub load: f64,
}

impl Candidate<'_> {
    fn per_slot(&self) -> f64 {
        self.load / f64::from(self.slots)
    }
}

/// What is known of the chat to place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementRequest<'a> {
    /// The chat.
    pub chat: ChatId,
    /// The server that holds its cache, where a valid hint names one.
    pub home: Option<&'a ServerId>,
    /// Whether this is the chat's first request, so that no server holds its cache.
    pub is_new: bool,
}

/// Highest loads, as multiples of the mean, up to which a server is chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// For a chat that finds its cache there.
    pub returning: f64,
    /// For a chat without a cache.
    pub new: f64,
}

impl Bounds {
    /// Bounds of estimates that keep the true load under `load_bound`.
    ///
    /// A report is about 1 s old, so the true load is spread around the estimate. Chats
    /// without a cache fill up the servers under the mean: they are what evens out the load,
    /// and returning chats can then stay until the estimate reaches the bound.
    ///
    /// ```
    /// use jujubeusher::decide::choose::Bounds;
    /// let bounds = Bounds::from_load_bound(1.25);
    /// assert!(bounds.new < bounds.returning && bounds.returning < 1.3);
    /// ```
    pub fn from_load_bound(load_bound: f64) -> Self {
        Self {
            returning: 1.0 + (load_bound - 1.0) * RETURNING_ROOM,
            new: 1.0,
        }
    }
}

/// Part of the room over the mean that returning chats may use, by their estimate. Measured
/// with seven routers: at 1.0 some traces lose over 2% of the reuse, at 1.1 the load averaged
/// over 5 s comes within 0.01 of the bound.
const RETURNING_ROOM: f64 = 1.05;

/// Part of its slots up to which a server takes returning chats whatever the mean: so few
/// requests do not slow each other, and in a quiet fleet one request is a large part of the
/// mean.
const QUIET_PART: f64 = 0.125;

/// What the fleet's load allows a single server.
struct Room {
    mean_per_slot: f64,
}

impl Room {
    fn of(candidates: &[Candidate<'_>]) -> Self {
        let load: f64 = candidates.iter().map(|c| c.load).sum();
        let slots: f64 = candidates.iter().map(|c| f64::from(c.slots)).sum();
        Self {
            mean_per_slot: (load + 1.0) / slots,
        }
    }

    fn is_under(&self, candidate: &Candidate<'_>, bound: f64) -> bool {
        let most = bound * self.mean_per_slot * f64::from(candidate.slots);
        candidate.load + 1.0 <= most.max(1.0)
    }

    fn keeps(&self, candidate: &Candidate<'_>, bound: f64) -> bool {
        let quiet = QUIET_PART * f64::from(candidate.slots);
        candidate.load + 1.0 <= quiet || self.is_under(candidate, bound)
    }
}

/// Orders the candidates for a chat; the first is the one to use.
///
/// The chat's home comes first while it is under the bound. The others follow by the policy;
/// `draw` is a random number for the policies that need one.
///
/// ```
/// use jujubeusher::decide::choose::{PlacementRequest, Bounds, Candidate, Policy, rank_candidates};
/// use jujubeusher::ids::{ChatId, ServerId};
/// let (a, b) = (ServerId::from("a"), ServerId::from("b"));
/// let busy = Candidate { id: &a, slots: 4, load: 4.0 };
/// let idle = Candidate { id: &b, slots: 4, load: 0.0 };
/// let request = PlacementRequest { chat: ChatId(7), home: Some(&a), is_new: false };
/// let bounds = Bounds::from_load_bound(1.25);
/// let chosen = rank_candidates(Policy::Rendezvous, &request, &[busy, idle], &bounds, 0);
/// assert_eq!(chosen[0], b);
/// ```
pub fn rank_candidates(
    policy: Policy,
    request: &PlacementRequest<'_>,
    candidates: &[Candidate<'_>],
    bounds: &Bounds,
    draw: u64,
) -> Vec<ServerId> {
    let room = Room::of(candidates);
    let is_home = |c: &Candidate<'_>| Some(c.id) == request.home && room.keeps(c, bounds.returning);
    let (home, rest): (Vec<_>, Vec<_>) = candidates.iter().partition(|c| is_home(c));
    let rest = match policy {
        Policy::Rendezvous => {
            let (mut under, mut over) = rendezvous(request, rest, &room, bounds);
            over.sort_by(|a, b| a.per_slot().total_cmp(&b.per_slot()));
            under.append(&mut over);
            under
        }
        Policy::RendezvousSpread => {
            let (mut under, over) = rendezvous(request, rest, &room, bounds);
            under.append(&mut two_choices(over, draw));
            under
        }
        Policy::TwoChoices => two_choices(rest, draw),
    };
    home.into_iter().chain(rest).map(|c| c.id.clone()).collect()
}

type Picked<'c, 'a> = Vec<&'c Candidate<'a>>;

/// Those under the bound in the chat's order, and the others.
fn rendezvous<'c, 'a>(
    request: &PlacementRequest<'_>,
    candidates: Picked<'c, 'a>,
    room: &Room,
    bounds: &Bounds,
) -> (Picked<'c, 'a>, Picked<'c, 'a>) {
    // A returning chat without a hint finds its cache only by the order, so it gets the
    // wider bound too.
    let is_loose = !request.is_new && request.home.is_none();
    let fits = |c: &&Candidate<'_>| match is_loose {
        true => room.keeps(c, bounds.returning),
        false => room.is_under(c, bounds.new),
    };
    let (mut under, over): (Vec<_>, Vec<_>) = candidates.into_iter().partition(fits);
    let rank = |c: &Candidate<'_>| score(request.chat.0, c.id.as_str(), f64::from(c.slots));
    under.sort_by(|a, b| rank(b).total_cmp(&rank(a)));
    (under, over)
}

/// A random order, weighted by slots, with the less loaded of the first two in front.
fn two_choices<'c, 'a>(mut candidates: Picked<'c, 'a>, draw: u64) -> Picked<'c, 'a> {
    let rank = |c: &Candidate<'_>| score(draw, c.id.as_str(), f64::from(c.slots));
    candidates.sort_by(|a, b| rank(b).total_cmp(&rank(a)));
    if candidates.len() > 1 && candidates[1].per_slot() < candidates[0].per_slot() {
        candidates.swap(0, 1);
    }
    candidates
}

#[cfg(test)]
mod tests;
