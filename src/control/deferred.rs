//! Deferred work that waits for room.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts deferred work that waits for room.
#[derive(Debug, Clone, Default)]
pub struct DeferredQueue(Arc<AtomicUsize>);

/// A place in the queue.
#[derive(Debug)]
pub struct DeferredPermit(DeferredQueue);

impl DeferredQueue {
    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes a place if the queue has one.
    pub fn try_enter(&self, max: usize) -> Option<DeferredPermit> {
        let place = DeferredPermit(self.clone());
        // The place counts itself out again where the queue was full.
        (self.0.fetch_add(1, Ordering::Relaxed) < max).then_some(place)
    }
}

impl Drop for DeferredPermit {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}
