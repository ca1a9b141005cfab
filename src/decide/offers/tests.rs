use super::*;

/// Guards against offers of a burst that still count after it: placements would be held back in a
/// service that has room again.
#[test]
fn recent_ended_burst_is_forgotten_within_seconds() {
    let mut offers = Offers::default();
    for at_ms in 0..2_000 {
        offers.record_offer(at_ms);
        if at_ms % 2 == 0 {
            offers.record_placed(at_ms);
        }
    }
    let burst = offers.recent(400.0, 2_000);
    assert!(
        (burst.offered / burst.placed - 2.0).abs() < 0.01,
        "{burst:?}"
    );
    assert!(offers.recent(400.0, 5_000).offered < 0.06 * burst.offered);
}

/// Guards against a clock reading that is older than the last one.
#[test]
fn recent_earlier_time_counts_as_the_last() {
    let mut offers = Offers::default();
    offers.record_offer(1_000);
    offers.record_offer(900);
    assert_eq!(offers.recent(1_000.0, 800).offered, 2.0);
}
