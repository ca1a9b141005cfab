//! Claims a non-idempotent call in the platform's table before it is dispatched, so that calls
//! with the same idempotency key run at most once.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use sha2::{Digest, Sha256};

use crate::app::App;
use crate::control::claims::{Acquired, HeldClaim};
use crate::decide::claim::{Denial, Outcome};
use crate::filter::{RequestContext, Verdict};
use crate::http::{Body, full_body};
use crate::ids::RunState;
use crate::refusal::Refusal;

/// Longest accepted idempotency key.
const KEY_MAX_BYTES: usize = 200;

/// Claims a call by its idempotency key. Returns `None` for a call without a key if the route
/// allows it, and the verdict that ends the request if the claim is not acquired.
pub async fn apply(app: &App, context: &mut RequestContext) -> Result<Option<HeldClaim>, Verdict> {
    let key = match context.header("idempotency-key").map(str::to_owned) {
        Some(key) => key,
        None if context.parts.headers.contains_key("idempotency-key") => return Err(refuse_key()),
        None if context.is_key_required => return Err(refuse_missing_key()),
        None => {
            context
                .record
                .add_step("claim: none, the route allows calls without a key");
            return Ok(None);
        }
    };
    if key.is_empty() || key.len() > KEY_MAX_BYTES {
        return Err(refuse_key());
    }
    let row_key = row_key(context, &key);
    let digest = digest(context);
    match app
        .claims
        .acquire(row_key, digest, context.deadline_ms)
        .await
    {
        Acquired::Held(claim) => {
            app.metrics.count_claim("held");
            context.record.add_step("claim: held");
            Ok(Some(claim))
        }
        Acquired::Refused(denial) => {
            let refusal = refusal(denial);
            app.metrics.count_claim(refusal.code);
            Err(Verdict::Refuse(refusal))
        }
        Acquired::Replay(outcome) => {
            app.metrics.count_claim("replayed");
            context.record.add_step("claim: answered before");
            Err(replay(context, outcome))
        }
    }
}

fn refuse_key() -> Verdict {
    Verdict::Refuse(Refusal::not_run(
        StatusCode::BAD_REQUEST,
        "bad_key",
        "the Idempotency-Key is empty, too long or not plain ASCII",
        format!("send a key of 1 to {KEY_MAX_BYTES} printable ASCII characters"),
    ))
}

fn refuse_missing_key() -> Verdict {
    Verdict::Refuse(Refusal::not_run(
        StatusCode::BAD_REQUEST,
        "key_required",
        "the call may run at most once and has no Idempotency-Key",
        "send an Idempotency-Key that is new for each call; operators: `key_required = no` \
         in the [route] lets it go without",
    ))
}

/// Builds the row key `claim/{team}/{service}/{key}`. Slashes in the names of team and service
/// are escaped, so that two callers never share a row.
fn row_key(context: &RequestContext, key: &str) -> String {
    let escape = |name: &str| name.replace('%', "%25").replace('/', "%2F");
    let team = context.team.as_ref().map_or("", |team| team.id.as_str());
    let service = context.record.target.as_deref().unwrap_or_default();
    format!("claim/{}/{}/{key}", escape(team), escape(service))
}

/// Computes a digest of method, path with query, content type and body, each prefixed by its
/// length. A call with the same key but another digest is a different call.
fn digest(context: &RequestContext) -> String {
    let path = context.parts.uri.path_and_query();
    let parts = [
        context.parts.method.as_str().as_bytes(),
        path.map_or("", |path| path.as_str()).as_bytes(),
        context
            .header("content-type")
            .unwrap_or_default()
            .as_bytes(),
        &context.body,
    ];
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Builds the refusal of a call whose claim was denied.
pub fn refusal(denial: Denial) -> Refusal {
    let refusal = match denial {
        Denial::Held => Refusal::not_run(
            StatusCode::CONFLICT,
            "claim_held",
            "a call with this key was claimed before and has no stored answer",
            "ask again later with the same key; if it stays so, look up in the service \
             whether the call took effect",
        )
        .with_retry_after_s(1),
        Denial::KeyReused => Refusal::not_run(
            StatusCode::UNPROCESSABLE_ENTITY,
            "key_reused",
            "the Idempotency-Key was used for a different request",
            "send a new key for a new call",
        ),
        Denial::TableUnavailable => Refusal::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "claims_unavailable",
            "the table that keeps claims cannot be asked",
            "retry later with the same key",
        )
        .with_retry_after_s(2),
        Denial::DeadlinePassed => crate::filter::limit::deadline_refusal(),
    };
    refusal.with_run_state(denial.run_state())
}

/// Responds with the stored outcome of an earlier call with the same key.
fn replay(context: &mut RequestContext, outcome: Outcome) -> Verdict {
    let body = outcome
        .body_base64
        .as_deref()
        .and_then(|text| BASE64.decode(text).ok());
    let (Some(body), Ok(status)) = (body, StatusCode::from_u16(outcome.status)) else {
        return Verdict::Refuse(
            Refusal::not_run(
                StatusCode::CONFLICT,
                "outcome_not_kept",
                "the call was answered before, but its answer is too large to keep",
                "look up the result in the service",
            )
            .with_run_state(outcome.run_state),
        );
    };
    let content_type = outcome
        .content_type
        .and_then(|text| HeaderValue::from_str(&text).ok());
    let mut response = build_response(status, content_type, body.into(), outcome.run_state);
    let headers = response.headers_mut();
    headers.insert("x-replayed", HeaderValue::from_static("1"));
    if let Ok(id) = HeaderValue::from_str(context.request_id.as_str()) {
        headers.insert("x-request-id", id);
    }
    context.record.status = status.as_u16();
    context.record.run_state = outcome.run_state;
    Verdict::Respond(response)
}

/// Builds the response to a non-idempotent call.
pub fn build_response(
    status: StatusCode,
    content_type: Option<HeaderValue>,
    body: Bytes,
    run_state: RunState,
) -> Response<Body> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    if let Some(value) = content_type {
        headers.insert(CONTENT_TYPE, value);
    }
    let state = HeaderValue::from_static(run_state.as_str());
    headers.insert("x-run-state", state);
    response
}

/// Largest body that is stored with a claim; larger rows would fill the table's transactions.
const STORED_BODY_MAX_BYTES: usize = 16 * 1024;

/// Builds the outcome that is stored with a claim. A body that is too large is left out.
pub fn stored_outcome(
    status: StatusCode,
    content_type: Option<&HeaderValue>,
    body: &[u8],
    run_state: RunState,
) -> Outcome {
    Outcome {
        status: status.as_u16(),
        content_type: content_type.and_then(|v| v.to_str().ok().map(str::to_owned)),
        body_base64: (body.len() <= STORED_BODY_MAX_BYTES).then(|| BASE64.encode(body)),
        run_state,
    }
}
