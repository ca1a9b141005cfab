//! Relays the response to the caller; a response that ends normally is complete.

mod stream;

use std::sync::Arc;

use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::{Response, StatusCode};

use crate::app::App;
use crate::filter::attempt::{UpstreamBody, UpstreamResponse};
use crate::filter::{RequestContext, Verdict, record};
use crate::http::{Body, full_body};
use crate::ids::RunState;
use crate::refusal::Refusal;

/// Builds the refusal of a request for which no filter produced a response.
pub fn unanswered_refusal() -> Refusal {
    Refusal::not_run(
        StatusCode::INTERNAL_SERVER_ERROR,
        "unanswered",
        "no filter answered the request",
        "report this as a fault",
    )
}

/// Turns the backend server's response into the caller's.
pub fn apply(app: &Arc<App>, context: &mut RequestContext) -> Verdict {
    let Some(upstream) = context.upstream.take() else {
        return Verdict::Continue;
    };
    let now_ms = app.clock.monotonic_ms();
    let first_event_ms = now_ms.saturating_sub(context.record.arrived_ms);
    context.record.first_event_ms = Some(first_event_ms);
    context.record.status = upstream.status.as_u16();
    context.record.run_state = RunState::Ran;
    app.metrics.record_first_event(first_event_ms as f64);
    match &upstream.body {
        UpstreamBody::Stream(_) => stream::apply(app, context, upstream),
        UpstreamBody::Buffered(bytes) => {
            let body = full_body(bytes.clone());
            relay_buffered(app, context, upstream, body)
        }
    }
}

fn relay_buffered(
    app: &Arc<App>,
    context: &mut RequestContext,
    upstream: UpstreamResponse,
    body: Body,
) -> Verdict {
    let mut response = response_with_ids(context, &upstream, body);
    if let Some(value) = upstream.headers.get(CONTENT_TYPE) {
        response.headers_mut().insert(CONTENT_TYPE, value.clone());
    }
    let now_ms = app.clock.monotonic_ms();
    app.strikes
        .record_completion(context.fingerprint, &upstream.server, now_ms);
    let has_succeeded = !upstream.status.is_server_error();
    if let Some(target) = context.target.as_ref().filter(|_| has_succeeded) {
        app.retries.record_success(target);
    }
    upstream.complete(app);
    record::finish(app, context.record.clone(), "complete");
    Verdict::Respond(response)
}

/// Builds a response with the backend server's status and the ids that a caller can quote in a
/// report.
fn response_with_ids(
    context: &RequestContext,
    upstream: &UpstreamResponse,
    body: Body,
) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = upstream.status;
    let pairs = [
        ("x-request-id", context.request_id.as_str()),
        ("x-backend-server", upstream.server.as_str()),
        ("x-run-state", RunState::Ran.as_str()),
    ];
    for (name, value) in pairs {
        if let Ok(value) = HeaderValue::from_str(value) {
            let name = HeaderName::from_static(name);
            response.headers_mut().insert(name, value);
        }
    }
    response
}
