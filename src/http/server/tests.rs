use std::io::{Read, Write};
use std::net::{Ipv4Addr, TcpStream as StdStream};

use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use super::*;
use crate::http::{BodyError, full_body};

const REQUEST: &str = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";

/// Starts a listener whose handler responds after 20 ms, and panics for the path `/panic`.
fn bind() -> (Runtime, Server) {
    let runtime = Runtime::start(1);
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let handle = |request: Request<Incoming>| async move {
        assert_ne!(request.uri().path(), "/panic");
        let _ = request.into_body().collect().await;
        smol::Timer::after(Duration::from_millis(20)).await;
        Response::new(full_body(Bytes::from_static(b"done")))
    };
    let server = Server::bind(&runtime, address, ServerLimits::default(), handle).unwrap();
    (runtime, server)
}

fn connect(server: &Server) -> StdStream {
    let stream = StdStream::connect(server.address()).unwrap();
    let timeout = Some(Duration::from_secs(5));
    stream.set_read_timeout(timeout).unwrap();
    stream
}

/// Reads until the connection ends or a whole response has arrived.
fn read_response(stream: &mut StdStream) -> String {
    let mut received = Vec::new();
    let mut block = [0; 1_024];
    while !received.ends_with(b"done") {
        match stream.read(&mut block) {
            Ok(0) | Err(_) => break,
            Ok(length) => received.extend_from_slice(&block[..length]),
        }
    }
    String::from_utf8(received).unwrap()
}

fn wait_until(mut condition: impl FnMut() -> bool) {
    let start = std::time::Instant::now();
    while !condition() {
        assert!(start.elapsed() < Duration::from_secs(5), "timed out");
        std::thread::park_timeout(Duration::from_millis(2));
    }
}

/// Guards against requests on connections just accepted that a planned stop cuts off: hyper closes
/// a connection at once whose first request it has not read.
#[test]
fn stop_requests_on_new_connections_are_answered() {
    let (_runtime, server) = bind();
    let mut with_part: Vec<StdStream> = (0..20).map(|_| connect(&server)).collect();
    let (first_part, rest) = REQUEST.split_at(9);
    for stream in &mut with_part {
        stream.write_all(first_part.as_bytes()).unwrap();
    }
    let mut without_bytes: Vec<StdStream> = (0..20).map(|_| connect(&server)).collect();
    wait_until(|| server.open_connections() == 40);
    server.stop();
    std::thread::park_timeout(Duration::from_millis(30));
    for stream in &mut without_bytes {
        stream.write_all(REQUEST.as_bytes()).unwrap();
    }
    for stream in &mut with_part {
        stream.write_all(rest.as_bytes()).unwrap();
    }
    for stream in without_bytes.iter_mut().chain(&mut with_part) {
        let response = read_response(stream);
        assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
        assert!(response.contains("connection: close"), "{response:?}");
    }
    wait_until(|| server.open_connections() == 0);
}

/// Guards against a request on a kept connection that arrives at the moment of a stop: it is
/// answered, or the connection ends without an answer and without having been read.
#[test]
fn stop_requests_on_kept_connections_are_answered() {
    let (_runtime, server) = bind();
    let mut streams: Vec<StdStream> = (0..20).map(|_| connect(&server)).collect();
    for stream in &mut streams {
        stream.write_all(REQUEST.as_bytes()).unwrap();
        assert!(read_response(stream).ends_with("done"));
        stream.write_all(REQUEST.as_bytes()).unwrap();
    }
    server.stop();
    for stream in &mut streams {
        let response = read_response(stream);
        assert!(response.ends_with("done"), "{response:?}");
    }
}

/// Idle connections must not delay a stop.
#[test]
fn stop_idle_connections_are_closed() {
    let (_runtime, server) = bind();
    let mut kept = connect(&server);
    kept.write_all(REQUEST.as_bytes()).unwrap();
    assert!(read_response(&mut kept).ends_with("done"));
    let _silent = connect(&server);
    wait_until(|| server.open_connections() == 2);
    server.stop();
    assert_eq!(read_response(&mut kept), "");
    drop(kept);
    wait_until(|| server.open_connections() <= 1);
}

/// Guards against one request whose handling panics and takes the process down.
#[test]
fn handler_that_panics_ends_only_its_connection() {
    let (_runtime, server) = bind();
    let mut failing = connect(&server);
    failing
        .write_all(REQUEST.replace("/a", "/panic").as_bytes())
        .unwrap();
    assert_eq!(read_response(&mut failing), "");
    wait_until(|| server.open_connections() == 0);
    let mut stream = connect(&server);
    stream.write_all(REQUEST.as_bytes()).unwrap();
    assert!(read_response(&mut stream).ends_with("done"));
}

/// Guards against a body that ends with its connection and looks complete although it was broken,
/// and against one that looks broken although it is complete.
#[test]
fn serve_body_that_ends_with_the_connection_is_reset_if_broken() {
    let runtime = Runtime::start(1);
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let handle = |request: Request<Incoming>| async move {
        let mut frames = vec![Ok(Frame::data(Bytes::from_static(b"part")))];
        match request.uri().path() {
            "/broken" => frames.push(Err(BodyError::Incomplete("broken"))),
            "/panic" => frames.push(Err(BodyError::Incomplete("panics"))),
            _ => {}
        }
        let frames = frames.into_iter().inspect(|frame| {
            let panics = matches!(frame, Err(BodyError::Incomplete("panics")));
            assert!(!panics, "a fault of the program");
        });
        Response::new(StreamBody::new(futures_util::stream::iter(frames)).boxed_unsync())
    };
    let server = Server::bind(&runtime, address, ServerLimits::default(), handle).unwrap();
    for (path, is_complete) in [("/whole", true), ("/broken", false), ("/panic", false)] {
        let mut stream = connect(&server);
        write!(stream, "GET {path} HTTP/1.0\r\nHost: x\r\n\r\n").unwrap();
        let mut received = Vec::new();
        let end = stream.read_to_end(&mut received);
        assert_eq!(end.is_ok(), is_complete, "{path}: {end:?}");
        if is_complete {
            assert!(received.ends_with(b"part"), "{received:?}");
        }
    }
}
