use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::*;

/// Cold time of the service in these tests.
const COLD_MS: u64 = 8_000;
/// Rate and bounds of the target fleet: at most 21.5 requests in any second.
const PER_S: f64 = 11.0;
const BOUNDS: ColdBounds = ColdBounds {
    over: 1.5,
    slack: 5.0,
};

fn server() -> ServerId {
    ServerId::from("a")
}

fn until_ms(cold_starts: &ColdStarts, now_ms: u64) -> Option<u64> {
    let cold = cold_starts.cold(&server(), COLD_MS, now_ms);
    cold.map(|cold| cold.until_ms)
}

/// Guards against a server that counts as warm because of a row from before it started, and against
/// one that stays cold although its rows say otherwise.
#[test]
fn record_row_ends_an_event_only_if_it_was_written_later() {
    for cause in [ColdCause::ReachedAgain, ColdCause::ZoneRestored] {
        let mut cold_starts = ColdStarts::default();
        cold_starts.record_event(&server(), cause, 1_000);
        assert!(!cold_starts.record_row(&server(), 0, 1_000 + ROW_DELAY_MS - 1));
        assert_eq!(until_ms(&cold_starts, 4_000), Some(1_000 + COLD_MS));
        assert!(cold_starts.record_row(&server(), 0, 1_000 + ROW_DELAY_MS));
        assert_eq!(until_ms(&cold_starts, 4_000), None);
    }
}

/// Guards against a cold time that ends before its time, or never, without any row.
#[test]
fn cold_without_a_row_ends_after_the_time_of_the_service() {
    let mut cold_starts = ColdStarts::default();
    cold_starts.record_event(&server(), ColdCause::ReachedAgain, 1_000);
    assert_eq!(until_ms(&cold_starts, 1_000 + COLD_MS - 1), Some(9_000));
    assert_eq!(until_ms(&cold_starts, 1_000 + COLD_MS), None);
}

/// Guards against a joined server that counts as cold for longer than its row says, or as warm because
/// its first row does not say yet that it is cold.
#[test]
fn record_joined_row_with_a_time_counts_and_one_without_does_not() {
    let mut cold_starts = ColdStarts::default();
    cold_starts.record_joined(&server(), 3_000, 100);
    assert_eq!(until_ms(&cold_starts, 100), Some(3_100));
    cold_starts.record_joined(&server(), 0, 200);
    assert_eq!(until_ms(&cold_starts, 200), Some(200 + COLD_MS));
    cold_starts.record_row(&server(), 4_000, 300);
    assert_eq!(until_ms(&cold_starts, 300), Some(200 + COLD_MS));
}

/// Guards against a server that becomes cold while it runs and is not noticed, against one that stays
/// cold as it says it is warm, and against a row that is not relayed, or relayed with each heartbeat.
#[test]
fn record_row_server_becomes_cold_and_warm_by_its_rows() {
    let mut cold_starts = ColdStarts::default();
    assert!(!cold_starts.record_row(&server(), 0, 0));
    assert!(cold_starts.servers().is_empty());
    assert!(cold_starts.record_row(&server(), 5_000, 1_200));
    assert!(!cold_starts.record_row(&server(), 3_800, 2_400));
    assert!(cold_starts.record_row(&server(), 5_000, 3_600));
    assert_eq!(until_ms(&cold_starts, 3_600), Some(8_600));
    assert!(cold_starts.record_row(&server(), 0, 4_800));
    assert_eq!(until_ms(&cold_starts, 4_800), None);
    assert!(cold_starts.record_row(&server(), 0, 6_000));
    assert!(!cold_starts.record_row(&server(), 0, 7_200));
}

/// Guards against a row on its way that hides what a later response says, and against a response to a
/// request from before the event.
#[test]
fn record_response_is_newer_than_rows_on_their_way() {
    let mut cold_starts = ColdStarts::default();
    cold_starts.record_response(&server(), 0, 0, 10);
    assert!(cold_starts.servers().is_empty());
    cold_starts.record_response(&server(), 6_000, 0, 1_000);
    cold_starts.record_row(&server(), 0, 1_500);
    assert_eq!(until_ms(&cold_starts, 1_500), Some(7_000));
    cold_starts.record_event(&server(), ColdCause::ReachedAgain, 2_000);
    cold_starts.record_response(&server(), 0, 1_900, 2_100);
    assert_eq!(until_ms(&cold_starts, 2_100), Some(2_000 + COLD_MS));
    cold_starts.record_response(&server(), 0, 2_050, 2_200);
    assert_eq!(until_ms(&cold_starts, 2_200), None);
}

/// Guards against lines that are logged again and again, and against entries that are kept for good.
#[test]
fn take_changes_reports_each_change_once_and_forgets_warm_servers() {
    let mut cold_starts = ColdStarts::default();
    cold_starts.record_row(&server(), 1_000, 0);
    let cold_ms = |_: &ServerId| Some(COLD_MS);
    let changes = cold_starts.take_changes(cold_ms, 10);
    assert!(matches!(changes[..], [(_, Some(_))]));
    assert!(cold_starts.take_changes(cold_ms, 20).is_empty());
    let changes = cold_starts.take_changes(cold_ms, 1_000);
    assert!(matches!(changes[..], [(_, None)]));
    cold_starts.take_changes(cold_ms, 1_010);
    assert!(cold_starts.servers().is_empty());
}

/// One router of the simulated fleet.
struct Router {
    place: FleetPlace,
    /// The next place and when this router learns of it.
    next: Option<(FleetPlace, u64)>,
    settled: SettledPlace,
    share: ColdShare,
    /// Whether it has sent a request from its present place.
    has_sent: bool,
}

