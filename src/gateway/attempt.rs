//! One attempt to get a response from one backend server.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_ENCODING, CONTENT_LENGTH, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Method, Request, StatusCode};

use crate::decide::allowance::HOLD_MS;
use crate::decide::load::Report;
use crate::decide::memory_budget::Purpose;
use crate::decide::memory_plan::{EXTENDED_BODY_MIN_BYTES, response_bytes};
use crate::decide::pause::Pause;
use crate::decide::registry::Registration;
use crate::gateway::event_source::{EventSource, StreamError, return_to_pool};
use crate::gateway::protocol::{AttemptHead, LimitNotice, LoadReport, ResponseHead};
use crate::gateway::reachability::{LastActivity, probe_while_silent};
use crate::gateway::routed_request::RoutedRequest;
use crate::gateway::state::State;
use crate::http::body_reader::BodyBuffer;
use crate::http::event_wait::EventWait;
use crate::http::framing;
use crate::http::lazy_timer::LazyTimer;
use crate::http::memory::MemoryShare;
use crate::http::pool::{Connection, SendError};
use crate::http::raw_events::RawEventDecoder;
use crate::ids::RunState;
use crate::runtime::with_timeout;

/// Largest response that is buffered until it is complete.
const RESPONSE_MAX_BYTES: usize = 16 << 20;

/// Kind of an attempt's failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureKind {
    /// No connection could be opened, or nothing was sent on it.
    Connect,
    /// The server accepts no further connections.
    ConnectionLimit,
    /// This process lacks what a connection needs, such as a file descriptor.
    NoResources,
    /// The server announced its leaving, or asked for a pause, before the request was written.
    Withheld,
    /// The connection broke after the request was sent.
    Broken,
    /// No response arrived in time.
    Timeout,
    /// The response does not belong to this request or is not valid.
    Foreign,
    /// The server states that it did not run the request.
    NotRun,
    /// Another server answered at the address.
    Misdirected,
}

impl FailureKind {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Connect => "connect",
            // Logs and metrics keep the label `crowded`.
            Self::ConnectionLimit => "crowded",
            Self::NoResources => "no_resources",
            Self::Withheld => "withheld",
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
            Self::Connect
            | Self::ConnectionLimit
            | Self::NoResources
            | Self::Withheld
            | Self::NotRun
            | Self::Misdirected => RunState::NotRun,
            Self::Broken | Self::Timeout | Self::Foreign => RunState::Unknown,
        }
    }

    /// Whether the request may have been delivered to a server.
    pub fn is_delivered(self) -> bool {
        !matches!(
            self,
            Self::Connect | Self::ConnectionLimit | Self::NoResources | Self::Withheld
        )
    }
}

/// Failure of an attempt without a usable response.
#[derive(Debug, Clone, thiserror::Error)]
#[error("{}: {reason}", kind.as_str())]
pub struct Failure {
    /// Kind of the failure, which decides about retries.
    pub kind: FailureKind,
    /// Cause, for the log.
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

/// Body of a response.
pub enum ResponseBody {
    /// A complete body.
    Complete(Bytes),
    /// A stream whose first event has arrived.
    Stream(Box<EventSource>),
}

/// A server's response: complete, or a stream that has begun.
pub struct ServerResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers as received from the server.
    pub headers: HeaderMap,
    /// Complete body, or the stream of events.
    pub body: ResponseBody,
}

/// Limits of one attempt.
#[derive(Debug, Clone, Copy)]
pub struct AttemptLimits {
    /// Time left until the request's deadline.
    pub remaining_ms: u64,
    /// Number of the last event that the caller has received.
    pub last_event: Option<u64>,
    /// Time, including suspended time, at which the units of the server's limits were taken.
    pub taken_ms: u64,
    /// Address of the server from which shared prompt parts are fetched.
    pub fetch_source: Option<SocketAddr>,
}

