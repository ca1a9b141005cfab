//! Identifies the caller, the requested model or service, and whether the call is idempotent.

use std::borrow::Cow;

use hyper::header::AUTHORIZATION;
use hyper::{Method, StatusCode};
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

use crate::admin::json_response;
use crate::app::App;
use crate::config::inventory::Target;
use crate::filter::{RequestContext, Verdict, record};
use crate::ids::{ChatId, ModelId, Repeat, Urgency};
use crate::refusal::Refusal;

/// Path of the list of models.
pub const MODELS_PATH: &str = "/v1/models";
/// Path of chat completions.
pub const CHAT_PATH: &str = "/v1/chat/completions";

/// The fields of a chat completion's body that the router uses.
#[derive(Debug, Deserialize)]
struct ChatRequest<'a> {
    model: String,
    #[serde(default)]
    stream: bool,
    /// Kept as raw JSON: parsed values would use several times the body's memory.
    #[serde(default, borrow)]
    messages: Vec<&'a RawValue>,
}

/// The fields of a message that the router uses.
#[derive(Debug, Deserialize)]
struct Message<'a> {
    #[serde(default, borrow)]
    role: Cow<'a, str>,
}

fn has_role(message: &RawValue, role: &str) -> bool {
    let parsed = serde_json::from_str::<Message<'_>>(message.get());
    parsed.is_ok_and(|message| message.role == role)
}

/// SHA-256 of a caller's API key in lower-case hexadecimal, as stored in the inventory.
///
/// ```
/// use jujubeusher::filter::identify::key_sha256;
/// assert!(key_sha256("abc").starts_with("ba7816bf"));
/// ```
pub fn key_sha256(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Resolves the caller's API key to a team and reads the deadline.
pub fn authenticate(app: &App, context: &mut RequestContext) -> Verdict {
    let header = context
        .parts
        .headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    let Some(key) = header.and_then(|value| value.strip_prefix("Bearer ")) else {
        return unauthorized("no key was sent");
    };
    let digest = key_sha256(key.trim());
    let Some(team) = context.configuration.inventory.team_by_key_sha256(&digest) else {
        return unauthorized("the key is not known");
    };
    context.record.team = Some(team.id.clone());
    context.team = Some(team.clone());
    if let Some(text) = context.header("x-deadline-ms") {
        let Ok(requested_ms) = text.parse::<u64>() else {
            return Verdict::Refuse(Refusal::not_run(
                StatusCode::BAD_REQUEST,
                "bad_deadline",
                format!("X-Deadline-Ms `{text}` is not a whole number"),
                "send milliseconds as a whole number",
            ));
        };
        let latest_ms = app.clock.monotonic_ms().saturating_add(requested_ms);
        context.deadline_ms = context.deadline_ms.min(latest_ms);
    }
    Verdict::Continue
}

/// Responds to a request for the list of models; continues with any other request.
pub fn list_models(app: &App, context: &mut RequestContext) -> Verdict {
    if context.parts.uri.path() != MODELS_PATH || context.parts.method != Method::GET {
        return Verdict::Continue;
    }
    let names = context.configuration.inventory.models.keys();
    let list: Vec<Value> = names
        .map(|name| json!({"id": name, "object": "model"}))
        .collect();
    let body = json!({"object": "list", "data": list});
    context.record.status = StatusCode::OK.as_u16();
    record::finish(app, context.record.clone(), "complete");
    Verdict::Respond(json_response(StatusCode::OK, &body))
}

fn unauthorized(message: &str) -> Verdict {
    Verdict::Refuse(Refusal::not_run(
        StatusCode::UNAUTHORIZED,
        "unknown_key",
        message,
        "send `Authorization: Bearer KEY` with a key of the inventory",
    ))
}

/// Resolves the path and the body to a model or a plain service.
pub fn resolve_target(context: &mut RequestContext) -> Verdict {
    if context.header("x-urgency") == Some("deferred") {
        context.urgency = Urgency::Deferred;
    }
    if context.parts.uri.path() == CHAT_PATH {
        return resolve_chat_target(context);
    }
    resolve_service_target(context)
}

fn resolve_chat_target(context: &mut RequestContext) -> Verdict {
    if context.parts.method != Method::POST {
        return Verdict::Refuse(Refusal::not_run(
            StatusCode::METHOD_NOT_ALLOWED,
            "method_not_allowed",
            "chat completions take POST only",
            "send a POST",
        ));
    }
    let body = context.body.clone();
    let request: ChatRequest<'_> = match serde_json::from_slice(&body) {
        Ok(request) => request,
        Err(error) => {
            return Verdict::Refuse(Refusal::not_run(
                StatusCode::BAD_REQUEST,
                "bad_body",
                format!("the body is not a chat completion request: {error}"),
                "send JSON with `model` and `messages`",
            ));
        }
    };
    let model = ModelId::from(request.model.as_str());
    if !context.configuration.inventory.models.contains_key(&model) {
        return not_found(format!("no model `{model}`"), "use a model of /v1/models");
    }
    context.is_stream = request.stream;
    context.is_new_chat = !request.messages.iter().any(|m| has_role(m, "assistant"));
    context.chat = chat_id(context, &request);
    context.record.chat = Some(context.chat);
    set_target(context, Target::Model(model));
    Verdict::Continue
}

