//! Errors that the router itself returns to callers, with status, stable code, remedy and run
//! state.

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::json;

use crate::http::{Body, full_body};
use crate::ids::{RequestId, RunState};

/// Error response of the router to a request that gets no response of a backend server.
///
/// Messages and remedies are part of the interface that callers see and stay unchanged between
/// versions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status.
    pub status: StatusCode,
    /// Stable code for programs; also the outcome in logs and metrics.
    pub code: &'static str,
    /// Description of the cause for people.
    pub message: String,
    /// What the caller can do.
    pub remedy: String,
    /// Whether the request ran on a backend server.
    pub run_state: RunState,
    /// Value of the `Retry-After` header in seconds; without a value the header is left out.
    pub retry_after_s: Option<u32>,
}

impl Refusal {
    /// Creates the refusal of a request that did not run.
    ///
    /// ```
    /// use hyper::StatusCode;
    /// use jujubeusher::ids::RunState;
    /// use jujubeusher::refusal::Refusal;
    /// let refusal = Refusal::not_run(StatusCode::NOT_FOUND, "no_route", "no such route", "check the path");
    /// assert_eq!(refusal.run_state, RunState::NotRun);
    /// ```
    pub fn not_run(
        status: StatusCode,
        code: &'static str,
        message: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            remedy: remedy.into(),
            run_state: RunState::NotRun,
            retry_after_s: None,
        }
    }

    /// Sets the run state.
    pub fn with_run_state(mut self, run_state: RunState) -> Self {
        self.run_state = run_state;
        self
    }

    /// Sets the `Retry-After` header.
    pub fn with_retry_after_s(mut self, seconds: u32) -> Self {
        self.retry_after_s = Some(seconds);
        self
    }

    /// Builds the JSON body sent to the caller.
    pub fn to_json(&self, request_id: &RequestId) -> String {
        json!({"error": {
            "code": self.code,
            "message": self.message,
            "remedy": self.remedy,
            "run_state": self.run_state.as_str(),
            "request_id": request_id.as_str(),
        }})
        .to_string()
    }

    /// Builds the HTTP response.
    pub fn into_response(self, request_id: &RequestId) -> Response<Body> {
        let body = full_body(Bytes::from(self.to_json(request_id)));
        let mut response = Response::new(body);
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(
            "x-run-state",
            HeaderValue::from_static(self.run_state.as_str()),
        );
        if let Ok(id) = HeaderValue::from_str(request_id.as_str()) {
            headers.insert("x-request-id", id);
        }
        if let Some(seconds) = self.retry_after_s {
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}
