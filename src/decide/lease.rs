//! A lease on a table row, decided without clocks that agree.
//!
//! A holder counts its lease from the moment before it sent the write that gave or renewed
//! it. A contender counts from the moment it first saw the row in its present version, which
//! is never earlier than that. So a contender that waits for the whole duration starts after
//! the holder's lease has ended, as long as both clocks run at about the same rate.

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use crate::edge::table::Condition;
use crate::ids::FencingNumber;

/// What a lease row holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Who holds it.
    pub holder: String,
    /// Marks one write, so that a lost answer can be read back.
    pub nonce: u64,
    /// Grows with each new holder.
    pub fencing: FencingNumber,
    /// How long it lasts from each write, in ms.
    pub duration_ms: u64,
    /// Whether the holder gave it up.
    pub is_released: bool,
}

/// Times of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTimes {
    /// How long a write holds the lease.
    pub duration_ms: u64,
    /// Time between renewals.
    pub renew_ms: u64,
    /// Extra wait of a contender, for clocks that run at slightly different rates.
    pub drift_ms: u64,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The row was read, or came back in a conflict; none when it is absent.
    Row(Option<(Lease, u64)>),
    /// The last write took effect and gave the row this version.
    Written(u64),
    /// It is not known whether the last write took effect.
    AnswerLost,
    /// The last write certainly had no effect.
    Unavailable,
}

/// A write to attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseWrite {
    /// New content of the row.
    pub lease: Lease,
    /// When it may take effect.
    pub condition: Condition,
}

/// What changed for this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The lease is now held with this number.
    Acquired(FencingNumber),
    /// The lease is no longer held.
    Lost,
}

#[derive(Debug, Clone)]
struct Seen {
    lease: Option<Lease>,
    version: u64,
    since_ms: u64,
}

#[derive(Debug, Clone)]
struct Held {
    fencing: FencingNumber,
    version: u64,
    until_ms: u64,
    renew_at_ms: u64,
}

#[derive(Debug, Clone)]
struct Pending {
    lease: Lease,
    sent_ms: u64,
}

/// One process's view of one lease.
#[derive(Debug, Clone)]
pub struct LeaseMachine {
    holder: String,
    times: LeaseTimes,
    seen: Option<Seen>,
    held: Option<Held>,
    pending: Option<Pending>,
}

impl LeaseMachine {
    /// A view of a lease that has not been read yet.
    ///
    /// ```
    /// use jujubeusher::decide::lease::{Event, LeaseMachine, LeaseTimes};
    /// use rand::SeedableRng;
    /// let times = LeaseTimes { duration_ms: 3_000, renew_ms: 1_000, drift_ms: 100 };
    /// let mut machine = LeaseMachine::new("c1", times);
    /// let mut random = rand::rngs::StdRng::seed_from_u64(1);
    /// machine.handle(Event::Row(None), 0);
    /// assert!(machine.due_write(0, &mut random).is_some());
    /// assert!(machine.handle(Event::Written(1), 5).is_some());
    /// assert!(machine.fencing(2_000, 500).is_some());
    /// assert!(machine.fencing(2_600, 500).is_none());
    /// ```
    pub fn new(holder: &str, times: LeaseTimes) -> Self {
        Self {
            holder: holder.to_owned(),
            times,
            seen: None,
            held: None,
            pending: None,
        }
    }

    /// The fencing number, if the lease is held for at least `needed_ms` more.
    pub fn fencing(&self, now_ms: u64, needed_ms: u64) -> Option<FencingNumber> {
        let held = self.held.as_ref()?;
        (now_ms + needed_ms < held.until_ms).then_some(held.fencing)
    }

    /// Who holds the lease as far as this process has seen.
    pub fn last_holder(&self) -> Option<&str> {
        let lease = self.seen.as_ref()?.lease.as_ref()?;
        (!lease.is_released).then_some(lease.holder.as_str())
    }

    /// Takes note of what happened.
    pub fn handle(&mut self, event: Event, now_ms: u64) -> Option<Change> {
        match event {
            Event::Row(row) => self.row(row, now_ms),
            Event::Written(version) => {
                let pending = self.pending.take()?;
                self.written(pending, version, now_ms)
            }
            // The nonce in `pending` lets the next read tell.
            Event::AnswerLost => None,
            Event::Unavailable => {
                self.pending = None;
                None
            }
        }
    }

