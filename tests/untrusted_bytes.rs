//! Properties of what untrusted peers send: whatever the bytes and however they are split, nothing
//! panics, no memory stays held, and the verdict is the same.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Response, StatusCode};
use jujubeusher::decide::memory_budget::Purpose;
use jujubeusher::edge::clock::HostClock;
use jujubeusher::http::body_reader::{ReadError, read_body};
use jujubeusher::http::full_body;
use jujubeusher::http::limits::ServerLimits;
use jujubeusher::http::memory::Memory;
use jujubeusher::http::raw_events::RawEventDecoder;
use jujubeusher::http::server::Server;
use jujubeusher::runtime::Runtime;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const SEED: [u8; 32] = *b"untrusted bytes, one fixed seed.";
/// Largest body that the listener accepts; small, so that generated bodies exceed it.
const BODY_MAX_BYTES: usize = 200;
const MEMORY_BYTES: usize = 16_000_000;

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &SEED))
}

/// Splits bytes at these places, taken modulo their length.
fn split<'a>(bytes: &'a [u8], places: &[usize]) -> Vec<&'a [u8]> {
    let mut places: Vec<usize> = places.iter().map(|p| p % (bytes.len() + 1)).collect();
    places.extend([0, bytes.len()]);
    places.sort_unstable();
    places
        .windows(2)
        .map(|pair| &bytes[pair[0]..pair[1]])
        .collect()
}

/// Events of a stream whose bytes arrive in these parts, with what is left of them.
fn events<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> (Vec<(Bytes, Option<u64>)>, usize) {
    let mut decoder = RawEventDecoder::default();
    let mut events = Vec::new();
    for part in parts {
        decoder.push(part);
        while let Ok(Some(event)) = decoder.next_event() {
            events.push((event.bytes, event.id));
        }
    }
    (events, decoder.buffered_bytes())
}

/// Guards against events that depend on how the network has split them.
#[test]
fn events_any_split_gives_the_same_events() {
    let line = prop_oneof![
        Just("\n".to_owned()),
        Just("\r\n".to_owned()),
        "id: [0-9]{0,21}\r?\n",
        "data:[a-z \r]{0,8}\n",
        "[^\n]{0,6}\n?",
    ];
    let stream = prop::collection::vec(line, 0..24);
    let places = prop::collection::vec(any::<usize>(), 0..8);
    let checked = runner(2_000).run(&(stream, places), |(lines, places)| {
        let bytes = lines.concat().into_bytes();
        let whole = events([&bytes[..]]);
        prop_assert_eq!(&events(split(&bytes, &places)), &whole);
        prop_assert_eq!(&events(bytes.chunks(1)), &whole);
        Ok(())
    });
    checked.unwrap();
}

/// Starts a listener that answers with the length of each body.
fn bind(runtime: &Runtime, memory: &Memory) -> Server {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let memory = memory.clone();
    let timeout = Duration::from_secs(5);
    let serve = move |request: hyper::Request<hyper::body::Incoming>| {
        let memory = memory.clone();
        async move {
            let (parts, body) = request.into_parts();
            let connection = parts.extensions.get();
            let read = read_body(body, BODY_MAX_BYTES, timeout, &memory, connection);
            let (status, text) = match read.await {
                Ok(bytes) => (StatusCode::OK, bytes.len().to_string()),
                Err(ReadError::TooLarge) => (StatusCode::PAYLOAD_TOO_LARGE, String::new()),
                Err(_) => (StatusCode::BAD_REQUEST, String::new()),
            };
            let mut response = Response::new(full_body(Bytes::from(text)));
            *response.status_mut() = status;
            response
        }
    };
    Server::bind(runtime, address, ServerLimits::default(), serve).unwrap()
}

/// Status and body of the first response to bytes that arrive in these parts.
fn verdict(address: SocketAddr, parts: &[&[u8]]) -> (String, String) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    for part in parts {
        // A refusal may come before the last part.
        if stream.write_all(part).is_err() {
            break;
        }
        std::thread::park_timeout(Duration::from_micros(300));
    }
    let _ = stream.shutdown(std::net::Shutdown::Write);
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received);
    let text = String::from_utf8_lossy(&received).into_owned();
    let status = text.get(9..12).unwrap_or_default().to_owned();
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    // Refusals have an id of their own in their bodies.
    let body = if status == "200" { body } else { "" };
    (status, body.to_owned())
}

/// Guards against a head or a chunked body that is read differently when it arrives in other parts,
/// and against memory that a refused one keeps.
#[test]
fn requests_any_split_gives_the_same_verdict() {
    let runtime = Runtime::start(1);
    let memory = Memory::new(MEMORY_BYTES, Arc::new(HostClock::open()));
    let server = bind(&runtime, &memory);
    let header = prop_oneof![
        4 => "X-[A-Za-z]{1,8}: [ -~]{0,20}\r\n",
        1 => "Content-Length: [0-9]{0,4}\r\n",
        1 => "[!-~]{0,6}[: ]{0,2}[ -~]{0,6}\r?\n",
    ];
    let chunk = prop_oneof![
        6 => "[a-z]{1,60}".prop_map(|data| format!("{:x}\r\n{data}\r\n", data.len())),
        1 => "[a-z]{1,20}".prop_map(|data| format!("{:x};a=b\r\n{data}\r\n", data.len())),
        1 => "[0-9a-fg]{0,18}\r?\n[a-z]{0,9}\r\n",
    ];
    let parts = (
        prop::collection::vec(header, 0..3),
        prop::collection::vec(chunk, 0..8),
        prop_oneof![4 => Just("0\r\n\r\n"), 1 => Just(""), 1 => Just("0\r\nA: b\r\n\r\n")],
        prop::collection::vec(any::<usize>(), 0..5),
    );
    let checked = runner(150).run(&parts, |(headers, chunks, end, places)| {
        let text = format!(
            "POST / HTTP/1.1\r\nHost: x\r\n{}Transfer-Encoding: chunked\r\n\r\n{}{end}",
            headers.concat(),
            chunks.concat(),
        );
        let whole = verdict(server.address(), &[text.as_bytes()]);
        let in_parts = verdict(server.address(), &split(text.as_bytes(), &places));
        prop_assert_eq!(in_parts, whole);
        let held_bytes = memory.used_bytes(Purpose::Request);
        prop_assert!(held_bytes <= MEMORY_BYTES / 16, "{} bytes", held_bytes);
        Ok(())
    });
    checked.unwrap();
    server.stop();
    // The last connection may still be closing.
    for _ in 0..500 {
        if memory.used_bytes(Purpose::Request) == 0 {
            return;
        }
        std::thread::park_timeout(Duration::from_millis(10));
    }
    panic!("{} bytes stay held", memory.used_bytes(Purpose::Request));
}
