//! Bound on the memory of all responses that are received at the same time.
//!
//! Answers the load of servers that send bytes without end: a bound on each response alone would
//! let ten of them exceed the memory of a small host.

#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes that each response may hold whatever the others hold, so that usual responses are never
/// refused: over ten times the largest plain response on the known sites, 4,800 bytes.
pub const FREE_BYTES: usize = 64 * 1024;

/// A bound that responses share. Clones share it.
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    used_bytes: Arc<AtomicUsize>,
    max_bytes: usize,
}

impl MemoryBudget {
    /// A bound of `max_bytes` on what all responses hold beyond [`FREE_BYTES`] each.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            used_bytes: Arc::default(),
            max_bytes,
        }
    }

    /// Opens the share of one response.
    ///
    /// ```
    /// use jujubeusher::http::memory_budget::{FREE_BYTES, MemoryBudget};
    /// let budget = MemoryBudget::new(1_000);
    /// let (mut first, mut second) = (budget.share(), budget.share());
    /// assert!(first.try_hold(FREE_BYTES + 800) && second.try_hold(FREE_BYTES));
    /// assert!(!second.try_hold(FREE_BYTES + 300));
    /// drop(first);
    /// assert!(second.try_hold(FREE_BYTES + 300));
    /// ```
    pub fn share(&self) -> MemoryShare {
        MemoryShare {
            budget: self.clone(),
            held_bytes: 0,
        }
    }

    /// Bytes in use beyond the free bytes of each response.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.load(Ordering::Relaxed)
    }
}

/// What one response holds; dropping it frees the bytes.
#[derive(Debug)]
pub struct MemoryShare {
    budget: MemoryBudget,
    held_bytes: usize,
}

impl MemoryShare {
    /// Changes what the response holds to `bytes` in all; false if the bound forbids it.
    pub fn try_hold(&mut self, bytes: usize) -> bool {
        let wanted = bytes.saturating_sub(FREE_BYTES);
        let used = &self.budget.used_bytes;
        if wanted <= self.held_bytes {
            used.fetch_sub(self.held_bytes - wanted, Ordering::Relaxed);
            self.held_bytes = wanted;
            return true;
        }
        let growth = wanted - self.held_bytes;
        let max_bytes = self.budget.max_bytes;
        let grow = |used: usize| used.checked_add(growth).filter(|sum| *sum <= max_bytes);
        let is_held = used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, grow)
            .is_ok();
        if is_held {
            self.held_bytes = wanted;
        }
        is_held
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        let used = &self.budget.used_bytes;
        used.fetch_sub(self.held_bytes, Ordering::Relaxed);
    }
}
