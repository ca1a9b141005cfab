//! Passes changes of the strikes and of servers' limits on to the links of the relay without delay.

#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use async_channel::{Receiver, Sender};
use indexmap::IndexMap;
use parking_lot::Mutex;

use crate::decide::server_limit::LimitUpdate;
use crate::decide::strikes::{Quarantine, SoundPart, StrikeDelta};

/// Capacity of a link's queue. A link that falls further behind is closed, and receives a snapshot
/// when it has been opened again.
const QUEUE_MAX: usize = 256;

/// Strikes, quarantines and limits of servers that are new to this router.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StrikeChanges {
    /// Crashes and completions.
    pub strikes: Vec<StrikeDelta>,
    /// Parts of prompts on which answers began.
    pub sound: Vec<SoundPart>,
    /// Quarantines that were not derived from strikes.
    pub quarantines: Vec<Quarantine>,
    /// Limits that servers have named, changed or lifted.
    pub limits: Vec<LimitUpdate>,
    /// Monotonic time in ms at which ages and remaining times were taken.
    pub as_of_ms: u64,
}

impl StrikeChanges {
    /// Whether there is nothing to send.
    pub fn is_empty(&self) -> bool {
        self.strikes.is_empty()
            && self.sound.is_empty()
            && self.quarantines.is_empty()
            && self.limits.is_empty()
    }

    /// Splits the changes into parts of at most `entries_max` entries.
    pub fn split(&self, entries_max: usize) -> Vec<Self> {
        let empty = || Self {
            as_of_ms: self.as_of_ms,
            ..Self::default()
        };
        let sound = self.sound.chunks(entries_max).map(|sound| Self {
            sound: sound.to_vec(),
            ..empty()
        });
        let strikes = self.strikes.chunks(entries_max).map(|strikes| Self {
            strikes: strikes.to_vec(),
            ..empty()
        });
        let quarantines = self.quarantines.chunks(entries_max).map(|some| Self {
            quarantines: some.to_vec(),
            ..empty()
        });
        let limits = self.limits.chunks(entries_max).map(|limits| Self {
            limits: limits.to_vec(),
            ..empty()
        });
        let parts = sound.chain(strikes).chain(quarantines).chain(limits);
        parts.collect()
    }
}

/// Queue of one link.
#[derive(Debug)]
pub struct FeedLink {
    /// Number of the link.
    pub id: u64,
    /// Changes to send; closed when the link has fallen too far behind.
    pub changes: Receiver<Arc<StrikeChanges>>,
}

/// The queues of all links.
#[derive(Debug, Default)]
pub struct StrikeFeed {
    links: Mutex<IndexMap<u64, Sender<Arc<StrikeChanges>>>>,
    last_id: AtomicU64,
}

impl StrikeFeed {
    /// Adds a link; dropping the result removes it.
    pub fn open_link(&self) -> FeedLink {
        let id = self.last_id.fetch_add(1, Ordering::Relaxed) + 1;
        let (sender, changes) = async_channel::bounded(QUEUE_MAX);
        self.links.lock().insert(id, sender);
        FeedLink { id, changes }
    }

    /// Queues changes for all links but the one over which they arrived.
    pub fn publish(&self, changes: StrikeChanges, origin: Option<u64>) {
        if changes.is_empty() {
            return;
        }
        let changes = Arc::new(changes);
        let is_kept = |id: &u64, sender: &mut Sender<Arc<StrikeChanges>>| match Some(*id) == origin
        {
            true => !sender.is_closed(),
            false => sender.try_send(Arc::clone(&changes)).is_ok(),
        };
        self.links.lock().retain(is_kept);
    }
}
