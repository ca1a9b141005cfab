//! Runs a non-idempotent call: claims it, chooses servers and makes attempts until one may have
//! run.
//!
//! The call runs in a separate task, so that it is not cancelled when the caller disconnects and
//! its outcome is still stored with its claim. The task counts as a request in flight, so a planned
//! stop waits for it.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use bytes::Bytes;
use futures_lite::FutureExt;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue, TRANSFER_ENCODING};
use hyper::{Request, Response, StatusCode};
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use crate::app::App;
use crate::config::inventory::ServerState;
use crate::control::claims::HeldClaim;
use crate::control::load::LoadTicket;
use crate::edge::BoxFuture;
use crate::filter::attempt::{check_attempt_id, check_coding};
use crate::filter::call::{Call, upstream_request};
use crate::filter::dispatch::strike_if_dead;
use crate::filter::limit::deadline_refusal;
use crate::filter::{RequestContext, Verdict, choose, claim, record};
use crate::http::Body;
use crate::http::first_byte::{FirstByte, GuardedStream};
use crate::http::framing;
use crate::http::pool::connect;
use crate::ids::{AttemptId, RunState, ServerId};
use crate::observe::recent_requests::AttemptRecord;
use crate::refusal::Refusal;

/// Largest response body that is read.
const RESPONSE_MAX_BYTES: usize = 16 * 1024 * 1024;

/// A complete response of a server.
#[derive(Debug)]
struct CompleteResponse {
    status: StatusCode,
    content_type: Option<HeaderValue>,
    body: Bytes,
}

impl CompleteResponse {
    /// A server error leaves open whether the call took effect.
    fn run_state(&self) -> RunState {
        match self.status.is_server_error() {
            true => RunState::Unknown,
            false => RunState::Ran,
        }
    }
}

/// Result of an attempt.
#[derive(Debug)]
enum AttemptOutcome {
    /// The server certainly did not run the call, for this reason.
    NotRun(String),
    /// The server may have run the call; the reason why its outcome is unknown.
    Unknown(String),
    /// The server sent a complete response.
    Answered(CompleteResponse),
}

impl AttemptOutcome {
    fn label(&self) -> &'static str {
        match self {
            Self::NotRun(_) => "not_run",
            Self::Unknown(_) => "unknown",
            Self::Answered(_) => "answered",
        }
    }

    fn text(&self) -> String {
        match self {
            Self::NotRun(reason) | Self::Unknown(reason) => reason.clone(),
            Self::Answered(response) => format!("answered {}", response.status.as_u16()),
        }
    }
}

/// Runs a call to its end in a separate task, even if the caller disconnects.
pub async fn detach(app: Arc<App>, context: RequestContext) -> Response<Body> {
    let request_id = context.request_id.clone();
    let (reply, replied) = async_channel::bounded(1);
    let runtime = app.runtime.clone();
    runtime.spawn_detached(run(app, context, reply));
    match replied.recv().await {
        Ok(response) => response,
        // The task ends without a reply only if it panicked.
        Err(_) => no_outcome_refusal("the call's task failed").into_response(&request_id),
    }
}

async fn run(app: Arc<App>, mut context: RequestContext, reply: Sender<Response<Body>>) {
    let _in_flight = context.in_flight.take();
    let held = match claim::apply(&app, &mut context).await {
        Ok(held) => held,
        Err(verdict) => return finish_request(&app, context, verdict, &reply),
    };
    let call = OnceCall {
        app: &app,
        held,
        reply,
    };
    match choose::apply(&app, &mut context) {
        Verdict::Continue => call.try_servers(context).await,
        verdict => {
            call.release().await;
            finish_request(&app, context, verdict, &call.reply);
        }
    }
}

/// Records the end of a request and sends the reply, unless the caller has disconnected.
fn finish_request(
    app: &App,
    context: RequestContext,
    verdict: Verdict,
    reply: &Sender<Response<Body>>,
) {
    let response = match verdict {
        Verdict::Respond(response) => {
            record::finish(app, context.record, "complete");
            response
        }
        Verdict::Refuse(refusal) => record::refuse(app, context, refusal),
        Verdict::Continue => record::refuse(app, context, no_outcome_refusal("no filter answered")),
    };
    let _ = reply.try_send(response);
}

