//! Handling of one request: body, route and team, then attempts until a server responds.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HOST, HeaderMap};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};

use crate::config::routing::{KeyOwner, Route, RoutingTable};
use crate::decide::pause::can_wait;
use crate::decide::registry::Registration;
use crate::decide::strikes::Fingerprint;
use crate::gateway::attempt::{
    self, AttemptLimits, Failure, FailureKind, ResponseBody, ServerResponse,
};
use crate::gateway::crash;
use crate::gateway::placement::{self, NoSelection};
use crate::gateway::protocol::RequestHead;
use crate::gateway::quarantine;
use crate::gateway::rejection::Rejection;
use crate::gateway::routed_request::{AttemptHistory, RoutedRequest};
use crate::gateway::state::State;
use crate::gateway::stream::{self, FirstHead};
use crate::http::framing::{joined_body_fields, whole_body_fields};
use crate::http::{Body, full_body};
use crate::ids::{RunState, TeamId};
use crate::runtime::with_timeout;

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
                "event=rejected id={} status={} code={} after_ms={} retry_after_ms={}",
                id.as_ref().map_or("-", |id| id.as_str()),
                rejection.status().as_u16(),
                rejection.code(),
                state.now_ms().saturating_sub(arrived_ms),
                rejection.retry_after_ms().unwrap_or(0),
            );
            state.callers.reject(&rejection, id.as_ref())
        }
    }
}

/// Reads and routes a request. The body is read first, since a response before its end would cost
/// the caller the connection.
async fn read_and_route(
    state: &State,
    parts: Parts,
    head: RequestHead,
    body: Incoming,
    arrived_ms: u64,
) -> Result<RoutedRequest, Rejection> {
    let routing = state.routing();
    let limit = routing.as_ref().map_or(0, |r| r.limits.body_bytes);
    let timeout = Duration::from_millis(
        head.timeout_ms
            .unwrap_or(BODY_TIMEOUT_MS)
            .min(BODY_TIMEOUT_MS),
    );
    let body = read_body(body, limit.max(BODY_LIMIT_MIN_BYTES), timeout).await?;
    let routing = match state.has_outdated_routes() {
        true => wait_for_update(state).await,
        false => routing,
    };
    let routing = match routing {
        Some(routing) => routing,
        None => wait_for_tables(state, head.timeout_ms).await?,
    };
    let id = head.request_id.clone().ok_or(Rejection::BadRequest)?;
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let route = routing.route(host.unwrap_or_default(), parts.uri.path());
    let route = Arc::clone(route.ok_or(Rejection::UnknownRoute)?);
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
        arrived_ms,
        deadline_ms: arrived_ms + wait_ms.min(route.timeout_ms),
        route,
    })
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

async fn read_body(body: Incoming, limit: usize, timeout: Duration) -> Result<Bytes, Rejection> {
    let collected = with_timeout(timeout, Limited::new(body, limit).collect()).await;
    let collected = collected.ok_or(Rejection::BodyTimeout)?;
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Rejection::BodyTooLarge),
        Err(_) => Err(Rejection::BodyTimeout),
    }
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
                "event=answered id={} route={} service={} server={} status={} sends={} ms={}",
                routed.id,
                routed.route.name,
                routed.service,
                history.servers.last().map_or("-", |server| server.as_str()),
                response.status.as_u16(),
                history.servers.len(),
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

/// Interval at which a request that waits for the end of a pause looks for another server.
const PAUSE_POLL_MS: u64 = 100;