    fn row(&mut self, row: Option<(Lease, u64)>, now_ms: u64) -> Option<Change> {
        let (lease, version) = match row {
            Some((lease, version)) => (Some(lease), version),
            None => (None, 0),
        };
        if let Some(pending) = self.pending.take() {
            let is_mine = lease
                .as_ref()
                .is_some_and(|l| l.nonce == pending.lease.nonce);
            if is_mine {
                return self.written(pending, version, now_ms);
            }
        }
        self.see(lease, version, now_ms);
        let is_replaced = self
            .held
            .as_ref()
            .is_some_and(|held| held.version != version);
        if is_replaced {
            self.held = None;
            return Some(Change::Lost);
        }
        None
    }

    fn see(&mut self, lease: Option<Lease>, version: u64, now_ms: u64) {
        let is_same = self
            .seen
            .as_ref()
            .is_some_and(|seen| seen.version == version);
        if !is_same {
            self.seen = Some(Seen {
                lease,
                version,
                since_ms: now_ms,
            });
        }
    }

    fn written(&mut self, pending: Pending, version: u64, now_ms: u64) -> Option<Change> {
        let Pending { lease, sent_ms } = pending;
        let was_held = self.held.take().map(|held| held.fencing);
        self.see(Some(lease.clone()), version, now_ms);
        if lease.is_released {
            return was_held.map(|_| Change::Lost);
        }
        self.held = Some(Held {
            fencing: lease.fencing,
            version,
            until_ms: sent_ms + self.times.duration_ms,
            renew_at_ms: sent_ms + self.times.renew_ms,
        });
        (was_held != Some(lease.fencing)).then_some(Change::Acquired(lease.fencing))
    }

    /// Drops a lease whose time has run out.
    pub fn expire(&mut self, now_ms: u64) -> Option<Change> {
        if self
            .held
            .as_ref()
            .is_some_and(|held| now_ms >= held.until_ms)
        {
            self.held = None;
            return Some(Change::Lost);
        }
        None
    }

    /// Whether this process holds the lease, as far as it knows.
    pub fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// The write that is due: a renewal, or a takeover of a free lease. None while an earlier
    /// write's effect is unknown; read the row first.
    pub fn due_write<R>(&mut self, now_ms: u64, random: &mut R) -> Option<LeaseWrite>
    where
        R: Rng,
    {
        if self.pending.is_some() {
            return None;
        }
        let (fencing, condition) = match &self.held {
            Some(held) if now_ms >= held.until_ms => return None,
            Some(held) if now_ms < held.renew_at_ms => return None,
            Some(held) => (held.fencing, Condition::Version(held.version)),
            None => self.takeover(now_ms)?,
        };
        Some(self.write(fencing, condition, false, now_ms, random))
    }

    /// The write that gives the lease up, if it is held.
    pub fn release<R>(&mut self, now_ms: u64, random: &mut R) -> Option<LeaseWrite>
    where
        R: Rng,
    {
        let held = self.held.as_ref()?;
        let (fencing, condition) = (held.fencing, Condition::Version(held.version));
        Some(self.write(fencing, condition, true, now_ms, random))
    }

    fn takeover(&self, now_ms: u64) -> Option<(FencingNumber, Condition)> {
        let seen = self.seen.as_ref()?;
        let Some(lease) = &seen.lease else {
            return Some((FencingNumber(1), Condition::Absent));
        };
        let free_at_ms = match lease.is_released {
            true => seen.since_ms,
            false => seen.since_ms + lease.duration_ms + self.times.drift_ms,
        };
        let next = FencingNumber(lease.fencing.0 + 1);
        (now_ms >= free_at_ms).then_some((next, Condition::Version(seen.version)))
    }

    fn write<R>(
        &mut self,
        fencing: FencingNumber,
        condition: Condition,
        is_released: bool,
        now_ms: u64,
        random: &mut R,
    ) -> LeaseWrite
    where
        R: Rng,
    {
        let lease = Lease {
            holder: self.holder.clone(),
            nonce: random.random(),
            fencing,
            duration_ms: self.times.duration_ms,
            is_released,
        };
        self.pending = Some(Pending {
            lease: lease.clone(),
            sent_ms: now_ms,
        });
        LeaseWrite { lease, condition }
    }
}

#[cfg(test)]
mod tests;
