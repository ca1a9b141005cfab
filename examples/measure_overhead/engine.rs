//! A minimal stand-in engine: the request states the number of tokens and their interval.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use jujubeusher_standins::serve::{Body, Server, json_response, response};
use serde::Deserialize;
use serde_json::json;

/// Listeners of one engine process; each has a separate thread.
const LISTENERS: usize = 2;

/// Fields of a request body that this engine reads; `gap_ms` is the time between tokens.
#[derive(Debug, Clone, Copy, Deserialize)]
struct StreamRequest {
    tokens: u32,
    gap_ms: u64,
}

/// Decrements the count of running streams when it is dropped.
struct RunningGuard(Arc<AtomicU32>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Prints the listeners' addresses and serves until the process is killed.
pub fn run() -> super::Result<()> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let servers = (0..LISTENERS)
        .map(|_| {
            let running = Arc::new(AtomicU32::new(0));
            Server::bind(any_port, move |request| {
                respond(Arc::clone(&running), request)
            })
        })
        .collect::<io::Result<Vec<_>>>()?;
    let addresses: Vec<String> = servers.iter().map(|s| s.address().to_string()).collect();
    println!("{}", addresses.join(" "));
    io::stdout().flush()?;
    loop {
        std::thread::park();
    }
}

async fn respond(running: Arc<AtomicU32>, request: Request<Incoming>) -> Response<Body> {
    if request.uri().path() == "/v1/load" {
        return load_response(running.load(Ordering::Relaxed));
    }
    let attempt = request.headers().get("x-attempt-id").cloned();
    let Ok(body) = request.into_body().collect().await else {
        return response(StatusCode::BAD_REQUEST, "broken body");
    };
    let Ok(stream_request) = serde_json::from_slice::<StreamRequest>(&body.to_bytes()) else {
        return response(StatusCode::BAD_REQUEST, "tokens and gap_ms are needed");
    };
    running.fetch_add(1, Ordering::Relaxed);
    let mut response = Response::new(event_body(stream_request, RunningGuard(running)));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    if let Some(attempt) = attempt {
        headers.insert("x-attempt-id", attempt);
    }
    response
}

fn load_response(running: u32) -> Response<Body> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let as_of_ms = now.map_or(0, |age| age.as_millis() as u64);
    let report = json!({
        "server": "lean", "incarnation": 1, "running": running, "waiting": 0,
        "slots": super::SLOTS, "as_of_ms": as_of_ms,
    });
    json_response(StatusCode::OK, &report)
}

fn event_body(stream_request: StreamRequest, running: RunningGuard) -> Body {
    let gap = Duration::from_millis(stream_request.gap_ms);
    let start = (1u32, running);
    let events = futures_util::stream::unfold(start, move |(index, running)| async move {
        if index > stream_request.tokens + 1 {
            return None;
        }
        if index > 1 && !gap.is_zero() {
            smol::Timer::after(gap).await;
        }
        let text = match index > stream_request.tokens {
            true => format!("id: {index}\ndata: [DONE]\n\n"),
            false => format!(
                "id: {index}\ndata: {{\"choices\":[{{\"delta\":{{\"content\":\"token \"}}}}]}}\n\n"
            ),
        };
        let frame = Frame::data(Bytes::from(text));
        Some((Ok::<_, io::Error>(frame), (index + 1, running)))
    });
    BodyExt::boxed(StreamBody::new(events))
}
