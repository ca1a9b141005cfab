//! Claims on idempotency keys: runs the state machine of each claim against the table and
//! stores outcomes in the background.

#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_channel::Receiver;
use parking_lot::Mutex;
use rand::RngExt;

use crate::control::commit::{CommitResult, GROUP_MAX, GroupCommit};
use crate::decide::claim::{
    Action, Claim, ClaimRow, Denial, Event, Limits, Outcome, RowState, StoredClaim,
};
use crate::edge::clock::Clock;
use crate::edge::table::{Condition, Row, Table, Write};
use crate::ids::{RequestId, RouterId};
use crate::runtime::Runtime;

/// Longest time from the start of a claim to the first byte sent to a backend server.
const DISPATCH_WINDOW_MS: u64 = 30_000;
/// Time after which a claim is refused if the table does not respond; also limits the wait
/// for the write that releases a claim.
const TABLE_TIMEOUT_MS: u64 = 2_000;
/// Limit of outcomes that wait to be written. Further outcomes are dropped and their claims
/// stay held, which is safe: the call is not run again.
const PENDING_OUTCOMES_MAX: usize = 10_000;
/// Attempts to write an outcome; with the backoff below they last about ten minutes.
const SETTLE_ATTEMPTS_MAX: u32 = 130;
const SETTLE_BACKOFF_BASE: Duration = Duration::from_millis(50);
const SETTLE_BACKOFF_MAX: Duration = Duration::from_secs(5);

/// Result of a request's attempt to claim its key.
#[derive(Debug)]
pub enum Acquired {
    /// The request holds the claim and may be dispatched.
    Held(HeldClaim),
    /// The request is refused.
    Refused(Denial),
    /// An earlier call with the same key was answered; its stored outcome is the response.
    Replay(Outcome),
}

/// Acquires and settles this router's claims. Clones share the same state.
#[derive(Clone)]
pub struct Claims {
    runtime: Runtime,
    clock: Arc<dyn Clock>,
    table: Arc<dyn Table>,
    commit: GroupCommit,
    router: RouterId,
    pending_outcomes: Arc<AtomicUsize>,
}

impl std::fmt::Debug for Claims {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Claims").finish_non_exhaustive()
    }
}

impl Claims {
    /// Starts the task that commits writes in groups.
    pub fn new(
        runtime: Runtime,
        clock: Arc<dyn Clock>,
        table: Arc<dyn Table>,
        router: RouterId,
    ) -> Self {
        Self {
            commit: GroupCommit::spawn(&runtime, Arc::clone(&table), GROUP_MAX),
            pending_outcomes: Arc::new(AtomicUsize::new(0)),
            runtime,
            clock,
            table,
            router,
        }
    }

    /// Number of outcomes and releases that are not written yet.
    pub fn pending_outcomes(&self) -> usize {
        self.pending_outcomes.load(Ordering::Relaxed)
    }

    /// Claims the row `key` for a request with this digest, before `deadline_ms` of the
    /// monotonic clock.
    pub async fn acquire(&self, key: String, digest: String, deadline_ms: u64) -> Acquired {
        let row = ClaimRow {
            nonce: RequestId::random().to_string(),
            digest,
            router: self.router.clone(),
            claimed_wall_ms: self.clock.wall_ms(),
            state: RowState::Held,
        };
        let limits = Limits {
            deadline_ms,
            window_ms: DISPATCH_WINDOW_MS,
            table_timeout_ms: TABLE_TIMEOUT_MS,
        };
        let mut claim = Claim::new(row, limits, rand::rng().random());
        let mut event = Event::Start;
        loop {
            let actions = claim.step(event, self.clock.monotonic_ms());
            let mut next_event = None;
            let mut result = None;
            let mut settled = None;
            for action in actions {
                match action {
                    Action::Write {
                        row,
                        condition,
                        after_ms,
                    } => next_event = Some(self.write(&key, &row, condition, after_ms).await),
                    Action::ReadBack { after_ms } => {
                        next_event = Some(self.read_back(&key, after_ms).await);
                    }
                    Action::Settle { row, condition } => {
                        settled = Some(self.spawn_settle(&key, row, condition));
                    }
                    Action::Refuse(denial) => result = Some(Acquired::Refused(denial)),
                    Action::Replay(outcome) => result = Some(Acquired::Replay(outcome)),
                    Action::Dispatch => return Acquired::Held(self.held_claim(key, claim)),
                }
            }
            // Waits for the release only after a missed deadline: with the table down the
            // write cannot complete soon.
            if let (Some(Acquired::Refused(Denial::DeadlinePassed)), Some(settled)) =
                (&result, settled)
            {
                wait_until_settled(settled).await;
            }
            match (result, next_event) {
                (Some(result), _) => return result,
                (None, Some(next_event)) => event = next_event,
                (None, None) => return Acquired::Refused(Denial::Held),
            }
        }
    }

    fn held_claim(&self, key: String, claim: Claim) -> HeldClaim {
        HeldClaim {
            claims: self.clone(),
            key,
            claim: Arc::new(Mutex::new(claim)),
        }
    }

