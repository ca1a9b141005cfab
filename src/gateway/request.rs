//! Handling of one request: body, route and team, then the response of a server.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONTENT_LENGTH, HOST, HeaderMap};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};

use crate::config::routing::{KeyOwner, Route, RoutingTable};
use crate::decide::memory_plan::SMALL_MAX_BYTES;
use crate::decide::strikes::Fingerprint;
use crate::gateway::attempt::ResponseBody;
use crate::gateway::attempts::run_attempts;
use crate::gateway::placement;
use crate::gateway::protocol::RequestHead;
use crate::gateway::rejection::Rejection;
use crate::gateway::routed_request::{AttemptHistory, RoutedRequest};
use crate::gateway::state::State;
use crate::gateway::stream::{self, FirstHead};
use crate::http::body_reader::{self, ReadError};
use crate::http::framing::{joined_body_fields, whole_body_fields};
use crate::http::{Body, full_body};
use crate::ids::TeamId;

/// Handles one request from arrival to response.
pub async fn handle(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    let arrived_ms = state.now_ms();
    let (parts, body) = request.into_parts();
    let head = state.callers.decode(&parts.headers);
    let id = head.request_id.clone();
    let _in_flight = state.track_request();
    let result = match read_and_route(&state, parts, head, body, arrived_ms).await {
        Ok(routed) => serve(&state, routed).await,
        Err(rejection) => Err(rejection),
    };
    match result {
        Ok(response) => {
            state.metrics.count_request("answered");
            let elapsed_ms = state.now_ms().saturating_sub(arrived_ms);
            state.metrics.record_first_response(elapsed_ms);
            response
        }
        Err(rejection) => {
            state.metrics.count_request(rejection.code());
            log::info!(
                "event=rejected id={} status={} code={} after_ms={} retry_after_ms={}{}",
                id.as_ref().map_or("-", |id| id.as_str()),
                rejection.status().as_u16(),
                rejection.code(),
                state.now_ms().saturating_sub(arrived_ms),
                rejection.retry_after_ms().unwrap_or(0),
                state.routes_text(&rejection),
            );
            state.callers.reject(&rejection, id.as_ref())
        }
    }
}

/// Reads and routes a request. A small body is read first, since a response before its end would cost
/// the caller the connection.
async fn read_and_route(
    state: &State,
    parts: Parts,
    head: RequestHead,
    body: Incoming,
    arrived_ms: u64,
) -> Result<RoutedRequest, Rejection> {
    let routing = state.routing();
    if is_large(&body) && !state.has_outdated_routes() {
        check_allowed(routing.as_deref(), &parts, &head)?;
    }
    let body = read_body(state, routing.as_deref(), &parts, &head, body).await?;
    let routing = match state.has_outdated_routes() {
        true => wait_for_update(state).await,
        false => routing,
    };
    let routing = match routing {
        Some(routing) => routing,
        None => wait_for_tables(state, head.timeout_ms).await?,
    };
    let id = head.request_id.clone().ok_or(Rejection::BadRequest)?;
    let route = find_route(&routing, &parts).ok_or(Rejection::UnknownRoute)?;
    let route = Arc::clone(route);
    let owner = find_key_owner(&routing, &route, head.key.as_deref())?;
    let hash = match head.prompt {
        Some(prompt) => prompt.shared_hash,
        None => xxhash_rust::xxh3::xxh3_64(id.as_str().as_bytes()),
    };
    let service = route.destination(hash).ok_or(Rejection::NoServer {
        retry_after_ms: placement::random_retry_after_ms(),
    })?;
    let wait_ms = head.timeout_ms.unwrap_or(route.timeout_ms);
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    let team = owner.map(|owner| owner.team.clone());
    let fingerprint = Fingerprint::of(parts.method.as_str(), path, &body);
    Ok(RoutedRequest {
        fingerprint: fingerprint.of_caller(team.as_ref().map_or("", TeamId::as_str)),
        id,
        method: parts.method,
        path: path.to_owned(),
        headers: parts.headers,
        body,
        service: service.clone(),
        team,
        priority: owner
            .and_then(|owner| owner.priority)
            .unwrap_or(route.priority),
        prompt: head.prompt,
        prompt_parts: head.prompt_parts,
        last_event: head.last_event,
        connection: parts.extensions.get().cloned(),
        arrived_ms,
        deadline_ms: arrived_ms + wait_ms.min(route.timeout_ms),
        route,
    })
}

/// Whether a body may take the memory of large ones.
fn is_large(body: &Incoming) -> bool {
    let announced_bytes = body_reader::announced_bytes(body);
    announced_bytes.is_none_or(|bytes| bytes > SMALL_MAX_BYTES)
}

/// Fails if the configuration, as far as it is known, does not allow the request.
fn check_allowed(
    routing: Option<&RoutingTable>,
    parts: &Parts,
    head: &RequestHead,
) -> Result<(), Rejection> {
    let Some(routing) = routing else {
        return Ok(());
    };
    let route = find_route(routing, parts).ok_or(Rejection::UnknownRoute)?;
    find_key_owner(routing, route, head.key.as_deref())?;
    Ok(())
}

