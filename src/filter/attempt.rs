//! One attempt on one backend server: from the connection to a whole answer or to the
//! first event of a stream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderMap, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Method, Request, Response, StatusCode};

use crate::app::App;
use crate::config::inventory::BackendServer;
use crate::control::load::LoadTicket;
use crate::control::strikes::Isolation;
use crate::decide::recovery::StreamError;
use crate::filter::call::Call;
use crate::filter::cancel::CancelGuard;
use crate::http::lazy_timer::LazyTimer;
use crate::http::pool::{Connection, SendError};
use crate::http::sse::{Decoder, Event};
use crate::ids::{AttemptId, RunState, ServerId};
use crate::runtime::within;

/// Largest whole answer that is held in memory.
const BODY_MAX_BYTES: usize = 64 << 20;
/// Longest wait for the end of the body after the terminal event.
const TAIL_WAIT: Duration = Duration::from_secs(1);

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureKind {
    /// No connection could be opened.
    Connect,
    /// The connection broke after the request was sent.
    Broken,
    /// No answer, event or part of the body came in time.
    Timeout,
    /// The answer carries the id of another attempt.
    Crossed,
    /// The answer's end cannot be told from a break, or the answer is too large.
    Untrusted,
    /// The server answered that it cannot serve the request now.
    Status,
}

/// Why an attempt gave no answer.
#[derive(Debug, Clone, thiserror::Error)]
#[error("{reason}")]
pub struct AttemptError {
    /// How it failed.
    pub kind: FailureKind,
    /// What happened, for people.
    pub reason: String,
    /// Whether the server may have run the request.
    pub run_state: RunState,
}

impl AttemptError {
    /// Nothing reached the server.
    pub fn not_sent(reason: impl ToString) -> Self {
        Self {
            kind: FailureKind::Connect,
            reason: reason.to_string(),
            run_state: RunState::NotRun,
        }
    }

    /// The server may have run the request.
    pub fn unknown(kind: FailureKind, reason: impl ToString) -> Self {
        Self {
            kind,
            reason: reason.to_string(),
            run_state: RunState::Unknown,
        }
    }
}

/// The events of a stream.
#[derive(Debug)]
pub struct EventSource {
    address: SocketAddr,
    connection: Connection,
    body: Incoming,
    decoder: Decoder,
    timer: LazyTimer,
    first: Option<Event>,
}

impl EventSource {
    fn open(address: SocketAddr, connection: Connection, body: Incoming) -> Self {
        Self {
            address,
            connection,
            body,
            decoder: Decoder::default(),
            timer: LazyTimer::default(),
            first: None,
        }
    }

    /// Waits for the first event, which [`EventSource::next`] then returns.
    async fn read_first(&mut self, wait: Duration) -> Result<(), StreamError> {
        let event = self.next(wait).await?;
        self.first = Some(event);
        Ok(())
    }

    /// The next event.
    pub async fn next(&mut self, wait: Duration) -> Result<Event, StreamError> {
        if let Some(event) = self.first.take() {
            return Ok(event);
        }
        loop {
            let decoded = self.decoder.next_event();
            if let Some(event) = decoded.map_err(|_| StreamError::EngineError)? {
                return Ok(event);
            }
            match self.timer.within(wait, self.body.frame()).await {
                None => return Err(StreamError::Stalled),
                Some(None) => return Err(StreamError::EndedEarly),
                Some(Some(Err(_))) => return Err(StreamError::ConnectionLost),
                Some(Some(Ok(frame))) => {
                    if let Some(bytes) = frame.data_ref() {
                        self.decoder.push(bytes);
                    }
                }
            }
        }
    }

    /// Gives the connection back once the body has ended; a body with anything after its
    /// terminal event closes the connection.
    async fn close(mut self, app: &App) {
        let tail = within(TAIL_WAIT, self.body.frame()).await;
        if matches!(tail, Some(None)) && self.decoder.is_empty() {
            app.pool.give_back(self.address, self.connection);
        }
    }
}

