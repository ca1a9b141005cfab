use super::*;

const FIRST: Incarnation = Incarnation(1);

/// Guards against a second, shorter pause that ends the first one early.
#[test]
fn extend_each_pause_holds_until_its_end() {
    let long = Pause::new(FIRST, 3_000, 0.0, 0);
    let short = Pause::new(FIRST, 200, 0.0, 100);
    for pause in [long.extend(short), short.extend(long)] {
        assert_eq!(pause.end_ms(FIRST, 2_999), Some(3_000));
    }
}

/// Guards against a pause of an earlier incarnation that replaces that of the current one.
#[test]
fn extend_pause_of_the_later_incarnation_holds() {
    let later = Incarnation(2);
    let old = Pause::new(FIRST, 9_000, 0.0, 0);
    let new = Pause::new(later, 500, 0.0, 0);
    assert_eq!(old.extend(new).end_ms(later, 1), Some(500));
    assert_eq!(new.extend(old).end_ms(later, 1), Some(500));
}

/// Guards against a server that is given up for good because of an absurd time.
#[test]
fn new_absurd_time_is_bounded() {
    let pause = Pause::new(FIRST, u64::MAX, 1.0, 0);
    assert!(pause.end_ms(FIRST, PAUSE_MAX_MS + 2_000).is_none());
}

/// Guards against routers that return together, and before the end.
#[test]
fn new_routers_resume_at_different_times_after_the_end() {
    let ends = [0.0, 0.5, 1.0].map(|draw| Pause::new(FIRST, 2_000, draw, 0).end_ms(FIRST, 0));
    assert_eq!(ends, [Some(2_000), Some(2_250), Some(2_500)]);
}
