//! Cancels requests of free teams when a full server is needed for paying teams.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::{Response, StatusCode};

use crate::app::App;
use crate::control::preempt::FreeGuard;
use crate::filter::RequestContext;
use crate::http::sse::Event;
use crate::http::{Body, BodyError};
use crate::ids::{Class, RunState, Urgency};
use crate::refusal::Refusal;

const RETRY_AFTER_S: u32 = 2;
/// Share of its slots from which a server counts as full. Load estimates lag behind by some of
/// the slots, so with a share of 1 paying work would queue on a full server before the estimates
/// show it.
const FULL_RATIO: f64 = 0.85;

/// Registers free interactive work as cancellable on its first candidate. For paying work, cancels
/// the newest such work if the first candidate is full.
///
/// Deferred work is never cancelled, since it must be delivered completely.
pub fn register(app: &App, context: &RequestContext) -> Option<FreeGuard> {
    let first = context.candidates.first()?;
    match (context.class(), context.urgency) {
        (Class::Free, Urgency::Interactive) => Some(app.free_work.register(first)),
        (Class::Free, Urgency::Deferred) => None,
        (Class::Paying, _) => {
            let server = context.configuration.inventory.servers.get(first)?;
            let loads = app.load.estimates(&[server]);
            let is_full = loads[0] + 1.0 > FULL_RATIO * f64::from(server.slots);
            if is_full && app.free_work.cancel_newest(first) {
                app.metrics.count_preempted();
            }
            None
        }
    }
}

/// Builds the refusal of free work that was cancelled before its response started.
pub fn refusal() -> Refusal {
    Refusal::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "preempted",
        "paying work needed the capacity",
        "retry later",
    )
    // The server may already have started to run the request.
    .with_run_state(RunState::Unknown)
    .with_retry_after_s(RETRY_AFTER_S)
}

fn error_event() -> Event {
    Event {
        name: "error".to_owned(),
        data: r#"{"error":{"code":"preempted","message":"paying work needed the capacity","remedy":"retry later","run_state":"ran"}}"#
            .to_owned(),
        ..Event::default()
    }
}

/// Pause between the error event and the abort of the connection. When a body fails, hyper drops
/// the data that it has not yet written, so the event would be lost without the pause.
const ERROR_FLUSH_PAUSE: Duration = Duration::from_millis(50);

/// Makes a response end with an error event and an aborted connection if its work is cancelled.
pub fn abort_when_cancelled(response: Response<Body>, guard: FreeGuard) -> Response<Body> {
    response.map(|body| {
        let start = PreemptibleBody::Running(body, Arc::new(guard));
        StreamBody::new(futures_util::stream::unfold(start, next_frame)).boxed_unsync()
    })
}

enum PreemptibleBody {
    Running(Body, Arc<FreeGuard>),
    Cancelled,
    Ended,
}

type FrameResult = Result<Frame<Bytes>, BodyError>;

async fn next_frame(preemptible: PreemptibleBody) -> Option<(FrameResult, PreemptibleBody)> {
    let (mut body, guard) = match preemptible {
        PreemptibleBody::Running(body, guard) => (body, guard),
        PreemptibleBody::Cancelled => {
            smol::Timer::after(ERROR_FLUSH_PAUSE).await;
            return Some((
                Err(BodyError::Incomplete("preempted")),
                PreemptibleBody::Ended,
            ));
        }
        PreemptibleBody::Ended => return None,
    };
    let cancelled = async {
        guard.cancelled().await;
        None
    };
    let frame = async { Some(body.frame().await) };
    match frame.or(cancelled).await {
        Some(Some(Ok(frame))) => Some((Ok(frame), PreemptibleBody::Running(body, guard))),
        Some(Some(Err(error))) => Some((Err(error), PreemptibleBody::Ended)),
        Some(None) => None,
        None => Some((
            Ok(Frame::data(error_event().encode())),
            PreemptibleBody::Cancelled,
        )),
    }
}
