//! The rate at which this router may send to a service whose servers report no load, learned from
//! declined and completed requests.
//!
//! Answers the load of five times the usual traffic at 86 routers: each sends about 10 requests a
//! second to servers that together run 600, sees a small part of the declines, and has less than one
//! request in flight, so that a limit on concurrent requests has no value between 0 and 1. The run
//! times rise before the servers decline anything, so the rate follows them.

#[cfg(test)]
mod tests;

/// Time over which the rates of sent and of completed requests are measured.
const RATE_WINDOW_MS: f64 = 1_000.0;
/// Weight of a new run time in the mean. Single runs vary by more than a short queue adds.
const RUN_WEIGHT: f64 = 0.25;
/// Completions before the mean run time is used.
const RUNS_MIN: u32 = 4;
/// Time for which the lowest mean is remembered; it outlasts a burst of traffic.
const LOWEST_KEEP_MS: u64 = 30_000;
/// A run is long if it exceeds this share of the latency target, which leaves the rest for the wait in
/// the router.
const TARGET_SHARE: f64 = 0.5;
/// No run is long below this multiple of the lowest mean run time, whatever the target.
const LOWEST_FACTOR: f64 = 2.0;
/// A single run this many times above the bound shows that the servers are full; a shorter one may be
/// a run that takes longer by itself, unless another one follows.
const VERY_LONG_FACTOR: f64 = 1.3;
/// Lowest factor of the rate for a long run.
const LONG_FACTOR: f64 = 0.92;
/// Factor of the rate for a declined request.
const DECLINED_FACTOR: f64 = 0.75;
/// Part of the rate of completions below which declines do not reduce the rate.
const COMPLETED_FACTOR: f64 = 0.9;
/// Time between two reductions for declines: those of requests in flight have the same cause.
const DECLINE_PAUSE_MS: u64 = 100;
/// Declines in turn, within `DECLINES_WINDOW_MS`, that show that the servers are full. A request that
/// one server declines and another one runs shows that there is room.
const DECLINES_MIN: u32 = 2;
const DECLINES_WINDOW_MS: u64 = 1_000;
/// Growth of the rate in a second: a constant part, by which the rates of all routers become equal,
/// and a part of the rate itself.
const GROWTH_PER_S: f64 = 1.0;
const GROWTH_SHARE: f64 = 0.4;
/// Growth near the rate at which a request was declined last, as a part of the usual one: servers that
/// decline before their run times rise are then full seldom. Well above that rate it is forgotten.
const NEAR_GROWTH: f64 = 0.25;
const NEAR_DECLINED: f64 = 0.9;
const FORGET_DECLINED: f64 = 1.2;
/// Lowest rate. With it, 86 routers use less than a third of the smallest known service.
const RATE_MIN_PER_S: f64 = 2.0;
/// Part of this router's equal share of the servers' slots below which the rate is not reduced: a burst
/// begins while the measured rate is still that of the time before.
const SLOTS_SHARE_USED: f64 = 0.7;
/// A rate this far above what is sent holds nothing back and is given up.
const UNUSED_FACTOR: f64 = 1.5;
const UNUSED_PER_S: f64 = 2.0;
/// Requests that may be sent at once after a pause.
const BURST_MIN: f64 = 3.0;
const BURST_S: f64 = 0.05;
const MS_PER_S: f64 = 1_000.0;

/// Whether a request may be sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permit {
    Granted,
    /// The rate allows the next request at this monotonic time in ms.
    Wait {
        until_ms: u64,
    },
}

/// What one router has learned of the capacity of one service.
#[derive(Debug, Clone, Default)]
pub struct LearnedCapacity {
    /// Rate in force; `None` while nothing shows that the servers are full.
    rate_per_s: Option<f64>,
    tokens: f64,
    refilled_ms: u64,
    sent: Recent,
    completed: Recent,
    run_ms: f64,
    runs: u32,
    /// Whether the last run took longer than the bound.
    was_long: bool,
    lowest: Lowest,
    declines: u32,
    first_decline_ms: u64,
    reduced_ms: u64,
    /// Rate at which a request was declined last.
    declined_per_s: Option<f64>,
    /// Slots of all servers, divided by the number of routers.
    slots_share: f64,
}

