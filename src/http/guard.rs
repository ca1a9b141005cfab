//! Watches one caller connection: how long it idles, how slowly it sends or reads, and which
//! bytes hyper writes on its own.
//!
//! hyper answers a request that it cannot parse itself, with an empty body. The guard puts a
//! refusal with the project's error JSON in the place of such an answer.

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

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Nothing of a request has come.
    Idle,
    /// A part of a header block has come.
    Head,
    /// A request is with its handler, or its answer is being produced.
    Answering,
    /// The answer was produced and is in hyper's buffer.
    Draining,
}

/// Why a connection is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expiry {
    /// No request came.
    IdleTimeout,
    /// A header block did not come whole.
    HeaderTimeout,
    /// The caller does not read its answer.
    SlowReader,
}

#[derive(Debug)]
struct State {
    phase: Phase,
    since: Instant,
    blocked_since: Option<Instant>,
}

/// Progress of one connection, shared by its socket, its answers and its watchdog.
#[derive(Debug, Clone)]
pub struct ConnectionProgress {
    state: Arc<Mutex<State>>,
}

impl ConnectionProgress {
    /// Progress of a connection that was just accepted.
    pub fn open() -> Self {
        Self {
            state: Arc::new(Mutex::new(State {
                phase: Phase::Idle,
                since: Instant::now(),
                blocked_since: None,
            })),
        }
    }

    fn enter(&self, from: Phase, to: Phase) {
        let mut state = self.state.lock();
        if state.phase == from {
            state.phase = to;
            state.since = Instant::now();
        }
    }

    /// A whole header block came.
    pub fn begin_request(&self) {
        self.state.lock().phase = Phase::Answering;
    }

    /// Whether bytes written now can only be hyper's own.
    fn is_outside_request(&self) -> bool {
        matches!(self.state.lock().phase, Phase::Idle | Phase::Head)
    }

    fn note_write(&self, is_blocked: bool) {
        let mut state = self.state.lock();
        match (is_blocked, state.blocked_since) {
            (true, None) => state.blocked_since = Some(Instant::now()),
            (false, Some(_)) => state.blocked_since = None,
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
            Phase::Answering | Phase::Draining => state
                .blocked_since
                .map(|since| (since + limits.idle_timeout.get(), Expiry::SlowReader)),
        }
    }

    /// Ends when the connection has outlived one of its limits.
    ///
    /// Must be polled by the task that polls the connection: every change of progress
    /// happens in that task, so it is seen without a wake-up of its own. The timer is only
    /// set anew for an earlier deadline, which spares a change of timers for each request.
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

/// Body of an answer that tells the guard when it was sent or dropped.
#[derive(Debug)]
pub struct TrackedBody {
    body: Body,
    progress: ConnectionProgress,
}

impl TrackedBody {
    /// Ties a body to the progress of its connection.
    pub fn new(body: Body, progress: ConnectionProgress) -> Self {
        Self { body, progress }
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.progress.enter(Phase::Answering, Phase::Draining);
    }
}

impl HttpBody for TrackedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The socket of a caller.
#[derive(Debug)]
pub struct CallerIo {
    socket: Socket,
    progress: ConnectionProgress,
    refusal: Option<Bytes>,
}

impl CallerIo {
    /// Guards a socket.
    pub fn new(stream: TcpStream, progress: ConnectionProgress) -> Self {
        Self {
            socket: Socket::new(stream),
            progress,
            refusal: None,
        }
    }

    /// Sends the rest of a refusal.
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
            self.progress.enter(Phase::Idle, Phase::Head);
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
            self.refusal = parse_refusal(buffer);
        }
        if self.refusal.is_some() {
            ready!(self.poll_refusal(cx))?;
            return Poll::Ready(Ok(buffer.len()));
        }
        let written = Pin::new(&mut self.socket).poll_write(cx, buffer);
        self.progress.note_write(written.is_pending());
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.socket).poll_flush(cx))?;
        // hyper flushes the socket only once its own buffer is empty.
        self.progress.enter(Phase::Draining, Phase::Idle);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

/// The refusal that takes the place of hyper's own answer.
fn parse_refusal(head: &[u8]) -> Option<Bytes> {
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

/// A refusal as the bytes of a whole answer that closes its connection.
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

/// The refusal of a header block that came too slowly.
pub fn header_timeout_refusal() -> Refusal {
    Refusal::not_run(
        StatusCode::REQUEST_TIMEOUT,
        "header_timeout",
        "the header block did not arrive in time",
        "send the headers faster",
    )
}

/// The refusal of a connection over the limit.
pub fn too_many_connections_refusal() -> Refusal {
    Refusal::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "too_many_connections",
        "too many connections are open",
        "reuse connections or retry later",
    )
}

/// Longest wait for a caller to close its side.
const LINGER: Duration = Duration::from_secs(1);
/// Bytes discarded at once while waiting.
const DISCARD_BYTES: usize = 4096;

/// Ends our side and reads what the caller still sends, within a time limit.
///
/// A close with unread input makes the system send RST, which can destroy an answer that
/// the caller has not read yet.
pub async fn lingering_close(mut stream: TcpStream) {
    use futures_lite::{AsyncReadExt, FutureExt};
    let _ = stream.shutdown(std::net::Shutdown::Write);
    let discard = async {
        let mut buffer = [0; DISCARD_BYTES];
        while let Ok(1..) = stream.read(&mut buffer).await {}
    };
    let limit = async {
        Timer::after(LINGER).await;
    };
    discard.or(limit).await;
}
