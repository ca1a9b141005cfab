//! Limits that backend servers name on the requests of all routers together, and this router's share
//! of them.
//!
//! A few routers, as many as a limit feeds with whole requests, send to a limited server; the others
//! use other servers. All routers derive the same senders from their places in the fleet, so that
//! nothing is exchanged for a request. With a limit of `L` a second and a burst of one request at
//! each sender, a server gets at most `5 L + 3` requests in 4 s.

#[cfg(test)]
mod tests;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{Incarnation, ServerId};

/// Number of senders beyond the limit's whole requests a second. More senders use more of the limit
/// where the traffic is uneven, and exceed it further when places change.
const SENDERS_MIN: u32 = 3;
/// Share of the limit that routers without a known place have together.
const UNPLACED_SHARE: f64 = 0.5;
/// Limit that is assumed for a lower one, so that the end of a limit of 0 is noticed.
const LIMIT_MIN_PER_S: f64 = 0.1;
/// Time for which a sender may save its share up, beyond one request.
const BURST_MS: f64 = 250.0;
/// Time for which a limit holds that no response has named again.
const LIMIT_KEEP_MS: u64 = 20_000;
/// Age from which a limit that a response names again is passed on to the other routers.
const REFRESH_MS: u64 = 8_000;
/// Change of a limit, as a share of it, that is passed on at once.
const CHANGE_MIN: f64 = 0.1;
/// Time after the end of a limit in which other servers are preferred, so that the load returns
/// gradually.
const RAMP_MS: u64 = 1_000;
const MS_PER_S: f64 = 1_000.0;

/// This router's place among the routers that share the limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetPlace {
    /// Number of this router, from 0; `None` while it is not known.
    pub index: Option<u32>,
    /// Number of all routers.
    pub routers: u32,
}

/// What a response, here or at another router, said of a server's limit.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitUpdate {
    pub server: ServerId,
    /// Incarnation that the request was sent to.
    pub incarnation: Incarnation,
    /// Requests a second; `None` if the server names no limit any more.
    pub limit_per_s: Option<f64>,
    /// Time since it was said, in ms.
    pub age_ms: u64,
}

/// Whether a server may get a request of this router now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Room {
    /// It may get one.
    Free,
    /// This router's share is used up until the given monotonic time in ms; `None` if it has none.
    UsedUp(Option<u64>),
}

/// Effect of an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// It is older than what is known, or says the same.
    None,
    /// It says the same as what is known, which was about to expire.
    Refreshed,
    /// A limit was named, changed or lifted.
    Changed,
}

#[derive(Debug, Clone, Copy)]
struct Share {
    place: FleetPlace,
    rate_per_ms: f64,
    tokens: f64,
    refilled_ms: u64,
}

/// The limit of one server as far as known, and this router's share.
#[derive(Debug, Clone)]
pub struct ServerLimit {
    incarnation: Incarnation,
    limit_per_s: Option<f64>,
    /// Time of the last response that said so.
    as_of_ms: u64,
    /// Time up to which other routers know it.
    shared_ms: u64,
    /// Time of the last change.
    changed_ms: u64,
    share: Option<Share>,
}

impl ServerLimit {
    /// The limit that a response named first.
    pub fn new(incarnation: Incarnation, limit_per_s: f64, as_of_ms: u64) -> Self {
        Self {
            incarnation,
            limit_per_s: Some(limit_per_s.max(LIMIT_MIN_PER_S)),
            as_of_ms,
            shared_ms: as_of_ms,
            changed_ms: as_of_ms,
            share: None,
        }
    }

    /// Applies what a response said at `as_of_ms`: the time at which it was received if it names a
    /// limit, or at which its request was sent if it names none. Of two responses that overlap, the
    /// one with the limit thus holds.
    pub fn apply(
        &mut self,
        incarnation: Incarnation,
        limit_per_s: Option<f64>,
        as_of_ms: u64,
    ) -> Effect {
        if (incarnation, as_of_ms) <= (self.incarnation, self.as_of_ms) {
            return Effect::None;
        }
        let limit_per_s = limit_per_s.map(|limit| limit.max(LIMIT_MIN_PER_S));
        let is_same = match (self.limit_per_s, limit_per_s) {
            (Some(known), Some(new)) => (new - known).abs() <= CHANGE_MIN * known,
            (None, None) => true,
            _ => false,
        };
        let is_changed = incarnation != self.incarnation || !is_same;
        self.incarnation = incarnation;
        self.as_of_ms = as_of_ms;
        match is_changed {
            true => {
                self.limit_per_s = limit_per_s;
                self.share = None;
                self.shared_ms = as_of_ms;
                self.changed_ms = as_of_ms;
                Effect::Changed
            }
            false if self.limit_per_s.is_some() && as_of_ms >= self.shared_ms + REFRESH_MS => {
                self.shared_ms = as_of_ms;
                Effect::Refreshed
            }
            false => Effect::None,
        }
    }

