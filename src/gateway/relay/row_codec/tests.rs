use super::*;

fn row(content: Option<Vec<u8>>) -> Row {
    Row {
        key: "k".to_owned(),
        content: content.map(Bytes::from),
    }
}

fn round_trip(row: &Row) -> (usize, Vec<Row>) {
    let chunks = RowEncoder::default().encode(row);
    let mut decoder = RowDecoder::default();
    let count = chunks.len();
    let rows = chunks
        .into_iter()
        .filter_map(|chunk| decoder.decode(chunk).unwrap());
    (count, rows.collect())
}

/// Bytes that deflate cannot shorten.
fn incompressible(length: usize) -> Vec<u8> {
    let words =
        (0..length.div_ceil(8) as u64).map(|i| xxhash_rust::xxh3::xxh3_64(&i.to_le_bytes()));
    words.flat_map(u64::to_le_bytes).take(length).collect()
}

#[test]
fn encode_decode_any_content_round_trips() {
    let contents = [
        None,
        Some(Vec::new()),
        Some(b"short".to_vec()),
        Some(vec![b'a'; 1_000_000]),
        Some(incompressible(1_000_000)),
        Some(incompressible(CHUNK_BYTES)),
    ];
    for content in contents {
        let row = row(content);
        assert_eq!(round_trip(&row).1, [row]);
    }
}

/// A content that exceeds the frame limit would close the link of every subscriber, again after
/// each reconnect.
#[test]
fn encode_chunks_fit_in_a_frame() {
    let row = row(Some(incompressible(1_000_000)));
    for chunk in RowEncoder::default().encode(&row) {
        assert!(prost::Message::encoded_len(&chunk) < crate::peer::frame::FRAME_MAX_BYTES / 2);
    }
}

/// Deflating once per subscriber would multiply the work, for example by thirty.
#[test]
fn encode_same_content_is_deflated_once() {
    let encoder = RowEncoder::default();
    let row = row(Some(vec![b'a'; 100_000]));
    let first = encoder.encode(&row)[0].content.clone().unwrap();
    let again = encoder.encode(&row.clone())[0].content.clone().unwrap();
    assert_eq!(first.as_ptr(), again.as_ptr());
}

/// A sender that has the key could otherwise exhaust the memory with a short message.
#[test]
fn decode_content_inflating_beyond_limit_is_an_error() {
    let zeros = vec![0; CONTENT_MAX_BYTES as usize + 1];
    let chunks = RowEncoder::default().encode(&row(Some(zeros)));
    let mut decoder = RowDecoder::default();
    let decoded: Vec<_> = chunks
        .into_iter()
        .map(|chunk| decoder.decode(chunk))
        .collect();
    assert!(decoded.iter().any(Result::is_err));
}

#[test]
fn decode_invalid_deflate_data_is_an_error() {
    let chunk = wire::Row {
        key: "k".to_owned(),
        content: Some(Bytes::from_static(b"\xff\xff\xff")),
        is_deflated: true,
        has_more: false,
    };
    assert!(RowDecoder::default().decode(chunk).is_err());
}
