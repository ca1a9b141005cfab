//! Registry of the backend servers, which register themselves in the platform's store.
//!
//! Rows of live servers may expire while the store is down, rows may be outdated, and a
//! restarted server may register again under the same id with a higher incarnation. A server
//! announces its leaving in its row, its responses, or both; either is final for its incarnation.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};

use crate::ids::{Incarnation, ServerId, ServiceId, ZoneId};

/// Time from the store's recovery within which live servers must register again; a server that
/// is still missing then has left. The platform states about two seconds for this, and also
/// requires that a leaving server gets no more requests after two seconds.
const REREGISTRATION_MS: u64 = 1_900;
/// Shortest outage in which rows of live servers can expire: the platform drops a row after
/// three missed heartbeats, about 1.2 s apart, of which the first may be due as the outage
/// begins. After a shorter outage, such as a change to another relay, a row that is removed
/// belongs to a server that has left.
const OUTAGE_MIN_MS: u64 = 2_400;

/// Time from a restore of the store for which a row in it is not evidence of a server that was known
/// to have left: the platform drops the row of a silent server after three heartbeats, about 1.2 s
/// apart, and routers learn of it up to a second later.
const RESTORED_ROWS_DOUBTED_MS: u64 = 5_000;
/// Number of servers that have left and are remembered: more than the design size has.
const LEFT_MAX: usize = 4_096;

/// Row that a server registers for itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Registration {
    /// Id, which is also the row's key.
    pub id: ServerId,
    /// Service that the server belongs to.
    pub service: ServiceId,
    /// Address for requests.
    pub address: SocketAddr,
    /// Availability zone that the server runs in.
    pub zone: ZoneId,
    /// Number of requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server is about to stop and accepts no new requests.
    pub is_leaving: bool,
    /// Incarnation; a restart under the same id has a higher one.
    pub incarnation: Incarnation,
    /// Number of the heartbeat within this incarnation.
    pub sequence: u64,
    /// Time for which the server was still cold when it wrote the row.
    pub cold_left_ms: u64,
}

/// Effect of a row's change on the registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// No effect on the choice of servers.
    None,
    /// A server joined, or was restarted under the same id or at another address.
    Joined,
    /// A server whose row had lapsed has registered again.
    Returned,
    /// A server no longer accepts new requests.
    Left,
    /// The row is older than the known one and was ignored.
    Outdated,
    /// The row was removed, but may have expired in an outage of the store while its server
    /// kept running.
    Lapsed,
}

#[derive(Debug, Clone)]
struct Entry {
    registration: Registration,
    /// Time at which a server whose row has lapsed counts as having left.
    expires_at_ms: Option<u64>,
    /// Whether another server responded at this server's address.
    is_misdirected: bool,
    /// Whether the server announced its leaving in a response.
    has_announced_leaving: bool,
    joined_ms: u64,
}

impl Entry {
    fn is_usable(&self, now_ms: u64) -> bool {
        let has_expired = self.expires_at_ms.is_some_and(|at_ms| at_ms <= now_ms);
        !self.is_leaving() && !self.is_misdirected && !has_expired
    }

    fn is_leaving(&self) -> bool {
        self.registration.is_leaving || self.has_announced_leaving
    }
}

/// A server that has left.
#[derive(Debug, Clone, Copy)]
struct Departed {
    incarnation: Incarnation,
    /// Number of the last heartbeat known of this incarnation.
    sequence: u64,
    has_announced_leaving: bool,
}

/// Where a server's leaving is known from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeavingSource {
    /// The server's row.
    Row,
    /// A response of the server.
    Response,
}

impl LeavingSource {
    /// Name in the state dump.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Row => "row",
            Self::Response => "response",
        }
    }
}

/// A server that has ended, or whose row was removed, without a word of its leaving.
#[derive(Debug, Clone, PartialEq)]
pub struct Vanished {
    /// Its last registration.
    pub registration: Registration,
    /// Whether it has registered again as a later incarnation, so that this one has ended.
    pub has_restarted: bool,
}

/// Maximum number of vanished servers that are kept for [`Registry::take_vanished`].
const VANISHED_MAX: usize = 1_024;

