use super::*;

fn decode(parts: &[&[u8]]) -> Vec<RawEvent> {
    let mut events = RawEventDecoder::default();
    let mut decoded = Vec::new();
    for part in parts {
        events.push(part);
        while let Some(event) = events.next_event().unwrap() {
            decoded.push(event);
        }
    }
    decoded
}

/// Guards against losing or changing bytes when the network splits an event at any position.
#[test]
fn next_event_any_division_gives_same_bytes() {
    let text = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    for at in 1..text.len() {
        let events = decode(&[&text[..at], &text[at..]]);
        let ids: Vec<_> = events.iter().map(|event| event.id).collect();
        assert_eq!(ids, [Some(1), Some(2), Some(3)], "divided at {at}");
        let bytes: Vec<u8> = events.iter().flat_map(|e| e.bytes.to_vec()).collect();
        assert_eq!(bytes, text, "divided at {at}");
    }
}

/// Guards against returning an event before its blank line was received.
#[test]
fn next_event_incomplete_event_is_not_returned() {
    let mut events = RawEventDecoder::default();
    events.push(b"id: 1\ndata: a\n");
    assert_eq!(events.next_event().unwrap(), None);
    assert!(!events.is_empty());
}

/// Guards against unbounded memory use when a server sends an event that never ends.
#[test]
fn next_event_too_long_is_refused() {
    let mut events = RawEventDecoder::default();
    events.push(&vec![b'x'; EVENT_MAX_BYTES + 1]);
    assert_eq!(events.next_event(), Err(EventTooLong));
}
