//! Estimates the load of a backend server between its reports.
//!
//! A report counts the requests of all routers, but it is outdated when it arrives. A router adds
//! the starts and finishes since then that it knows of: its own, and those of the routers that
//! publish their counts. The rest of the traffic is extrapolated from the known part.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::ids::Incarnation;

/// Age in ms from which a report is ignored. Engines start about 4 requests per second and have
/// about 30 in progress, so after 3 s two fifths of the load may have changed.
pub const STALE_MS: u64 = 3_000;
/// Known share of the requests above which the routers' counts are weighted in beside the reports.
/// With half the requests known, counts are as noisy as reports that are 1 s old.
const COUNTS_MIN_SHARE: f64 = 0.5;
/// Time resolution in ms at which starts and finishes are recorded.
const BUCKET_MS: u64 = 50;
/// Speed of a host that no other work slows down, in percent of the usual time.
const SPEED_USUAL_PERCENT: f64 = 100.0;
/// Highest speed that is used. A server that reports more still gets a tenth of its requests, from
/// whose responses its speed is learned.
const SPEED_MAX_PERCENT: f64 = 1_000.0;
/// Time constant in ms with which reported speeds are averaged: they change many times a second, and
/// requests run for a second or two.
const SPEED_AVERAGING_MS: f64 = 1_000.0;
/// Highest weight of one reported speed in the average. A single value shows a short moment only,
/// however long ago the one before it was.
const SPEED_WEIGHT_MAX: f64 = 0.5;
/// Time constant in ms with which the average approaches the usual speed without reports. A router
/// of a large fleet gets a response of each server every 3 to 20 s.
const SPEED_KEEP_MS: f64 = 10_000.0;

/// A server's own count of its requests at one point in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Incarnation of the server when it counted.
    pub incarnation: Incarnation,
    /// Requests that run or are queued on the server.
    pub held: u32,
    /// Requests that the server can run concurrently.
    pub slots: u32,
    /// Time of the count in ms on this router's monotonic clock.
    pub as_of_ms: u64,
}

/// Fleet-wide values that the estimate for a single server uses.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetEstimate {
    /// Fraction of all requests in flight that this router knows of, above 0 and at most 1.
    pub known_share: f64,
    /// Mean load per slot of the servers with a recent report.
    pub mean_per_slot: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    number: u64,
    net: i32,
}

/// Average of the speeds that a server reported.
#[derive(Debug, Clone, Copy)]
struct Speed {
    percent: f64,
    as_of_ms: u64,
}

impl Speed {
    fn percent(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.as_of_ms) as f64;
        let kept = (-age_ms / SPEED_KEEP_MS).exp();
        SPEED_USUAL_PERCENT + (self.percent - SPEED_USUAL_PERCENT) * kept
    }
}

/// The last report of one server, and the requests on it that this router knows of.
#[derive(Debug, Clone, Default)]
pub struct ServerLoad {
    report: Option<Report>,
    own: u32,
    others: u32,
    buckets: VecDeque<Bucket>,
    speed: Option<Speed>,
}

impl ServerLoad {
    /// Records that this router started a request.
    pub fn start(&mut self, now_ms: u64) {
        self.own += 1;
        self.bucket(now_ms).net += 1;
    }

    /// Records that a request of this router ended.
    pub fn finish(&mut self, now_ms: u64) {
        self.own = self.own.saturating_sub(1);
        self.bucket(now_ms).net -= 1;
    }

    /// Records that another router's count of its requests on the server changed.
    pub fn record_peer_count(&mut self, at_ms: u64, before: u32, after: u32) {
        self.others = (self.others + after).saturating_sub(before);
        let net = i64::from(after) - i64::from(before);
        self.bucket(at_ms).net += net as i32;
    }

    fn bucket(&mut self, now_ms: u64) -> &mut Bucket {
        let number = now_ms / BUCKET_MS;
        // Older buckets are never read, since a report of that age is ignored.
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

    /// Stores a report unless a newer one is known; returns whether it was stored.
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

    /// Records how long work takes on the server's host, in percent of the usual time.
    ///
    /// ```
    /// use jujubeusher::decide::load::ServerLoad;
    /// let mut load = ServerLoad::default();
    /// assert_eq!(load.view(0).slowdown(), 1.0);
    /// for at_ms in (0..5_000).step_by(100) {
    ///     load.record_speed(200, at_ms);
    /// }
    /// assert!((1.9..=2.0).contains(&load.view(5_000).slowdown()));
    /// ```
    pub fn record_speed(&mut self, percent: u32, now_ms: u64) {
        let reported = f64::from(percent).min(SPEED_MAX_PERCENT);
        let (known, elapsed_ms) = match &self.speed {
            Some(speed) => (speed.percent(now_ms), now_ms.saturating_sub(speed.as_of_ms)),
            None => (SPEED_USUAL_PERCENT, u64::MAX),
        };
        let weight = 1.0 - (-(elapsed_ms as f64) / SPEED_AVERAGING_MS).exp();
        self.speed = Some(Speed {
            percent: known + (reported - known) * weight.min(SPEED_WEIGHT_MAX),
            as_of_ms: now_ms,
        });
    }

    /// The last report, however old.
    pub fn last_report(&self) -> Option<Report> {
        self.report
    }

    /// Requests of this router in flight on the server.
    pub fn own_in_flight(&self) -> u32 {
        self.own
    }

    /// Requests in flight on the server of this router and of those that publish their counts.
    pub fn known_in_flight(&self) -> u32 {
        self.own + self.others
    }

    /// Age of the last report in ms.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.report.map(|r| now_ms.saturating_sub(r.as_of_ms))
    }