    async fn write(&self, key: &str, row: &ClaimRow, condition: Condition, after_ms: u64) -> Event {
        pause(after_ms).await;
        match self.commit.submit(encode(key, row, condition)).await {
            CommitResult::Written(version) => Event::Written(version),
            CommitResult::Conflict(row) => Event::Conflict(row.map(decode)),
            CommitResult::ResponseLost => Event::ResponseLost,
            CommitResult::Unavailable => Event::Unavailable,
        }
    }

    async fn read_back(&self, key: &str, after_ms: u64) -> Event {
        pause(after_ms).await;
        match self.table.get(key).await {
            Ok(row) => Event::ReadBack(row.map(decode)),
            Err(_) => Event::Unavailable,
        }
    }

    /// Writes the final row of a claim in the background; the returned channel closes when
    /// the write has succeeded or was given up.
    fn spawn_settle(&self, key: &str, row: ClaimRow, condition: Condition) -> Receiver<()> {
        let (done, settled) = async_channel::bounded(1);
        let claims = self.clone();
        let key = key.to_owned();
        self.runtime.spawn_detached(async move {
            claims.settle(&key, row, condition).await;
            drop(done);
        });
        settled
    }

    /// Writes the final row of a claim, with retries.
    async fn settle(&self, key: &str, row: ClaimRow, condition: Condition) {
        let has_capacity =
            self.pending_outcomes.fetch_add(1, Ordering::Relaxed) < PENDING_OUTCOMES_MAX;
        if !has_capacity || !self.settle_with_retries(key, &row, condition).await {
            log::warn!("event=claim_not_settled key=\"{key}\"");
        }
        self.pending_outcomes.fetch_sub(1, Ordering::Relaxed);
    }

    async fn settle_with_retries(
        &self,
        key: &str,
        row: &ClaimRow,
        mut condition: Condition,
    ) -> bool {
        let mut delay = SETTLE_BACKOFF_BASE;
        for _ in 0..SETTLE_ATTEMPTS_MAX {
            match self.commit.submit(encode(key, row, condition)).await {
                CommitResult::Written(_) => return true,
                CommitResult::Conflict(found) => match own_held_version(found, row) {
                    Some(version) => condition = Condition::Version(version),
                    // An earlier attempt took effect, or another claimant owns the row.
                    None => return true,
                },
                CommitResult::ResponseLost | CommitResult::Unavailable => {
                    smol::Timer::after(delay).await;
                    delay = (delay * 2).min(SETTLE_BACKOFF_MAX);
                }
            }
        }
        false
    }
}

/// Version of the row found in the table, if it belongs to the same claim as `row` and that
/// claim is still held.
fn own_held_version(found: Option<Row>, row: &ClaimRow) -> Option<u64> {
    let found = decode(found?);
    let held = found.row?;
    let is_own = held.nonce == row.nonce && held.state == RowState::Held;
    is_own.then_some(found.version)
}

/// Waits, for a limited time, until the release of a row is written, so that the caller's
/// next request finds the key free.
async fn wait_until_settled(settled: Receiver<()>) {
    let wait = async {
        let _ = settled.recv().await;
    };
    futures_lite::future::or(wait, pause(TABLE_TIMEOUT_MS)).await;
}

async fn pause(after_ms: u64) {
    if after_ms > 0 {
        smol::Timer::after(Duration::from_millis(after_ms)).await;
    }
}

fn encode(key: &str, row: &ClaimRow, condition: Condition) -> Write {
    Write {
        key: key.to_owned(),
        value: serde_json::to_string(row).expect("claim rows always encode as JSON"),
        condition,
    }
}

fn decode(row: Row) -> StoredClaim {
    StoredClaim {
        row: serde_json::from_str(&row.value).ok(),
        version: row.version,
    }
}

/// A claim held by a request of this router.
#[derive(Debug, Clone)]
pub struct HeldClaim {
    claims: Claims,
    key: String,
    claim: Arc<Mutex<Claim>>,
}

impl HeldClaim {
    fn step(&self, event: Event) -> Vec<Action> {
        let now_ms = self.claims.clock.monotonic_ms();
        self.claim.lock().step(event, now_ms)
    }

    /// Whether the first byte of an attempt may be sent; called immediately before it. On
    /// success the claim counts as dispatched.
    pub fn try_begin_dispatch(&self) -> bool {
        self.step(Event::DispatchBegun) == [Action::Dispatch]
    }

    /// Records that the attempt ended and certainly did not run.
    pub fn record_attempt_not_run(&self) {
        self.step(Event::AttemptNotRun);
    }

    /// Releases the claim, as no attempt of the call ran. Waits for the write, so that the
    /// caller's next request finds the key free.
    pub async fn release(&self) {
        for action in self.step(Event::NotRun) {
            if let Action::Settle { row, condition } = action {
                let settled = self.claims.spawn_settle(&self.key, row, condition);
                wait_until_settled(settled).await;
            }
        }
    }

    /// Stores the response to the call in the background.
    pub fn store_outcome(&self, outcome: Outcome) {
        for action in self.step(Event::Answered(outcome)) {
            if let Action::Settle { row, condition } = action {
                drop(self.claims.spawn_settle(&self.key, row, condition));
            }
        }
    }

    /// Records that the call may have run and that no response will arrive; the claim stays held.
    pub fn record_unknown(&self) {
        self.step(Event::Unknown);
    }
}
