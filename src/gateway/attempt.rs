//! One attempt on one backend server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_ENCODING, HeaderMap};
use hyper::{Request, StatusCode};

use crate::control::load::LoadTicket;
use crate::decide::load::Report;
use crate::decide::registry::Registration;
use crate::edge::clock::Clock;
use crate::gateway::ask::Ask;
use crate::gateway::prompt_flight::PromptTicket;
use crate::gateway::protocol::{AnswerHead, AttemptHead};
use crate::gateway::reach::{Heard, while_reachable};
use crate::gateway::state::State;
use crate::http::lazy_timer::LazyTimer;
use crate::http::pool::{Connection, SendError};
use crate::http::raw_events::{RawEvent, RawEvents};
use crate::ids::RunState;
use crate::runtime::within;

/// Largest answer that is held until it is whole.
const BODY_MAX_BYTES: usize = 16 << 20;

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureKind {
    /// No connection could be opened, or nothing was sent on it.
    Connect,
    /// The server accepts no further connection.
    Crowded,
    /// The server fell silent and can no longer be reached.
    Silent,
    /// The connection broke after the request was sent.
    Broken,
    /// No answer came in time.
    Timeout,
    /// The answer is not one to this request.
    Foreign,
    /// The server states that it did not run the request.
    NotRun,
    /// Another server has the address.
    Misdirected,
}

impl FailureKind {
    /// Name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Connect => "connect",
            Self::Crowded => "crowded",
            Self::Silent => "silent",
            Self::Broken => "broken",
            Self::Timeout => "timeout",
            Self::Foreign => "foreign",
            Self::NotRun => "not_run",
            Self::Misdirected => "misdirected",
        }
    }

    /// Whether the server may have run the request.
    pub fn run_state(self) -> RunState {
        match self {
            Self::Connect | Self::Crowded | Self::NotRun | Self::Misdirected => RunState::NotRun,
            Self::Silent | Self::Broken | Self::Timeout | Self::Foreign => RunState::Unknown,
        }
    }

    /// Whether the server got the request.
    pub fn has_arrived(self) -> bool {
        !matches!(self, Self::Connect | Self::Crowded)
    }
}

/// Why an attempt gave no answer.
#[derive(Debug, Clone, thiserror::Error)]
#[error("{}: {reason}", kind.as_str())]
pub struct Failure {
    /// How it failed.
    pub kind: FailureKind,
    /// What happened, for people.
    pub reason: String,
}

impl Failure {
    fn new(kind: FailureKind, reason: impl ToString) -> Self {
        Self {
            kind,
            reason: reason.to_string(),
        }
    }
}

/// Content of an answer.
pub enum Content {
    /// A whole body.
    Whole(Bytes),
    /// A stream whose first event has arrived.
    Stream(Box<EventSource>),
}

/// A server's answer, or the begin of one.
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Content.
    pub content: Content,
}

/// Why a stream gives no further event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StreamBreak {
    /// No event came in time.
    #[error("no event came in time")]
    Stalled,
    /// The connection broke, or the stream ended within an event.
    #[error("the stream broke off")]
    Lost,
}

/// The events of a stream, from one server.
pub struct EventSource {
    /// The server.
    pub server: Registration,
    heard: Heard,
    clock: Arc<dyn Clock>,
    connection: Option<Connection>,
    body: Incoming,
    events: RawEvents,
    timer: LazyTimer,
    first: Option<RawEvent>,
    keep: Option<Duration>,
    _load: LoadTicket,
    _prompt: Option<PromptTicket>,
}

impl EventSource {
    /// The next event; none at the stream's end.
    pub async fn next(&mut self, wait: Duration) -> Result<Option<RawEvent>, StreamBreak> {
        if let Some(event) = self.first.take() {
            return Ok(Some(event));
        }
        loop {
            if let Some(event) = self.ready()? {
                return Ok(Some(event));
            }
            match self.timer.within(wait, self.body.frame()).await {
                None => return Err(StreamBreak::Stalled),
                Some(None) if self.events.is_empty() => return Ok(None),
                Some(None | Some(Err(_))) => return Err(StreamBreak::Lost),
                Some(Some(Ok(frame))) => {
                    self.heard.note(self.clock.monotonic_ms());
                    if let Some(bytes) = frame.data_ref() {
                        self.events.push(bytes);
                    }
                }
            }
        }
    }

    /// A further event that has arrived already.
    pub fn ready(&mut self) -> Result<Option<RawEvent>, StreamBreak> {
        self.events.next_event().map_err(|_| StreamBreak::Lost)
    }

    /// Gives the connection back after the stream's end.
    pub fn close(mut self, state: &State) {
        if let Some(connection) = self.connection.take() {
            give_back(state, &self.server, connection, self.keep);
        }
    }
}

/// A connection that the server closes soon is used no more: a request could cross the close.
const KEEP_MARGIN: Duration = Duration::from_millis(700);
/// Time for which a connection is kept where the server states none.
const KEEP_DEFAULT: Duration = Duration::from_secs(4);

fn give_back(state: &State, server: &Registration, connection: Connection, keep: Option<Duration>) {
    let keep = keep.map_or(KEEP_DEFAULT, |keep| keep.saturating_sub(KEEP_MARGIN));
    let most = state.idle_max(&server.service);
    state
        .pool
        .give_back_for(server.address, connection, keep, most);
}

/// Limits of one attempt.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Longest wait for the answer's head or a stream's first event.
    pub first_ms: u64,
    /// Time left until the request's deadline.
    pub left_ms: u64,
    /// The last event that the caller has got.
    pub last_event: Option<u64>,
    /// Server from which shared prompt parts are fetched.
    pub fetch_from: Option<SocketAddr>,
}

