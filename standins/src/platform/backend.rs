//! Stand-in for a backend server of the platform. It records every executed request and injects
//! faults that the test queues.

use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use futures_util::stream::{iter, once};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};
use parking_lot::Mutex;
use smol::Timer;

use crate::listening::Listening;
use crate::platform::places::Places;
use crate::platform::stream::{self, StreamStyle, Words};
use crate::serve::{Body, Server, close_connection, response};

pub use crate::platform::stream::STREAM_EVENTS;

/// Fault of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Does not run the request and says so: status 503 with `x-not-run: 1`.
    NotRun,
    /// Like `NotRun`, and reports in `x-server-load` that all slots are in use.
    AtCapacity,
    /// Like `NotRun`, with this value of `retry-after`.
    Pause(&'static str),
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

/// Content of a request under which the server crashes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CrashTrigger {
    /// The body contains this text.
    Body(String),
    /// The prompt has a part with this id.
    PromptPart(String),
}

/// Time for which a server runs a request that crashes it.
const CRASH_DELAY: Duration = Duration::from_millis(20);

/// Interval at which a response waits for the end of its server's silence.
const SILENCE_POLL: Duration = Duration::from_millis(20);

/// One executed request.
#[derive(Debug, Clone)]
pub struct Run {
    /// Method, path and query, such as `POST /path?a=b`.
    pub target: String,
    /// Request headers as received.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// When it was received.
    pub received_at: Instant,
    /// Words of its events, if it is a stream.
    pub words: Words,
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
    arrivals: Vec<Instant>,
    is_leaving: bool,
    limit: Option<String>,
    cold_ms: Option<String>,
    load: Option<String>,
    crash_triggers: Vec<CrashTrigger>,
    silence_triggers: Vec<CrashTrigger>,
    is_silent: bool,
    crashes: usize,
    run_time: Duration,
    events_before_crash: u64,
    stream_style: StreamStyle,
    event_pause: Duration,
    places: Places,
}

impl State {
    fn is_crashed_by(&self, headers: &HeaderMap, body: &[u8]) -> bool {
        is_triggered(&self.crash_triggers, headers, body)
    }

    fn is_silenced_by(&self, headers: &HeaderMap, body: &[u8]) -> bool {
        is_triggered(&self.silence_triggers, headers, body)
    }
}

fn is_triggered(triggers: &[CrashTrigger], headers: &HeaderMap, body: &[u8]) -> bool {
    let parts = headers.get("x-prefix-hash").and_then(|v| v.to_str().ok());
    let mut parts = parts.unwrap_or_default().split(',');
    let body = String::from_utf8_lossy(body);
    triggers.iter().any(|trigger| match trigger {
        CrashTrigger::Body(text) => body.contains(text.as_str()),
        CrashTrigger::PromptPart(id) => {
            parts.any(|part| part.split(':').next() == Some(id.as_str()))
        }
    })
}

/// Handle of a backend server.
#[derive(Debug)]
pub struct PlatformBackend {
    id: String,
    server: Server,
    stop: Receiver<()>,
    state: Arc<Mutex<State>>,
}

/// Load report of a server without free capacity: running requests, waiting requests, slots.
const LOAD_AT_CAPACITY: &str = "16,48,16";

impl PlatformBackend {
    /// Starts a server with the instance id `id`.
    pub fn bind(address: SocketAddr, id: &str) -> io::Result<Self> {
        Self::bind_with_state(address, id, Arc::default())
    }

    fn bind_with_state(
        address: SocketAddr,
        id: &str,
        state: Arc<Mutex<State>>,
    ) -> io::Result<Self> {
        // Closing the channel stops the server, from its own handler as well.
        let (sender, stop) = async_channel::bounded::<()>(1);
        let incarnation = Incarnation {
            id: Arc::from(id),
            state: Arc::clone(&state),
            stop: stop.clone(),
            _keep_open: sender,
        };
        let server = Server::bind_stoppable(address, stop.clone(), move |request| {
            handle_request(incarnation.clone(), request)
        })?;
        Ok(Self {
            id: id.to_owned(),
            server,
            stop,
            state,
        })
    }

    /// Instance id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Makes the server crash under each request with this content, after restarts too: it closes
    /// its listener and all connections.
    pub fn crash_under(&self, trigger: CrashTrigger) {
        self.state.lock().crash_triggers.push(trigger);
    }

    /// Makes the server fall silent under each request with this content: its connections stay open,
    /// and nothing is sent on them any more. New ones are accepted until
    /// [`PlatformBackend::set_listening`].
    pub fn silence_under(&self, trigger: CrashTrigger) {
        self.state.lock().silence_triggers.push(trigger);
    }

