//! Whether a table has been kept up to date for long enough to rely on what is missing in it.

/// Longest time between two updates of a table that is kept up to date: they come every 1.1 s.
const UPDATE_GAP_MAX_MS: u64 = 3_000;
/// Time without a gap after which a table is up to date again. After a pause of the process, queued
/// updates are applied one by one; after an outage of the source, rows of servers that have ended
/// are removed after three heartbeats of 1.2 s.
const CURRENT_AFTER_MS: u64 = 6_000;

/// Times of a table's updates.
#[derive(Debug, Default)]
pub struct Freshness {
    /// First and last update without a gap in between, in monotonic ms.
    updates_ms: Option<(u64, u64)>,
}

impl Freshness {
    /// Records an update.
    pub fn record_update(&mut self, now_ms: u64) {
        let first_ms = match self.updates_ms {
            Some((first_ms, last_ms)) if now_ms <= last_ms + UPDATE_GAP_MAX_MS => first_ms,
            _ => now_ms,
        };
        self.updates_ms = Some((first_ms, now_ms));
    }

    /// Whether the table is up to date.
    pub fn is_current(&self, now_ms: u64) -> bool {
        self.updates_ms.is_some_and(|(first_ms, last_ms)| {
            now_ms >= first_ms + CURRENT_AFTER_MS && now_ms <= last_ms + UPDATE_GAP_MAX_MS
        })
    }
}

#[cfg(test)]
mod tests;
