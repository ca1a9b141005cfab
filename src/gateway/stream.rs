//! Response streams: complete events, in order and once each, from one server or, after a failure,
//! from several.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures_util::stream::unfold;
use http_body_util::{BodyExt, StreamBody};
use hyper::StatusCode;
use hyper::body::Frame;

use crate::gateway::attempt::ResponseBody;
use crate::gateway::attempts::{may_repeat, run_attempts};
use crate::gateway::crash;
use crate::gateway::event_source::{EventSource, StreamError};
use crate::gateway::reachability::probe_while_silent;
use crate::gateway::routed_request::{AttemptHistory, RoutedRequest};
use crate::gateway::state::{InFlightGuard, State};
use crate::http::event_wait::EventWait;
use crate::http::raw_events::RawEvent;
use crate::http::{Body, BodyError};

/// Number of allowed gaps between events after which a stream is resumed at another server. One
/// such gap makes the stream late, and callers leave after eight.
const STALL_GAPS: u64 = 4;
/// Time after the first event for which a server goes on with an answer that its prompt does not
/// crash. Servers with a part that crashes them end within 110 ms.
const ANSWER_MIN_MS: u64 = 300;
/// Allowed gap between events if the route sets none.
const GAP_DEFAULT_MS: u64 = 1_000;

/// What a run that goes on with an earlier one has sent.
#[derive(Debug, Clone, Copy, Default)]
struct ResumedRun {
    /// Highest id of its events.
    highest_id: Option<u64>,
}

/// A stream in progress between servers and a caller.
struct StreamRelay {
    state: Arc<State>,
    routed: RoutedRequest,
    history: AttemptHistory,
    source: Option<EventSource>,
    last_event: Option<u64>,
    /// Whether an event with data and without an id came after the last id, so that no other run
    /// can go on where this one breaks.
    has_unnumbered: bool,
    /// The current run, if it goes on with an earlier one.
    resumed: Option<ResumedRun>,
    /// Error of the current run that was found among received events, after those delivered last.
    failure: Option<StreamError>,
    /// Time of the last event with data, or of the last recovery.
    progress_ms: u64,
    /// Time of the first event of the current server.
    begun_ms: u64,
    /// Whether the current server has gone on with the answer for `ANSWER_MIN_MS`, or ended it.
    has_answered: bool,
    events: u64,
    /// Bytes passed to the connection with the caller.
    bytes: u64,
    first: FirstHead,
    outcome: &'static str,
    _in_flight: InFlightGuard,
}

/// What the head of a stream's first response says, which the caller receives.
#[derive(Debug, Clone, Copy)]
pub struct FirstHead {
    /// Its status.
    pub status: StatusCode,
    /// Length that the first server declared for its body; a resumed stream may have another one.
    pub declared_bytes: Option<u64>,
}

/// Opens the body of a stream that began with this head and whose first events come from `source`.
pub fn open(
    state: Arc<State>,
    routed: RoutedRequest,
    history: AttemptHistory,
    source: EventSource,
    first: FirstHead,
) -> Body {
    let relay = StreamRelay {
        _in_flight: state.track_request(),
        last_event: routed.last_event,
        has_unnumbered: false,
        resumed: None,
        failure: None,
        progress_ms: state.now_ms(),
        begun_ms: state.now_ms(),
        has_answered: false,
        events: 0,
        bytes: 0,
        first,
        outcome: "caller_gone",
        source: Some(source),
        state,
        routed,
        history,
    };
    let parts = unfold(Some(relay), |relay| async {
        let mut relay = relay?;
        match relay.next().await {
            Ok(Some(bytes)) => {
                relay.bytes += bytes.len() as u64;
                Some((Ok(Frame::data(bytes)), Some(relay)))
            }
            Ok(None) => None,
            Err(error) => Some((Err(error), None)),
        }
    });
    StreamBody::new(parts).boxed_unsync()
}