/// All registered servers, whether or not they accept new requests.
#[derive(Debug, Default)]
pub struct Registry {
    entries: IndexMap<ServerId, Entry>,
    store_lost_ms: Option<u64>,
    /// End of the last outage of the store in which rows of live servers may have expired.
    store_recovered_ms: Option<u64>,
    /// The servers that have left, the last one last.
    left: IndexMap<ServerId, Departed>,
    /// End of the time for which rows of servers that have left are doubted.
    doubted_until_ms: Option<u64>,
    /// Whether a snapshot listed servers that are not used because their rows are doubted.
    has_doubted_rows: bool,
    vanished: Vec<Vanished>,
}

impl Registry {
    /// Applies a server's row.
    pub fn set(&mut self, new: Registration, now_ms: u64) -> Change {
        let Some(entry) = self.entries.get_mut(&new.id) else {
            if self.is_older_than_departed(&new) {
                return Change::Outdated;
            }
            let has_announced_leaving = self.has_announced_leaving(&new);
            let change = match (new.is_leaving, has_announced_leaving) {
                (true, _) => Change::None,
                (false, true) => Change::Returned,
                (false, false) => Change::Joined,
            };
            self.insert(new, has_announced_leaving, now_ms);
            return change;
        };
        let known = &entry.registration;
        if (new.incarnation, new.sequence) < (known.incarnation, known.sequence) {
            return Change::Outdated;
        }
        let is_restart = new.incarnation > known.incarnation || new.address != known.address;
        if is_restart {
            let has_announced_leaving =
                entry.has_announced_leaving && new.incarnation == known.incarnation;
            if new.incarnation > known.incarnation && !entry.is_leaving() {
                let registration = known.clone();
                self.record_vanished(registration, true);
            }
            self.insert(new, has_announced_leaving, now_ms);
            return Change::Joined;
        }
        let has_returned = entry.expires_at_ms.take().is_some();
        let has_left = new.is_leaving && !known.is_leaving;
        // Leaving is final within an incarnation.
        let is_leaving = new.is_leaving || known.is_leaving;
        entry.registration = Registration { is_leaving, ..new };
        match (has_left, has_returned) {
            (true, _) => Change::Left,
            (false, true) => Change::Returned,
            (false, false) => Change::None,
        }
    }

    /// Whether a row is older than the last one known of its server, which has left: the store may
    /// perform a heartbeat seconds late, after newer ones and the removal of the row.
    fn is_older_than_departed(&self, row: &Registration) -> bool {
        let departed = self.left.get(&row.id);
        departed.is_some_and(|departed| {
            (row.incarnation, row.sequence) < (departed.incarnation, departed.sequence)
        })
    }

    /// Whether a server that has left had announced it in this incarnation or a later one.
    fn has_announced_leaving(&self, registration: &Registration) -> bool {
        let departed = self.left.get(&registration.id);
        departed.is_some_and(|departed| {
            departed.has_announced_leaving && registration.incarnation <= departed.incarnation
        })
    }

    fn insert(&mut self, registration: Registration, has_announced_leaving: bool, now_ms: u64) {
        self.left.shift_remove(&registration.id);
        let entry = Entry {
            registration,
            expires_at_ms: None,
            is_misdirected: false,
            has_announced_leaving,
            joined_ms: now_ms,
        };
        self.entries.insert(entry.registration.id.clone(), entry);
    }

    /// Records that a server's row was removed.
    pub fn remove(&mut self, id: &ServerId, now_ms: u64) -> Change {
        let Some(entry) = self.entries.get_mut(id) else {
            return Change::None;
        };
        if entry.registration.is_leaving {
            self.drop_entry(id);
            return Change::None;
        }
        if entry.has_announced_leaving {
            self.drop_entry(id);
            return Change::Left;
        }
        let expires_at_ms = self
            .store_recovered_ms
            .map(|recovered_ms| recovered_ms + REREGISTRATION_MS);
        match expires_at_ms.filter(|at_ms| *at_ms > now_ms) {
            Some(at_ms) => {
                entry.expires_at_ms.get_or_insert(at_ms);
                Change::Lapsed
            }
            None => {
                self.drop_entry(id);
                Change::Left
            }
        }
    }