fn no_outcome_refusal(reason: &str) -> Refusal {
    Refusal::not_run(
        StatusCode::BAD_GATEWAY,
        "outcome_unknown",
        format!("the call may have run, but its answer is not known: {reason}"),
        "ask again with the same key for a late answer, or look up in the service whether \
         the call took effect; do not send it with a new key before",
    )
    .with_run_state(RunState::Unknown)
}

fn none_ran_refusal(reason: &str) -> Refusal {
    Refusal::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "no_server_ran",
        format!("no backend server ran the call: {reason}"),
        "retry later with the same key",
    )
    .with_retry_after_s(1)
}

/// A running attempt, whose connection is open.
struct Exchange {
    future: BoxFuture<'static, AttemptOutcome>,
    first_byte: FirstByte,
    _ticket: LoadTicket,
}

impl Exchange {
    /// Waits for the end of the attempt. Returns `None` if it takes longer than `limit_ms`.
    async fn wait(&mut self, limit_ms: u64) -> Option<AttemptOutcome> {
        let outcome = async { Some(self.future.as_mut().await) };
        let limit = async {
            smol::Timer::after(Duration::from_millis(limit_ms)).await;
            None
        };
        outcome.or(limit).await
    }
}

/// One call with the claim that it holds; the claim is absent for a call without a key.
struct OnceCall<'a> {
    app: &'a Arc<App>,
    held: Option<HeldClaim>,
    reply: Sender<Response<Body>>,
}

