use super::*;

const POLICY: StrikePolicy = StrikePolicy {
    strikes_max: 3,
    proven_strikes_max: 5,
    quarantine_ms: 600_000,
    common_cause_ms: 250,
    restart_min_ms: 1_000,
};
const BAD: Fingerprint = Fingerprint(0xbad);
const FIRST: Fingerprint = Fingerprint(1);
const SOUND: Fingerprint = Fingerprint(2);
const TEAM: u64 = 7;

/// The `number`th crash, of another server each time, under a request of its own.
fn run(number: u64, at_ms: u64, parts: &[Fingerprint]) -> CrashedRun {
    CrashedRun {
        parts: parts.to_vec(),
        request: Fingerprint(10_000 + number),
        caller: TEAM,
        server: ServerId::from(format!("s{number}").as_str()),
        started_ms: at_ms - 60,
        at_ms,
        is_silent: false,
    }
}

fn add(strikes: &mut PartStrikes, run: CrashedRun) -> Vec<Fingerprint> {
    strikes.add(run, POLICY, |_| (0, false)).quarantined
}

/// Guards against a part under which engines go on crashing because no two requests with it are
/// alike, and against refusing the other parts of its requests.
#[test]
fn add_third_crash_quarantines_the_part_and_clears_the_others() {
    for parts in [[FIRST, BAD], [FIRST, Fingerprint(3)]] {
        let mut strikes = PartStrikes::default();
        assert_eq!(add(&mut strikes, run(0, 1_000, &parts)), []);
        assert_eq!(add(&mut strikes, run(1, 1_600, &parts)), []);
        let expected = fingerprint(parts[1], Callers::One(TEAM));
        assert_eq!(add(&mut strikes, run(2, 2_200, &parts)), [expected]);
        assert!(strikes.runs().all(|run| run.parts == [parts[1]]));
        assert_eq!(strikes.evidence(expected, 2_200).len(), 3);
    }
}

/// Guards against quarantining the narrower part where sound requests show that it is the other one.
#[test]
fn add_sound_part_behind_the_crashing_one_is_not_quarantined() {
    let mut strikes = PartStrikes::default();
    strikes.record_sound(&[SOUND], 500);
    for number in 0..2 {
        add(
            &mut strikes,
            run(number, 1_000 + number * 600, &[BAD, SOUND]),
        );
    }
    let quarantined = add(&mut strikes, run(2, 2_200, &[BAD, SOUND]));
    assert_eq!(quarantined, [fingerprint(BAD, Callers::One(TEAM))]);
}

/// Guards against quarantining the parts of a request that crashes servers by its other content and
/// is sent again and again.
#[test]
fn add_one_request_repeated_quarantines_no_part() {
    let mut strikes = PartStrikes::default();
    for number in 0..6 {
        let repeated = CrashedRun {
            request: Fingerprint(9),
            ..run(number, 1_000 + number * 600, &[FIRST, SOUND])
        };
        assert_eq!(add(&mut strikes, repeated), []);
    }
}

/// Guards against refusing a part that sound requests have as well, whichever of them crashed
/// servers in between.
#[test]
fn add_part_with_answers_in_between_is_not_quarantined() {
    let mut strikes = PartStrikes::default();
    for number in 0..20 {
        let at_ms = 1_000 + number * 600;
        assert_eq!(add(&mut strikes, run(number, at_ms, &[FIRST])), []);
        strikes.record_sound(&[FIRST], at_ms + 100);
    }
}

/// Guards against refusing a hot prompt because a failure of a zone ended 15 of 100 engines under it.
#[test]
fn add_zone_failure_under_a_hot_prompt_quarantines_nothing() {
    let mut strikes = PartStrikes::default();
    strikes.record_sound(&[FIRST, SOUND], 900);
    for number in 0..15 {
        let crashed = run(number, 1_000 + number * 7, &[FIRST, SOUND]);
        assert_eq!(add(&mut strikes, crashed), []);
    }
}

/// Guards against a caller who gets another team's part refused by naming it in its own requests.
#[test]
fn add_crashes_of_one_caller_refuse_the_part_for_that_caller_only() {
    let mut strikes = PartStrikes::default();
    for number in 0..2 {
        add(&mut strikes, run(number, 1_000 + number * 600, &[BAD]));
    }
    let quarantined = add(&mut strikes, run(2, 2_200, &[BAD]));
    assert_eq!(quarantined, [fingerprint(BAD, Callers::One(TEAM))]);
    let other = CrashedRun {
        caller: TEAM + 1,
        ..run(3, 3_000, &[BAD])
    };
    let quarantined = add(&mut strikes, other);
    assert_eq!(quarantined, [fingerprint(BAD, Callers::All)]);
}

