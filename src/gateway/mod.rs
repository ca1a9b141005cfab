//! Routes requests by host and path to registered backend servers and forwards their responses
//! and streams unchanged.
//!
//! The protocols of callers and backend servers, and the sources of routes and servers, are
//! supplied by the embedding program (see [`Dependencies`]).

pub mod allowances;
pub mod attempt;
pub mod attempts;
pub mod caller_timeouts;
pub mod crash;
pub mod event_source;
pub mod first_server;
pub mod fleet_totals;
pub mod freshness;
pub mod mirror;
mod next_server;
pub mod offers;
pub mod placement;
pub mod prompts_in_flight;
pub mod protocol;
pub mod quarantine;
pub mod queue;
pub mod reachability;
pub mod rejection;
pub mod relay;
pub mod request;
pub mod routed_request;
pub mod server_bytes;
pub mod silent_ends;
pub mod state;
pub mod stream;
pub mod strike_feed;
pub mod table;
pub mod table_handlers;
pub mod trials;
pub mod watch;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use hyper::StatusCode;

use crate::admin::{json_response, text_response};
use crate::decide::memory_plan::{
    CALLER_READ_BUFFER_BYTES, CALLER_RECEIVE_BUFFER_BYTES, EXTENDED_BODY_MIN_BYTES,
};
use crate::decide::registry::Registration;
use crate::decide::table_supply::READ_INTERVAL_MAX_MS;
use crate::edge::clock::{Clock, HostClock};
use crate::error::Result;
use crate::gateway::mirror::Mirror;
use crate::gateway::protocol::{BackendProtocol, CallerProtocol};
use crate::gateway::quarantine::QuarantineStore;
use crate::gateway::relay::Mirrors;
use crate::gateway::state::{GatewaySettings, State};
use crate::gateway::table::Source;
use crate::gateway::table_handlers::{Decode, RoutesDecoder, RoutingHandler, ServerHandler};
use crate::gateway::watch::{PollTiming, watch_table};
use crate::http::limits::ServerLimits;
use crate::http::pool::Pool;
use crate::http::server::Server;
use crate::runtime::{Runtime, Shutdown};

/// Implementations that the embedding program supplies for the outside systems of a gateway.
pub struct Dependencies {
    /// Protocol of the callers.
    pub callers: Box<dyn CallerProtocol>,
    /// Protocol of the backend servers.
    pub backends: Box<dyn BackendProtocol>,
    /// Watched table of the routes.
    pub routes: Arc<dyn Source>,
    /// Decodes the rows of the routes table.
    pub decode_routes: RoutesDecoder,
    /// Watched table in which backend servers register.
    pub servers: Arc<dyn Source>,
    /// Decodes a server's row.
    pub decode_server: Decode<Registration>,
    /// Keeps the quarantines of requests that crash servers.
    pub quarantines: Arc<dyn QuarantineStore>,
}

/// A running gateway and its listeners.
pub struct Gateway {
    state: Arc<State>,
    callers: Server,
    ready: Server,
    admin: Server,
    stop: Shutdown,
}

/// The watched tables and the decoders of their rows.
struct Tables {
    routes: Arc<dyn Source>,
    decode_routes: RoutesDecoder,
    servers: Arc<dyn Source>,
    decode_server: Decode<Registration>,
    quarantines: Arc<dyn QuarantineStore>,
}

