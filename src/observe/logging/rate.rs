//! Bounds the lines of each event in a second, so that one event cannot push out the others.

#[cfg(test)]
mod tests;

use indexmap::IndexMap;

/// Events that are told apart; further ones share one bound.
const EVENTS_MAX: usize = 128;
/// Name under which the further ones are counted.
const OTHER_EVENTS: &str = "other";

#[derive(Debug, Default)]
struct Window {
    second: u64,
    lines: u32,
    left_out: u64,
}

/// Counts the lines of each event.
#[derive(Debug)]
pub struct LineRateLimiter {
    lines_max: u32,
    windows: IndexMap<String, Window>,
}

/// Whether a line is written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LineDecision {
    /// It is.
    Written,
    /// It is, and so many of its event were left out in the seconds before.
    WrittenAfterSuppressed(u64),
    /// It is left out.
    Suppressed,
}

impl LineRateLimiter {
    /// A bound of so many lines a second for each event.
    pub fn new(lines_max: u32) -> Self {
        Self {
            lines_max,
            windows: IndexMap::new(),
        }
    }

    /// Decides on a line of an event.
    ///
    /// ```
    /// use jujubeusher::observe::logging::rate::{LineRateLimiter, LineDecision};
    /// let mut limiter = LineRateLimiter::new(1);
    /// assert_eq!(limiter.check_line("retry", 1_000), LineDecision::Written);
    /// assert_eq!(limiter.check_line("retry", 1_500), LineDecision::Suppressed);
    /// assert_eq!(limiter.check_line("retry", 2_000), LineDecision::WrittenAfterSuppressed(1));
    /// ```
    pub fn check_line(&mut self, event: &str, now_ms: u64) -> LineDecision {
        let is_new = !self.windows.contains_key(event);
        let event = match is_new && self.windows.len() >= EVENTS_MAX {
            true => OTHER_EVENTS,
            false => event,
        };
        if !self.windows.contains_key(event) {
            self.windows.insert(event.to_owned(), Window::default());
        }
        let Some(window) = self.windows.get_mut(event) else {
            return LineDecision::Written;
        };
        let second = now_ms / 1_000;
        if window.second != second {
            window.second = second;
            window.lines = 0;
        }
        if window.lines >= self.lines_max {
            window.left_out += 1;
            return LineDecision::Suppressed;
        }
        window.lines += 1;
        match std::mem::take(&mut window.left_out) {
            0 => LineDecision::Written,
            left_out => LineDecision::WrittenAfterSuppressed(left_out),
        }
    }
}

/// The name of a line's event.
pub fn event_name(line: &str) -> &str {
    let rest = line.split_once("event=").map_or("", |(_, rest)| rest);
    rest.split_whitespace().next().unwrap_or(OTHER_EVENTS)
}