    fn drop_entry(&mut self, id: &ServerId) {
        let Some(entry) = self.entries.shift_remove(id) else {
            return;
        };
        let departed = Departed {
            incarnation: entry.registration.incarnation,
            sequence: entry.registration.sequence,
            has_announced_leaving: entry.has_announced_leaving,
        };
        self.record_departed(id, departed);
        if !entry.is_leaving() {
            self.record_vanished(entry.registration, false);
        }
    }

    fn record_vanished(&mut self, registration: Registration, has_restarted: bool) {
        if self.vanished.len() < VANISHED_MAX {
            self.vanished.push(Vanished {
                registration,
                has_restarted,
            });
        }
    }

    /// Removes and returns the servers that have vanished since the last call.
    pub fn take_vanished(&mut self) -> Vec<Vanished> {
        std::mem::take(&mut self.vanished)
    }

    /// Whether another server has registered at the address of one that is not registered any more.
    pub fn is_address_reused(&self, gone: &Registration) -> bool {
        let mut others = self.all().filter(|other| other.id != gone.id);
        others.any(|other| other.address == gone.address)
    }

    fn record_departed(&mut self, id: &ServerId, departed: Departed) {
        self.left.insert(id.clone(), departed);
        if self.left.len() > LEFT_MAX {
            self.left.shift_remove_index(0);
        }
    }

    /// Records that a server announced its leaving in a response to a request that was sent to this
    /// incarnation; returns whether that is new. A server that has restarted since is not affected.
    pub fn record_announced_leaving(&mut self, id: &ServerId, incarnation: Incarnation) -> bool {
        if let Some(entry) = self.entries.get_mut(id) {
            let is_new =
                entry.registration.incarnation == incarnation && !entry.has_announced_leaving;
            entry.has_announced_leaving |= is_new;
            return is_new;
        }
        let departed = self.left.get(id);
        let is_new = departed.is_none_or(|departed| {
            departed.incarnation <= incarnation && !departed.has_announced_leaving
        });
        if is_new {
            let known = departed.filter(|departed| departed.incarnation == incarnation);
            let departed = Departed {
                incarnation,
                sequence: known.map_or(0, |departed| departed.sequence),
                has_announced_leaving: true,
            };
            self.record_departed(id, departed);
        }
        is_new
    }

    /// Where a known server's leaving is known from; `None` if it is not leaving.
    pub fn leaving_source(&self, id: &ServerId) -> Option<LeavingSource> {
        let entry = self.entries.get(id)?;
        match (entry.registration.is_leaving, entry.has_announced_leaving) {
            (true, _) => Some(LeavingSource::Row),
            (false, true) => Some(LeavingSource::Response),
            (false, false) => None,
        }
    }

    /// Applies a snapshot of all rows: the row of each server that is not in it counts as
    /// removed. A server whose row is unreadable keeps its known state.
    pub fn replace(
        &mut self,
        rows: Vec<Registration>,
        unreadable: &[ServerId],
        now_ms: u64,
    ) -> Vec<(ServerId, Change)> {
        // Sets, since a fleet has thousands of servers.
        let listed: IndexSet<&ServerId> = rows.iter().map(|row| &row.id).collect();
        let unreadable: IndexSet<&ServerId> = unreadable.iter().collect();
        let is_missing = |id: &&ServerId| !listed.contains(*id) && !unreadable.contains(*id);
        let missing: Vec<ServerId> = self.entries.keys().filter(is_missing).cloned().collect();
        let mut changes = Vec::new();
        for id in missing {
            let change = self.remove(&id, now_ms);
            changes.push((id, change));
        }
        for row in rows {
            let id = row.id.clone();
            let change = match self.is_doubted(&row, now_ms) {
                true => {
                    self.has_doubted_rows = true;
                    Change::Outdated
                }
                false => self.set(row, now_ms),
            };
            changes.push((id, change));
        }
        changes
    }

