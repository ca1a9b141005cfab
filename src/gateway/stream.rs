//! Response streams: complete events, in order and once each, from one server or, after a failure,
//! from several.

use std::pin::pin;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures_lite::FutureExt;
use futures_util::stream::unfold;
use http_body_util::{BodyExt, StreamBody};
use hyper::StatusCode;
use hyper::body::Frame;

use crate::gateway::attempt::{ResponseBody, ServerResponse};
use crate::gateway::attempts::{may_repeat, run_attempts};
use crate::gateway::crash;
use crate::gateway::event_source::{EventSource, StreamError};
use crate::gateway::reachability::probe_while_silent;
use crate::gateway::rejection::Rejection;
use crate::gateway::routed_request::{AttemptHistory, RoutedRequest};
use crate::gateway::state::{InFlightGuard, State};
use crate::http::event_wait::EventWait;
use crate::http::raw_events::RawEvent;
use crate::http::{Body, BodyError};
use crate::ids::ServerId;

/// Number of allowed gaps between events after which another server is sought for a stream. One such
/// gap makes the stream late, and callers leave after eight.
const STALL_GAPS: u64 = 4;
/// Time after a search that found no server before the next one for the same stream: some requests of
/// a server end within it.
const SEARCH_INTERVAL_MS: u64 = 500;
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

