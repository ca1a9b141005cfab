//! Delay of the messages on a link, from the sender's time in each of them.
//!
//! The clocks of the two ends have different origins, so the delay is measured against the message
//! that took least: bytes that wait in a send queue show as a delay, the latency of the network does
//! not.

#[cfg(test)]
mod tests;

/// Delay from which a link is congested: all that arrives over it is then nearly as old as the tables of a
/// router that reads the source may become.
const DELAY_MAX_MS: u64 = 1_000;
/// Time for which messages must be delayed. The messages that wait while a process is paused are handled
/// at once when it goes on.
const CONGESTED_AFTER_MS: u64 = 500;

/// Delay of one link's messages.
///
/// ```
/// use jujubeusher::decide::link_delay::LinkDelay;
/// let mut delay = LinkDelay::default();
/// assert_eq!(delay.record(5_000, 100), 0);
/// assert_eq!(delay.record(5_200, 1_050), 750);
/// assert_eq!(delay.record(6_150, 1_250), 0);
/// ```
#[derive(Debug, Default)]
pub struct LinkDelay {
    /// Smallest difference between the receiver's and the sender's clock, in ms.
    offset_min_ms: Option<i64>,
    /// Delay of the last message, in ms.
    last_ms: u64,
    /// First of the messages in a row with a delay over the maximum, in monotonic ms.
    delayed_since_ms: Option<u64>,
}

impl LinkDelay {
    /// Records a message that was sent at `sent_ms` by the sender's monotonic clock and received at
    /// `now_ms` by the receiver's. Returns its delay in ms.
    pub fn record(&mut self, sent_ms: u64, now_ms: u64) -> u64 {
        let offset_ms = now_ms.wrapping_sub(sent_ms) as i64;
        let offset_min_ms = self.offset_min_ms.map_or(offset_ms, |ms| ms.min(offset_ms));
        self.offset_min_ms = Some(offset_min_ms);
        self.last_ms = offset_ms.saturating_sub(offset_min_ms) as u64;
        self.delayed_since_ms = match self.last_ms > DELAY_MAX_MS {
            true => self.delayed_since_ms.or(Some(now_ms)),
            false => None,
        };
        self.last_ms
    }

    /// Whether messages wait in front of the link for longer than their content may become old.
    pub fn is_congested(&self, now_ms: u64) -> bool {
        let since_ms = self.delayed_since_ms;
        since_ms.is_some_and(|since_ms| now_ms >= since_ms.saturating_add(CONGESTED_AFTER_MS))
    }

    /// Delay of the last message in ms; 0 before the first one.
    pub fn last_ms(&self) -> u64 {
        self.last_ms
    }
}
