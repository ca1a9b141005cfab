//! Estimate of one backend server's load between late reports.
//!
//! A report counts the requests of all routers as they were some time ago. A router adds
//! the starts and finishes since then that it knows of: its own, and those of other routers
//! that share their counts. The rest of the traffic is inferred from the known part.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::ids::Incarnation;

/// Age from which a report no longer describes the server: engines start about 4 requests
/// per second and hold some 30, so after 3 s two fifths of the load may have changed.
pub const STALE_MS: u64 = 3_000;
/// Known share of the requests from which the counts weigh in beside the reports. At half the
/// requests known, counts are as noisy as reports 1 s old.
const COUNTS_FROM: f64 = 0.5;
/// Resolution in which own starts and finishes are kept.
const BUCKET_MS: u64 = 50;

/// A server's count of its requests at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Life of the server that counted.
    pub incarnation: Incarnation,
    /// Requests that run or wait there.
    pub held: u32,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Moment of the count in ms on this router's monotonic clock.
    pub as_of_ms: u64,
}

/// What an estimate needs to know of the fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetEstimate {
    /// Known part of all requests in flight, over 0 and at most 1.
    pub known_share: f64,
    /// Mean load per slot of the servers with a fresh report.
    pub mean_per_slot: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    number: u64,
    net: i32,
}

/// One server's last report and the known requests on it.
#[derive(Debug, Clone, Default)]
pub struct ServerLoad {
    report: Option<Report>,
    own: u32,
    others: u32,
    buckets: VecDeque<Bucket>,
}

impl ServerLoad {
    /// Notes that this router started a request.
    pub fn start(&mut self, now_ms: u64) {
        self.own += 1;
        self.bucket(now_ms).net += 1;
    }

    /// Notes that a request of this router ended.
    pub fn finish(&mut self, now_ms: u64) {
        self.own = self.own.saturating_sub(1);
        self.bucket(now_ms).net -= 1;
    }

    /// Notes that another router's count of its requests there changed.
    pub fn record_peer_count(&mut self, at_ms: u64, before: u32, after: u32) {
        self.others = (self.others + after).saturating_sub(before);
        let net = i64::from(after) - i64::from(before);
        self.bucket(at_ms).net += net as i32;
    }

    fn bucket(&mut self, now_ms: u64) -> &mut Bucket {
        let number = now_ms / BUCKET_MS;
        // Older buckets are not read again: a report of that age is stale.
        let oldest = number.saturating_sub(STALE_MS / BUCKET_MS);
        while self.buckets.front().is_some_and(|b| b.number < oldest) {
            self.buckets.pop_front();
        }
        let index = self.buckets.partition_point(|b| b.number < number);
        if self.buckets.get(index).is_none_or(|b| b.number != number) {
            let bucket = Bucket {
                number,
                ..Bucket::default()
            };
            self.buckets.insert(index, bucket);
        }
        &mut self.buckets[index]
    }

    /// Takes up a report unless a newer one is known; says whether it did.
    ///
    /// ```
    /// use jujubeusher::decide::load::{Report, ServerLoad};
    /// use jujubeusher::ids::Incarnation;
    /// let report = |as_of_ms| Report { incarnation: Incarnation(1), held: 3, slots: 8, as_of_ms };
    /// let mut load = ServerLoad::default();
    /// assert!(load.apply_report(report(20)));
    /// assert!(!load.apply_report(report(10)));
    /// ```
    pub fn apply_report(&mut self, report: Report) -> bool {
        let is_newer = self.report.is_none_or(|known| {
            (report.incarnation, report.as_of_ms) > (known.incarnation, known.as_of_ms)
        });
        if is_newer {
            self.report = Some(report);
        }
        is_newer
    }

    /// The last report.
    pub fn last_report(&self) -> Option<Report> {
        self.report
    }

    /// Requests of this router in flight there.
    pub fn own_in_flight(&self) -> u32 {
        self.own
    }

    /// Requests of this router and of those that share their counts.
    pub fn known_in_flight(&self) -> u32 {
        self.own + self.others
    }

