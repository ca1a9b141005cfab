//! Limits the log lines per event and second, so that one event cannot displace the others.

#[cfg(test)]
mod tests;

use indexmap::IndexMap;

/// Maximum number of events with a limit of their own. Further events share one limit, which bounds
/// the memory used.
const EVENTS_MAX: usize = 128;
/// Name under which further events, and lines without an event, are counted.
const OTHER_EVENTS: &str = "other";

#[derive(Debug, Default)]
struct Window {
    second: u64,
    lines: u32,
    suppressed_lines: u64,
}

/// Limits the log lines of each event to a number per second.
#[derive(Debug)]
pub struct LineRateLimiter {
    lines_max: u32,
    windows: IndexMap<String, Window>,
}

/// Decision on whether a line is written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LineDecision {
    /// The line is written.
    Written,
    /// The line is written, and this number of lines of the event were suppressed before it.
    WrittenAfterSuppressed(u64),
    /// The line is suppressed.
    Suppressed,
}

impl LineRateLimiter {
    /// Creates a limiter to `lines_max` lines per second for each event.
    pub fn new(lines_max: u32) -> Self {
        Self {
            lines_max,
            windows: IndexMap::new(),
        }
    }

    /// Decides whether a line of `event` is written at `now_ms`, and counts it.
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
            window.suppressed_lines += 1;
            return LineDecision::Suppressed;
        }
        window.lines += 1;
        match std::mem::take(&mut window.suppressed_lines) {
            0 => LineDecision::Written,
            lines => LineDecision::WrittenAfterSuppressed(lines),
        }
    }
}

/// Returns the name of a line's event.
pub fn event_name(line: &str) -> &str {
    let rest = line.split_once("event=").map_or("", |(_, rest)| rest);
    rest.split_whitespace().next().unwrap_or(OTHER_EVENTS)
}
