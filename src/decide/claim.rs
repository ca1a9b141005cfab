//! State machine that claims a non-idempotent call for one request, so that the call runs at
//! most once.
//!
//! Only the holder of a call's claim row may dispatch the call, and a held row is never
//! taken over. The row is inserted only if it is absent and carries a nonce of its holder, so
//! that the holder can recognise its own write when the response to the write was lost. A
//! holder that knows that nothing ran marks the row as released and never dispatches again;
//! the next claimant replaces exactly that version of the row with its own nonce.

#[cfg(test)]
mod tests;

use serde::{Deserialize, Serialize};

use crate::edge::table::Condition;
use crate::ids::{RouterId, RunState};

/// Response to a call that ran, stored for later requests with the same idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `content-type` header; absent when the response had none.
    pub content_type: Option<String>,
    /// Body in Base64; absent when it was too large to store.
    pub body_base64: Option<String>,
    /// Whether the call ran, as reported with the response.
    pub run_state: RunState,
}

/// State of a claim row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowState {
    /// The holder may dispatch the call or has dispatched it.
    Held,
    /// The holder gave up the claim and the call did not run.
    Released,
    /// The call was answered, with this outcome.
    Finished(Outcome),
}

/// Value of a claim row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Random text that identifies the holder; unique to each claim of each request.
    pub nonce: String,
    /// Digest of the request, which detects a key that is reused for another request.
    pub digest: String,
    /// Router that handles the holder's request.
    pub router: RouterId,
    /// Time of the claim by the router's wall clock, in ms since the Unix epoch.
    pub claimed_wall_ms: u64,
    /// Progress of the call.
    pub state: RowState,
}

/// A row that the table holds under the claim's key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredClaim {
    /// Decoded value; absent when it is no valid claim.
    pub row: Option<ClaimRow>,
    /// Version of the row, for conditional writes.
    pub version: u64,
}

/// Input of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The request starts to acquire its claim.
    Start,
    /// The write took effect; the row now has this version.
    Written(u64),
    /// The write's condition failed; holds the row in the table, if there is one.
    Conflict(Option<StoredClaim>),
    /// The response to the write was lost, so the write may have taken effect.
    ResponseLost,
    /// The row that was read after a lost response, if there is one.
    ReadBack(Option<StoredClaim>),
    /// The table could not be reached; nothing was written or read.
    Unavailable,
    /// The first byte of an attempt is about to be sent to a server.
    DispatchBegun,
    /// An attempt ended and is known not to have run.
    AttemptNotRun,
    /// The call ended and none of its attempts ran.
    NotRun,
    /// The call was answered.
    Answered(Outcome),
    /// The call may have run, and no response is expected any more.
    Unknown,
}

/// Why a claim is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// Another claim holds the key and has no stored outcome.
    Held,
    /// The key was used for a request with another digest.
    KeyReused,
    /// The table did not respond within the time limit.
    TableUnavailable,
    /// The request's deadline or the claim's dispatch window passed before the dispatch.
    DeadlinePassed,
}

impl Denial {
    /// Run state that the refusal reports to the caller.
    pub fn run_state(self) -> RunState {
        match self {
            Self::Held => RunState::Unknown,
            Self::KeyReused | Self::TableUnavailable | Self::DeadlinePassed => RunState::NotRun,
        }
    }
}

/// Output of the state machine, executed by the driver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Write the claim row after a delay.
    Write {
        /// New content of the row.
        row: ClaimRow,
        /// Condition under which the write takes effect.
        condition: Condition,
        /// Delay before the write in ms.
        after_ms: u64,
    },
    /// Read the row after a delay.
    ReadBack {
        /// Delay before the read in ms.
        after_ms: u64,
    },
    /// The call may be dispatched, or its next attempt may send.
    Dispatch,
    /// Refuse the request for this reason.
    Refuse(Denial),
    /// Respond with the stored outcome of an earlier call.
    Replay(Outcome),
    /// Write the final state of the claim in the background. If the condition fails because
    /// an earlier write of this claim took effect after all, replace that row instead.
    Settle {
        /// New content of the row.
        row: ClaimRow,
        /// Condition under which the write takes effect.
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

/// Time limits of one claim, on the monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Deadline of the request in ms.
    pub deadline_ms: u64,
    /// Longest time from the start of the claim to the dispatch in ms.
    pub window_ms: u64,
    /// Time after which no further table access is started, in ms from the start of the claim.
    pub table_timeout_ms: u64,
}

/// Delay before the first retry of a table access; it doubles with each further retry.
const BACKOFF_BASE_MS: u64 = 10;
/// Longest delay between table accesses, without jitter.
const BACKOFF_MAX_MS: u64 = 320;

/// State of one request's claim.
#[derive(Debug)]
pub struct Claim {
    own_row: ClaimRow,
    limits: Limits,
    /// Random bits added to the backoff, so that claims that failed together do not retry
    /// at the same time.
    jitter: u64,
    started_ms: u64,
    phase: Phase,
    failures: u32,
    may_be_written: bool,
}

