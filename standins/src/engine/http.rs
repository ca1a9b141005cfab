//! HTTP API of the engine.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Version};
use serde::Deserialize;
use serde_json::{Value, json};

use super::log::{CancelReason, RunEntry};
use super::run::{FLUSH_DELAY, Job, Reader, Run, wait_or_yield};
use super::{Faults, State};
use crate::orders::OrderState;
use crate::serve::{Body, json_response, query_param, response};

/// Attempt and chat ids in misattributed responses.
const WRONG_ATTEMPT: &str = "another-attempt";
const WRONG_CHAT: &str = "another-chat";

/// Handles one request.
pub async fn handle_request(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    if let Some(attempt) = path.strip_prefix("/v1/streams/") {
        return match *request.method() {
            Method::DELETE => cancel(&state, attempt),
            _ => resume(&state, attempt, &request),
        };
    }
    if let Some(chat) = path.strip_prefix("/v1/kv/") {
        return match *request.method() {
            Method::PUT => import_cache(&state, chat, request).await,
            _ => export_cache(&state, chat),
        };
    }
    if OrderState::handles_path(&path) {
        return state.orders.handle_request(request).await;
    }
    match path.as_str() {
        "/v1/chat/completions" => complete(state, request).await,
        "/v1/load" => json_response(StatusCode::OK, &load(&state)),
        "/v1/cache/events" => {
            let after = query_param(&request, "after").and_then(|text| text.parse().ok());
            let events = state.cache.lock().events(after.unwrap_or(0));
            json_response(StatusCode::OK, &events)
        }
        _ => error(StatusCode::NOT_FOUND, "no such page"),
    }
}

fn error(status: StatusCode, text: &str) -> Response<Body> {
    json_response(status, &json!({"error": text}))
}

fn load(state: &State) -> Value {
    let sample = state.slots.report();
    json!({
        "server": state.options.name,
        "incarnation": state.incarnation,
        "running": sample.running,
        "waiting": sample.waiting,
        "slots": state.options.slots,
        "as_of_ms": sample.as_of_ms,
    })
}

/// Exports the cache of a chat. A fixed text takes the place of the keys and values.
fn export_cache(state: &State, chat: &str) -> Response<Body> {
    match state.cache.lock().contains(chat) {
        true => response(StatusCode::OK, format!("cache of {chat}")),
        false => error(StatusCode::NOT_FOUND, "the chat is not cached"),
    }
}

async fn import_cache(state: &State, chat: &str, request: Request<Incoming>) -> Response<Body> {
    let body = match request.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(fault) => return error(StatusCode::BAD_REQUEST, &fault.to_string()),
    };
    if body != format!("cache of {chat}") {
        return error(StatusCode::BAD_REQUEST, "this is not the chat's cache");
    }
    state.cache.lock().touch(chat);
    response(StatusCode::NO_CONTENT, "")
}

fn header(request: &Request<Incoming>, name: &str) -> Option<String> {
    let value = request.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}

fn cancel(state: &State, attempt: &str) -> Response<Body> {
    let run = state.runs.lock().swap_remove(attempt);
    match run {
        Some(run) => {
            run.cancel(state, attempt, CancelReason::Requested);
            response(StatusCode::NO_CONTENT, "")
        }
        None => error(StatusCode::NOT_FOUND, "no such stream"),
    }
}

fn resume(state: &Arc<State>, attempt: &str, request: &Request<Incoming>) -> Response<Body> {
    let last = header(request, "last-event-id").and_then(|text| text.parse().ok());
    let run = state.runs.lock().get(attempt).cloned();
    let refuses = state.faults.lock().refuses_resume;
    let Some(run) = run.filter(|_| !refuses) else {
        return error(StatusCode::NOT_FOUND, "no such stream");
    };
    state.log.lock().resumes.push(attempt.to_owned());
    let reader = Reader::new(state, &run, attempt, last.unwrap_or(0), Faults::default());
    let mut response = event_stream(reader);
    set_attempt(&mut response, attempt);
    response
}

fn event_stream(reader: Reader) -> Response<Body> {
    let mut response = Response::new(BodyExt::boxed(StreamBody::new(reader.frames())));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    response
}

fn set_attempt(response: &mut Response<Body>, attempt: &str) {
    if let Ok(value) = HeaderValue::from_str(attempt) {
        response.headers_mut().insert("x-attempt-id", value);
    }
}