/// Number of recent events, in which earlier ones count less.
#[derive(Debug, Clone, Copy, Default)]
struct Recent {
    count: f64,
    as_of_ms: u64,
}

impl Recent {
    fn at(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.as_of_ms) as f64;
        self.count * (-elapsed_ms / RATE_WINDOW_MS).exp()
    }

    fn add(&mut self, now_ms: u64) {
        self.count = self.at(now_ms) + 1.0;
        self.as_of_ms = now_ms;
    }
}

/// Lowest mean run time of the current period and of the one before it.
#[derive(Debug, Clone, Copy, Default)]
struct Lowest {
    since_ms: u64,
    current_ms: Option<f64>,
    previous_ms: Option<f64>,
}

impl Lowest {
    fn record(&mut self, run_ms: f64, now_ms: u64) {
        if now_ms >= self.since_ms + LOWEST_KEEP_MS {
            self.previous_ms = self.current_ms.take();
            self.since_ms = now_ms;
        }
        self.current_ms = Some(self.current_ms.map_or(run_ms, |lowest| lowest.min(run_ms)));
    }

    fn value_ms(&self) -> Option<f64> {
        let known = self.current_ms.into_iter().chain(self.previous_ms);
        known.reduce(f64::min)
    }
}

impl LearnedCapacity {
    /// Whether the rate allows a request now. Without a rate it always does.
    ///
    /// ```
    /// use jujubeusher::decide::learned_capacity::{LearnedCapacity, Permit};
    /// let mut capacity = LearnedCapacity::default();
    /// assert_eq!(capacity.permit(0), Permit::Granted);
    /// capacity.record_decline(10);
    /// capacity.record_decline(10);
    /// capacity.record_sent(10);
    /// assert_eq!(capacity.permit(10), Permit::Wait { until_ms: 510 });
    /// ```
    pub fn permit(&mut self, now_ms: u64) -> Permit {
        let Some(rate_per_s) = self.rate_per_s else {
            return Permit::Granted;
        };
        self.refill(rate_per_s, now_ms);
        if self.tokens >= 1.0 - f64::EPSILON {
            return Permit::Granted;
        }
        let wait_ms = ((1.0 - self.tokens) / rate_per_s * MS_PER_S).ceil();
        Permit::Wait {
            until_ms: now_ms + wait_ms as u64,
        }
    }

    /// Sets this router's equal share of the servers' slots.
    pub fn set_slots_share(&mut self, slots_share: f64) {
        self.slots_share = slots_share;
    }

    /// Rate below which the rate is not reduced: what this router's share of the slots completes with
    /// the shortest mean run time.
    fn least_rate(&self) -> f64 {
        let share_per_s = self.lowest.value_ms().map_or(0.0, |run_ms| {
            SLOTS_SHARE_USED * self.slots_share * MS_PER_S / run_ms.max(1.0)
        });
        share_per_s.max(RATE_MIN_PER_S)
    }

    /// Records that a request is sent to a server.
    pub fn record_sent(&mut self, now_ms: u64) {
        self.sent.add(now_ms);
        if let Some(rate_per_s) = self.rate_per_s {
            self.refill(rate_per_s, now_ms);
            self.tokens -= 1.0;
        }
    }

    /// Records that a server completed a request after `run_ms`, whose latency target is
    /// `target_ms`.
    pub fn record_completion(&mut self, run_ms: u64, target_ms: u64, now_ms: u64) {
        let run_ms = run_ms as f64;
        self.declines = 0;
        self.completed.add(now_ms);
        self.runs = self.runs.saturating_add(1);
        self.run_ms += match self.runs {
            1 => run_ms,
            _ => (run_ms - self.run_ms) * RUN_WEIGHT,
        };
        if self.runs < RUNS_MIN {
            return;
        }
        self.lowest.record(self.run_ms, now_ms);
        let lowest_ms = self.lowest.value_ms().unwrap_or(self.run_ms);
        let bound_ms = (TARGET_SHARE * target_ms as f64).max(LOWEST_FACTOR * lowest_ms);
        let was_long = std::mem::replace(&mut self.was_long, run_ms > bound_ms);
        let is_very_long = run_ms > VERY_LONG_FACTOR * bound_ms;
        // What was sent before the last reduction does not show its effect.
        let is_due = now_ms.saturating_sub(run_ms as u64) >= self.reduced_ms;
        match self.was_long {
            true if is_due && (was_long || is_very_long || self.rate_per_s.is_some()) => {
                let factor = (bound_ms / run_ms).max(LONG_FACTOR);
                self.reduce(factor, now_ms);
            }
            true => {}
            false => self.grow(now_ms),
        }
    }

