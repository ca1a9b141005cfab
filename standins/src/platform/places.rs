//! Slots and queue of a backend server.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use smol::Timer;

/// Interval at which a queued request looks for a free slot.
const SLOT_POLL: Duration = Duration::from_millis(1);

#[derive(Debug, Clone, Copy)]
struct Limits {
    slots: usize,
    queue: usize,
    reports_load: bool,
}

#[derive(Debug, Default)]
struct Occupancy {
    limits: Option<Limits>,
    running: usize,
    waiting: usize,
}

/// Requests that a server runs and queues; clones share the same state.
#[derive(Debug, Clone, Default)]
pub(super) struct Places(Arc<Mutex<Occupancy>>);

/// A request that runs; dropping it frees its slot.
pub(super) struct RunningRequest(Places);

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.0.0.lock().running -= 1;
    }
}

/// A request that waits for a slot; dropping it leaves the queue.
struct QueuedRequest(Places);

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        self.0.0.lock().waiting -= 1;
    }
}

impl Places {
    pub(super) fn set(&self, slots: usize, queue: usize, reports_load: bool) {
        self.0.lock().limits = Some(Limits {
            slots,
            queue,
            reports_load,
        });
    }

    /// Value of `x-server-load`, if the server reports its load.
    pub(super) fn load(&self) -> Option<String> {
        let occupancy = self.0.lock();
        let limits = occupancy.limits.filter(|limits| limits.reports_load)?;
        let Occupancy {
            running, waiting, ..
        } = *occupancy;
        Some(format!("{running},{waiting},{}", limits.slots))
    }

    /// Waits for a slot; `None` if the queue is full.
    pub(super) async fn take_slot(&self) -> Option<RunningRequest> {
        let _queued = self.join_queue()?;
        loop {
            if let Some(running) = self.try_run() {
                return Some(running);
            }
            Timer::after(SLOT_POLL).await;
        }
    }

    fn join_queue(&self) -> Option<QueuedRequest> {
        let mut occupancy = self.0.lock();
        let places = occupancy.limits.map_or(usize::MAX, |l| l.slots + l.queue);
        if occupancy.running + occupancy.waiting >= places {
            return None;
        }
        occupancy.waiting += 1;
        Some(QueuedRequest(self.clone()))
    }

    fn try_run(&self) -> Option<RunningRequest> {
        let mut occupancy = self.0.lock();
        let slots = occupancy.limits.map_or(usize::MAX, |limits| limits.slots);
        if occupancy.running >= slots {
            return None;
        }
        occupancy.running += 1;
        Some(RunningRequest(self.clone()))
    }
}
