//! Runs a non-idempotent call: claim, choose and one attempt that may write.
//!
//! The call runs in a task of its own, so a caller that goes away does not cancel it, and
//! its outcome still reaches its claim. A planned stop waits for the task through the
//! count of requests in flight.

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
use crate::filter::attempt::check_echo;
use crate::filter::call::{Call, upstream_request};
use crate::filter::dispatch::strike_if_dead;
use crate::filter::limit::deadline_passed;
use crate::filter::{RequestContext, Verdict, choose, claim, record};
use crate::http::Body;
use crate::http::first_byte::{FirstByte, GuardedStream};
use crate::http::pool::connect;
use crate::ids::{AttemptId, RunState, ServerId};
use crate::observe::ring::AttemptRecord;
use crate::refusal::Refusal;

/// Largest answer that is read.
const ANSWER_MAX_BYTES: usize = 16 * 1024 * 1024;

/// A whole answer of a server.
#[derive(Debug)]
struct Answer {
    status: StatusCode,
    content_type: Option<HeaderValue>,
    body: Bytes,
}

impl Answer {
    /// A server error does not tell how far the call got.
    fn run_state(&self) -> RunState {
        match self.status.is_server_error() {
            true => RunState::Unknown,
            false => RunState::Ran,
        }
    }
}

/// How an attempt ended.
#[derive(Debug)]
enum Attempt {
    /// It surely did not run.
    NotRun(String),
    /// It may have run.
    Unknown(String),
    /// The server answered in full.
    Answered(Answer),
}

impl Attempt {
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
            Self::Answered(answer) => format!("answered {}", answer.status.as_u16()),
        }
    }
}

/// Runs a call to its end, whether its caller stays or not.
pub async fn detach(app: Arc<App>, context: RequestContext) -> Response<Body> {
    let request_id = context.request_id.clone();
    let (reply, replied) = async_channel::bounded(1);
    let runtime = app.runtime.clone();
    runtime.detach(run(app, context, reply));
    match replied.recv().await {
        Ok(response) => response,
        // The task ends without a reply only when it panicked.
        Err(_) => no_outcome("the call's task failed").into_response(&request_id),
    }
}

async fn run(app: Arc<App>, mut context: RequestContext, reply: Sender<Response<Body>>) {
    let _in_flight = context.in_flight.take();
    let held = match claim::apply(&app, &mut context).await {
        Ok(held) => held,
        Err(verdict) => return end(&app, context, verdict, &reply),
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
            end(&app, context, verdict, &call.reply);
        }
    }
}

/// Records the end of a request and replies; the caller may have gone.
fn end(app: &App, context: RequestContext, verdict: Verdict, reply: &Sender<Response<Body>>) {
    let response = match verdict {
        Verdict::Answer(response) => {
            record::finish(app, context.record, "complete");
            response
        }
        Verdict::Refuse(refusal) => record::refuse(app, context, refusal),
        Verdict::Continue => record::refuse(app, context, no_outcome("no filter answered")),
    };
    let _ = reply.try_send(response);
}

fn no_outcome(reason: &str) -> Refusal {
    Refusal::not_run(
        StatusCode::BAD_GATEWAY,
        "outcome_unknown",
        format!("the call may have run, but its answer is not known: {reason}"),
        "ask again with the same key for a late answer, or look up in the service whether \
         the call took effect; do not send it with a new key before",
    )
    .with_run_state(RunState::Unknown)
}

fn none_ran(reason: &str) -> Refusal {
    Refusal::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "no_server_ran",
        format!("no backend server ran the call: {reason}"),
        "retry later with the same key",
    )
    .with_retry_after_s(1)
}

/// An attempt whose connection is open.
struct Exchange {
    future: BoxFuture<'static, Attempt>,
    first_byte: FirstByte,
    _ticket: LoadTicket,
}

impl Exchange {
    /// Waits for the end of the attempt, for at most `limit_ms`.
    async fn wait(&mut self, limit_ms: u64) -> Option<Attempt> {
        let ended = async { Some(self.future.as_mut().await) };
        let limit = async {
            smol::Timer::after(Duration::from_millis(limit_ms)).await;
            None
        };
        ended.or(limit).await
    }
}

