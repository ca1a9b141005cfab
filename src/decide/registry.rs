//! Backend servers as they register themselves in the platform's store.
//!
//! The store may lose sight of living servers while it is down, rows may be outdated, and
//! the same id may come back as a new life.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;

use indexmap::IndexMap;

use crate::ids::{Incarnation, ServerId, ServiceId, ZoneId};

/// Time from the store's return within which living servers are registered again; a server
/// that is still missing then is gone. The platform states about two seconds, and two seconds
/// as the least time in which a server that leaves must get no more requests.
const LAPSE_MS: u64 = 1_900;
/// Shortest outage in which rows of living servers expire: the platform drops a row after three
/// heartbeats, some 1.2 s apart, of which the first may be due as the outage begins. After a
/// shorter one, such as a change to another relay, a row that goes belongs to a server that
/// leaves.
const OUTAGE_MIN_MS: u64 = 2_400;

/// What a server says of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Registration {
    /// Its id.
    pub id: ServerId,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Its address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new requests, as it is about to stop.
    pub is_leaving: bool,
    /// Its life; a restart under the same id has a later one.
    pub incarnation: Incarnation,
    /// Counts its heartbeats in this life.
    pub sequence: u64,
}

/// What a change of a row meant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing that matters to requests.
    None,
    /// A server joined, or one came back as a new life.
    Joined,
    /// A server whose row had lapsed is registered again.
    Returned,
    /// A server takes no new requests any more.
    Left,
    /// The row is older than what is known.
    Outdated,
    /// The row is gone, but its server may have outlived an outage of the store.
    Lapsed,
}

#[derive(Debug, Clone)]
struct Entry {
    registration: Registration,
    /// When a lapsed row counts as gone.
    lapses_at_ms: Option<u64>,
    /// Whether another server answered at its address.
    is_misdirected: bool,
    joined_ms: u64,
}

impl Entry {
    fn is_usable(&self, now_ms: u64) -> bool {
        let has_lapsed = self.lapses_at_ms.is_some_and(|at_ms| at_ms <= now_ms);
        !self.registration.is_leaving && !self.is_misdirected && !has_lapsed
    }
}

/// All servers that take requests, and those that no longer do.
#[derive(Debug, Default)]
pub struct Registry {
    entries: IndexMap<ServerId, Entry>,
    store_lost_ms: Option<u64>,
    /// Return of the store from the last outage in which rows may have expired.
    store_recovered_ms: Option<u64>,
}

impl Registry {
    /// Takes up a server's row.
    pub fn set(&mut self, new: Registration, now_ms: u64) -> Change {
        let Some(entry) = self.entries.get_mut(&new.id) else {
            let change = match new.is_leaving {
                true => Change::None,
                false => Change::Joined,
            };
            self.insert(new, now_ms);
            return change;
        };
        let known = &entry.registration;
        if (new.incarnation, new.sequence) < (known.incarnation, known.sequence) {
            return Change::Outdated;
        }
        let is_new_life = new.incarnation > known.incarnation || new.address != known.address;
        if is_new_life {
            self.insert(new, now_ms);
            return Change::Joined;
        }
        let has_returned = entry.lapses_at_ms.take().is_some();
        let has_left = new.is_leaving && !known.is_leaving;
        // A server that is leaving does not come back in the same life.
        let is_leaving = new.is_leaving || known.is_leaving;
        entry.registration = Registration { is_leaving, ..new };
        match (has_left, has_returned) {
            (true, _) => Change::Left,
            (false, true) => Change::Returned,
            (false, false) => Change::None,
        }
    }

    fn insert(&mut self, registration: Registration, now_ms: u64) {
        let entry = Entry {
            registration,
            lapses_at_ms: None,
            is_misdirected: false,
            joined_ms: now_ms,
        };
        self.entries.insert(entry.registration.id.clone(), entry);
    }

    /// Notes that a server's row is gone.
    pub fn remove(&mut self, id: &ServerId, now_ms: u64) -> Change {
        let Some(entry) = self.entries.get_mut(id) else {
            return Change::None;
        };
        if entry.registration.is_leaving {
            self.entries.shift_remove(id);
            return Change::None;
        }
        let lapses_at_ms = self
            .store_recovered_ms
            .map(|recovered_ms| recovered_ms + LAPSE_MS);
        match lapses_at_ms.filter(|at_ms| *at_ms > now_ms) {
            Some(at_ms) => {
                entry.lapses_at_ms.get_or_insert(at_ms);
                Change::Lapsed
            }
            None => {
                self.entries.shift_remove(id);
                Change::Left
            }
        }
    }

    /// Takes up all rows at one moment; servers without one are gone. Rows that cannot be
    /// read keep their servers as they were.
    pub fn replace(
        &mut self,
        rows: Vec<Registration>,
        unreadable: &[ServerId],
        now_ms: u64,
    ) -> Vec<(ServerId, Change)> {
        let listed = |id: &ServerId| rows.iter().any(|row| row.id == *id);
        let is_missing = |id: &&ServerId| !listed(id) && !unreadable.contains(id);
        let missing: Vec<ServerId> = self.entries.keys().filter(is_missing).cloned().collect();
        let mut changes = Vec::new();
        for id in missing {
            let change = self.remove(&id, now_ms);
            changes.push((id, change));
        }
        for row in rows {
            let id = row.id.clone();
            changes.push((id, self.set(row, now_ms)));
        }
        changes
    }

    /// The store does not answer.
    pub fn on_store_lost(&mut self, now_ms: u64) {
        self.store_lost_ms.get_or_insert(now_ms);
    }

    /// The store answers again.
    pub fn on_store_recovered(&mut self, now_ms: u64) {
        let lost_ms = self.store_lost_ms.take();
        if lost_ms.is_some_and(|lost_ms| lost_ms + OUTAGE_MIN_MS <= now_ms) {
            self.store_recovered_ms = Some(now_ms);
        }
    }

    /// Drops the servers whose lapsed rows did not come back; returns them.
    pub fn expire(&mut self, now_ms: u64) -> Vec<ServerId> {
        let is_over = |entry: &Entry| entry.lapses_at_ms.is_some_and(|at_ms| at_ms <= now_ms);
        let gone = self.entries.iter().filter(|(_, entry)| is_over(entry));
        let gone: Vec<ServerId> = gone.map(|(id, _)| id.clone()).collect();
        self.entries.retain(|_, entry| !is_over(entry));
        gone
    }

    /// Another server answered at the address of this one.
    pub fn mark_misdirected(&mut self, id: &ServerId) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.is_misdirected = true;
        }
    }

    /// Servers of a service that take new requests.
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

    /// A server that takes new requests.
    pub fn get(&self, id: &ServerId, now_ms: u64) -> Option<&Registration> {
        let entry = self.entries.get(id)?;
        entry.is_usable(now_ms).then_some(&entry.registration)
    }

    /// All known servers.
    pub fn all(&self) -> impl Iterator<Item = &Registration> {
        self.entries.values().map(|entry| &entry.registration)
    }

    /// Address of a server that still runs, whether it takes requests or not.
    pub fn address(&self, id: &ServerId) -> Option<SocketAddr> {
        let entry = self.entries.get(id).filter(|entry| !entry.is_misdirected)?;
        Some(entry.registration.address)
    }

    /// Time for which a server has been known.
    pub fn known_for_ms(&self, id: &ServerId, now_ms: u64) -> Option<u64> {
        let entry = self.entries.get(id)?;
        Some(now_ms.saturating_sub(entry.joined_ms))
    }

    /// Known servers, whether they take requests or not.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
