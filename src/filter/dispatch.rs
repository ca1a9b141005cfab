//! Sends the request to backend servers until one starts a response.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;

use crate::app::App;
use crate::control::strikes::{Isolation, ServerCrash};
use crate::decide::retry::{Attempts, GiveUp, RetryContext};
use crate::decide::strikes::StrikeStatus;
use crate::filter::attempt::{self, AttemptError, FailureKind};
use crate::filter::call::Call;
use crate::filter::{RequestContext, Verdict, quarantine};
use crate::ids::{AttemptId, RunState, ServerId};
use crate::observe::recent_requests::{AttemptRecord, RequestRecord};
use crate::refusal::Refusal;

pub use crate::filter::attempt::UpstreamResponse;

/// Interval at which a request with a strike checks for a server that it may run on alone.
const ISOLATION_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Why no backend server served the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The deadline passed, or is too close for a retry.
    Deadline,
    /// The request is quarantined.
    Quarantined {
        /// Time until it may run again, in ms.
        left_ms: u64,
    },
    /// All attempts failed, and no further attempt was allowed.
    NoResponse,
}

/// Error of a request that no backend server served.
#[derive(Debug, Clone)]
pub struct DispatchError {
    /// Cause, which decides the code of the refusal.
    pub cause: Cause,
    /// Details as text, for the message of the refusal.
    pub reason: String,
    /// Whether the request may have run.
    pub run_state: RunState,
}

impl DispatchError {
    /// Builds the refusal that the caller receives.
    pub fn refusal(&self) -> Refusal {
        let refusal = match self.cause {
            Cause::Quarantined { left_ms } => quarantine::refusal(left_ms),
            Cause::Deadline => Refusal::not_run(
                StatusCode::GATEWAY_TIMEOUT,
                "deadline_passed",
                format!("the deadline passed: {}", self.reason),
                "allow more time or retry later",
            ),
            Cause::NoResponse => no_response_refusal(self),
        };
        refusal.with_run_state(self.run_state)
    }
}

fn no_response_refusal(error: &DispatchError) -> Refusal {
    let (status, code, remedy) = match error.run_state {
        RunState::NotRun => (
            StatusCode::SERVICE_UNAVAILABLE,
            "not_reached",
            "retry later; the request did not run",
        ),
        RunState::Unknown | RunState::Ran => (
            StatusCode::BAD_GATEWAY,
            "no_answer",
            "retry later if the request may run twice",
        ),
    };
    let message = format!("no backend server answered: {}", error.reason);
    Refusal::not_run(status, code, message, remedy).with_retry_after_s(1)
}

/// Makes attempts until a server starts a response.
pub async fn apply(app: &Arc<App>, context: &mut RequestContext) -> Verdict {
    let Some(call) = Call::from_context(context) else {
        return Verdict::Continue;
    };
    let body = call.body.clone();
    match run(app, &call, &mut context.attempts, &mut context.record, body).await {
        Ok(upstream) => {
            context.upstream = Some(upstream);
            Verdict::Continue
        }
        Err(error) => Verdict::Refuse(error.refusal()),
    }
}

/// Makes attempts with `body` until a server starts a response. If the request has had attempts
/// before, the first one here already counts as a retry.
pub async fn run(
    app: &Arc<App>,
    call: &Call,
    attempts: &mut Attempts,
    record: &mut RequestRecord,
    body: Bytes,
) -> Result<UpstreamResponse, DispatchError> {
    let mut failure = DispatchError {
        cause: Cause::NoResponse,
        reason: "no attempt was made".to_owned(),
        run_state: match attempts.count() {
            0 => RunState::NotRun,
            _ => RunState::Unknown,
        },
    };
    loop {
        let server = next_server(app, call, attempts, &failure).await?;
        let (server, isolation) = wait_for_isolation(app, call, attempts, server, &failure).await?;
        attempts.record(&server);
        match run_attempt(app, call, record, attempts.count(), &server, body.clone()).await {
            Ok(mut upstream) => {
                upstream.isolation = isolation;
                return Ok(upstream);
            }
            Err(error) => {
                if error.run_state != RunState::NotRun {
                    failure.run_state = error.run_state;
                }
                failure.reason = error.reason;
            }
        }
    }
}

/// Selects the server of the next attempt; for a retry, waits for the back-off first.
async fn next_server(
    app: &App,
    call: &Call,
    attempts: &Attempts,
    failure: &DispatchError,
) -> Result<ServerId, DispatchError> {
    let now_ms = app.clock.monotonic_ms();
    if now_ms >= call.deadline_ms {
        return Err(with_cause(failure, Cause::Deadline, &failure.reason));
    }
    // The candidates of a first attempt are up to date: the choose filter has just set them.
    let candidates = match attempts.count() {
        0 => call.candidates.clone(),
        _ => call.usable_candidates(app),
    };
    let candidates = app.suspects.order_suspects_last(candidates, now_ms);
    if attempts.count() == 0 {
        let reason = "no backend server takes work";
        let first = candidates.into_iter().next();
        return first.ok_or_else(|| with_cause(failure, Cause::NoResponse, reason));
    }
    let situation = RetryContext {
        now_ms,
        deadline_ms: call.deadline_ms,
        repeat: call.repeat,
        run_state: failure.run_state,
        candidates: &candidates,
    };
    match app.retries.plan_retry(&call.target, attempts, situation) {
        Ok(next) => {
            smol::Timer::after(Duration::from_millis(next.backoff_ms)).await;
            Ok(next.server)
        }
        Err(give_up) => {
            let cause = match give_up {
                GiveUp::DeadlineNear => Cause::Deadline,
                _ => Cause::NoResponse,
            };
            let reason = format!("{}; {give_up}", failure.reason);
            Err(with_cause(failure, cause, &reason))
        }
    }
}

