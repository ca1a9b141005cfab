use super::*;

const POLICY: StrikePolicy = StrikePolicy {
    strikes_max: 2,
    proven_strikes_max: 2,
    quarantine_ms: 1000,
    common_cause_ms: 0,
    restart_min_ms: 0,
};
const BAD: Fingerprint = Fingerprint(1);
const GOOD: Fingerprint = Fingerprint(2);

fn server(name: &str) -> ServerId {
    ServerId::from(name)
}

/// Guards against sending a request to a third server after it has crashed two.
#[test]
fn on_server_crash_second_server_quarantines_for_the_set_time() {
    let mut tracker = StrikeTracker::new();
    assert_eq!(
        tracker.on_server_crash(BAD, &server("a"), 5, 10, POLICY),
        StrikeStatus::Struck
    );
    let status = tracker.on_server_crash(BAD, &server("b"), 5, 20, POLICY);
    assert_eq!(status, StrikeStatus::Quarantined { left_ms: 1000 });
    assert_eq!(tracker.status(BAD, 1020, POLICY), StrikeStatus::Clear);
}

/// Guards against quarantining a request because several copies of it report the same crash.
#[test]
fn on_server_crash_copies_on_one_server_count_once() {
    let mut tracker = StrikeTracker::new();
    for _ in 0..3 {
        assert_eq!(
            tracker.on_server_crash(GOOD, &server("a"), 50, 100, POLICY),
            StrikeStatus::Struck
        );
    }
    let again = tracker.on_server_crash(GOOD, &server("a"), 5, 200, POLICY);
    assert!(
        matches!(again, StrikeStatus::Quarantined { .. }),
        "{again:?}"
    );
}

/// Guards against isolating or quarantining a common request that servers complete.
#[test]
fn on_completed_clears_other_servers_but_not_the_same_one() {
    let mut tracker = StrikeTracker::new();
    tracker.on_server_crash(GOOD, &server("a"), 5, 10, POLICY);
    tracker.on_completed(GOOD, &server("b"), 20);
    assert_eq!(tracker.status(GOOD, 20, POLICY), StrikeStatus::Clear);
    assert_eq!(
        tracker.on_server_crash(GOOD, &server("c"), 5, 30, POLICY),
        StrikeStatus::Struck
    );
    let same = tracker.on_server_crash(GOOD, &server("a"), 5, 40, POLICY);
    assert!(matches!(same, StrikeStatus::Quarantined { .. }), "{same:?}");
}

/// Guards against isolating two struck requests on one server, where one could cause the other's
/// second strike, and against running two copies of one request in isolation.
#[test]
fn isolate_one_copy_at_a_time_on_a_separate_server() {
    let mut tracker = StrikeTracker::new();
    let candidates = [server("a"), server("b")];
    assert_eq!(tracker.isolate(BAD, &candidates), Some(server("a")));
    assert_eq!(tracker.isolate(BAD, &candidates), None);
    assert_eq!(tracker.isolate(GOOD, &candidates), Some(server("b")));
    assert_eq!(tracker.isolate(Fingerprint(3), &candidates), None);
    tracker.release(BAD);
    assert_eq!(
        tracker.isolate(Fingerprint(3), &candidates),
        Some(server("a"))
    );
}

/// Guards against strikes that do not reach other routers, or that count twice when they are
/// received again.
#[test]
fn apply_remote_counts_each_crash_once() {
    let (mut here, mut there) = (StrikeTracker::new(), StrikeTracker::new());
    here.on_server_crash(BAD, &server("a"), 5, 10, POLICY);
    for delta in here.drain_outgoing(15) {
        assert!(there.apply_remote(&delta, 500, POLICY));
        assert!(!there.apply_remote(&delta, 500, POLICY));
    }
    assert_eq!(there.status(BAD, 500, POLICY), StrikeStatus::Struck);
    there.on_server_crash(BAD, &server("b"), 5, 600, POLICY);
    for delta in there.drain_outgoing(600) {
        here.apply_remote(&delta, 110, POLICY);
    }
    let status = here.status(BAD, 110, POLICY);
    assert!(
        matches!(status, StrikeStatus::Quarantined { .. }),
        "{status:?}"
    );
    assert!(
        here.drain_outgoing(110).is_empty(),
        "changes from a peer are not forwarded"
    );
}