/// What came first while another server is sought for a stream: its current run goes on, ends or
/// breaks, or the search has ended.
enum Raced {
    Current(Result<(), StreamError>),
    Other(Result<ServerResponse, Rejection>),
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
    /// Time before which no other server is sought for a stalled stream.
    search_from_ms: u64,
    /// Time at which the request was sent to the current server.
    sent_ms: u64,
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
    let mut relay = StreamRelay {
        _in_flight: state.track_request(),
        last_event: routed.last_event,
        has_unnumbered: false,
        resumed: None,
        failure: None,
        progress_ms: state.now_ms(),
        search_from_ms: 0,
        sent_ms: history.last_sent_ms,
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
    relay.release_unneeded_body();
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
            match self.failure.take() {
                Some(StreamError::Stalled) => self.search_beside().await?,
                Some(cause) => self.recover(cause).await?,
                None => {}
            }
            let Some(source) = &mut self.source else {
                return Ok(None);
            };
            let now_ms = self.state.now_ms();
            let remaining_ms = self.routed.remaining_ms(now_ms);
            if remaining_ms == 0 {
                self.outcome = "timed_out";
                return Err(BodyError::Incomplete(
                    "the deadline of the stream has passed",
                ));
            }
            let stalled_ms = self.progress_ms + stall_timeout_ms(&self.routed);
            let wait = EventWait {
                stall_ms: stalled_ms.max(self.search_from_ms).saturating_sub(now_ms),
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
                    if let Some(mut source) = self.source.take() {
                        if let Some(open) = source.open.take() {
                            open.complete();
                        }
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
            if let Some(open) = self.source.as_ref().and_then(|s| s.open.as_ref()) {
                open.record_answer();
            }
            let (parts, caller) = (&self.routed.prompt_parts, self.routed.caller_hash());
            self.state.strikes.record_answer(parts, caller, now_ms);
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

    /// Frees the body once no other server can get the request any more: a stream may last for
    /// minutes.
    fn release_unneeded_body(&mut self) {
        if !self.routed.route.can_resume || !may_repeat(&self.routed, &self.history) {
            self.routed.body = Bytes::new();
        }
    }

    /// Whether another server may go on with the stream.
    fn can_resume(&self) -> bool {
        self.routed.route.can_resume
            && !self.has_unnumbered
            && may_repeat(&self.routed, &self.history)
    }

    /// Seeks another server for a stalled stream, whose server may still go on: its run is given up
    /// once the other one has begun. If it speaks first, the search is given up instead, and if there
    /// is no other server, it goes on too.
    async fn search_beside(&mut self) -> Result<(), BodyError> {
        self.search_from_ms = self.state.now_ms() + SEARCH_INTERVAL_MS;
        if !self.can_resume() {
            return Ok(());
        }
        let Some(mut source) = self.source.take() else {
            return Ok(());
        };
        let server = source.server.clone();
        let now_ms = self.state.now_ms();
        log::info!(
            "event=stream_stalled id={} server={} last_event={} stalled_ms={}",
            self.routed.id,
            server.id,
            self.last_event.unwrap_or(0),
            now_ms.saturating_sub(self.progress_ms),
        );
        let wait = EventWait::until(self.routed.remaining_ms(now_ms));
        let (outcome, is_broken) = {
            let search = run_attempts(
                &self.state,
                &self.routed,
                &mut self.history,
                self.last_event,
            );
            let mut search = pin!(search);
            let current = async { Raced::Current(source.read_ahead(wait).await) };
            let raced = current.or(async { Raced::Other(search.as_mut().await) });
            match probe_while_silent(&self.state, &server, raced).await {
                Raced::Current(Err(StreamError::Broken)) => {
                    let (state, routed) = (&self.state, &self.routed);
                    crash::check(state, routed, &server, self.sent_ms, self.has_answered).await;
                    (Some(search.await), true)
                }
                // It goes on, has ended, or the deadline has passed.
                Raced::Current(_) => (None, false),
                Raced::Other(response) => (Some(response), false),
            }
        };
        self.history.give_up();
        let gone_on = match outcome {
            Some(response) => self.adopt(response),
            None => Err("still_running"),
        };
        log::info!(
            "event=search_ended id={} server={} outcome={} sends={}",
            self.routed.id,
            server.id,
            gone_on.err().unwrap_or("moved"),
            self.history.servers.len(),
        );
        match gone_on {
            // Dropping the first run's source closes its connection, so that its server stops.
            Ok(()) => Ok(()),
            Err(_) if !is_broken => {
                self.history.record_responder(&server.id, self.sent_ms);
                self.source = Some(source);
                self.search_from_ms = self.state.now_ms() + SEARCH_INTERVAL_MS;
                Ok(())
            }
            Err(outcome) => {
                self.record_broken(&server.id);
                self.outcome = outcome;
                Err(BodyError::Incomplete("no server resumed the stream"))
            }
        }
    }

    /// Resumes the stream at another server after its run was lost, if the route allows it.
    async fn recover(&mut self, cause: StreamError) -> Result<(), BodyError> {
        let registration = self.source.as_ref().map(|source| source.server.clone());
        let server = registration.as_ref().map(|server| server.id.clone());
        if let Some(registration) = registration.filter(|_| cause == StreamError::Broken) {
            let (state, routed) = (&self.state, &self.routed);
            crash::check(
                state,
                routed,
                &registration,
                self.sent_ms,
                self.has_answered,
            )
            .await;
        }
        let can_resume = self.can_resume();
        log::info!(
            "event=stream_broken id={} server={} cause=\"{cause}\" last_event={} resumes={can_resume}",
            self.routed.id,
            server.as_ref().map_or("-", |server| server.as_str()),
            self.last_event.unwrap_or(0),
        );
        // Dropping the source closes the connection, so that the server stops its work.
        self.source = None;
        if let Some(server) = &server {
            self.record_broken(server);
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
        self.adopt(resumed).map_err(|outcome| {
            self.outcome = outcome;
            BodyError::Incomplete("no server resumed the stream")
        })
    }

    fn record_broken(&self, server: &ServerId) {
        let now_ms = self.state.now_ms();
        self.state.reachability.record_outcome(server, true, now_ms);
    }

    /// Goes on with the response of another server; fails with the stream's outcome if it does not go
    /// on with the stream.
    fn adopt(&mut self, response: Result<ServerResponse, Rejection>) -> Result<(), &'static str> {
        let response = response.map_err(|rejection| rejection.code())?;
        match (response.status, response.body) {
            (status, ResponseBody::Stream(source)) if status == self.first.status => {
                let now_ms = self.state.now_ms();
                self.source = Some(*source);
                self.resumed = Some(ResumedRun::default());
                self.sent_ms = self.history.last_sent_ms;
                self.begun_ms = now_ms;
                self.progress_ms = now_ms;
                self.has_answered = false;
                self.release_unneeded_body();
                Ok(())
            }
            (status, _) => {
                log::info!(
                    "event=resume_refused id={} server={} status={} first_status={}",
                    self.routed.id,
                    self.history.servers.last().map_or("-", |s| s.as_str()),
                    status.as_u16(),
                    self.first.status.as_u16(),
                );
                Err("resume_refused")
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
             declared_bytes={} sends={} queue_ms={} ms={}",
            self.routed.id,
            self.routed.route.name,
            self.routed.service,
            self.history.servers.last().map_or("-", |s| s.as_str()),
            self.outcome,
            self.events,
            self.bytes,
            declared_bytes.as_deref().unwrap_or("-"),
            self.history.servers.len(),
            self.history.queue_ms,
            self.state.now_ms().saturating_sub(self.routed.arrived_ms),
        );
    }
}