    /// Whether a row in a snapshot may be that of before the server left, from the copy of a restored
    /// store.
    fn is_doubted(&self, row: &Registration, now_ms: u64) -> bool {
        let is_doubtful_time = self.doubted_until_ms.is_some_and(|until| now_ms < until);
        let left = self.left.get(&row.id);
        is_doubtful_time && left.is_some_and(|departed| row.incarnation <= departed.incarnation)
    }

    /// Whether a snapshot is due in which rows that were doubted count again: their servers would
    /// have lost them by now if they did not run. True once.
    pub fn take_snapshot_due(&mut self, now_ms: u64) -> bool {
        let is_over = self.doubted_until_ms.is_none_or(|until| now_ms >= until);
        is_over && std::mem::take(&mut self.has_doubted_rows)
    }

    /// Records that the store does not respond.
    pub fn on_store_lost(&mut self, now_ms: u64) {
        self.store_lost_ms.get_or_insert(now_ms);
    }

    /// Records that the store responds again.
    pub fn on_store_recovered(&mut self, now_ms: u64) {
        let lost_ms = self.store_lost_ms.take();
        if lost_ms.is_some_and(|lost_ms| lost_ms + OUTAGE_MIN_MS <= now_ms) {
            self.store_recovered_ms = Some(now_ms);
        }
    }

    /// Records that the store came back from an older copy, which lacks the servers that registered
    /// since: however short the outage, their rows are missing until they register again. Servers
    /// that have left since stand in it again.
    pub fn on_store_restored(&mut self, now_ms: u64) {
        self.store_lost_ms = None;
        self.store_recovered_ms = Some(now_ms);
        self.doubted_until_ms = Some(now_ms + RESTORED_ROWS_DOUBTED_MS);
    }

    /// Removes and returns the servers that did not register again in time after a lapse.
    pub fn expire(&mut self, now_ms: u64) -> Vec<ServerId> {
        let has_expired = |entry: &Entry| entry.expires_at_ms.is_some_and(|at_ms| at_ms <= now_ms);
        let expired = self.entries.iter().filter(|(_, entry)| has_expired(entry));
        let expired: Vec<ServerId> = expired.map(|(id, _)| id.clone()).collect();
        expired.iter().for_each(|id| self.drop_entry(id));
        expired
    }

    /// Marks a server as misdirected, as another server responded at its address; lasts until
    /// the server joins anew.
    pub fn mark_misdirected(&mut self, id: &ServerId) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.is_misdirected = true;
        }
    }

    /// Servers of a service that accept new requests.
    pub fn usable<'a>(
        &'a self,
        service: &'a ServiceId,
        now_ms: u64,
    ) -> impl Iterator<Item = &'a Registration> {
        self.entries
            .values()
            .filter(move |entry| entry.is_usable(now_ms))
            .map(|entry| &entry.registration)
            .filter(move |registration| registration.service == *service)
    }

    /// Registration of a server, if it accepts new requests.
    pub fn get(&self, id: &ServerId, now_ms: u64) -> Option<&Registration> {
        let entry = self.entries.get(id)?;
        entry.is_usable(now_ms).then_some(&entry.registration)
    }

    /// Registrations of all known servers.
    pub fn all(&self) -> impl Iterator<Item = &Registration> {
        self.entries.values().map(|entry| &entry.registration)
    }

    /// Address of a known server, whether or not it accepts new requests; none if another server
    /// responded there, or if it announced its leaving in a response.
    pub fn address(&self, id: &ServerId) -> Option<SocketAddr> {
        let is_serving = |entry: &&Entry| !entry.is_misdirected && !entry.has_announced_leaving;
        let entry = self.entries.get(id).filter(is_serving)?;
        Some(entry.registration.address)
    }

    /// Availability zone of a known server, whether or not it accepts new requests.
    pub fn zone(&self, id: &ServerId) -> Option<&ZoneId> {
        Some(&self.entries.get(id)?.registration.zone)
    }

    /// Time since a server joined, in ms.
    pub fn known_for_ms(&self, id: &ServerId, now_ms: u64) -> Option<u64> {
        let entry = self.entries.get(id)?;
        Some(now_ms.saturating_sub(entry.joined_ms))
    }

    /// Number of known servers, whether or not they accept new requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no known server.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
