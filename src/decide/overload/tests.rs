use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::*;

/// Replays a burst in which a service serves 100 of 300 requests a second for ten seconds; each
/// refused caller returns once. Returns how many are refused again.
fn refused_again(mut pause_ms: impl FnMut(u64, u64, f64) -> u64) -> usize {
    const BURST_END_MS: u64 = 10_000;
    const REMAINING_MS: u64 = 10_000;
    let mut rng = StdRng::seed_from_u64(3);
    let mut refused_again = 0;
    for arrival in 0..3_000 {
        let now_ms = arrival * 10 / 3;
        let is_refused = arrival % 3 != 0;
        if !is_refused {
            continue;
        }
        let pause_ms = pause_ms(now_ms, REMAINING_MS, rng.random());
        refused_again += usize::from(now_ms + pause_ms < BURST_END_MS);
    }
    refused_again
}

/// Guards against callers that are told to return while there is still no room: with a pause of 250
/// to 900 ms, 1,882 of 2,000 return into the burst.
#[test]
fn record_refusal_in_a_burst_few_callers_return_into_it() {
    let fixed = refused_again(|_, _, draw| 250 + (650.0 * draw) as u64);
    let mut overload = Overload::default();
    let learned = refused_again(|now_ms, remaining_ms, draw| {
        overload.record_refusal(now_ms, remaining_ms, draw)
    });
    assert!(
        learned * 5 < fixed * 4,
        "{learned}, and {fixed} with fixed pauses"
    );
}

/// After the end of an overload, a short lack of capacity must not keep callers away for long.
#[test]
fn record_refusal_after_a_pause_starts_anew() {
    let mut overload = Overload::default();
    for now_ms in (0..8_000).step_by(100) {
        overload.record_refusal(now_ms, 12_000, 1.0);
    }
    assert_eq!(overload.record_refusal(8_000, 12_000, 1.0), 4_000);
    assert_eq!(overload.record_refusal(9_500, 12_000, 1.0), 900);
}

/// Callers must not return at the same moment, whatever the time that they have left.
#[test]
fn record_refusal_pauses_are_spread() {
    let mut overload = Overload::default();
    for now_ms in (0..8_000).step_by(100) {
        overload.record_refusal(now_ms, 12_000, 1.0);
    }
    for remaining_ms in [2_500, 8_000, 12_000] {
        let mut pause = |draw| overload.record_refusal(8_000, remaining_ms, draw);
        let (shortest, longest) = (pause(0.0), pause(1.0));
        assert!(longest <= remaining_ms / 3, "{longest} of {remaining_ms}");
        assert!(shortest * 2 <= longest, "{shortest} to {longest}");
    }
}
