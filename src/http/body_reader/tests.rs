use super::*;

/// Guards against a buffer that doubles beyond the room of its body.
#[test]
fn push_small_parts_take_no_more_than_the_room() {
    let room_bytes = 1 << 20;
    let mut buffer = BodyBuffer::default();
    for _ in 0..room_bytes / 8 {
        buffer.push(b"12345678", room_bytes);
        assert!(buffer.bytes.capacity() <= room_bytes);
    }
    assert_eq!(buffer.len(), room_bytes);
}

/// Guards against a body that is read beyond its room, and against a small one that has to wait with
/// the large ones.
#[test]
fn room_for_covers_what_is_read_ahead() {
    const MAX_BYTES: usize = 4 << 20;
    let rooms = [0, 4_096, 4_097, 16_384, 16_385, 49_152, 49_153, MAX_BYTES].map(|read_bytes| {
        let room_bytes = room_for(read_bytes, MAX_BYTES);
        assert!(room_bytes >= read_bytes + AHEAD_BYTES);
        room_bytes / 1_024
    });
    assert_eq!(rooms, [20, 20, 32, 32, 64, 64, 80, 4_112]);
    assert_eq!(room_for(100, 1_000), 1_000 + AHEAD_BYTES);
}
