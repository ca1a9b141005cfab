//! The claim of a non-idempotent call, as a state machine of one request.
//!
//! A call may be dispatched only by the holder of its claim row, and a held row is never
//! taken over. The row is inserted if absent, with the holder's nonce, so the holder can
//! recognise its own write after a lost answer. A holder that knows that nothing ran marks
//! the row as released and is then finished for good; the next claimant replaces exactly
//! that version of the row with a nonce of its own.

#[cfg(test)]
mod tests;

use serde::{Deserialize, Serialize};

use crate::edge::table::Condition;
use crate::ids::{RouterId, RunState};

/// Answer of a call that ran, as kept for later callers with the same key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// HTTP status.
    pub status: u16,
    /// `content-type`, when there was one.
    pub content_type: Option<String>,
    /// Body in Base64; absent when it was too large to keep.
    pub body_base64: Option<String>,
    /// What the answer says about the run.
    pub run_state: RunState,
}

/// State of a claim row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowState {
    /// The holder may dispatch the call, or did.
    Held,
    /// The holder ended without a byte of the call having run.
    Released,
    /// The call was answered.
    Finished(Outcome),
}

/// Value of a claim row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Random text of the claim's holder; each claim of each request has its own.
    pub nonce: String,
    /// Digest of the request.
    pub digest: String,
    /// The holder's router.
    pub router: RouterId,
    /// When the claim was made, by the router's clock, in ms since 1970.
    pub claimed_wall_ms: u64,
    /// Its state.
    pub state: RowState,
}

/// A claim row as found in the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredClaim {
    /// Its value; absent when it cannot be read as a claim.
    pub row: Option<ClaimRow>,
    /// Its version.
    pub version: u64,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The request asks for its claim.
    Start,
    /// The write took effect and made this version.
    Written(u64),
    /// The write did not take effect, because of this row or because there is none.
    Conflict(Option<StoredClaim>),
    /// The write may have taken effect.
    AnswerLost,
    /// What was read after a lost answer.
    ReadBack(Option<StoredClaim>),
    /// The table could not be asked; nothing was written or read.
    Unavailable,
    /// The first byte of an attempt is about to be written.
    DispatchBegun,
    /// An attempt ended and surely did not run.
    AttemptNotRun,
    /// The call ended and no attempt of it ran.
    NotRun,
    /// The call was answered.
    Answered(Outcome),
    /// The call may have run, and no answer will come.
    Unknown,
}

/// Why a call is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// Another claim holds the key and has no outcome.
    Held,
    /// The key was used for another request.
    KeyReused,
    /// The table cannot be asked.
    TableUnavailable,
    /// The deadline or the claim's window passed before the dispatch.
    DeadlinePassed,
}

impl Denial {
    /// What the caller is told about the run of the call.
    pub fn run_state(self) -> RunState {
        match self {
            Self::Held => RunState::Unknown,
            Self::KeyReused | Self::TableUnavailable | Self::DeadlinePassed => RunState::NotRun,
        }
    }
}

/// What to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Write the claim after a pause.
    Write {
        /// The new row.
        row: ClaimRow,
        /// When it may take effect.
        condition: Condition,
        /// Pause before the write in ms.
        after_ms: u64,
    },
    /// Read the row after a pause.
    ReadBack {
        /// Pause before the read in ms.
        after_ms: u64,
    },
    /// The call may be dispatched, or its next attempt may write.
    Dispatch,
    /// Refuse the request.
    Refuse(Denial),
    /// Answer from the stored outcome.
    Replay(Outcome),
    /// Write the end of the claim in the background. When the condition fails because the
    /// claim's own write took effect after all, that row is replaced instead.
    Settle {
        /// The new row.
        row: ClaimRow,
        /// When it may take effect.
        condition: Condition,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Idle,
    Writing(Condition),
    ReadingBack(Condition),
    Held(u64),
    Running(u64),
    Done,
}

/// Limits of one claim, by the monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The request's deadline in ms.
    pub deadline_ms: u64,
    /// Longest time from the start of the claim to the dispatch in ms.
    pub window_ms: u64,
    /// Longest time for which the table is asked in ms.
    pub table_timeout_ms: u64,
}

/// First pause before the table is asked again in ms; each further one is twice as long.
const PAUSE_BASE_MS: u64 = 10;
/// Longest pause before the table is asked again in ms.
const PAUSE_MAX_MS: u64 = 320;

/// The claim of one request.
#[derive(Debug)]
pub struct Claim {
    held_row: ClaimRow,
    limits: Limits,
    /// Adds to the pauses so that claims that failed together do not return together.
    jitter: u64,
    started_ms: u64,
    phase: Phase,
    failures: u32,
    may_be_written: bool,
}

impl Claim {
    /// A claim that is not yet asked for; `row` is in state `Held` with a fresh nonce.
    pub fn new(row: ClaimRow, limits: Limits, jitter: u64) -> Self {
        Self {
            held_row: row,
            limits,
            jitter,
            started_ms: 0,
            phase: Phase::Idle,
            failures: 0,
            may_be_written: false,
        }
    }

