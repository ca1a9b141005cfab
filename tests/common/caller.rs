//! Client for chat completions that checks the received stream event by event.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

use jujubeusher_standins::engine::{Engine, EngineOptions};

use super::{Env, PAYING_KEY, RouterProcess, WAIT_TIMEOUT, any_port, get, wait_until};

/// Builds the body of a streaming chat completion request with `content` as user message.
pub fn stream_body(content: &str) -> String {
    serde_json::json!({
        "model": "m", "stream": true, "messages": [{"role": "user", "content": content}],
    })
    .to_string()
}

/// Sends a chat completion with `headers` (each line ending in CRLF) and leaves the
/// response unread.
pub fn send_chat(address: SocketAddr, chat: &str, headers: &str, body: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("the router listens");
    stream
        .set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("a timeout can be set");
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         authorization: Bearer {PAYING_KEY}\r\nx-chat-id: {chat}\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream
        .write_all(request.as_bytes())
        .expect("the request is accepted");
    stream
}

/// A response as the caller received it.
#[derive(Debug, Default)]
pub struct Received {
    pub status: u16,
    pub head: String,
    pub body: String,
    /// Whether the body arrived in full according to its framing.
    pub is_body_complete: bool,
    /// Event ids in the order received.
    pub event_ids: Vec<u64>,
    /// Token texts in the order received, each `ENGINE-NUMBER`.
    pub tokens: Vec<String>,
    /// Distinct chat ids that the engines reported in their events.
    pub chats: Vec<String>,
    /// Number of terminal events.
    pub done_events: usize,
    /// Data of the error events.
    pub errors: Vec<String>,
}

impl Received {
    /// Returns a header's value; header names are compared without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then_some(value.trim())
        })
    }

    /// Sequence numbers that the engines gave the received tokens.
    pub fn numbers(&self) -> Vec<u64> {
        let number = |token: &String| token.rsplit('-').next()?.parse().ok();
        self.tokens.iter().filter_map(number).collect()
    }

    /// Whether each of `tokens` tokens arrived exactly once and in order, followed by exactly one
    /// terminal event.
    pub fn is_complete(&self, tokens: u64) -> bool {
        self.is_body_complete
            && self.errors.is_empty()
            && self.done_events == 1
            && self.numbers() == (1..=tokens).collect::<Vec<_>>()
            && self.event_ids == (1..=tokens + 1).collect::<Vec<_>>()
    }

    /// Whether the response ended early and the caller can tell: events in order, one error event,
    /// no terminal event and an unfinished body.
    pub fn is_reported_failure(&self) -> bool {
        let count = self.tokens.len() as u64;
        !self.is_body_complete
            && self.errors.len() == 1
            && self.done_events == 0
            && self.numbers() == (1..=count).collect::<Vec<_>>()
            && self.event_ids == (1..=count).collect::<Vec<_>>()
    }
}

/// Reads a response until the connection ends and parses it.
pub fn read_response(mut stream: TcpStream) -> Received {
    let mut bytes = Vec::new();
    // The response may end with a reset connection; the framing shows whether it is complete.
    let _ = stream.read_to_end(&mut bytes);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, raw) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let mut received = Received {
        status: head
            .split_whitespace()
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0),
        head: head.to_owned(),
        ..Received::default()
    };
    if received.header("transfer-encoding") == Some("chunked") {
        (received.body, received.is_body_complete) = unchunk(raw);
    } else {
        let length = received
            .header("content-length")
            .and_then(|v| v.parse().ok());
        received.is_body_complete = length == Some(raw.len());
        received.body = raw.to_owned();
    }
    let body = received.body.clone();
    for block in body.split("\n\n") {
        parse_event(&mut received, block);
    }
    received
}

fn unchunk(mut raw: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, rest)) = raw.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size, 16) else {
            break;
        };
        if size == 0 {
            return (body, true);
        }
        let Some(part) = rest.get(..size) else {
            break;
        };
        body.push_str(part);
        raw = rest.get(size + 2..).unwrap_or_default();
    }
    (body, false)
}

