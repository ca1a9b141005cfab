//! Whether a table has been kept up to date for long enough to rely on what is missing in it.

/// Longest time between two reads of a table that is kept up to date: they come every 1.1 s.
const READ_GAP_MAX_MS: u64 = 3_000;
/// Time without a gap after which a table is up to date again. After a pause of the process, queued
/// updates are applied one by one; after an outage of the source, rows of servers that have ended
/// are removed after three heartbeats of 1.2 s.
const CURRENT_AFTER_MS: u64 = 6_000;

/// Times of a table's reads from its source.
#[derive(Debug, Default)]
pub struct Freshness {
    /// First and last read without a gap in between, in monotonic ms.
    reads_ms: Option<(u64, u64)>,
}

impl Freshness {
    /// Records a read, by this router or by one that relays the table. An older one than known changes
    /// nothing.
    pub fn record_read(&mut self, read_ms: u64) {
        let (first_ms, last_ms) = match self.reads_ms {
            Some((first_ms, last_ms)) if read_ms <= last_ms + READ_GAP_MAX_MS => {
                (first_ms, last_ms)
            }
            _ => (read_ms, read_ms),
        };
        self.reads_ms = Some((first_ms, last_ms.max(read_ms)));
    }

    /// Whether the table is up to date.
    pub fn is_current(&self, now_ms: u64) -> bool {
        self.reads_ms.is_some_and(|(first_ms, last_ms)| {
            now_ms >= first_ms + CURRENT_AFTER_MS && now_ms <= last_ms + READ_GAP_MAX_MS
        })
    }
}

#[cfg(test)]
mod tests;
