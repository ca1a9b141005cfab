//! Backend servers that failed lately; they are chosen last.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use indexmap::IndexMap;
use parking_lot::Mutex;

use crate::ids::ServerId;

#[cfg(test)]
mod tests;

/// Time for which a failed server is chosen last. After it one request tries the server
/// again, so a server that is down costs one attempt in each such period.
pub const SUSPECT_MS: u64 = 1_000;

/// Servers that this router's own attempts found failing.
#[derive(Debug, Clone, Default)]
pub struct Suspects {
    until_ms: Arc<Mutex<IndexMap<ServerId, u64>>>,
    count: Arc<AtomicUsize>,
}

impl Suspects {
    /// No suspects.
    pub fn open() -> Self {
        Self::default()
    }

    /// Notes a failed attempt.
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

    /// Notes an answered attempt.
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

    /// Leaves out the suspects, unless nothing else is left.
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

    /// Moves the suspects to the end of an order of candidates. Once a suspect's time is
    /// over, the request that would have it first tries it, and the others wait again.
    pub fn order_suspects_last(&self, candidates: Vec<ServerId>, now_ms: u64) -> Vec<ServerId> {
        if self.count.load(Ordering::Relaxed) == 0 {
            return candidates;
        }
        let mut until_ms = self.until_ms.lock();
        let mut is_first = true;
        let mut is_suspect = |server: &ServerId| {
            let may_try = std::mem::take(&mut is_first);
            match until_ms.get_mut(server) {
                Some(until_ms) if may_try && *until_ms <= now_ms => {
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
