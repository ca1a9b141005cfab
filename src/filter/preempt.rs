//! Cancels free work for paying work.

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
/// Part of the slots from which a server counts as full: estimates lag by some of the slots,
/// and paying work would wait there before they show it.
const FULL_PART: f64 = 0.85;

/// Lists free work, or makes room for paying work on a full server.
///
/// Deferred work is never cancelled, since it must arrive whole.
pub fn enter(app: &App, context: &RequestContext) -> Option<FreeGuard> {
    let first = context.candidates.first()?;
    match (context.class(), context.urgency) {
        (Class::Free, Urgency::Interactive) => Some(app.free_work.register(first)),
        (Class::Free, Urgency::Deferred) => None,
        (Class::Paying, _) => {
            let server = context.configuration.inventory.servers.get(first)?;
            let loads = app.load.estimates(&[server]);
            let is_full = loads[0] + 1.0 > FULL_PART * f64::from(server.slots);
            if is_full && app.free_work.cancel_newest(first) {
                app.metrics.preempted();
            }
            None
        }
    }
}

/// Refuses free work that was cancelled before its answer began.
pub fn refusal() -> Refusal {
    Refusal::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "preempted",
        "paying work needed the capacity",
        "retry later",
    )
    // The server may have begun to run it.
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

/// Time between the error event and the cut of the connection: hyper drops what it has not
/// yet written when a body fails.
const ERROR_FLUSH: Duration = Duration::from_millis(50);

/// Ends an answer with an error event and a cut connection when its work is cancelled.
pub fn watch(response: Response<Body>, guard: FreeGuard) -> Response<Body> {
    response.map(|body| {
        let start = Watched::Running(body, Arc::new(guard));
        StreamBody::new(futures_util::stream::unfold(start, next_part)).boxed_unsync()
    })
}

enum Watched {
    Running(Body, Arc<FreeGuard>),
    Cancelled,
    Ended,
}

type Part = Result<Frame<Bytes>, BodyError>;

async fn next_part(watched: Watched) -> Option<(Part, Watched)> {
    let (mut body, guard) = match watched {
        Watched::Running(body, guard) => (body, guard),
        Watched::Cancelled => {
            smol::Timer::after(ERROR_FLUSH).await;
            return Some((Err(BodyError::Incomplete("preempted")), Watched::Ended));
        }
        Watched::Ended => return None,
    };
    let cancelled = async {
        guard.cancelled().await;
        None
    };
    let frame = async { Some(body.frame().await) };
    match frame.or(cancelled).await {
        Some(Some(Ok(frame))) => Some((Ok(frame), Watched::Running(body, guard))),
        Some(Some(Err(error))) => Some((Err(error), Watched::Ended)),
        Some(None) => None,
        None => Some((Ok(Frame::data(error_event().encode())), Watched::Cancelled)),
    }
}