fn with_cause(failure: &DispatchError, cause: Cause, reason: &str) -> DispatchError {
    DispatchError {
        cause,
        reason: reason.to_owned(),
        run_state: failure.run_state,
    }
}

/// Lets a request with a strike wait until it may run alone on a server, and returns that server.
/// A request without a strike keeps `server`.
async fn wait_for_isolation(
    app: &App,
    call: &Call,
    attempts: &Attempts,
    server: ServerId,
    failure: &DispatchError,
) -> Result<(ServerId, Option<Isolation>), DispatchError> {
    loop {
        let now_ms = app.clock.monotonic_ms();
        match app
            .strikes
            .status(call.fingerprint, now_ms, app.strike_policy())
        {
            StrikeStatus::Clear => return Ok((server, None)),
            StrikeStatus::Quarantined { left_ms } => {
                let cause = Cause::Quarantined { left_ms };
                let reason = "backend servers died while they ran this request";
                return Err(with_cause(failure, cause, reason));
            }
            StrikeStatus::Struck => {}
        }
        let mut candidates = call.usable_candidates(app);
        candidates.retain(|candidate| Some(candidate) != attempts.last());
        let candidates = app.suspects.exclude_suspects(candidates, now_ms);
        if let Some(isolation) = app.strikes.isolate(call.fingerprint, &candidates) {
            return Ok((isolation.server.clone(), Some(isolation)));
        }
        if now_ms >= call.deadline_ms {
            let reason = "no server was free to run this request alone";
            return Err(with_cause(failure, Cause::Deadline, reason));
        }
        smol::Timer::after(ISOLATION_POLL_INTERVAL).await;
    }
}

async fn run_attempt(
    app: &Arc<App>,
    call: &Call,
    record: &mut RequestRecord,
    number: u32,
    server: &ServerId,
    body: Bytes,
) -> Result<UpstreamResponse, AttemptError> {
    let configuration = app.config.current();
    let Some(backend) = configuration.inventory.servers.get(server) else {
        return Err(AttemptError::not_sent("the server left the inventory"));
    };
    let attempt = AttemptId::new(&call.request_id, number);
    let started_ms = app.clock.monotonic_ms();
    record.attempts.push(AttemptRecord {
        id: attempt.clone(),
        server: server.clone(),
        result: "no response yet".to_owned(),
    });
    let result = attempt::start(app, call, backend, &attempt, body).await;
    let (label, text) = match &result {
        Ok(_) => ("answered", "answered".to_owned()),
        Err(error) => ("failed", error.reason.clone()),
    };
    app.metrics.count_attempt(label);
    if let Some(last) = record.attempts.last_mut() {
        last.result = text;
    }
    match &result {
        Ok(_) => {
            app.suspects.record_success(server);
            learn_incarnation(app, server);
        }
        Err(error) => record_failure(app, call, server, started_ms, error.kind).await,
    }
    result
}

/// Reads the incarnation of an engine at its first use, so that a later break can be recognised as
/// a restart.
fn learn_incarnation(app: &Arc<App>, server: &ServerId) {
    if !app.strikes.is_first_use(server) {
        return;
    }
    let configuration = app.config.current();
    let Some(backend) = configuration.inventory.servers.get(server).cloned() else {
        return;
    };
    let strikes = app.strikes.clone();
    app.runtime
        .spawn_detached(async move { strikes.record_incarnation(&backend).await });
}

/// Updates the state of a server after a failed attempt: whether it is down, suspect or has
/// crashed on the request.
async fn record_failure(
    app: &App,
    call: &Call,
    server: &ServerId,
    started_ms: u64,
    kind: FailureKind,
) {
    let is_dead =
        kind == FailureKind::Broken && strike_if_dead(app, call, server, started_ms).await;
    let is_suspect = is_dead || matches!(kind, FailureKind::Connect | FailureKind::Timeout);
    if kind == FailureKind::Connect {
        app.members.record_failure(server);
    }
    if is_suspect {
        app.suspects
            .record_failure(server, app.clock.monotonic_ms());
    }
}

/// Gives the request a strike if the server crashed while it ran the request. Returns whether it
/// crashed.
pub async fn strike_if_dead(app: &App, call: &Call, server: &ServerId, started_ms: u64) -> bool {
    let configuration = app.config.current();
    let Some(backend) = configuration.inventory.servers.get(server) else {
        return false;
    };
    let failed_at_ms = app.clock.monotonic_ms();
    if !app.strikes.has_crashed(backend).await {
        return false;
    }
    let crash = ServerCrash {
        fingerprint: call.fingerprint,
        ran_ms: failed_at_ms.saturating_sub(started_ms),
        now_ms: failed_at_ms,
    };
    app.members.record_failure(server);
    app.strikes.record_crash(server, crash, app.strike_policy());
    app.metrics.count_strike();
    true
}
