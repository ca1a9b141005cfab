//! Queue limit for deferred requests that wait for capacity.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts deferred requests that wait for capacity. Clones share the count.
#[derive(Debug, Clone, Default)]
pub struct DeferredQueue(Arc<AtomicUsize>);

/// Permit to wait in the queue; dropping it leaves the queue.
#[derive(Debug)]
pub struct DeferredPermit(DeferredQueue);

impl DeferredQueue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns a permit if fewer than `max` requests are waiting.
    pub fn try_enter(&self, max: usize) -> Option<DeferredPermit> {
        let permit = DeferredPermit(self.clone());
        // If the queue is full, dropping the permit undoes the increment.
        (self.0.fetch_add(1, Ordering::Relaxed) < max).then_some(permit)
    }
}

impl Drop for DeferredPermit {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}
