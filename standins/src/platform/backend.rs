//! Stand-in for a backend server of the platform. It records every executed request and injects
//! faults that the test queues.

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

/// Fault of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Does not run the request and says so: status 503 with `x-not-run: 1`.
    NotRun,
    /// Like `NotRun`, and reports in `x-server-load` that all slots are in use.
    AtCapacity,
    /// Runs the request, then closes the connection without a response.
    ResponseLost,
    /// Runs the request and responds with status 500.
    ServerError,
    /// Runs the request; the response carries the id of another request.
    WrongRequestId,
    /// Runs the request; the response lacks the server's `x-server-stamp`.
    MissingSignature,
    /// Runs the request; the response has a `content-encoding` header.
    ContentEncoded,
    /// Runs the request; the body breaks off, a stream in the middle of an event.
    TruncatedResponse,
    /// Runs the request and responds after this time.
    Slow(Duration),
}

/// One executed request.
#[derive(Debug, Clone)]
pub struct Run {
    /// Method, path and query, such as `POST /path?a=b`.
    pub target: String,
    /// Request headers as received.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
}

impl Run {
    /// Value of a header; `None` if it is absent or not text.
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

/// Handle of a running backend server.
#[derive(Debug)]
pub struct PlatformBackend {
    server: Server,
    state: Arc<Mutex<State>>,
}

/// Load report of a server without free capacity: running requests, waiting requests, slots.
const LOAD_AT_CAPACITY: &str = "16,48,16";

/// Number of events in each stream.
pub const STREAM_EVENTS: u64 = 5;

impl PlatformBackend {
    /// Starts a server with the instance id `id`.
    pub fn bind(address: SocketAddr, id: &str) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let shared = Arc::clone(&state);
        let id: Arc<str> = Arc::from(id);
        let server = Server::bind(address, move |request| {
            handle_request(Arc::clone(&id), Arc::clone(&shared), request)
        })?;
        Ok(Self { server, state })
    }

    /// Listening address, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Executed requests, in order.
    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().runs.clone()
    }

    /// Executed requests without the first `known`.
    pub fn runs_after(&self, known: usize) -> Vec<Run> {
        self.state.lock().runs[known..].to_vec()
    }

    /// Number of requests that were declined without being run.
    pub fn declined(&self) -> usize {
        self.state.lock().declined
    }

    /// Queues a fault. Each request consumes one queued fault.
    pub fn inject_fault(&self, fault: Fault) {
        self.state.lock().queued_faults.push_back(fault);
    }
}

async fn handle_request(
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
        Err(io::Error::other("truncated on request")),
    ];
    Response::new(StreamBody::new(stream::iter(parts)).boxed())
}

/// Streams the events with an id above `after`. A truncated stream breaks off within its third
/// event.
fn events(after: u64, is_truncated: bool) -> Response<Body> {
    let text = |id: u64| format!("id: {id}\ndata: event {id}\n\n");
    let mut parts: Vec<Result<Frame<Bytes>, io::Error>> = (after + 1..=STREAM_EVENTS)
        .map(|id| Ok(Frame::data(Bytes::from(text(id)))))
        .collect();
    if is_truncated {
        parts.truncate(2);
        parts.push(Ok(Frame::data(Bytes::from_static(b"id: 3\nda"))));
        parts.push(Err(io::Error::other("truncated on request")));
    }
    // The pause between parts makes each of them a separate chunk.
    let parts = stream::unfold(parts.into_iter(), |mut parts| async {
        let next = parts.next()?;
        Timer::after(Duration::from_millis(2)).await;
        Some((next, parts))
    });
    let response = Response::new(StreamBody::new(parts).boxed());
    with_header(response, "content-type", "text/event-stream")
}
