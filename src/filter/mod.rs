//! The filter chain that each request passes, in order: identify, limit, quarantine, admit,
//! claim, choose, dispatch, relay, record.

pub mod admit;
pub mod attempt;
pub mod call;
pub mod cancel;
pub mod choose;
pub mod claim;
pub mod dispatch;
pub mod dispatch_once;
pub mod drain;
pub mod identify;
pub mod limit;
pub mod preempt;
pub mod quarantine;
pub mod record;
pub mod relay;

use std::sync::Arc;

use bytes::Bytes;
use futures_lite::FutureExt;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Request, Response};

use crate::app::App;
use crate::config::inventory::{Target, Team};
use crate::control::config::Configuration;
use crate::control::flight::InFlight;
use crate::decide::retry::Attempts;
use crate::decide::strikes::Fingerprint;
use crate::filter::attempt::Upstream;
use crate::http::Body;
use crate::ids::{ChatId, Class, Repeat, RequestId, RunState, ServerId, Urgency};
use crate::observe::ring::RequestRecord;
use crate::refusal::Refusal;

/// What a filter decided.
pub enum Verdict {
    /// The next filter goes on.
    Continue,
    /// The request is refused.
    Refuse(Refusal),
    /// The request is answered.
    Answer(Response<Body>),
}

/// What the filters have found out about a request so far.
pub struct RequestContext {
    /// Id given to the caller.
    pub request_id: RequestId,
    /// Configuration that the whole request is decided under.
    pub configuration: Arc<Configuration>,
    /// Method, path and headers.
    pub parts: Parts,
    /// Whole body, once read.
    pub body: Bytes,
    /// Monotonic time in ms after which no answer is wanted.
    pub deadline_ms: u64,
    /// The caller's team, once known.
    pub team: Option<Team>,
    /// What is asked for, once known.
    pub target: Option<Target>,
    /// The chat, once known.
    pub chat: ChatId,
    /// Whether this is the chat's first request, so that no server holds its cache.
    pub is_new_chat: bool,
    /// Whether the caller wants a stream.
    pub is_stream: bool,
    /// Whether the call may run more than once.
    pub repeat: Repeat,
    /// Whether the answer may wait.
    pub urgency: Urgency,
    /// Whether a non-idempotent call without a key is refused.
    pub is_key_required: bool,
    /// Counts the request as in flight until it is dropped.
    pub in_flight: Option<InFlight>,
    /// Server that a valid hint names.
    pub home: Option<ServerId>,
    /// Servers in the order in which to try them.
    pub candidates: Vec<ServerId>,
    /// Identifies the request's content.
    pub fingerprint: Fingerprint,
    /// Attempts so far.
    pub tries: Attempts,
    /// The answer that a server has begun.
    pub upstream: Option<Upstream>,
    /// What is kept for `explain`.
    pub record: RequestRecord,
}

impl RequestContext {
    fn open(app: &App, parts: Parts) -> Self {
        let request_id = RequestId::random();
        let configuration = app.config.current();
        let now_ms = app.clock.monotonic_ms();
        let record = RequestRecord::open(request_id.clone(), configuration.version, now_ms);
        Self {
            request_id,
            configuration,
            parts,
            body: Bytes::new(),
            deadline_ms: now_ms + app.settings.timeouts.request_ms,
            team: None,
            target: None,
            chat: ChatId(0),
            is_new_chat: true,
            is_stream: false,
            repeat: Repeat::Idempotent,
            urgency: Urgency::Interactive,
            is_key_required: true,
            in_flight: None,
            home: None,
            candidates: Vec::new(),
            fingerprint: Fingerprint(0),
            tries: Attempts::default(),
            upstream: None,
            record,
        }
    }

    /// The class of the caller's team.
    pub fn class(&self) -> Class {
        self.team.as_ref().map_or(Class::Free, |team| team.class)
    }

    /// The text of a request header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.parts.headers.get(name)?.to_str().ok()
    }
}

/// Passes a request through the chain.
pub async fn handle(app: Arc<App>, request: Request<Incoming>) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let mut context = RequestContext::open(&app, parts);
    let verdict = open(&app, &mut context, body).await;
    match verdict {
        Verdict::Continue if context.repeat == Repeat::Once => run_once(app, context).await,
        Verdict::Continue if context.urgency == Urgency::Deferred => {
            run_detached(app, context).await
        }
        Verdict::Continue => run(app, context).await,
        verdict => conclude(&app, context, verdict),
    }
}

fn conclude(app: &App, context: RequestContext, verdict: Verdict) -> Response<Body> {
    match verdict {
        Verdict::Answer(response) => choose::add_hint(app, &context, response),
        Verdict::Refuse(refusal) => record::refuse(app, context, refusal),
        Verdict::Continue => record::refuse(app, context, relay::unanswered()),
    }
}

macro_rules! pass {
    ($verdict:expr) => {
        match $verdict {
            Verdict::Continue => {}
            verdict => return verdict,
        }
    };
}

/// The filters that all requests pass.
async fn open(app: &Arc<App>, context: &mut RequestContext, body: Incoming) -> Verdict {
    pass!(identify::caller(app, context));
    pass!(identify::models(app, context));
    pass!(limit::apply(app, context, body).await);
    pass!(identify::target(context));
    quarantine::apply(app, context)
}

async fn run_once(app: Arc<App>, mut context: RequestContext) -> Response<Body> {
    match admit::apply(&app, &mut context).await {
        Verdict::Continue => dispatch_once::detach(app, context).await,
        verdict => conclude(&app, context, verdict),
    }
}

/// Runs the request in a task of its own, which goes on when the caller goes away.
async fn run_detached(app: Arc<App>, context: RequestContext) -> Response<Body> {
    let (sender, receiver) = async_channel::bounded(1);
    let request_id = context.request_id.clone();
    app.runtime.clone().detach(async move {
        let response = run(app, context).await;
        // The caller may have gone.
        let _ = sender.send(response).await;
    });
    match receiver.recv().await {
        Ok(response) => response,
        // The task failed; how far the request got is not known.
        Err(_) => relay::unanswered()
            .with_run_state(RunState::Unknown)
            .into_response(&request_id),
    }
}

/// Runs an idempotent request.
async fn run(app: Arc<App>, context: RequestContext) -> Response<Body> {
    let request_id = context.request_id.clone();
    let mut running = record::Running::open(&app, context);
    let verdict = match running.context() {
        Some(context) => decide(&app, context).await,
        None => Verdict::Continue,
    };
    match running.take() {
        Some(context) => conclude(&app, context, verdict),
        None => relay::unanswered()
            .with_run_state(RunState::Unknown)
            .into_response(&request_id),
    }
}

/// The further filters of idempotent requests.
async fn decide(app: &Arc<App>, context: &mut RequestContext) -> Verdict {
    pass!(admit::apply(app, context).await);
    pass!(choose::apply(app, context));
    drain::apply(app, context).await;
    let Some(free) = preempt::enter(app, context) else {
        return dispatch(app, context).await;
    };
    let cancelled = async {
        free.cancelled().await;
        Verdict::Refuse(preempt::refusal())
    };
    match dispatch(app, context).or(cancelled).await {
        Verdict::Answer(response) => Verdict::Answer(preempt::watch(response, free)),
        verdict => verdict,
    }
}

async fn dispatch(app: &Arc<App>, context: &mut RequestContext) -> Verdict {
    pass!(dispatch::apply(app, context).await);
    relay::apply(app, context)
}
