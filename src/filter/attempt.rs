//! One attempt on one backend server: from the connection to the complete response body or to
//! the first event of a stream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_ENCODING, CONTENT_LENGTH, HOST, HeaderMap, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Method, Request, Response, StatusCode};

use crate::app::App;
use crate::config::inventory::BackendServer;
use crate::control::load::LoadTicket;
use crate::control::strikes::Isolation;
use crate::decide::recovery::StreamError;
use crate::filter::call::Call;
use crate::filter::cancel::CancelGuard;
use crate::http::event_wait::EventWait;
use crate::http::framing;
use crate::http::lazy_timer::LazyTimer;
use crate::http::pool::{Connection, SendError};
use crate::http::sse::{Decoder, Event};
use crate::ids::{AttemptId, RunState, ServerId};
use crate::runtime::with_timeout;

/// Largest response body that is buffered in memory.
const BUFFERED_BODY_MAX_BYTES: usize = 64 << 20;
/// Longest wait for the end of the body after the terminal event of a stream.
const TAIL_WAIT: Duration = Duration::from_secs(1);

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureKind {
    /// No connection could be opened.
    Connect,
    /// This process lacks what a connection needs, such as a file descriptor.
    NoResources,
    /// The connection or the stream failed after the request was sent.
    Broken,
    /// No response, event or part of the body arrived in time.
    Timeout,
    /// The response carries the id of another attempt, or none.
    WrongAttempt,
    /// The end of the body cannot be distinguished from a broken connection, or the body is
    /// too large or in a coding that was not requested.
    UnusableBody,
    /// The server responded with a status that says it cannot serve the request, or refused to
    /// resume a stream.
    Status,
}

/// Error of a failed attempt.
#[derive(Debug, Clone, thiserror::Error)]
#[error("{reason}")]
pub struct AttemptError {
    /// Class of the failure, which decides how the server is treated.
    pub kind: FailureKind,
    /// Cause as text for logs, `explain` and the caller.
    pub reason: String,
    /// Whether the server may have run the request.
    pub run_state: RunState,
}

impl AttemptError {
    /// Error of an attempt of which nothing was sent to the server.
    pub fn not_sent(reason: impl ToString) -> Self {
        Self {
            kind: FailureKind::Connect,
            reason: reason.to_string(),
            run_state: RunState::NotRun,
        }
    }

    /// Error of an attempt that the server may have run.
    pub fn unknown(kind: FailureKind, reason: impl ToString) -> Self {
        Self {
            kind,
            reason: reason.to_string(),
            run_state: RunState::Unknown,
        }
    }
}

