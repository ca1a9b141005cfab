//! Claims of this router: drives the state machine of each claim against the table and
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
    Action, Claim, ClaimRow, Denial, Event, Found, Limits, Outcome, RowState,
};
use crate::edge::clock::Clock;
use crate::edge::table::{Condition, Row, Table, Write};
use crate::ids::{RequestId, RouterId};
use crate::runtime::Runtime;

/// Longest time from the start of a claim to the first byte of its dispatch.
const WINDOW_MS: u64 = 30_000;
/// Longest time for which the table is asked before a claim is refused.
const PATIENCE_MS: u64 = 2_000;
/// Rows whose outcome waits to be written; further outcomes are dropped and their claims
/// stay held, which is safe.
const SETTLING_MAX: usize = 10_000;
/// Tries to write an outcome; with the pauses below they last about ten minutes.
const SETTLE_TRIES: u32 = 130;
const SETTLE_PAUSE: Duration = Duration::from_millis(50);
const SETTLE_PAUSE_MAX: Duration = Duration::from_secs(5);

/// What a request learns about its claim.
#[derive(Debug)]
pub enum Acquired {
    /// The request holds the claim and may be dispatched.
    Held(HeldClaim),
    /// The request is refused.
    Refused(Denial),
    /// The call was answered before.
    Replay(Outcome),
}

/// Owner of this router's claims.
#[derive(Clone)]
pub struct Claims {
    runtime: Runtime,
    clock: Arc<dyn Clock>,
    table: Arc<dyn Table>,
    commit: GroupCommit,
    router: RouterId,
    settling: Arc<AtomicUsize>,
}

impl std::fmt::Debug for Claims {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Claims").finish_non_exhaustive()
    }
}

impl Claims {
    /// Starts the committer of a router.
    pub fn open(
        runtime: Runtime,
        clock: Arc<dyn Clock>,
        table: Arc<dyn Table>,
        router: RouterId,
    ) -> Self {
        Self {
            commit: GroupCommit::spawn(&runtime, Arc::clone(&table), GROUP_MAX),
            settling: Arc::new(AtomicUsize::new(0)),
            runtime,
            clock,
            table,
            router,
        }
    }

    /// Outcomes and releases that are not yet written.
    pub fn pending_outcomes(&self) -> usize {
        self.settling.load(Ordering::Relaxed)
    }

    /// Claims the row `key` for a request with this digest.
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
            window_ms: WINDOW_MS,
            patience_ms: PATIENCE_MS,
        };
        let mut claim = Claim::new(row, limits, rand::rng().random());
        let mut event = Event::Start;
        loop {
            let actions = claim.step(event, self.clock.monotonic_ms());
            let mut next = None;
            let mut end = None;
            let mut settled = None;
            for action in actions {
                match action {
                    Action::Write {
                        row,
                        condition,
                        after_ms,
                    } => next = Some(self.write(&key, &row, condition, after_ms).await),
                    Action::ReadBack { after_ms } => {
                        next = Some(self.read_back(&key, after_ms).await);
                    }
                    Action::Settle { row, condition } => {
                        settled = Some(self.settle_later(&key, row, condition));
                    }
                    Action::Refuse(denial) => end = Some(Acquired::Refused(denial)),
                    Action::Replay(outcome) => end = Some(Acquired::Replay(outcome)),
                    Action::Dispatch => return Acquired::Held(self.held(key, claim)),
                }
            }
            // With the table down there is no use in waiting for it.
            if let (Some(Acquired::Refused(Denial::TooLate)), Some(settled)) = (&end, settled) {
                wait_settled(settled).await;
            }
            match (end, next) {
                (Some(end), _) => return end,
                (None, Some(next)) => event = next,
                (None, None) => return Acquired::Refused(Denial::Held),
            }
        }
    }

    fn held(&self, key: String, claim: Claim) -> HeldClaim {
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
            CommitResult::AnswerLost => Event::AnswerLost,
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

    /// Settles in the background; the returned channel closes when it is done.
    fn settle_later(&self, key: &str, row: ClaimRow, condition: Condition) -> Receiver<()> {
        let (done, settled) = async_channel::bounded(1);
        let claims = self.clone();
        let key = key.to_owned();
        self.runtime.detach(async move {
            claims.settle(&key, row, condition).await;
            drop(done);
        });
        settled
    }

    /// Writes the end of a claim, with retries.
    async fn settle(&self, key: &str, row: ClaimRow, condition: Condition) {
        let is_room = self.settling.fetch_add(1, Ordering::Relaxed) < SETTLING_MAX;
        if !is_room || !self.settle_with_retries(key, &row, condition).await {
            log::warn!("event=claim_not_settled key=\"{key}\"");
        }
        self.settling.fetch_sub(1, Ordering::Relaxed);
    }

    async fn settle_with_retries(
        &self,
        key: &str,
        row: &ClaimRow,
        mut condition: Condition,
    ) -> bool {
        let mut delay = SETTLE_PAUSE;
        for _ in 0..SETTLE_TRIES {
            match self.commit.submit(encode(key, row, condition)).await {
                CommitResult::Written(_) => return true,
                CommitResult::Conflict(found) => match own_held(found, row) {
                    Some(version) => condition = Condition::Version(version),
                    // An earlier try took effect, or the row is another claimant's.
                    None => return true,
                },
                CommitResult::AnswerLost | CommitResult::Unavailable => {
                    smol::Timer::after(delay).await;
                    delay = (delay * 2).min(SETTLE_PAUSE_MAX);
                }
            }
        }
        false
    }
}

