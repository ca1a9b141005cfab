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
