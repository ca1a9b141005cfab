//! Ranks the servers of a service for one request, or finds that all are at capacity.

#[cfg(test)]
mod tests;

use indexmap::IndexSet;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::decide::choose::{Bounds, Candidate, PlacementRequest, Policy, rank_candidates};
use crate::decide::load::{LoadView, estimate_fleet};
use crate::decide::offers::RecentOffers;
use crate::ids::{ChatId, ServerId};

/// Estimated loads, as multiples of the mean, up to which a server gets prompts. If a prompt goes
/// to a server that does not hold its shared parts, that server has to prefill them again, which
/// costs more than a somewhat larger batch. The platform's bound on the true load is twice the
/// mean.
const BOUNDS: Bounds = Bounds {
    returning: 1.7,
    new: 1.0,
};
/// Requests in flight for one prompt, as a multiple of the mean load, per server that they are
/// spread over. It equals the load up to which a server keeps its prompts. Without the spread, a
/// prompt that becomes hot would fill the queue of its first server within the half second by
/// which the counts of the other routers are delayed.
const PROMPT_LOAD: f64 = 1.7;
/// Requests per slot from which a server gets no more requests, since those queued behind a full
/// batch tend to be late. At five times the usual traffic, 2.0 and 0.75 both serve fewer requests.
pub const FULL_PER_SLOT: f64 = 1.0;

/// A server with what this router knows of its load.
#[derive(Debug, Clone, PartialEq)]
pub struct Server {
    pub id: ServerId,
    /// Requests that the server can run concurrently.
    pub slots: u32,
    pub view: LoadView,
}

/// Identity of the shared parts of a request's prompt, and the current demand for them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PromptDemand {
    /// Hash that identifies the shared parts.
    pub shared_hash: u64,
    /// Requests of this router in flight with the same shared parts.
    pub own_in_flight: u32,
    /// Number of routers that share the traffic.
    pub routers: usize,
    /// Requests that this router offered to the servers of the service within [`COUNTS_AGE_MS`].
    pub offers: RecentOffers,
}

impl PromptDemand {
    /// Key of the rendezvous order in which servers are tried. A prompt with more requests in
    /// flight than a single server should run has several keys, of which `draw` selects one.
    fn rendezvous_key(&self, mean_load: f64, servers: usize, draw: u64) -> u64 {
        // One request is subtracted: most prompts have a single one at this router, from which
        // their number at the other routers cannot be inferred.
        let in_flight = f64::from(self.own_in_flight.saturating_sub(1)) * self.routers as f64;
        let key_count = 1 + (in_flight / (PROMPT_LOAD * mean_load).max(1.0)) as u64;
        match draw % key_count.min(servers as u64).max(1) {
            0 => self.shared_hash,
            other => xxh3_64_with_seed(&other.to_le_bytes(), self.shared_hash),
        }
    }
}

/// Weight of a new prompt in the mean size of a service's prompts.
const SIZE_WEIGHT: f64 = 0.1;

/// Mean number of shared tokens of the prompts of one service.
#[derive(Debug, Clone, Copy, Default)]
pub struct PromptSizes {
    mean_tokens: Option<f64>,
}

impl PromptSizes {
    /// Records a prompt; returns whether it is light: at most as large as the mean of those before
    /// it. It costs little to process a light prompt on a server that does not hold its shared
    /// parts.
    ///
    /// ```
    /// use jujubeusher::decide::placement::PromptSizes;
    /// let mut sizes = PromptSizes::default();
    /// assert!(sizes.record(700));
    /// assert!(!sizes.record(10_000));
    /// assert!(sizes.record(1_500));
    /// ```
    pub fn record(&mut self, shared_tokens: u64) -> bool {
        let tokens = shared_tokens as f64;
        let mean_tokens = self.mean_tokens.get_or_insert(tokens);
        let is_light = tokens <= *mean_tokens;
        *mean_tokens += (tokens - *mean_tokens) * SIZE_WEIGHT;
        is_light
    }
}