/// Version of the row, if it is the held row of the same claim as `row`.
fn own_held(found: Option<Row>, row: &ClaimRow) -> Option<u64> {
    let found = decode(found?);
    let held = found.row?;
    let is_own = held.nonce == row.nonce && held.state == RowState::Held;
    is_own.then_some(found.version)
}

/// Waits, for a limited time, until a released row is written, so that the caller's next
/// try finds it free.
async fn wait_settled(settled: Receiver<()>) {
    let wait = async {
        let _ = settled.recv().await;
    };
    futures_lite::future::or(wait, pause(PATIENCE_MS)).await;
}

async fn pause(after_ms: u64) {
    if after_ms > 0 {
        smol::Timer::after(Duration::from_millis(after_ms)).await;
    }
}

fn encode(key: &str, row: &ClaimRow, condition: Condition) -> Write {
    Write {
        key: key.to_owned(),
        value: serde_json::to_string(row).expect("a claim row has no map with odd keys"),
        condition,
    }
}

fn decode(row: Row) -> Found {
    Found {
        row: serde_json::from_str(&row.value).ok(),
        version: row.version,
    }
}

/// A claim that this request holds.
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

    /// Asks, just before the first byte of an attempt, whether it may be written.
    pub fn try_begin_dispatch(&self) -> bool {
        self.step(Event::DispatchBegun) == [Action::Dispatch]
    }

    /// Tells that the attempt ended and surely did not run.
    pub fn record_attempt_not_run(&self) {
        self.step(Event::AttemptNotRun);
    }

    /// Tells that no attempt of the call ran; waits for the row to be released, so that
    /// the caller's next try finds it free.
    pub async fn release(&self) {
        for action in self.step(Event::NotRun) {
            if let Action::Settle { row, condition } = action {
                let settled = self.claims.settle_later(&self.key, row, condition);
                wait_settled(settled).await;
            }
        }
    }

    /// Stores the answer of the call in the background.
    pub fn store_outcome(&self, outcome: Outcome) {
        for action in self.step(Event::Answered(outcome)) {
            if let Action::Settle { row, condition } = action {
                drop(self.claims.settle_later(&self.key, row, condition));
            }
        }
    }

    /// Tells that the call may have run and no answer will come; the claim stays held.
    pub fn record_unknown(&self) {
        self.step(Event::Unknown);
    }
}