    /// Records that a server declined a request without running it.
    pub fn record_decline(&mut self, now_ms: u64) {
        if now_ms >= self.first_decline_ms + DECLINES_WINDOW_MS {
            self.declines = 0;
            self.first_decline_ms = now_ms;
        }
        self.declines += 1;
        let is_due = now_ms >= self.reduced_ms + DECLINE_PAUSE_MS;
        let is_full = self.declines >= DECLINES_MIN || self.rate_per_s.is_some();
        if is_full && (is_due || self.rate_per_s.is_none()) {
            self.declined_per_s = Some(self.current_rate(now_ms));
            // What servers complete they have room for, even if one of them declines all it gets.
            let completed_per_s = self.completed.at(now_ms) * MS_PER_S / RATE_WINDOW_MS;
            let least_factor = COMPLETED_FACTOR * completed_per_s / self.current_rate(now_ms);
            self.reduce(DECLINED_FACTOR.max(least_factor.min(1.0)), now_ms);
        }
    }

    /// Rate in force in requests a second; `None` if nothing is held back.
    pub fn rate_per_s(&self) -> Option<f64> {
        self.rate_per_s
    }

    fn sent_per_s(&self, now_ms: u64) -> f64 {
        self.sent.at(now_ms) * MS_PER_S / RATE_WINDOW_MS
    }

    /// The rate in force, or that of the requests sent if there is none.
    fn current_rate(&self, now_ms: u64) -> f64 {
        let rate_per_s = self.rate_per_s.unwrap_or_else(|| self.sent_per_s(now_ms));
        rate_per_s.max(RATE_MIN_PER_S)
    }

    fn reduce(&mut self, factor: f64, now_ms: u64) {
        self.reduced_ms = now_ms;
        let rate_per_s = self.current_rate(now_ms);
        if self.rate_per_s.is_none() {
            self.tokens = 1.0;
            self.refilled_ms = now_ms;
        }
        self.rate_per_s = Some((rate_per_s * factor).max(self.least_rate()));
    }

    /// Raises the rate for one completion, of which `rate` come in a second.
    fn grow(&mut self, now_ms: u64) {
        let Some(rate_per_s) = self.rate_per_s else {
            return;
        };
        let sent_per_s = self.sent_per_s(now_ms);
        let growth = GROWTH_PER_S + GROWTH_SHARE * rate_per_s;
        let near_declined = self.declined_per_s.map(|rate| rate * NEAR_DECLINED);
        let growth = match near_declined.is_some_and(|near| rate_per_s > near) {
            true => growth * NEAR_GROWTH,
            false => growth,
        };
        let grown = rate_per_s + growth / sent_per_s.max(1.0);
        self.declined_per_s = self
            .declined_per_s
            .filter(|rate| grown < FORGET_DECLINED * rate);
        let is_unused = grown > UNUSED_FACTOR * sent_per_s + UNUSED_PER_S;
        self.rate_per_s = (!is_unused).then_some(grown);
    }

    fn refill(&mut self, rate_per_s: f64, now_ms: u64) {
        let elapsed_s = now_ms.saturating_sub(self.refilled_ms) as f64 / MS_PER_S;
        let tokens_max = (rate_per_s * BURST_S).max(BURST_MIN);
        self.tokens = (self.tokens + elapsed_s * rate_per_s).min(tokens_max);
        self.refilled_ms = now_ms;
    }
}
