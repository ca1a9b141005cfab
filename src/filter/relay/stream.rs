//! Relays streams: the caller receives each event once and in order, even if several engines
//! produce them.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::body::Frame;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use serde_json::json;

use crate::app::App;
use crate::decide::recovery::{EventAction, Recovery, Step, StreamError};
use crate::decide::retry::Attempts;
use crate::filter::attempt::{self, FailureKind, UpstreamBody, UpstreamResponse};
use crate::filter::call::Call;
use crate::filter::dispatch::{self, strike_if_dead};
use crate::filter::{RequestContext, Verdict, record, relay};
use crate::http::BodyError;
use crate::http::event_body::{EventBody, FrameResult};
use crate::http::sse::Event;
use crate::ids::Urgency;
use crate::observe::recent_requests::RequestRecord;

/// Events buffered for a slow caller; when the buffer is full, the engine's stream is not read
/// further.
const QUEUE_EVENTS: usize = 64;
/// Longest wait for the first event of a resumed stream. The engine already has the event, so a
/// longer wait means that it hangs.
const RESUME_WAIT_MS: u64 = 1_000;
/// Pause between the error event and the abort of the connection. When a body fails, hyper drops
/// the data that it has not yet written, so the event would be lost without the pause.
const ERROR_FLUSH_PAUSE: Duration = Duration::from_millis(50);

/// A stream that is relayed from engines to the caller.
struct StreamRelay {
    app: Arc<App>,
    call: Call,
    upstream: Option<UpstreamResponse>,
    recovery: Recovery,
    attempts: Attempts,
    record: RequestRecord,
    urgency: Urgency,
}

/// Starts a task that relays the stream, and returns the response that it feeds.
pub fn apply(app: &Arc<App>, context: &mut RequestContext, upstream: UpstreamResponse) -> Verdict {
    let Some(call) = Call::from_context(context) else {
        return Verdict::Continue;
    };
    let (sender, receiver) = async_channel::bounded::<FrameResult>(QUEUE_EVENTS);
    let body = EventBody::new(receiver).boxed_unsync();
    let mut response = relay::response_with_ids(context, &upstream, body);
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    let relay = StreamRelay {
        app: Arc::clone(app),
        call,
        upstream: Some(upstream),
        recovery: Recovery::new(),
        attempts: context.attempts.clone(),
        record: context.record.clone(),
        urgency: context.urgency,
    };
    let in_flight = context.in_flight.take();
    app.runtime.spawn_detached(async move {
        run(relay, sender).await;
        drop(in_flight);
    });
    Verdict::Respond(response)
}

/// Relays the stream until it ends or the caller disconnects. Deferred work continues without its
/// caller, since it must be delivered completely.
async fn run(mut relay: StreamRelay, sender: Sender<FrameResult>) {
    let urgency = relay.urgency;
    let caller_gone = async {
        match urgency {
            Urgency::Interactive => sender.closed().await,
            Urgency::Deferred => std::future::pending().await,
        }
        "caller_gone"
    };
    let outcome = relay_events(&mut relay, &sender).or(caller_gone).await;
    let StreamRelay {
        app,
        call,
        upstream,
        recovery,
        mut record,
        ..
    } = relay;
    match upstream {
        Some(upstream) if outcome == "complete" => {
            let now_ms = app.clock.monotonic_ms();
            app.strikes
                .record_completion(call.fingerprint, &upstream.server, now_ms);
            app.retries.record_success(&call.target);
            upstream.complete(&app);
        }
        // Dropping an incomplete response cancels the engine's work.
        unfinished => drop(unfinished),
    }
    record.events = recovery.delivered();
    record::finish(&app, record, outcome);
}

/// Sends events to the caller up to the terminal one, and returns the outcome to record.
async fn relay_events(relay: &mut StreamRelay, sender: &Sender<FrameResult>) -> &'static str {
    loop {
        let cause = match relay.next_event().await {
            Ok(event) => match relay.recovery.on_event(&event.id, &event.name, &event.data) {
                EventAction::Duplicate => continue,
                EventAction::Broken(cause) => cause,
                EventAction::Deliver { id } => {
                    let is_terminal = event.is_terminal();
                    let event = Event {
                        id: id.to_string(),
                        ..event
                    };
                    let sent = sender.send(Ok(Frame::data(event.encode()))).await;
                    if is_terminal {
                        return "complete";
                    }
                    if sent.is_err() && relay.urgency == Urgency::Interactive {
                        return "caller_gone";
                    }
                    continue;
                }
            },
            Err(cause) => cause,
        };
        if let Err(reason) = relay.recover(cause).await {
            relay.record_step(format!("gave up: {reason}"));
            log::warn!(
                "event=stream_incomplete id={} events={} reason=\"{reason}\"",
                relay.call.request_id,
                relay.recovery.delivered(),
            );
            let event = error_event(relay, &reason);
            let _ = sender.send(Ok(Frame::data(event.encode()))).await;
            smol::Timer::after(ERROR_FLUSH_PAUSE).await;
            let incomplete = BodyError::Incomplete("no engine could complete the stream");
            let _ = sender.send(Err(incomplete)).await;
            return "incomplete";
        }
    }
}

