//! Refuses requests that crashed too many backend servers.

use hyper::StatusCode;

use crate::app::App;
use crate::decide::strikes::{Fingerprint, StrikeStatus};
use crate::filter::{RequestContext, Verdict};
use crate::refusal::Refusal;

/// Computes the request's fingerprint and refuses the request while it is quarantined.
pub fn apply(app: &App, context: &mut RequestContext) -> Verdict {
    let path = context
        .parts
        .uri
        .path_and_query()
        .map_or("/", |p| p.as_str());
    let method = context.parts.method.as_str();
    context.fingerprint = Fingerprint::of(method, path, &context.body);
    let now_ms = app.clock.monotonic_ms();
    match app
        .strikes
        .status(context.fingerprint, now_ms, app.strike_policy())
    {
        StrikeStatus::Clear | StrikeStatus::Struck => Verdict::Continue,
        StrikeStatus::Quarantined { left_ms } => {
            let step = format!("quarantine: fingerprint {}", context.fingerprint);
            context.record.add_step(step);
            Verdict::Refuse(refusal(left_ms))
        }
    }
}

/// Builds the refusal of a quarantined request that did not run.
pub fn refusal(left_ms: u64) -> Refusal {
    Refusal::not_run(
        StatusCode::UNPROCESSABLE_ENTITY,
        "request_quarantined",
        "backend servers died while they ran this request",
        "change the request, or wait until the time in Retry-After has passed",
    )
    .with_retry_after_s(left_ms.div_ceil(1000).min(u32::MAX.into()) as u32)
}