/// Guards against refusing the first part that two crashing parts have in common.
#[test]
fn add_two_crashing_parts_at_a_time_are_both_quarantined() {
    let other = Fingerprint(0xbad2);
    let mut strikes = PartStrikes::default();
    strikes.record_sound(&[FIRST, SOUND], 500);
    let mut quarantined = Vec::new();
    for number in 0..6 {
        let part = if number % 2 == 0 { BAD } else { other };
        let crashed = run(number, 1_000 + number * 300, &[FIRST, part]);
        quarantined.extend(add(&mut strikes, crashed));
    }
    let expected = [BAD, other].map(|part| fingerprint(part, Callers::One(TEAM)));
    assert_eq!(quarantined, expected);
}

/// Guards against counting one crash for each router that reports it, or for each request that ran on
/// the server.
#[test]
fn add_crash_of_one_server_counts_once() {
    let mut strikes = PartStrikes::default();
    for number in 0..10 {
        let crashed = CrashedRun {
            server: ServerId::from("s0"),
            ..run(number, 1_000 + number, &[BAD])
        };
        assert_eq!(add(&mut strikes, crashed.clone()), []);
        let again = strikes.add(crashed, POLICY, |_| (0, false));
        assert_eq!(again, Outcome::default());
    }
}

/// Guards against three further crashes after each quarantine, and against blaming the other parts
/// of a request that was sent before its router knew of the quarantine.
#[test]
fn add_after_a_quarantine_one_crash_is_enough() {
    let verdict = fingerprint(BAD, Callers::One(TEAM));
    let mut strikes = PartStrikes::default();
    let ended = |other| (u32::from(other == verdict), false);
    let outcome = strikes.add(run(0, 1_000, &[FIRST, BAD]), POLICY, ended);
    assert_eq!(outcome.quarantined, [verdict]);
    let mut strikes = PartStrikes::default();
    let in_force = |other| (u32::from(other == verdict), other == verdict);
    let outcome = strikes.add(run(0, 1_000, &[FIRST, BAD]), POLICY, in_force);
    assert!(outcome.is_new && outcome.quarantined.is_empty());
    assert!(strikes.runs().all(|run| run.parts == [BAD]));
}

/// Guards against refusing a part for long because a cut path refused connections to servers that go
/// on running.
#[test]
fn review_servers_still_running_lift_the_quarantine() {
    let mut strikes = PartStrikes::default();
    for number in 0..3 {
        add(&mut strikes, run(number, 1_000 + number * 10, &[SOUND]));
    }
    let verdict = fingerprint(SOUND, Callers::One(TEAM));
    assert!(strikes.is_derivable(verdict));
    let kept = strikes.review(9_100, 8_000, POLICY, |_, _| Incarnation::Ended);
    assert_eq!(kept, []);
    let kept = strikes.review(60_000, 8_000, POLICY, |_, _| Incarnation::Running);
    assert_eq!(kept, [], "confirmed crashes stay");
    let mut strikes = PartStrikes::default();
    for number in 0..3 {
        add(&mut strikes, run(number, 1_000 + number * 10, &[SOUND]));
    }
    let lifted = strikes.review(9_100, 8_000, POLICY, |_, _| Incarnation::Running);
    assert_eq!(lifted, [verdict]);
    assert!(strikes.is_empty());
}

/// Guards against memory that grows with each crash.
#[test]
fn runs_are_bounded_and_expire() {
    let mut strikes = PartStrikes::default();
    for number in 0..2 * RUNS_MAX as u64 {
        add(&mut strikes, run(number, 1_000, &[Fingerprint(number)]));
    }
    assert_eq!(strikes.runs().count(), RUNS_MAX);
    let later_ms = 2_000 + POLICY.quarantine_ms;
    add(&mut strikes, run(5_000, later_ms, &[BAD]));
    assert_eq!(strikes.runs().count(), 1);
}

/// Guards against refusing a hot prompt because servers that fell silent together seem to have ended
/// one after the other: what is known of each is its last heartbeat.
#[test]
fn add_servers_that_fall_silent_together_quarantine_no_proven_part() {
    let silent = |number: u64, at_ms: u64, started_ms: u64| CrashedRun {
        started_ms,
        is_silent: true,
        ..run(number, at_ms, &[FIRST, SOUND])
    };
    let mut strikes = PartStrikes::default();
    strikes.record_sound(&[FIRST, SOUND], 900);
    for number in 0..15 {
        let at_ms = 2_000 + number * 1_600 / 15;
        assert_eq!(add(&mut strikes, silent(number, at_ms, 950)), []);
    }
    // Each of these was sent after the end of the one before.
    let mut strikes = PartStrikes::default();
    strikes.record_sound(&[BAD], 900);
    let mut quarantined = Vec::new();
    for number in 0..5 {
        let started_ms = 1_000 + number * 3_000;
        let crashed = CrashedRun {
            parts: vec![BAD],
            ..silent(number, started_ms + 1_200, started_ms)
        };
        quarantined.extend(add(&mut strikes, crashed));
    }
    assert_eq!(quarantined, [fingerprint(BAD, Callers::One(TEAM))]);
}
