use super::*;

fn servers(names: &[&str]) -> Vec<ServerId> {
    names.iter().map(|name| ServerId::from(*name)).collect()
}

/// Guards against sending every request to a server that is down, and against never trying that
/// server again.
#[test]
fn order_suspects_last_allows_one_retry_per_period() {
    let suspects = Suspects::new();
    let candidates = servers(&["a", "b", "c"]);
    suspects.record_failure(&candidates[0], 0);
    let moved = servers(&["b", "c", "a"]);
    assert_eq!(suspects.order_suspects_last(candidates.clone(), 10), moved);
    assert_eq!(
        suspects.order_suspects_last(candidates.clone(), SUSPECT_MS),
        candidates
    );
    assert_eq!(
        suspects.order_suspects_last(candidates.clone(), SUSPECT_MS),
        moved
    );
    assert_eq!(
        suspects.exclude_suspects(candidates.clone(), 10),
        servers(&["b", "c"])
    );
    assert_eq!(
        suspects.exclude_suspects(servers(&["a"]), 10),
        servers(&["a"])
    );
    suspects.record_success(&candidates[0]);
    assert_eq!(
        suspects.order_suspects_last(candidates.clone(), SUSPECT_MS),
        candidates
    );
}
