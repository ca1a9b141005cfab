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

fn server_rows(count: usize) -> Arc<Rows> {
    let server = |number: usize| Row {
        key: format!("i-{number:08x}"),
        content: Some(Bytes::from(format!(
            r#"{{"Backend":"shop","Addr":"10.1.{}.{}:8000","State":"ready","Seq":{number}}}"#,
            number / 250,
            number % 250,
        ))),
    };
    Arc::new(Rows {
        rows: (0..count).map(server).collect(),
        position: crate::decide::table_position::Position::default(),
        read_ms: 0,
    })
}

/// Guards against a start in which the entries of 3,000 servers, sent one by one, choke the link of
/// a router that relays them.
#[test]
fn pack_entries_of_servers_shrink_to_a_quarter_and_round_trip() {
    let rows = server_rows(3_000);
    let encoder = RowEncoder::default();
    let batches = encoder.pack(&rows).unwrap();
    let plain = rows.rows.iter().flat_map(|row| encoder.encode(row));
    let plain: usize = plain.map(|row| row.encoded_len()).sum();
    let packed: usize = batches.iter().map(Bytes::len).sum();
    assert!(packed * 4 < plain, "{packed} of {plain} bytes");
    let mut decoder = RowDecoder::default();
    let unpacked = batches.iter().flat_map(|b| decoder.unpack(b).unwrap());
    assert_eq!(unpacked.collect::<Vec<_>>(), rows.rows);
    // An equal snapshot for another subscriber is not deflated again.
    let again = encoder.pack(&server_rows(3_000)).unwrap();
    assert!(Arc::ptr_eq(&batches, &again));
}

/// Few rows, and rows or batches that do not fit a frame, are sent one by one.
#[test]
fn pack_few_or_large_rows_returns_none() {
    let encoder = RowEncoder::default();
    assert!(encoder.pack(&server_rows(2)).is_none());
    let large = Rows {
        rows: vec![row(Some(incompressible(60 * 1024))); 20],
        position: crate::decide::table_position::Position::default(),
        read_ms: 0,
    };
    assert!(encoder.pack(&Arc::new(large)).is_none());
}

/// One malformed batch must end the link and nothing else.
#[test]
fn unpack_malformed_batch_fails() {
    let mut decoder = RowDecoder::default();
    let noise = Bytes::from(incompressible(500));
    assert!(decoder.unpack(&noise).is_err());
    let no_batch = deflate_bytes(&incompressible(500)).unwrap();
    assert!(decoder.unpack(&no_batch).is_err());
}