impl OnceCall<'_> {
    async fn release(&self) {
        if let Some(held) = &self.held {
            held.release().await;
        }
    }

    fn remaining_ms(&self, context: &RequestContext) -> u64 {
        let now_ms = self.app.clock.monotonic_ms();
        context.deadline_ms.saturating_sub(now_ms)
    }

    /// Makes attempts on the servers in order, until one may have run the call.
    async fn try_servers(self, mut context: RequestContext) {
        let mut reason = String::from("no attempt was made");
        let servers = std::mem::take(&mut context.candidates);
        let attempts_max = self.app.settings.retry.attempts_max as usize;
        for (index, server) in servers.into_iter().take(attempts_max).enumerate() {
            if self.remaining_ms(&context) == 0 {
                break;
            }
            let id = AttemptId::new(&context.request_id, index as u32 + 1);
            let started_ms = self.app.clock.monotonic_ms();
            let mut exchange = match self.open(&context, &server, &id).await {
                Ok(exchange) => exchange,
                Err(text) => {
                    self.record_attempt(&mut context, &server, &id, "not_run", text.clone());
                    reason = text;
                    continue;
                }
            };
            let first_event_ms = self.app.settings.timeouts.first_event_ms;
            let limit_ms = self.remaining_ms(&context).min(first_event_ms);
            let outcome = match exchange.wait(limit_ms).await {
                Some(outcome) => outcome,
                None if !exchange.first_byte.is_written() => {
                    AttemptOutcome::NotRun("no byte could be written in time".to_owned())
                }
                None => {
                    self.record_attempt(&mut context, &server, &id, "unknown", "late".to_owned());
                    return self.await_late_outcome(context, exchange).await;
                }
            };
            self.record_attempt(&mut context, &server, &id, outcome.label(), outcome.text());
            match outcome {
                AttemptOutcome::NotRun(text) => {
                    self.attempt_not_run();
                    reason = text;
                }
                outcome => {
                    self.update_strikes(&context, &server, &outcome, started_ms)
                        .await;
                    return self.finish(context, &server, outcome);
                }
            }
        }
        self.release().await;
        let refusal = match self.remaining_ms(&context) {
            0 => deadline_refusal(),
            _ => none_ran_refusal(&reason),
        };
        finish_request(self.app, context, Verdict::Refuse(refusal), &self.reply);
    }

    /// Opens a dedicated connection for the attempt. An error means that nothing was sent.
    async fn open(
        &self,
        context: &RequestContext,
        server: &ServerId,
        id: &AttemptId,
    ) -> Result<Exchange, String> {
        // The configuration may have changed since the choose filter ran.
        let configuration = self.app.config.current();
        let backend = configuration.inventory.servers.get(server);
        let Some(backend) = backend.filter(|backend| backend.state == ServerState::Active) else {
            return Err("the server takes no new work".to_owned());
        };
        let ticket = self.app.load.start_request(server);
        let request =
            upstream_request(context, backend.address, id).map_err(|error| error.to_string())?;
        let connect_ms = self.app.settings.timeouts.connect_ms;
        let limit = Duration::from_millis(connect_ms.min(self.remaining_ms(context)));
        let stream = connect(backend.address, limit)
            .await
            .map_err(|error| format!("connect: {error}"))?;
        let (guarded, first_byte) = GuardedStream::new(stream, self.first_byte_check(context));
        let future = exchange(guarded, request, id.clone(), first_byte.clone());
        Ok(Exchange {
            future: Box::pin(future),
            first_byte,
            _ticket: ticket,
        })
    }

    /// Returns the check that runs just before the first byte is written. The process may have
    /// been paused until after the deadline or the end of the claim, and nothing may be sent then.
    fn first_byte_check(
        &self,
        context: &RequestContext,
    ) -> impl FnOnce() -> bool + Send + Unpin + 'static {
        let held = self.held.clone();
        let clock = Arc::clone(&self.app.clock);
        let deadline_ms = context.deadline_ms;
        move || {
            let is_in_time = clock.monotonic_ms() < deadline_ms;
            is_in_time && held.is_none_or(|held| held.try_begin_dispatch())
        }
    }

    fn attempt_not_run(&self) {
        if let Some(held) = &self.held {
            held.record_attempt_not_run();
        }
    }

    fn record_attempt(
        &self,
        context: &mut RequestContext,
        server: &ServerId,
        id: &AttemptId,
        label: &'static str,
        result: String,
    ) {
        self.app.metrics.count_attempt(label);
        context.record.attempts.push(AttemptRecord {
            id: id.clone(),
            server: server.clone(),
            result,
        });
    }

    /// Gives the request a strike if its server crashed while running it, and clears its strikes if
    /// the server responded.
    async fn update_strikes(
        &self,
        context: &RequestContext,
        server: &ServerId,
        outcome: &AttemptOutcome,
        started_ms: u64,
    ) {
        let now_ms = self.app.clock.monotonic_ms();
        match (outcome, Call::from_context(context)) {
            (AttemptOutcome::Answered(_), _) => {
                let strikes = &self.app.strikes;
                strikes.record_completion(context.fingerprint, server, now_ms);
            }
            (_, Some(call)) => {
                strike_if_dead(self.app, &call, server, started_ms).await;
            }
            _ => {}
        }
    }

    fn finish(&self, mut context: RequestContext, server: &ServerId, outcome: AttemptOutcome) {
        self.store(&outcome);
        let verdict = match outcome {
            AttemptOutcome::Answered(response) => {
                let run_state = response.run_state();
                context.record.status = response.status.as_u16();
                context.record.run_state = run_state;
                let response = claim::build_response(
                    response.status,
                    response.content_type,
                    response.body,
                    run_state,
                );
                Verdict::Respond(with_id_headers(response, &context, server))
            }
            AttemptOutcome::NotRun(reason) | AttemptOutcome::Unknown(reason) => {
                Verdict::Refuse(no_outcome_refusal(&reason))
            }
        };
        finish_request(self.app, context, verdict, &self.reply);
    }

    /// Stores the outcome of a call that may have run with its claim.
    fn store(&self, outcome: &AttemptOutcome) {
        let Some(held) = &self.held else {
            return;
        };
        match outcome {
            AttemptOutcome::Answered(response) => held.store_outcome(claim::stored_outcome(
                response.status,
                response.content_type.as_ref(),
                &response.body,
                response.run_state(),
            )),
            AttemptOutcome::NotRun(_) | AttemptOutcome::Unknown(_) => held.record_unknown(),
        }
    }

    /// Replies to the caller in time that the outcome is unknown, and continues to wait for it, so
    /// that it can be stored with the claim.
    async fn await_late_outcome(&self, context: RequestContext, mut exchange: Exchange) {
        let last_ms = context.record.arrived_ms + self.app.settings.timeouts.request_ms;
        let refusal = no_outcome_refusal("the server did not answer in time").with_retry_after_s(1);
        finish_request(self.app, context, Verdict::Refuse(refusal), &self.reply);
        let remaining_ms = last_ms.saturating_sub(self.app.clock.monotonic_ms());
        let outcome = exchange.wait(remaining_ms).await;
        self.store(
            &outcome.unwrap_or_else(|| AttemptOutcome::Unknown("no response arrived".to_owned())),
        );
    }
}