impl Claim {
    /// Creates a claim that has not started; `row` must be in state `Held` with a new nonce.
    pub fn new(row: ClaimRow, limits: Limits, jitter: u64) -> Self {
        Self {
            own_row: row,
            limits,
            jitter,
            started_ms: 0,
            phase: Phase::Idle,
            failures: 0,
            may_be_written: false,
        }
    }

    /// Processes an event that occurs at `now_ms` and returns the actions to execute.
    pub fn step(&mut self, event: Event, now_ms: u64) -> Vec<Action> {
        match (self.phase, event) {
            (Phase::Idle, Event::Start) => self.start(now_ms),
            (Phase::Writing(_), Event::Written(version)) => self.on_acquired(version, now_ms),
            (Phase::Writing(_), Event::Conflict(found)) => self.on_stored_row(found, now_ms),
            (Phase::Writing(condition), Event::ResponseLost) => {
                self.may_be_written = true;
                self.phase = Phase::ReadingBack(condition);
                self.retry_access(now_ms)
            }
            (Phase::ReadingBack(_), Event::ReadBack(found)) => self.on_stored_row(found, now_ms),
            (Phase::Writing(_) | Phase::ReadingBack(_), Event::Unavailable) => {
                self.retry_access(now_ms)
            }
            (Phase::Held(version), Event::DispatchBegun) => self.begin_dispatch(version, now_ms),
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
            // In any other phase the event must neither start an attempt nor change the row.
            _ => Vec::new(),
        }
    }

    /// Whether an attempt was dispatched and may still run.
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
            row: self.own_row.clone(),
            condition,
            after_ms,
        }
    }

    fn is_past_dispatch_limit(&self, now_ms: u64) -> bool {
        let window_end_ms = self.started_ms + self.limits.window_ms;
        now_ms >= self.limits.deadline_ms.min(window_end_ms)
    }

    fn on_acquired(&mut self, version: u64, now_ms: u64) -> Vec<Action> {
        if self.is_past_dispatch_limit(now_ms) {
            let release = self.release(Condition::Version(version));
            return vec![Action::Refuse(Denial::DeadlinePassed), release];
        }
        self.phase = Phase::Held(version);
        vec![Action::Dispatch]
    }

    fn begin_dispatch(&mut self, version: u64, now_ms: u64) -> Vec<Action> {
        if self.is_past_dispatch_limit(now_ms) {
            return vec![Action::Refuse(Denial::DeadlinePassed)];
        }
        self.phase = Phase::Running(version);
        vec![Action::Dispatch]
    }

    /// Retries the table access after a failure, or refuses once the time limit has passed.
    fn retry_access(&mut self, now_ms: u64) -> Vec<Action> {
        let table_timeout_at_ms = self.started_ms + self.limits.table_timeout_ms;
        if now_ms >= self.limits.deadline_ms.min(table_timeout_at_ms) {
            return self.refuse(Denial::TableUnavailable);
        }
        let after_ms = self.next_backoff_ms();
        match self.phase {
            Phase::Writing(condition) => vec![self.write(condition, after_ms)],
            _ => vec![Action::ReadBack { after_ms }],
        }
    }

    fn next_backoff_ms(&mut self) -> u64 {
        let backoff_ms = (BACKOFF_BASE_MS << self.failures.min(8)).min(BACKOFF_MAX_MS);
        self.failures += 1;
        backoff_ms + self.jitter.rotate_right(self.failures) % backoff_ms
    }

    /// Refuses the request. If an earlier write may still take effect, also writes a released
    /// row under the same condition, so that only one of the two writes takes effect and the
    /// key does not stay held.
    fn refuse(&mut self, denial: Denial) -> Vec<Action> {
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

    /// Decides by the row that the table holds.
    fn on_stored_row(&mut self, found: Option<StoredClaim>, now_ms: u64) -> Vec<Action> {
        let Some(found) = found else {
            return self.write_again(Condition::Absent, now_ms);
        };
        let Some(row) = found.row else {
            return self.refuse(Denial::Held);
        };
        if row.nonce == self.own_row.nonce && row.state == RowState::Held {
            return self.on_acquired(found.version, now_ms);
        }
        if row.digest != self.own_row.digest {
            return self.refuse(Denial::KeyReused);
        }
        match row.state {
            RowState::Held => self.refuse(Denial::Held),
            RowState::Released => self.write_again(Condition::Version(found.version), now_ms),
            RowState::Finished(outcome) => {
                self.phase = Phase::Done;
                vec![Action::Replay(outcome)]
            }
        }
    }

    fn write_again(&mut self, condition: Condition, now_ms: u64) -> Vec<Action> {
        if now_ms >= self.started_ms + self.limits.table_timeout_ms {
            return self.refuse(Denial::TableUnavailable);
        }
        vec![self.write(condition, 0)]
    }

    fn settle(&self, condition: Condition, state: RowState) -> Action {
        let row = ClaimRow {
            state,
            ..self.own_row.clone()
        };
        Action::Settle { row, condition }
    }

    /// Releases the claim for a later call; this claim never dispatches afterwards.
    fn release(&mut self, condition: Condition) -> Action {
        self.phase = Phase::Done;
        self.settle(condition, RowState::Released)
    }
}