    /// The last report, unless it is too old to be used.
    pub fn fresh_report(&self, now_ms: u64) -> Option<Report> {
        self.report
            .filter(|r| now_ms.saturating_sub(r.as_of_ms) < STALE_MS)
    }

    /// Known starts minus known finishes since `as_of_ms`.
    fn net_since(&self, as_of_ms: u64) -> i64 {
        let first = as_of_ms / BUCKET_MS;
        self.buckets
            .iter()
            .rev()
            .take_while(|b| b.number >= first)
            .map(|b| i64::from(b.net))
            .sum()
    }

    /// Snapshot of what is known of the server's load.
    pub fn view(&self, now_ms: u64) -> LoadView {
        let fresh = self.fresh_report(now_ms);
        LoadView {
            held: fresh.map(|r| r.held),
            net: fresh.map_or(0, |r| self.net_since(r.as_of_ms)),
            known: self.known_in_flight(),
            own: self.own,
            speed_percent: self.speed.map(|s| s.percent(now_ms).round() as u32),
        }
    }
}

/// What a router knows of one server's load at one point in time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadView {
    /// Count in the last report, if the report is recent.
    pub held: Option<u32>,
    /// Known starts minus known finishes since that report; 0 without a recent one.
    pub net: i64,
    /// Known requests in flight on the server.
    pub known: u32,
    /// Requests of this router among them.
    #[serde(default)]
    pub own: u32,
    /// How long work takes on the server's host, averaged, in percent of the usual time; `None` if
    /// the server does not report it.
    #[serde(default)]
    pub speed_percent: Option<u32>,
}

impl LoadView {
    /// Factor by which work on the server's host takes longer than usual, at least 1: a faster host
    /// has no more slots.
    pub fn slowdown(&self) -> f64 {
        let percent = self.speed_percent.map_or(SPEED_USUAL_PERCENT, f64::from);
        percent.max(SPEED_USUAL_PERCENT) / SPEED_USUAL_PERCENT
    }

    /// Estimated number of requests that a server with `slots` slots now runs or queues.
    ///
    /// Without a recent report the estimate is based on the fleet's mean.
    ///
    /// ```
    /// use jujubeusher::decide::load::{FleetEstimate, LoadView};
    /// let fleet = FleetEstimate { known_share: 0.5, mean_per_slot: 0.5 };
    /// let view = LoadView { held: Some(10), net: 3, known: 4, ..LoadView::default() };
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
        // The counts that the routers publish are newer than any report. A start or finish close
        // to the time of the report may be counted twice or not at all; the counts have no such
        // error.
        let weight = ((fleet.known_share - COUNTS_MIN_SHARE) / (1.0 - COUNTS_MIN_SHARE)).max(0.0);
        let counted = f64::from(self.known) / fleet.known_share;
        reported + (counted - reported) * weight
    }
}

/// Expected change of the total load per known change.
///
/// The unknown part of the traffic is estimated as a Poisson process whose rate has a Gamma
/// prior. Dividing by the known share instead would amplify the noise of a few own starts: with 7
/// routers that estimate moved 9% of the returning chats away from their cache.
///
/// ```
/// use jujubeusher::decide::load::extrapolation_factor;
/// assert_eq!(extrapolation_factor(1.0), 1.0);
/// assert!(extrapolation_factor(0.1) < 2.0);
/// ```
pub fn extrapolation_factor(known_share: f64) -> f64 {
    2.0 / (1.0 + known_share)
}

/// Computes the known share of the traffic and the mean load, from the servers' views and slots.
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
    // One request is added to both counts, which keeps the share above 0, and close to 1 in an idle
    // fleet.
    let known_share = ((known + 1.0) / (total + 1.0)).clamp(KNOWN_SHARE_MIN, 1.0);
    let mean_per_slot = match slots > 0.0 {
        true => total / slots,
        false => 0.0,
    };
    FleetEstimate {
        known_share,
        mean_per_slot,
    }
}

/// Lower bound of the known share, far below that of one router among the thousands of a large
/// fleet.
const KNOWN_SHARE_MIN: f64 = 1e-4;

#[cfg(test)]
mod tests;
