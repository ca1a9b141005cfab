use futures_lite::AsyncWriteExt;
use futures_lite::io::Cursor;

use super::*;

/// Guards against writing a byte after the permission was denied, and against reporting that the
/// attempt may have run.
#[test]
fn write_denied_writes_nothing_and_stays_denied() {
    let mut sink = Cursor::new(Vec::new());
    let (mut stream, first_byte) = GuardedStream::new(&mut sink, || false);
    smol::block_on(async {
        assert!(stream.write(b"a").await.is_err());
        assert!(stream.write(b"b").await.is_err());
    });
    assert!(!first_byte.is_written());
    assert!(sink.get_ref().is_empty());
}

/// Guards against reporting that an attempt has not run after a byte was passed to the socket.
#[test]
fn write_allowed_is_recorded_as_written() {
    let mut sink = Cursor::new(Vec::new());
    let (mut stream, first_byte) = GuardedStream::new(&mut sink, || true);
    assert!(!first_byte.is_written());
    smol::block_on(async {
        stream.write_all(b"a").await.expect("the first write");
        stream.write_all(b"b").await.expect("the second write");
    });
    assert!(first_byte.is_written());
    assert_eq!(sink.get_ref(), b"ab");
}