/// Sends the request to one server, and reads its response up to the end, or up to the first event
/// of a stream. Records in `progress` when a whole response began or went on.
pub async fn send(
    state: &State,
    routed: &RoutedRequest,
    server: &Registration,
    limits: AttemptLimits,
    progress: &LastActivity,
) -> Result<ServerResponse, Failure> {
    // Dropped after the ticket, since it offers the place to a waiting request.
    let run_guard = state.queues.start_run(&routed.service);
    let load_ticket = state.load.start_request(&server.id);
    let prompt_guard = routed
        .prompt
        .map(|p| state.prompts_in_flight.start(p.shared_hash));
    let bytes_ticket = state.server_bytes.try_start(
        &server.id,
        routed.body.len(),
        state.settings().server_body_max_bytes,
    );
    let bytes_ticket = bytes_ticket.ok_or_else(|| {
        let reason = "the server holds as many bytes of requests as it may from this router";
        Failure::new(FailureKind::Withheld, reason)
    })?;
    let mut memory = state.memory.share(Purpose::Response);
    if !memory.try_reserve(response_bytes(0)) {
        let reason = "there is no memory for the response";
        return Err(Failure::new(FailureKind::NoResources, reason));
    }
    let request = encode(state, routed, server, limits)?;
    let remaining = Duration::from_millis(limits.remaining_ms);
    let timed_out = || Failure::new(FailureKind::Timeout, "no response in time");
    let started_ms = state.now_ms();
    let last_activity = state.reachability.last_activity(&server.id);
    let sending = with_timeout(remaining, {
        // The units of the server's limits may have ended while the request was encoded, a connection
        // was opened or the process was paused.
        let has_unit = move || {
            let held_ms = state.clock.boot_ms().saturating_sub(limits.taken_ms);
            held_ms <= HOLD_MS || state.take_limit(server)
        };
        let may_send = move || state.accepts_requests(server) && has_unit();
        state.pool.send_if(server.address, request, may_send)
    });
    let outcome = probe_while_silent(state, server, sending).await;
    let (response, mut connection) =
        outcome
            .ok_or_else(timed_out)?
            .map_err(|error| match error {
                SendError::NotSent(reason) => Failure::new(FailureKind::Connect, reason),
                SendError::ConnectionLimit => Failure::new(FailureKind::ConnectionLimit, error),
                SendError::NoResources(_) => Failure::new(FailureKind::NoResources, error),
                SendError::Withheld => Failure::new(FailureKind::Withheld, error),
                // The server responds, so that it has not crashed.
                SendError::Broken(error) if error.is_parse() => {
                    Failure::new(FailureKind::Foreign, error)
                }
                SendError::Broken(error) => Failure::new(FailureKind::Broken, error),
            })?;
    last_activity.record(state.now_ms());
    let (head, body) = response.into_parts();
    if !framing::is_valid_status(head.status) {
        let reason = format!("the response has the status {}", head.status.as_u16());
        return Err(Failure::new(FailureKind::Foreign, reason));
    }
    let mut response_head = state
        .backends
        .decode(&routed.id, head.status, &head.headers);
    // Without an id, a late second response to an earlier request on the connection, such as a
    // refusal, cannot be told from the response to this one. Connections are kept by address, so
    // that another server there may answer 421 on one that has carried requests of its own.
    response_head.has_other_id |= !response_head.has_matching_id
        && !response_head.is_misdirected
        && !connection.is_first_response();
    // A server that declines a request reports its load, too.
    let is_success = head.status.is_success() && response_head.has_matching_id;
    record_notice(
        state,
        routed,
        server,
        &response_head,
        started_ms,
        is_success,
    );
    validate_response(&response_head, &head)?;
    let is_event_stream = routed.route.is_stream && is_event_stream(&routed.method, &head);
    let body = match is_event_stream {
        true => {
            let mut source = EventSource {
                server: server.clone(),
                last_activity,
                clock: Arc::clone(&state.clock),
                connection: Some(connection),
                body,
                events: RawEventDecoder::default(),
                timer: LazyTimer::default(),
                first: VecDeque::new(),
                read_ahead: None,
                memory,
                keep_alive: response_head.keep_alive,
                open: None,
                _load: load_ticket,
                _bytes: bytes_ticket,
                _prompt: prompt_guard,
                _run: run_guard,
            };
            let elapsed_ms = state.now_ms().saturating_sub(started_ms);
            let wait = EventWait::until(limits.remaining_ms.saturating_sub(elapsed_ms));
            let first = probe_while_silent(state, server, source.read_first(wait)).await;
            first.map_err(|cause| match cause {
                StreamError::Stalled => timed_out(),
                StreamError::Broken | StreamError::NotResumed => {
                    Failure::new(FailureKind::Broken, cause)
                }
            })?;
            ResponseBody::Stream(Box::new(source))
        }
        false => {
            let elapsed_ms = state.now_ms().saturating_sub(started_ms);
            let remaining = Duration::from_millis(limits.remaining_ms.saturating_sub(elapsed_ms));
            let record = |now_ms| {
                progress.record(now_ms);
                last_activity.record(now_ms);
            };
            record(state.now_ms());
            let reading = read_body(body, &mut connection, memory, || record(state.now_ms()));
            let reading = with_timeout(remaining, reading);
            let read = probe_while_silent(state, server, reading).await;
            let bytes = read.ok_or_else(timed_out)??;
            return_to_pool(state, server, connection, response_head.keep_alive);
            ResponseBody::Complete(bytes)
        }
    };
    Ok(ServerResponse {
        status: head.status,
        headers: head.headers,
        body,
    })
}

