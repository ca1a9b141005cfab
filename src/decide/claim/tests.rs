//! Tests of the claim state machine.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::*;

const LIMITS: Limits = Limits {
    deadline_ms: 1_000,
    window_ms: 800,
    table_timeout_ms: 500,
};

fn row(nonce: &str, digest: &str, state: RowState) -> ClaimRow {
    ClaimRow {
        nonce: nonce.to_owned(),
        digest: digest.to_owned(),
        router: RouterId::from("r1"),
        claimed_wall_ms: 0,
        state,
    }
}

fn found(nonce: &str, digest: &str, state: RowState) -> Option<StoredClaim> {
    Some(StoredClaim {
        row: Some(row(nonce, digest, state)),
        version: 4,
    })
}

fn started() -> Claim {
    let mut claim = Claim::new(row("me", "d", RowState::Held), LIMITS, 7);
    let actions = claim.step(Event::Start, 0);
    assert!(
        matches!(
            actions[..],
            [Action::Write {
                condition: Condition::Absent,
                ..
            }]
        ),
        "{actions:?}"
    );
    claim
}

fn outcome() -> Outcome {
    Outcome {
        status: 200,
        content_type: None,
        body_base64: Some(String::new()),
        run_state: RunState::Ran,
    }
}

/// Guards against dispatching a call whose key is held by another claim.
#[test]
fn step_conflict_with_held_row_is_refused_as_unknown() {
    let mut claim = started();
    let actions = claim.step(Event::Conflict(found("other", "d", RowState::Held)), 1);
    assert_eq!(actions, [Action::Refuse(Denial::Held)]);
    assert_eq!(Denial::Held.run_state(), RunState::Unknown);
    assert!(claim.step(Event::DispatchBegun, 2).is_empty());
}

/// Guards against running a call again when its outcome is stored.
#[test]
fn step_conflict_with_finished_row_is_replayed() {
    let mut claim = started();
    let state = RowState::Finished(outcome());
    let actions = claim.step(Event::Conflict(found("other", "d", state)), 1);
    assert_eq!(actions, [Action::Replay(outcome())]);
}

/// Guards against answering a request with the outcome of a different request under the same key.
#[test]
fn step_conflict_with_other_digest_is_refused_as_key_reused() {
    for state in [
        RowState::Held,
        RowState::Released,
        RowState::Finished(outcome()),
    ] {
        let actions = started().step(Event::Conflict(found("other", "e", state)), 1);
        assert_eq!(actions, [Action::Refuse(Denial::KeyReused)]);
    }
}

/// Guards against a claim that takes its own row for another claimant's after the response to
/// its write was lost.
#[test]
fn step_lost_response_with_own_nonce_is_dispatched() {
    let mut claim = started();
    let actions = claim.step(Event::ResponseLost, 1);
    assert!(
        matches!(actions[..], [Action::ReadBack { .. }]),
        "{actions:?}"
    );
    let actions = claim.step(Event::ReadBack(found("me", "d", RowState::Held)), 2);
    assert_eq!(actions, [Action::Dispatch]);
}

/// Guards against dispatching without a claim row when the write whose response was lost had
/// no effect.
#[test]
fn step_lost_response_without_row_is_written_again() {
    let mut claim = started();
    claim.step(Event::ResponseLost, 1);
    let actions = claim.step(Event::ReadBack(None), 2);
    assert!(matches!(actions[..], [Action::Write { .. }]), "{actions:?}");
    let actions = claim.step(Event::Conflict(found("me", "d", RowState::Held)), 3);
    assert_eq!(actions, [Action::Dispatch]);
}

/// Guards against two claimants that both acquire the same released row.
#[test]
fn step_released_row_is_claimed_by_its_version() {
    let mut claim = started();
    let actions = claim.step(Event::Conflict(found("other", "d", RowState::Released)), 1);
    let [Action::Write { condition, row, .. }] = &actions[..] else {
        panic!("{actions:?}");
    };
    assert_eq!(*condition, Condition::Version(4));
    assert_eq!(row.nonce, "me");
    let actions = claim.step(Event::Conflict(found("third", "d", RowState::Held)), 2);
    assert_eq!(actions, [Action::Refuse(Denial::Held)]);
}

/// Guards against a key that stays held because a write takes effect after the refusal.
#[test]
fn step_table_unavailable_after_lost_write_releases_it() {
    let mut claim = started();
    claim.step(Event::ResponseLost, 1);
    let actions = claim.step(Event::Unavailable, 600);
    assert_eq!(actions[0], Action::Refuse(Denial::TableUnavailable));
    assert!(
        matches!(&actions[1], Action::Settle { row, condition: Condition::Absent } if row.state == RowState::Released),
        "{actions:?}"
    );
}

/// Guards against a dispatch by a process that was suspended past the deadline or the dispatch
/// window.
#[test]
fn step_dispatch_after_suspension_is_refused_and_released() {
    for (held_ms, begun_ms) in [(1, 800), (1, 5_000)] {
        let mut claim = started();
        assert_eq!(claim.step(Event::Written(1), held_ms), [Action::Dispatch]);
        let actions = claim.step(Event::DispatchBegun, begun_ms);
        assert_eq!(actions, [Action::Refuse(Denial::DeadlinePassed)]);
        let actions = claim.step(Event::NotRun, begun_ms);
        assert!(
            matches!(&actions[..], [Action::Settle { row, condition: Condition::Version(1) }] if row.state == RowState::Released),
            "{actions:?}"
        );
        assert!(claim.step(Event::DispatchBegun, 2).is_empty());
    }
}

