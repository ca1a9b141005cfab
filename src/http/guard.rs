//! Enforces the timeouts of a caller's connection and replaces hyper's own error responses.
//!
//! hyper responds to a request that it cannot parse by itself, with an empty body. The guard
//! replaces such a response by a refusal whose body is the project's error JSON.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes};
use hyper::StatusCode;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use hyper::rt::{Read, ReadBufCursor, Write};
use parking_lot::Mutex;
use smol::Timer;
use smol::net::TcpStream;

use crate::http::limits::ServerLimits;
use crate::http::socket::Socket;
use crate::http::{Body, BodyError};
use crate::ids::RequestId;
use crate::refusal::Refusal;

/// Phase of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No byte of a request has been received.
    Idle,
    /// A part of a header block has been received.
    Head,
    /// A request is being handled, or its response is being produced.
    Responding,
    /// The response was produced and is in hyper's write buffer.
    Flushing,
}

/// Timeout after which a connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expiry {
    /// No request arrived.
    IdleTimeout,
    /// A header block was not received completely.
    HeaderTimeout,
    /// The caller does not read the response.
    SlowReader,
}

/// State of a response whose end is the close of its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClosingBody {
    /// The response, if there is one, has a length or chunks.
    None,
    /// The body has not been produced completely.
    Open,
    /// The body has been produced completely, but may not be written yet.
    Ended,
}

#[derive(Debug)]
struct State {
    phase: Phase,
    since: Instant,
    opened: Instant,
    has_request: bool,
    write_blocked_since: Option<Instant>,
    closing_body: ClosingBody,
}

/// Progress of one connection, shared by its socket, its response bodies and its timeouts. Clones
/// share it.
#[derive(Debug, Clone)]
pub struct ConnectionProgress {
    state: Arc<Mutex<State>>,
}

impl ConnectionProgress {
    /// Returns the progress of a connection that was just accepted.
    pub fn open() -> Self {
        Self {
            state: Arc::new(Mutex::new(State {
                phase: Phase::Idle,
                since: Instant::now(),
                opened: Instant::now(),
                has_request: false,
                write_blocked_since: None,
                closing_body: ClosingBody::None,
            })),
        }
    }

    fn change_phase(&self, from: Phase, to: Phase) {
        let mut state = self.state.lock();
        if state.phase == from {
            state.phase = to;
            state.since = Instant::now();
        }
    }

    /// Records that a complete header block was received.
    pub fn begin_request(&self) {
        let mut state = self.state.lock();
        state.phase = Phase::Responding;
        state.has_request = true;
    }

    /// Whether no byte of a request has been received since the last response.
    pub fn is_idle(&self) -> bool {
        self.state.lock().phase == Phase::Idle
    }

    /// Whether a header block has been received in part.
    pub fn is_receiving_head(&self) -> bool {
        self.state.lock().phase == Phase::Head
    }

    /// Time since the connection was accepted, if it has not brought a request yet.
    pub fn time_without_request(&self) -> Option<Duration> {
        let state = self.state.lock();
        (!state.has_request).then(|| state.opened.elapsed())
    }

    /// Records that the body of the current response ends with the connection.
    pub fn begin_closing_body(&self) {
        self.state.lock().closing_body = ClosingBody::Open;
    }

    /// Whether the connection must not end in order, since that would complete a response which was
    /// not written to its end.
    pub fn is_cut_off(&self) -> bool {
        self.state.lock().closing_body != ClosingBody::None
    }

    fn end_body(&self) {
        let mut state = self.state.lock();
        if state.closing_body == ClosingBody::Open {
            state.closing_body = ClosingBody::Ended;
        }
    }

    /// Records that all produced bytes were written; returns whether they completed a response that
    /// ends with the connection.
    fn record_flush(&self) -> bool {
        let mut state = self.state.lock();
        if state.phase == Phase::Flushing {
            state.phase = Phase::Idle;
            state.since = Instant::now();
        }
        let is_completed = state.closing_body == ClosingBody::Ended;
        if is_completed {
            state.closing_body = ClosingBody::None;
        }
        is_completed
    }

    /// Whether no request is being handled, so that bytes written now are hyper's own response.
    fn is_outside_request(&self) -> bool {
        matches!(self.state.lock().phase, Phase::Idle | Phase::Head)
    }

    fn record_write(&self, is_blocked: bool) {
        let mut state = self.state.lock();
        match (is_blocked, state.write_blocked_since) {
            (true, None) => state.write_blocked_since = Some(Instant::now()),
            (false, Some(_)) => state.write_blocked_since = None,
            _ => {}
        }
    }

    fn deadline(&self, limits: &ServerLimits) -> Option<(Instant, Expiry)> {
        let state = self.state.lock();
        match state.phase {
            Phase::Idle => Some((state.since + limits.idle_timeout.get(), Expiry::IdleTimeout)),
            Phase::Head => Some((
                state.since + limits.header_timeout.get(),
                Expiry::HeaderTimeout,
            )),
            Phase::Responding | Phase::Flushing => state
                .write_blocked_since
                .map(|since| (since + limits.idle_timeout.get(), Expiry::SlowReader)),
        }
    }

    /// Waits until the connection exceeds one of its timeouts.
    ///
    /// Must be polled by the task that polls the connection: every change of progress happens in
    /// that task, so no separate wake-up is needed. The timer is set again only for an earlier
    /// deadline, which avoids a timer operation for each request.
    pub async fn wait_for_expiry(&self, limits: &ServerLimits) -> Expiry {
        let mut timer = Timer::never();
        let mut armed: Option<Instant> = None;
        std::future::poll_fn(|cx| {
            loop {
                let Some((deadline, expiry)) = self.deadline(limits) else {
                    return Poll::Pending;
                };
                if Instant::now() >= deadline {
                    return Poll::Ready(expiry);
                }
                if armed.is_none_or(|armed| deadline < armed) {
                    timer.set_at(deadline);
                    armed = Some(deadline);
                }
                ready!(Pin::new(&mut timer).poll(cx));
                armed = None;
            }
        })
        .await
    }
}