fn encode(
    state: &State,
    routed: &RoutedRequest,
    server: &Registration,
    limits: AttemptLimits,
) -> Result<Request<Full<Bytes>>, Failure> {
    let attempt = AttemptHead {
        server: &server.id,
        address: server.address,
        team: routed.team.as_ref(),
        remaining_ms: limits.remaining_ms,
        priority: routed.prompt.map(|_| routed.priority),
        last_event: limits.last_event,
        fetch_source: limits.fetch_source,
    };
    let request = Request::builder()
        .method(routed.method.clone())
        .uri(&routed.path)
        .body(Full::new(routed.body.clone()));
    let mut request = request.map_err(|error| Failure::new(FailureKind::Connect, error))?;
    let mut headers = state.backends.encode(&routed.headers, &attempt);
    let declares_body = [CONTENT_LENGTH, TRANSFER_ENCODING];
    if declares_body
        .iter()
        .any(|name| routed.headers.contains_key(name))
    {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(routed.body.len()));
    }
    *request.headers_mut() = headers;
    Ok(request)
}

/// Whether a response on the route of a stream is one. Any other has a body that is passed on whole:
/// a part of a representation and responses without a body cannot be resumed, nor can other types.
fn is_event_stream(method: &Method, head: &Parts) -> bool {
    let has_whole_body = matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::RESET_CONTENT | StatusCode::PARTIAL_CONTENT
    );
    let media_type = framing::media_type(&head.headers);
    head.status.is_success()
        && !has_whole_body
        && *method != Method::HEAD
        && media_type.is_none_or(|media_type| media_type == "text/event-stream")
}

/// Fails unless the response is a valid one to this request.
fn validate_response(response_head: &ResponseHead, head: &Parts) -> Result<(), Failure> {
    let failed = |kind, reason: &str| Err(Failure::new(kind, reason));
    // A late second copy of an earlier refusal says nothing of this request.
    if response_head.has_other_id {
        return failed(
            FailureKind::Foreign,
            "the response belongs to another request",
        );
    }
    if response_head.is_misdirected {
        return failed(
            FailureKind::Misdirected,
            "another server answered at the address",
        );
    }
    if response_head.notice.is_not_run {
        return failed(FailureKind::NotRun, "the server did not run it");
    }
    if !response_head.has_matching_id {
        return failed(
            FailureKind::Foreign,
            "the response belongs to another request",
        );
    }
    if head.status.is_informational() {
        return failed(
            FailureKind::Foreign,
            "the server changed to a protocol that was not requested",
        );
    }
    if framing::is_transfer_coded(&head.headers) {
        return failed(
            FailureKind::Foreign,
            "the response has a transfer coding that was not requested",
        );
    }
    if head.headers.contains_key(CONTENT_ENCODING) {
        return failed(
            FailureKind::Foreign,
            "the response has a content encoding that was not requested",
        );
    }
    if !response_head.is_signed {
        return failed(
            FailureKind::Foreign,
            "the response is not signed by a server",
        );
    }
    Ok(())
}

