//! Hostile input on the callers' port of a real router: each request gets an error response or a
//! closed connection, memory stays bounded, and other callers are served meanwhile.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use common::{
    Env, PAYING_KEY, Response, RouterProcess, WAIT_TIMEOUT, any_port, chat, exchange, get,
    wait_until,
};
use jujubeusher::runtime::raise_open_file_limit;
use jujubeusher_standins::engine::{Engine, EngineOptions};

/// Starts a router with one engine and these limits. The engine's server has 1000 slots, so that
/// admission by load, which other tests cover, refuses nothing.
fn open_with(env: &Env, limits: &str) -> RouterProcess {
    let settings = env.settings("r1", &format!("[limits]\n{limits}"));
    let router = RouterProcess::spawn(&settings);
    let applied = env.apply(&env.inventory().replace("slots = 8", "slots = 1000"));
    assert!(applied.status.success(), "{applied:?}");
    wait_until("the router applies version 1", || {
        get(router.admin, "/dump").body.contains("\"version\":1")
    });
    router
}

fn assert_served(router: &RouterProcess) {
    let response = chat(router.address, PAYING_KEY, "other");
    assert_eq!(response.status, 200, "{response:?}");
    assert!(response.body.contains("data: [DONE]"), "{response:?}");
}

fn assert_refused(response: &Response, status: u16, code: &str) {
    assert_eq!(response.status, status, "{code}: {response:?}");
    let start = response.body.find('{').unwrap_or(0);
    let error: serde_json::Value = serde_json::from_str(&response.body[start..])
        .unwrap_or_else(|e| panic!("{e}: {response:?}"));
    let error = &error["error"];
    assert_eq!(error["code"], code, "{response:?}");
    assert_eq!(error["run_state"], "not_run", "{response:?}");
    assert_eq!(response.header("x-run-state"), Some("not_run"));
    let id = error["request_id"].as_str();
    assert_eq!(response.header("x-request-id"), id, "{response:?}");
    assert!(!error["remedy"].as_str().unwrap_or_default().is_empty());
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the listener is up");
    stream
        .set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("a timeout can be set");
    stream
}

/// Opens a connection and sends only the start of a request.
fn begin(address: SocketAddr, start: &str) -> TcpStream {
    let mut stream = connect(address);
    stream
        .write_all(start.as_bytes())
        .expect("the bytes are accepted");
    stream
}

