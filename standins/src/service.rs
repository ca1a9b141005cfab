//! Stand-in for a server of a plain service: keeps a record of every run and misbehaves
//! as told.

use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use parking_lot::Mutex;
use serde_json::json;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::serve::{Body, Server, close_connection, json_response};

/// What goes wrong with one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// The connection is reset before the body is read; the call does not run.
    ResetBeforeBody,
    /// The connection is reset after a part of the body; the call does not run.
    ResetDuringBody,
    /// The connection is reset after the whole body; the call does not run.
    ResetAfterBody,
    /// The call runs, then the connection is reset.
    ResetAfterRun,
    /// The call does not run and the answer says so: `503` with `x-not-run: 1`.
    NotRun,
    /// The call runs at once and the answer comes after this time.
    Slow(Duration),
    /// The call runs; the answer carries the id of another attempt.
    MisattributedResponse,
    /// The call does not run; the answer says so, with the id of another attempt.
    MisattributedNotRun,
    /// The call runs; the answer ends before its full length.
    TruncatedResponse,
}

/// One call that ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// `idempotency-key` of the call; empty when it had none.
    pub key: String,
    /// `x-attempt-id` of the call.
    pub attempt: String,
    /// Its whole body.
    pub body: String,
}

/// Seeded faults: each call's fault follows from the seed, its key and how often the key came.
#[derive(Debug, Clone)]
pub struct FaultMix {
    /// Seed of the choice.
    pub seed: u64,
    /// Calls in a thousand that meet each fault.
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
        let mut drawn = (xxh3_64_with_seed(key.as_bytes(), mix.seed ^ *count) % 1000) as u32;
        for (fault, share) in &mix.per_mille {
            if drawn < *share {
                return *fault;
            }
            drawn -= share;
        }
        Fault::None
    }
}

/// A running plain service.
#[derive(Debug)]
pub struct Service {
    server: Server,
    state: Arc<Mutex<State>>,
}

impl Service {
    /// Starts a service server; `name` is part of its answers.
    pub fn bind(address: SocketAddr, name: &str) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let shared = Arc::clone(&state);
        let name: Arc<str> = Arc::from(name);
        let server = Server::bind(address, move |request| {
            answer(Arc::clone(&name), Arc::clone(&shared), request)
        })?;
        Ok(Self { server, state })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// All runs in order.
    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().runs.clone()
    }

    /// Calls that arrived, whether they ran or not.
    pub fn received(&self) -> u64 {
        self.state.lock().received
    }

    /// Gives the next call this fault; faults queue up.
    pub fn inject_fault(&self, fault: Fault) {
        self.state.lock().queued.push_back(fault);
    }

    /// Drops the faults that no call has met yet.
    pub fn clear_faults(&self) {
        self.state.lock().queued.clear();
    }

    /// Draws the faults of all other calls from a mix.
    pub fn set_fault_mix(&self, mix: Option<FaultMix>) {
        self.state.lock().mix = mix;
    }
}

/// Text of the answer to a run; `---end---` closes it, so that a cut is visible.
pub fn response_text(server: &str, attempt: &str, body: &str) -> String {
    json!({"server": server, "attempt": attempt, "echo": body, "end": "---end---"}).to_string()
}

async fn answer(
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

/// An answer that announces its full length and breaks off in the middle.
fn truncated(text: &str, attempt: &str) -> Response<Body> {
    let half = bytes::Bytes::from(text[..text.len() / 2].to_owned());
    let parts = futures_util::stream::iter([
        Ok(hyper::body::Frame::data(half)),
        Err(io::Error::other("cut on request")),
    ]);
    let mut response = Response::new(BodyExt::boxed(http_body_util::StreamBody::new(parts)));
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_LENGTH, text.len().into());
    with_attempt(response, attempt)
}
