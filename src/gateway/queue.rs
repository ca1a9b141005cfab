//! Requests that wait in this router for capacity of their service, and what it has learned of that
//! capacity. `decide::wait_queue`, `decide::learned_capacity` and `decide::admission_level` decide;
//! this module wakes the waiting requests.

#[cfg(test)]
mod tests;

use std::sync::{Arc, Weak};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use indexmap::IndexMap;
use parking_lot::Mutex;
use serde_json::{Value, json};

use crate::decide::admission_level::AdmissionLevels;
use crate::decide::learned_capacity::{LearnedCapacity, Permit};
use crate::decide::wait_queue::{Refused, Ticket, WaitQueue, Waiting};
use crate::edge::clock::Clock;
use crate::gateway::state::State;
use crate::ids::{RequestId, ServiceId};

/// Longest time between two offers to a waiting request: other routers' requests end unseen by this
/// one.
const OFFER_INTERVAL_MS: u64 = 50;
/// Share of the process's memory for the waiting requests of one service. The budget of request bodies
/// bounds those of all services together.
const MEMORY_DIVISOR: usize = 8;
/// Fixed part of the memory of a waiting request: its headers, its future and its connection.
const REQUEST_BYTES: usize = 8 * 1024;

/// Queues of all services. Clones share the same state.
#[derive(Clone)]
pub struct Queues(Arc<Shared>);

struct Shared {
    clock: Arc<dyn Clock>,
    bytes_max: usize,
    services: Mutex<IndexMap<ServiceId, ServiceQueue>>,
}

struct ServiceQueue {
    queue: WaitQueue,
    capacity: LearnedCapacity,
    levels: AdmissionLevels,
    wakers: IndexMap<Ticket, Waker>,
    /// The request that was offered a place last; it has the timer.
    last_offered: Option<Ticket>,
}

struct Waker {
    sender: Sender<()>,
    /// Whether it was offered a place and has not selected a server since.
    is_offered: bool,
    /// Whether that place is one that a request of this router has left.
    is_own_place: bool,
}

impl ServiceQueue {
    fn new(bytes_max: usize) -> Self {
        Self {
            queue: WaitQueue::new(bytes_max),
            capacity: LearnedCapacity::default(),
            levels: AdmissionLevels::default(),
            wakers: IndexMap::new(),
            last_offered: None,
        }
    }

    /// Records that no server was selected after an offer.
    fn decline_offer(&mut self, ticket: Ticket, now_ms: u64) {
        if let Some(waker) = self.wakers.get_mut(&ticket) {
            waker.is_offered = false;
        }
        // A less urgent request is placed up to a lower level of load, so that a more urgent one may
        // find a place where this one did not.
        if !self.queue.is_most_urgent(ticket) {
            self.offer_next(false, now_ms);
        }
    }

    /// Wakes the next request. One that has not yet selected a server since its last offer uses this
    /// place too, and then offers the next.
    fn offer_next(&mut self, is_own_place: bool, now_ms: u64) {
        let Some(ticket) = self.queue.next(now_ms) else {
            self.last_offered = None;
            return;
        };
        self.last_offered = Some(ticket);
        if let Some(waker) = self.wakers.get_mut(&ticket) {
            waker.is_offered = true;
            waker.is_own_place |= is_own_place;
            // It fails if the request was woken before, or is being dropped.
            let _ = waker.sender.try_send(());
        }
    }
}

/// Why a waiting request was woken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Woken {
    /// It is to select a server. A place that a request of this router has left is not one that other
    /// routers count on.
    Offered { is_own_place: bool },
    /// It has waited as long as it may.
    TimedOut,
    /// A stop has begun.
    Stopping,
}

/// A request in the queue. Dropping it removes the request, such as when its caller has gone.
pub struct Place {
    state: Arc<State>,
    id: RequestId,
    service: ServiceId,
    ticket: Ticket,
    receiver: Receiver<()>,
    entered_ms: u64,
    leave_ms: u64,
    outcome: Outcome,
}

/// How a request leaves the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A server was selected for it.
    Placed,
    /// It waited as long as it may.
    TimedOut,
    /// A stop has begun.
    Stopping,
    /// It cannot be served for a reason other than capacity.
    Unservable,
    /// Its caller has closed the connection.
    CallerGone,
}

impl Outcome {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Placed => "placed",
            Self::TimedOut => "timed_out",
            Self::Stopping => "stopping",
            Self::Unservable => "unservable",
            Self::CallerGone => "caller_gone",
        }
    }
}

/// Guard of a request in progress at a server; dropping it offers its place to the next one.
pub struct RunGuard {
    shared: Weak<Shared>,
    service: ServiceId,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if let Some(shared) = self.shared.upgrade() {
            Queues(shared).offer_own_place(&self.service);
        }
    }
}

impl Queues {
    /// Creates no queues yet; each of them will hold a part of the process's memory at most.
    pub fn new(clock: Arc<dyn Clock>, memory_bytes: usize) -> Self {
        Self(Arc::new(Shared {
            clock,
            bytes_max: memory_bytes / MEMORY_DIVISOR,
            services: Mutex::default(),
        }))
    }