    /// Makes the server fall silent without a cause in a request, or go on.
    pub fn set_silent(&self, is_silent: bool) {
        self.state.lock().is_silent = is_silent;
    }

    /// Whether the server is silent.
    pub fn is_silent(&self) -> bool {
        self.state.lock().is_silent
    }

    /// Crashes the server without a cause in a request.
    pub fn crash(&self) {
        self.stop.close();
    }

    /// Whether the server has crashed and not been restarted.
    pub fn is_crashed(&self) -> bool {
        self.stop.is_closed()
    }

    /// Number of crashes under a request.
    pub fn crashes(&self) -> usize {
        self.state.lock().crashes
    }

    /// Starts a crashed server again at its address, with a new instance id.
    pub fn restart(&mut self, id: &str) -> io::Result<()> {
        let started = Self::bind_with_state(self.address(), id, Arc::clone(&self.state))?;
        *self = started;
        Ok(())
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

    /// Times at which requests arrived, declined ones included.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.state.lock().arrivals.clone()
    }

    /// Number of requests that arrived after `instant`, declined ones included.
    pub fn arrivals_after(&self, instant: Instant) -> usize {
        self.arrivals_between(instant, Instant::now())
    }

    /// Number of requests that arrived between two moments, declined ones included.
    pub fn arrivals_between(&self, from: Instant, to: Instant) -> usize {
        let state = self.state.lock();
        let arrivals = state.arrivals.iter();
        arrivals.filter(|at| **at > from && **at <= to).count()
    }

    /// Sets whether the server announces in all its responses that it is leaving.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.state.lock().is_leaving = is_leaving;
    }

    /// Sets the limit that the server names in its successful responses; none at first.
    pub fn set_limit(&self, limit: Option<&str>) {
        self.state.lock().limit = limit.map(str::to_owned);
    }

    /// Sets the remaining cold time in ms that the server states in its responses; none at first.
    pub fn set_cold_ms(&self, cold_ms: Option<&str>) {
        self.state.lock().cold_ms = cold_ms.map(str::to_owned);
    }

    /// Sets how many requests the server runs at once and queues, beyond which it declines them, and
    /// whether its responses report its load. At first it runs all at once and reports none.
    pub fn set_places(&self, slots: usize, queue: usize, reports_load: bool) {
        self.state.lock().places.set(slots, queue, reports_load);
    }

    /// Sets the load report in its successful responses, with or without a speed; none at first.
    pub fn set_load(&self, load: Option<&str>) {
        self.state.lock().load = load.map(str::to_owned);
    }

    /// Sets how long the server runs each request; 0 at first.
    pub fn set_run_time(&self, run_time: Duration) {
        self.state.lock().run_time = run_time;
    }

    /// Sets the number of events that a stream has before the server crashes under it; 0 at first.
    pub fn set_events_before_crash(&self, events: u64) {
        self.state.lock().events_before_crash = events;
    }

    /// Sets how the server writes its streams; at first in chunks, and all with the same words.
    pub fn set_stream_style(&self, style: StreamStyle) {
        self.state.lock().stream_style = style;
    }

    /// Sets the time that the server works on each event of a stream; a few ms at first.
    pub fn set_event_pause(&self, pause: Duration) {
        self.state.lock().event_pause = pause;
    }

    /// Sets what the server does with new connections; it goes on with the requests that it runs.
    pub fn set_listening(&self, listening: Listening) {
        self.server.set_listening(listening);
    }

    /// Queues a fault. Each request consumes one queued fault.
    pub fn inject_fault(&self, fault: Fault) {
        self.state.lock().queued_faults.push_back(fault);
    }
}

/// One run of the server, from its start to its crash.
#[derive(Debug, Clone)]
struct Incarnation {
    id: Arc<str>,
    state: Arc<Mutex<State>>,
    stop: Receiver<()>,
    _keep_open: Sender<()>,
}

async fn handle_request(incarnation: Incarnation, request: Request<Incoming>) -> Response<Body> {
    let state = Arc::clone(&incarnation.state);
    let response = respond(incarnation, request).await;
    while state.lock().is_silent {
        Timer::after(SILENCE_POLL).await;
    }
    let (is_leaving, limit, cold_ms, load, places_load) = {
        let state = state.lock();
        (
            state.is_leaving,
            state.limit.clone(),
            state.cold_ms.clone(),
            state.load.clone(),
            state.places.load(),
        )
    };
    let response = match cold_ms {
        Some(cold_ms) => with_header(response, "x-cold-ms", &cold_ms),
        None => response,
    };
    let load = load.filter(|_| response.status().is_success());
    let response = match places_load.or(load) {
        Some(load) => with_header(response, "x-server-load", &load),
        None => response,
    };
    let response = match is_leaving {
        true => with_header(response, "server-leaving", "1"),
        false => response,
    };
    match limit.filter(|_| response.status().is_success()) {
        Some(limit) => with_header(response, "server-limit", &limit),
        None => response,
    }
}

