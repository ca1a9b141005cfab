//! Division of a process's memory among the requests and responses that it holds.
//!
//! Answers the load of untrusted callers: many bodies of legal size at once, most of which stop just
//! short of their end, and responses without end. Each holder alone is within its limit; the sum
//! must stay within the memory of a small host.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::decide::memory_plan::{MemoryPlan, SMALL_MAX_BYTES};

/// Time without progress after which a body that is being received may be refused, if others wait for
/// its room. A sixth of the time for a whole body.
pub const STALL_MS: u64 = 500;
/// Bytes after which a body counts as having progressed: with [`STALL_MS`] at least 32 KB/s, which a
/// link of 10 Mbit/s carries for 38 bodies at once.
pub const PROGRESS_BYTES: usize = 16 * 1024;

/// What a holder's bytes belong to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// A body of a request, from its first byte until no attempt can need it.
    Request,
    /// A response, or an incomplete event of a stream. Its request has run, so it has room of its
    /// own, which requests cannot use up.
    Response,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pool {
    SmallRequests,
    LargeRequests,
    SmallResponses,
    LargeResponses,
}

impl Pool {
    const COUNT: usize = 4;

    /// The pools in which a holder of so many bytes may be, in the order in which they are tried.
    fn for_bytes(purpose: Purpose, bytes: usize) -> &'static [Self] {
        match (purpose, bytes <= SMALL_MAX_BYTES) {
            (Purpose::Request, true) => &[Self::SmallRequests, Self::LargeRequests],
            (Purpose::Request, false) => &[Self::LargeRequests],
            (Purpose::Response, true) => &[Self::SmallResponses, Self::LargeResponses],
            (Purpose::Response, false) => &[Self::LargeResponses],
        }
    }
}

/// Number of a holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct HolderId(u64);

/// Answer to a body that needs room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Room {
    /// The room is held.
    Held,
    /// There is none now. The body must not be read on until there is.
    Wait,
    /// The body was refused to make room for others.
    Refused,
}

#[derive(Debug)]
struct Holder {
    purpose: Purpose,
    pool: Pool,
    held_bytes: usize,
    /// Bytes that it waits for, in all.
    wanted_bytes: Option<usize>,
    is_receiving: bool,
    is_refused: bool,
    /// Time at which it got its room, or had progressed by [`PROGRESS_BYTES`] since.
    progress_ms: u64,
    /// Time at which it got its room, or a part of it arrived since.
    received_ms: u64,
}

/// The memory that requests and responses hold.
///
/// ```
/// use jujubeusher::decide::memory_budget::{MemoryBudget, Purpose, Room};
/// let mut budget = MemoryBudget::new(16 << 20);
/// let (first, second) = (budget.open(Purpose::Request, 0), budget.open(Purpose::Request, 0));
/// assert_eq!(budget.claim(first, 4 << 20, 0), Room::Held);
/// assert_eq!(budget.claim(second, 4 << 20, 0), Room::Wait);
/// assert_eq!(budget.close(first, 10), [second]);
/// assert_eq!(budget.claim(second, 4 << 20, 10), Room::Held);
/// ```
#[derive(Debug)]
pub struct MemoryBudget {
    max_bytes: [usize; Pool::COUNT],
    used_bytes: [usize; Pool::COUNT],
    holders: IndexMap<HolderId, Holder>,
    waiting: VecDeque<HolderId>,
    next_id: u64,
}

impl MemoryBudget {
    /// A budget for a process that may use `memory_bytes`, of which it gives out the shares for requests
    /// and responses.
    pub fn new(memory_bytes: usize) -> Self {
        let plan = MemoryPlan::new(memory_bytes);
        Self {
            max_bytes: [
                plan.small_requests_bytes,
                plan.large_requests_bytes,
                plan.small_responses_bytes,
                plan.large_responses_bytes,
            ],
            used_bytes: [0; Pool::COUNT],
            holders: IndexMap::new(),
            waiting: VecDeque::new(),
            next_id: 0,
        }
    }

    /// Bytes held for a purpose.
    pub fn used_bytes(&self, purpose: Purpose) -> usize {
        let pools = Pool::for_bytes(purpose, 0);
        pools
            .iter()
            .map(|pool| self.used_bytes[*pool as usize])
            .sum()
    }

