use super::*;

const SUBJECT: Fingerprint = Fingerprint(1);
const VERDICT: Fingerprint = Fingerprint(2);
const REFUSED: Refused = Refused {
    subject: SUBJECT,
    verdict: VERDICT,
};

fn refused_at(now_ms: u64) -> Trials {
    let mut trials = Trials::default();
    trials.record_refused(REFUSED, now_ms, 0);
    trials
}

fn due(trials: &mut Trials, now_ms: u64) -> bool {
    trials.record_refused(REFUSED, now_ms, 0);
    let due = trials.take_due(now_ms);
    !due.is_empty()
}

/// Guards against a trial before all routers know of the quarantine, and against two at a time.
#[test]
fn take_due_first_trial_comes_once_after_the_contact_time() {
    let mut trials = refused_at(1_000);
    assert!(!due(&mut trials, 1_000 + FIRST_TRIAL_MS - 1));
    assert!(due(&mut trials, 1_000 + FIRST_TRIAL_MS));
    assert!(
        !due(&mut trials, 1_000 + FIRST_TRIAL_MS + 1),
        "it is being claimed"
    );
    assert!(!trials.take(&[REFUSED]), "it is not granted yet");
    trials.record_claim(SUBJECT, Claim::Granted { claimed: 1 }, 4_100);
    assert!(trials.take(&[REFUSED]));
    assert!(!trials.take(&[REFUSED]));
    trials.give_back(&[REFUSED]);
    assert!(trials.take(&[REFUSED]), "the first one was not sent");
    assert!(!due(&mut trials, 4_100 + NEXT_TRIAL_MS[0] - 1));
    assert!(due(&mut trials, 4_100 + NEXT_TRIAL_MS[0]));
}

/// Guards against more trials than the platform allows: a fourth by the same router, or by one that
/// learns from the store how many there were.
#[test]
fn take_due_no_trial_follows_the_last_one() {
    let mut trials = refused_at(0);
    let mut now_ms = FIRST_TRIAL_MS;
    for claimed in 1..=TRIALS_MAX {
        assert!(due(&mut trials, now_ms));
        trials.record_claim(SUBJECT, Claim::Granted { claimed }, now_ms);
        assert!(trials.take(&[REFUSED]));
        now_ms += NEXT_TRIAL_MS.iter().max().unwrap();
    }
    assert!(!due(&mut trials, 100 * now_ms));
    assert_eq!(trials.record_refused(REFUSED, 100 * now_ms, 0), None);
    let mut trials = refused_at(0);
    assert!(due(&mut trials, FIRST_TRIAL_MS));
    let taken = Claim::Taken {
        claimed: TRIALS_MAX,
        age_ms: 0,
    };
    trials.record_claim(SUBJECT, taken, FIRST_TRIAL_MS);
    assert!(!due(&mut trials, 100 * now_ms));
}

/// Guards against a claim for requests that nobody sends any more, which would take the trial from
/// the routers that get them.
#[test]
fn take_due_no_claim_without_recent_requests() {
    let mut trials = refused_at(0);
    assert!(trials.take_due(ASKED_MS + 1).is_empty());
    assert!(due(&mut trials, ASKED_MS + 2));
}

/// Guards against callers who return long after the next trial, or before it.
#[test]
fn record_refused_pause_fits_the_next_trial() {
    let mut trials = Trials::default();
    let pause_ms = trials.record_refused(REFUSED, 0, 200);
    assert_eq!(pause_ms, Some(FIRST_TRIAL_MS + 200 + CLAIM_MS));
    assert!(!trials.take_due(FIRST_TRIAL_MS + 200).is_empty());
    let taken = Claim::Taken {
        claimed: 1,
        age_ms: 500,
    };
    trials.record_claim(SUBJECT, taken, 4_000);
    let pause_ms = trials.record_refused(REFUSED, 4_000, 0);
    assert_eq!(pause_ms, Some(OUTCOME_MS - 500), "its outcome comes first");
    let pause_ms = trials.record_refused(REFUSED, 10_000, 0);
    assert_eq!(pause_ms, Some(3_500 + NEXT_TRIAL_MS[0] + CLAIM_MS - 10_000));
}

/// Guards against a trial of a request that another part's quarantine refuses as well, which would
/// not count as a trial of that one.
#[test]
fn take_needs_a_permit_for_each_refused_part() {
    let other = Refused {
        subject: Fingerprint(3),
        verdict: Fingerprint(3),
    };
    let mut trials = refused_at(0);
    trials.record_refused(other, 0, 0);
    assert_eq!(trials.take_due(FIRST_TRIAL_MS).len(), 2);
    trials.record_claim(SUBJECT, Claim::Granted { claimed: 1 }, FIRST_TRIAL_MS);
    assert!(!trials.take(&[REFUSED, other]));
    trials.record_claim(other.subject, Claim::Granted { claimed: 1 }, FIRST_TRIAL_MS);
    assert!(trials.take(&[REFUSED, other]));
    assert!(!trials.take(&[]));
}

/// Guards against permits and records that outlive their quarantine.
#[test]
fn remove_ended_returns_own_claims_only() {
    let mut trials = refused_at(0);
    assert_eq!(trials.remove_ended(|_| true), []);
    assert!(due(&mut trials, FIRST_TRIAL_MS));
    assert_eq!(trials.remove_ended(|_| false), [], "a claim is on its way");
    trials.record_claim(SUBJECT, Claim::Granted { claimed: 1 }, FIRST_TRIAL_MS);
    assert_eq!(trials.remove_ended(|_| false), [SUBJECT]);
    assert!(!trials.take(&[REFUSED]));
    let mut trials = refused_at(0);
    assert_eq!(trials.remove_ended(|_| false), []);
}

/// Guards against a store that is away: the claim is tried again, and callers are told so.
#[test]
fn record_claim_failed_is_tried_again() {
    let mut trials = refused_at(0);
    assert!(due(&mut trials, FIRST_TRIAL_MS));
    trials.record_claim(SUBJECT, Claim::Failed, FIRST_TRIAL_MS);
    assert!(!due(&mut trials, FIRST_TRIAL_MS + CLAIM_RETRY_MS - 1));
    assert!(due(&mut trials, FIRST_TRIAL_MS + CLAIM_RETRY_MS));
}
