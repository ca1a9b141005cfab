//! Number of this router's requests in flight, by shared prompt parts.

use std::sync::Arc;

use indexmap::IndexMap;
use parking_lot::Mutex;

/// Counts requests in flight by the hash of their shared prompt parts; clones share the counts.
#[derive(Debug, Clone, Default)]
pub struct PromptsInFlight(Arc<Mutex<IndexMap<u64, u32>>>);

/// Guard of one counted request; dropping it ends the count.
#[derive(Debug)]
pub struct PromptGuard {
    prompts: PromptsInFlight,
    shared_hash: u64,
}

impl PromptsInFlight {
    /// Number of requests in flight with these shared parts.
    pub fn count(&self, shared_hash: u64) -> u32 {
        self.0.lock().get(&shared_hash).copied().unwrap_or(0)
    }

    /// Counts a request until the guard is dropped.
    ///
    /// ```
    /// use jujubeusher::gateway::prompts_in_flight::PromptsInFlight;
    /// let prompts = PromptsInFlight::default();
    /// let guard = prompts.start(7);
    /// assert_eq!(prompts.count(7), 1);
    /// drop(guard);
    /// assert_eq!(prompts.count(7), 0);
    /// ```
    pub fn start(&self, shared_hash: u64) -> PromptGuard {
        *self.0.lock().entry(shared_hash).or_default() += 1;
        PromptGuard {
            prompts: self.clone(),
            shared_hash,
        }
    }
}

impl Drop for PromptGuard {
    fn drop(&mut self) {
        let mut counts = self.prompts.0.lock();
        if let Some(count) = counts.get_mut(&self.shared_hash) {
            *count -= 1;
            if *count == 0 {
                counts.swap_remove(&self.shared_hash);
            }
        }
    }
}
