//! The requests per slot of an engine up to which a request of a priority may be placed.
//!
//! Answers the load of five times the usual traffic of three kinds of request: long prompts of the
//! least urgent kind hold slots for longest, so that with one level for all they get the most of the
//! engines. While the service is overloaded, the level of a less urgent priority falls below that of
//! the more urgent, until these find places or the less urgent have only their least share left.

#[cfg(test)]
mod tests;

use indexmap::IndexMap;

use crate::decide::placement::FULL_PER_SLOT;

/// Time over which the share of requests that find a place is measured.
const WINDOW_MS: f64 = 1_000.0;
/// Time between two adjustments: a placement shows in the reports of the engines after about half.
const ADJUST_MS: u64 = 200;
/// Share of the more urgent that find a place above which the less urgent are not held back.
const SERVED_SHARE: f64 = 0.95;
/// Least share of the requests of a priority that find a place, unless a more urgent one has less.
const LEAST_SHARE: f64 = 0.1;
/// Steps of a level. It falls faster than it rises, since a run lasts for seconds.
const FALL_PER_SLOT: f64 = 0.04;
const RISE_PER_SLOT: f64 = 0.02;
/// Lowest level: a quarter of a batch.
const LOWEST_PER_SLOT: f64 = 0.25;
/// Requests in the window from which their share is known.
const OFFERED_MIN: f64 = 1.0;
/// Most priorities that are told apart.
const PRIORITIES_MAX: usize = 16;

#[derive(Debug, Clone, Copy, Default)]
struct Class {
    offered: f64,
    placed: f64,
    updated_ms: u64,
    /// How far the level is below that of the most urgent.
    reduction: f64,
}

impl Class {
    fn decay(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let factor = (-elapsed_ms / WINDOW_MS).exp();
        self.offered *= factor;
        self.placed *= factor;
        self.updated_ms = now_ms;
    }

    fn share(&self) -> Option<f64> {
        (self.offered >= OFFERED_MIN).then(|| self.placed / self.offered)
    }
}

/// Levels of the priorities of one service at one router.
#[derive(Debug, Clone, Default)]
pub struct AdmissionLevels {
    classes: IndexMap<u32, Class>,
    adjusted_ms: u64,
}

impl AdmissionLevels {
    /// Requests per slot up to which a request of this priority may be placed.
    ///
    /// ```
    /// use jujubeusher::decide::admission_level::AdmissionLevels;
    /// use jujubeusher::decide::placement::FULL_PER_SLOT;
    /// let mut levels = AdmissionLevels::default();
    /// for now_ms in (0..1_000).step_by(50) {
    ///     levels.record(0, false, now_ms);
    ///     levels.record(1, true, now_ms);
    /// }
    /// assert_eq!(levels.full_per_slot(0), FULL_PER_SLOT);
    /// assert!(levels.full_per_slot(1) < FULL_PER_SLOT);
    /// ```
    pub fn full_per_slot(&self, priority: u32) -> f64 {
        let class = self.classes.get(&priority);
        FULL_PER_SLOT - class.map_or(0.0, |class| class.reduction)
    }

    /// Records whether a request found a place when it was first offered one.
    pub fn record(&mut self, priority: u32, is_placed: bool, now_ms: u64) {
        if self.classes.len() >= PRIORITIES_MAX && !self.classes.contains_key(&priority) {
            return;
        }
        let class = self.classes.entry(priority).or_default();
        class.decay(now_ms);
        class.offered += 1.0;
        class.placed += f64::from(u8::from(is_placed));
        if now_ms >= self.adjusted_ms + ADJUST_MS {
            self.adjusted_ms = now_ms;
            self.adjust(now_ms);
        }
    }

    fn adjust(&mut self, now_ms: u64) {
        self.classes.sort_unstable_keys();
        // The lowest share of the more urgent priorities, and their largest reduction.
        let mut urgent_share = f64::INFINITY;
        let mut urgent_reduction: f64 = 0.0;
        for class in self.classes.values_mut() {
            class.decay(now_ms);
            let share = class.share();
            let is_short = urgent_share < SERVED_SHARE;
            // With a smaller share than the least, a priority rises to the level of the more urgent.
            let has_least = share.is_some_and(|share| share > LEAST_SHARE.min(urgent_share));
            class.reduction += match is_short && has_least {
                true => FALL_PER_SLOT,
                false => -RISE_PER_SLOT,
            };
            let highest = FULL_PER_SLOT - LOWEST_PER_SLOT;
            class.reduction = class.reduction.max(urgent_reduction).clamp(0.0, highest);
            urgent_reduction = class.reduction;
            urgent_share = share.unwrap_or(urgent_share).min(urgent_share);
        }
    }
}