/// Longest time that a request waits for the tables of a router that has just started: most receive
/// them within 300 ms.
const TABLES_WAIT_MS: u64 = 500;
/// Share of a caller's time that its request waits for the tables at most.
const TABLES_WAIT_DIVISOR: u64 = 4;
/// Interval at which a waiting request checks for the tables.
const TABLES_POLL: Duration = Duration::from_millis(10);

/// Waits until routes and servers are known. Answers the load after all routers were lost: callers
/// reach routers that are not ready yet, and most of them try only twice.
async fn wait_for_tables(
    state: &State,
    timeout_ms: Option<u64>,
) -> Result<Arc<RoutingTable>, Rejection> {
    let limit_ms = timeout_ms.map_or(TABLES_WAIT_MS, |ms| ms / TABLES_WAIT_DIVISOR);
    let until_ms = state.now_ms() + limit_ms.min(TABLES_WAIT_MS);
    while !state.has_tables() && state.now_ms() < until_ms {
        smol::Timer::after(TABLES_POLL).await;
    }
    state.routing().ok_or(Rejection::NoConfiguration)
}

/// Longest time that a request waits for an update of outdated routes.
const UPDATE_WAIT_MS: u64 = 300;

/// Waits until the routes are confirmed. Without it, a process that was paused accepts a key that was
/// taken away meanwhile. The last known routes hold if no update comes.
async fn wait_for_update(state: &State) -> Option<Arc<RoutingTable>> {
    let until_ms = state.now_ms() + UPDATE_WAIT_MS;
    while state.has_outdated_routes() && state.now_ms() < until_ms {
        smol::Timer::after(TABLES_POLL).await;
    }
    state.routing()
}

/// Longest time for receiving a body.
const BODY_TIMEOUT_MS: u64 = 3_000;
/// Minimum body limit, which also applies while no configuration is known.
const BODY_LIMIT_MIN_BYTES: usize = 64 * 1024;

/// Reads the body within the time that the caller and the route allow. The route counts as far as it
/// is known: an update may still come while the body is read.
async fn read_body(
    state: &State,
    routing: Option<&RoutingTable>,
    parts: &Parts,
    head: &RequestHead,
    body: Incoming,
) -> Result<Bytes, Rejection> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let route = routing.and_then(|routing| find_route(routing, parts));
    let timeouts_ms = [head.timeout_ms, route.map(|route| route.timeout_ms)];
    let timeout_ms = timeouts_ms
        .into_iter()
        .flatten()
        .fold(BODY_TIMEOUT_MS, u64::min);
    let limit = routing.map_or(0, |routing| routing.limits.body_bytes);
    let read = body_reader::read_body(
        body,
        limit.max(BODY_LIMIT_MIN_BYTES),
        Duration::from_millis(timeout_ms),
        &state.memory,
        parts.extensions.get(),
    );
    read.await.map_err(|error| match error {
        ReadError::TooLarge => Rejection::BodyTooLarge,
        ReadError::Stalled | ReadError::Broken(_) => Rejection::BodyTimeout,
        ReadError::CallerGone => Rejection::CallerGone,
        ReadError::NoMemory => Rejection::Memory {
            retry_after_ms: placement::random_retry_after_ms(),
        },
    })
}

fn find_route<'a>(routing: &'a RoutingTable, parts: &Parts) -> Option<&'a Arc<Route>> {
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    routing.route(host.unwrap_or_default(), parts.uri.path())
}

fn find_key_owner<'a>(
    routing: &'a RoutingTable,
    route: &Route,
    key: Option<&str>,
) -> Result<Option<&'a KeyOwner>, Rejection> {
    let Some(keys) = routing.keys.as_ref().filter(|_| !route.is_public) else {
        return Ok(None);
    };
    let owner = key.and_then(|key| keys.get(key));
    owner.map(Some).ok_or(Rejection::UnknownKey)
}

async fn serve(state: &Arc<State>, routed: RoutedRequest) -> Result<Response<Body>, Rejection> {
    state.count_request(&routed.service);
    let mut history = AttemptHistory::default();
    let response = run_attempts(state, &routed, &mut history, routed.last_event).await?;
    Ok(match response.body {
        ResponseBody::Complete(bytes) => {
            log::info!(
                "event=answered id={} route={} service={} server={} status={} sends={} queue_ms={} ms={}",
                routed.id,
                routed.route.name,
                routed.service,
                history.servers.last().map_or("-", |server| server.as_str()),
                response.status.as_u16(),
                history.servers.len(),
                history.queue_ms,
                state.now_ms().saturating_sub(routed.arrived_ms),
            );
            let fields = whole_body_fields(&routed.method, response.status, &response.headers);
            forwarded_response(response.status, fields, full_body(bytes))
        }
        ResponseBody::Stream(source) => {
            let (status, headers) = (response.status, response.headers);
            let declared_bytes = headers
                .get(CONTENT_LENGTH)
                .and_then(|value| value.to_str().ok());
            let first = FirstHead {
                status,
                declared_bytes: declared_bytes.and_then(|text| text.parse().ok()),
            };
            let body = stream::open(Arc::clone(state), routed, history, *source, first);
            // Other servers may go on with the stream, and repeated events are left out.
            forwarded_response(status, joined_body_fields(&headers), body)
        }
    })
}

fn forwarded_response(status: StatusCode, fields: HeaderMap, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = fields;
    response
}
