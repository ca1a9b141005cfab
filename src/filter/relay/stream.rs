//! Streams: events in order and once each, over any number of engines.

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
use crate::filter::attempt::{self, Answer, FailureKind, Upstream};
use crate::filter::call::Call;
use crate::filter::dispatch::{self, strike_if_dead};
use crate::filter::{RequestContext, Verdict, record, relay};
use crate::http::BodyError;
use crate::http::event_body::{EventBody, Part};
use crate::http::sse::Event;
use crate::ids::Urgency;
use crate::observe::ring::RequestRecord;

/// Events that may wait for a slow caller before the engine's stream is held back.
const QUEUE_EVENTS: usize = 64;
/// Longest wait for the first event of a resumed stream. The engine has the event already,
/// so a longer silence means that it hangs.
const RESUME_WAIT_MS: u64 = 1_000;
/// Time between the error event and the cut of the connection: hyper drops what it has not
/// yet written when a body fails.
const ERROR_FLUSH: Duration = Duration::from_millis(50);

/// A stream on its way from engines to the caller.
struct Flow {
    app: Arc<App>,
    call: Call,
    upstream: Option<Upstream>,
    recovery: Recovery,
    tries: Attempts,
    record: RequestRecord,
    urgency: Urgency,
}

/// Starts to pass a stream on.
pub fn apply(app: &Arc<App>, context: &mut RequestContext, upstream: Upstream) -> Verdict {
    let Some(call) = Call::of(context) else {
        return Verdict::Continue;
    };
    let (sender, receiver) = async_channel::bounded::<Part>(QUEUE_EVENTS);
    let body = EventBody::new(receiver).boxed_unsync();
    let mut response = relay::head(context, &upstream, body);
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    let flow = Flow {
        app: Arc::clone(app),
        call,
        upstream: Some(upstream),
        recovery: Recovery::new(),
        tries: context.tries.clone(),
        record: context.record.clone(),
        urgency: context.urgency,
    };
    let in_flight = context.in_flight.take();
    app.runtime.detach(async move {
        run(flow, sender).await;
        drop(in_flight);
    });
    Verdict::Answer(response)
}

/// Passes the stream on to its end, or until the caller goes away. Deferred work goes on
/// without its caller, as it must be delivered whole.
async fn run(mut flow: Flow, sender: Sender<Part>) {
    let urgency = flow.urgency;
    let caller_gone = async {
        match urgency {
            Urgency::Interactive => sender.closed().await,
            Urgency::Deferred => std::future::pending().await,
        }
        "caller_gone"
    };
    let outcome = pump(&mut flow, &sender).or(caller_gone).await;
    let Flow {
        app,
        call,
        upstream,
        recovery,
        mut record,
        ..
    } = flow;
    match upstream {
        Some(upstream) if outcome == "complete" => {
            let now_ms = app.clock.monotonic_ms();
            app.strikes
                .record_completion(call.fingerprint, &upstream.server, now_ms);
            app.retries.record_success(&call.target);
            upstream.complete(&app);
        }
        // Dropping an unfinished upstream cancels the engine's work.
        unfinished => drop(unfinished),
    }
    record.events = recovery.delivered();
    record::finish(&app, record, outcome);
}

/// Sends events to the caller until the terminal one; returns how it ended.
async fn pump(flow: &mut Flow, sender: &Sender<Part>) -> &'static str {
    loop {
        let cause = match flow.next_event().await {
            Ok(event) => match flow.recovery.on_event(&event.id, &event.name, &event.data) {
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
                    if sent.is_err() && flow.urgency == Urgency::Interactive {
                        return "caller_gone";
                    }
                    continue;
                }
            },
            Err(cause) => cause,
        };
        if let Err(reason) = flow.recover(cause).await {
            flow.note(format!("gave up: {reason}"));
            log::warn!(
                "event=stream_incomplete id={} events={} reason=\"{reason}\"",
                flow.call.request_id,
                flow.recovery.delivered(),
            );
            let event = error_event(flow, &reason);
            let _ = sender.send(Ok(Frame::data(event.encode()))).await;
            smol::Timer::after(ERROR_FLUSH).await;
            let cut = BodyError::Incomplete("no engine could complete it");
            let _ = sender.send(Err(cut)).await;
            return "incomplete";
        }
    }
}

impl Flow {
    fn note(&mut self, text: String) {
        self.record.step(format!("relay: {text}"));
    }

    async fn next_event(&mut self) -> Result<Event, StreamError> {
        let wait = Duration::from_millis(self.app.settings.timeouts.next_event_ms);
        match self.upstream.as_mut().map(|upstream| &mut upstream.answer) {
            Some(Answer::Stream(source)) => source.next(wait).await,
            Some(Answer::Whole(_)) | None => Err(StreamError::EngineError),
        }
    }

    /// Gets the stream going again after a break, or says why it cannot.
    async fn recover(&mut self, cause: StreamError) -> Result<(), String> {
        self.note(format!(
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
                        self.note(format!("resume failed: {reason}"));
                        step = self.recovery.on_resume_failed();
                    }
                },
                Step::Continue => return self.continue_elsewhere(cause).await,
            }
        }
    }

    async fn resume(&mut self, after: u64) -> Result<(), String> {
        let Some(upstream) = &mut self.upstream else {
            return Err("no engine runs it".to_owned());
        };
        let wait_ms = RESUME_WAIT_MS.min(self.app.settings.timeouts.next_event_ms);
        let wait = Duration::from_millis(wait_ms);
        match attempt::resume(&self.app, upstream, after, wait).await {
            Ok(source) => {
                upstream.answer = Answer::Stream(Box::new(source));
                let server = upstream.server.clone();
                self.app.metrics.recovery("resume", "done");
                self.note(format!("resumed on {server}"));
                Ok(())
            }
            Err(error) => {
                self.app.metrics.recovery("resume", "failed");
                if error.kind != FailureKind::Crossed {
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
        let body = self.call.continued_body(text);
        let body = body.ok_or("the request's body cannot be continued")?;
        let Flow {
            app,
            call,
            tries,
            record,
            ..
        } = self;
        let result = dispatch::run(app, call, tries, record, body).await;
        let upstream = match result {
            Ok(upstream) if matches!(upstream.answer, Answer::Stream(_)) => upstream,
            Ok(upstream) => {
                app.metrics.recovery("continue", "failed");
                return Err(format!("{} answered without a stream", upstream.server));
            }
            Err(unanswered) => {
                app.metrics.recovery("continue", "failed");
                return Err(unanswered.reason);
            }
        };
        app.metrics.recovery("continue", "done");
        let server = upstream.server.clone();
        self.note(format!("continued on {server}"));
        self.upstream = Some(upstream);
        self.recovery.on_continued();
        Ok(())
    }
}

/// Tells the caller that the answer is not whole.
fn error_event(flow: &Flow, reason: &str) -> Event {
    let error = json!({"error": {
        "code": "answer_incomplete",
        "message": format!("the answer broke off: {reason}"),
        "remedy": "send the request again",
        "run_state": "ran",
        "request_id": flow.call.request_id.as_str(),
    }});
    Event {
        name: "error".to_owned(),
        data: error.to_string(),
        ..Event::default()
    }
}
