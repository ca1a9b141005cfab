use rand::SeedableRng;
use rand::rngs::StdRng;

use super::*;

const POLICY: RetryPolicy = RetryPolicy {
    attempts_max: 3,
    backoff_base_ms: 20,
    backoff_max_ms: 30,
};

fn servers(names: &[&str]) -> Vec<ServerId> {
    names.iter().map(|name| ServerId::from(*name)).collect()
}

fn context(candidates: &[ServerId]) -> RetryContext<'_> {
    RetryContext {
        now_ms: 0,
        deadline_ms: 1000,
        repeat: Repeat::Idempotent,
        run_state: RunState::Unknown,
        candidates,
    }
}

fn decide(attempts: &Attempts, context: RetryContext<'_>) -> Result<NextAttempt, GiveUp> {
    let mut budget = RetryBudget::new(0.1);
    attempts.plan_retry(&POLICY, &mut budget, context, &mut StdRng::seed_from_u64(1))
}

/// Guards against a retry storm: retries stay within the budget when every attempt fails.
#[test]
fn try_withdraw_all_requests_fail_stays_under_bound() {
    let mut budget = RetryBudget::new(0.1);
    let retries = (0..400).filter(|_| budget.try_withdraw()).count();
    assert!(400 + retries <= 480, "{retries} retries of 400 requests");
    for _ in 0..100_000 {
        budget.deposit();
    }
    assert!(budget.tokens() <= 100.0, "{}", budget.tokens());
}

/// Guards against a retry on the server that has just failed.
#[test]
fn plan_retry_never_same_server_twice() {
    let candidates = servers(&["a", "b"]);
    let mut attempts = Attempts::default();
    attempts.record(&candidates[0]);
    assert_eq!(
        decide(&attempts, context(&candidates)).unwrap().server,
        candidates[1]
    );
    attempts.record(&candidates[1]);
    assert_eq!(
        decide(&attempts, context(&candidates)).unwrap().server,
        candidates[0]
    );
    let only = &candidates[1..];
    assert_eq!(decide(&attempts, context(only)), Err(GiveUp::NoOtherServer));
}

/// Guards against running a call twice that may run at most once.
#[test]
fn plan_retry_once_call_only_when_it_did_not_run() {
    let candidates = servers(&["a", "b"]);
    let mut attempts = Attempts::default();
    attempts.record(&candidates[0]);
    let once = RetryContext {
        repeat: Repeat::Once,
        ..context(&candidates)
    };
    assert_eq!(decide(&attempts, once), Err(GiveUp::NotRepeatable));
    let not_run = RetryContext {
        run_state: RunState::NotRun,
        ..once
    };
    assert!(decide(&attempts, not_run).is_ok());
}

/// Guards against attempts beyond the maximum or after the deadline, and against a withdrawal
/// for a retry that is not made.
#[test]
fn plan_retry_gives_up_without_a_charge() {
    let candidates = servers(&["a", "b", "c", "d"]);
    let mut attempts = Attempts::default();
    attempts.record(&candidates[0]);
    let late = RetryContext {
        now_ms: 995,
        ..context(&candidates)
    };
    let mut budget = RetryBudget::new(0.1);
    let before = budget.clone();
    let mut random = StdRng::seed_from_u64(2);
    let decided = attempts.plan_retry(&POLICY, &mut budget, late, &mut random);
    assert_eq!(decided, Err(GiveUp::DeadlineNear));
    attempts.record(&candidates[1]);
    attempts.record(&candidates[2]);
    let decided = attempts.plan_retry(&POLICY, &mut budget, context(&candidates), &mut random);
    assert_eq!(decided, Err(GiveUp::AttemptsExhausted));
    assert_eq!(budget, before);
}

/// Guards against a backoff without jitter or without growth.
#[test]
fn backoff_ms_grows_within_jitter() {
    let mut random = StdRng::seed_from_u64(3);
    let mut attempts = Attempts::default();
    for (low, high) in [(10, 20), (15, 30), (15, 30)] {
        attempts.record(&ServerId::from("a"));
        let waits: Vec<u64> = (0..50)
            .map(|_| attempts.backoff_ms(&POLICY, &mut random))
            .collect();
        assert!(
            waits.iter().all(|wait| (low..=high).contains(wait)),
            "{waits:?}"
        );
        assert!(waits.iter().any(|wait| *wait != waits[0]), "{waits:?}");
    }
}