fn chat_id(context: &RequestContext, request: &ChatRequest<'_>) -> ChatId {
    if let Some(id) = context.header("x-chat-id") {
        return ChatId::from_text(id);
    }
    let team = context.team.as_ref().map_or("", |team| team.id.as_str());
    ChatId::from_text(&chat_id_source(team, &request.messages))
}

/// Text from which the id of a chat without `x-chat-id` is derived: the team and the messages
/// up to the first user message, which all later requests of the chat repeat.
fn chat_id_source(team: &str, messages: &[&RawValue]) -> String {
    let mut text = team.to_owned();
    for message in messages {
        // Parsing and serialising removes differences in white space.
        let value = serde_json::from_str::<Value>(message.get()).unwrap_or_default();
        text.push('\n');
        text.push_str(&value.to_string());
        if value["role"] == "user" {
            break;
        }
    }
    text
}

fn resolve_service_target(context: &mut RequestContext) -> Verdict {
    let inventory = &context.configuration.inventory;
    let path = context.parts.uri.path();
    let Some(service) = inventory.service_by_path(path).cloned() else {
        return not_found(format!("no service at {path}"), "check the path");
    };
    let Some(route) = inventory.route(&service, &context.parts.method, path) else {
        return not_found(
            format!(
                "service `{service}` has no route for {} {path}",
                context.parts.method
            ),
            "check method and path, or add a [route] to the inventory",
        );
    };
    context.repeat = route.repeat;
    context.is_key_required = route.is_key_required;
    if route.urgency == Urgency::Deferred {
        context.urgency = Urgency::Deferred;
    }
    let chat_id_source = context
        .header("idempotency-key")
        .unwrap_or(context.request_id.as_str());
    context.chat = ChatId::from_text(chat_id_source);
    set_target(context, Target::Service(service));
    Verdict::Continue
}

fn set_target(context: &mut RequestContext, target: Target) {
    context.record.target = Some(match &target {
        Target::Model(model) => model.to_string(),
        Target::Service(service) => service.to_string(),
    });
    let repeat = match context.repeat {
        Repeat::Idempotent => "idempotent",
        Repeat::Once => "once",
    };
    context.record.add_step(format!("identify: {repeat} call"));
    context.target = Some(target);
}

fn not_found(message: String, remedy: &str) -> Verdict {
    Verdict::Refuse(Refusal::not_run(
        StatusCode::NOT_FOUND,
        "not_found",
        message,
        remedy,
    ))
}

#[cfg(test)]
mod tests;