/// One call and the claim that it holds.
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

    fn left_ms(&self, context: &RequestContext) -> u64 {
        let now_ms = self.app.clock.monotonic_ms();
        context.deadline_ms.saturating_sub(now_ms)
    }

    /// Tries servers in order while the attempts surely do not run.
    async fn try_servers(self, mut context: RequestContext) {
        let mut reason = String::from("no attempt was made");
        let servers = std::mem::take(&mut context.candidates);
        let attempts_max = self.app.settings.retry.attempts_max as usize;
        for (index, server) in servers.into_iter().take(attempts_max).enumerate() {
            if self.left_ms(&context) == 0 {
                break;
            }
            let id = AttemptId::of(&context.request_id, index as u32 + 1);
            let started_ms = self.app.clock.monotonic_ms();
            let mut exchange = match self.open(&context, &server, &id).await {
                Ok(exchange) => exchange,
                Err(text) => {
                    self.note(&mut context, &server, &id, "not_run", text.clone());
                    reason = text;
                    continue;
                }
            };
            let first_event_ms = self.app.settings.timeouts.first_event_ms;
            let limit_ms = self.left_ms(&context).min(first_event_ms);
            let ended = match exchange.wait(limit_ms).await {
                Some(ended) => ended,
                None if !exchange.first_byte.is_written() => {
                    Attempt::NotRun("no byte could be written in time".to_owned())
                }
                None => {
                    self.note(&mut context, &server, &id, "unknown", "late".to_owned());
                    return self.wait_late(context, exchange).await;
                }
            };
            self.note(&mut context, &server, &id, ended.label(), ended.text());
            match ended {
                Attempt::NotRun(text) => {
                    self.attempt_not_run();
                    reason = text;
                }
                ended => {
                    self.judge_server(&context, &server, &ended, started_ms)
                        .await;
                    return self.finish(context, &server, ended);
                }
            }
        }
        self.release().await;
        let refusal = match self.left_ms(&context) {
            0 => deadline_passed(),
            _ => none_ran(&reason),
        };
        end(self.app, context, Verdict::Refuse(refusal), &self.reply);
    }

    /// Opens a connection that nothing else uses; an error means that nothing was sent.
    async fn open(
        &self,
        context: &RequestContext,
        server: &ServerId,
        id: &AttemptId,
    ) -> Result<Exchange, String> {
        // The configuration may have changed since the servers were ordered.
        let configuration = self.app.config.current();
        let backend = configuration.inventory.servers.get(server);
        let Some(backend) = backend.filter(|backend| backend.state == ServerState::Active) else {
            return Err("the server takes no new work".to_owned());
        };
        let ticket = self.app.load.start_request(server);
        let request =
            upstream_request(context, backend.address, id).map_err(|error| error.to_string())?;
        let connect_ms = self.app.settings.timeouts.connect_ms;
        let limit = Duration::from_millis(connect_ms.min(self.left_ms(context)));
        let stream = connect(backend.address, limit)
            .await
            .map_err(|error| format!("connect: {error}"))?;
        let (guarded, first_byte) = GuardedStream::new(stream, self.permit(context));
        let future = exchange(guarded, request, id.clone(), first_byte.clone());
        Ok(Exchange {
            future: Box::pin(future),
            first_byte,
            _ticket: ticket,
        })
    }

    /// Asked just before the first byte: a pause of the process may have outlived the
    /// deadline or the claim.
    fn permit(&self, context: &RequestContext) -> impl FnOnce() -> bool + Send + Unpin + 'static {
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

    fn note(
        &self,
        context: &mut RequestContext,
        server: &ServerId,
        id: &AttemptId,
        label: &'static str,
        result: String,
    ) {
        self.app.metrics.attempt(label);
        context.record.attempts.push(AttemptRecord {
            id: id.clone(),
            server: server.clone(),
            result,
        });
    }

    /// Strikes the request if its server died while it ran, and clears it if it was answered.
    async fn judge_server(
        &self,
        context: &RequestContext,
        server: &ServerId,
        ended: &Attempt,
        started_ms: u64,
    ) {
        let now_ms = self.app.clock.monotonic_ms();
        match (ended, Call::of(context)) {
            (Attempt::Answered(_), _) => {
                let strikes = &self.app.strikes;
                strikes.record_completion(context.fingerprint, server, now_ms);
            }
            (_, Some(call)) => {
                strike_if_dead(self.app, &call, server, started_ms).await;
            }
            _ => {}
        }
    }

    fn finish(&self, mut context: RequestContext, server: &ServerId, ended: Attempt) {
        self.store(&ended);
        let verdict = match ended {
            Attempt::Answered(answer) => {
                let run_state = answer.run_state();
                context.record.status = answer.status.as_u16();
                context.record.run_state = run_state;
                let response =
                    claim::answer(answer.status, answer.content_type, answer.body, run_state);
                Verdict::Answer(with_ids(response, &context, server))
            }
            Attempt::NotRun(reason) | Attempt::Unknown(reason) => {
                Verdict::Refuse(no_outcome(&reason))
            }
        };
        end(self.app, context, verdict, &self.reply);
    }

    /// Stores the end of a call that may have run.
    fn store(&self, ended: &Attempt) {
        let Some(held) = &self.held else {
            return;
        };
        match ended {
            Attempt::Answered(answer) => held.store_outcome(claim::outcome(
                answer.status,
                answer.content_type.as_ref(),
                &answer.body,
                answer.run_state(),
            )),
            Attempt::NotRun(_) | Attempt::Unknown(_) => held.record_unknown(),
        }
    }

    /// Replies `unknown` in time and waits on for the outcome, for the claim's sake.
    async fn wait_late(&self, context: RequestContext, mut exchange: Exchange) {
        let last_ms = context.record.arrived_ms + self.app.settings.timeouts.request_ms;
        let refusal = no_outcome("the server did not answer in time").with_retry_after_s(1);
        end(self.app, context, Verdict::Refuse(refusal), &self.reply);
        let left_ms = last_ms.saturating_sub(self.app.clock.monotonic_ms());
        let ended = exchange.wait(left_ms).await;
        self.store(&ended.unwrap_or_else(|| Attempt::Unknown("no answer came".to_owned())));
    }
}

