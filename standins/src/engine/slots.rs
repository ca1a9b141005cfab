//! Slots of the engine and the queue for them, with a load history for delayed load reports.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use super::unix_time_ms;

/// Load at one point in time.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    at: Instant,
    /// Wall-clock time of the sample, in ms since the Unix epoch.
    pub as_of_ms: u64,
    /// Number of requests that occupy a slot.
    pub running: u32,
    /// Number of requests that wait for a slot.
    pub waiting: u32,
}

#[derive(Debug)]
struct Waiter {
    priority: u8,
    number: u64,
    grant: async_channel::Sender<Permit>,
}

#[derive(Debug)]
struct Inner {
    slots: u32,
    running: u32,
    next_number: u64,
    waiters: Vec<Waiter>,
    lag: Duration,
    history: VecDeque<Sample>,
}

impl Inner {
    fn sample(&self) -> Sample {
        Sample {
            at: Instant::now(),
            as_of_ms: unix_time_ms(),
            running: self.running,
            waiting: self.waiters.len() as u32,
        }
    }

    /// Records the load after a change and discards the samples that are too old for any report.
    fn record(&mut self) {
        let sample = self.sample();
        self.history.push_back(sample);
        while self.history.len() > 1 && self.history[1].at.elapsed() >= self.lag {
            self.history.pop_front();
        }
    }

    fn pop_waiter(&mut self) -> Option<Waiter> {
        let key = |waiter: &Waiter| (std::cmp::Reverse(waiter.priority), waiter.number);
        let first = (0..self.waiters.len()).min_by_key(|i| key(&self.waiters[*i]))?;
        Some(self.waiters.swap_remove(first))
    }
}

/// Slots of an engine.
#[derive(Debug, Clone)]
pub struct Slots(Arc<Mutex<Inner>>);

/// An occupied slot. Dropping it grants the slot to the next request in the queue.
#[derive(Debug)]
pub struct Permit(Slots);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.release();
    }
}

/// Removes a request from the queue when its wait ends or is cancelled.
struct QueueGuard<'a> {
    slots: &'a Slots,
    number: u64,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let mut inner = self.slots.0.lock();
        inner.waiters.retain(|waiter| waiter.number != self.number);
        inner.record();
    }
}

impl Slots {
    /// Creates `slots` free slots whose load reports are delayed by `lag`.
    pub fn new(slots: u32, lag: Duration) -> Self {
        let inner = Inner {
            slots,
            running: 0,
            next_number: 0,
            waiters: Vec::new(),
            lag,
            history: VecDeque::new(),
        };
        let slots = Self(Arc::new(Mutex::new(inner)));
        slots.0.lock().record();
        slots
    }

    /// Waits for a slot; requests with a higher `priority` number are served first.
    pub async fn acquire(&self, priority: u8) -> Permit {
        let (grant, granted) = async_channel::bounded(1);
        let number = {
            let mut inner = self.0.lock();
            if inner.running < inner.slots {
                inner.running += 1;
                inner.record();
                return Permit(self.clone());
            }
            inner.next_number += 1;
            let number = inner.next_number;
            inner.waiters.push(Waiter {
                priority,
                number,
                grant,
            });
            inner.record();
            number
        };
        let _guard = QueueGuard {
            slots: self,
            number,
        };
        match granted.recv().await {
            Ok(permit) => permit,
            Err(_) => std::future::pending().await,
        }
    }

    fn release(&self) {
        let waiter = {
            let mut inner = self.0.lock();
            let waiter = inner.pop_waiter();
            if waiter.is_none() {
                inner.running -= 1;
            }
            inner.record();
            waiter
        };
        if let Some(waiter) = waiter {
            // If the waiter was cancelled in the meantime, the permit is dropped here, which grants
            // the slot to the next waiter.
            let _ = waiter.grant.try_send(Permit(self.clone()));
        }
    }

    /// Current number of running and of waiting requests.
    pub fn current(&self) -> (u32, u32) {
        let sample = self.0.lock().sample();
        (sample.running, sample.waiting)
    }

    /// Newest load that is at least as old as the lag; zero if there is none.
    pub fn report(&self) -> Sample {
        let inner = self.0.lock();
        if inner.lag.is_zero() {
            return inner.sample();
        }
        let newest_first = inner.history.iter().rev();
        let mut old_enough = newest_first.filter(|sample| sample.at.elapsed() >= inner.lag);
        match old_enough.next() {
            Some(sample) => Sample {
                as_of_ms: unix_time_ms().saturating_sub(inner.lag.as_millis() as u64),
                ..*sample
            },
            None => Sample {
                running: 0,
                waiting: 0,
                ..inner.sample()
            },
        }
    }
}
