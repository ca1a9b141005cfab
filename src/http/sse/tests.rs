use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::{DONE, Decoder, EVENT_MAX_BYTES, Event, EventTooLong};

fn event(id: &str, name: &str, data: &str) -> Event {
    Event {
        id: id.to_owned(),
        name: name.to_owned(),
        data: data.to_owned(),
    }
}

fn decode(bytes: &[u8]) -> Vec<Event> {
    let mut decoder = Decoder::default();
    decoder.push(bytes);
    drain(&mut decoder)
}

fn drain(decoder: &mut Decoder) -> Vec<Event> {
    std::iter::from_fn(|| decoder.next_event().expect("no event is too long")).collect()
}

/// Guards against misreading the line ends, comments and fields that the standard allows.
#[test]
fn next_event_reads_all_line_ends_and_fields() {
    let a = event("", "", "a");
    let cases: [(&str, Vec<Event>); 12] = [
        ("data: a\n\n", vec![a.clone()]),
        ("data: a\r\n\r\n", vec![a.clone()]),
        ("data: a\r\r", vec![a.clone()]),
        ("data: a\n\r\n", vec![a.clone()]),
        ("data: a\r\n\n", vec![a.clone()]),
        ("data:a\n\n", vec![a.clone()]),
        (": comment\n\ndata: a\n\n", vec![a.clone()]),
        ("\n\n\ndata: a\n\n\n\ndata: a\n\n", vec![a.clone(), a]),
        (
            "data: a\ndata:  b\ndata\n\n",
            vec![event("", "", "a\n b\n")],
        ),
        (
            "id: 7\nevent: error\nretry: 5\ndata: x:y\n\n",
            vec![event("7", "error", "x:y")],
        ),
        ("id: 7\n\n", vec![]),
        ("data: a\n", vec![]),
    ];
    for (text, events) in cases {
        assert_eq!(decode(text.as_bytes()), events, "{text:?}");
    }
}

/// Guards against decoding other events when the network delivers the same bytes in other pieces.
#[test]
fn next_event_any_division_gives_same_events() {
    let mut rng = StdRng::seed_from_u64(5);
    let text =
        "id: 1\r\ndata: é1\r\n\r\n: c\n\ndata: 2\ndata: 3\n\nid: 4\ndata: 4\r\rdata: [DONE]\n\n";
    let expected = decode(text.as_bytes());
    assert_eq!(expected.len(), 4);
    assert!(expected[3].is_terminal());
    for _ in 0..500 {
        let mut decoder = Decoder::default();
        let mut events = Vec::new();
        let mut rest = text.as_bytes();
        while !rest.is_empty() {
            let (part, remaining) = rest.split_at(rng.random_range(1..=rest.len().min(9)));
            decoder.push(part);
            events.extend(drain(&mut decoder));
            rest = remaining;
        }
        assert_eq!(events, expected);
    }
}

/// Guards against encoding an event so that it decodes to a different one.
#[test]
fn encode_decodes_to_the_same_event() {
    let events = [
        event("", "", "a"),
        event("12", "error", "{\"a\": \"b\"}"),
        event("1", "", "two\nlines\n"),
        event("", "", " leading space"),
        event("", "", ""),
        event("", "", DONE),
    ];
    for event in events {
        assert_eq!(decode(&event.encode()), [event]);
    }
}

/// Guards against unbounded memory use when a server sends an event that never ends.
#[test]
fn next_event_too_long_is_refused() {
    let mut decoder = Decoder::default();
    decoder.push(b"data: ");
    decoder.push(&vec![b'x'; EVENT_MAX_BYTES]);
    assert_eq!(decoder.next_event(), Err(EventTooLong));
}