/// Guards against two strikes for one crash that two routers observed, and against missing a
/// second crash of the same server as a consequence.
#[test]
fn apply_remote_crash_observed_by_two_routers_counts_once() {
    let (mut here, mut there) = (StrikeTracker::new(), StrikeTracker::new());
    here.on_server_crash(BAD, &server("a"), 5, 10, POLICY);
    there.on_server_crash(BAD, &server("a"), 5, 10, POLICY);
    for delta in here.drain_outgoing(12) {
        assert!(!there.apply_remote(&delta, 12, POLICY));
    }
    assert_eq!(there.status(BAD, 12, POLICY), StrikeStatus::Struck);
    here.on_server_crash(BAD, &server("a"), 5, 30, POLICY);
    for delta in here.drain_outgoing(30) {
        assert!(there.apply_remote(&delta, 30, POLICY));
    }
    let status = there.status(BAD, 30, POLICY);
    assert!(
        matches!(status, StrikeStatus::Quarantined { .. }),
        "{status:?}"
    );
}

/// Guards against isolating a request whose completion another router has reported.
#[test]
fn apply_remote_completion_clears_the_request() {
    let (mut here, mut there) = (StrikeTracker::new(), StrikeTracker::new());
    for tracker in [&mut here, &mut there] {
        tracker.on_server_crash(GOOD, &server("a"), 5, 10, POLICY);
    }
    here.drain_outgoing(10);
    here.on_completed(GOOD, &server("b"), 20);
    for delta in here.drain_outgoing(20) {
        there.apply_remote(&delta, 20, POLICY);
    }
    assert_eq!(there.status(GOOD, 20, POLICY), StrikeStatus::Clear);
}

/// Guards against memory that grows with every struck request.
#[test]
fn entries_are_bounded_and_expire() {
    let mut tracker = StrikeTracker::new();
    for number in 0..ENTRIES_MAX as u64 + 10 {
        tracker.on_server_crash(Fingerprint(number), &server("a"), 0, 1, POLICY);
    }
    assert!(tracker.len() <= ENTRIES_MAX, "{}", tracker.len());
    assert!(tracker.drain_outgoing(1).len() <= OUTGOING_MAX);
    tracker.on_server_crash(BAD, &server("a"), 0, 5000, POLICY);
    assert_eq!(tracker.len(), 1);
}

/// As on the platform: proven requests need more strikes than others.
const PLATFORM: StrikePolicy = StrikePolicy {
    strikes_max: 3,
    proven_strikes_max: 5,
    quarantine_ms: 10_000,
    common_cause_ms: 250,
    restart_min_ms: 1_000,
};

/// Guards against refusing a popular request because a failure of an availability zone ended many
/// of the servers that were running it: 15 of 100, noticed by routers up to 100 ms apart.
#[test]
fn on_server_crash_zone_failure_under_a_popular_request_refuses_nothing() {
    let mut tracker = StrikeTracker::new();
    tracker.remember_completion(GOOD, 10);
    for number in 0..15 {
        let now_ms = 5_000 + number * 7;
        let status =
            tracker.on_server_crash(GOOD, &server(&format!("s{number}")), 200, now_ms, PLATFORM);
        assert_eq!(status, StrikeStatus::Struck);
    }
    tracker.on_completed(GOOD, &server("alive"), 5_200);
    assert_eq!(tracker.status(GOOD, 5_200, PLATFORM), StrikeStatus::Clear);
}

/// Guards against refusing a popular request while servers flap: other servers complete it between
/// their crashes.
#[test]
fn on_server_crash_flapping_servers_under_a_popular_request_refuse_nothing() {
    let mut tracker = StrikeTracker::new();
    for number in 0..20 {
        let now_ms = 1_000 + number * 300;
        let flapping = server(&format!("s{number}"));
        tracker.on_server_crash(GOOD, &flapping, 50, now_ms, PLATFORM);
        tracker.on_completed(GOOD, &server("alive"), now_ms + 20);
        let status = tracker.status(GOOD, now_ms + 20, PLATFORM);
        assert_eq!(status, StrikeStatus::Clear, "crash {number}");
    }
}

/// Guards against a request that no server has completed and that is sent on after the third crash,
/// although copies ran at the same time.
#[test]
fn on_server_crash_copies_on_three_servers_at_once_quarantine() {
    let mut tracker = StrikeTracker::new();
    tracker.on_server_crash(BAD, &server("a"), 90, 289, PLATFORM);
    tracker.on_server_crash(BAD, &server("b"), 77, 346, PLATFORM);
    let status = tracker.on_server_crash(BAD, &server("c"), 73, 362, PLATFORM);
    assert!(
        matches!(status, StrikeStatus::Quarantined { .. }),
        "{status:?}"
    );
}