/// Runs one attempt.
pub async fn run(
    state: &State,
    ask: &Ask,
    server: &Registration,
    limits: Limits,
) -> Result<Answer, Failure> {
    let load_ticket = state.load.start_request(&server.id);
    let prompt_ticket = ask.prompt.map(|p| state.prompts.start(p.shared_hash));
    let request = encode(state, ask, server, limits)?;
    let first = Duration::from_millis(limits.first_ms);
    let late = || Failure::new(FailureKind::Timeout, "no answer in time");
    let started_ms = state.now_ms();
    let heard = state.reach.heard(&server.id);
    let silent = |_| Failure::new(FailureKind::Silent, "the server can no longer be reached");
    let sending = within(first, state.pool.send(server.address, request));
    let sent = while_reachable(state, server, sending)
        .await
        .map_err(silent)?;
    let (response, connection) = sent.ok_or_else(late)?.map_err(|error| match error {
        SendError::NotSent(reason) => Failure::new(FailureKind::Connect, reason),
        SendError::Crowded => Failure::new(FailureKind::Crowded, error),
        SendError::Broken(error) => Failure::new(FailureKind::Broken, error),
    })?;
    heard.note(state.now_ms());
    let (head, body) = response.into_parts();
    let told = state.backends.decode(&ask.id, head.status, &head.headers);
    // A server that declines a request tells its load too.
    note_load(state, server, &told);
    check(&told, &head.headers)?;
    let is_event_stream = ask.route.is_stream && head.status.is_success();
    let content = match is_event_stream {
        true => {
            let mut source = EventSource {
                server: server.clone(),
                heard,
                clock: Arc::clone(&state.clock),
                connection: Some(connection),
                body,
                events: RawEvents::default(),
                timer: LazyTimer::default(),
                first: None,
                keep: told.keep,
                _load: load_ticket,
                _prompt: prompt_ticket,
            };
            let waited_ms = state.now_ms().saturating_sub(started_ms);
            let rest = Duration::from_millis(limits.first_ms.saturating_sub(waited_ms));
            let next = while_reachable(state, server, source.next(rest)).await;
            source.first = next.map_err(silent)?.map_err(|cause| match cause {
                StreamBreak::Stalled => late(),
                StreamBreak::Lost => Failure::new(FailureKind::Broken, cause),
            })?;
            Content::Stream(Box::new(source))
        }
        false => {
            let waited_ms = state.now_ms().saturating_sub(started_ms);
            let rest = Duration::from_millis(limits.left_ms.saturating_sub(waited_ms));
            let reading = within(rest, whole(body));
            let read = while_reachable(state, server, reading)
                .await
                .map_err(silent)?;
            let bytes = read.ok_or_else(late)??;
            give_back(state, server, connection, told.keep);
            Content::Whole(bytes)
        }
    };
    Ok(Answer {
        status: head.status,
        headers: head.headers,
        content,
    })
}

fn encode(
    state: &State,
    ask: &Ask,
    server: &Registration,
    limits: Limits,
) -> Result<Request<Full<Bytes>>, Failure> {
    let attempt = AttemptHead {
        server: &server.id,
        address: server.address,
        team: ask.team.as_ref(),
        left_ms: limits.left_ms,
        priority: ask.prompt.map(|_| ask.priority),
        last_event: limits.last_event,
        fetch_from: limits.fetch_from,
    };
    let request = Request::builder()
        .method(ask.method.clone())
        .uri(&ask.path)
        .body(Full::new(ask.body.clone()));
    let mut request = request.map_err(|error| Failure::new(FailureKind::Connect, error))?;
    *request.headers_mut() = state.backends.encode(&ask.headers, &attempt);
    Ok(request)
}

/// Refuses an answer that is none to this request.
fn check(told: &AnswerHead, headers: &HeaderMap) -> Result<(), Failure> {
    let failed = |kind, reason: &str| Err(Failure::new(kind, reason));
    if told.is_misdirected {
        return failed(FailureKind::Misdirected, "another server has the address");
    }
    if told.is_not_run {
        return failed(FailureKind::NotRun, "the server did not run it");
    }
    if !told.is_own {
        return failed(
            FailureKind::Foreign,
            "the answer belongs to another request",
        );
    }
    if headers.contains_key(CONTENT_ENCODING) {
        return failed(
            FailureKind::Foreign,
            "the answer is encoded, which nobody asked for",
        );
    }
    if !told.is_genuine {
        return failed(FailureKind::Foreign, "the answer is not signed by a server");
    }
    Ok(())
}

fn note_load(state: &State, server: &Registration, told: &AnswerHead) {
    let Some(load) = told.load.filter(|_| !told.is_misdirected) else {
        return;
    };
    let report = Report {
        incarnation: server.incarnation,
        held: load.running + load.waiting,
        slots: load.slots,
        as_of_ms: state.now_ms(),
    };
    state.load.apply_report(&server.id, report);
}

async fn whole(mut body: Incoming) -> Result<Bytes, Failure> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| Failure::new(FailureKind::Broken, error))?;
        if let Some(part) = frame.data_ref() {
            bytes.extend_from_slice(part);
        }
        if bytes.len() > BODY_MAX_BYTES {
            let reason = format!("the answer is larger than {BODY_MAX_BYTES} bytes");
            return Err(Failure::new(FailureKind::Foreign, reason));
        }
    }
    Ok(bytes.freeze())
}