fn with_ids(
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

/// Sends the request on a fresh connection and reads the whole answer.
async fn exchange<P>(
    stream: GuardedStream<TcpStream, P>,
    request: Request<Full<Bytes>>,
    id: AttemptId,
    first_byte: FirstByte,
) -> Attempt
where
    P: FnOnce() -> bool + Unpin + Send + 'static,
{
    let failed = |reason: String| match first_byte.is_written() {
        true => Attempt::Unknown(reason),
        false => Attempt::NotRun(reason),
    };
    let handshake = hyper::client::conn::http1::handshake(FuturesIo::new(stream)).await;
    let (mut sender, connection) = match handshake {
        Ok(parts) => parts,
        Err(error) => return failed(error.to_string()),
    };
    let call = async {
        match sender.send_request(request).await {
            Ok(response) => read_answer(response, &id).await,
            Err(error) => failed(error.to_string()),
        }
    };
    let drive = async {
        // When the connection breaks, the call above fails with the reason.
        let _ = connection.await;
        std::future::pending().await
    };
    call.or(drive).await
}

/// Judges a response; only one that names this attempt says anything about it.
async fn read_answer(response: Response<Incoming>, id: &AttemptId) -> Attempt {
    if let Err(error) = check_echo(&response, id) {
        return Attempt::Unknown(error.reason);
    }
    let (parts, body) = response.into_parts();
    let says_not_run = parts.headers.get("x-not-run").is_some_and(|v| v == "1");
    if parts.status == StatusCode::SERVICE_UNAVAILABLE && says_not_run {
        return Attempt::NotRun("the server says that nothing ran".to_owned());
    }
    // A body that only the end of the connection delimits cannot be told from a cut one.
    let is_delimited =
        body.size_hint().exact().is_some() || parts.headers.contains_key(TRANSFER_ENCODING);
    if !is_delimited {
        return Attempt::Unknown("the answer does not state its length".to_owned());
    }
    match Limited::new(body, ANSWER_MAX_BYTES).collect().await {
        Ok(body) => Attempt::Answered(Answer {
            status: parts.status,
            content_type: parts.headers.get(CONTENT_TYPE).cloned(),
            body: body.to_bytes(),
        }),
        Err(error) => Attempt::Unknown(format!("the answer broke off: {error}")),
    }
}