impl StreamRelay {
    fn record_step(&mut self, text: String) {
        self.record.add_step(format!("relay: {text}"));
    }

    async fn next_event(&mut self) -> Result<Event, StreamError> {
        let wait = Duration::from_millis(self.app.settings.timeouts.next_event_ms);
        match self.upstream.as_mut().map(|upstream| &mut upstream.body) {
            Some(UpstreamBody::Stream(source)) => source.next(wait).await,
            Some(UpstreamBody::Buffered(_)) | None => Err(StreamError::EngineError),
        }
    }

    /// Resumes or continues the stream after a break, or returns the reason why neither is
    /// possible.
    async fn recover(&mut self, cause: StreamError) -> Result<(), String> {
        self.record_step(format!(
            "broken after event {}: {cause}",
            self.recovery.delivered()
        ));
        let mut step = self.recovery.on_error(cause);
        loop {
            match step {
                Step::GiveUp(reason) => return Err(reason.to_owned()),
                Step::Resume { after } => match self.resume(after).await {
                    Ok(()) => return Ok(()),
                    Err(reason) => {
                        self.record_step(format!("resume failed: {reason}"));
                        step = self.recovery.on_resume_failed();
                    }
                },
                Step::Continue => return self.continue_elsewhere(cause).await,
            }
        }
    }

    async fn resume(&mut self, after: u64) -> Result<(), String> {
        let Some(upstream) = &mut self.upstream else {
            return Err("no engine runs the request".to_owned());
        };
        let wait_ms = RESUME_WAIT_MS.min(self.app.settings.timeouts.next_event_ms);
        let wait = Duration::from_millis(wait_ms);
        match attempt::resume(&self.app, upstream, after, wait).await {
            Ok(source) => {
                upstream.body = UpstreamBody::Stream(Box::new(source));
                let server = upstream.server.clone();
                self.app.metrics.count_recovery("resume", "done");
                self.record_step(format!("resumed on {server}"));
                Ok(())
            }
            Err(error) => {
                self.app.metrics.count_recovery("resume", "failed");
                if error.kind != FailureKind::WrongAttempt {
                    let (server, started_ms) = (upstream.server.clone(), upstream.started_ms);
                    strike_if_dead(&self.app, &self.call, &server, started_ms).await;
                }
                Err(error.reason)
            }
        }
    }

    async fn continue_elsewhere(&mut self, cause: StreamError) -> Result<(), String> {
        let broken = self.upstream.take();
        if let Some(upstream) = broken.filter(|_| cause != StreamError::EngineError) {
            let now_ms = self.app.clock.monotonic_ms();
            self.app.suspects.record_failure(&upstream.server, now_ms);
        }
        let text = self.recovery.text().unwrap_or_default();
        let body = self.call.continuation_body(text);
        let body = body.ok_or("the request's body cannot be continued")?;
        let StreamRelay {
            app,
            call,
            attempts,
            record,
            ..
        } = self;
        let result = dispatch::run(app, call, attempts, record, body).await;
        let upstream = match result {
            Ok(upstream) if matches!(upstream.body, UpstreamBody::Stream(_)) => upstream,
            Ok(upstream) => {
                app.metrics.count_recovery("continue", "failed");
                return Err(format!("{} answered without a stream", upstream.server));
            }
            Err(error) => {
                app.metrics.count_recovery("continue", "failed");
                return Err(error.reason);
            }
        };
        app.metrics.count_recovery("continue", "done");
        let server = upstream.server.clone();
        self.record_step(format!("continued on {server}"));
        self.upstream = Some(upstream);
        self.recovery.on_continued();
        Ok(())
    }
}

/// Builds the event that informs the caller that the response is incomplete.
fn error_event(relay: &StreamRelay, reason: &str) -> Event {
    let error = json!({"error": {
        "code": "answer_incomplete",
        "message": format!("the answer broke off: {reason}"),
        "remedy": "send the request again",
        "run_state": "ran",
        "request_id": relay.call.request_id.as_str(),
    }});
    Event {
        name: "error".to_owned(),
        data: error.to_string(),
        ..Event::default()
    }
}
