//! Stand-in for a backend server of a plain service. It records every executed call and injects
//! faults that the test configures.

use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONTENT_ENCODING, CONTENT_LENGTH, HeaderValue};
use hyper::{Request, Response, StatusCode};
use parking_lot::Mutex;
use serde_json::json;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::serve::{Body, Server, close_connection, json_response};

/// Fault of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// Closes the connection before the body is read; the call does not run.
    ResetBeforeBody,
    /// Closes the connection after the first frame of the body; the call does not run.
    ResetDuringBody,
    /// Closes the connection after the complete body; the call does not run.
    ResetAfterBody,
    /// Runs the call, then closes the connection without a response.
    ResetAfterRun,
    /// Does not run the call and says so: status 503 with `x-not-run: 1`.
    NotRun,
    /// Runs the call at once and sends the response after this time.
    Slow(Duration),
    /// Runs the call; the response carries the id of another attempt.
    MisattributedResponse,
    /// Like `NotRun`, but the response carries the id of another attempt.
    MisattributedNotRun,
    /// Runs the call; the response ends before its announced length.
    TruncatedResponse,
    /// Runs the call; the response has a content coding that was not requested.
    EncodedResponse,
    /// Runs the call; the status of the response, 999, is none of HTTP.
    InvalidStatus,
}

/// One executed call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// `idempotency-key` header; empty if absent.
    pub key: String,
    /// `x-attempt-id` header; empty if absent.
    pub attempt: String,
    /// Request body.
    pub body: String,
}

/// Pseudo-random faults. The fault of a call is a function of the seed, the idempotency key and
/// the number of calls received with that key.
#[derive(Debug, Clone)]
pub struct FaultMix {
    /// Seed of the hash that selects faults.
    pub seed: u64,
    /// Faults and their share of the calls in per mille.
    pub per_mille: Vec<(Fault, u32)>,
}

#[derive(Debug, Default)]
struct State {
    runs: Vec<Run>,
    received: u64,
    queued: VecDeque<Fault>,
    mix: Option<FaultMix>,
    calls_by_key: HashMap<String, u64>,
}

impl State {
    fn next_fault(&mut self, key: &str) -> Fault {
        self.received += 1;
        if let Some(fault) = self.queued.pop_front() {
            return fault;
        }
        let count = self.calls_by_key.entry(key.to_owned()).or_insert(0);
        *count += 1;
        let Some(mix) = &self.mix else {
            return Fault::None;
        };
        let mut remainder = (xxh3_64_with_seed(key.as_bytes(), mix.seed ^ *count) % 1000) as u32;
        for (fault, share) in &mix.per_mille {
            if remainder < *share {
                return *fault;
            }
            remainder -= share;
        }
        Fault::None
    }
}

/// Handle of a running server of a plain service.
#[derive(Debug)]
pub struct Service {
    server: Server,
    state: Arc<Mutex<State>>,
}

impl Service {
    /// Starts a server whose responses contain `name`.
    pub fn bind(address: SocketAddr, name: &str) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let shared = Arc::clone(&state);
        let name: Arc<str> = Arc::from(name);
        let server = Server::bind(address, move |request| {
            handle_request(Arc::clone(&name), Arc::clone(&shared), request)
        })?;
        Ok(Self { server, state })
    }

    /// Listening address, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Executed calls, in order.
    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().runs.clone()
    }

    /// Number of calls received, executed or not.
    pub fn received(&self) -> u64 {
        self.state.lock().received
    }

    /// Queues a fault. Each call consumes one queued fault.
    pub fn inject_fault(&self, fault: Fault) {
        self.state.lock().queued.push_back(fault);
    }

    /// Removes all queued faults.
    pub fn clear_faults(&self) {
        self.state.lock().queued.clear();
    }

    /// Sets the distribution that selects the fault of each call while no fault is queued;
    /// `None` means no faults.
    pub fn set_fault_mix(&self, mix: Option<FaultMix>) {
        self.state.lock().mix = mix;
    }
}

/// Body of the response to an executed call. It ends with `---end---`, so that a test detects
/// truncation.
pub fn response_text(server: &str, attempt: &str, body: &str) -> String {
    json!({"server": server, "attempt": attempt, "echo": body, "end": "---end---"}).to_string()
}

async fn handle_request(
    name: Arc<str>,
    state: Arc<Mutex<State>>,
    request: Request<Incoming>,
) -> Response<Body> {
    let header = |name: &str| {
        let value = request.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let attempt = header("x-attempt-id").unwrap_or_default();
    let key = header("idempotency-key").unwrap_or_default();
    let fault = state.lock().next_fault(&key);
    let mut incoming = request.into_body();
    match fault {
        Fault::ResetBeforeBody => return close_connection(),
        Fault::ResetDuringBody => {
            let _ = incoming.frame().await;
            return close_connection();
        }
        _ => {}
    }
    let Ok(body) = incoming.collect().await else {
        return close_connection();
    };
    let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    match fault {
        Fault::ResetAfterBody => return close_connection(),
        Fault::NotRun => return not_run(&attempt),
        Fault::MisattributedNotRun => return not_run("another-attempt"),
        _ => {}
    }
    state.lock().runs.push(Run {
        key,
        attempt: attempt.clone(),
        body: body.clone(),
    });
    let text = response_text(&name, &attempt, &body);
    match fault {
        Fault::ResetAfterRun => close_connection(),
        Fault::MisattributedResponse => completed(text, "another-attempt"),
        Fault::TruncatedResponse => truncated(&text, &attempt),
        Fault::EncodedResponse => {
            let mut response = completed(text, &attempt);
            let gzip = HeaderValue::from_static("gzip");
            response.headers_mut().insert(CONTENT_ENCODING, gzip);
            response
        }
        Fault::InvalidStatus => {
            let mut response = completed(text, &attempt);
            if let Ok(status) = StatusCode::from_u16(999) {
                *response.status_mut() = status;
            }
            response
        }
        Fault::Slow(pause) => {
            smol::Timer::after(pause).await;
            completed(text, &attempt)
        }
        _ => completed(text, &attempt),
    }
}

fn with_attempt(mut response: Response<Body>, attempt: &str) -> Response<Body> {
    if let Ok(value) = HeaderValue::from_str(attempt) {
        response.headers_mut().insert("x-attempt-id", value);
    }
    response
}

fn completed(text: String, attempt: &str) -> Response<Body> {
    with_attempt(crate::serve::response(StatusCode::OK, text), attempt)
}

fn not_run(attempt: &str) -> Response<Body> {
    let mut response = json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({"error": "busy"}));
    response
        .headers_mut()
        .insert("x-not-run", HeaderValue::from_static("1"));
    with_attempt(response, attempt)
}

/// A response that announces its full length and closes the connection after half of the body.
fn truncated(text: &str, attempt: &str) -> Response<Body> {
    let half = bytes::Bytes::from(text[..text.len() / 2].to_owned());
    let parts = futures_util::stream::iter([
        Ok(hyper::body::Frame::data(half)),
        Err(io::Error::other("cut on request")),
    ]);
    let mut response = Response::new(BodyExt::boxed(http_body_util::StreamBody::new(parts)));
    response
        .headers_mut()
        .insert(CONTENT_LENGTH, text.len().into());
    with_attempt(response, attempt)
}