    /// Takes an event at a time in ms.
    pub fn step(&mut self, event: Event, now_ms: u64) -> Vec<Action> {
        match (self.phase, event) {
            (Phase::Idle, Event::Start) => self.start(now_ms),
            (Phase::Writing(_), Event::Written(version)) => self.hold(version, now_ms),
            (Phase::Writing(_), Event::Conflict(found)) => self.judge(found, now_ms),
            (Phase::Writing(condition), Event::AnswerLost) => {
                self.may_be_written = true;
                self.phase = Phase::ReadingBack(condition);
                self.again(now_ms)
            }
            (Phase::ReadingBack(_), Event::ReadBack(found)) => self.judge(found, now_ms),
            (Phase::Writing(_) | Phase::ReadingBack(_), Event::Unavailable) => self.again(now_ms),
            (Phase::Held(version), Event::DispatchBegun) => self.begin(version, now_ms),
            (Phase::Running(version), Event::AttemptNotRun) => {
                self.phase = Phase::Held(version);
                Vec::new()
            }
            (Phase::Held(version), Event::NotRun) => {
                vec![self.release(Condition::Version(version))]
            }
            (Phase::Running(version), Event::Answered(outcome)) => {
                self.phase = Phase::Done;
                vec![self.settle(Condition::Version(version), RowState::Finished(outcome))]
            }
            (Phase::Held(_) | Phase::Running(_), Event::Unknown) => {
                self.phase = Phase::Done;
                Vec::new()
            }
            // No other event may start an attempt or change the row.
            _ => Vec::new(),
        }
    }

    /// Whether an attempt may be running now.
    pub fn is_running(&self) -> bool {
        matches!(self.phase, Phase::Running(_))
    }

    fn start(&mut self, now_ms: u64) -> Vec<Action> {
        self.started_ms = now_ms;
        if now_ms >= self.limits.deadline_ms {
            self.phase = Phase::Done;
            return vec![Action::Refuse(Denial::DeadlinePassed)];
        }
        vec![self.write(Condition::Absent, 0)]
    }

    fn write(&mut self, condition: Condition, after_ms: u64) -> Action {
        self.phase = Phase::Writing(condition);
        Action::Write {
            row: self.held_row.clone(),
            condition,
            after_ms,
        }
    }

    fn is_too_late(&self, now_ms: u64) -> bool {
        let window_end_ms = self.started_ms + self.limits.window_ms;
        now_ms >= self.limits.deadline_ms.min(window_end_ms)
    }

    fn hold(&mut self, version: u64, now_ms: u64) -> Vec<Action> {
        if self.is_too_late(now_ms) {
            let release = self.release(Condition::Version(version));
            return vec![Action::Refuse(Denial::DeadlinePassed), release];
        }
        self.phase = Phase::Held(version);
        vec![Action::Dispatch]
    }

    fn begin(&mut self, version: u64, now_ms: u64) -> Vec<Action> {
        if self.is_too_late(now_ms) {
            return vec![Action::Refuse(Denial::DeadlinePassed)];
        }
        self.phase = Phase::Running(version);
        vec![Action::Dispatch]
    }

    /// Asks the table again after a failure, or gives up.
    fn again(&mut self, now_ms: u64) -> Vec<Action> {
        let table_timeout_at_ms = self.started_ms + self.limits.table_timeout_ms;
        if now_ms >= self.limits.deadline_ms.min(table_timeout_at_ms) {
            return self.deny(Denial::TableUnavailable);
        }
        let after_ms = self.next_pause_ms();
        match self.phase {
            Phase::Writing(condition) => vec![self.write(condition, after_ms)],
            _ => vec![Action::ReadBack { after_ms }],
        }
    }

    fn next_pause_ms(&mut self) -> u64 {
        let pause_ms = (PAUSE_BASE_MS << self.failures.min(8)).min(PAUSE_MAX_MS);
        self.failures += 1;
        pause_ms + self.jitter.rotate_right(self.failures) % pause_ms
    }

    /// Refuses. A write that may still take effect is forestalled: the released row has the
    /// same condition, so only one of the two takes effect.
    fn deny(&mut self, denial: Denial) -> Vec<Action> {
        let mut actions = vec![Action::Refuse(denial)];
        if let (
            Phase::Writing(condition) | Phase::ReadingBack(condition),
            true,
            Denial::TableUnavailable,
        ) = (self.phase, self.may_be_written, denial)
        {
            actions.push(self.release(condition));
        }
        self.phase = Phase::Done;
        actions
    }

    /// Decides by the row that stands in the table.
    fn judge(&mut self, found: Option<StoredClaim>, now_ms: u64) -> Vec<Action> {
        let Some(found) = found else {
            return self.write_again(Condition::Absent, now_ms);
        };
        let Some(row) = found.row else {
            return self.deny(Denial::Held);
        };
        if row.nonce == self.held_row.nonce && row.state == RowState::Held {
            return self.hold(found.version, now_ms);
        }
        if row.digest != self.held_row.digest {
            return self.deny(Denial::KeyReused);
        }
        match row.state {
            RowState::Held => self.deny(Denial::Held),
            RowState::Released => self.write_again(Condition::Version(found.version), now_ms),
            RowState::Finished(outcome) => {
                self.phase = Phase::Done;
                vec![Action::Replay(outcome)]
            }
        }
    }

    fn write_again(&mut self, condition: Condition, now_ms: u64) -> Vec<Action> {
        if now_ms >= self.started_ms + self.limits.table_timeout_ms {
            return self.deny(Denial::TableUnavailable);
        }
        vec![self.write(condition, 0)]
    }

    fn settle(&self, condition: Condition, state: RowState) -> Action {
        let row = ClaimRow {
            state,
            ..self.held_row.clone()
        };
        Action::Settle { row, condition }
    }

    /// Marks the claim as free for a later call; this machine never dispatches again.
    fn release(&mut self, condition: Condition) -> Action {
        self.phase = Phase::Done;
        self.settle(condition, RowState::Released)
    }
}
