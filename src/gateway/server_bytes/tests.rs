use super::*;

/// Guards against a server that never gets a body larger than the bound, and against servers that
/// stay in the map after their last request.
#[test]
fn try_start_single_large_body_is_sent_and_forgotten() {
    let bytes = ServerBytes::default();
    let server = ServerId::from("i-1");
    let ticket = bytes.try_start(&server, 2_000, 1_000);
    assert!(ticket.is_some());
    assert!(bytes.try_start(&server, 1, 1_000).is_none());
    assert!(bytes.try_start(&ServerId::from("i-2"), 1, 1_000).is_some());
    assert!(bytes.try_start(&server, 0, 1_000).is_none());
    drop(ticket);
    assert!(bytes.0.lock().is_empty());
}