async fn respond(incarnation: Incarnation, request: Request<Incoming>) -> Response<Body> {
    let Incarnation {
        id, state, stop, ..
    } = incarnation;
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
    state.lock().arrivals.push(Instant::now());
    let fault = state.lock().queued_faults.pop_front();
    let is_declined = matches!(
        fault,
        Some(Fault::NotRun | Fault::AtCapacity | Fault::Pause(_))
    );
    let places = state.lock().places.clone();
    let running = match is_declined {
        true => None,
        false => places.take_slot().await,
    };
    let Some(_running) = running else {
        state.lock().declined += 1;
        let declined = with_header(
            response(StatusCode::SERVICE_UNAVAILABLE, ""),
            "x-not-run",
            "1",
        );
        let declined = match parts.headers.get("x-request-id").map(HeaderValue::to_str) {
            Some(Ok(request_id)) => with_header(declined, "x-request-id", request_id),
            _ => declined,
        };
        return match fault {
            Some(Fault::AtCapacity) => with_header(declined, "x-server-load", LOAD_AT_CAPACITY),
            Some(Fault::Pause(retry_after)) => with_header(declined, "retry-after", retry_after),
            _ => declined,
        };
    };
    let is_stream = parts.uri.path().contains("/stream");
    let after = parts
        .headers
        .get("last-event-id")
        .and_then(|value| value.to_str().ok());
    let after: u64 = after.and_then(|text| text.parse().ok()).unwrap_or(0);
    let request_id = parts.headers.get("x-request-id").cloned();
    let body = body.to_bytes();
    let is_crashing = state.lock().is_crashed_by(&parts.headers, &body);
    let is_silencing = state.lock().is_silenced_by(&parts.headers, &body);
    let (words, style, events_before_crash) = {
        let mut state = state.lock();
        let style = state.stream_style;
        let words = match style.has_own_words {
            true => Words::of_run(&id, state.runs.len()),
            false => Words::default(),
        };
        state.runs.push(Run {
            target: format!("{} {}", parts.method, parts.uri),
            headers: parts.headers,
            body,
            received_at: Instant::now(),
            words,
        });
        (words, style, state.events_before_crash)
    };
    let crashing = Arc::clone(&state);
    let crash = async move {
        Timer::after(CRASH_DELAY).await;
        // Several requests may crash one incarnation.
        if stop.close() {
            crashing.lock().crashes += 1;
        }
        std::future::pending().await
    };
    if is_silencing {
        Timer::after(CRASH_DELAY).await;
        state.lock().is_silent = true;
        std::future::pending::<()>().await;
    }
    if is_crashing && (events_before_crash == 0 || !is_stream) {
        return crash.await;
    }
    if is_crashing {
        let response = crashing_events(words, after, events_before_crash, crash);
        let response = stream::with_stream_headers(response, style, words, after);
        let response = with_header(response, "x-server-stamp", &format!("stamp-{id}"));
        return match request_id.as_ref().and_then(|id| id.to_str().ok()) {
            Some(request_id) => with_header(response, "x-request-id", request_id),
            None => response,
        };
    }
    let run_time = match fault {
        Some(Fault::Slow(delay)) => delay,
        _ => state.lock().run_time,
    };
    if !run_time.is_zero() {
        Timer::after(run_time).await;
    }
    let response = match fault {
        Some(Fault::ResponseLost) => return close_connection(),
        Some(Fault::ServerError) => response(StatusCode::INTERNAL_SERVER_ERROR, "failed"),
        _ if is_stream => {
            let is_truncated = fault == Some(Fault::TruncatedResponse);
            let parts = stream::parts(words, after, is_truncated);
            let pause = state.lock().event_pause;
            stream::response(parts, pause, style, words, after)
        }
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

/// Streams `count` events above `after`, then waits for `crash`, which never returns.
fn crashing_events<F>(words: Words, after: u64, count: u64, crash: F) -> Response<Body>
where
    F: Future<Output = Response<Body>> + Send + Sync + 'static,
{
    let event = move |id: u64| Frame::data(Bytes::from(words.event(id)));
    let events = iter((after + 1..=after + count).map(move |id| Ok(event(id))));
    let crash = once(async {
        crash.await;
        Err(io::Error::other("crashed on request"))
    });
    let parts = futures_util::StreamExt::chain(events, crash);
    Response::new(StreamBody::new(parts).boxed())
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
    Response::new(StreamBody::new(iter(parts)).boxed())
}
