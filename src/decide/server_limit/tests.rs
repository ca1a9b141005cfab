use super::*;

const FIRST: Incarnation = Incarnation(1);

fn server(number: u32) -> ServerId {
    ServerId::from(format!("server-{number}").as_str())
}

/// Highest number of requests that a server gets in any 4 s of 20 s if routers at these places
/// always have requests for it.
fn busiest_window(limit_per_s: f64, places: &[FleetPlace], number: u32) -> usize {
    const WINDOW_MS: u64 = 4_000;
    let id = server(number);
    let mut limits = vec![ServerLimit::new(FIRST, limit_per_s, 0); places.len()];
    let mut sent_ms = Vec::new();
    for now_ms in (0..20_000).step_by(20) {
        for (limit, place) in limits.iter_mut().zip(places) {
            limit.as_of_ms = now_ms;
            while limit.room(&id, FIRST, *place, now_ms) == Room::Free {
                limit.take();
                sent_ms.push(now_ms);
            }
        }
    }
    let windows = sent_ms.iter().enumerate();
    let count =
        |(first, from): (usize, &u64)| sent_ms.partition_point(|at| *at < from + WINDOW_MS) - first;
    windows.map(count).max().unwrap_or(0)
}

fn places(routers: u32) -> Vec<FleetPlace> {
    let indexes = (0..routers).map(Some);
    indexes.map(|index| FleetPlace { index, routers }).collect()
}

/// Guards against a sum over the routers that exceeds the limit, or leaves most of it unused, at any
/// size of the fleet.
#[test]
fn room_sum_over_all_routers_keeps_to_the_limit_and_uses_it() {
    for routers in [1, 7, 75, 195] {
        for limit_per_s in [0.0, 0.4, 1.6, 2.0, 3.4, 25.0, 900.0] {
            for number in 0..3 {
                let busiest = busiest_window(limit_per_s, &places(routers), number) as f64;
                let allowed = 1.5 * 4.0 * limit_per_s + 5.0;
                assert!(busiest <= allowed, "{routers} {limit_per_s}: {busiest}");
                let used = (3.0 * limit_per_s).floor();
                assert!(busiest >= used, "{routers} {limit_per_s}: {busiest}");
            }
        }
    }
}

/// Guards against routers that do not know their place and together exceed the limit beside those
/// that do.
#[test]
fn room_routers_without_a_place_have_a_small_share() {
    for routers in [7, 75, 195] {
        let mut all = places(routers);
        let unplaced = all.iter_mut().skip(1).step_by(2);
        unplaced.for_each(|place| place.index = None);
        for limit_per_s in [1.6, 3.4, 25.0] {
            let busiest = busiest_window(limit_per_s, &all, 1) as f64;
            assert!(busiest <= 6.0 * limit_per_s + 5.0, "{routers}: {busiest}");
        }
    }
}

/// Guards against a burst of a router that takes over another's place.
#[test]
fn room_new_place_starts_with_an_empty_share() {
    let mut limit = ServerLimit::new(FIRST, 2.0, 0);
    let first = FleetPlace {
        index: Some(0),
        routers: 1,
    };
    let second = FleetPlace {
        index: Some(1),
        routers: 2,
    };
    assert_eq!(
        limit.room(&server(1), FIRST, first, 0),
        Room::UsedUp(Some(500))
    );
    assert_eq!(limit.room(&server(1), FIRST, first, 5_000), Room::Free);
    assert!(matches!(
        limit.room(&server(1), FIRST, second, 5_000),
        Room::UsedUp(Some(_))
    ));
}

/// Guards against a limit that is lifted by a response to a request sent before another response
/// named it, and against one that never ends.
#[test]
fn apply_later_word_holds() {
    let mut limit = ServerLimit::new(FIRST, 2.0, 1_000);
    assert_eq!(limit.apply(FIRST, None, 900), Effect::None);
    assert_eq!(limit.limit_per_s(FIRST, 1_000), Some(2.0));
    assert_eq!(limit.apply(FIRST, None, 1_001), Effect::Changed);
    assert_eq!(limit.limit_per_s(FIRST, 1_100), None);
    assert_eq!(limit.apply(FIRST, None, 1_100), Effect::None);
    assert!(limit.was_just_lifted(1_100) && !limit.was_just_lifted(2_050));
    assert_eq!(limit.apply(FIRST, Some(3.0), 1_200), Effect::Changed);
    assert_eq!(limit.limit_per_s(FIRST, 1_200), Some(3.0));
    assert_eq!(limit.limit_per_s(FIRST, 1_200 + LIMIT_KEEP_MS), None);
}

/// Guards against a limit of an earlier incarnation that holds for the next one.
#[test]
fn apply_limit_belongs_to_an_incarnation() {
    let next = Incarnation(2);
    let mut limit = ServerLimit::new(FIRST, 2.0, 1_000);
    assert_eq!(limit.limit_per_s(next, 1_000), None);
    assert_eq!(limit.apply(next, Some(4.0), 500), Effect::Changed);
    assert_eq!(limit.apply(FIRST, Some(2.0), 2_000), Effect::None);
    assert_eq!(limit.limit_per_s(next, 2_000), Some(4.0));
}

/// Guards against updates that are passed on for each response.
#[test]
fn apply_same_limit_is_refreshed_only_after_a_while() {
    let mut limit = ServerLimit::new(FIRST, 2.0, 0);
    assert_eq!(limit.apply(FIRST, Some(2.1), 100), Effect::None);
    assert_eq!(limit.apply(FIRST, Some(2.0), REFRESH_MS), Effect::Refreshed);
    assert_eq!(
        limit.apply(FIRST, Some(2.0), REFRESH_MS + 100),
        Effect::None
    );
    assert_eq!(
        limit.apply(FIRST, Some(3.0), REFRESH_MS + 200),
        Effect::Changed
    );
}