fn parse_event(received: &mut Received, block: &str) {
    let field = |name: &str| {
        let line = block.lines().find(|line| line.starts_with(name))?;
        Some(line[name.len()..].trim().to_owned())
    };
    let Some(data) = field("data:") else {
        return;
    };
    if field("event:").as_deref() == Some("error") {
        received.errors.push(data);
        return;
    }
    if let Some(id) = field("id:").and_then(|id| id.parse().ok()) {
        received.event_ids.push(id);
    }
    if data == "[DONE]" {
        received.done_events += 1;
        return;
    }
    let value: serde_json::Value = serde_json::from_str(&data).unwrap_or_default();
    let chat = value["chat"].as_str().unwrap_or_default().to_owned();
    if !received.chats.contains(&chat) {
        received.chats.push(chat);
    }
    if let Some(token) = value["choices"][0]["delta"]["content"].as_str() {
        received.tokens.push(token.trim().to_owned());
    }
}

/// Starts an environment with engines named e0, e1, …; `options` adjusts the options of each.
pub fn open_env<F>(engines: usize, options: F) -> Env
where
    F: Fn(EngineOptions) -> EngineOptions,
{
    let mut env = Env::open(0);
    for index in 0..engines {
        let options = options(EngineOptions::named(&format!("e{index}")));
        let engine = Engine::bind(any_port(), options).expect("an engine binds");
        env.engines.push(engine);
    }
    env
}

/// Applies an inventory, starts router `name` and waits until the inventory is in force there.
///
/// Servers get 256 slots instead of 8 so that admission refuses nothing: these tests are not
/// about load, and on a busy machine more streams overlap.
pub fn start_router(env: &Env, name: &str, inventory: &str, extra: &str) -> RouterProcess {
    let applied = env.apply(&inventory.replace("slots = 8", "slots = 256"));
    assert!(applied.status.success(), "{applied:?}");
    let router = RouterProcess::spawn(&env.settings(name, extra));
    wait_until("the router applies the inventory", || {
        !get(router.admin, "/dump").body.contains("\"version\":0")
    });
    router
}

/// Sends a request of a chat and returns the index of the engine that served it.
pub fn home_engine(router: &RouterProcess, chat: &str) -> usize {
    let response = stream_chat(router.address, chat);
    let name = response
        .header("x-backend-server")
        .expect("a server's name");
    name[1..].parse().expect("a server's number")
}

/// Value of a metric, summed over its labels.
pub fn metric(router: &RouterProcess, name: &str) -> f64 {
    let text = get(router.admin, "/metrics").body;
    let lines = text.lines().filter(|line| line.starts_with(name));
    lines
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

/// Sends a streaming request of a chat and reads the response to its end.
pub fn stream_chat(address: SocketAddr, chat: &str) -> Received {
    read_response(send_chat(address, chat, "", &stream_body(chat)))
}

/// Reads up to and including the line with this event id; the rest stays unread.
pub fn read_to_event(stream: &TcpStream, id: u64) -> String {
    let mut reader = BufReader::with_capacity(1, stream.try_clone().expect("a second handle"));
    let id_line = format!("id: {id}\n");
    let mut text = String::new();
    while !text.ends_with(&id_line) {
        let count = reader.read_line(&mut text).expect("the response continues");
        assert!(count > 0, "the response ended before event {id}: {text}");
    }
    text
}

/// Reads the rest of a response of which [`read_to_event`] returned the first part, and returns
/// whether both together are complete.
pub fn is_complete_in_parts(first: &str, rest: TcpStream, tokens: u64) -> bool {
    let mut bytes = Vec::new();
    let mut rest = rest;
    let _ = rest.read_to_end(&mut bytes);
    let text = format!("{first}{}", String::from_utf8_lossy(&bytes));
    let (_, raw) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let (body, is_body_complete) = unchunk(raw);
    let mut received = Received {
        is_body_complete,
        ..Received::default()
    };
    for block in body.split("\n\n") {
        parse_event(&mut received, block);
    }
    if !received.is_complete(tokens) {
        println!("incomplete: {received:?}");
    }
    received.is_complete(tokens)
}