    /// Age of the last report.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.report.map(|r| now_ms.saturating_sub(r.as_of_ms))
    }

    /// The last report, while it is recent enough to count with.
    pub fn fresh_report(&self, now_ms: u64) -> Option<Report> {
        self.report
            .filter(|r| now_ms.saturating_sub(r.as_of_ms) < STALE_MS)
    }

    /// Known starts less known finishes since a moment.
    fn net_since(&self, as_of_ms: u64) -> i64 {
        let first = as_of_ms / BUCKET_MS;
        self.buckets
            .iter()
            .rev()
            .take_while(|b| b.number >= first)
            .map(|b| i64::from(b.net))
            .sum()
    }

    /// What is known of the server at a moment.
    pub fn view(&self, now_ms: u64) -> LoadView {
        let fresh = self.fresh_report(now_ms);
        LoadView {
            held: fresh.map(|r| r.held),
            net: fresh.map_or(0, |r| self.net_since(r.as_of_ms)),
            known: self.known_in_flight(),
        }
    }
}

/// What is known of one server at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadView {
    /// Count of the last report, while it is recent.
    pub held: Option<u32>,
    /// Known starts less known finishes since that report.
    pub net: i64,
    /// Known requests there now.
    pub known: u32,
}

impl LoadView {
    /// Requests that a server with `slots` slots probably runs or holds now.
    ///
    /// With no fresh report the fleet's mean stands in for it.
    ///
    /// ```
    /// use jujubeusher::decide::load::{FleetEstimate, LoadView};
    /// let fleet = FleetEstimate { known_share: 0.5, mean_per_slot: 0.5 };
    /// let view = LoadView { held: Some(10), net: 3, known: 4 };
    /// assert_eq!(view.estimate(32, &fleet), 14.0);
    /// ```
    pub fn estimate(&self, slots: u32, fleet: &FleetEstimate) -> f64 {
        let unknown = (1.0 - fleet.known_share) / (1.0 + fleet.known_share);
        let (base, change) = match self.held {
            Some(held) => (f64::from(held), self.net as f64),
            None => {
                let mean = fleet.mean_per_slot * f64::from(slots);
                (mean * unknown, f64::from(self.known))
            }
        };
        let reported = (base + change * extrapolation_factor(fleet.known_share)).max(0.0);
        // Counts told by all routers are newer than any report. A change around the moment of
        // the report may be counted twice or not at all; a known request is not.
        let weight = ((fleet.known_share - COUNTS_FROM) / (1.0 - COUNTS_FROM)).max(0.0);
        let counted = f64::from(self.known) / fleet.known_share;
        reported + (counted - reported) * weight
    }
}

/// Change of the whole load that is expected for each known change.
///
/// The unknown part of the traffic is estimated as in a Poisson process whose rate has a
/// Gamma prior. Dividing by the share instead multiplies the noise of a few own starts:
/// with 7 routers that estimate sent 9% of the returning chats away from their cache.
///
/// ```
/// use jujubeusher::decide::load::extrapolation_factor;
/// assert_eq!(extrapolation_factor(1.0), 1.0);
/// assert!(extrapolation_factor(0.1) < 2.0);
/// ```
pub fn extrapolation_factor(known_share: f64) -> f64 {
    2.0 / (1.0 + known_share)
}

/// Known share of the traffic and mean load as one router sees them.
pub fn estimate_fleet<I>(servers: I) -> FleetEstimate
where
    I: IntoIterator<Item = (LoadView, u32)>,
{
    let (mut total, mut slots, mut known) = (0.0, 0.0, 0.0);
    for (view, server_slots) in servers {
        if let Some(held) = view.held {
            total += f64::from(held) + view.net.max(0) as f64;
            slots += f64::from(server_slots);
            known += f64::from(view.known);
        }
    }
    // One request more on either side keeps the share over 0, and near 1 in an idle fleet.
    let known_share = ((known + 1.0) / (total + 1.0)).clamp(SHARE_MIN, 1.0);
    let mean_per_slot = match slots > 0.0 {
        true => total / slots,
        false => 0.0,
    };
    FleetEstimate {
        known_share,
        mean_per_slot,
    }
}

/// Least share assumed: far under one part in the thousands of routers of a large fleet.
const SHARE_MIN: f64 = 1e-4;

#[cfg(test)]
mod tests;
