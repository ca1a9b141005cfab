//! Ranks backend servers for a chat by cache affinity and load.

use serde::{Deserialize, Serialize};

use crate::decide::rendezvous::score;
use crate::ids::{ChatId, ServerId};

/// Policy by which a chat is placed on a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// The first server under the load bound in the chat's rendezvous order; if none is under it,
    /// the least loaded server.
    Rendezvous,
    /// Like [`Policy::Rendezvous`], but if no server is under the bound, the less loaded of two
    /// random servers: many routers with outdated counts would all send to the least loaded one.
    RendezvousSpread,
    /// The less loaded of two random servers; a chat returns to the same server only through its
    /// placement hint.
    TwoChoices,
}

/// A backend server with this router's current estimate of its load.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate<'a> {
    pub id: &'a ServerId,
    /// Requests that the server can run concurrently.
    pub slots: u32,
    /// Estimated number of requests that the server runs or queues.
    pub load: f64,
}

impl Candidate<'_> {
    fn load_per_slot(&self) -> f64 {
        self.load / f64::from(self.slots)
    }
}

/// A chat to place, with what is known about its cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementRequest<'a> {
    /// Determines the rendezvous order of the servers.
    pub chat: ChatId,
    /// The server that holds the chat's cache, if a valid hint names one.
    pub home: Option<&'a ServerId>,
    /// Whether this is the chat's first request, in which case no server holds its cache.
    pub is_new: bool,
}

/// Load bounds of a server, as multiples of the mean load per slot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Bound for a chat whose cache the server holds.
    pub returning: f64,
    /// Bound for a chat without a cache.
    pub new: f64,
}

impl Bounds {
    /// Bounds on the estimated load that keep the true load under `load_bound`.
    ///
    /// Reports are about 1 s old, so the true load varies around the estimate. Chats without a
    /// cache go to servers under the mean, which balances the load, so returning chats can stay
    /// on their server until the estimate reaches the bound.
    ///
    /// ```
    /// use jujubeusher::decide::choose::Bounds;
    /// let bounds = Bounds::from_load_bound(1.25);
    /// assert!(bounds.new < bounds.returning && bounds.returning < 1.3);
    /// ```
    pub fn from_load_bound(load_bound: f64) -> Self {
        Self {
            returning: 1.0 + (load_bound - 1.0) * RETURNING_MARGIN_FACTOR,
            new: 1.0,
        }
    }
}

/// Factor on the margin between the mean and the load bound, up to which returning chats stay on
/// their server by the estimate. With seven routers, 1.0 loses over 2% of the cache reuse on some
/// traces, and 1.1 brings the load averaged over 5 s within 0.01 of the bound.
const RETURNING_MARGIN_FACTOR: f64 = 1.05;

/// Fraction of its slots up to which a server accepts returning chats regardless of the mean: so
/// few requests do not slow each other down, and in a nearly idle fleet a single request is a
/// large part of the mean.
const LIGHT_LOAD_FRACTION: f64 = 0.125;

/// Mean load of the candidates, including the request to place.
struct FleetMean {
    mean_per_slot: f64,
}

impl FleetMean {
    fn of(candidates: &[Candidate<'_>]) -> Self {
        let load: f64 = candidates.iter().map(|c| c.load).sum();
        let slots: f64 = candidates.iter().map(|c| f64::from(c.slots)).sum();
        Self {
            mean_per_slot: (load + 1.0) / slots,
        }
    }

    fn is_within_bound(&self, candidate: &Candidate<'_>, bound: f64) -> bool {
        let max_load = bound * self.mean_per_slot * f64::from(candidate.slots);
        candidate.load + 1.0 <= max_load.max(1.0)
    }

    fn accepts_returning(&self, candidate: &Candidate<'_>, bound: f64) -> bool {
        let light_load = LIGHT_LOAD_FRACTION * f64::from(candidate.slots);
        candidate.load + 1.0 <= light_load || self.is_within_bound(candidate, bound)
    }
}

/// Ranks the candidates for a chat, the preferred one first.
///
/// The server that holds the chat's cache comes first while it is under the bound for returning
/// chats. The others follow in the order of the policy; `draw` is the random number that the
/// randomized policies use.
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
    let fleet = FleetMean::of(candidates);
    let is_home = |c: &Candidate<'_>| {
        Some(c.id) == request.home && fleet.accepts_returning(c, bounds.returning)
    };
    let (home, rest): (Vec<_>, Vec<_>) = candidates.iter().partition(|c| is_home(c));
    let rest = match policy {
        Policy::Rendezvous => {
            let (mut under, mut over) = rendezvous(request, rest, &fleet, bounds);
            over.sort_by(|a, b| a.load_per_slot().total_cmp(&b.load_per_slot()));
            under.append(&mut over);
            under
        }
        Policy::RendezvousSpread => {
            let (mut under, over) = rendezvous(request, rest, &fleet, bounds);
            under.append(&mut two_choices(over, draw));
            under
        }
        Policy::TwoChoices => two_choices(rest, draw),
    };
    home.into_iter().chain(rest).map(|c| c.id.clone()).collect()
}

type CandidateRefs<'c, 'a> = Vec<&'c Candidate<'a>>;

/// Splits the candidates into those under the bound, in the chat's rendezvous order, and the
/// others.
fn rendezvous<'c, 'a>(
    request: &PlacementRequest<'_>,
    candidates: CandidateRefs<'c, 'a>,
    fleet: &FleetMean,
    bounds: &Bounds,
) -> (CandidateRefs<'c, 'a>, CandidateRefs<'c, 'a>) {
    // A returning chat without a hint reaches its cache only through the rendezvous order, so
    // the wider bound applies to it as well.
    let is_returning_without_hint = !request.is_new && request.home.is_none();
    let is_allowed = |c: &&Candidate<'_>| match is_returning_without_hint {
        true => fleet.accepts_returning(c, bounds.returning),
        false => fleet.is_within_bound(c, bounds.new),
    };
    let (mut under, over): (Vec<_>, Vec<_>) = candidates.into_iter().partition(is_allowed);
    let rank = |c: &Candidate<'_>| score(request.chat.0, c.id.as_str(), f64::from(c.slots));
    under.sort_by(|a, b| rank(b).total_cmp(&rank(a)));
    (under, over)
}

/// Puts the candidates into a random order weighted by slots, then the less loaded of the first
/// two in front.
fn two_choices<'c, 'a>(mut candidates: CandidateRefs<'c, 'a>, draw: u64) -> CandidateRefs<'c, 'a> {
    let rank = |c: &Candidate<'_>| score(draw, c.id.as_str(), f64::from(c.slots));
    candidates.sort_by(|a, b| rank(b).total_cmp(&rank(a)));
    if candidates.len() > 1 && candidates[1].load_per_slot() < candidates[0].load_per_slot() {
        candidates.swap(0, 1);
    }
    candidates
}

#[cfg(test)]
mod tests;