    /// Adds a holder without bytes.
    pub fn open(&mut self, purpose: Purpose, now_ms: u64) -> HolderId {
        let id = HolderId(self.next_id);
        self.next_id += 1;
        let holder = Holder {
            purpose,
            pool: Pool::for_bytes(purpose, 0)[0],
            held_bytes: 0,
            wanted_bytes: None,
            is_receiving: purpose == Purpose::Request,
            is_refused: false,
            progress_ms: now_ms,
            received_ms: now_ms,
        };
        self.holders.insert(id, holder);
        id
    }

    /// Holds room for a response whose request has not been sent; false if there is none. Half of the
    /// share of large responses is left to those that grow: one without room is lost, while a request
    /// that was not sent can be refused.
    pub fn try_reserve(&mut self, id: HolderId, bytes: usize) -> bool {
        let large = Pool::LargeResponses as usize;
        let small = Pool::SmallResponses as usize;
        let has_room = self.used_bytes[small] + bytes <= self.max_bytes[small]
            || self.used_bytes[large] + bytes <= self.max_bytes[large] / 2;
        has_room && self.try_hold(id, bytes)
    }

    /// Changes what a holder holds to `bytes` in all; false if there is no room.
    pub fn try_hold(&mut self, id: HolderId, bytes: usize) -> bool {
        let Some(holder) = self.holders.get(&id) else {
            return false;
        };
        let (pool, held_bytes) = (holder.pool, holder.held_bytes);
        if bytes <= held_bytes {
            self.used_bytes[pool as usize] -= held_bytes - bytes;
            self.holders[&id].held_bytes = bytes;
            return true;
        }
        let others = |other: Pool| {
            let own_bytes = if other == pool { held_bytes } else { 0 };
            self.used_bytes[other as usize] - own_bytes
        };
        let has_room = |other: Pool| {
            // A body larger than the whole share is received if it is the only large one.
            let is_only = other == Pool::LargeRequests && others(other) == 0;
            let sum = others(other).checked_add(bytes);
            is_only || sum.is_some_and(|sum| sum <= self.max_bytes[other as usize])
        };
        let pools = Pool::for_bytes(holder.purpose, bytes);
        let Some(new) = pools.iter().copied().find(|pool| has_room(*pool)) else {
            return false;
        };
        self.used_bytes[pool as usize] -= held_bytes;
        self.used_bytes[new as usize] += bytes;
        let holder = &mut self.holders[&id];
        holder.pool = new;
        holder.held_bytes = bytes;
        true
    }

    /// Asks for room for `bytes` in all, and again until it is held. Holders that wait get room in the
    /// order in which they asked first.
    pub fn claim(&mut self, id: HolderId, bytes: usize, now_ms: u64) -> Room {
        match self.holders.get(&id) {
            Some(holder) if !holder.is_refused && holder.held_bytes >= bytes => return Room::Held,
            Some(holder) if !holder.is_refused => {}
            _ => return Room::Refused,
        }
        let is_first = self.waiting.front().is_none_or(|first| *first == id);
        let is_small = bytes <= SMALL_MAX_BYTES;
        if (is_first || is_small) && self.try_grant(id, bytes, now_ms) {
            self.waiting.retain(|waiting| *waiting != id);
            return Room::Held;
        }
        let holder = &mut self.holders[&id];
        if holder.wanted_bytes.replace(bytes).is_none() {
            self.waiting.push_back(id);
        }
        Room::Wait
    }

    /// Whether the holder waits for room.
    pub fn is_waiting(&self, id: HolderId) -> bool {
        let holder = self.holders.get(&id);
        holder.is_some_and(|holder| holder.wanted_bytes.is_some())
    }

    /// Whether the holder has waited for room for longest.
    pub fn is_first_waiting(&self, id: HolderId) -> bool {
        self.waiting.front() == Some(&id)
    }

