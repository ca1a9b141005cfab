//! The queue of one service in one router: requests for which there is no capacity.
//!
//! Answers the loads of five times the usual traffic for ten seconds, and of one team at ten times its
//! usual traffic. Requests are ordered by priority, then by the work that their teams were served,
//! then by their deadlines, those last that have missed their latency target. A request that would
//! wait too long is refused on arrival: its caller may still return in time.

#[cfg(test)]
mod tests;

use indexmap::IndexMap;

/// Most requests in a queue. A small router places fewer than this in the longest wait.
const REQUESTS_MAX: usize = 256;
/// Weight of a new interval in the mean time between two placements.
const INTERVAL_WEIGHT: f64 = 0.2;
/// Time without waiting requests after which the measured drain rate says nothing of the next ones.
const INTERVAL_KEEP_MS: u64 = 2_000;
/// Share of the latency target for which a request may be expected to wait; the rest is for its run.
const WAIT_TARGET_DIVISOR: u64 = 2;
/// Longest wait in latency targets. An answer after that is worth little, and a caller that is
/// refused then can still return before its deadline.
const WAIT_TARGETS_MAX: u64 = 2;
/// Time over which the work served to a team counts. Teams with little work are served before one that
/// sends many times its share, also when they had no requests for a while.
const SERVED_WINDOW_MS: f64 = 5_000.0;
/// Teams that are remembered, beyond which those with almost no work lately are forgotten.
const TEAMS_MAX: usize = 256;
const SERVED_MIN: f64 = 0.01;
/// One in so many placements is that of a less urgent request than the first, so that none is starved.
const LESS_URGENT_INTERVAL: u32 = 8;
/// Shortest pause for a refused caller.
const RETRY_MIN_MS: u64 = 250;

/// Number of a waiting request, in the order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// A request that is to wait.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Waiting {
    /// 0 is the most urgent.
    pub priority: u32,
    /// Hash of the team's name.
    pub team: u64,
    /// Work that the request brings, in units of the service's usual request.
    pub work: f64,
    /// Memory that it holds while it waits.
    pub bytes: usize,
    pub arrived_ms: u64,
    pub latency_target_ms: u64,
    /// Time from which it can no longer be served before its caller's deadline.
    pub deadline_ms: u64,
}

impl Waiting {
    /// Time at which it leaves the queue if it has not been placed.
    ///
    /// ```
    /// use jujubeusher::decide::wait_queue::Waiting;
    /// let waiting = Waiting { priority: 0, team: 1, work: 1.0, bytes: 100, arrived_ms: 50,
    ///     latency_target_ms: 400, deadline_ms: 10_000 };
    /// assert_eq!(waiting.leave_ms(), 850);
    /// assert_eq!(Waiting { deadline_ms: 500, ..waiting }.leave_ms(), 500);
    /// ```
    pub fn leave_ms(&self) -> u64 {
        let longest_ms = WAIT_TARGETS_MAX.saturating_mul(self.latency_target_ms);
        let longest_end_ms = self.arrived_ms.saturating_add(longest_ms);
        self.deadline_ms.min(longest_end_ms)
    }

    fn allowed_wait_ms(&self) -> u64 {
        let target_ms = self.latency_target_ms / WAIT_TARGET_DIVISOR;
        target_ms.min(self.deadline_ms.saturating_sub(self.arrived_ms))
    }

    fn is_late(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.arrived_ms) > self.latency_target_ms
    }
}

/// A request was refused on arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// Time after which room is expected, spread between callers.
    pub retry_after_ms: u64,
}

/// Work served to one team, in which earlier work counts less.
#[derive(Debug, Clone, Copy, Default)]
struct Served {
    work: f64,
    as_of_ms: u64,
}

impl Served {
    fn work_at(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.as_of_ms) as f64;
        self.work * (-elapsed_ms / SERVED_WINDOW_MS).exp()
    }
}