#[derive(Debug, Deserialize)]
struct Completion {
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    continue_text: String,
}

async fn complete(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    let attempt = header(&request, "x-attempt-id").unwrap_or_default();
    let chat = header(&request, "x-chat-id").unwrap_or_default();
    let priority = header(&request, "x-priority").and_then(|text| text.parse().ok());
    let body = match request.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(fault) => return error(StatusCode::BAD_REQUEST, &fault.to_string()),
    };
    let completion: Completion = match serde_json::from_slice(&body) {
        Ok(completion) => completion,
        Err(fault) => return error(StatusCode::BAD_REQUEST, &fault.to_string()),
    };
    let faults = next_faults(&state);
    if let Some(status) = faults
        .status
        .and_then(|code| StatusCode::from_u16(code).ok())
    {
        let mut response = error(status, "set by the test");
        set_attempt(&mut response, &attempt);
        return response;
    }
    let marker = state.options.crash_marker.as_bytes();
    let is_misattributed = faults.misattributed_responses > 0;
    let response_chat = if is_misattributed { WRONG_CHAT } else { &chat }.to_owned();
    let job = Job {
        attempt: attempt.clone(),
        chat: response_chat.clone(),
        priority: priority.unwrap_or(0),
        is_hit: state.cache.lock().touch(&chat),
        continued_tokens: completion.continue_text.split_whitespace().count() as u32,
        has_crash_marker: !marker.is_empty()
            && body.windows(marker.len()).any(|part| part == marker),
    };
    state.log.lock().runs.push(RunEntry {
        attempt: attempt.clone(),
        chat: chat.clone(),
        priority: job.priority,
        is_hit: job.is_hit,
        continued_tokens: job.continued_tokens,
    });
    let hit = if job.is_hit { "hit" } else { "miss" };
    let run = Run::spawn(&state, job);
    let reader_faults = match completion.stream {
        true => faults.clone(),
        false => Faults::default(),
    };
    let reader = Reader::new(&state, &run, &attempt, 0, reader_faults);
    if faults.is_hung {
        let _reader = reader;
        return std::future::pending().await;
    }
    let mut response = match completion.stream {
        true if faults.is_unframed => without_framing(event_stream(reader)),
        true => event_stream(reader),
        false => complete_response(reader, &response_chat, &faults).await,
    };
    let echoed = if is_misattributed {
        WRONG_ATTEMPT
    } else {
        &attempt
    };
    set_attempt(&mut response, echoed);
    if faults.is_encoded {
        let gzip = HeaderValue::from_static("gzip");
        response.headers_mut().insert("content-encoding", gzip);
    }
    response
        .headers_mut()
        .insert("x-cache", HeaderValue::from_static(hit));
    response
}

/// Faults of the next response. Decrements the number of misattributed responses.
fn next_faults(state: &State) -> Faults {
    let mut faults = state.faults.lock();
    let current = faults.clone();
    faults.misattributed_responses = faults.misattributed_responses.saturating_sub(1);
    current
}

async fn complete_response(reader: Reader, chat: &str, faults: &Faults) -> Response<Body> {
    let Some(text) = reader.complete_text().await else {
        return error(StatusCode::GONE, "the run was cancelled");
    };
    let choices = json!([{"message": {"role": "assistant", "content": text}}]);
    let value = json!({"choices": choices, "chat": chat});
    let bytes = Bytes::from(value.to_string());
    let half = bytes.slice(..bytes.len() / 2);
    if faults.cut_after_events.is_some() {
        let parts = [
            Ok(Frame::data(half)),
            Err(io::Error::other("connection cut")),
        ];
        let mut response = Response::new(body_from(parts));
        response
            .headers_mut()
            .insert("content-length", HeaderValue::from(bytes.len()));
        return response;
    }
    if faults.is_unframed {
        return without_framing(Response::new(body_from([Ok(Frame::data(half))])));
    }
    json_response(StatusCode::OK, &value)
}

/// Makes the body end with its connection, without a length and without chunks.
fn without_framing(mut response: Response<Body>) -> Response<Body> {
    *response.version_mut() = Version::HTTP_10;
    response
}

fn body_from<const N: usize>(parts: [io::Result<Frame<Bytes>>; N]) -> Body {
    let parts = futures_util::stream::iter(parts).then(|part| async {
        if part.is_err() {
            wait_or_yield(FLUSH_DELAY).await;
        }
        part
    });
    BodyExt::boxed(StreamBody::new(parts))
}
