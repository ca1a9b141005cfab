//! Decides whether a router may rely on the tables that another one relays to it.
//!
//! A link on which messages arrive says nothing of the age of the tables: counts and strikes pass over
//! it too. So each table has an age of its own, counted from the read of the source.

#[cfg(test)]
mod tests;

/// Longest time between two reads of a source that answers: long polls and the pauses after them add
/// up to it.
pub const READ_INTERVAL_MAX_MS: u64 = 1_100;
/// Age beyond [`READ_INTERVAL_MAX_MS`] at which relayed tables are outdated. With the 200 ms until the
/// router reads the source itself, a change is in force within the shortest bound of the platform, 2 s.
const SLACK_MS: u64 = 350;
/// Further age for each router on the path from the one that reads the source. When that one stalls, the
/// routers directly below it read the source first, and those below them go on with what these relay.
const SLACK_PER_HOP_MS: u64 = 150;
/// Time after which another router is sought in place of one whose tables stay outdated.
const LEAVE_AFTER_MS: u64 = 3_000;

/// From where a router takes a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Supply {
    /// From the router that relays it.
    Relay,
    /// From the source, since the relayed table is outdated.
    Source,
    /// From the source, until another router relays it.
    OtherRelay,
}

/// Decides on a table that was read from the source `age_ms` ago and relayed over `hops` links.
///
/// ```
/// use jujubeusher::decide::table_supply::{Supply, choose_supply};
/// assert_eq!(choose_supply(1_200, 1), Supply::Relay);
/// assert_eq!(choose_supply(1_700, 1), Supply::Source);
/// assert_eq!(choose_supply(1_700, 3), Supply::Relay);
/// assert_eq!(choose_supply(5_000, 3), Supply::OtherRelay);
/// ```
pub fn choose_supply(age_ms: u64, hops: usize) -> Supply {
    match age_ms.saturating_sub(age_max_ms(hops)) {
        0 => Supply::Relay,
        1..LEAVE_AFTER_MS => Supply::Source,
        _ => Supply::OtherRelay,
    }
}

/// Longest age of a current table that was relayed over `hops` links.
///
/// ```
/// use jujubeusher::decide::table_supply::age_max_ms;
/// assert!(age_max_ms(1) < age_max_ms(2));
/// ```
pub fn age_max_ms(hops: usize) -> u64 {
    READ_INTERVAL_MAX_MS + SLACK_MS + SLACK_PER_HOP_MS * hops as u64
}