/// Guards against a request that servers used to complete, until a release, and that is never
/// refused.
#[test]
fn on_server_crash_proven_request_that_turned_harmful_quarantines() {
    let mut tracker = StrikeTracker::new();
    tracker.remember_completion(BAD, 10);
    let crash = |tracker: &mut StrikeTracker, number: u64| {
        let now_ms = 1_000 + number * 100;
        tracker.on_server_crash(BAD, &server(&format!("s{number}")), 50, now_ms, PLATFORM)
    };
    for number in 0..4 {
        assert_eq!(crash(&mut tracker, number), StrikeStatus::Struck);
    }
    let status = crash(&mut tracker, 4);
    assert!(
        matches!(status, StrikeStatus::Quarantined { .. }),
        "{status:?}"
    );
}

/// Guards against three further crashes after each quarantine of a request that stays harmful, and
/// against refusing one for longer that has ceased to be.
#[test]
fn quarantine_after_its_end_one_crash_doubles_it_and_a_completion_ends_it() {
    let mut tracker = StrikeTracker::new();
    for (number, at_ms) in [(0, 100), (1, 200), (2, 300)] {
        tracker.on_server_crash(BAD, &server(&format!("s{number}")), 5, at_ms, PLATFORM);
    }
    assert_eq!(tracker.status(BAD, 10_300, PLATFORM), StrikeStatus::Clear);
    let again = tracker.on_server_crash(BAD, &server("s3"), 5, 10_400, PLATFORM);
    assert_eq!(again, StrikeStatus::Quarantined { left_ms: 20_000 });
    let ended_ms = 10_400 + 20_000;
    tracker.on_completed(BAD, &server("s4"), ended_ms);
    let later = tracker.on_server_crash(BAD, &server("s5"), 5, ended_ms + 100, PLATFORM);
    assert_eq!(later, StrikeStatus::Struck);
}

/// Guards against a caller who lifts quarantines by crashing servers under many different requests.
#[test]
fn entries_flood_of_requests_does_not_evict_a_quarantine() {
    let mut tracker = StrikeTracker::new();
    for (number, at_ms) in [(0, 100), (1, 200), (2, 300)] {
        tracker.on_server_crash(BAD, &server(&format!("s{number}")), 5, at_ms, PLATFORM);
    }
    for number in 0..2 * ENTRIES_MAX as u64 {
        let other = Fingerprint(1_000 + number);
        tracker.on_server_crash(other, &server("a"), 5, 400, PLATFORM);
    }
    assert!(tracker.len() <= ENTRIES_MAX, "{}", tracker.len());
    let status = tracker.status(BAD, 400, PLATFORM);
    assert!(
        matches!(status, StrikeStatus::Quarantined { .. }),
        "{status:?}"
    );
}

/// Guards against a router that has just been linked and does not know what the others know, and
/// against quarantines that routers extend for each other without end.
#[test]
fn snapshot_brings_a_new_router_up_to_date() {
    let (mut here, mut there) = (StrikeTracker::new(), StrikeTracker::new());
    for (number, at_ms) in [(0, 100), (1, 200), (2, 300)] {
        here.on_server_crash(BAD, &server(&format!("s{number}")), 5, at_ms, PLATFORM);
    }
    here.on_server_crash(GOOD, &server("s2"), 5, 300, PLATFORM);
    let Snapshot {
        strikes,
        quarantines,
        ..
    } = here.snapshot(400, PLATFORM);
    for strike in &strikes {
        assert!(there.apply_remote(strike, 20_000, PLATFORM));
    }
    assert_eq!(there.status(GOOD, 20_000, PLATFORM), StrikeStatus::Struck);
    let mut restarted = StrikeTracker::new();
    assert_eq!(quarantines, [], "strikes tell the other router enough");
    for quarantine in here.quarantines(400) {
        assert!(!there.apply_quarantine(quarantine, 20_000));
        assert!(restarted.apply_quarantine(quarantine, 20_000));
        assert!(!restarted.apply_quarantine(quarantine, 20_050));
    }
    for tracker in [&there, &restarted] {
        let status = tracker.status(BAD, 20_000, PLATFORM);
        assert_eq!(status, StrikeStatus::Quarantined { left_ms: 9_900 });
    }
    assert_eq!(here.evidence(BAD, 400).len(), 3);
}