/// Moves the servers to the front that limit their requests and have room for one. A share of a limit
/// that is not used is lost, and overloads the servers without a limit. Light prompts use it up at
/// the least cost.
pub fn prefer_limited(ordered: &mut [ServerId], limited: &IndexSet<ServerId>) {
    if !limited.is_empty() {
        ordered.sort_by_cached_key(|server| !limited.contains(server));
    }
}

/// Error: all servers are at capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AtCapacity;

/// Returns the servers below their capacity, the preferred one first. Requests with the same
/// shared prompt parts get the same rendezvous order at all routers; requests without shared parts
/// go to the less loaded of two random servers. `draw` is a random number.
///
/// ```
/// use jujubeusher::decide::load::LoadView;
/// use jujubeusher::decide::placement::{AtCapacity, Server, place};
/// use jujubeusher::ids::ServerId;
/// let view = LoadView { held: Some(4), net: 0, known: 4, ..LoadView::default() };
/// let server = Server { id: ServerId::from("a"), slots: 4, view };
/// assert_eq!(place(&[server.clone()], None, 0), Err(AtCapacity));
/// let free = Server { slots: 8, ..server };
/// assert_eq!(place(&[free.clone()], None, 0), Ok(vec![free.id]));
/// ```
pub fn place(
    servers: &[Server],
    prompt: Option<PromptDemand>,
    draw: u64,
) -> Result<Vec<ServerId>, AtCapacity> {
    place_below(FULL_PER_SLOT, servers, prompt, draw)
}

/// Like [`place`], with a bound of its own on the requests per slot of a server, for requests that
/// are less urgent than others.
pub fn place_below(
    full_per_slot: f64,
    servers: &[Server],
    prompt: Option<PromptDemand>,
    draw: u64,
) -> Result<Vec<ServerId>, AtCapacity> {
    let candidates = candidates(servers);
    let total: f64 = candidates.iter().map(|c| c.load).sum();
    let mean_load = total / candidates.len().max(1) as f64;
    let has_capacity = |(candidate, server): &(Candidate<'_>, &Server)| {
        // The reports of other servers must not make a server without a report look full.
        let load = match server.view.held {
            Some(_) => candidate.load,
            None => f64::from(server.view.known) * server.view.slowdown(),
        };
        load < full_per_slot * f64::from(candidate.slots)
    };
    let open = candidates.into_iter().zip(servers).filter(has_capacity);
    let open: Vec<Candidate<'_>> = open.map(|(candidate, _)| candidate).collect();
    if open.is_empty() && !servers.is_empty() {
        return Err(AtCapacity);
    }
    let rank = |policy, key, open: &[Candidate<'_>]| {
        let request = PlacementRequest {
            chat: ChatId(key),
            home: None,
            is_new: false,
        };
        rank_candidates(policy, &request, open, &BOUNDS, draw)
    };
    let Some(prompt) = prompt else {
        return Ok(rank(Policy::TwoChoices, 0, &open));
    };
    let unseen = UnseenStarts::estimate(servers, &prompt.offers);
    let open = unseen.retain_with_room(full_per_slot, open, draw)?;
    let key = prompt.rendezvous_key(mean_load, servers.len(), draw);
    Ok(rank(Policy::RendezvousSpread, key, &open))
}

/// Private draw of this router for this request, from 0 to 1.
fn unit_draw(draw: u64, name: &str) -> f64 {
    (xxh3_64_with_seed(name.as_bytes(), draw) >> 11) as f64 / (1u64 << 53) as f64
}

/// Requests of other routers that the counts do not show yet, since they are [`COUNTS_AGE_MS`] old.
struct UnseenStarts {
    /// Expected number on all servers together.
    total: f64,
    /// Share of the requests in flight that are expected to have ended within that time.
    ended_share: f64,
}

impl UnseenStarts {
    /// The other routers are expected to offer as many requests as this one for each request that
    /// they have in flight.
    fn estimate(servers: &[Server], offers: &RecentOffers) -> Self {
        let own: f64 = servers.iter().map(|s| f64::from(s.view.own)).sum();
        let known: f64 = servers.iter().map(|s| f64::from(s.view.known)).sum();
        // One request is added, so that a router that has none yet expects no infinite traffic.
        Self {
            total: offers.offered * (known - own).max(0.0) / (own + 1.0),
            ended_share: (offers.placed / (own + 1.0)).min(1.0),
        }
    }

