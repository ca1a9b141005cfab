//! Limits on body size, requests in flight, body read time and the deadline.

use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::StatusCode;
use hyper::body::Incoming;

use crate::app::App;
use crate::config::settings::Limits;
use crate::control::flight::InFlight;
use crate::filter::{RequestContext, Verdict};
use crate::http::body_reader::{BodyBuffer, announced_bytes};
use crate::refusal::Refusal;

/// Counts the request as in flight, reads its body within the limits and checks the deadline.
pub async fn apply(app: &App, context: &mut RequestContext, body: Incoming) -> Verdict {
    let limits = &app.settings.limits;
    let Some(team) = &context.team else {
        return Verdict::Continue;
    };
    let entered = app
        .in_flight
        .try_enter(&team.id, limits.requests_max, limits.team_requests_max);
    let Some(mut in_flight) = entered else {
        return Verdict::Refuse(
            Refusal::not_run(
                StatusCode::TOO_MANY_REQUESTS,
                "too_many_requests",
                "too many requests are in flight",
                "wait for answers or retry later",
            )
            .with_retry_after_s(1),
        );
    };
    let timeout = Duration::from_millis(limits.body_timeout_ms);
    let read = read_body(&mut in_flight, body, limits);
    let expire = async {
        smol::Timer::after(timeout).await;
        Err(body_timeout_refusal())
    };
    match read.or(expire).await {
        Ok(body) => context.body = body,
        Err(refusal) => return Verdict::Refuse(refusal),
    }
    context.in_flight = Some(in_flight);
    if app.clock.monotonic_ms() >= context.deadline_ms {
        return Verdict::Refuse(deadline_refusal());
    }
    Verdict::Continue
}

async fn read_body(
    in_flight: &mut InFlight,
    body: Incoming,
    limits: &Limits,
) -> Result<Bytes, Refusal> {
    if announced_bytes(&body).is_some_and(|bytes| bytes > limits.body_bytes) {
        return Err(body_too_large_refusal(limits.body_bytes));
    }
    let mut body = Limited::new(body, limits.body_bytes);
    let mut buffer = BodyBuffer::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| body_refusal(&*error, limits.body_bytes))?;
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        if !in_flight.try_reserve_body(bytes.len(), limits.body_total_bytes) {
            return Err(bodies_full_refusal());
        }
        buffer.push(&bytes, limits.body_bytes);
    }
    Ok(buffer.into_bytes())
}

fn bodies_full_refusal() -> Refusal {
    Refusal::not_run(
        StatusCode::TOO_MANY_REQUESTS,
        "bodies_full",
        "the bodies of requests in flight take up all the memory set aside for them",
        "send shorter bodies or retry later",
    )
    .with_retry_after_s(1)
}

fn body_too_large_refusal(max_bytes: usize) -> Refusal {
    Refusal::not_run(
        StatusCode::PAYLOAD_TOO_LARGE,
        "body_too_large",
        format!("the body is larger than {max_bytes} bytes"),
        "shorten the request",
    )
}

fn body_refusal(error: &(dyn std::error::Error + 'static), max_bytes: usize) -> Refusal {
    if error.is::<LengthLimitError>() {
        return body_too_large_refusal(max_bytes);
    }
    Refusal::not_run(
        StatusCode::BAD_REQUEST,
        "body_broken",
        format!("the body could not be read: {error}"),
        "send the whole body in valid HTTP/1.1 framing",
    )
}

fn body_timeout_refusal() -> Refusal {
    Refusal::not_run(
        StatusCode::REQUEST_TIMEOUT,
        "body_timeout",
        "the body did not arrive in time",
        "send the body faster",
    )
}

/// Refusal of a request whose deadline passed before it was sent to a backend server.
pub fn deadline_refusal() -> Refusal {
    Refusal::not_run(
        StatusCode::GATEWAY_TIMEOUT,
        "deadline_passed",
        "the deadline passed before a backend server was asked",
        "allow more time or retry later",
    )
}
