use super::*;

const POLICY: StrikePolicy = StrikePolicy {
    strikes_max: 2,
    quarantine_ms: 1000,
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
