use super::*;

fn calls_in(seconds: u64, routers: u32) -> u64 {
    let mut now_ms = 0;
    let mut failures = 0;
    let mut calls = 0;
    while now_ms < seconds * 1_000 {
        failures += 1;
        calls += u64::from(routers);
        now_ms += backoff(failures, routers).as_millis() as u64;
    }
    calls
}

/// Guards against a fleet that presses a store that is away: 195 routers made 8,640 calls on one day.
#[test]
fn backoff_large_fleet_calls_grow_slower_than_its_size() {
    let (small, large) = (calls_in(60, 7), calls_in(60, 195));
    assert!(large < small * 195 / 7 / 3, "{small} and {large} calls");
}

/// Changes must take effect soon after the store has come back, whatever the size of the fleet.
#[test]
fn backoff_stays_below_the_time_that_the_store_must_be_stable() {
    for (routers, longest_ms) in [
        (1, 600),
        (7, 600),
        (75, 1_200),
        (195, 2_400),
        (1_000, 2_400),
    ] {
        for failures in 1..100 {
            let pause_ms = backoff(failures, routers).as_millis();
            assert!(
                (75..=longest_ms).contains(&pause_ms),
                "{routers}: {pause_ms} ms"
            );
        }
    }
}