    /// Leaves out servers that the other routers have probably filled since they were counted. If
    /// more requests are expected than all servers have room for, this one is placed with the
    /// probability at which the requests of all routers just fill them.
    fn retain_with_room<'a>(
        &self,
        full_per_slot: f64,
        open: Vec<Candidate<'a>>,
        draw: u64,
    ) -> Result<Vec<Candidate<'a>>, AtCapacity> {
        let room = |c: &Candidate<'_>| {
            full_per_slot * f64::from(c.slots) - c.load * (1.0 - self.ended_share)
        };
        // Negative where the servers hold more than their slots, so that a full service takes nothing.
        // Counted without it, a waiting request that takes the place of an ended one overfills the
        // servers.
        let total_room: f64 = open.iter().map(room).sum();
        if unit_draw(draw, "admission") * self.total > total_room {
            return Err(AtCapacity);
        }
        let per_server = self.total.min(total_room) / open.len().max(1) as f64;
        let has_room = |c: &Candidate<'_>| {
            room(c) >= per_server || unit_draw(draw, c.id.as_str()) * per_server <= room(c)
        };
        let (retained, others): (Vec<_>, Vec<_>) = open.into_iter().partition(has_room);
        Ok(match retained.is_empty() {
            true => others,
            false => retained,
        })
    }
}

/// Mean age in ms of the counts of other routers when a request is placed: half a period each until
/// they are sent, reach the other seeds and come back.
pub const COUNTS_AGE_MS: f64 = 400.0;

/// Share of the counted requests that must still run for their number to show whether a server is full.
const STILL_RUNNING_MIN: f64 = 0.5;

/// Replaces the other routers' requests on servers without a report by their mean, as far as they
/// have ended since they were counted. `own` holds this router's requests on each server, and
/// `run_ms` the mean duration of a run.
///
/// Answers the load of short calls at many routers: all send to the servers that were idle 400 ms
/// ago, although the calls that made the others busy ended long before. Old counts do not make a
/// server of short calls full either: all routers would refuse until they see the load fall, and
/// then send again, all at once. Such a server declines what it cannot queue.
pub fn smooth_counts(servers: &mut [Server], own: &[u32], run_ms: f64) {
    let without_report = |server: &Server| server.view.held.is_none();
    let others = |(server, own): (&Server, &u32)| server.view.known.saturating_sub(*own);
    let pairs = servers.iter().zip(own).filter(|(s, _)| without_report(s));
    let (count, sum) = pairs.fold((0, 0), |(count, sum), pair| (count + 1, sum + others(pair)));
    if count == 0 {
        return;
    }
    let mean = f64::from(sum) / f64::from(count);
    let still_running = (-COUNTS_AGE_MS / run_ms.max(1.0)).exp();
    let is_outdated = still_running < STILL_RUNNING_MIN;
    for (server, own) in servers.iter_mut().zip(own) {
        if without_report(server) {
            let counted = f64::from(others((&*server, own)));
            let expected = (mean + (counted - mean) * still_running).round() as u32;
            let expected = match is_outdated {
                true => expected.min(server.slots.saturating_sub(own + 1)),
                false => expected,
            };
            server.view.known = own + expected;
        }
    }
}

/// Candidates with their estimated loads, in the order of `servers`.
fn candidates(servers: &[Server]) -> Vec<Candidate<'_>> {
    let fleet = estimate_fleet(servers.iter().map(|server| (server.view, server.slots)));
    let has_reports = servers.iter().any(|server| server.view.held.is_some());
    let load = |server: &Server| match has_reports {
        true => server.view.estimate(server.slots, &fleet) * server.view.slowdown(),
        // Without any report the requests of other routers cannot be estimated, so only the known
        // requests count.
        false => f64::from(server.view.known) * server.view.slowdown(),
    };
    let candidates = servers.iter().map(|server| Candidate {
        id: &server.id,
        slots: server.slots.max(1),
        load: load(server),
    });
    candidates.collect()
}