/// A response body that records the end of the response when it is dropped.
#[derive(Debug)]
pub struct TrackedBody {
    body: Body,
    progress: ConnectionProgress,
}

impl TrackedBody {
    /// Wraps `body`, whose end is recorded in `progress`.
    pub fn new(body: Body, progress: ConnectionProgress) -> Self {
        Self { body, progress }
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.progress
            .change_phase(Phase::Responding, Phase::Flushing);
    }
}

impl HttpBody for TrackedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        if matches!(frame, Poll::Ready(None)) {
            self.progress.end_body();
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A caller's socket that records its progress and replaces hyper's own error responses.
#[derive(Debug)]
pub struct CallerIo {
    socket: Socket,
    progress: ConnectionProgress,
    refusal: Option<Bytes>,
}

impl CallerIo {
    /// Wraps the accepted socket of a caller.
    pub fn new(stream: TcpStream, progress: ConnectionProgress) -> Self {
        Self {
            socket: Socket::new(stream),
            progress,
            refusal: None,
        }
    }

    /// Sends the remaining bytes of the refusal.
    fn poll_refusal(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while let Some(refusal) = &mut self.refusal {
            if refusal.is_empty() {
                break;
            }
            let sent = ready!(Pin::new(&mut self.socket).poll_write(cx, refusal))?;
            refusal.advance(sent);
        }
        Poll::Ready(Ok(()))
    }
}

impl Read for CallerIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let length = ready!(self.socket.poll_fill(cx, cursor))?;
        if length > 0 {
            self.progress.change_phase(Phase::Idle, Phase::Head);
        }
        Poll::Ready(Ok(()))
    }
}

impl Write for CallerIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.refusal.is_none() && self.progress.is_outside_request() {
            self.refusal = replacement_refusal(buffer);
        }
        if self.refusal.is_some() {
            ready!(self.poll_refusal(cx))?;
            return Poll::Ready(Ok(buffer.len()));
        }
        let written = Pin::new(&mut self.socket).poll_write(cx, buffer);
        self.progress.record_write(written.is_pending());
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.socket).poll_flush(cx))?;
        // hyper flushes the socket only after it has written its own buffer completely.
        if self.progress.record_flush() {
            self.socket.set_reset_on_close(false);
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

/// Encodes the refusal that replaces hyper's own response, chosen by the status in `head`. Returns
/// `None` if `head` has no valid status.
fn replacement_refusal(head: &[u8]) -> Option<Bytes> {
    let code = std::str::from_utf8(head.get(9..12)?).ok()?;
    let status = StatusCode::from_bytes(code.as_bytes()).ok()?;
    let refusal = match status {
        StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE => Refusal::not_run(
            status,
            "headers_too_large",
            "the header block has too many bytes or headers",
            "send fewer and shorter headers",
        ),
        StatusCode::URI_TOO_LONG => Refusal::not_run(
            status,
            "uri_too_long",
            "the request target is too long",
            "shorten path and query",
        ),
        _ => Refusal::not_run(
            status,
            "bad_request",
            "the request is not valid HTTP/1.1",
            "check request line, headers and lengths",
        ),
    };
    Some(encode_refusal(&refusal))
}

/// Encodes a refusal as a complete HTTP response that announces the close of the connection.
pub fn encode_refusal(refusal: &Refusal) -> Bytes {
    let id = RequestId::random();
    let body = refusal.to_json(&id);
    let text = format!(
        "HTTP/1.1 {}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         connection: close\r\nx-run-state: {}\r\nx-request-id: {}\r\n\r\n{body}",
        refusal.status,
        body.len(),
        refusal.run_state.as_str(),
        id.as_str(),
    );
    Bytes::from(text)
}

/// The refusal of a request whose header block did not arrive within the timeout.
pub fn header_timeout_refusal() -> Refusal {
    Refusal::not_run(
        StatusCode::REQUEST_TIMEOUT,
        "header_timeout",
        "the header block did not arrive in time",
        "send the headers faster",
    )
}

/// The refusal of a request whose body is in a coding that only its connection states.
pub fn transfer_coding_refusal() -> Refusal {
    Refusal::not_run(
        StatusCode::NOT_IMPLEMENTED,
        "transfer_coding",
        "the transfer coding of the body is not supported",
        "send the body with a length or in chunks",
    )
}

/// The refusal of a connection beyond the maximum number of connections.
pub fn too_many_connections_refusal() -> Refusal {
    Refusal::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "too_many_connections",
        "too many connections are open",
        "reuse connections or retry later",
    )
}

/// Timeout for the caller to close its side of the connection.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of bytes discarded per read.
const DISCARD_BYTES: usize = 4096;

/// Shuts down the write side, then reads and discards input until the caller closes its side or the
/// timeout passes.
///
/// Closing a socket with unread input makes the system send RST, which can discard a response that
/// the caller has not read yet.
pub async fn lingering_close(mut stream: TcpStream) {
    use futures_lite::{AsyncReadExt, FutureExt};
    let _ = stream.shutdown(std::net::Shutdown::Write);
    let discard = async {
        let mut buffer = [0; DISCARD_BYTES];
        while let Ok(1..) = stream.read(&mut buffer).await {}
    };
    let limit = async {
        Timer::after(LINGER_TIMEOUT).await;
    };
    discard.or(limit).await;
}
