use super::*;

fn row(content: Option<Vec<u8>>) -> Row {
    Row {
        key: "k".to_owned(),
        content: content.map(Bytes::from),
    }
}

fn round(row: &Row) -> (usize, Vec<Row>) {
    let pieces = Packer::default().pieces(row);
    let mut unpacker = Unpacker::default();
    let count = pieces.len();
    let rows = pieces.into_iter().filter_map(|p| unpacker.take(p).unwrap());
    (count, rows.collect())
}

/// Bytes that do not deflate.
fn noise(length: usize) -> Vec<u8> {
    let words =
        (0..length.div_ceil(8) as u64).map(|i| xxhash_rust::xxh3::xxh3_64(&i.to_le_bytes()));
    words.flat_map(u64::to_le_bytes).take(length).collect()
}

#[test]
fn pieces_of_any_content_join_to_it() {
    let contents = [
        None,
        Some(Vec::new()),
        Some(b"short".to_vec()),
        Some(vec![b'a'; 1_000_000]),
        Some(noise(1_000_000)),
        Some(noise(PIECE_BYTES)),
    ];
    for content in contents {
        let row = row(content);
        assert_eq!(round(&row).1, [row]);
    }
}

/// A content over the frame's limit closed the link of every subscriber for good.
#[test]
fn pieces_fit_a_frame() {
    let row = row(Some(noise(1_000_000)));
    for piece in Packer::default().pieces(&row) {
        assert!(prost::Message::encoded_len(&piece) < crate::peer::frame::FRAME_MAX_BYTES / 2);
    }
}

/// Thirty subscribers cost one deflation.
#[test]
fn pieces_of_the_same_content_are_deflated_once() {
    let packer = Packer::default();
    let row = row(Some(vec![b'a'; 100_000]));
    let first = packer.pieces(&row)[0].content.clone().unwrap();
    let again = packer.pieces(&row.clone())[0].content.clone().unwrap();
    assert_eq!(first.as_ptr(), again.as_ptr());
}

/// A sender with the key could otherwise fill the memory with a few bytes.
#[test]
fn take_content_that_inflates_too_far_is_an_error() {
    let bomb = vec![0; CONTENT_MAX_BYTES as usize + 1];
    let pieces = Packer::default().pieces(&row(Some(bomb)));
    let mut unpacker = Unpacker::default();
    let taken: Vec<_> = pieces.into_iter().map(|p| unpacker.take(p)).collect();
    assert!(taken.iter().any(Result::is_err));
}

#[test]
fn take_broken_content_is_an_error() {
    let piece = wire::Row {
        key: "k".to_owned(),
        content: Some(Bytes::from_static(b"\xff\xff\xff")),
        is_deflated: true,
        has_more: false,
    };
    assert!(Unpacker::default().take(piece).is_err());
}
