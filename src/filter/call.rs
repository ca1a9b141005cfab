//! What attempts need to know of a request, apart from the request's own task.

use std::collections::HashSet;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HOST, HeaderMap};
use hyper::{Method, Request};
use serde_json::Value;

use crate::app::App;
use crate::config::inventory::Target;
use crate::decide::strikes::Fingerprint;
use crate::filter::{RequestContext, choose};
use crate::ids::{AttemptId, ChatId, Class, Repeat, RequestId, ServerId};

/// Headers of the caller that a backend server gets to see.
const FORWARDED_HEADERS: [&str; 4] = [
    "accept",
    "content-type",
    "accept-language",
    "idempotency-key",
];

/// A request as it is sent to backend servers, any number of times.
#[derive(Debug, Clone)]
pub struct Call {
    /// Id given to the caller.
    pub request_id: RequestId,
    /// What is asked for.
    pub target: Target,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// The chat.
    pub chat: ChatId,
    /// The caller's class.
    pub class: Class,
    /// Whether the caller wants a stream.
    pub is_stream: bool,
    /// Whether the call may run more than once.
    pub repeat: Repeat,
    /// Monotonic time in ms after which no answer is wanted.
    pub deadline_ms: u64,
    /// Servers in the order of preference.
    pub candidates: Vec<ServerId>,
    /// Identifies the content.
    pub fingerprint: Fingerprint,
}

impl Call {
    /// The call of a request; none before its target is known.
    pub fn from_context(context: &RequestContext) -> Option<Self> {
        let uri = &context.parts.uri;
        let headers = &context.parts.headers;
        let forwarded = FORWARDED_HEADERS.iter().filter_map(|name| {
            let name = hyper::header::HeaderName::from_static(name);
            let value = headers.get(&name)?.clone();
            Some((name, value))
        });
        Some(Self {
            request_id: context.request_id.clone(),
            target: context.target.clone()?,
            method: context.parts.method.clone(),
            path: uri.path_and_query().map_or("/", |p| p.as_str()).to_owned(),
            headers: forwarded.collect(),
            body: context.body.clone(),
            chat: context.chat,
            class: context.class(),
            is_stream: context.is_stream,
            repeat: context.repeat,
            deadline_ms: context.deadline_ms,
            candidates: context.candidates.clone(),
            fingerprint: context.fingerprint,
        })
    }

    /// Whether the call runs on an engine.
    pub fn is_for_engine(&self) -> bool {
        matches!(self.target, Target::Model(_))
    }

    /// The candidates that take new work now, long after they were chosen perhaps. Where
    /// all of them are gone, any server that takes work.
    pub fn usable_candidates(&self, app: &App) -> Vec<ServerId> {
        let configuration = app.config.current();
        let usable = choose::usable_servers(app, &configuration.inventory, &self.target);
        let ids: HashSet<&ServerId> = usable.iter().map(|server| &server.id).collect();
        let candidates = self.candidates.iter();
        let kept: Vec<ServerId> = candidates.filter(|id| ids.contains(id)).cloned().collect();
        match kept.is_empty() {
            true => usable.iter().map(|server| server.id.clone()).collect(),
            false => kept,
        }
    }

    /// The request for one attempt.
    pub fn build_request(
        &self,
        address: SocketAddr,
        attempt: &AttemptId,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let priority = match self.class {
            Class::Paying => "1",
            Class::Free => "0",
        };
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .header(HOST, address.to_string())
            .header("x-request-id", self.request_id.as_str())
            .header("x-attempt-id", attempt.as_str())
            .header("x-chat-id", self.chat.to_string())
            .header("x-priority", priority)
            .body(Full::new(body))?;
        request.headers_mut().extend(self.headers.clone());
        Ok(request)
    }

    /// The body that continues an answer from the text delivered; none where the body is
    /// not a JSON object.
    pub fn continuation_body(&self, delivered: &str) -> Option<Bytes> {
        let mut value: Value = serde_json::from_slice(&self.body).ok()?;
        let fields = value.as_object_mut()?;
        // The caller's own request may be a continuation.
        let before = fields.get("continue_text").and_then(Value::as_str);
        let text = format!("{}{delivered}", before.unwrap_or_default());
        fields.insert("continue_text".to_owned(), Value::String(text));
        Some(Bytes::from(value.to_string()))
    }
}

/// The request of one attempt with the caller's own body.
pub(super) fn upstream_request(
    context: &RequestContext,
    address: SocketAddr,
    attempt: &AttemptId,
) -> Result<Request<Full<Bytes>>, String> {
    let call = Call::from_context(context).ok_or("the request has no target")?;
    let request = call.build_request(address, attempt, call.body.clone());
    request.map_err(|error| error.to_string())
}
