//! Admission by load, class and team.

use std::time::Duration;

use hyper::StatusCode;

use crate::app::App;
use crate::config::inventory::{BackendServer, ServerState};
use crate::control::teams::{AdmissionRequest, TeamTicket, threshold};
use crate::decide::admit::{Decision, Reason, Request};
use crate::decide::trace::{Admit, Line};
use crate::filter::limit::deadline_refusal;
use crate::filter::{RequestContext, Verdict};
use crate::refusal::Refusal;

/// Interval at which waiting deferred work is checked for admission.
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(50);
const RETRY_AFTER_S: u32 = 1;

/// Admits the request, queues deferred work until there is capacity, or refuses the request.
pub async fn apply(app: &App, context: &mut RequestContext) -> Verdict {
    let mut queue_place = None;
    loop {
        let reason = match try_admit(app, context) {
            None => return Verdict::Continue,
            Some(Decision::Wait(reason)) => reason,
            Some(Decision::Refuse(reason)) => return refuse(app, context, reason),
            Some(Decision::Admit) => return Verdict::Continue,
        };
        if queue_place.is_none() {
            queue_place = app
                .deferred
                .try_enter(app.settings.serving.deferred.queue_max);
            if queue_place.is_none() {
                return Verdict::Refuse(queue_full_refusal());
            }
            context.record.add_step(format!("admit: waits, {reason:?}"));
        }
        if app.clock.monotonic_ms() >= context.deadline_ms {
            return Verdict::Refuse(deadline_refusal());
        }
        smol::Timer::after(WAIT_POLL_INTERVAL).await;
    }
}

/// Makes one admission decision. Returns `None` if the request was admitted, or needs no decision
/// because it has no team, no target or no active server.
fn try_admit(app: &App, context: &mut RequestContext) -> Option<Decision> {
    let (team, target) = (context.team.as_ref()?, context.target.as_ref()?);
    let inventory = &context.configuration.inventory;
    let servers: Vec<&BackendServer> = inventory
        .servers_of(target)
        .filter(|server| server.state == ServerState::Active)
        .collect();
    if servers.is_empty() {
        // The choose filter refuses the request with code `no_server`.
        return None;
    }
    let admission_request = AdmissionRequest {
        team,
        target,
        urgency: context.urgency,
        load: app.load.estimates(&servers).iter().sum(),
        slots: servers.iter().map(|s| f64::from(s.slots)).sum(),
        threshold: threshold(inventory, team.class),
    };
    let (request, result) = app.teams.admit(&admission_request);
    let decision = match &result {
        Ok(_) => Decision::Admit,
        Err(decision) => *decision,
    };
    app.recorder.record(|| {
        Line::Admit(Admit {
            at_ms: app.clock.monotonic_ms(),
            team: team.id.clone(),
            request,
            outcome: decision,
        })
    });
    match result {
        Ok(ticket) => attach_ticket(context, ticket, &request),
        Err(decision) => return Some(decision),
    }
    None
}

fn attach_ticket(context: &mut RequestContext, ticket: TeamTicket, request: &Request) {
    let (usage, level) = (request.usage, request.level);
    context
        .record
        .add_step(format!("admit: usage {usage:.2}, level {level:.2}"));
    if let Some(in_flight) = &mut context.in_flight {
        in_flight.attach_ticket(ticket);
    }
}

/// Counts and builds the refusal of a request that was not admitted.
pub(super) fn refuse(app: &App, context: &RequestContext, reason: Reason) -> Verdict {
    app.metrics.count_not_admitted(context.class(), reason);
    let refusal = match reason {
        Reason::Overloaded => Refusal::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "overloaded",
            "the servers' load is over the threshold of the team's class",
            "retry later",
        ),
        Reason::OverShare => Refusal::not_run(
            StatusCode::TOO_MANY_REQUESTS,
            "over_share",
            "the team uses more than its share while others wait for theirs",
            "send fewer requests at once, or retry later",
        ),
    };
    Verdict::Refuse(refusal.with_retry_after_s(RETRY_AFTER_S))
}

fn queue_full_refusal() -> Refusal {
    Refusal::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "deferred_queue_full",
        "too much deferred work waits",
        "retry later",
    )
    .with_retry_after_s(RETRY_AFTER_S)
}
