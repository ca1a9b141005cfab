//! State machine of a lease on a table row that needs no synchronised clocks.
//!
//! A holder measures its lease from just before it sent the write that acquired or renewed
//! it. A contender measures from when it first observed the row's current version, which is
//! never earlier. A contender that waits for the full duration therefore acquires the lease
//! only after it has expired for the holder, provided that both clocks run at about the same
//! rate.

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use crate::edge::table::Condition;
use crate::ids::FencingNumber;

/// Content of a lease row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Name of the holding process.
    pub holder: String,
    /// Identifies one write, so that a later read shows whether it took effect when its
    /// response was lost.
    pub nonce: u64,
    /// Increases with each new holder; renewals keep it.
    pub fencing: FencingNumber,
    /// Duration of the lease from each write in ms.
    pub duration_ms: u64,
    /// Whether the holder released the lease before it expired.
    pub is_released: bool,
}

/// Timing that a process uses for a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTimes {
    /// Duration of the lease from each write of this process.
    pub duration_ms: u64,
    /// Time between renewals.
    pub renew_ms: u64,
    /// Margin that a contender adds to the duration, as clocks may run at slightly different
    /// rates.
    pub drift_ms: u64,
}

/// Input of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The row and its version, as read or as returned by a failed condition; none when the
    /// row is absent.
    Row(Option<(Lease, u64)>),
    /// The last write took effect; the row now has this version.
    Written(u64),
    /// The response to the last write was lost, so the write may have taken effect.
    ResponseLost,
    /// The last write is known to have had no effect.
    Unavailable,
}

/// A conditional write of the lease row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseWrite {
    /// New content of the row.
    pub lease: Lease,
    /// Condition under which the write takes effect.
    pub condition: Condition,
}

/// A change in whether this process holds the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The lease is now held with this fencing number.
    Acquired(FencingNumber),
    /// The lease is no longer held.
    Lost,
}

#[derive(Debug, Clone)]
struct Observed {
    lease: Option<Lease>,
    version: u64,
    observed_at_ms: u64,
}

#[derive(Debug, Clone)]
struct Held {
    fencing: FencingNumber,
    version: u64,
    expires_at_ms: u64,
    renew_at_ms: u64,
}

#[derive(Debug, Clone)]
struct Pending {
    lease: Lease,
    sent_ms: u64,
}

/// State machine of one process for one lease.
#[derive(Debug, Clone)]
pub struct LeaseMachine {
    holder: String,
    times: LeaseTimes,
    observed: Option<Observed>,
    held: Option<Held>,
    pending: Option<Pending>,
}

impl LeaseMachine {
    /// Creates the state of a lease whose row has not been read yet.
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
            observed: None,
            held: None,
            pending: None,
        }
    }

    /// Returns the fencing number if the lease stays valid for more than `needed_ms`.
    pub fn fencing(&self, now_ms: u64, needed_ms: u64) -> Option<FencingNumber> {
        let held = self.held.as_ref()?;
        (now_ms + needed_ms < held.expires_at_ms).then_some(held.fencing)
    }

    /// Holder of the lease according to the last row that this process observed; none if the
    /// row is absent or released.
    pub fn last_holder(&self) -> Option<&str> {
        let lease = self.observed.as_ref()?.lease.as_ref()?;
        (!lease.is_released).then_some(lease.holder.as_str())
    }

    /// Processes an event and returns whether the lease was acquired or lost.
    pub fn handle(&mut self, event: Event, now_ms: u64) -> Option<Change> {
        match event {
            Event::Row(row) => self.on_row(row, now_ms),
            Event::Written(version) => {
                let pending = self.pending.take()?;
                self.on_written(pending, version, now_ms)
            }
            // `pending` stays set, so that the next read shows by its nonce whether the
            // write took effect.
            Event::ResponseLost => None,
            Event::Unavailable => {
                self.pending = None;
                None
            }
        }
    }

    fn on_row(&mut self, row: Option<(Lease, u64)>, now_ms: u64) -> Option<Change> {
        let (lease, version) = match row {
            Some((lease, version)) => (Some(lease), version),
            None => (None, 0),
        };
        if let Some(pending) = self.pending.take() {
            let is_own = lease
                .as_ref()
                .is_some_and(|l| l.nonce == pending.lease.nonce);
            if is_own {
                return self.on_written(pending, version, now_ms);
            }
        }
        self.observe(lease, version, now_ms);
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

    fn observe(&mut self, lease: Option<Lease>, version: u64, now_ms: u64) {
        let is_same = self
            .observed
            .as_ref()
            .is_some_and(|observed| observed.version == version);
        if !is_same {
            self.observed = Some(Observed {
                lease,
                version,
                observed_at_ms: now_ms,
            });
        }
    }

    fn on_written(&mut self, pending: Pending, version: u64, now_ms: u64) -> Option<Change> {
        let Pending { lease, sent_ms } = pending;
        let was_held = self.held.take().map(|held| held.fencing);
        self.observe(Some(lease.clone()), version, now_ms);
        if lease.is_released {
            return was_held.map(|_| Change::Lost);
        }
        self.held = Some(Held {
            fencing: lease.fencing,
            version,
            expires_at_ms: sent_ms + self.times.duration_ms,
            renew_at_ms: sent_ms + self.times.renew_ms,
        });
        (was_held != Some(lease.fencing)).then_some(Change::Acquired(lease.fencing))
    }

    /// Drops the lease if it has expired.
    pub fn expire(&mut self, now_ms: u64) -> Option<Change> {
        if self
            .held
            .as_ref()
            .is_some_and(|held| now_ms >= held.expires_at_ms)
        {
            self.held = None;
            return Some(Change::Lost);
        }
        None
    }

    /// Whether this process last knew itself as the holder; the lease may have expired since,
    /// see [`LeaseMachine::expire`].
    pub fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// Returns the write that is due: a renewal, or a takeover of a free lease. None while the
    /// effect of an earlier write is unknown; the row must be read first.
    pub fn due_write<R>(&mut self, now_ms: u64, random: &mut R) -> Option<LeaseWrite>
    where
        R: Rng,
    {
        if self.pending.is_some() {
            return None;
        }
        let (fencing, condition) = match &self.held {
            Some(held) if now_ms >= held.expires_at_ms => return None,
            Some(held) if now_ms < held.renew_at_ms => return None,
            Some(held) => (held.fencing, Condition::Version(held.version)),
            None => self.takeover(now_ms)?,
        };
        Some(self.prepare_write(fencing, condition, false, now_ms, random))
    }

    /// Returns the write that releases the lease, if it is held.
    pub fn release<R>(&mut self, now_ms: u64, random: &mut R) -> Option<LeaseWrite>
    where
        R: Rng,
    {
        let held = self.held.as_ref()?;
        let (fencing, condition) = (held.fencing, Condition::Version(held.version));
        Some(self.prepare_write(fencing, condition, true, now_ms, random))
    }

    fn takeover(&self, now_ms: u64) -> Option<(FencingNumber, Condition)> {
        let observed = self.observed.as_ref()?;
        let Some(lease) = &observed.lease else {
            return Some((FencingNumber(1), Condition::Absent));
        };
        let free_at_ms = match lease.is_released {
            true => observed.observed_at_ms,
            false => observed.observed_at_ms + lease.duration_ms + self.times.drift_ms,
        };
        let next = FencingNumber(lease.fencing.0 + 1);
        (now_ms >= free_at_ms).then_some((next, Condition::Version(observed.version)))
    }

    fn prepare_write<R>(
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