impl Tables {
    /// Starts to watch the tables, either at the store or relayed by another router.
    fn watch(self, state: &Arc<State>, stop: &Shutdown) -> Result<()> {
        let routes = Arc::new(RoutingHandler {
            state: Arc::clone(state),
            decoder: self.decode_routes,
        });
        let routes = Arc::new(Mirror::new("routes", routes));
        let servers = Arc::new(ServerHandler {
            state: Arc::clone(state),
            decode: self.decode_server,
            has_snapshot: AtomicBool::new(false),
        });
        let servers = Arc::new(Mirror::new("servers", servers));
        let mirrors: Mirrors = Arc::new([Arc::clone(&routes), Arc::clone(&servers)]);
        state.set_tables(&mirrors);
        let start = relay::spawn(state, &mirrors, stop)?;
        let (shared, store) = (Arc::clone(state), Arc::clone(&self.quarantines));
        state
            .runtime
            .spawn_supervised(move || trials::claim_loop(Arc::clone(&shared), Arc::clone(&store)));
        let (shared, quarantines) = (Arc::clone(state), self.quarantines);
        state.runtime.spawn_supervised(move || {
            let mirrors = Arc::clone(&mirrors);
            quarantine::store_loop(Arc::clone(&shared), Arc::clone(&quarantines), mirrors)
        });
        let settings = state.settings();
        let is_standby = settings
            .relay
            .as_ref()
            .is_some_and(|relay| !relay.seeds.is_empty() && !relay.seeds.contains(&relay.listen));
        let standby_routers = is_standby.then(|| state.routers_known());
        let routes_timing = PollTiming {
            long_poll_timeout: LONG_POLL_TIMEOUT,
            pause: ROUTES_POLL_PAUSE,
            standby_routers: standby_routers.clone(),
            start: start.clone(),
        };
        let servers_pause = Duration::from_millis(settings.drain_ms / SERVERS_POLL_DIVISOR);
        let servers_pause = servers_pause.min(LONG_POLL_TIMEOUT);
        let servers_timing = PollTiming {
            long_poll_timeout: READ_INTERVAL_MAX - servers_pause,
            pause: servers_pause,
            standby_routers,
            start,
        };
        let clock = &state.clock;
        let watch = |source: Arc<dyn Source>, mirror: Arc<Mirror>, timing: PollTiming| {
            let clock = Arc::clone(clock);
            move || {
                let (source, mirror) = (Arc::clone(&source), Arc::clone(&mirror));
                watch_table(source, mirror, timing.clone(), Arc::clone(&clock))
            }
        };
        let runtime = &state.runtime;
        runtime.spawn_supervised(watch(self.routes, routes, routes_timing));
        runtime.spawn_supervised(watch(self.servers, servers, servers_timing));
        Ok(())
    }
}

/// Timeout for connecting to a backend server. Servers are within a few ms, and TCP resends a
/// lost connection packet only after a second, so a longer wait gains nothing.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time to wait, beyond a round trip, for a server's reset of a new connection.
const RESET_WAIT: Duration = Duration::from_millis(1);
/// Longest time between two reads of a table.
const READ_INTERVAL_MAX: Duration = Duration::from_millis(READ_INTERVAL_MAX_MS);
/// Pause between two polls of the routes.
const ROUTES_POLL_PAUSE: Duration = Duration::from_millis(100);
/// Long-poll timeout of the routes, and longest pause between two polls of the servers. A connection
/// may stop delivering without an error, so this bounds how long a change can go unnoticed.
const LONG_POLL_TIMEOUT: Duration = READ_INTERVAL_MAX.saturating_sub(ROUTES_POLL_PAUSE);
/// The pause between two polls of the servers is the drain time of a leaving server divided by
/// this.
const SERVERS_POLL_DIVISOR: u64 = 4;
/// Interval at which a planned stop checks for open connections and requests.
const STOP_POLL: Duration = Duration::from_millis(20);
/// Time for which new connections are accepted after a stop begins: the platform sends callers
/// here until two readiness checks, a second apart, have failed.
const STOP_ACCEPT: Duration = Duration::from_millis(2_300);
/// How long before the platform kills the process it exits by itself.
const STOP_MARGIN_MS: u64 = 500;

