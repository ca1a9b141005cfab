//! Limits that backend servers name on the requests of all routers together.
//!
//! The limit is divided among the routers by [`allowance`](crate::decide::allowance).

#[cfg(test)]
mod tests;

use crate::decide::allowance::Bound;
use crate::ids::{Incarnation, ServerId};

/// Limit that is assumed for a lower one, so that the end of a limit of 0 is noticed.
const LIMIT_MIN_PER_S: f64 = 0.1;
/// Window in which a server counts the requests of all routers.
const WINDOW_MS: u64 = 4_000;
/// Most requests in a window, as a factor of the limit and a number beyond it.
const OVER_FACTOR: f64 = 1.5;
const OVER_SLACK: f64 = 5.0;
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

/// Whether a limit leaves room for a request of this router now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Room {
    /// A request may be sent.
    Free,
    /// This router's units are used up until the given time in ms; `None` if it has been granted none
    /// for some seconds.
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

/// The limit of one server as far as known.
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
}

/// Bound on the requests of all routers to a server with this limit.
///
/// ```
/// use jujubeusher::decide::server_limit::bound;
/// assert_eq!((bound(2.0).window_ms, bound(2.0).most), (4_000, 17.0));
/// ```
pub fn bound(limit_per_s: f64) -> Bound {
    let window_s = WINDOW_MS as f64 / MS_PER_S;
    Bound {
        rate_per_s: limit_per_s,
        window_ms: WINDOW_MS,
        most: OVER_FACTOR * window_s * limit_per_s + OVER_SLACK,
    }
}
