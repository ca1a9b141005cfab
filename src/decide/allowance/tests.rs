use indexmap::IndexSet;

use super::*;
use crate::decide::server_limit;

mod tree;

use tree::{Fault, Traffic, Tree};

/// Limit of a cold server on the larger fleet: 11 requests a second, 1.5 x 11 + 5 in any second.
const COLD: Bound = Bound {
    rate_per_s: 11.0,
    window_ms: 1_000,
    most: 21.5,
};
/// Traffic of one service of the larger fleet, in requests a second.
const SERVICE_PER_S: f64 = 461.0;
const KEY: LimitKey = LimitKey(5);
const RUN_MS: u64 = 20_000;

/// Limit that a server announces: at most 1.5 times as much and 5 more in 4 s.
fn announced(limit_per_s: f64) -> Bound {
    let bound = server_limit::bound(limit_per_s);
    assert_eq!(bound.most, 1.5 * 4.0 * limit_per_s + 5.0);
    bound
}

/// Limits of the simulated fleets.
fn bounds() -> Vec<Bound> {
    let limits = [0.1, 0.4, 2.0, 3.4, 25.0, 900.0];
    let limits = limits.into_iter().map(announced);
    std::iter::once(COLD).chain(limits).collect()
}

fn assert_bounded(tree: &Tree, bound: &Bound, case: &str) {
    let busiest = tree.busiest_window();
    assert!(
        busiest as f64 <= bound.most,
        "{case}, {bound:?}: {busiest} requests in a window"
    );
}

/// Guards against shares that are lost where all traffic enters at one router: the fixed set of routers
/// used a third of a limit there.
#[test]
fn room_all_traffic_at_one_router_uses_nearly_the_whole_rate() {
    for router in [0, 3, 85] {
        for bound in [COLD, announced(2.0), announced(25.0), announced(900.0)] {
            let mut tree = Tree::new(bound);
            tree.run(RUN_MS, Traffic::One(router, 2_000.0), &[]);
            assert_bounded(&tree, &bound, "one router");
            let used = tree.used_share(3_000);
            assert!(used >= 0.93, "router {router}, {bound:?}: {used}");
        }
    }
}

/// Guards against shares smaller than one request that are lost where the traffic is even.
#[test]
fn room_even_traffic_uses_nearly_the_whole_rate() {
    for bound in [COLD, announced(2.0), announced(25.0), announced(400.0)] {
        let mut tree = Tree::new(bound);
        tree.run(RUN_MS, Traffic::Even(SERVICE_PER_S), &[]);
        assert_bounded(&tree, &bound, "even");
        let used = tree.used_share(3_000);
        assert!(used >= 0.85, "{bound:?}: {used}");
    }
}

/// Guards against a sum over the routers that exceeds the limit, or leaves most of it unused, at any
/// size of the fleet.
#[test]
fn room_sum_over_all_routers_keeps_to_the_limit_and_uses_it() {
    for routers in [1, 7, 75, 195] {
        for seeds in [1, 3] {
            for limit_per_s in [0.1, 0.4, 1.6, 2.0, 3.4, 25.0, 900.0] {
                let bound = announced(limit_per_s);
                let mut tree = Tree::with_size(bound, routers, seeds.min(routers));
                tree.run(RUN_MS, Traffic::Even(20.0 * routers as f64 + 1_000.0), &[]);
                let case = format!("{routers} routers, {seeds} seeds");
                assert_bounded(&tree, &bound, &case);
                let busiest = tree.busiest_window() as f64;
                assert!(busiest >= (3.0 * limit_per_s).floor(), "{case}: {busiest}");
            }
        }
    }
}

/// Guards against routers that send to a limited server without a link to the others.
#[test]
fn room_router_without_a_link_has_none() {
    let cut = Fault::Cut(4, 0, RUN_MS);
    let mut tree = Tree::new(announced(25.0));
    tree.run(RUN_MS, Traffic::One(4, 2_000.0), &[cut]);
    assert_eq!(tree.busiest_window(), 0);
}

/// Guards against units that are granted twice while the demand moves between routers.
#[test]
fn room_sum_stays_bounded_while_demand_moves() {
    for bound in bounds() {
        for every_ms in [150, 700, 2_300] {
            let mut tree = Tree::new(bound);
            tree.run(RUN_MS, Traffic::Moving(2_000.0, every_ms), &[]);
            assert_bounded(&tree, &bound, "moving");
        }
    }
}