/// Guards against a second attempt, or a release of the claim, while the first attempt may run.
#[test]
fn step_running_claim_gets_no_second_attempt() {
    let mut claim = started();
    claim.step(Event::Written(1), 1);
    assert_eq!(claim.step(Event::DispatchBegun, 2), [Action::Dispatch]);
    assert!(claim.step(Event::DispatchBegun, 3).is_empty());
    assert!(claim.step(Event::NotRun, 3).is_empty());
    claim.step(Event::AttemptNotRun, 4);
    assert_eq!(claim.step(Event::DispatchBegun, 5), [Action::Dispatch]);
    let actions = claim.step(Event::Answered(outcome()), 6);
    assert!(
        matches!(&actions[..], [Action::Settle { row, condition: Condition::Version(1) }] if row.state == RowState::Finished(outcome())),
        "{actions:?}"
    );
    assert!(claim.step(Event::DispatchBegun, 7).is_empty());
}

/// Claimants of one key that share a table whose writes may take effect at any later time.
struct Model {
    rng: StdRng,
    row: Option<(ClaimRow, u64)>,
    in_flight: Vec<(ClaimRow, Condition)>,
    claimants: Vec<Claimant>,
    runs: usize,
}

struct Claimant {
    claim: Claim,
    next: Vec<Action>,
}

impl Model {
    fn open(seed: u64, claimants: usize) -> Self {
        let claimant = |index: usize| Claimant {
            claim: Claim::new(row(&format!("n{index}"), "d", RowState::Held), LIMITS, seed),
            next: Vec::new(),
        };
        Self {
            rng: StdRng::seed_from_u64(seed),
            row: None,
            in_flight: Vec::new(),
            claimants: (0..claimants).map(claimant).collect(),
            runs: 0,
        }
    }

    fn found(&self) -> Option<StoredClaim> {
        self.row.clone().map(|(row, version)| StoredClaim {
            row: Some(row),
            version,
        })
    }

    /// Applies a write and returns the new version if its condition was met.
    fn apply(&mut self, row: ClaimRow, condition: Condition) -> Option<u64> {
        let version = self.row.as_ref().map(|(_, version)| *version);
        let holds = match condition {
            Condition::Absent => version.is_none(),
            Condition::Version(expected) => version == Some(expected),
            Condition::Any => true,
        };
        let new = version.unwrap_or(0) + 1;
        if holds {
            self.row = Some((row, new));
        }
        holds.then_some(new)
    }

    fn write(&mut self, row: ClaimRow, condition: Condition) -> Event {
        match self.rng.random_range(0..5) {
            0 => Event::Unavailable,
            // The response is lost; the write takes effect later, possibly after a retry.
            1 => {
                self.in_flight.push((row, condition));
                Event::ResponseLost
            }
            2 => {
                self.apply(row, condition);
                Event::ResponseLost
            }
            _ => match self.apply(row, condition) {
                Some(version) => Event::Written(version),
                None => Event::Conflict(self.found()),
            },
        }
    }

    /// Applies a delayed write. A settling write whose condition fails on its own claim's held
    /// row replaces that row.
    fn apply_delayed(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.in_flight.len());
        let (new, condition) = self.in_flight.swap_remove(index);
        let is_applied = self.apply(new.clone(), condition).is_some();
        let Some((found, version)) = self.row.clone() else {
            return;
        };
        let is_own_held = found.nonce == new.nonce && found.state == RowState::Held;
        if !is_applied && is_own_held && new.state != RowState::Held {
            self.apply(new, Condition::Version(version));
        }
    }

    fn step(&mut self, now_ms: u64) {
        if self.rng.random_range(0..3) == 0 {
            self.apply_delayed();
        }
        let index = self.rng.random_range(0..self.claimants.len());
        let event = match self.claimants[index].next.pop() {
            Some(Action::Write { row, condition, .. }) => self.write(row, condition),
            Some(Action::ReadBack { .. }) => match self.rng.random_range(0..3) {
                0 => Event::Unavailable,
                _ => Event::ReadBack(self.found()),
            },
            Some(Action::Settle { row, condition }) => {
                self.in_flight.push((row, condition));
                return;
            }
            _ => self.own_event(index),
        };
        let actions = self.claimants[index].claim.step(event, now_ms);
        self.claimants[index].next = actions;
        let running = self.claimants.iter().filter(|c| c.claim.is_running());
        assert!(running.count() + self.runs <= 1, "two may run at once");
    }

    /// An event that the dispatcher or a new request may raise at any time.
    fn own_event(&mut self, index: usize) -> Event {
        let is_running = self.claimants[index].claim.is_running();
        match self.rng.random_range(0..5) {
            0 => Event::Start,
            1 => Event::DispatchBegun,
            2 => Event::NotRun,
            3 if is_running => {
                self.runs += 1;
                match self.rng.random_range(0..2) {
                    0 => Event::Answered(outcome()),
                    _ => Event::Unknown,
                }
            }
            _ => Event::AttemptNotRun,
        }
    }
}

/// Guards against a call that runs twice, over random orders of lost, delayed and repeated
/// writes.
#[test]
fn step_claimants_of_one_key_run_at_most_once() {
    const SEEDS: u64 = 3_000;
    const STEPS: u64 = 120;
    let mut total_runs = 0;
    for seed in 0..SEEDS {
        let mut model = Model::open(seed, 4);
        for now_ms in 0..STEPS {
            model.step(now_ms);
        }
        total_runs += model.runs;
    }
    assert!(
        total_runs > SEEDS as usize / 10,
        "runs are reached: {total_runs}"
    );
}