/// Sends the request to one server after another until one responds or no retry is allowed.
pub async fn run_attempts(
    state: &Arc<State>,
    routed: &RoutedRequest,
    history: &mut AttemptHistory,
    last_event: Option<u64>,
) -> Result<ServerResponse, Rejection> {
    let mut fallback = None;
    loop {
        let now_ms = state.now_ms();
        let remaining_ms = routed.remaining_ms(now_ms);
        if remaining_ms == 0 {
            return fallback.ok_or_else(|| deadline_rejection(history));
        }
        if let Err(rejection) = quarantine::check(state, routed, history) {
            return fallback.ok_or(rejection);
        }
        let server = match placement::select_server(state, routed, history) {
            Ok(server) => server,
            Err(NoSelection::Paused { until_ms })
                if fallback.is_none()
                    && !state.is_stopping()
                    && can_wait(until_ms, routed.deadline_ms, routed.route.latency_target_ms) =>
            {
                let wait_ms = until_ms.saturating_sub(now_ms).min(PAUSE_POLL_MS);
                smol::Timer::after(Duration::from_millis(wait_ms)).await;
                continue;
            }
            Err(NoSelection::Paused { until_ms }) => {
                return fallback.ok_or_else(|| pause_rejection(history, until_ms, now_ms));
            }
            Err(NoSelection::AtLimit { until_ms }) => {
                let wait_ms = until_ms.map_or(0, |until_ms| until_ms.saturating_sub(now_ms));
                let pause_ms = state.record_overload(&routed.service, remaining_ms);
                let rejection = Rejection::AtLimit {
                    retry_after_ms: pause_ms.max(wait_ms),
                };
                return fallback.ok_or_else(|| placement_failure(history, rejection));
            }
            Err(NoSelection::Rejected(rejection)) => {
                return fallback.ok_or_else(|| placement_failure(history, rejection));
            }
        };
        history.servers.push(server.id.clone());
        history.last_sent_ms = now_ms;
        let limits = AttemptLimits {
            first_event_ms: first_event_timeout_ms(routed, history, remaining_ms),
            remaining_ms,
            last_event,
            fetch_source: placement::fetch_source(state, routed, &server),
        };
        match attempt::send(state, routed, &server, limits).await {
            Ok(response) => {
                if matches!(response.body, ResponseBody::Complete(_)) {
                    state.record_completion(routed.fingerprint, &server.id);
                    if response.status.is_success() {
                        let parts = &routed.prompt_parts;
                        state.strikes.record_answer(parts, state.now_ms());
                    }
                }
                if !routed.route.is_stream {
                    let elapsed_ms = state.now_ms().saturating_sub(now_ms);
                    state.record_run(&routed.service, elapsed_ms);
                }
                state.metrics.count_attempt("answered");
                state.reachability.record_reached(&server.id);
                let is_fault = response.status.is_server_error();
                state
                    .reachability
                    .record_outcome(&server.id, is_fault, state.now_ms());
                history.delivered += 1;
                history.possible_runs += 1;
                if let Some(prompt) = routed.prompt {
                    state.record_prompt_server(prompt.shared_hash, &server.id);
                }
                if !is_fault || !may_repeat(state, routed, history) {
                    return Ok(response);
                }
                log::info!(
                    "event=retry id={} server={} status={}",
                    routed.id,
                    server.id,
                    response.status.as_u16()
                );
                fallback = Some(response);
            }
            Err(failure) => {
                record_failure(state, routed, history, &server, &failure);
                if failure.kind == FailureKind::Broken {
                    let sent_ms = history.last_sent_ms;
                    crash::check(state, routed, &server, sent_ms, false).await;
                }
                if !may_retry(state, routed, history, &failure) {
                    return fallback.ok_or_else(|| failure_rejection(history, &failure));
                }
            }
        }
    }
}

/// While another server could still be tried, a server has the remaining time divided by this for
/// the start of its response.
const FIRST_EVENT_DIVISOR: u64 = 3;

fn first_event_timeout_ms(
    routed: &RoutedRequest,
    history: &AttemptHistory,
    remaining_ms: u64,
) -> u64 {
    let can_try_another =
        routed.is_repeatable() && history.possible_runs + 1 < routed.route.attempts_max;
    match can_try_another {
        true => (remaining_ms / FIRST_EVENT_DIVISOR)
            .max(routed.route.latency_target_ms)
            .min(remaining_ms),
        false => remaining_ms,
    }
}

