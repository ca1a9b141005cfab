//! Backend servers that failed recently; they are chosen last.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use indexmap::IndexMap;
use parking_lot::Mutex;

use crate::ids::ServerId;

#[cfg(test)]
mod tests;

/// Time for which a failed server is chosen last. Then one request tries it again, so a server
/// that is down costs one attempt per period.
pub const SUSPECT_MS: u64 = 1_000;

/// Servers on which this router's own attempts failed. Clones share the same state.
#[derive(Debug, Clone, Default)]
pub struct Suspects {
    until_ms: Arc<Mutex<IndexMap<ServerId, u64>>>,
    count: Arc<AtomicUsize>,
}

impl Suspects {
    /// Creates a state without suspects.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a failed attempt: the server becomes a suspect.
    pub fn record_failure(&self, server: &ServerId, now_ms: u64) {
        let mut until_ms = self.until_ms.lock();
        if until_ms
            .insert(server.clone(), now_ms + SUSPECT_MS)
            .is_none()
        {
            log::warn!("event=server_suspect server={server}");
        }
        self.count.store(until_ms.len(), Ordering::Relaxed);
    }

    /// Records an attempt that got a response: the server is no longer a suspect.
    pub fn record_success(&self, server: &ServerId) {
        if self.count.load(Ordering::Relaxed) == 0 {
            return;
        }
        let mut until_ms = self.until_ms.lock();
        if until_ms.swap_remove(server).is_some() {
            log::info!("event=server_answers_again server={server}");
        }
        self.count.store(until_ms.len(), Ordering::Relaxed);
    }

    /// Suspected servers.
    pub fn servers(&self) -> Vec<ServerId> {
        self.until_ms.lock().keys().cloned().collect()
    }

    /// Removes suspects from the candidates, unless all candidates are suspects.
    pub fn exclude_suspects(&self, candidates: Vec<ServerId>, now_ms: u64) -> Vec<ServerId> {
        let until_ms = self.until_ms.lock();
        let is_suspect = |server: &ServerId| until_ms.get(server).is_some_and(|t| *t > now_ms);
        if candidates.iter().all(is_suspect) {
            return candidates;
        }
        let mut candidates = candidates;
        candidates.retain(|server| !is_suspect(server));
        candidates
    }

    /// Moves suspects to the end of the candidates. When a suspect's period is over, the first
    /// request that prefers it tries it; for other requests a new period starts.
    pub fn order_suspects_last(&self, candidates: Vec<ServerId>, now_ms: u64) -> Vec<ServerId> {
        if self.count.load(Ordering::Relaxed) == 0 {
            return candidates;
        }
        let mut until_ms = self.until_ms.lock();
        let mut is_first = true;
        let mut is_suspect = |server: &ServerId| {
            let may_retry = std::mem::take(&mut is_first);
            match until_ms.get_mut(server) {
                Some(until_ms) if may_retry && *until_ms <= now_ms => {
                    *until_ms = now_ms + SUSPECT_MS;
                    false
                }
                Some(_) => true,
                None => false,
            }
        };
        let (last, mut ordered): (Vec<_>, Vec<_>) = candidates
            .into_iter()
            .partition(|server| is_suspect(server));
        ordered.extend(last);
        ordered
    }
}