/// Time after which strikes are reviewed.
const CONFIRMED_AFTER_MS: u64 = 8_000;

fn three_strikes(fingerprint: Fingerprint, at_ms: u64) -> StrikeTracker {
    let mut tracker = StrikeTracker::lifting_on_completion();
    for (number, offset_ms) in [(0, 0), (1, 10), (2, 20)] {
        let server = server(&format!("s{number}"));
        tracker.on_server_crash(fingerprint, &server, 5, at_ms + offset_ms, PLATFORM);
    }
    tracker
}

/// Guards against refusing sound requests for long because a zone that is cut off refused their
/// connections while its servers went on running: seven in one such cut.
#[test]
fn review_servers_still_running_lift_the_quarantine() {
    let mut tracker = three_strikes(GOOD, 1_000);
    let is_running = |_: &ServerId, _| Incarnation::Running;
    let early = tracker.review(8_000, CONFIRMED_AFTER_MS, PLATFORM, is_running);
    assert_eq!(early, []);
    let lifted = tracker.review(9_020, CONFIRMED_AFTER_MS, PLATFORM, is_running);
    assert_eq!(lifted, [GOOD]);
    assert_eq!(tracker.status(GOOD, 9_020, PLATFORM), StrikeStatus::Clear);
    assert!(tracker.is_empty());
}

/// Guards against lifting a quarantine because a server that ended was registered again later, or
/// because this router does not know what became of it.
#[test]
fn review_servers_ended_or_unknown_keep_the_quarantine() {
    for incarnation in [Incarnation::Ended, Incarnation::Unknown] {
        let mut tracker = three_strikes(BAD, 1_000);
        tracker.review(9_020, CONFIRMED_AFTER_MS, PLATFORM, |_, _| incarnation);
        let status = tracker.status(BAD, 9_020, PLATFORM);
        assert!(
            matches!(status, StrikeStatus::Quarantined { .. }),
            "{status:?}"
        );
    }
    let mut confirmed = three_strikes(BAD, 1_000);
    confirmed.review(9_020, CONFIRMED_AFTER_MS, PLATFORM, |_, _| {
        Incarnation::Ended
    });
    let lifted = confirmed.review(60_000, CONFIRMED_AFTER_MS, PLATFORM, |_, _| {
        Incarnation::Running
    });
    assert_eq!(lifted, []);
}

/// Guards against three strikes from one server whose path was cut: it cannot have ended and
/// started again within milliseconds.
#[test]
fn on_server_crash_same_server_at_once_counts_once() {
    let mut tracker = StrikeTracker::new();
    for (name, at_ms) in [("a", 100), ("b", 106), ("a", 147), ("a", 300)] {
        let status = tracker.on_server_crash(GOOD, &server(name), 2, at_ms, PLATFORM);
        assert_eq!(status, StrikeStatus::Struck, "{name} at {at_ms} ms");
    }
    let restarted = tracker.on_server_crash(GOOD, &server("a"), 2, 4_000, PLATFORM);
    assert!(
        matches!(restarted, StrikeStatus::Quarantined { .. }),
        "{restarted:?}"
    );
}

/// Guards against a popular request that all routers refuse after a cut has healed, since those in
/// the cut saw no server answer it.
#[test]
fn apply_remote_strikes_older_than_a_completion_refuse_nothing() {
    let mut cut_off = StrikeTracker::lifting_on_completion();
    let mut other = StrikeTracker::lifting_on_completion();
    cut_off.remember_completion(GOOD, 10);
    for number in 0..10 {
        let server = server(&format!("s{number}"));
        cut_off.on_server_crash(GOOD, &server, 5, 1_000 + number * 500, PLATFORM);
    }
    let status = cut_off.status(GOOD, 6_000, PLATFORM);
    assert!(
        matches!(status, StrikeStatus::Quarantined { .. }),
        "{status:?}"
    );
    other.remember_completion(GOOD, 6_000);
    let Snapshot {
        strikes,
        quarantines,
        ..
    } = cut_off.snapshot(6_100, PLATFORM);
    assert_eq!(quarantines, [], "strikes tell the other router enough");
    for strike in &strikes {
        other.apply_remote(strike, 6_100, PLATFORM);
        assert_eq!(other.status(GOOD, 6_100, PLATFORM), StrikeStatus::Clear);
    }
    for delta in other.drain_outgoing(6_100) {
        cut_off.apply_remote(&delta, 6_200, PLATFORM);
    }
    assert_eq!(cut_off.status(GOOD, 6_200, PLATFORM), StrikeStatus::Clear);
}

