//! Stand-in for a backend server of the platform: keeps a record of every run and misbehaves
//! as told.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};
use parking_lot::Mutex;
use smol::Timer;

use crate::serve::{Body, Server, close_connection, response};

/// What goes wrong with one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The server states that it did not run the request.
    NotRun,
    /// As before, and the server tells that all of its places are taken.
    AtCapacity,
    /// The request runs, then the connection closes without an answer.
    ResponseLost,
    /// The request runs and fails.
    ServerError,
    /// The request runs; the answer carries the id of another one.
    WrongRequestId,
    /// The request runs; the answer has no signature.
    MissingSignature,
    /// The request runs; the answer is marked as encoded.
    ContentEncoded,
    /// The request runs; the answer ends before its full length, or a stream within an event.
    TruncatedResponse,
    /// The request runs and is answered after this time.
    Slow(Duration),
}

/// One request that ran.
#[derive(Debug, Clone)]
pub struct Run {
    /// Method, path and query.
    pub target: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

impl Run {
    /// The text of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

#[derive(Debug, Default)]
struct State {
    runs: Vec<Run>,
    queued_faults: VecDeque<Fault>,
    declined: usize,
}

/// A running server.
#[derive(Debug)]
pub struct PlatformBackend {
    server: Server,
    state: Arc<Mutex<State>>,
}

/// Load of a server that has no place: running, waiting, places.
const LOAD_AT_CAPACITY: &str = "16,48,16";

/// Events of each stream.
pub const STREAM_EVENTS: u64 = 5;

impl PlatformBackend {
    /// Starts a server with this id.
    pub fn bind(address: SocketAddr, id: &str) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let shared = Arc::clone(&state);
        let id: Arc<str> = Arc::from(id);
        let server = Server::bind(address, move |request| {
            answer(Arc::clone(&id), Arc::clone(&shared), request)
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

    /// The runs after the first `known`.
    pub fn runs_after(&self, known: usize) -> Vec<Run> {
        self.state.lock().runs[known..].to_vec()
    }

    /// Requests that it declined to run.
    pub fn declined(&self) -> usize {
        self.state.lock().declined
    }

    /// Gives the next request this fault; faults queue up.
    pub fn inject_fault(&self, fault: Fault) {
        self.state.lock().queued_faults.push_back(fault);
    }
}

async fn answer(
    id: Arc<str>,
    state: Arc<Mutex<State>>,
    request: Request<Incoming>,
) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return close_connection();
    };
    let expected = parts.headers.get("x-expect-instance");
    if expected.is_some_and(|expected| expected.as_bytes() != id.as_bytes()) {
        return with_header(
            response(StatusCode::MISDIRECTED_REQUEST, ""),
            "x-instance-id",
            &id,
        );
    }
    let fault = state.lock().queued_faults.pop_front();
    if matches!(fault, Some(Fault::NotRun | Fault::AtCapacity)) {
        state.lock().declined += 1;
        let declined = with_header(
            response(StatusCode::SERVICE_UNAVAILABLE, ""),
            "x-not-run",
            "1",
        );
        return match fault {
            Some(Fault::AtCapacity) => with_header(declined, "x-server-load", LOAD_AT_CAPACITY),
            _ => declined,
        };
    }
    let is_stream = parts.uri.path().contains("/stream");
    let after = parts
        .headers
        .get("last-event-id")
        .and_then(|value| value.to_str().ok());
    let after: u64 = after.and_then(|text| text.parse().ok()).unwrap_or(0);
    let request_id = parts.headers.get("x-request-id").cloned();
    state.lock().runs.push(Run {
        target: format!("{} {}", parts.method, parts.uri),
        headers: parts.headers,
        body: body.to_bytes(),
    });
    if let Some(Fault::Slow(delay)) = fault {
        Timer::after(delay).await;
    }
    let response = match fault {
        Some(Fault::ResponseLost) => return close_connection(),
        Some(Fault::ServerError) => response(StatusCode::INTERNAL_SERVER_ERROR, "failed"),
        _ if is_stream => events(after, fault == Some(Fault::TruncatedResponse)),
        Some(Fault::TruncatedResponse) => truncated_response(),
        _ => response(StatusCode::OK, format!("answer of {id}")),
    };
    let other = HeaderValue::from_static("other-id");
    let echo = match fault {
        Some(Fault::WrongRequestId) => Some(other),
        _ => request_id,
    };
    let mut response = match fault {
        Some(Fault::MissingSignature) => response,
        _ => with_header(response, "x-server-stamp", &format!("stamp-{id}")),
    };
    if let Some(echo) = echo {
        response.headers_mut().insert("x-request-id", echo);
    }
    match fault {
        Some(Fault::ContentEncoded) => with_header(response, "content-encoding", "gzip"),
        _ => response,
    }
}

fn with_header(mut response: Response<Body>, name: &'static str, value: &str) -> Response<Body> {
    if let Ok(value) = HeaderValue::from_str(value) {
        let name = HeaderName::from_static(name);
        response.headers_mut().insert(name, value);
    }
    response
}

fn truncated_response() -> Response<Body> {
    let parts = [
        Ok(Frame::data(Bytes::from_static(b"half"))),
        Err(io::Error::other("cut short")),
    ];
    Response::new(StreamBody::new(stream::iter(parts)).boxed())
}

/// The events after `after`; a stream that is cut ends within its third event.
fn events(after: u64, is_truncated: bool) -> Response<Body> {
    let text = |id: u64| format!("id: {id}\ndata: event {id}\n\n");
    let mut parts: Vec<Result<Frame<Bytes>, io::Error>> = (after + 1..=STREAM_EVENTS)
        .map(|id| Ok(Frame::data(Bytes::from(text(id)))))
        .collect();
    if is_truncated {
        parts.truncate(2);
        parts.push(Ok(Frame::data(Bytes::from_static(b"id: 3\nda"))));
        parts.push(Err(io::Error::other("cut short")));
    }
    // Each part is a chunk of its own.
    let parts = stream::unfold(parts.into_iter(), |mut parts| async {
        let next = parts.next()?;
        Timer::after(Duration::from_millis(2)).await;
        Some((next, parts))
    });
    let response = Response::new(StreamBody::new(parts).boxed());
    with_header(response, "content-type", "text/event-stream")
}