impl StreamRelay {
    /// Returns the next events, joined; `None` at the end of the stream.
    async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        loop {
            if let Some(cause) = self.failure.take() {
                self.recover(cause).await?;
                self.progress_ms = self.state.now_ms();
            }
            let Some(source) = &mut self.source else {
                return Ok(None);
            };
            let remaining_ms = self.routed.remaining_ms(self.state.now_ms());
            if remaining_ms == 0 {
                self.outcome = "timed_out";
                return Err(BodyError::Incomplete(
                    "the deadline of the stream has passed",
                ));
            }
            let now_ms = self.state.now_ms();
            let without_progress_ms = now_ms.saturating_sub(self.progress_ms);
            let wait = EventWait {
                stall_ms: stall_timeout_ms(&self.routed).saturating_sub(without_progress_ms),
                total_ms: remaining_ms,
            };
            let server = source.server.clone();
            let next = source.next_event(wait);
            match probe_while_silent(&self.state, &server, next).await {
                Ok(Some(event)) => {
                    let now_ms = self.state.now_ms();
                    if event.is_progress() {
                        self.progress_ms = now_ms;
                    }
                    if now_ms >= self.begun_ms + ANSWER_MIN_MS {
                        self.record_answer(now_ms);
                    }
                    if let Some(bytes) = self.join_buffered(event) {
                        return Ok(Some(bytes));
                    }
                }
                Ok(None) if self.is_behind() => self.failure = Some(StreamError::NotResumed),
                Ok(None) => {
                    self.outcome = "complete";
                    if let Some(source) = self.source.take() {
                        let fingerprint = self.routed.fingerprint;
                        self.state.record_completion(fingerprint, &server.id);
                        self.record_answer(self.state.now_ms());
                        source.release_connection(&self.state);
                    }
                    return Ok(None);
                }
                Err(cause) => self.failure = Some(cause),
            }
        }
    }

    /// Whether the current run sent events again, but none up to the last one that the caller has: it
    /// counts anew and did not go on there.
    fn is_behind(&self) -> bool {
        let highest_id = self.resumed.and_then(|run| run.highest_id);
        highest_id.is_some() && highest_id < self.last_event
    }

    /// Records that no part of the prompt crashes each server that begins to answer.
    fn record_answer(&mut self, now_ms: u64) {
        if !self.has_answered {
            self.has_answered = true;
            let parts = &self.routed.prompt_parts;
            self.state.strikes.record_answer(parts, now_ms);
        }
    }

    /// Joins an event with those already received after it; `None` if the caller has all of them.
    fn join_buffered(&mut self, event: RawEvent) -> Option<Bytes> {
        let mut joined = BytesMut::new();
        let mut single = None;
        let mut next = Some(event);
        while let Some(event) = next {
            if self.resumed.is_some() && event.id.is_none() && event.is_progress() {
                self.failure = Some(StreamError::NotResumed);
                break;
            }
            if self.is_new(&event) {
                self.events += 1;
                match single.take() {
                    None if joined.is_empty() => single = Some(event.bytes),
                    None => joined.extend_from_slice(&event.bytes),
                    Some(first) => {
                        let first: Bytes = first;
                        joined.extend_from_slice(&first);
                        joined.extend_from_slice(&event.bytes);
                    }
                }
            }
            let source = self.source.as_mut()?;
            // An error in the following data is reported again by the next read.
            next = source.buffered_event().ok().flatten();
        }
        single.or_else(|| (!joined.is_empty()).then(|| joined.freeze()))
    }

    /// Records an event's number; false if the event was delivered before.
    fn is_new(&mut self, event: &RawEvent) -> bool {
        let Some(id) = event.id else {
            self.has_unnumbered |= event.is_progress();
            return true;
        };
        self.has_unnumbered = false;
        if let Some(run) = &mut self.resumed {
            run.highest_id = run.highest_id.max(Some(id));
        }
        let is_new = self.last_event.is_none_or(|last| id > last);
        if is_new {
            self.last_event = Some(id);
        }
        is_new
    }

    /// Resumes the stream at another server after an error, if the route allows it.
    async fn recover(&mut self, cause: StreamError) -> Result<(), BodyError> {
        let registration = self.source.as_ref().map(|source| source.server.clone());
        let server = registration.as_ref().map(|server| server.id.clone());
        if let Some(registration) = registration.filter(|_| cause == StreamError::Broken) {
            let sent_ms = self.history.last_sent_ms;
            let (state, routed) = (&self.state, &self.routed);
            crash::check(state, routed, &registration, sent_ms, self.has_answered).await;
        }
        let can_resume = self.routed.route.can_resume
            && !self.has_unnumbered
            && may_repeat(&self.state, &self.routed, &self.history);
        log::info!(
            "event=stream_broken id={} server={} cause=\"{cause}\" last_event={} resumes={can_resume}",
            self.routed.id,
            server.as_ref().map_or("-", |server| server.as_str()),
            self.last_event.unwrap_or(0),
        );
        if !can_resume && cause == StreamError::Stalled {
            // The server may still continue, and no other server may take over.
            return Ok(());
        }
        // Dropping the source closes the connection, so that the server stops its work.
        self.source = None;
        if let Some(server) = &server {
            let now_ms = self.state.now_ms();
            self.state.reachability.record_outcome(server, true, now_ms);
        }
        if !can_resume {
            self.outcome = "broken";
            return Err(BodyError::Incomplete("the server interrupted the stream"));
        }
        let resumed = run_attempts(
            &self.state,
            &self.routed,
            &mut self.history,
            self.last_event,
        )
        .await;
        match resumed.map(|response| (response.status, response.body)) {
            Ok((status, ResponseBody::Stream(source))) if status == self.first.status => {
                self.source = Some(*source);
                self.resumed = Some(ResumedRun::default());
                self.begun_ms = self.state.now_ms();
                self.has_answered = false;
                Ok(())
            }
            Ok((status, _)) => {
                log::info!(
                    "event=resume_refused id={} server={} status={} first_status={}",
                    self.routed.id,
                    self.history.servers.last().map_or("-", |s| s.as_str()),
                    status.as_u16(),
                    self.first.status.as_u16(),
                );
                self.outcome = "resume_refused";
                Err(BodyError::Incomplete("no server resumed the stream"))
            }
            Err(rejection) => {
                self.outcome = rejection.code();
                Err(BodyError::Incomplete("no server resumed the stream"))
            }
        }
    }
}

fn stall_timeout_ms(routed: &RoutedRequest) -> u64 {
    STALL_GAPS * routed.route.gap_target_ms.unwrap_or(GAP_DEFAULT_MS)
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        self.state.metrics.count_stream(self.outcome, self.events);
        let declared_bytes = self.first.declared_bytes.map(|bytes| bytes.to_string());
        log::info!(
            "event=streamed id={} route={} service={} server={} outcome={} events={} bytes={} \
             declared_bytes={} sends={} ms={}",
            self.routed.id,
            self.routed.route.name,
            self.routed.service,
            self.history.servers.last().map_or("-", |s| s.as_str()),
            self.outcome,
            self.events,
            self.bytes,
            declared_bytes.as_deref().unwrap_or("-"),
            self.history.servers.len(),
            self.state.now_ms().saturating_sub(self.routed.arrived_ms),
        );
    }
}
