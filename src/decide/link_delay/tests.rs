use super::*;

/// Guards against a queue in front of a link that grows without being noticed: each message still
/// arrives within the silence time-out after the one before.
#[test]
fn record_growing_queue_delay_grows() {
    let mut delay = LinkDelay::default();
    let delays_ms: Vec<u64> = (0..20).map(|n| delay.record(n * 200, n * 400)).collect();
    assert_eq!(delays_ms[0], 0);
    assert!(delays_ms.windows(2).all(|pair| pair[1] == pair[0] + 200));
    assert_eq!(delay.last_ms(), 3_800);
}

/// A link whose first messages waited in a queue is measured against the first one that did not.
#[test]
fn record_faster_message_becomes_the_reference() {
    let mut delay = LinkDelay::default();
    assert_eq!(delay.record(1_000, 500), 0);
    assert_eq!(delay.record(2_000, 1_000), 0);
    assert_eq!(delay.record(2_200, 1_700), 500);
}

/// The clocks of hosts start at any time, and a faulty peer may state any.
#[test]
fn record_any_clocks_do_not_overflow() {
    let mut delay = LinkDelay::default();
    for (sent_ms, now_ms) in [(u64::MAX, 0), (0, u64::MAX), (u64::MAX / 2, 1), (7, 7)] {
        delay.record(sent_ms, now_ms);
    }
}

/// Guards against a router that stays below a link whose counts and strikes are seconds old.
#[test]
fn is_congested_lasting_delay_is() {
    let mut delay = LinkDelay::default();
    let first = (0..20).find(|n| {
        delay.record(n * 200, n * 400);
        delay.is_congested(n * 400)
    });
    let first = first.expect("the link is never congested");
    assert_eq!(delay.last_ms(), 200 * first);
    assert!((1_000..=1_600).contains(&delay.last_ms()), "{first}");
}

/// Guards against a router that leaves a sound link after a pause of its own process.
#[test]
fn is_congested_messages_that_waited_during_a_pause_are_not() {
    let mut delay = LinkDelay::default();
    delay.record(0, 0);
    for n in 1..=7 {
        delay.record(n * 200, 1_500 + n);
        assert!(!delay.is_congested(1_500 + n));
    }
}
