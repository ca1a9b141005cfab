//! Records how a request ended: one log line, metrics and a record for `explain`.

use std::sync::Arc;

use hyper::Response;

use crate::app::App;
use crate::filter::RequestContext;
use crate::http::Body;
use crate::ids::RunState;
use crate::observe::recent_requests::RequestRecord;
use crate::refusal::Refusal;

/// Records a request that has ended with this outcome.
pub fn finish(app: &App, mut record: RequestRecord, outcome: &str) {
    record.outcome = outcome.to_owned();
    record.duration_ms = app.clock.monotonic_ms().saturating_sub(record.arrived_ms);
    app.metrics
        .count_request(outcome, record.run_state.as_str(), record.events);
    log::info!(
        "event=request id={} team={} target={} status={} outcome={outcome} run_state={} attempts={} events={} duration_ms={}",
        record.request_id,
        record.team.as_ref().map_or("-", |team| team.as_str()),
        record.target.as_deref().unwrap_or("-"),
        record.status,
        record.run_state.as_str(),
        record.attempts.len(),
        record.events,
        record.duration_ms,
    );
    app.recent_requests.push(record);
}

/// A request that runs in its caller's task. The task is dropped when the caller disconnects, and
/// the request is then recorded with outcome `caller_gone`.
pub struct RunningRequest {
    app: Arc<App>,
    context: Option<RequestContext>,
}

impl RunningRequest {
    /// Wraps a request that is about to run.
    pub fn new(app: &Arc<App>, context: RequestContext) -> Self {
        Self {
            app: Arc::clone(app),
            context: Some(context),
        }
    }

    /// The state of the request.
    pub fn context(&mut self) -> Option<&mut RequestContext> {
        self.context.as_mut()
    }

    /// Returns the state of the request, which the new owner must record.
    pub fn into_context(mut self) -> Option<RequestContext> {
        self.context.take()
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let Some(mut context) = self.context.take() else {
            return;
        };
        if !context.record.attempts.is_empty() {
            context.record.run_state = RunState::Unknown;
        }
        finish(&self.app, context.record, "caller_gone");
    }
}

/// Records a refusal and builds the response from it.
pub fn refuse(app: &App, mut context: RequestContext, refusal: Refusal) -> Response<Body> {
    context.record.status = refusal.status.as_u16();
    context.record.run_state = refusal.run_state;
    context
        .record
        .add_step(format!("refused: {}", refusal.message));
    finish(app, context.record, refusal.code);
    refusal.into_response(&context.request_id)
}
