use super::*;

const LIMIT: FleetRetryLimit = FleetRetryLimit {
    ratio: 0.2,
    slack: 54.0,
    window_ms: 10_000,
};

/// Guards against routers that together exceed the limit when the traffic is spread unevenly, and
/// against a share that leaves most of the limit unused.
#[test]
fn try_record_retry_sum_over_routers_stays_in_the_fleet_limit() {
    let routers = 7;
    let mut windows: Vec<RetryWindow> = (0..routers).map(|_| RetryWindow::default()).collect();
    let mut retries = 0;
    for (index, window) in windows.iter_mut().enumerate() {
        // The routers get uneven shares of the traffic.
        for at_ms in 0..(index as u64 * 50) {
            window.record_request(at_ms, &LIMIT);
        }
        retries += (0..500)
            .filter(|_| window.try_record_retry(5_000, &LIMIT, routers))
            .count();
    }
    let requests: usize = windows.iter().map(|w| w.requests_ms.len()).sum();
    assert!(retries as f64 <= 0.2 * requests as f64 + 54.0);
    assert!(
        retries > requests / 10,
        "the limit is hardly used: {retries}"
    );
}

/// Guards against retries that count after the window has passed them.
#[test]
fn try_record_retry_ignores_retries_outside_the_window() {
    let mut window = RetryWindow::default();
    while window.try_record_retry(0, &LIMIT, 1) {}
    assert!(!window.try_record_retry(10_000, &LIMIT, 1));
    assert!(window.try_record_retry(10_001, &LIMIT, 1));
}
