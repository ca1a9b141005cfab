//! The operators' HTTP listener: health, readiness, metrics, decision trace, state dump and records
//! of requests.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use serde_json::{Value, json};

use crate::app::App;
use crate::error::Result;
use crate::http::limits::ServerLimits;
use crate::http::server::Server;
use crate::http::{Body, full_body};
use crate::ids::RequestId;

/// Opens the operators' listener of a router.
pub fn bind(app: &Arc<App>) -> Result<Server> {
    let state = Arc::clone(app);
    Server::bind(
        &app.runtime,
        app.settings.admin,
        ServerLimits::default(),
        move |request| {
            let response = respond(&state, &request);
            async move { response }
        },
    )
}

fn respond(app: &App, request: &Request<Incoming>) -> Response<Body> {
    match request.uri().path() {
        "/healthz" => text_response(StatusCode::OK, "ok\n"),
        "/readyz" => match app.is_ready.load(Ordering::Relaxed) {
            true => text_response(StatusCode::OK, "ready\n"),
            false => text_response(StatusCode::SERVICE_UNAVAILABLE, "stopping\n"),
        },
        "/metrics" => text_response(StatusCode::OK, app.metrics.render()),
        "/trace" => text_response(StatusCode::OK, app.recorder.trace()),
        "/dump" => json_response(StatusCode::OK, &app.dump()),
        path => match path.strip_prefix("/explain/") {
            Some(id) => explain(app, id),
            None => text_response(StatusCode::NOT_FOUND, "no such page\n"),
        },
    }
}

fn explain(app: &App, id: &str) -> Response<Body> {
    match app.recent_requests.find(&RequestId::from(id)) {
        Some(record) => json_response(StatusCode::OK, &json!(record)),
        None => json_response(
            StatusCode::NOT_FOUND,
            &json!({"error": "no record of this request; query the other routers, or the request is too old"}),
        ),
    }
}

/// Builds a response with a plain text body.
pub fn text_response(status: StatusCode, content: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full_body(content.into()));
    *response.status_mut() = status;
    response
}

/// Builds a response with a JSON body.
pub fn json_response(status: StatusCode, value: &Value) -> Response<Body> {
    let mut response = text_response(status, value.to_string());
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
