//! Orders the backend servers that may run the request, and signs where its cache will be.

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

/// Request and response header of the placement hint.
pub const HINT_HEADER: &str = "x-placement-hint";
const SECOND_MS: u64 = 1_000;

/// Fills the list of candidates.
pub fn apply(app: &App, context: &mut RequestContext) -> Verdict {
    let Some(target) = &context.target else {
        return Verdict::Continue;
    };
    let inventory = &context.configuration.inventory;
    let servers = usable(app, inventory, target);
    if servers.is_empty() {
        return Verdict::Refuse(no_server());
    }
    let servers = keep_room(app, context, servers);
    if servers.is_empty() {
        return admit::refuse(app, context, Reason::Overloaded);
    }
    let hint = valid_hint(app, context);
    let home = hint.as_ref().map(|hint| &hint.server);
    let is_here = home.is_some_and(|home| servers.iter().any(|server| server.id == *home));
    let mut input = Choose {
        at_ms: app.clock.monotonic_ms(),
        policy: app.settings.serving.choosing.policy,
        load_bound: inventory.rules.load_bound,
        chat: context.chat,
        home: home.filter(|_| is_here).cloned(),
        // Without its home the chat finds no cache, wherever it goes.
        is_new: context.is_new_chat || (home.is_some() && !is_here),
        draw: rand::rng().random(),
        servers: servers.iter().map(|server| input_of(app, server)).collect(),
        outcome: Vec::new(),
    };
    let chosen = input.decide();
    let step = format!(
        "choose: {} servers, hint {}, first {}",
        servers.len(),
        home.map_or("none", |home| home.as_str()),
        chosen[0]
    );
    context.record.step(step);
    context.candidates = chosen.clone();
    context.home = hint.map(|hint| hint.server);
    app.recorder.record(|| {
        input.outcome = chosen;
        Line::Choose(input)
    });
    Verdict::Continue
}

/// Leaves out, for free work, the servers over its threshold: the target as a whole may have
/// room while a single server has none left for paying work. Deferred work goes anywhere,
/// since it has waited for room already and must be delivered.
fn keep_room<'a>(
    app: &App,
    context: &RequestContext,
    servers: Vec<&'a BackendServer>,
) -> Vec<&'a BackendServer> {
    if context.class() == Class::Paying || context.urgency == Urgency::Deferred {
        return servers;
    }
    let threshold = context.configuration.inventory.rules.free_threshold;
    let loads = app.load.estimates(&servers);
    let has_room =
        |server: &BackendServer, load: f64| load < (threshold * f64::from(server.slots)).max(1.0);
    let kept = servers.into_iter().zip(loads);
    kept.filter(|(server, load)| has_room(server, *load))
        .map(|(server, _)| server)
        .collect()
}

/// Servers that take new work: neither leaving nor dead. Where all are dead, the view rather
/// than every server is likely to be wrong, so they are tried.
pub(super) fn usable<'a>(
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

fn input_of(app: &App, server: &BackendServer) -> ServerInput {
    ServerInput {
        id: server.id.clone(),
        slots: server.slots,
        view: app.load.view(&server.id),
    }
}

/// The caller's hint, if it is genuine and its server still lives the same life.
fn valid_hint(app: &App, context: &RequestContext) -> Option<Hint> {
    let text = context.header(HINT_HEADER)?;
    let now_s = app.clock.wall_ms() / SECOND_MS;
    let hint = app.hint_key.verify(text, context.chat, now_s)?;
    let known = app.load.incarnation(&hint.server);
    let is_same_life = known.0 == 0 || hint.incarnation.0 == 0 || known == hint.incarnation;
    is_same_life.then_some(hint)
}

/// Adds the hint that leads back to the server which answered.
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
    let keep_s = app.settings.serving.choosing.hint_keep_s;
    app.hint_key.sign(&Hint {
        server: server.clone(),
        chat,
        incarnation: app.load.incarnation(server),
        expires_s: app.clock.wall_ms() / SECOND_MS + keep_s,
    })
}

fn no_server() -> Refusal {
    Refusal::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "no_server",
        "no backend server takes work for this target",
        "retry later; operators: check the servers' state",
    )
    .with_retry_after_s(1)
}