/// Reads until the router closes the connection; panics after [`WAIT_TIMEOUT`].
fn read_rest(stream: &mut TcpStream) -> Response {
    let mut bytes = Vec::new();
    if let Err(error) = stream.read_to_end(&mut bytes) {
        let is_reset = error.kind() == std::io::ErrorKind::ConnectionReset;
        assert!(is_reset, "the router keeps the connection open: {error}");
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (headers, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = headers.split_whitespace().nth(1);
    Response {
        status: status.and_then(|code| code.parse().ok()).unwrap_or(0),
        headers: headers.to_owned(),
        body: body.to_owned(),
    }
}

fn head(extra: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n\
         authorization: Bearer {PAYING_KEY}\r\n{extra}\r\n"
    )
}

/// Resident memory of the router process in KiB.
fn resident_kib(router: &RouterProcess) -> u64 {
    let path = format!("/proc/{}/status", router.child.id());
    let status = std::fs::read_to_string(path).expect("the router runs");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number
        .expect("the status has VmRSS")
        .parse()
        .expect("a number")
}

/// Guards against malformed requests that hyper rejects with an empty response instead of the
/// router's error JSON, and against guessing the length of a body with conflicting lengths.
#[test]
fn malformed_heads_are_refused_with_error_json() {
    let env = Env::open(1);
    let router = open_with(&env, "header_bytes = 8192\nheaders_max = 32\n");
    let many: String = (0..40).map(|index| format!("x-{index}: 1\r\n")).collect();
    let cases = [
        (
            head(&format!("x: {}\r\n", "y".repeat(9_000))),
            431,
            "headers_too_large",
        ),
        (head(&many), 431, "headers_too_large"),
        (
            format!("GET /{} HTTP/1.1\r\nhost: x\r\n\r\n", "y".repeat(70_000)),
            431,
            "headers_too_large",
        ),
        ("nonsense\r\n\r\n".to_owned(), 400, "bad_request"),
        (
            "GET / HTTP/9.9\r\nhost: x\r\n\r\n".to_owned(),
            400,
            "bad_request",
        ),
        (head("bad header\r\n"), 400, "bad_request"),
        (
            head("content-length: 3\r\ncontent-length: 4\r\n"),
            400,
            "bad_request",
        ),
        (head("content-length: 3, 4\r\n"), 400, "bad_request"),
        (head("content-length: -1\r\n"), 400, "bad_request"),
        (head("transfer-encoding: gzip\r\n"), 400, "bad_request"),
    ];
    for (request, status, code) in cases {
        let mut stream = connect(router.address);
        // The router may respond and close the connection before it has read everything.
        let _ = stream.write_all(request.as_bytes());
        assert_refused(&read_rest(&mut stream), status, code);
    }
    assert_served(&router);
    assert_eq!(env.engines[0].chats().len(), 1, "only the good request ran");
}

/// Guards against bodies that are read without a limit or forwarded although they are malformed.
#[test]
fn bad_bodies_are_refused_before_dispatch() {
    let env = Env::open(1);
    let router = open_with(&env, "body_bytes = 4096\n");
    let chunk = format!("1000\r\n{}\r\n", "x".repeat(4096));
    let chunked = "transfer-encoding: chunked\r\n";
    let cases = [
        (
            head("content-length: 10000000\r\n") + &"x".repeat(100_000),
            413,
            "body_too_large",
        ),
        (head(chunked) + &chunk + &chunk, 413, "body_too_large"),
        (head(chunked) + "zz\r\nabc\r\n0\r\n\r\n", 400, "body_broken"),
        (head(chunked) + "ffffffffffffffffff\r\n", 400, "body_broken"),
        (
            head(chunked) + "3\r\nabcdef\r\n0\r\n\r\n",
            400,
            "body_broken",
        ),
        (
            head("connection: close\r\ncontent-length: 5\r\n") + "x{[]}",
            400,
            "bad_body",
        ),
    ];
    for (request, status, code) in cases {
        let mut stream = connect(router.address);
        let _ = stream.write_all(request.as_bytes());
        assert_refused(&read_rest(&mut stream), status, code);
    }
    assert_served(&router);
    assert_eq!(env.engines[0].chats().len(), 1, "only the good request ran");
}

/// Guards against request smuggling: after a request with both `content-length` and
/// `transfer-encoding`, nothing after the body may be parsed as another request.
#[test]
fn both_lengths_close_the_connection() {
    let env = Env::open(1);
    let router = open_with(&env, "");
    let hidden = "GET /v1/models HTTP/1.1\r\nhost: x\r\n\r\n";
    let request =
        head("content-length: 4\r\ntransfer-encoding: chunked\r\n") + "0\r\n\r\n" + hidden;
    let mut stream = begin(router.address, &request);
    let response = read_rest(&mut stream);
    assert_eq!(response.status, 400, "{response:?}");
    assert_eq!(response.header("connection"), Some("close"), "{response:?}");
    assert!(!response.body.contains("HTTP/1.1"), "{response:?}");
    assert_served(&router);
}

/// Guards against callers that occupy connections by sending slowly or nothing.
#[test]
fn slow_senders_are_refused_and_closed() {
    let env = Env::open(1);
    let router = open_with(
        &env,
        "idle_timeout_ms = 600\nheader_timeout_ms = 300\nbody_timeout_ms = 300\n",
    );
    let mut idle = connect(router.address);
    let mut slow_head = begin(router.address, "POST /v1/chat/completions HTTP/1.1\r\nho");
    let mut slow_body = begin(router.address, &(head("content-length: 100\r\n") + "{"));
    assert_served(&router);
    assert_refused(&read_rest(&mut slow_head), 408, "header_timeout");
    assert_refused(&read_rest(&mut slow_body), 408, "body_timeout");
    let closed = read_rest(&mut idle);
    assert_eq!(
        closed.headers, "",
        "an idle connection is closed without a response"
    );

    // Sending single bytes must not extend the timeout.
    let mut trickle = begin(router.address, "POST /v1");
    for _ in 0..200 {
        if trickle.write_all(b"x").is_err() {
            break;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    let mut rest = Vec::new();
    let _ = trickle.read_to_end(&mut rest);
    assert!(trickle.write_all(b"x").is_err() || !rest.is_empty());
    assert_served(&router);
}

/// Guards against a caller that never reads its response and thereby occupies an engine's slot.
#[test]
fn slow_reader_is_closed() {
    let mut env = Env::open(0);
    let mut options = EngineOptions::named("e0");
    options.tokens = 400_000;
    options.first_token_delay = Duration::ZERO;
    options.token_interval = Duration::ZERO;
    env.engines
        .push(Engine::bind(any_port(), options).expect("an engine binds"));
    let router = open_with(&env, "idle_timeout_ms = 300\n");
    let body = r#"{"model":"m","stream":true,"messages":[]}"#;
    let request = head(&format!("content-length: {}\r\n", body.len())) + body;
    let stream = begin(router.address, &request);
    let in_flight = |count: &str| {
        let dump = get(router.admin, "/dump").body;
        dump.contains(&format!("\"requests_in_flight\":{count},"))
    };
    wait_until("the request runs", || in_flight("1"));
    wait_until("the request is abandoned", || in_flight("0"));
    drop(stream);
}

/// Guards against requests that stay counted as in flight after their callers disconnected.
#[test]
fn early_disconnects_leave_no_request_in_flight() {
    let env = Env::open(1);
    let router = open_with(&env, "");
    let starts = [
        "POST /v1/chat".to_owned(),
        head("content-length: 100\r\n") + "{\"mod",
        head("transfer-encoding: chunked\r\n") + "5\r\nab",
        head("content-length: 70\r\n")
            + r#"{"model":"m","stream":true,"messages":[{"role":"user","content":"a"}]}"#,
    ];
    for index in 0..200 {
        drop(begin(router.address, &starts[index % starts.len()]));
    }
    assert_served(&router);
    wait_until("no request is in flight", || {
        let dump = get(router.admin, "/dump").body;
        dump.contains("\"requests_in_flight\":0,")
    });
}

/// Guards against lost or reordered responses when a caller sends requests without waiting for the
/// responses.
#[test]
fn pipelined_requests_are_answered_in_order() {
    let env = Env::open(1);
    let router = open_with(&env, "");
    let wrong = "GET /nowhere HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ";
    let body = r#"{"model":"m","messages":[]}"#;
    let good = head(&format!("content-length: {}\r\n", body.len())) + body;
    let request =
        format!("{wrong}{PAYING_KEY}\r\n\r\n{good}{wrong}none\r\n\r\n{good}nonsense\r\n\r\n");
    let text = exchange(router.address, request.as_bytes());
    let text = format!("{}\r\n\r\n{}", text.headers, text.body);
    let statuses: Vec<&str> = text
        .match_indices("HTTP/1.1 ")
        .map(|(index, _)| &text[index + 9..index + 12])
        .collect();
    assert_eq!(statuses, ["404", "200", "401", "200", "400"], "{text}");
    assert!(
        text.ends_with('}') && text.contains("bad_request"),
        "{text}"
    );
    assert_served(&router);
}

/// Opens a connection and sends a request on it; returns the connection if the router responded to
/// the request, none if it refused the connection.
fn open_accepted(address: SocketAddr) -> Option<TcpStream> {
    let mut stream = begin(address, "GET /nowhere HTTP/1.1\r\nhost: x\r\n\r\n");
    let mut bytes = [0; 4096];
    let length = stream.read(&mut bytes).unwrap_or(0);
    let has_response = bytes[..length].starts_with(b"HTTP/1.1 401");
    has_response.then_some(stream)
}

/// Number of idle connections.
const IDLE: usize = 2_000;
/// Number of connections that the router accepts beyond those.
const SPARE: usize = 10;
/// Largest growth of resident memory by the idle connections: 16 KiB for each, doubled as a margin.
const IDLE_GROWTH_KIB: u64 = IDLE as u64 * 32;

/// Guards against idle connections, and connections above the limit, that use too much memory or
/// prevent open connections from being served.
#[test]
fn idle_connections_and_flood_are_bounded() {
    raise_open_file_limit();
    let env = Env::open(1);
    let router = open_with(&env, &format!("connections_max = {}\n", IDLE + SPARE));
    assert_served(&router);
    let before_kib = resident_kib(&router);
    let mut idle: Vec<TcpStream> = (0..IDLE).map(|_| connect(router.address)).collect();
    assert_served(&router);
    let grown_kib = resident_kib(&router).saturating_sub(before_kib);
    assert!(grown_kib < IDLE_GROWTH_KIB, "{grown_kib} KiB");

    let mut kept: Vec<TcpStream> = Vec::new();
    wait_until("the router accepts the spare connections", || {
        kept.extend(open_accepted(router.address));
        kept.len() == SPARE
    });
    let mut flood: Vec<TcpStream> = (0..300).map(|_| connect(router.address)).collect();
    for stream in &mut flood {
        assert_refused(&read_rest(stream), 503, "too_many_connections");
    }
    let body = r#"{"model":"m","messages":[]}"#;
    let request = head(&format!(
        "connection: close\r\ncontent-length: {}\r\n",
        body.len()
    )) + body;
    kept[0]
        .write_all(request.as_bytes())
        .expect("the connection is open");
    let response = read_rest(&mut kept[0]);
    assert_eq!(
        response.status, 200,
        "an open connection is served: {response:?}"
    );
    idle.clear();
    wait_until("the router accepts new connections", || {
        chat(router.address, PAYING_KEY, "other").status == 200
    });
}

/// Largest growth of resident memory by partially sent bodies: twice the limit, as buffers grow by
/// doubling, and 32 MiB for everything else.
const BODIES_GROWTH_KIB: u64 = 2 * 16 * 1024 + 32 * 1024;

/// Guards against partially sent bodies that together exhaust the memory.
#[test]
fn partial_bodies_are_bounded_in_total() {
    let env = Env::open(1);
    let router = open_with(
        &env,
        "body_bytes = 4194304\nbody_total_bytes = 16777216\nbody_timeout_ms = 2000\n",
    );
    assert_served(&router);
    let before_kib = resident_kib(&router);
    let part = "x".repeat(3 * 1024 * 1024);
    let start = head("content-length: 4000000\r\n") + &part;
    let mut senders = Vec::new();
    for _ in 0..30 {
        let mut stream = connect(router.address);
        // The router refuses some before the client has sent everything.
        let _ = stream.write_all(start.as_bytes());
        senders.push(stream);
    }
    let grown_kib = resident_kib(&router).saturating_sub(before_kib);
    assert!(grown_kib < BODIES_GROWTH_KIB, "{grown_kib} KiB");
    let responses: Vec<Response> = senders.iter_mut().map(read_rest).collect();
    let (buffered, refused): (Vec<_>, Vec<_>) = responses
        .iter()
        .partition(|response| response.status == 408);
    // A team may use half of the total, which is two of these bodies.
    assert!(
        (1..=2).contains(&buffered.len()),
        "{} bodies were buffered",
        buffered.len()
    );
    for response in refused {
        assert_refused(response, 429, "bodies_full");
    }
    senders.clear();
    wait_until("the memory reserved for bodies is released", || {
        chat(router.address, PAYING_KEY, "other").status == 200
    });
}