/// Records what the server says of itself. A response of another server says nothing about it, and
/// one to another request may be late.
fn record_notice(
    state: &State,
    routed: &RoutedRequest,
    server: &Registration,
    response_head: &ResponseHead,
    sent_ms: u64,
    is_success: bool,
) {
    if response_head.is_misdirected || response_head.has_other_id {
        return;
    }
    let notice = &response_head.notice;
    if notice.is_leaving {
        state.record_leaving(server, &routed.id);
    }
    match notice.limit {
        LimitNotice::PerSecond(limit_per_s) => {
            state.record_limit(server, Some(limit_per_s), state.now_ms());
        }
        // Servers name their limits in responses to requests that they have run.
        LimitNotice::Absent if is_success && response_head.is_signed => {
            state.record_limit(server, None, sent_ms);
        }
        LimitNotice::Absent | LimitNotice::Unreadable => {}
    }
    // A pause of 0 is a refusal without a pause.
    if let Some(pause_ms) = notice.pause_ms.filter(|pause_ms| *pause_ms > 0) {
        state.metrics.count_notice("pause");
        let now_ms = state.now_ms();
        let pause = Pause::new(server.incarnation, pause_ms, rand::random(), now_ms);
        state
            .reachability
            .record_pause(server, pause, &routed.id, now_ms);
    }
    if let Some(cold_ms) = notice.cold_ms {
        state.record_cold_response(server, cold_ms, sent_ms);
    }
    if let Some(load) = notice.load {
        record_load(state, server, load);
    }
}

fn record_load(state: &State, server: &Registration, load: LoadReport) {
    let report = Report {
        incarnation: server.incarnation,
        held: load.running.saturating_add(load.waiting),
        slots: load.slots,
        as_of_ms: state.now_ms(),
    };
    state.load.apply_report(&server.id, report);
    if let Some(percent) = load.speed_percent {
        state.load.record_speed(&server.id, percent);
    }
    if report.held < report.slots {
        state.queues.offer_next(&server.service);
    }
}

/// Reads a whole body; calls `on_data` whenever a part of it arrives.
async fn read_body<D>(
    mut body: Incoming,
    connection: &mut Connection,
    mut memory: MemoryShare,
    on_data: D,
) -> Result<Bytes, Failure>
where
    D: Fn(),
{
    let mut buffer = BodyBuffer::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| Failure::new(FailureKind::Broken, error))?;
        let Some(part) = frame.data_ref() else {
            continue;
        };
        let length = buffer.len() + part.len();
        if length > RESPONSE_MAX_BYTES {
            let reason = format!("the response is larger than {RESPONSE_MAX_BYTES} bytes");
            return Err(Failure::new(FailureKind::Foreign, reason));
        }
        if !memory.try_hold(response_bytes(length)) {
            let reason =
                format!("the response has {length} bytes, and the memory for responses is used up");
            return Err(Failure::new(FailureKind::Foreign, reason));
        }
        buffer.push(part, RESPONSE_MAX_BYTES);
        if length >= EXTENDED_BODY_MIN_BYTES {
            connection.extend_receive_buffer();
        }
        on_data();
    }
    // The share is held until the caller has received the bytes, however slowly it reads.
    Ok(buffer.into_held_bytes(memory))
}