/// Guards against a sum that exceeds the bound while routers are cut off, paused for seconds and
/// woken, or restarted, a link delivers late, and seeds lose each other, one by one and together.
#[test]
fn room_sum_stays_bounded_during_faults() {
    let faults = |router: usize, from_ms: u64| {
        [
            Fault::Cut(router, from_ms, from_ms + 3_000),
            Fault::Pause(router, from_ms, from_ms + 2_500),
            Fault::Restart(router, from_ms),
            Fault::Late(router, from_ms, from_ms + 4_000, 1_900),
            Fault::SeedsApart(0, 1, from_ms, from_ms + 4_000),
        ]
    };
    for bound in [COLD, announced(0.4), announced(25.0)] {
        for (router, traffic) in [
            (0, Traffic::One(0, 2_000.0)),
            (85, Traffic::One(85, 2_000.0)),
            (4, Traffic::Moving(2_000.0, 700)),
            (1, Traffic::Even(SERVICE_PER_S)),
        ] {
            let mut all = Vec::new();
            for (number, fault) in faults(router, 3_037).into_iter().enumerate() {
                let mut tree = Tree::new(bound);
                tree.run(9_000, traffic, &[fault]);
                assert_bounded(&tree, &bound, &format!("{fault:?} {traffic:?}"));
                all.push(faults(router, 2_000 + 1_911 * number as u64)[number]);
            }
            let mut tree = Tree::new(bound);
            tree.run(14_000, traffic, &all);
            assert_bounded(&tree, &bound, &format!("all {traffic:?}"));
        }
    }
}

/// Guards against a seed that mints its part anew each time it is restarted.
#[test]
fn room_sum_stays_bounded_while_a_seed_restarts_again_and_again() {
    for bound in bounds() {
        for every_ms in [90, 350, 1_100] {
            let restarts = (1..=40).map(|n| Fault::Restart(0, 1_000 + n * every_ms));
            let restarts: Vec<Fault> = restarts.collect();
            for traffic in [Traffic::One(0, 2_000.0), Traffic::Even(2_000.0)] {
                let mut tree = Tree::new(bound);
                tree.run(RUN_MS, traffic, &restarts);
                assert_bounded(&tree, &bound, &format!("every {every_ms} ms"));
            }
        }
    }
}

/// Guards against a lost seed whose loss takes more than its part of a limit.
#[test]
fn room_lost_seed_leaves_the_parts_of_the_others() {
    let mut tree = Tree::new(COLD);
    let lost = [Fault::Cut(2, 2_000, RUN_MS)];
    tree.run(RUN_MS, Traffic::One(0, 2_000.0), &lost);
    assert_bounded(&tree, &COLD, "lost seed");
    let used = tree.used_share(5_000);
    assert!((0.6..0.7).contains(&used), "{used}");
}

/// Guards against a grant to an earlier process, to another router, or without a report.
#[test]
fn apply_grants_without_a_report_of_this_process_is_worth_nothing() {
    let mut router = Allowances::new(Role::Below(3), 100, 0);
    router.room(KEY, &COLD, 0);
    let report = router.report(Receiver::Above, 200).unwrap();
    let grant = |report| GrantAnswer {
        report,
        grants: vec![Grant {
            key: KEY,
            units: 1,
            valid_ms: 500,
        }],
    };
    router.apply_grants(&grant(report.number + 1), 210);
    assert!(!router.take(KEY, 210));
    router.apply_grants(&grant(report.number), 210);
    assert!(router.take(KEY, 210));
    let mut restarted = Allowances::new(Role::Below(3), 7_000, 0);
    restarted.room(KEY, &COLD, 200);
    restarted.report(Receiver::Above, 205).unwrap();
    restarted.apply_grants(&grant(report.number), 210);
    assert!(!restarted.take(KEY, 210));
}

/// Guards against a grant that is worth more because it was in transit for long.
#[test]
fn apply_grants_validity_counts_from_the_report() {
    for (arrives_ms, is_valid) in [(250, true), (699, true), (700, false), (5_000, false)] {
        let mut router = Allowances::new(Role::Below(3), 100, 0);
        router.room(KEY, &COLD, 0);
        let report = router.report(Receiver::Above, 200).unwrap().number;
        let grants = vec![Grant {
            key: KEY,
            units: 1,
            valid_ms: 500,
        }];
        router.apply_grants(&GrantAnswer { report, grants }, arrives_ms);
        assert_eq!(router.take(KEY, arrives_ms), is_valid, "at {arrives_ms} ms");
    }
}

/// Guards against messages that report limits nobody asks for.
#[test]
fn report_without_demand_is_none() {
    let mut router = Allowances::new(Role::Below(3), 100, 0);
    assert_eq!(router.report(Receiver::Above, 0), None);
    router.room(KEY, &COLD, 0);
    assert!(router.report(Receiver::Above, 200).is_some());
    assert_eq!(router.report(Receiver::Above, 10_000), None);
}

