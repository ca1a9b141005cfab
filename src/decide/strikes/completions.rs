//! Memory of the requests or prompt parts that servers completed last.

use indexmap::IndexMap;

use crate::decide::strikes::types::Fingerprint;

/// Number of fingerprints that are remembered, in each of two generations.
const PROVEN_GENERATION_MAX: usize = 4_096;

/// Times of the most recent completions, in two generations: when the newer one is full, it replaces
/// the older one.
#[derive(Debug, Default)]
pub(in crate::decide) struct Completions {
    newer: IndexMap<Fingerprint, u64>,
    older: IndexMap<Fingerprint, u64>,
}

impl Completions {
    pub(in crate::decide) fn record(&mut self, fingerprint: Fingerprint, now_ms: u64) {
        if self.newer.len() >= PROVEN_GENERATION_MAX {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(fingerprint, now_ms);
    }

    /// Time of the last completion, if it is remembered.
    pub(in crate::decide) fn last_ms(&self, fingerprint: Fingerprint) -> Option<u64> {
        let newer = self.newer.get(&fingerprint);
        newer.or_else(|| self.older.get(&fingerprint)).copied()
    }
}
