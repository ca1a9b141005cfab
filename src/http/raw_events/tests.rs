use super::*;

fn all(parts: &[&[u8]]) -> Vec<RawEvent> {
    let mut events = RawEventDecoder::default();
    let mut found = Vec::new();
    for part in parts {
        events.push(part);
        while let Some(event) = events.next_event().unwrap() {
            found.push(event);
        }
    }
    found
}

#[test]
fn next_event_any_division_gives_the_same_bytes() {
    let text = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    for at in 1..text.len() {
        let events = all(&[&text[..at], &text[at..]]);
        let ids: Vec<_> = events.iter().map(|event| event.id).collect();
        assert_eq!(ids, [Some(1), Some(2), Some(3)], "divided at {at}");
        let bytes: Vec<u8> = events.iter().flat_map(|e| e.bytes.to_vec()).collect();
        assert_eq!(bytes, text, "divided at {at}");
    }
}

#[test]
fn next_event_half_event_is_kept_back() {
    let mut events = RawEventDecoder::default();
    events.push(b"id: 1\ndata: a\n");
    assert_eq!(events.next_event().unwrap(), None);
    assert!(!events.is_empty());
}

#[test]
fn next_event_endless_event_is_given_up() {
    let mut events = RawEventDecoder::default();
    events.push(&vec![b'x'; EVENT_MAX_BYTES + 1]);
    assert_eq!(events.next_event(), Err(EventTooLong));
}