/// Guards against reports to one of two receivers that leave the same limits out each time.
#[test]
fn report_many_limits_are_reported_in_turn() {
    let mut router = Allowances::new(Role::Below(3), 100, 0);
    let seed = Receiver::Seed(([127, 0, 0, 1], 1).into());
    let mut reported = [IndexSet::new(), IndexSet::new()];
    for round in 0..3 {
        (0..115).for_each(|key| _ = router.room(LimitKey(key), &COLD, round * 200));
        for (receiver, reported) in [Receiver::Above, seed].into_iter().zip(&mut reported) {
            let report = router.report(receiver, round * 200 + 100).unwrap();
            assert!(report.demands.len() <= DEMANDS_MAX);
            reported.extend(report.demands.iter().map(|demand| demand.key));
        }
    }
    assert_eq!(reported.map(|keys| keys.len()), [115, 115]);
}

/// Guards against work or an overflow from terms that a faulty router states: units of one limit that
/// take longer than the processor share of the relay, and times that wrap around.
#[test]
fn apply_report_faulty_terms_are_put_within_limits() {
    let below = Claimant::Below(1);
    for (period_us, valid_ms) in [(0, u64::MAX), (u64::MAX, u64::MAX), (u64::MAX, 0)] {
        let mut seed = Allowances::new(Role::Seed(1), 1, 0);
        let terms = Terms {
            period_us,
            valid_ms,
        };
        let demands = vec![Demand {
            key: KEY,
            rate_per_s: 1.0,
            terms,
        }];
        for now_ms in (1_000..=3_000).step_by(200) {
            let demands = demands.clone();
            seed.apply_report(below, &Report { number: 1, demands }, now_ms);
            let grants = seed.grants_for(below, now_ms);
            let grants = grants.map_or(Vec::new(), |answer| answer.grants);
            assert!(grants.len() <= 10, "{terms:?}: {}", grants.len());
            assert!(grants.iter().all(|grant| grant.valid_ms <= 2_000));
        }
    }
}

/// Guards against terms under which the units of all seeds exceed a bound.
#[test]
fn terms_units_of_all_seeds_fit_the_bound() {
    for bound in bounds() {
        for seeds in 1..=3 {
            let terms = bound.terms(seeds);
            assert!(terms.valid_ms >= 499, "{terms:?}");
            let span_ms = bound.window_ms + terms.valid_ms + HOLD_MS + TRANSIT_MS;
            let units = (span_ms * 1_000).div_ceil(terms.period_us) * u64::from(seeds);
            assert!(units as f64 <= bound.most, "{bound:?} {seeds}: {units}");
        }
    }
}

/// Guards against a seed that keeps to a limit which was raised, because its own last request saw the
/// lower one.
#[test]
fn grants_for_old_terms_of_own_requests_do_not_hold() {
    let below = Claimant::Below(1);
    let raised = announced(25.0);
    let mut seed = Allowances::new(Role::Seed(1), 1, 0);
    seed.room(KEY, &announced(0.4), 0);
    let mut units = 0;
    for now_ms in (0..20_000).step_by(200) {
        let demands = vec![Demand {
            key: KEY,
            rate_per_s: 25.0,
            terms: raised.terms(1),
        }];
        seed.apply_report(below, &Report { number: 1, demands }, now_ms);
        let grants = seed.grants_for(below, now_ms);
        let grants = grants.map_or(Vec::new(), |answer| answer.grants);
        if now_ms >= 10_000 {
            units += grants.iter().map(|grant| grant.units).sum::<u32>();
        }
    }
    assert!((245..=255).contains(&units), "{units} units in 10 s");
}

/// Guards against units that are kept for good for a router to which no link is open.
#[test]
fn room_units_that_no_link_takes_are_forgotten() {
    let bound = announced(900.0);
    let mut seed = Allowances::new(Role::Seed(1), 1, 0);
    for now_ms in (0..60_000).step_by(100) {
        let demands = vec![Demand {
            key: KEY,
            rate_per_s: 900.0,
            terms: bound.terms(1),
        }];
        let report = Report { number: 1, demands };
        seed.apply_report(Claimant::Below(1), &report, now_ms);
        seed.room(KEY, &bound, now_ms);
    }
    let lots = format!("{seed:?}").matches("Lot {").count();
    assert!(lots <= 200, "{lots} lots");
}

/// Guards against an overflow from a configured rate that is close to 0.
#[test]
fn room_smallest_rate_leaves_no_room() {
    let bound = Bound {
        rate_per_s: f64::MIN_POSITIVE,
        ..COLD
    };
    let mut seed = Allowances::new(Role::Seed(1), 1, 1_000);
    let room = seed.room(KEY, &bound, 2_000);
    assert!(matches!(room, Room::UsedUp(_)), "{room:?}");
}
