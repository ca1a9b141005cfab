//! Sends the request to backend servers until one begins an answer.

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
use crate::observe::ring::{AttemptRecord, RequestRecord};
use crate::refusal::Refusal;

pub use crate::filter::attempt::Upstream;

/// Time between looks whether a struck request may run.
const ISOLATION_POLL: Duration = Duration::from_millis(10);

/// Why no backend server answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The deadline passed.
    Deadline,
    /// The request is quarantined for this time.
    Quarantined {
        /// Time until it may run again.
        left_ms: u64,
    },
    /// No server answered, and no further attempt was allowed.
    NoAnswer,
}

/// A request that no backend server answered.
#[derive(Debug, Clone)]
pub struct Unanswered {
    /// Why.
    pub cause: Cause,
    /// What happened, for people.
    pub reason: String,
    /// Whether the request may have run.
    pub run_state: RunState,
}

impl Unanswered {
    /// The caller's answer.
    pub fn refusal(&self) -> Refusal {
        let refusal = match self.cause {
            Cause::Quarantined { left_ms } => quarantine::refusal(left_ms),
            Cause::Deadline => Refusal::not_run(
                StatusCode::GATEWAY_TIMEOUT,
                "deadline_passed",
                format!("the deadline passed: {}", self.reason),
                "allow more time or retry later",
            ),
            Cause::NoAnswer => no_answer(self),
        };
        refusal.with_run_state(self.run_state)
    }
}