/// Guards against a router that has just started and refuses a popular part, as it does not know of
/// the answers on it: seen in the soak, seed 11 with two servers.
#[test]
fn snapshot_tells_which_parts_are_sound() {
    let part = Fingerprint(0x5c1e);
    let mut here = StrikeTracker::lifting_on_completion();
    here.on_answer_begun(&[part], 1, 500);
    for number in 0..4 {
        let run = CrashedRun {
            parts: vec![part],
            request: Fingerprint(100 + number),
            caller: 1,
            server: server(&format!("s{number}")),
            started_ms: 900,
            at_ms: 1_000 + number * 300,
            is_silent: false,
        };
        here.on_run_crash(run, PLATFORM);
    }
    assert_eq!(here.refused_parts(&[part], 1, 2_000), []);
    let snapshot = here.snapshot(2_000, PLATFORM);
    let mut there = StrikeTracker::lifting_on_completion();
    for sound in snapshot.sound {
        there.apply_sound(sound, 50_000);
    }
    for strike in &snapshot.strikes {
        there.apply_remote(strike, 50_000, PLATFORM);
    }
    assert_eq!(there.refused_parts(&[part], 1, 50_000), []);
}

fn crashed_run(part: Fingerprint, number: u64, at_ms: u64) -> CrashedRun {
    CrashedRun {
        parts: vec![part],
        request: Fingerprint(100 + number),
        caller: 1,
        server: server(&format!("s{number}")),
        started_ms: at_ms - 60,
        at_ms,
        is_silent: false,
    }
}

/// A router on which a part is in quarantine, with its runs, and one that has read that from the store.
fn quarantined_pair(part: Fingerprint) -> [StrikeTracker; 2] {
    let mut here = StrikeTracker::lifting_on_completion();
    for number in 0..3 {
        here.on_run_crash(crashed_run(part, number, 1_000), PLATFORM);
    }
    let mut there = StrikeTracker::lifting_on_completion();
    for quarantine in here.quarantines(2_000) {
        assert!(there.apply_quarantine(quarantine, 2_000));
    }
    for tracker in [&here, &there] {
        assert_eq!(tracker.refused_parts(&[part], 1, 3_000).len(), 1);
    }
    [here, there]
}

/// Guards against a quarantine that one router lifts and others keep, among them those that know of no
/// crash, and against taking it up again from a router that has missed the answer.
#[test]
fn on_answer_begun_lifts_the_quarantine_everywhere() {
    let part = Fingerprint(0x5c1e);
    let [mut here, mut there] = quarantined_pair(part);
    let stale = here.quarantines(3_000);
    assert!(here.on_answer_begun(&[part], 1, 4_000));
    let sound = here.drain_sound(4_000);
    assert_eq!(sound.len(), 1);
    assert!(there.apply_sound(sound[0], 4_000), "it is passed on");
    assert!(!there.apply_sound(sound[0], 4_000), "only once");
    for tracker in [&mut here, &mut there] {
        assert_eq!(tracker.refused_parts(&[part], 1, 5_000), []);
        assert_eq!(tracker.drain_lifted().len(), 1);
        for quarantine in &stale {
            assert!(!tracker.apply_quarantine(*quarantine, 3_000));
        }
    }
    let [_, mut cut_off] = quarantined_pair(part);
    for sound in here.snapshot(9_000, PLATFORM).sound {
        cut_off.apply_sound(sound, 9_000);
    }
    assert_eq!(cut_off.refused_parts(&[part], 1, 9_000), []);
}

/// Guards against lifting a quarantine because of an answer from before its crashes, which a router
/// without the crashes cannot tell by itself.
#[test]
fn apply_sound_of_an_earlier_answer_lifts_nothing() {
    let part = Fingerprint(0x5c1e);
    let [_, mut there] = quarantined_pair(part);
    let earlier = SoundPart {
        part,
        caller: 1,
        age_ms: 3_000,
    };
    there.apply_sound(earlier, 3_000);
    assert_eq!(there.refused_parts(&[part], 1, 3_000).len(), 1);
}