fn with_id_headers(
    mut response: Response<Body>,
    context: &RequestContext,
    server: &ServerId,
) -> Response<Body> {
    let pairs = [
        ("x-request-id", context.request_id.as_str()),
        ("x-backend-server", server.as_str()),
    ];
    for (name, value) in pairs {
        if let Ok(value) = HeaderValue::from_str(value) {
            response.headers_mut().insert(name, value);
        }
    }
    response
}

/// Sends the request on a new connection and reads the complete response.
async fn exchange<P>(
    stream: GuardedStream<TcpStream, P>,
    request: Request<Full<Bytes>>,
    id: AttemptId,
    first_byte: FirstByte,
) -> AttemptOutcome
where
    P: FnOnce() -> bool + Unpin + Send + 'static,
{
    let failed = |reason: String| match first_byte.is_written() {
        true => AttemptOutcome::Unknown(reason),
        false => AttemptOutcome::NotRun(reason),
    };
    let handshake = hyper::client::conn::http1::handshake(FuturesIo::new(stream)).await;
    let (mut sender, connection) = match handshake {
        Ok(parts) => parts,
        Err(error) => return failed(error.to_string()),
    };
    let call = async {
        match sender.send_request(request).await {
            Ok(response) => read_response(response, &id).await,
            Err(error) => failed(error.to_string()),
        }
    };
    let drive = async {
        // If the connection fails, the call above returns the reason.
        let _ = connection.await;
        std::future::pending().await
    };
    call.or(drive).await
}

/// Reads a response. A response without this attempt's id says nothing about the attempt, so its
/// outcome is unknown.
async fn read_response(response: Response<Incoming>, id: &AttemptId) -> AttemptOutcome {
    if let Err(error) = check_attempt_id(&response, id) {
        return AttemptOutcome::Unknown(error.reason);
    }
    if !framing::is_valid_status(response.status()) {
        let status = response.status().as_u16();
        return AttemptOutcome::Unknown(format!("the response has the status {status}"));
    }
    let (parts, body) = response.into_parts();
    let is_reported_not_run = parts.headers.get("x-not-run").is_some_and(|v| v == "1");
    if parts.status == StatusCode::SERVICE_UNAVAILABLE && is_reported_not_run {
        return AttemptOutcome::NotRun("the server says that nothing ran".to_owned());
    }
    if let Err(error) = check_coding(&parts.headers) {
        return AttemptOutcome::Unknown(error.reason);
    }
    // A body delimited only by the end of the connection cannot be distinguished from a truncated
    // one.
    let is_delimited =
        body.size_hint().exact().is_some() || parts.headers.contains_key(TRANSFER_ENCODING);
    if !is_delimited {
        return AttemptOutcome::Unknown("the answer does not state its length".to_owned());
    }
    match Limited::new(body, RESPONSE_MAX_BYTES).collect().await {
        Ok(body) => AttemptOutcome::Answered(CompleteResponse {
            status: parts.status,
            content_type: parts.headers.get(CONTENT_TYPE).cloned(),
            body: body.to_bytes(),
        }),
        Err(error) => AttemptOutcome::Unknown(format!("the answer broke off: {error}")),
    }
}