    fn now_ms(&self) -> u64 {
        self.0.clock.monotonic_ms()
    }

    fn with_service<T, C>(&self, service: &ServiceId, change: C) -> T
    where
        C: FnOnce(&mut ServiceQueue) -> T,
    {
        let mut services = self.0.services.lock();
        if let Some(known) = services.get_mut(service) {
            return change(known);
        }
        let new = ServiceQueue::new(self.0.bytes_max);
        change(services.entry(service.clone()).or_insert(new))
    }

    /// Adds a request to the queue of its service.
    fn push(
        &self,
        service: &ServiceId,
        waiting: Waiting,
        sender: Sender<()>,
    ) -> Result<Ticket, Refused> {
        let now_ms = self.now_ms();
        let waiting = Waiting {
            bytes: waiting.bytes + REQUEST_BYTES,
            ..waiting
        };
        self.with_service(service, |known| {
            let ticket = known.queue.push(waiting, now_ms, rand::random())?;
            let waker = Waker {
                sender,
                is_offered: false,
                is_own_place: false,
            };
            known.wakers.insert(ticket, waker);
            if known.last_offered.is_none() {
                known.last_offered = Some(ticket);
            }
            Ok(ticket)
        })
    }

    /// Pause of a caller whose request has waited in vain.
    pub fn refusal(&self, service: &ServiceId, waiting: &Waiting) -> Refused {
        let now_ms = self.now_ms();
        let draw = rand::random();
        self.with_service(service, |known| known.queue.refusal(waiting, now_ms, draw))
    }

    /// Whether a request that arrives is to wait behind others.
    pub fn has_as_urgent(&self, service: &ServiceId, priority: u32) -> bool {
        self.with_service(service, |known| known.queue.has_as_urgent(priority))
    }

    /// Offers a place to the next request of a service.
    pub fn offer_next(&self, service: &ServiceId) {
        let now_ms = self.now_ms();
        if let Some(known) = self.0.services.lock().get_mut(service) {
            known.offer_next(false, now_ms);
        }
    }

    /// Offers the place that a request of this router has left.
    fn offer_own_place(&self, service: &ServiceId) {
        let now_ms = self.now_ms();
        if let Some(known) = self.0.services.lock().get_mut(service) {
            known.offer_next(true, now_ms);
        }
    }

    /// Wakes all waiting requests, when a stop begins.
    pub fn wake_all(&self) {
        for known in self.0.services.lock().values() {
            for waker in known.wakers.values() {
                let _ = waker.sender.try_send(());
            }
        }
    }

    /// Guard of a request that is sent to a server now.
    pub fn start_run(&self, service: &ServiceId) -> RunGuard {
        RunGuard {
            shared: Arc::downgrade(&self.0),
            service: service.clone(),
        }
    }

    /// Whether the learned rate allows a request now. `slots_share` is the number of the service's slots
    /// divided by that of the routers.
    pub fn permit(&self, service: &ServiceId, slots_share: f64) -> Permit {
        let now_ms = self.now_ms();
        self.with_service(service, |known| {
            known.capacity.set_slots_share(slots_share);
            known.capacity.permit(now_ms)
        })
    }

    /// Records that a request is sent to a server of a service.
    pub fn record_sent(&self, service: &ServiceId) {
        let now_ms = self.now_ms();
        self.with_service(service, |known| known.capacity.record_sent(now_ms));
    }

    /// Records that a request which did not wait was placed, of a team and with this work.
    pub fn record_placed(&self, service: &ServiceId, team: u64, work: f64) {
        let now_ms = self.now_ms();
        self.with_service(service, |known| {
            known.queue.record_placed(team, work, now_ms);
        });
    }

    /// Records that a server that does not report load completed a request.
    pub fn record_completion(&self, service: &ServiceId, run_ms: u64, target_ms: u64) {
        let now_ms = self.now_ms();
        self.change_capacity(service, |capacity| {
            capacity.record_completion(run_ms, target_ms, now_ms);
        });
    }

    /// Records that a server that does not report load declined a request.
    pub fn record_decline(&self, service: &ServiceId) {
        let now_ms = self.now_ms();
        self.change_capacity(service, |capacity| capacity.record_decline(now_ms));
    }

    /// Logs when a rate comes into force or is given up.
    fn change_capacity<C>(&self, service: &ServiceId, change: C)
    where
        C: FnOnce(&mut LearnedCapacity),
    {
        let (before, after) = self.with_service(service, |known| {
            let before = known.capacity.rate_per_s();
            change(&mut known.capacity);
            (before, known.capacity.rate_per_s())
        });
        if before.is_some() != after.is_some() {
            log::info!(
                "event=learned_rate service={service} per_s={}",
                after.map_or("-".to_owned(), |rate| format!("{rate:.1}")),
            );
        }
    }