fn record_failure(
    state: &State,
    routed: &RoutedRequest,
    history: &mut AttemptHistory,
    server: &Registration,
    failure: &Failure,
) {
    log::info!(
        "event=attempt_failed id={} fingerprint={} server={} kind={} reason=\"{}\" ms={}",
        routed.id,
        routed.fingerprint,
        server.id,
        failure.kind.as_str(),
        failure.reason,
        state.now_ms().saturating_sub(routed.arrived_ms),
    );
    state.metrics.count_attempt(failure.kind.as_str());
    if failure.kind.is_delivered() {
        history.delivered += 1;
    }
    if failure.kind.run_state() != RunState::NotRun {
        history.possible_runs += 1;
    }
    let now_ms = state.now_ms();
    let is_not_run = failure.kind.run_state() == RunState::NotRun;
    if is_not_run && state.reachability.pause_end_ms(server, now_ms).is_some() {
        history.paused.push(server.id.clone());
    }
    match failure.kind {
        FailureKind::Connect => {
            state.pool.close_idle(server.address);
            state.reachability.record_unreachable(&server.id, now_ms);
        }
        FailureKind::Timeout => {
            state.pool.close_idle(server.address);
            state.reachability.record_outcome(&server.id, true, now_ms);
        }
        FailureKind::Broken | FailureKind::Foreign => {
            state.reachability.record_outcome(&server.id, true, now_ms);
        }
        FailureKind::ConnectionLimit | FailureKind::NotRun => {
            state.reachability.record_refusal(&server.id, now_ms);
        }
        // Neither says anything of the server.
        FailureKind::NoResources | FailureKind::Withheld => {}
        FailureKind::Misdirected => state.record_misdirected(&server.id),
    }
}

/// Maximum number of servers that a request is sent to, whatever the reasons of the failures.
const ATTEMPTED_SERVERS_MAX: usize = 4;

/// Whether a request that may have run may run again; uses up a retry of the service's budget.
pub fn may_repeat(state: &State, routed: &RoutedRequest, history: &AttemptHistory) -> bool {
    routed.is_repeatable()
        && history.possible_runs < routed.route.attempts_max
        && history.servers.len() < ATTEMPTED_SERVERS_MAX
        && state.try_acquire_retry(&routed.service)
}

fn may_retry(
    state: &State,
    routed: &RoutedRequest,
    history: &AttemptHistory,
    failure: &Failure,
) -> bool {
    if history.possible_runs > 0 {
        return may_repeat(state, routed, history);
    }
    let has_attempts_left = history.servers.len() < ATTEMPTED_SERVERS_MAX;
    // An undelivered request costs the servers nothing, so it uses no retry of the budget.
    has_attempts_left && (!failure.kind.is_delivered() || state.try_acquire_retry(&routed.service))
}

/// Rejection of a request that cannot wait for the end of a pause.
fn pause_rejection(history: &AttemptHistory, until_ms: u64, now_ms: u64) -> Rejection {
    match history.possible_runs {
        0 => Rejection::Paused {
            retry_after_ms: until_ms.saturating_sub(now_ms) + placement::random_retry_after_ms(),
        },
        _ => Rejection::AnswerLost,
    }
}

fn deadline_rejection(history: &AttemptHistory) -> Rejection {
    match history.possible_runs {
        0 => Rejection::NotAccepted {
            retry_after_ms: placement::random_retry_after_ms(),
        },
        _ => Rejection::TimedOut,
    }
}

fn placement_failure(history: &AttemptHistory, rejection: Rejection) -> Rejection {
    match (history.possible_runs, history.delivered) {
        (0, 0) => rejection,
        (0, _) => Rejection::NotAccepted {
            retry_after_ms: placement::random_retry_after_ms(),
        },
        _ => Rejection::AnswerLost,
    }
}

fn failure_rejection(history: &AttemptHistory, failure: &Failure) -> Rejection {
    match (history.possible_runs, failure.kind) {
        (0, _) => Rejection::NotAccepted {
            retry_after_ms: placement::random_retry_after_ms(),
        },
        (_, FailureKind::Timeout) => Rejection::TimedOut,
        _ => Rejection::AnswerLost,
    }
}