impl Gateway {
    /// Binds the listeners and starts the background tasks.
    pub fn spawn(
        settings: GatewaySettings,
        runtime: &Runtime,
        dependencies: Dependencies,
    ) -> Result<Self> {
        let clock: Arc<dyn Clock> = Arc::new(HostClock::open());
        let pool = Pool::open_with_reset_wait(runtime.clone(), CONNECT_TIMEOUT, RESET_WAIT);
        let state = Arc::new(State::open(
            settings,
            runtime.clone(),
            clock,
            pool,
            dependencies.callers,
            dependencies.backends,
        )?);
        let ready = bind_ready(&state)?;
        let admin = bind_admin(&state)?;
        let callers = bind_callers(&state)?;
        let stop = Shutdown::new();
        let tables = Tables {
            routes: dependencies.routes,
            decode_routes: dependencies.decode_routes,
            servers: dependencies.servers,
            decode_server: dependencies.decode_server,
            quarantines: dependencies.quarantines,
        };
        tables.watch(&state, &stop)?;
        let shared = Arc::clone(&state);
        runtime.spawn_supervised(move || reachability::probe_loop(Arc::clone(&shared)));
        let shared = Arc::clone(&state);
        runtime.spawn_supervised(move || quarantine::review_loop(Arc::clone(&shared)));
        log::info!(
            "event=started router={} zone={} callers={} ready={}",
            state.settings().name,
            state.settings().zone,
            callers.address(),
            ready.address(),
        );
        Ok(Self {
            state,
            callers,
            ready,
            admin,
            stop,
        })
    }

    /// Bound address of the callers' listener.
    pub fn address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Bound address of the readiness check.
    pub fn ready_address(&self) -> SocketAddr {
        self.ready.address()
    }

    /// State shared by all requests.
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Stops gracefully: waits for open requests and connections until shortly before the platform
    /// kills the process.
    pub async fn stop(self) {
        let started_ms = self.state.now_ms();
        let limit_ms = self
            .state
            .settings()
            .stop_grace_ms
            .saturating_sub(STOP_MARGIN_MS);
        self.state.begin_stop();
        log::info!("event=stopping requests={}", self.state.in_flight());
        smol::Timer::after(STOP_ACCEPT.min(Duration::from_millis(limit_ms / 2))).await;
        self.callers.stop();
        let is_busy = || self.callers.open_connections() > 0 || self.state.in_flight() > 0;
        while is_busy() && self.state.now_ms() < started_ms + limit_ms {
            smol::Timer::after(STOP_POLL).await;
        }
        self.ready.stop();
        self.admin.stop();
        self.stop.trigger();
        log::info!("event=stopped requests_left={}", self.state.in_flight());
    }
}

/// Maximum number of connections to each address for the platform and operators, who open one at a
/// time.
const OPERATOR_CONNECTIONS_MAX: usize = 64;

fn operator_limits() -> ServerLimits {
    ServerLimits {
        connections_max: OPERATOR_CONNECTIONS_MAX,
        receive_buffer_bytes: Some(CALLER_RECEIVE_BUFFER_BYTES),
        ..ServerLimits::default()
    }
}

fn bind_ready(state: &Arc<State>) -> Result<Server> {
    let shared = Arc::clone(state);
    Server::bind(
        &state.runtime,
        state.settings().ready,
        operator_limits(),
        move |_| {
            let response = match shared.is_ready() {
                true => text_response(StatusCode::OK, "ready\n"),
                false => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            };
            async move { response }
        },
    )
}

/// Binds the operators' listener, which serves metrics and a dump of the process state.
fn bind_admin(state: &Arc<State>) -> Result<Server> {
    let shared = Arc::clone(state);
    Server::bind(
        &state.runtime,
        state.settings().admin,
        operator_limits(),
        move |request| {
            let response = match request.uri().path() {
                "/metrics" => text_response(StatusCode::OK, shared.render_metrics()),
                "/dump" => json_response(StatusCode::OK, &shared.dump()),
                _ => text_response(StatusCode::NOT_FOUND, "no such page\n"),
            };
            async move { response }
        },
    )
}

fn bind_callers(state: &Arc<State>) -> Result<Server> {
    let limits = ServerLimits {
        header_bytes: CALLER_READ_BUFFER_BYTES,
        connections_max: state.settings().connections_max,
        receive_buffer_bytes: Some(CALLER_RECEIVE_BUFFER_BYTES),
        close_from_body_bytes: Some(EXTENDED_BODY_MIN_BYTES as u64),
        idle_timeout: state.caller_timeouts.idle.clone(),
        header_timeout: state.caller_timeouts.header.clone(),
        ..ServerLimits::default()
    };
    let shared = Arc::clone(state);
    Server::bind(
        &state.runtime,
        state.settings().listen,
        limits,
        move |request| request::handle(Arc::clone(&shared), request),
    )
}
