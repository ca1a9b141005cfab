//! Orders the backend servers that may run the request, and signs placement hints, which name
//! the server that has a chat's cache.

use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};
use rand::RngExt;

use crate::app::App;
use crate::config::inventory::{BackendServer, Inventory, ServerState, Target};
use crate::decide::admit::Reason;
use crate::decide::hint::Hint;
use crate::decide::trace::{Choose, Line, ServerInput};
use crate::filter::{RequestContext, Verdict, admit};
use crate::http::Body;
use crate::ids::{ChatId, Class, ServerId, Urgency};
use crate::peer::Health;
use crate::refusal::Refusal;

/// Request and response header that carries the placement hint.
pub const HINT_HEADER: &str = "x-placement-hint";
const MS_PER_SECOND: u64 = 1_000;

/// Sets the request's candidates, ordered by preference.
pub fn apply(app: &App, context: &mut RequestContext) -> Verdict {
    let Some(target) = &context.target else {
        return Verdict::Continue;
    };
    let inventory = &context.configuration.inventory;
    let servers = usable_servers(app, inventory, target);
    if servers.is_empty() {
        return Verdict::Refuse(no_server_refusal());
    }
    let servers = exclude_full_servers(app, context, servers);
    if servers.is_empty() {
        return admit::refuse(app, context, Reason::Overloaded);
    }
    let hint = valid_hint(app, context);
    let home = hint.as_ref().map(|hint| &hint.server);
    let is_home_available =
        home.is_some_and(|home| servers.iter().any(|server| server.id == *home));
    let mut input = Choose {
        at_ms: app.clock.monotonic_ms(),
        policy: app.settings.serving.selection.policy,
        load_bound: inventory.rules.load_bound,
        chat: context.chat,
        home: home.filter(|_| is_home_available).cloned(),
        // If its home server is unavailable, the chat has no cache on any server.
        is_new: context.is_new_chat || (home.is_some() && !is_home_available),
        draw: rand::rng().random(),
        servers: servers
            .iter()
            .map(|server| server_input(app, server))
            .collect(),
        outcome: Vec::new(),
    };
    let chosen = input.decide();
    let step = format!(
        "choose: {} servers, hint {}, first {}",
        servers.len(),
        home.map_or("none", |home| home.as_str()),
        chosen[0]
    );
    context.record.add_step(step);
    context.candidates = chosen.clone();
    context.hinted_server = hint.map(|hint| hint.server);
    app.recorder.record(|| {
        input.outcome = chosen;
        Line::Choose(input)
    });
    Verdict::Continue
}

/// Excludes, for free work, the servers whose load has reached the free threshold: the target as
/// a whole may have capacity while a single server has none left for paying work. Deferred work
/// may run on any server, since it has already waited for capacity and must be delivered.
fn exclude_full_servers<'a>(
    app: &App,
    context: &RequestContext,
    servers: Vec<&'a BackendServer>,
) -> Vec<&'a BackendServer> {
    if context.class() == Class::Paying || context.urgency == Urgency::Deferred {
        return servers;
    }
    let threshold = context.configuration.inventory.rules.free_threshold;
    let loads = app.load.estimates(&servers);
    let has_capacity =
        |server: &BackendServer, load: f64| load < (threshold * f64::from(server.slots)).max(1.0);
    let kept = servers.into_iter().zip(loads);
    kept.filter(|(server, load)| has_capacity(server, *load))
        .map(|(server, _)| server)
        .collect()
}

/// Returns the servers that accept new work: neither leaving nor dead. If all are seen as dead,
/// the membership view is more likely to be wrong than every server to be down, so all are
/// returned.
pub(super) fn usable_servers<'a>(
    app: &App,
    inventory: &'a Inventory,
    target: &'a Target,
) -> Vec<&'a BackendServer> {
    let view = app.members.view();
    let is_active = |server: &&BackendServer| {
        server.state == ServerState::Active && view.get(&server.id) != Some(&Health::Leaving)
    };
    let active: Vec<&BackendServer> = inventory.servers_of(target).filter(is_active).collect();
    let is_live = |server: &&BackendServer| view.get(&server.id) != Some(&Health::Dead);
    let live: Vec<&BackendServer> = active.iter().copied().filter(is_live).collect();
    match live.is_empty() {
        true => active,
        false => live,
    }
}

fn server_input(app: &App, server: &BackendServer) -> ServerInput {
    ServerInput {
        id: server.id.clone(),
        slots: server.slots,
        view: app.load.view(&server.id),
    }
}

/// Returns the caller's hint if its signature is valid, it has not expired and its server has
/// not restarted since. An incarnation of 0 is unknown and counts as unchanged.
fn valid_hint(app: &App, context: &RequestContext) -> Option<Hint> {
    let text = context.header(HINT_HEADER)?;
    let now_s = app.clock.wall_ms() / MS_PER_SECOND;
    let hint = app.hint_key.verify(text, context.chat, now_s)?;
    let known_incarnation = app.load.incarnation(&hint.server);
    let is_same_incarnation = known_incarnation.0 == 0
        || hint.incarnation.0 == 0
        || known_incarnation == hint.incarnation;
    is_same_incarnation.then_some(hint)
}

/// Adds the placement hint that sends the chat's next request to the server that responded.
pub fn add_hint(app: &App, context: &RequestContext, response: Response<Body>) -> Response<Body> {
    let mut response = response;
    let server = response.headers().get("x-backend-server");
    let server = server.and_then(|value| value.to_str().ok());
    if let (Some(server), Some(Target::Model(_))) = (server, &context.target) {
        let hint = sign_hint(app, context.chat, &ServerId::from(server));
        if let Ok(value) = HeaderValue::from_str(&hint) {
            response.headers_mut().insert(HINT_HEADER, value);
        }
    }
    response
}

fn sign_hint(app: &App, chat: ChatId, server: &ServerId) -> String {
    let hint_keep_s = app.settings.serving.selection.hint_keep_s;
    app.hint_key.sign(&Hint {
        server: server.clone(),
        chat,
        incarnation: app.load.incarnation(server),
        expires_s: app.clock.wall_ms() / MS_PER_SECOND + hint_keep_s,
    })
}

fn no_server_refusal() -> Refusal {
    Refusal::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "no_server",
        "no backend server takes work for this target",
        "retry later; operators: check the servers' state",
    )
    .with_retry_after_s(1)
}