/// The waiting requests of one service.
#[derive(Debug, Clone)]
pub struct WaitQueue {
    bytes_max: usize,
    bytes: usize,
    next_ticket: u64,
    entries: IndexMap<Ticket, Waiting>,
    /// Work served to each team lately.
    served: IndexMap<u64, Served>,
    /// Mean time between two placements while requests wait.
    interval_ms: Option<f64>,
    /// Time of the last placement, or from which requests wait.
    drained_ms: u64,
    /// Placements since the last one of a less urgent request than the first.
    turns: u32,
    is_turn_offered: bool,
}

impl WaitQueue {
    /// Creates an empty queue that holds so many bytes at most.
    pub fn new(bytes_max: usize) -> Self {
        Self {
            bytes_max,
            bytes: 0,
            next_ticket: 0,
            entries: IndexMap::new(),
            served: IndexMap::new(),
            interval_ms: None,
            drained_ms: 0,
            turns: 0,
            is_turn_offered: false,
        }
    }

    /// Adds a request, unless it is expected to wait too long or the queue is full. `draw`, from 0 to
    /// 1, spreads the returns of refused callers.
    ///
    /// ```
    /// use jujubeusher::decide::wait_queue::{WaitQueue, Waiting};
    /// let mut queue = WaitQueue::new(1_000);
    /// let waiting = Waiting { priority: 0, team: 1, work: 1.0, bytes: 600, arrived_ms: 0,
    ///     latency_target_ms: 400, deadline_ms: 10_000 };
    /// let ticket = queue.push(waiting, 0, 0.5).unwrap();
    /// assert!(queue.push(waiting, 0, 0.5).is_err());
    /// assert_eq!(queue.next(0), Some(ticket));
    /// ```
    pub fn push(&mut self, waiting: Waiting, now_ms: u64, draw: f64) -> Result<Ticket, Refused> {
        let wait_ms = self.expected_wait_ms(&waiting, now_ms);
        let is_full =
            self.entries.len() >= REQUESTS_MAX || self.bytes + waiting.bytes > self.bytes_max;
        let is_too_long = wait_ms.is_some_and(|wait_ms| wait_ms > waiting.allowed_wait_ms());
        if is_full || is_too_long || waiting.leave_ms() <= now_ms {
            return Err(self.refusal(&waiting, now_ms, draw));
        }
        if self.entries.is_empty() {
            if now_ms >= self.drained_ms + INTERVAL_KEEP_MS {
                self.interval_ms = None;
            }
            self.drained_ms = now_ms;
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.bytes += waiting.bytes;
        self.entries.insert(ticket, waiting);
        Ok(ticket)
    }

    /// The pause of a caller that is refused now.
    pub fn refusal(&self, waiting: &Waiting, now_ms: u64, draw: f64) -> Refused {
        let wait_ms = self.expected_wait_ms(waiting, now_ms).unwrap_or(0);
        // Room for a request like this one is expected once the wait is as short as it may be.
        let room_ms = wait_ms.saturating_sub(waiting.allowed_wait_ms());
        let lowest_ms = room_ms.max(RETRY_MIN_MS) as f64;
        Refused {
            retry_after_ms: (lowest_ms * (1.0 + draw)) as u64,
        }
    }

    /// The request that is to be offered a place next; it stays in the queue.
    pub fn next(&mut self, now_ms: u64) -> Option<Ticket> {
        let mut priorities = self.entries.values().map(|entry| entry.priority);
        let first = priorities.clone().min()?;
        // That of the one that has waited longest: the next priority would starve those after it.
        let less_urgent = priorities.find(|priority| *priority > first);
        // A less urgent request may find no place where a more urgent one does, so that offers
        // alternate until the less urgent one is placed.
        let is_turn = self.turns + 1 >= LESS_URGENT_INTERVAL && !self.is_turn_offered;
        let priority = match less_urgent {
            Some(priority) if is_turn => priority,
            _ => first,
        };
        self.is_turn_offered = is_turn;
        let candidates = self.entries.iter();
        let candidates = candidates.filter(|(_, entry)| entry.priority == priority);
        let rank = |(ticket, entry): &(&Ticket, &Waiting)| {
            let served = self.served_work(entry.team, now_ms);
            (served, entry.is_late(now_ms), entry.deadline_ms, **ticket)
        };
        let first = candidates.min_by(|a, b| {
            let (a, b) = (rank(a), rank(b));
            let others = (a.1, a.2, a.3).cmp(&(b.1, b.2, b.3));
            a.0.total_cmp(&b.0).then(others)
        });
        first.map(|(ticket, _)| *ticket)
    }

    /// Whether no waiting request is more urgent than this one.
    pub fn is_most_urgent(&self, ticket: Ticket) -> bool {
        let entry = self.entries.get(&ticket);
        entry.is_none_or(|entry| {
            let mut others = self.entries.values();
            others.all(|other| other.priority >= entry.priority)
        })
    }

    /// Removes a request that was placed.
    pub fn place(&mut self, ticket: Ticket, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.drained_ms) as f64;
        let first = self.entries.values().map(|entry| entry.priority).min();
        if let Some(entry) = self.remove(ticket) {
            self.turns = match first.is_some_and(|first| first < entry.priority) {
                true => 0,
                false => self.turns.saturating_add(1),
            };
            let mean_ms = self.interval_ms.get_or_insert(elapsed_ms);
            *mean_ms += (elapsed_ms - *mean_ms) * INTERVAL_WEIGHT;
            self.drained_ms = now_ms;
            self.record_placed(entry.team, entry.work, now_ms);
        }
    }

