//! Engines that respond to a long chat while it is still being uploaded, and then reset their
//! connection: what is passed on is never taken for a complete response by mistake.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use common::{Env, PAYING_KEY, RouterProcess, WAIT_TIMEOUT, get, wait_until};
use jujubeusher::http::socket::set_reset_on_close;

/// Longer than what the sockets and the router's connections buffer.
const UPLOAD_BYTES: usize = 3_000_000;
const WHOLE: &str = "{\"choices\":[{\"message\":{\"role\":\"assistant\",\"content\":\"whole\"}}]}";
const STREAM: &str =
    "id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\nid: 2\ndata: [DONE]\n\n";

/// Chats that engines have received.
static CHATS: AtomicUsize = AtomicUsize::new(0);

/// When an engine resets its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Moment {
    BeforeHead,
    WithinBody,
    AfterBody,
}

/// A response of an engine that has read the head of a request and not its body.
#[derive(Debug, Clone, Copy)]
struct EarlyResponse {
    moment: Moment,
    /// `length`, `chunks`, or `close` for a body that ends with its connection.
    framing: &'static str,
    is_stream: bool,
    /// Whether the connection is closed in order before it is reset.
    closes_first: bool,
}

impl EarlyResponse {
    fn bytes(self, attempt: &str) -> String {
        let body = if self.is_stream { STREAM } else { WHOLE };
        let sent = match self.moment {
            Moment::BeforeHead => return String::new(),
            Moment::WithinBody => &body[..body.len() - 12],
            Moment::AfterBody => body,
        };
        let kind = match self.is_stream {
            true => "text/event-stream",
            false => "application/json",
        };
        let end = match self.moment {
            Moment::AfterBody => "0\r\n\r\n",
            Moment::BeforeHead | Moment::WithinBody => "",
        };
        let (framing, sent) = match self.framing {
            "length" => (format!("content-length: {}", body.len()), sent.to_owned()),
            "chunks" => (
                "transfer-encoding: chunked".to_owned(),
                format!("{:x}\r\n{sent}\r\n{end}", sent.len()),
            ),
            _ => ("connection: close".to_owned(), sent.to_owned()),
        };
        format!(
            "HTTP/1.1 200 OK\r\nx-attempt-id: {attempt}\r\ncontent-type: {kind}\r\n{framing}\r\n\r\n{sent}"
        )
    }

    /// Starts an engine that responds so to each chat.
    fn bind(self) -> SocketAddr {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                std::thread::spawn(move || self.serve(stream));
            }
        });
        address
    }

    fn serve(self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut reader = BufReader::with_capacity(256, stream.try_clone()?);
        let (mut attempt, mut line) = (String::new(), String::new());
        let mut is_chat = false;
        while reader.read_line(&mut line)? > 2 {
            is_chat |= line.starts_with("POST /v1/chat/completions");
            if let Some(value) = line.to_ascii_lowercase().strip_prefix("x-attempt-id:") {
                attempt = value.trim().to_owned();
            }
            line.clear();
        }
        if !is_chat {
            return stream.write_all(
                b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\nconnection: close\r\n\r\n",
            );
        }
        CHATS.fetch_add(1, Ordering::Relaxed);
        stream.write_all(self.bytes(&attempt).as_bytes())?;
        if self.closes_first {
            stream.shutdown(std::net::Shutdown::Write)?;
        }
        std::thread::park_timeout(Duration::from_millis(50));
        set_reset_on_close(&stream, true);
        Ok(())
    }
}

/// Sends a long chat with a length or in chunks, and returns all bytes of the response.
fn send(router: &RouterProcess, is_stream: bool, is_chunked: bool, is_slow: bool) -> String {
    let body = serde_json::json!({
        "model": "m", "stream": is_stream,
        "messages": [{"role": "user", "content": "x".repeat(UPLOAD_BYTES)}],
    })
    .to_string();
    let (framing, body) = match is_chunked {
        true => (
            "transfer-encoding: chunked".to_owned(),
            format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len()),
        ),
        false => (format!("content-length: {}", body.len()), body),
    };
    let mut stream = TcpStream::connect(router.address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         authorization: Bearer {PAYING_KEY}\r\nx-chat-id: c\r\n{framing}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).unwrap();
    let (mut received, mut part) = (Vec::new(), [0; 64]);
    while let Ok(length @ 1..) = stream.read(&mut part) {
        received.extend_from_slice(&part[..length]);
        if is_slow {
            std::thread::park_timeout(Duration::from_millis(2));
        }
    }
    String::from_utf8_lossy(&received).into_owned()
}

/// Guards against a partial response that is passed on as a complete one.
#[test]
fn reset_during_an_upload_leaves_no_complete_response() {
    for moment in [Moment::BeforeHead, Moment::WithinBody, Moment::AfterBody] {
        for framing in ["length", "chunks", "close"] {
            for (is_stream, closes_first) in
                [(false, false), (false, true), (true, false), (true, true)]
            {
                let early = EarlyResponse {
                    moment,
                    framing,
                    is_stream,
                    closes_first,
                };
                check(early);
            }
        }
    }
}

fn check(early: EarlyResponse) {
    let env = Env::open(0);
    let inventory = format!(
        "{}[server e0]\nmodel = m\naddress = {}\nzone = z1\nslots = 8\n",
        env.inventory(),
        early.bind()
    );
    assert!(env.apply(&inventory).status.success());
    let timeouts = "[timeouts]\nfirst_event_ms = 500\nnext_event_ms = 300\n";
    let router = RouterProcess::spawn(&env.settings("r1", timeouts));
    wait_until("the router applies the inventory", || {
        !get(router.admin, "/dump").body.contains("\"version\":0")
    });
    for (is_chunked, is_slow) in [(false, false), (true, false), (false, true)] {
        let before = CHATS.load(Ordering::Relaxed);
        let text = send(&router, early.is_stream, is_chunked, is_slow);
        let case = format!("{early:?}, chunked upload {is_chunked}, slow reader {is_slow}: {text}");
        assert!(!text.is_empty(), "{case}");
        let chats = CHATS.load(Ordering::Relaxed) - before;
        assert!(chats > 0, "the engine was not asked: {case}");
        let is_whole = early.moment == Moment::AfterBody;
        if text.starts_with("HTTP/1.1 200") && !early.is_stream {
            assert!(is_whole && early.framing != "close", "{case}");
            assert!(text.ends_with(WHOLE), "{case}");
        }
        assert!(is_whole || !text.contains("[DONE]"), "{case}");
    }
}