    /// The limit in force, in requests a second.
    pub fn limit_per_s(&self, incarnation: Incarnation, now_ms: u64) -> Option<f64> {
        let is_in_force = self.incarnation == incarnation && now_ms < self.as_of_ms + LIMIT_KEEP_MS;
        self.limit_per_s.filter(|_| is_in_force)
    }

    /// Whether the limit was lifted a short while ago.
    pub fn was_just_lifted(&self, now_ms: u64) -> bool {
        self.limit_per_s.is_none() && now_ms < self.changed_ms + RAMP_MS
    }

    /// Update for other routers.
    pub fn to_update(&self, server: &ServerId, now_ms: u64) -> Option<LimitUpdate> {
        let age_ms = now_ms.saturating_sub(self.as_of_ms);
        let update = LimitUpdate {
            server: server.clone(),
            incarnation: self.incarnation,
            limit_per_s: self.limit_per_s,
            age_ms,
        };
        (age_ms < LIMIT_KEEP_MS).then_some(update)
    }

    /// Whether the server may get a request of this router.
    ///
    /// ```
    /// use jujubeusher::decide::server_limit::{FleetPlace, Room, ServerLimit};
    /// use jujubeusher::ids::{Incarnation, ServerId};
    /// let (server, incarnation) = (ServerId::from("a"), Incarnation(1));
    /// let place = FleetPlace { index: Some(0), routers: 1 };
    /// let mut limit = ServerLimit::new(incarnation, 2.0, 0);
    /// assert_eq!(limit.room(&server, incarnation, place, 0), Room::UsedUp(Some(500)));
    /// assert_eq!(limit.room(&server, incarnation, place, 500), Room::Free);
    /// limit.take();
    /// assert_eq!(limit.room(&server, incarnation, place, 600), Room::UsedUp(Some(1_000)));
    /// ```
    pub fn room(
        &mut self,
        server: &ServerId,
        incarnation: Incarnation,
        place: FleetPlace,
        now_ms: u64,
    ) -> Room {
        let Some(limit_per_s) = self.limit_per_s(incarnation, now_ms) else {
            return Room::Free;
        };
        let known = self.share.filter(|share| share.place == place);
        // A share starts empty: the router that had the place before may just have sent a request.
        let mut share = known.unwrap_or_else(|| Share {
            place,
            rate_per_ms: rate_per_ms(server, limit_per_s, place),
            tokens: 0.0,
            refilled_ms: now_ms,
        });
        let elapsed_ms = now_ms.saturating_sub(share.refilled_ms) as f64;
        let tokens_max = (share.rate_per_ms * BURST_MS).max(1.0);
        share.tokens = (share.tokens + elapsed_ms * share.rate_per_ms).min(tokens_max);
        share.refilled_ms = now_ms;
        self.share = Some(share);
        if share.tokens >= 1.0 - f64::EPSILON {
            return Room::Free;
        }
        if share.rate_per_ms <= 0.0 {
            return Room::UsedUp(None);
        }
        let wait_ms = ((1.0 - share.tokens) / share.rate_per_ms).ceil();
        Room::UsedUp(Some(now_ms.saturating_add(wait_ms as u64)))
    }

    /// Records that a request is sent to the server.
    pub fn take(&mut self) {
        if let Some(share) = &mut self.share {
            share.tokens -= 1.0;
        }
    }
}

/// Requests per ms that a router may send to a server with this limit.
fn rate_per_ms(server: &ServerId, limit_per_s: f64, place: FleetPlace) -> f64 {
    let routers = place.routers.max(1);
    let limit_per_ms = limit_per_s / MS_PER_S;
    let Some(index) = place.index else {
        return UNPLACED_SHARE * limit_per_ms / f64::from(routers);
    };
    let senders = SENDERS_MIN.saturating_add(limit_per_s as u32).min(routers);
    let score = |index: u32| xxh3_64_with_seed(server.as_str().as_bytes(), u64::from(index));
    let own = score(index);
    let ahead = (0..routers).filter(|other| score(*other) > own).count();
    match ahead < senders as usize {
        true => limit_per_ms / f64::from(senders),
        false => 0.0,
    }
}