    /// Records that a request was placed that may not have waited.
    pub fn record_placed(&mut self, team: u64, work: f64, now_ms: u64) {
        let known = self.served.get(&team).copied().unwrap_or_default();
        let served = Served {
            work: known.work_at(now_ms) + work,
            as_of_ms: now_ms,
        };
        self.served.insert(team, served);
        if self.served.len() > TEAMS_MAX {
            self.served.retain(|_, s| s.work_at(now_ms) >= SERVED_MIN);
        }
    }

    /// Removes a request, placed or not.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let entry = self.entries.shift_remove(&ticket)?;
        self.bytes -= entry.bytes;
        Some(entry)
    }

    /// Whether a request of this priority is to wait behind one that waits already.
    pub fn has_as_urgent(&self, priority: u32) -> bool {
        self.entries
            .values()
            .any(|entry| entry.priority <= priority)
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Expected wait of a new request; `None` if the drain rate is not known. The first request of a
    /// queue always waits, since the rate can be measured only while one does.
    fn expected_wait_ms(&self, new: &Waiting, now_ms: u64) -> Option<u64> {
        let ahead = self.ahead_of(new, now_ms);
        let interval_ms = self.interval_ms.filter(|_| ahead > 0)?;
        let elapsed_ms = now_ms.saturating_sub(self.drained_ms) as f64;
        Some((interval_ms.max(elapsed_ms) * (ahead as f64 + 1.0)) as u64)
    }

    /// Number of waiting requests that would be placed before a new one.
    fn ahead_of(&self, new: &Waiting, now_ms: u64) -> usize {
        let is_own = |entry: &&Waiting| entry.priority == new.priority && entry.team == new.team;
        let is_before =
            |entry: &&Waiting| !entry.is_late(now_ms) && entry.deadline_ms <= new.deadline_ms;
        let own = self.entries.values().filter(is_own).filter(is_before);
        let (own_count, own_work) = own.fold((0, 0.0), |(n, work), e| (n + 1, work + e.work));
        let start = self.served_work(new.team, now_ms) + own_work;
        let mut reached: IndexMap<u64, f64> = IndexMap::new();
        let mut others = 0;
        for entry in self.entries.values() {
            if entry.priority < new.priority {
                others += 1;
            } else if entry.priority == new.priority && entry.team != new.team {
                let served = reached
                    .entry(entry.team)
                    .or_insert_with(|| self.served_work(entry.team, now_ms));
                others += usize::from(*served <= start);
                *served += entry.work;
            }
        }
        own_count + others
    }

    fn served_work(&self, team: u64, now_ms: u64) -> f64 {
        self.served.get(&team).map_or(0.0, |s| s.work_at(now_ms))
    }
}