/// Sends as many requests as the routers allow to one cold server for `duration_ms`; `change` may set
/// the next places of the routers. Returns the times of the requests.
fn sent_ms(
    routers: u32,
    policy: ColdPolicy,
    duration_ms: u64,
    mut change: impl FnMut(&mut [Router], u64),
) -> Vec<u64> {
    const INCARNATION: Incarnation = Incarnation(1);
    const STEP_MS: u64 = 10;
    let limit = |place, settled_ms| ColdLimit {
        per_s: policy.limit_per_s,
        place,
        settled_ms,
    };
    let router = |index| {
        let place = FleetPlace {
            index: Some(index),
            routers,
        };
        Router {
            place,
            next: None,
            settled: SettledPlace::default(),
            share: ColdShare::new(INCARNATION, limit(place, 0), 0),
            has_sent: false,
        }
    };
    let mut fleet: Vec<Router> = (0..routers).map(router).collect();
    let mut sent = Vec::new();
    for now_ms in (0..duration_ms).step_by(STEP_MS as usize) {
        change(&mut fleet, now_ms);
        for router in &mut fleet {
            if let Some((place, _)) = router.next.filter(|(_, at_ms)| *at_ms <= now_ms) {
                router.place = place;
                router.next = None;
            }
            let settled_ms = router.settled.observe(router.place, now_ms);
            let limit = limit(router.place, settled_ms);
            while router.share.room(&server(), INCARNATION, limit, now_ms) == Room::Free {
                router.share.take();
                router.has_sent = true;
                sent.push(now_ms);
            }
        }
    }
    sent
}

/// Highest number of requests in any one second.
fn busiest_second(sent_ms: &[u64]) -> usize {
    let count = |(first, from): (usize, &u64)| {
        sent_ms.partition_point(|at_ms| *at_ms < from + 1_000) - first
    };
    sent_ms.iter().enumerate().map(count).max().unwrap_or(0)
}

/// Guards against a sum over all routers that crashes a cold server, and against a share that is so
/// small that the server is not used at all.
#[test]
fn room_sum_over_all_routers_stays_within_the_bound_and_is_used() {
    for routers in [1, 4, 32, 86] {
        for (per_s, over, slack) in [(11.0, 1.5, 5.0), (2.0, 1.5, 5.0), (40.0, 1.0, 0.0)] {
            let policy = ColdPolicy::new(COLD_MS, per_s, ColdBounds { over, slack });
            let sent = sent_ms(routers, policy, 20_000, |_, _| {});
            let busiest = busiest_second(&sent) as f64;
            assert!(
                busiest <= per_s * over + slack,
                "{routers} {per_s}: {busiest}"
            );
            // The shares are empty for the first 2.5 s, and one request long after that.
            let used = sent.len() as f64 / 20.0;
            assert!(used >= 0.6 * per_s, "{routers} {per_s}: {used}/s");
        }
    }
}

/// Guards against places that change while the server is cold: the routers that send learn of their
/// new places last, so for a while they send beside those that have taken their places.
#[test]
fn room_sum_stays_within_the_bound_while_places_change() {
    /// Longest time until a router learns of its new place, or that it has none.
    const LEARNED_MS: u64 = 2_000;
    const ROUTERS: u32 = 86;
    let policy = ColdPolicy::new(COLD_MS, PER_S, BOUNDS);
    let mut total = 0;
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut change_ms = 4_000;
        let sent = sent_ms(ROUTERS, policy, 30_000, |fleet, now_ms| {
            if now_ms < change_ms {
                return;
            }
            change_ms += rng.random_range(1_000..9_000);
            // All places move by some routers, and a few routers are cut off.
            let shift = rng.random_range(1..ROUTERS);
            for (number, router) in fleet.iter_mut().enumerate() {
                let is_cut_off = rng.random_range(0..20) == 0;
                let place = FleetPlace {
                    index: (!is_cut_off).then_some((number as u32 + shift) % ROUTERS),
                    routers: ROUTERS,
                };
                let delay_ms = match std::mem::take(&mut router.has_sent) {
                    true => LEARNED_MS,
                    false => rng.random_range(0..=LEARNED_MS / 10),
                };
                router.next = Some((place, now_ms + delay_ms));
            }
        });
        let busiest = busiest_second(&sent) as f64;
        let bound = PER_S * BOUNDS.over + BOUNDS.slack;
        assert!(busiest <= bound, "seed {seed}: {busiest}");
        total += sent.len();
    }
    assert!(total > 20 * 50, "{total} requests in 20 runs of 30 s");
}

/// Guards against requests of routers that have lost all links and cannot know how many others send.
#[test]
fn room_router_without_a_place_has_none() {
    let policy = ColdPolicy::new(COLD_MS, PER_S, BOUNDS);
    let sent = sent_ms(86, policy, 30_000, |fleet, _| {
        fleet
            .iter_mut()
            .for_each(|router| router.place.index = None);
    });
    assert!(sent.is_empty(), "{sent:?}");
}

/// Guards against requests to a server while it is warm that use up its share for the next time that
/// it is cold.
#[test]
fn take_without_room_costs_nothing() {
    let place = FleetPlace {
        index: Some(0),
        routers: 1,
    };
    let limit = ColdLimit {
        per_s: PER_S,
        place,
        settled_ms: 0,
    };
    let mut share = ColdShare::new(Incarnation(1), limit, 0);
    (0..1_000).for_each(|_| share.take());
    share.room(&server(), Incarnation(1), limit, 0);
    assert_eq!(
        share.room(&server(), Incarnation(1), limit, 1_000),
        Room::Free
    );
}