    /// Requests per slot up to which a request of this priority may be placed.
    pub fn full_per_slot(&self, service: &ServiceId, priority: u32) -> f64 {
        self.with_service(service, |known| known.levels.full_per_slot(priority))
    }

    /// Records whether a request found a place when it was first offered one.
    pub fn record_first_offer(&self, service: &ServiceId, priority: u32, is_placed: bool) {
        let now_ms = self.now_ms();
        self.with_service(service, |known| {
            known.levels.record(priority, is_placed, now_ms);
        });
    }

    /// Waiting requests and learned rates by service, for operators.
    pub fn dump(&self) -> Value {
        let services = self.0.services.lock();
        let rows = services.iter().map(|(service, known)| {
            json!({
                "service": service,
                "waiting": known.queue.len(),
                "learned_rate_per_s": known.capacity.rate_per_s(),
            })
        });
        rows.collect()
    }
}

impl Place {
    /// Adds a request to the queue of its service, with the memory of its body in `waiting`.
    pub fn enter(
        state: &Arc<State>,
        id: &RequestId,
        service: &ServiceId,
        waiting: Waiting,
    ) -> Result<Self, Refused> {
        let (sender, receiver) = async_channel::bounded(1);
        let ticket = state.queues.push(service, waiting, sender)?;
        state.metrics.add_waiting(1);
        Ok(Self {
            id: id.clone(),
            service: service.clone(),
            ticket,
            receiver,
            entered_ms: state.now_ms(),
            leave_ms: waiting.leave_ms(),
            outcome: Outcome::CallerGone,
            state: Arc::clone(state),
        })
    }

    /// Waits until the request is to select a server, has waited as long as it may, or a stop begins.
    /// `retry_ms` is when a place can be had without an event, if that is known.
    pub async fn wait(&self, retry_ms: Option<u64>) -> Woken {
        let mut retry_ms = retry_ms;
        let mut is_offered = false;
        loop {
            let now_ms = self.state.queues.now_ms();
            // A stop that began before the request entered has not woken it, and a process that was
            // paused may find an offer and the end of the wait at the same time.
            if self.state.is_stopping() {
                return Woken::Stopping;
            }
            if now_ms >= self.leave_ms {
                return Woken::TimedOut;
            }
            if is_offered {
                return Woken::Offered {
                    is_own_place: self.take_own_place(),
                };
            }
            let is_last_offered = self.state.queues.with_service(&self.service, |known| {
                known.last_offered == Some(self.ticket)
            });
            let next_ms = retry_ms.take().unwrap_or(now_ms + OFFER_INTERVAL_MS);
            let until_ms = match is_last_offered {
                true => next_ms.min(now_ms + OFFER_INTERVAL_MS).min(self.leave_ms),
                false => self.leave_ms,
            };
            let timer = async {
                smol::Timer::after(Duration::from_millis(until_ms.saturating_sub(now_ms))).await;
                false
            };
            let woken = async { self.receiver.recv().await.is_ok() };
            is_offered = woken.or(timer).await;
            if is_last_offered && !is_offered {
                self.state.queues.offer_next(&self.service);
            }
        }
    }

    /// Whether the offer is of a place that a request of this router has left; true once.
    fn take_own_place(&self) -> bool {
        self.state.queues.with_service(&self.service, |known| {
            let waker = known.wakers.get_mut(&self.ticket);
            waker.is_some_and(|waker| std::mem::take(&mut waker.is_own_place))
        })
    }

    /// Records that no server was selected after an offer.
    pub fn decline_offer(&self) {
        let now_ms = self.state.queues.now_ms();
        self.state.queues.with_service(&self.service, |known| {
            known.decline_offer(self.ticket, now_ms);
        });
    }

    /// Leaves the queue; returns the time waited.
    pub fn leave(mut self, outcome: Outcome) -> u64 {
        let now_ms = self.state.now_ms();
        self.outcome = outcome;
        if outcome == Outcome::Placed {
            self.state.queues.with_service(&self.service, |known| {
                known.queue.place(self.ticket, now_ms);
            });
        }
        now_ms.saturating_sub(self.entered_ms)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let now_ms = self.state.queues.now_ms();
        self.state.queues.with_service(&self.service, |known| {
            known.queue.remove(self.ticket);
            let waker = known.wakers.swap_remove(&self.ticket);
            // The next one gets the place that this one was offered, or tries for a further one after
            // this one was placed.
            let is_own_place = waker.as_ref().is_some_and(|waker| waker.is_own_place);
            let is_offered = waker.is_some_and(|waker| waker.is_offered);
            if known.last_offered == Some(self.ticket) || is_offered {
                known.offer_next(is_own_place, now_ms);
            }
        });
        let waited_ms = now_ms.saturating_sub(self.entered_ms);
        let outcome = self.outcome.as_str();
        self.state.metrics.add_waiting(-1);
        self.state.metrics.record_wait(outcome, waited_ms);
        if self.outcome != Outcome::Placed {
            log::info!(
                "event=queue_left id={} service={} reason={outcome} queue_ms={waited_ms}",
                self.id,
                self.service,
            );
        }
    }
}