    /// Records that a part of a body has arrived.
    pub fn record_part(&mut self, id: HolderId, now_ms: u64) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.received_ms = now_ms;
        }
    }

    /// Records that a body has progressed; false if it was refused.
    pub fn record_progress(&mut self, id: HolderId, now_ms: u64) -> bool {
        self.record_part(id, now_ms);
        let Some(holder) = self.holders.get_mut(&id) else {
            return false;
        };
        holder.progress_ms = now_ms;
        !holder.is_refused
    }

    /// Whether the holder was refused to make room for others.
    pub fn is_refused(&self, id: HolderId) -> bool {
        self.holders.get(&id).is_none_or(|holder| holder.is_refused)
    }

    /// Records that a body of `bytes` is complete, after which it is not refused any more. Returns the
    /// holders that may get room now.
    pub fn complete(&mut self, id: HolderId, bytes: usize, now_ms: u64) -> Vec<HolderId> {
        self.try_hold(id, bytes);
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.is_receiving = false;
            // It may have been refused with its last bytes already received. Its room is not freed
            // now, and must not keep stalled bodies from being refused.
            holder.is_refused = false;
        }
        self.ready(now_ms)
    }

    /// Removes a holder and frees its bytes. Returns the holders that may get room now.
    pub fn close(&mut self, id: HolderId, now_ms: u64) -> Vec<HolderId> {
        if let Some(holder) = self.holders.swap_remove(&id) {
            self.used_bytes[holder.pool as usize] -= holder.held_bytes;
            if holder.wanted_bytes.is_some() {
                self.waiting.retain(|waiting| *waiting != id);
            }
        }
        self.ready(now_ms)
    }

    /// The holders that wait and have room, in their order. The room is held for them from now on, so
    /// that later ones cannot take it.
    fn ready(&mut self, now_ms: u64) -> Vec<HolderId> {
        let mut ready = Vec::new();
        let mut is_large_blocked = false;
        for id in std::mem::take(&mut self.waiting) {
            let bytes = self.holders.get(&id).and_then(|h| h.wanted_bytes);
            let bytes = bytes.unwrap_or(0);
            let is_skipped = is_large_blocked && bytes > SMALL_MAX_BYTES;
            if !is_skipped && self.try_grant(id, bytes, now_ms) {
                ready.push(id);
            } else {
                is_large_blocked |= bytes > SMALL_MAX_BYTES;
                self.waiting.push_back(id);
            }
        }
        ready
    }

    fn try_grant(&mut self, id: HolderId, bytes: usize, now_ms: u64) -> bool {
        let is_held = self.try_hold(id, bytes);
        if let Some(holder) = self.holders.get_mut(&id).filter(|_| is_held) {
            holder.wanted_bytes = None;
            holder.progress_ms = now_ms;
            holder.received_ms = now_ms;
        }
        is_held
    }

    /// Refuses bodies without progress for [`STALL_MS`] while others wait for room; their room is free
    /// once they are closed. Of those from which nothing has come, as many are refused as the bodies
    /// that wait need; of those that come slowly, one at a time, the one with the longest time without
    /// progress. Bodies that wait for room themselves are refused last.
    pub fn refuse_stalled(&mut self, now_ms: u64) -> Vec<HolderId> {
        let is_first_small = self.waiting.front().is_some_and(|first| {
            let wanted_bytes = self.holders.get(first).and_then(|h| h.wanted_bytes);
            wanted_bytes.is_some_and(|bytes| bytes <= SMALL_MAX_BYTES)
        });
        let is_of_use = |holder: &Holder| {
            holder.is_receiving && (holder.pool == Pool::LargeRequests || is_first_small)
        };
        let wanted = self.holders.values().filter_map(|h| h.wanted_bytes);
        let wanted_bytes: usize = wanted.sum();
        // Room of bodies that were refused before and are not closed yet.
        let closing = self.holders.values().filter(|holder| holder.is_refused);
        let mut freed_bytes: usize = closing.map(|holder| holder.held_bytes).sum();
        let mut refused = Vec::new();
        for (id, holder) in &mut self.holders {
            let is_silent = now_ms >= holder.received_ms + STALL_MS;
            let is_candidate = is_of_use(holder) && is_silent && !holder.is_refused;
            if is_candidate && holder.wanted_bytes.is_none() && freed_bytes < wanted_bytes {
                holder.is_refused = true;
                freed_bytes += holder.held_bytes;
                refused.push(*id);
            }
        }
        if freed_bytes > 0 || self.waiting.is_empty() {
            return refused;
        }
        // The room of the only one that waits is of use to no other.
        let may_refuse_waiting = self.waiting.len() > 1;
        let is_candidate = |holder: &Holder| {
            is_of_use(holder)
                && (holder.wanted_bytes.is_none() || may_refuse_waiting)
                && now_ms >= holder.progress_ms + STALL_MS
        };
        let candidates = self.holders.iter_mut().filter(|(_, h)| is_candidate(h));
        let slowest = candidates.min_by_key(|(_, h)| (h.wanted_bytes.is_some(), h.progress_ms));
        if let Some((id, holder)) = slowest {
            holder.is_refused = true;
            refused.push(*id);
        }
        self.waiting.retain(|waiting| !refused.contains(waiting));
        refused
    }
}
