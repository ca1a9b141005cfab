//! Quarantines that were lifted, so that a router that has missed it neither keeps them nor has them
//! put in force again.

use indexmap::IndexMap;

use crate::decide::strikes::types::Fingerprint;

/// Maximum number of quarantines, and of parts, that are remembered; the newest ones.
const LIFTED_MAX: usize = 256;

/// Answer that lifted the quarantines of a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Answered {
    /// Hash of the team whose request was answered.
    pub(super) caller: u64,
    /// When the answer began, in monotonic ms.
    pub(super) at_ms: u64,
}

#[derive(Debug, Default)]
pub(super) struct Lifted {
    /// End of each quarantine had it not been lifted.
    until_ms: IndexMap<Fingerprint, u64>,
    parts: IndexMap<Fingerprint, Answered>,
    /// Quarantines that were lifted since the last call of `drain`.
    new: Vec<Fingerprint>,
}

impl Lifted {
    pub(super) fn record(&mut self, verdict: Fingerprint, until_ms: u64) {
        insert_newest(&mut self.until_ms, verdict, until_ms);
        if self.new.len() < LIFTED_MAX {
            self.new.push(verdict);
        }
    }

    pub(super) fn record_part(&mut self, part: Fingerprint, answered: Answered) {
        insert_newest(&mut self.parts, part, answered);
    }

    /// Whether a quarantine with this end is one that was lifted. The same one ends at slightly
    /// different times on different routers.
    pub(super) fn contains(&self, verdict: Fingerprint, until_ms: u64, tolerance_ms: u64) -> bool {
        let lifted_ms = self.until_ms.get(&verdict);
        lifted_ms.is_some_and(|lifted_ms| until_ms < lifted_ms + tolerance_ms)
    }

    pub(super) fn drain(&mut self) -> Vec<Fingerprint> {
        std::mem::take(&mut self.new)
    }

    pub(super) fn parts(&self) -> impl Iterator<Item = (Fingerprint, Answered)> {
        self.parts.iter().map(|(part, answered)| (*part, *answered))
    }
}

fn insert_newest<V>(map: &mut IndexMap<Fingerprint, V>, key: Fingerprint, value: V) {
    map.shift_remove(&key);
    map.insert(key, value);
    if map.len() > LIFTED_MAX {
        map.shift_remove_index(0);
    }
}