/// Content of an answer.
pub enum Answer {
    /// A stream whose first event has arrived.
    Stream(Box<EventSource>),
    /// A whole body.
    Whole(Bytes),
}

/// An answer that a backend server has begun.
pub struct Upstream {
    /// The server.
    pub server: ServerId,
    /// Its address.
    pub address: SocketAddr,
    /// The attempt.
    pub attempt: AttemptId,
    /// Monotonic time in ms at which the attempt began.
    pub started_ms: u64,
    /// Status.
    pub status: StatusCode,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Content.
    pub answer: Answer,
    /// Counts the request on the server.
    pub ticket: LoadTicket,
    /// Cancels the engine's work when the answer is dropped before its end.
    pub cancel: Option<CancelGuard>,
    /// Keeps other struck requests away from the server.
    pub isolation: Option<Isolation>,
}

impl Upstream {
    /// The answer was read to its end.
    pub fn complete(mut self, app: &Arc<App>) {
        if let Some(cancel) = &mut self.cancel {
            cancel.disarm();
        }
        if let Answer::Stream(source) = self.answer {
            let app = Arc::clone(app);
            app.runtime.clone().detach(async move {
                source.close(&app).await;
            });
        }
    }
}

async fn send(
    app: &App,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<(Response<Incoming>, Connection), AttemptError> {
    let sent = app.pool.send(address, request).await;
    sent.map_err(|error| match error {
        SendError::NotSent(reason) => AttemptError::not_sent(reason),
        SendError::Crowded => AttemptError::not_sent(error),
        SendError::Broken(reason) => AttemptError::unknown(FailureKind::Broken, reason),
    })
}

/// Runs one attempt.
pub async fn start(
    app: &Arc<App>,
    call: &Call,
    backend: &BackendServer,
    attempt: &AttemptId,
    body: Bytes,
) -> Result<Upstream, AttemptError> {
    let request = call.request(backend.address, attempt, body);
    let request = request.map_err(AttemptError::not_sent)?;
    let ticket = app.load.start_request(&backend.id);
    let started_ms = app.clock.monotonic_ms();
    let mut cancel = call
        .is_for_engine()
        .then(|| CancelGuard::arm(app, backend.address, attempt));
    let result = exchange(app, call, backend.address, request, attempt).await;
    let (head, answer) = match result {
        Ok(answered) => answered,
        Err(error) => {
            if error.run_state == RunState::NotRun {
                cancel.iter_mut().for_each(CancelGuard::disarm);
            }
            return Err(error);
        }
    };
    Ok(Upstream {
        server: backend.id.clone(),
        address: backend.address,
        attempt: attempt.clone(),
        started_ms,
        status: head.status,
        headers: head.headers,
        answer,
        ticket,
        cancel,
        isolation: None,
    })
}

async fn exchange(
    app: &App,
    call: &Call,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    attempt: &AttemptId,
) -> Result<(Parts, Answer), AttemptError> {
    let timeouts = &app.settings.timeouts;
    let now_ms = app.clock.monotonic_ms();
    let left_ms = call.deadline_ms.saturating_sub(now_ms);
    let wait = Duration::from_millis(timeouts.first_event_ms.min(left_ms));
    let late = || AttemptError::unknown(FailureKind::Timeout, "no answer in time");
    let sent = within(wait, send(app, address, request)).await;
    let (response, connection) = sent.ok_or_else(late)??;
    check_echo(&response, attempt)?;
    check_status(&response)?;
    let (head, body) = response.into_parts();
    if call.is_stream && is_event_stream(&head.headers) {
        let mut source = EventSource::open(address, connection, body);
        let waited_ms = app.clock.monotonic_ms().saturating_sub(now_ms);
        let rest = wait.saturating_sub(Duration::from_millis(waited_ms));
        source.read_first(rest).await.map_err(|cause| match cause {
            StreamError::Stalled => late(),
            cause => AttemptError::unknown(FailureKind::Broken, cause),
        })?;
        return Ok((head, Answer::Stream(Box::new(source))));
    }
    check_framing(&call.method, &head)?;
    let gap = Duration::from_millis(timeouts.next_event_ms);
    let bytes = whole(body, gap).await?;
    app.pool.give_back(address, connection);
    Ok((head, Answer::Whole(bytes)))
}

async fn whole(mut body: Incoming, gap: Duration) -> Result<Bytes, AttemptError> {
    let mut bytes = BytesMut::new();
    loop {
        match within(gap, body.frame()).await {
            None => {
                let reason = "the body stopped coming";
                return Err(AttemptError::unknown(FailureKind::Timeout, reason));
            }
            Some(None) => return Ok(bytes.freeze()),
            Some(Some(Err(error))) => {
                return Err(AttemptError::unknown(FailureKind::Broken, error));
            }
            Some(Some(Ok(frame))) => {
                if let Some(part) = frame.data_ref() {
                    bytes.extend_from_slice(part);
                }
            }
        }
        if bytes.len() > BODY_MAX_BYTES {
            let reason = format!("the body is larger than {BODY_MAX_BYTES} bytes");
            return Err(AttemptError::unknown(FailureKind::Untrusted, reason));
        }
    }
}

/// Reads an engine's run again from the event after `after`.
pub async fn resume(
    app: &App,
    upstream: &Upstream,
    after: u64,
    wait: Duration,
) -> Result<EventSource, AttemptError> {
    let request = Request::builder()
        .method(Method::GET)
        .uri(format!("/v1/streams/{}", upstream.attempt))
        .header(HOST, upstream.address.to_string())
        .header("last-event-id", after.to_string())
        .header("x-attempt-id", upstream.attempt.as_str())
        .body(Full::new(Bytes::new()))
        .map_err(AttemptError::not_sent)?;
    let late = || AttemptError::unknown(FailureKind::Timeout, "the engine did not resume in time");
    let sent = within(wait, send(app, upstream.address, request)).await;
    let (response, connection) = sent.ok_or_else(late)??;
    if response.status() != StatusCode::OK || !is_event_stream(response.headers()) {
        let reason = format!("the engine refused to resume: {}", response.status());
        return Err(AttemptError::unknown(FailureKind::Status, reason));
    }
    check_echo(&response, &upstream.attempt)?;
    let mut source = EventSource::open(upstream.address, connection, response.into_body());
    source.read_first(wait).await.map_err(|cause| match cause {
        StreamError::Stalled => late(),
        cause => AttemptError::unknown(FailureKind::Broken, cause),
    })?;
    Ok(source)
}

/// Refuses an answer that belongs to another attempt.
pub(super) fn check_echo(
    response: &Response<Incoming>,
    attempt: &AttemptId,
) -> Result<(), AttemptError> {
    let echo = response.headers().get("x-attempt-id");
    if echo.is_some_and(|value| value.as_bytes() == attempt.as_str().as_bytes()) {
        return Ok(());
    }
    let reason = "the answer belongs to another attempt";
    Err(AttemptError::unknown(FailureKind::Crossed, reason))
}

/// Turns answers of a server that cannot serve now into failures, which can be retried.
fn check_status(response: &Response<Incoming>) -> Result<(), AttemptError> {
    let is_busy = matches!(response.status().as_u16(), 502..=504);
    if !is_busy {
        return Ok(());
    }
    let reason = format!("the server answered {}", response.status());
    let mut error = AttemptError::unknown(FailureKind::Status, reason);
    if response
        .headers()
        .get("x-not-run")
        .is_some_and(|v| v == "1")
    {
        error.run_state = RunState::NotRun;
    }
    Err(error)
}

/// Refuses a body whose end is the end of the connection: a break looks the same.
fn check_framing(method: &Method, head: &Parts) -> Result<(), AttemptError> {
    let has_no_body = *method == Method::HEAD
        || head.status == StatusCode::NO_CONTENT
        || head.status == StatusCode::NOT_MODIFIED;
    let headers = &head.headers;
    let is_framed = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    if has_no_body || is_framed {
        return Ok(());
    }
    let reason = "the answer has neither a length nor chunked framing";
    Err(AttemptError::unknown(FailureKind::Untrusted, reason))
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(CONTENT_TYPE);
    content_type.is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
}