fn no_answer(unanswered: &Unanswered) -> Refusal {
    let (status, code, remedy) = match unanswered.run_state {
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
    let message = format!("no backend server answered: {}", unanswered.reason);
    Refusal::not_run(status, code, message, remedy).with_retry_after_s(1)
}

/// Tries servers until one begins an answer.
pub async fn apply(app: &Arc<App>, context: &mut RequestContext) -> Verdict {
    let Some(call) = Call::of(context) else {
        return Verdict::Continue;
    };
    let body = call.body.clone();
    match run(app, &call, &mut context.tries, &mut context.record, body).await {
        Ok(upstream) => {
            context.upstream = Some(upstream);
            Verdict::Continue
        }
        Err(unanswered) => Verdict::Refuse(unanswered.refusal()),
    }
}

/// Runs attempts with `body` until one begins an answer. Where the request has had attempts
/// before, the first one here is already a retry.
pub async fn run(
    app: &Arc<App>,
    call: &Call,
    tries: &mut Attempts,
    record: &mut RequestRecord,
    body: Bytes,
) -> Result<Upstream, Unanswered> {
    let mut failure = Unanswered {
        cause: Cause::NoAnswer,
        reason: "no attempt was made".to_owned(),
        run_state: match tries.count() {
            0 => RunState::NotRun,
            _ => RunState::Unknown,
        },
    };
    loop {
        let server = next_server(app, call, tries, &failure).await?;
        let (server, isolation) = isolate(app, call, tries, server, &failure).await?;
        tries.record(&server);
        match try_server(app, call, record, tries.count(), &server, body.clone()).await {
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

/// Picks the server of the next attempt, after the pause that a retry needs.
async fn next_server(
    app: &App,
    call: &Call,
    tries: &Attempts,
    failure: &Unanswered,
) -> Result<ServerId, Unanswered> {
    let now_ms = app.clock.monotonic_ms();
    if now_ms >= call.deadline_ms {
        return Err(with_cause(failure, Cause::Deadline, &failure.reason));
    }
    // The choose filter has only just picked the candidates of a first attempt.
    let candidates = match tries.count() {
        0 => call.candidates.clone(),
        _ => call.usable(app),
    };
    let candidates = app.suspects.order_suspects_last(candidates, now_ms);
    if tries.count() == 0 {
        let reason = "no backend server takes work";
        let first = candidates.into_iter().next();
        return first.ok_or_else(|| with_cause(failure, Cause::NoAnswer, reason));
    }
    let situation = RetryContext {
        now_ms,
        deadline_ms: call.deadline_ms,
        repeat: call.repeat,
        run_state: failure.run_state,
        candidates: &candidates,
    };
    match app.retries.plan_retry(&call.target, tries, situation) {
        Ok(next) => {
            smol::Timer::after(Duration::from_millis(next.backoff_ms)).await;
            Ok(next.server)
        }
        Err(give_up) => {
            let cause = match give_up {
                GiveUp::DeadlineNear => Cause::Deadline,
                _ => Cause::NoAnswer,
            };
            let reason = format!("{}; {give_up}", failure.reason);
            Err(with_cause(failure, cause, &reason))
        }
    }
}

fn with_cause(failure: &Unanswered, cause: Cause, reason: &str) -> Unanswered {
    Unanswered {
        cause,
        reason: reason.to_owned(),
        run_state: failure.run_state,
    }
}

/// Lets a struck request wait until it may run alone, on the server that is free for it.
async fn isolate(
    app: &App,
    call: &Call,
    tries: &Attempts,
    server: ServerId,
    failure: &Unanswered,
) -> Result<(ServerId, Option<Isolation>), Unanswered> {
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
        let mut candidates = call.usable(app);
        candidates.retain(|candidate| Some(candidate) != tries.last());
        let candidates = app.suspects.exclude_suspects(candidates, now_ms);
        if let Some(isolation) = app.strikes.isolate(call.fingerprint, &candidates) {
            return Ok((isolation.server.clone(), Some(isolation)));
        }
        if now_ms >= call.deadline_ms {
            let reason = "no server was free to run this request alone";
            return Err(with_cause(failure, Cause::Deadline, reason));
        }
        smol::Timer::after(ISOLATION_POLL).await;
    }
}

async fn try_server(
    app: &Arc<App>,
    call: &Call,
    record: &mut RequestRecord,
    number: u32,
    server: &ServerId,
    body: Bytes,
) -> Result<Upstream, AttemptError> {
    let configuration = app.config.current();
    let Some(backend) = configuration.inventory.servers.get(server) else {
        return Err(AttemptError::not_sent("the server left the inventory"));
    };
    let attempt = AttemptId::of(&call.request_id, number);
    let started_ms = app.clock.monotonic_ms();
    record.attempts.push(AttemptRecord {
        id: attempt.clone(),
        server: server.clone(),
        result: "not answered yet".to_owned(),
    });
    let result = attempt::start(app, call, backend, &attempt, body).await;
    let (label, text) = match &result {
        Ok(_) => ("answered", "answered".to_owned()),
        Err(error) => ("failed", error.reason.clone()),
    };
    app.metrics.attempt(label);
    if let Some(last) = record.attempts.last_mut() {
        last.result = text;
    }
    match &result {
        Ok(_) => {
            app.suspects.record_success(server);
            learn(app, server);
        }
        Err(error) => after_failure(app, call, server, started_ms, error.kind).await,
    }
    result
}

fn learn(app: &Arc<App>, server: &ServerId) {
    if !app.strikes.is_first_use(server) {
        return;
    }
    let configuration = app.config.current();
    let Some(backend) = configuration.inventory.servers.get(server).cloned() else {
        return;
    };
    let strikes = app.strikes.clone();
    app.runtime
        .detach(async move { strikes.record_incarnation(&backend).await });
}

/// Notes what a failed attempt says about its server.
async fn after_failure(
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

/// Gives the request a strike if the server died while it ran the request.
pub async fn strike_if_dead(app: &App, call: &Call, server: &ServerId, started_ms: u64) -> bool {
    let configuration = app.config.current();
    let Some(backend) = configuration.inventory.servers.get(server) else {
        return false;
    };
    let broken_ms = app.clock.monotonic_ms();
    if !app.strikes.has_crashed(backend).await {
        return false;
    }
    let crash = ServerCrash {
        fingerprint: call.fingerprint,
        ran_ms: broken_ms.saturating_sub(started_ms),
        now_ms: broken_ms,
    };
    app.members.record_failure(server);
    app.strikes.record_crash(server, crash, app.strike_policy());
    app.metrics.strike();
    true
}
