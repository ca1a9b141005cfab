//! Streams: whole events in order and once each, over one server or several.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::stream::unfold;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use crate::gateway::attempt::{EventSource, ResponseBody, StreamError};
use crate::gateway::reachability::while_reachable;
use crate::gateway::request::{attempts, may_repeat};
use crate::gateway::routed_request::{AttemptHistory, RoutedRequest};
use crate::gateway::state::{InFlightGuard, State};
use crate::http::raw_events::RawEvent;
use crate::http::{Body, BodyError};

/// Pauses of the length allowed after which a stream goes on at another server: one such
/// pause makes it late, and callers leave after eight.
const STALL_GAPS: u64 = 4;
/// Pause allowed where the route states none.
const GAP_DEFAULT_MS: u64 = 1_000;

struct Flow {
    state: Arc<State>,
    routed: RoutedRequest,
    history: AttemptHistory,
    source: Option<EventSource>,
    last_event: Option<u64>,
    events: u64,
    outcome: &'static str,
    _flight: InFlightGuard,
}

/// The body of a stream that `source` begins.
pub fn open(
    state: Arc<State>,
    routed: RoutedRequest,
    history: AttemptHistory,
    source: EventSource,
) -> Body {
    let flow = Flow {
        _flight: state.track_request(),
        last_event: routed.last_event,
        events: 0,
        outcome: "caller_gone",
        source: Some(source),
        state,
        routed,
        history,
    };
    let parts = unfold(Some(flow), |flow| async {
        let mut flow = flow?;
        match flow.next().await {
            Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(flow))),
            Ok(None) => None,
            Err(error) => Some((Err(error), None)),
        }
    });
    StreamBody::new(parts).boxed_unsync()
}

impl Flow {
    /// The next events, joined; none at the stream's end.
    async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        loop {
            let Some(source) = &mut self.source else {
                return Ok(None);
            };
            let remaining_ms = self.routed.remaining_ms(self.state.now_ms());
            if remaining_ms == 0 {
                self.outcome = "timed_out";
                return Err(BodyError::Incomplete("the time for the stream is over"));
            }
            let wait_ms = stall_ms(&self.routed).min(remaining_ms);
            let server = source.server.clone();
            let next = source.next_event(Duration::from_millis(wait_ms));
            let next = while_reachable(&self.state, &server, next).await;
            match next.unwrap_or(Err(StreamError::Broken)) {
                Ok(Some(event)) => {
                    if let Some(bytes) = self.take(event) {
                        return Ok(Some(bytes));
                    }
                }
                Ok(None) => {
                    self.outcome = "complete";
                    if let Some(source) = self.source.take() {
                        source.release_connection(&self.state);
                    }
                    return Ok(None);
                }
                Err(cause) => self.recover(cause).await?,
            }
        }
    }

    /// Joins an event with those that came with it; none where the caller has it already.
    fn take(&mut self, event: RawEvent) -> Option<Bytes> {
        let mut joined = BytesMut::new();
        let mut only = None;
        let mut next = Some(event);
        while let Some(event) = next {
            if self.is_new(&event) {
                self.events += 1;
                match only.take() {
                    None if joined.is_empty() => only = Some(event.bytes),
                    None => joined.extend_from_slice(&event.bytes),
                    Some(first) => {
                        let first: Bytes = first;
                        joined.extend_from_slice(&first);
                        joined.extend_from_slice(&event.bytes);
                    }
                }
            }
            let source = self.source.as_mut()?;
            // A fault in what follows shows again at the next read.
            next = source.buffered_event().ok().flatten();
        }
        only.or_else(|| (!joined.is_empty()).then(|| joined.freeze()))
    }

    /// Notes an event's number; false for one that was delivered before.
    fn is_new(&mut self, event: &RawEvent) -> bool {
        let Some(id) = event.id else {
            return true;
        };
        let is_new = self.last_event.is_none_or(|last| id > last);
        if is_new {
            self.last_event = Some(id);
        }
        is_new
    }

    /// Goes on at another server after a break, where the route allows it.
    async fn recover(&mut self, cause: StreamError) -> Result<(), BodyError> {
        let server = self.source.as_ref().map(|source| source.server.id.clone());
        let may_resume =
            self.routed.route.can_resume && may_repeat(&self.state, &self.routed, &self.history);
        log::info!(
            "event=stream_broken id={} server={} cause=\"{cause}\" last_event={} resumes={may_resume}",
            self.routed.id,
            server.as_ref().map_or("-", |server| server.as_str()),
            self.last_event.unwrap_or(0),
        );
        if !may_resume && cause == StreamError::Stalled {
            // The server may still go on; nothing better is to be had.
            return Ok(());
        }
        // The server stops its work when its connection closes.
        self.source = None;
        if let Some(server) = &server {
            let now_ms = self.state.now_ms();
            self.state.reachability.record_outcome(server, true, now_ms);
        }
        if !may_resume {
            self.outcome = "broken";
            return Err(BodyError::Incomplete("the server broke the stream off"));
        }
        let resumed = attempts(
            &self.state,
            &self.routed,
            &mut self.history,
            self.last_event,
        )
        .await;
        match resumed.map(|answer| (answer.status.is_success(), answer.body)) {
            Ok((true, ResponseBody::Stream(source))) => {
                self.source = Some(*source);
                Ok(())
            }
            Ok(_) => {
                self.outcome = "resume_refused";
                Err(BodyError::Incomplete("no server went on with the stream"))
            }
            Err(rejection) => {
                self.outcome = rejection.code();
                Err(BodyError::Incomplete("no server went on with the stream"))
            }
        }
    }
}

fn stall_ms(routed: &RoutedRequest) -> u64 {
    STALL_GAPS * routed.route.gap_ms.unwrap_or(GAP_DEFAULT_MS)
}

impl Drop for Flow {
    fn drop(&mut self) {
        self.state.metrics.stream(self.outcome, self.events);
        log::info!(
            "event=streamed id={} route={} service={} server={} outcome={} events={} sends={} ms={}",
            self.routed.id,
            self.routed.route.name,
            self.routed.service,
            self.history.servers.last().map_or("-", |s| s.as_str()),
            self.outcome,
            self.events,
            self.history.servers.len(),
            self.state.now_ms().saturating_sub(self.routed.arrived_ms),
        );
    }
}
