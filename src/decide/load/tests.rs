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
