use super::*;

const FLEET: FleetEstimate = FleetEstimate {
    known_share: 0.25,
    mean_per_slot: 0.5,
};

fn report(incarnation: u64, held: u32, as_of_ms: u64) -> Report {
    Report {
        incarnation: Incarnation(incarnation),
        held,
        slots: 32,
        as_of_ms,
    }
}

/// Guards against counting a start twice: in the router's own count and in the report.
#[test]
fn estimate_counts_only_changes_after_the_report() {
    let mut load = ServerLoad::default();
    load.start(100);
    load.start(900);
    load.apply_report(report(1, 10, 500));
    let known = FleetEstimate {
        known_share: 0.5,
        ..FLEET
    };
    assert_eq!(load.view(1_000).estimate(32, &known), 10.0 + 2.0 / 1.5);
    load.finish(1_200);
    assert_eq!(load.view(1_300).estimate(32, &known), 10.0);
}

/// Guards against an outdated report that overrides counts which all routers publish.
#[test]
fn estimate_prefers_counts_when_all_are_known() {
    let mut load = ServerLoad::default();
    load.apply_report(report(1, 40, 500));
    for _ in 0..3 {
        load.start(900);
    }
    let all = FleetEstimate {
        known_share: 1.0,
        ..FLEET
    };
    let half = FleetEstimate {
        known_share: 0.75,
        ..FLEET
    };
    assert_eq!(load.view(1_000).estimate(32, &all), 3.0);
    let reported = 40.0 + 3.0 * 2.0 / 1.75;
    assert_eq!(load.view(1_000).estimate(32, &half), (reported + 4.0) / 2.0);
}

/// Guards against amplifying the noise of few own starts: dividing by the known share would add 4.
#[test]
fn estimate_own_starts_extrapolated_without_noise() {
    let mut load = ServerLoad::default();
    load.apply_report(report(1, 10, 500));
    load.start(900);
    assert_eq!(load.view(1_000).estimate(32, &FLEET), 11.6);
}

/// Guards against using the last report indefinitely after a server stops reporting.
#[test]
fn estimate_missing_reports_use_the_mean() {
    let mut load = ServerLoad::default();
    load.apply_report(report(1, 0, 500));
    assert_eq!(load.view(1_000).estimate(32, &FLEET), 0.0);
    assert_eq!(
        load.view(500 + STALE_MS).estimate(32, &FLEET),
        16.0 * 0.75 / 1.25
    );
    load.start(500 + STALE_MS);
    let before = 16.0 * 0.75 / 1.25;
    assert!(load.view(500 + STALE_MS).estimate(32, &FLEET) > before);
}

/// Guards against a delayed report of an earlier incarnation of the server.
#[test]
fn apply_report_earlier_incarnation_is_ignored() {
    let mut load = ServerLoad::default();
    assert!(load.apply_report(report(2, 3, 500)));
    assert!(!load.apply_report(report(1, 30, 600)));
    assert_eq!(load.last_report(), Some(report(2, 3, 500)));
}

/// Guards against unbounded growth of the recorded changes while reports are missing.
#[test]
fn buckets_number_is_bounded() {
    let mut load = ServerLoad::default();
    for now_ms in 0..100_000 {
        load.start(now_ms);
    }
    assert!(load.buckets.len() as u64 <= STALE_MS / BUCKET_MS + 1);
}

/// Guards against placements that follow a single value of a speed that changes many times a second.
#[test]
fn slowdown_changing_speed_is_averaged() {
    let mut load = ServerLoad::default();
    for (index, at_ms) in (0..5_000).step_by(50).enumerate() {
        load.record_speed([100, 300][index % 2], at_ms);
    }
    let slowdown = load.view(5_000).slowdown();
    assert!((1.8..2.2).contains(&slowdown), "{slowdown}");
    load.record_speed(1_000, 5_010);
    assert!(load.view(5_010).slowdown() < 1.3 * slowdown);
}

/// Guards against a server that seems slow long after its last response, and so gets none that would
/// show that it is fast again.
#[test]
fn slowdown_old_speed_loses_weight() {
    let mut load = ServerLoad::default();
    for at_ms in (0..3_000).step_by(100) {
        load.record_speed(400, at_ms);
    }
    let [now, later, end] = [3_000, 13_000, 60_000].map(|at_ms| load.view(at_ms).slowdown());
    assert!(
        now > 3.5 && later < 2.5 && end < 1.05,
        "{now} {later} {end}"
    );
}

/// Guards against a server without the field that is placed differently, and against one that is
/// given more than its slots because it is fast.
#[test]
fn slowdown_unknown_or_fast_is_one() {
    let mut load = ServerLoad::default();
    assert_eq!(load.view(0).slowdown(), 1.0);
    assert_eq!(load.view(0).speed_percent, None);
    load.record_speed(50, 0);
    assert_eq!(load.view(0).slowdown(), 1.0);
}

/// Guards against an out-of-range value that keeps all requests from a server.
#[test]
fn slowdown_is_bounded() {
    let mut load = ServerLoad::default();
    for at_ms in 0..10_000 {
        load.record_speed(u32::MAX, at_ms);
    }
    assert!(load.view(10_000).slowdown() <= 10.0);
}