/// Reads the events of a backend server's stream.
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
    fn new(address: SocketAddr, connection: Connection, body: Incoming) -> Self {
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

    /// Returns the next event, or how the stream broke. A byte or a comment now and then does not
    /// extend the wait.
    pub async fn next(&mut self, wait: Duration) -> Result<Event, StreamError> {
        if let Some(event) = self.first.take() {
            return Ok(event);
        }
        let wait = EventWait {
            stall_ms: wait.as_millis() as u64,
            total_ms: u64::MAX,
        };
        let started = Instant::now();
        loop {
            let decoded = self.decoder.next_event();
            if let Some(event) = decoded.map_err(|_| StreamError::EngineError)? {
                return Ok(event);
            }
            let elapsed_ms = started.elapsed().as_millis() as u64;
            let received_bytes = self.decoder.buffered_bytes() as u64;
            let Some(remaining) = wait.remaining(elapsed_ms, received_bytes) else {
                return Err(StreamError::Stalled);
            };
            match self.timer.with_timeout(remaining, self.body.frame()).await {
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

    /// Returns the connection to the pool once the body has ended. The connection is closed
    /// instead if any data follows the terminal event.
    async fn close(mut self, app: &App) {
        let tail = with_timeout(TAIL_WAIT, self.body.frame()).await;
        if matches!(tail, Some(None)) && self.decoder.is_empty() {
            app.pool.release(self.address, self.connection);
        }
    }
}

/// Body of a response.
pub enum UpstreamBody {
    /// A stream whose first event has arrived.
    Stream(Box<EventSource>),
    /// A complete body.
    Buffered(Bytes),
}

/// Response that a backend server has started.
pub struct UpstreamResponse {
    /// Server that sent the response.
    pub server: ServerId,
    /// Address that the request was sent to; a stream is resumed there.
    pub address: SocketAddr,
    /// Attempt that the response belongs to.
    pub attempt: AttemptId,
    /// Start of the attempt, as monotonic time in ms.
    pub started_ms: u64,
    /// HTTP status as received.
    pub status: StatusCode,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Buffered body or open stream.
    pub body: UpstreamBody,
    /// Counts the request in the server's load until it is dropped.
    pub ticket: LoadTicket,
    /// Cancels the engine's work when the response is dropped before its end; absent for plain
    /// services.
    pub cancel: Option<CancelGuard>,
    /// Keeps other requests with a strike off the server; present if this request has one.
    pub isolation: Option<Isolation>,
}

impl UpstreamResponse {
    /// Completes a response that was read to its end, so that nothing is cancelled and the
    /// connection can be reused.
    pub fn complete(mut self, app: &Arc<App>) {
        if let Some(cancel) = &mut self.cancel {
            cancel.disarm();
        }
        if let UpstreamBody::Stream(source) = self.body {
            let app = Arc::clone(app);
            app.runtime.clone().spawn_detached(async move {
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
        SendError::NoResources(_) => AttemptError {
            kind: FailureKind::NoResources,
            ..AttemptError::not_sent(error)
        },
        SendError::ConnectionLimit | SendError::Withheld => AttemptError::not_sent(error),
        SendError::Broken(reason) => AttemptError::unknown(FailureKind::Broken, reason),
    })
}

/// Sends the request to one server and waits for the complete body or the first event.
pub async fn start(
    app: &Arc<App>,
    call: &Call,
    backend: &BackendServer,
    attempt: &AttemptId,
    body: Bytes,
) -> Result<UpstreamResponse, AttemptError> {
    let request = call.build_request(backend.address, attempt, body);
    let request = request.map_err(AttemptError::not_sent)?;
    let ticket = app.load.start_request(&backend.id);
    let started_ms = app.clock.monotonic_ms();
    let mut cancel = call
        .is_for_engine()
        .then(|| CancelGuard::arm(app, backend.address, attempt));
    let result = exchange(app, call, backend.address, request, attempt).await;
    let (head, body) = match result {
        Ok(response) => response,
        Err(error) => {
            if error.run_state == RunState::NotRun {
                cancel.iter_mut().for_each(CancelGuard::disarm);
            }
            return Err(error);
        }
    };
    Ok(UpstreamResponse {
        server: backend.id.clone(),
        address: backend.address,
        attempt: attempt.clone(),
        started_ms,
        status: head.status,
        headers: head.headers,
        body,
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
) -> Result<(Parts, UpstreamBody), AttemptError> {
    let timeouts = &app.settings.timeouts;
    let now_ms = app.clock.monotonic_ms();
    let left_ms = call.deadline_ms.saturating_sub(now_ms);
    let wait = Duration::from_millis(timeouts.first_event_ms.min(left_ms));
    let timeout_error = || AttemptError::unknown(FailureKind::Timeout, "no answer in time");
    let sent = with_timeout(wait, send(app, address, request)).await;
    let (response, connection) = sent.ok_or_else(timeout_error)??;
    check_attempt_id(&response, attempt)?;
    check_status(&response)?;
    check_coding(response.headers())?;
    let (head, body) = response.into_parts();
    if call.is_stream && is_event_stream(&head.headers) {
        let mut source = EventSource::new(address, connection, body);
        let waited_ms = app.clock.monotonic_ms().saturating_sub(now_ms);
        let remaining = wait.saturating_sub(Duration::from_millis(waited_ms));
        source
            .read_first(remaining)
            .await
            .map_err(|cause| match cause {
                StreamError::Stalled => timeout_error(),
                cause => AttemptError::unknown(FailureKind::Broken, cause),
            })?;
        return Ok((head, UpstreamBody::Stream(Box::new(source))));
    }
    check_framing(&call.method, &head)?;
    let idle_timeout = Duration::from_millis(timeouts.next_event_ms);
    let bytes = read_body(body, idle_timeout).await?;
    app.pool.release(address, connection);
    Ok((head, UpstreamBody::Buffered(bytes)))
}

async fn read_body(mut body: Incoming, idle_timeout: Duration) -> Result<Bytes, AttemptError> {
    let mut bytes = BytesMut::new();
    loop {
        match with_timeout(idle_timeout, body.frame()).await {
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
        if bytes.len() > BUFFERED_BODY_MAX_BYTES {
            let reason = format!("the body is larger than {BUFFERED_BODY_MAX_BYTES} bytes");
            return Err(AttemptError::unknown(FailureKind::UnusableBody, reason));
        }
    }
}

/// Requests an engine's stream again, from the event after `after`.
pub async fn resume(
    app: &App,
    upstream: &UpstreamResponse,
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
    let timeout_error =
        || AttemptError::unknown(FailureKind::Timeout, "the engine did not resume in time");
    let sent = with_timeout(wait, send(app, upstream.address, request)).await;
    let (response, connection) = sent.ok_or_else(timeout_error)??;
    if response.status() != StatusCode::OK || !is_event_stream(response.headers()) {
        let reason = format!("the engine refused to resume: {}", response.status());
        return Err(AttemptError::unknown(FailureKind::Status, reason));
    }
    check_attempt_id(&response, &upstream.attempt)?;
    check_coding(response.headers())?;
    let mut source = EventSource::new(upstream.address, connection, response.into_body());
    source.read_first(wait).await.map_err(|cause| match cause {
        StreamError::Stalled => timeout_error(),
        cause => AttemptError::unknown(FailureKind::Broken, cause),
    })?;
    Ok(source)
}

/// Rejects a response that does not carry the id of this attempt.
pub(super) fn check_attempt_id(
    response: &Response<Incoming>,
    attempt: &AttemptId,
) -> Result<(), AttemptError> {
    let echoed_id = response.headers().get("x-attempt-id");
    if echoed_id.is_some_and(|value| value.as_bytes() == attempt.as_str().as_bytes()) {
        return Ok(());
    }
    let reason = "the answer belongs to another attempt";
    Err(AttemptError::unknown(FailureKind::WrongAttempt, reason))
}

/// Turns the statuses 502 to 504, which can be retried, and those that are none into failures.
fn check_status(response: &Response<Incoming>) -> Result<(), AttemptError> {
    if !framing::is_valid_status(response.status()) {
        let reason = format!("the response has the status {}", response.status().as_u16());
        return Err(AttemptError::unknown(FailureKind::Broken, reason));
    }
    let is_unavailable = matches!(response.status().as_u16(), 502..=504);
    if !is_unavailable {
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

/// Rejects a body in a coding that was not requested: the caller gets neither the field that states
/// it nor the connection that it applies to.
pub(super) fn check_coding(headers: &HeaderMap) -> Result<(), AttemptError> {
    if !headers.contains_key(CONTENT_ENCODING) && !framing::is_transfer_coded(headers) {
        return Ok(());
    }
    let reason = "the answer has a coding that was not requested";
    Err(AttemptError::unknown(FailureKind::UnusableBody, reason))
}

/// Rejects a body that is delimited only by the end of the connection, because a lost
/// connection would look the same.
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
    Err(AttemptError::unknown(FailureKind::UnusableBody, reason))
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    framing::media_type(headers).is_some_and(|media_type| media_type == "text/event-stream")
}
