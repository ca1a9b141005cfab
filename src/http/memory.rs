//! The memory that requests and responses of one process share (see [`MemoryBudget`]).

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use futures_util::Stream;
use indexmap::IndexMap;
use parking_lot::Mutex;
use smol::Timer;

use crate::decide::memory_budget::{HolderId, MemoryBudget, Purpose, Room};
use crate::edge::clock::Clock;

/// Interval at which a body that waits for room checks whether it is the first to wait, and then looks
/// for one that has stalled: half of the time after which one counts as such.
const STALL_CHECK: Duration = Duration::from_millis(250);

struct Shared {
    inner: Mutex<Inner>,
    clock: Arc<dyn Clock>,
}

struct Inner {
    budget: MemoryBudget,
    wakers: IndexMap<HolderId, Waker>,
}

/// The memory budget of a process. Clones share it.
#[derive(Clone)]
pub struct Memory(Arc<Shared>);

impl std::fmt::Debug for Memory {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Memory").finish_non_exhaustive()
    }
}

impl Memory {
    /// The budget of a process that may use `memory_bytes`.
    pub fn new(memory_bytes: usize, clock: Arc<dyn Clock>) -> Self {
        Self(Arc::new(Shared {
            inner: Mutex::new(Inner {
                budget: MemoryBudget::new(memory_bytes),
                wakers: IndexMap::new(),
            }),
            clock,
        }))
    }

    /// Opens the share of one request or response.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use jujubeusher::decide::memory_budget::Purpose;
    /// use jujubeusher::edge::clock::HostClock;
    /// use jujubeusher::http::memory::Memory;
    /// let memory = Memory::new(160_000_000, Arc::new(HostClock::open()));
    /// let mut share = memory.share(Purpose::Response);
    /// assert!(share.try_hold(1_000));
    /// assert_eq!(memory.used_bytes(Purpose::Response), 1_000);
    /// drop(share);
    /// assert_eq!(memory.used_bytes(Purpose::Response), 0);
    /// ```
    pub fn share(&self, purpose: Purpose) -> MemoryShare {
        let now_ms = self.now_ms();
        let id = self.0.inner.lock().budget.open(purpose, now_ms);
        MemoryShare {
            memory: self.clone(),
            id,
        }
    }

    /// Bytes held for a purpose.
    pub fn used_bytes(&self, purpose: Purpose) -> usize {
        self.0.inner.lock().budget.used_bytes(purpose)
    }

    fn now_ms(&self) -> u64 {
        self.0.clock.monotonic_ms()
    }

    /// Changes the budget, and wakes the holders that this concerns.
    fn change<C, I>(&self, change: C)
    where
        C: FnOnce(&mut MemoryBudget, u64) -> I,
        I: IntoIterator<Item = HolderId>,
    {
        let now_ms = self.now_ms();
        let mut inner = self.0.inner.lock();
        let concerned = change(&mut inner.budget, now_ms);
        let woken = concerned.into_iter();
        let woken: Vec<Waker> = woken
            .filter_map(|id| inner.wakers.swap_remove(&id))
            .collect();
        drop(inner);
        woken.into_iter().for_each(Waker::wake);
    }
}

/// What one request or response holds; dropping it frees the bytes.
#[derive(Debug)]
pub struct MemoryShare {
    memory: Memory,
    id: HolderId,
}

impl MemoryShare {
    /// Changes what is held to `bytes` in all; false if there is no room.
    pub fn try_hold(&mut self, bytes: usize) -> bool {
        self.memory.0.inner.lock().budget.try_hold(self.id, bytes)
    }

    /// Holds `bytes` for a response whose request has not been sent; false if there is no room.
    pub fn try_reserve(&mut self, bytes: usize) -> bool {
        self.memory
            .0
            .inner
            .lock()
            .budget
            .try_reserve(self.id, bytes)
    }

    /// Waits until `bytes` in all are held; false if the body was refused to make room for others.
    pub async fn claim(&mut self, bytes: usize) -> bool {
        let mut checks: Option<Timer> = None;
        poll_fn(|cx| {
            let room = self.poll_claim(cx, bytes);
            if room == Room::Wait {
                let checks = checks.get_or_insert_with(|| Timer::interval(STALL_CHECK));
                while Pin::new(&mut *checks).poll_next(cx).is_ready() {}
                // One search for all that wait: each looks at all holders.
                self.memory.change(|budget, now_ms| {
                    let is_first = budget.is_first_waiting(self.id);
                    let refused = is_first.then(|| budget.refuse_stalled(now_ms));
                    refused.unwrap_or_default()
                });
                return Poll::Pending;
            }
            Poll::Ready(room == Room::Held)
        })
        .await
    }

    fn poll_claim(&self, cx: &Context<'_>, bytes: usize) -> Room {
        let now_ms = self.memory.now_ms();
        let mut inner = self.memory.0.inner.lock();
        let room = inner.budget.claim(self.id, bytes, now_ms);
        match room {
            Room::Wait => _ = inner.wakers.insert(self.id, cx.waker().clone()),
            Room::Held | Room::Refused => _ = inner.wakers.swap_remove(&self.id),
        }
        room
    }

    /// Whether it waits for room.
    pub fn is_waiting(&self) -> bool {
        self.memory.0.inner.lock().budget.is_waiting(self.id)
    }

    /// Records that a part of a body has arrived.
    pub fn record_part(&self) {
        let now_ms = self.memory.now_ms();
        self.memory
            .0
            .inner
            .lock()
            .budget
            .record_part(self.id, now_ms);
    }

    /// Records that a body has progressed.
    pub fn record_progress(&self) {
        let now_ms = self.memory.now_ms();
        let mut inner = self.memory.0.inner.lock();
        inner.budget.record_progress(self.id, now_ms);
    }

    /// Completes when the body is refused to make room for others.
    pub fn poll_refused(&self, cx: &Context<'_>) -> Poll<()> {
        let mut inner = self.memory.0.inner.lock();
        if inner.budget.is_refused(self.id) {
            return Poll::Ready(());
        }
        inner.wakers.insert(self.id, cx.waker().clone());
        Poll::Pending
    }

    /// Records that the body is complete with `bytes`, so that it is not refused any more.
    pub fn complete(&self, bytes: usize) {
        self.memory
            .change(|budget, now_ms| budget.complete(self.id, bytes, now_ms));
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.memory.change(|budget, now_ms| {
            let mut ready = budget.close(self.id, now_ms);
            // Its own waker is removed with it.
            ready.push(self.id);
            ready
        });
    }
}
