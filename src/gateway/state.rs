//! State shared by all requests of a gateway.

mod dump;
mod held_back;
mod servers;
mod tables;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering};

use indexmap::IndexMap;
use parking_lot::{Mutex, RwLock};

use crate::config::routing::RoutingTable;
use crate::control::load::LoadTable;
use crate::control::strikes::Strikes;
use crate::decide::cold_start::ColdBounds;
use crate::decide::evacuation::Evacuations;
use crate::decide::fleet_counts::{Counts, FleetCounts};
use crate::decide::memory_budget::Purpose;
use crate::decide::overload::Overload;
use crate::decide::placement::PromptSizes;
use crate::decide::prompt_homes::{PromptHomes, fetch_source};
use crate::decide::registry::{Registration, Registry};
use crate::decide::retry_window::{FleetRetryLimit, RetryWindow};
use crate::decide::strikes::Fingerprint;
use crate::edge::clock::Clock;
use crate::error::Result;
use crate::gateway::allowances::Allowances;
use crate::gateway::caller_timeouts::CallerTimeouts;
use crate::gateway::crash::CrashProbes;
use crate::gateway::fleet_totals::{AppliedCounts, FleetTotals, is_due};
use crate::gateway::freshness::Freshness;
use crate::gateway::offers::ServiceOffers;
use crate::gateway::prompts_in_flight::PromptsInFlight;
use crate::gateway::protocol::{BackendProtocol, CallerProtocol};
use crate::gateway::queue::Queues;
use crate::gateway::reachability::Reachability;
use crate::gateway::server_bytes::ServerBytes;
use crate::gateway::silent_ends::OpenRunsTable;
use crate::gateway::state::tables::Tables;
use crate::gateway::strike_feed::StrikeFeed;
use crate::gateway::trials::QuarantineTrials;
use crate::http::memory::Memory;
use crate::http::pool::Pool;
use crate::ids::{RouterId, ServerId, ServiceId, ZoneId};
use crate::observe::gateway_metrics::GatewayMetrics;
use crate::peer::row::server_hash;
use crate::runtime::Runtime;

/// Settings of a gateway; `State::reload` replaces them.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// Name of this router, for logs and the dump.
    pub name: RouterId,
    /// Availability zone of this host.
    pub zone: ZoneId,
    /// Listening address for callers.
    pub listen: SocketAddr,
    /// Listening address for the platform's readiness checks.
    pub ready: SocketAddr,
    /// Listening address for operators: metrics and the state dump.
    pub admin: SocketAddr,
    /// Maximum number of open connections of callers.
    pub connections_max: usize,
    /// Limit on the retries of all routers together.
    pub retry_limit: FleetRetryLimit,
    /// Bounds on the requests to cold servers; `None` if no server is cold.
    pub cold_bounds: Option<ColdBounds>,
    /// Time from the stop signal until the platform kills the process.
    pub stop_grace_ms: u64,
    /// Longest time for which a leaving server may still receive requests.
    pub drain_ms: u64,
    /// Memory that this process may use.
    pub memory_bytes: usize,
    /// Maximum number of bytes of request bodies that this router has in flight to one server; a
    /// single larger body is sent too.
    pub server_body_max_bytes: usize,
    /// How routers relay the tables; `None` for a router that always reads them itself.
    pub relay: Option<RelaySettings>,
}

/// Settings of the relay between routers.
#[derive(Debug, Clone, PartialEq)]
pub struct RelaySettings {
    /// Listening address for subscribers.
    pub listen: SocketAddr,
    /// Relay addresses of the seeds, which read the platform's tables; a router whose own address
    /// is among them is a seed.
    pub seeds: Vec<SocketAddr>,
    /// Maximum number of subscribers from the own availability zone.
    pub degree: usize,
    /// Shared key with which routers authenticate to each other.
    pub key: String,
}

/// Shared state: settings, routes, servers, their load and health, and the retry budgets.
pub struct State {
    settings: RwLock<Arc<GatewaySettings>>,
    /// Executor of the background tasks.
    pub runtime: Runtime,
    /// Source of time.
    pub clock: Arc<dyn Clock>,
    /// Connection pool to backend servers.
    pub pool: Pool,
    /// Estimated load of backend servers.
    pub load: LoadTable,
    /// How often this router searches for a server, by service.
    pub offers: ServiceOffers,
    /// Number of this router's requests in flight, by shared prompt parts.
    pub prompts_in_flight: PromptsInFlight,
    /// Memory of all request bodies and responses.
    pub memory: Memory,
    /// Bytes of request bodies in flight to each server.
    pub server_bytes: ServerBytes,
    /// Requests that wait for capacity of their service.
    pub queues: Queues,
    /// Timeouts of callers' connections.
    pub caller_timeouts: CallerTimeouts,
    /// Metrics of the request path.
    pub metrics: GatewayMetrics,
    /// Which backend servers can be reached, and which fail.
    pub reachability: Reachability,
    /// Crashes of servers, by the requests that they ran.
    pub strikes: Strikes,
    /// Trials of requests in quarantine.
    pub trials: QuarantineTrials,
    /// Runs whose servers have not completed them.
    pub open_runs: OpenRunsTable,
    /// Recent probes of servers whose connection broke.
    pub crash_probes: CrashProbes,
    /// Units of the limits that are divided among all routers.
    pub allowances: Allowances,
    /// Passes changes of the strikes on to other routers.
    pub strike_feed: StrikeFeed,
    /// Protocol of the callers.
    pub callers: Box<dyn CallerProtocol>,
    /// Protocol of the backend servers.
    pub backends: Box<dyn BackendProtocol>,
    pub(super) routing: RwLock<Option<Arc<RoutingTable>>>,
    pub(super) registry: Mutex<Registry>,
    evacuations: RwLock<Evacuations>,
    retry_windows: Mutex<IndexMap<ServiceId, RetryWindow>>,
    overloads: Mutex<IndexMap<ServiceId, Overload>>,
    run_ms: Mutex<IndexMap<ServiceId, f64>>,
    prompt_sizes: Mutex<IndexMap<ServiceId, PromptSizes>>,
    homes: Mutex<PromptHomes>,
    pub(super) fleet_counts: Mutex<FleetCounts>,
    fleet_totals: Mutex<Option<Arc<FleetTotals>>>,
    applied_counts: Mutex<AppliedCounts>,
    routers_known: Arc<AtomicU32>,
    in_flight: AtomicUsize,
    is_stopping: AtomicBool,
    /// Time of the last read of the routes, by whichever router, on the clock that counts suspended time; 0 while their
    /// source does not answer.
    routes_confirmed_ms: AtomicU64,
    servers_source: Mutex<Freshness>,
    tables: RwLock<Tables>,
}

/// Default of `GatewaySettings::server_body_max_bytes`: eight bodies of 4 MiB, the largest that the
/// known sites allow. The 32 slots of an engine hold 2 MiB of usual prompts.
pub const SERVER_BODY_MAX_BYTES: usize = 32 << 20;
/// Time without an update after which the routes need to be confirmed: updates come every 1.1 s, and
/// the loss of their source is known within 1.7 s.
const ROUTES_UNCONFIRMED_MS: u64 = 3_000;
/// Weight of a new duration in the mean of a service's calls.
const RUN_WEIGHT: f64 = 0.1;
/// Number of routers assumed until a link reports it; the largest known site has 87.
const ROUTERS_DEFAULT: u32 = 100;
/// Router id under which the requests of all other routers are counted in the load table.
const OTHER_ROUTERS: &str = "others";
/// Minimum number of idle connections that may be kept to each server.
const IDLE_CONNECTIONS_MIN: usize = 2;
/// Time after a server's first registration in which prompts that moved to it may still be cached
/// by the server that served them before.
const RECENT_REGISTRATION_MS: u64 = 20_000;

impl State {
    /// Creates state without a configuration and without servers.
    pub fn open(
        settings: GatewaySettings,
        runtime: Runtime,
        clock: Arc<dyn Clock>,
        pool: Pool,
        callers: Box<dyn CallerProtocol>,
        backends: Box<dyn BackendProtocol>,
    ) -> Result<Self> {
        let strikes = Strikes::lifting_on_completion(&settings.name);
        Ok(Self {
            metrics: GatewayMetrics::open()?,
            memory: Memory::new(settings.memory_bytes, Arc::clone(&clock)),
            server_bytes: ServerBytes::default(),
            allowances: Allowances::new(settings.relay.as_ref(), Arc::clone(&clock)),
            queues: Queues::new(Arc::clone(&clock), settings.memory_bytes),
            settings: RwLock::new(Arc::new(settings)),
            runtime,
            load: LoadTable::new(Arc::clone(&clock)),
            offers: ServiceOffers::default(),
            caller_timeouts: CallerTimeouts::default(),
            prompts_in_flight: PromptsInFlight::default(),
            clock,
            pool,
            reachability: Reachability::default(),
            strikes,
            trials: QuarantineTrials::default(),
            open_runs: OpenRunsTable::default(),
            crash_probes: CrashProbes::default(),
            strike_feed: StrikeFeed::default(),
            callers,
            backends,
            routing: RwLock::default(),
            registry: Mutex::default(),
            evacuations: RwLock::default(),
            retry_windows: Mutex::default(),
            overloads: Mutex::default(),
            run_ms: Mutex::default(),
            prompt_sizes: Mutex::default(),
            homes: Mutex::default(),
            fleet_counts: Mutex::default(),
            fleet_totals: Mutex::default(),
            applied_counts: Mutex::default(),
            routers_known: Arc::default(),
            in_flight: AtomicUsize::new(0),
            is_stopping: AtomicBool::new(false),
            routes_confirmed_ms: AtomicU64::new(0),
            servers_source: Mutex::default(),
            tables: RwLock::default(),
        })
    }

    /// Monotonic time in ms.
    pub fn now_ms(&self) -> u64 {
        self.clock.monotonic_ms()
    }

    /// The settings in force.
    pub fn settings(&self) -> Arc<GatewaySettings> {
        Arc::clone(&self.settings.read())
    }

    /// Replaces the settings. Listeners keep their addresses, since the platform assigns new ones
    /// only when a process starts.
    pub fn reload(&self, new: GatewaySettings) {
        let mut settings = self.settings.write();
        if **settings == new {
            return;
        }
        log::info!(
            "event=reloaded retry_ratio={} retry_slack={} retry_window_ms={} stop_ms={} leave_ms={}",
            new.retry_limit.ratio,
            new.retry_limit.slack,
            new.retry_limit.window_ms,
            new.stop_grace_ms,
            new.drain_ms,
        );
        *settings = Arc::new(new);
    }

    /// The routing table in force; `None` until the first one was read.
    pub fn routing(&self) -> Option<Arc<RoutingTable>> {
        self.routing.read().clone()
    }

    /// Records that a server ran a request with these shared prompt parts.
    pub fn record_prompt_server(&self, shared_hash: u64, server: &ServerId) {
        self.homes.lock().record(shared_hash, server, self.now_ms());
    }

    /// Address of the server from which `target` fetches the shared prompt parts that it lacks.
    /// `order` is the rendezvous order of servers for the prompt, regardless of load.
    pub fn fetch_source(
        &self,
        shared_hash: u64,
        target: &ServerId,
        order: &[ServerId],
    ) -> Option<SocketAddr> {
        let now_ms = self.now_ms();
        let registry = self.registry.lock();
        let known_for_ms = registry.known_for_ms(target, now_ms).unwrap_or(0);
        let homes = self.homes.lock();
        let known = homes.home(shared_hash, now_ms);
        let known = known.filter(|home| registry.address(home).is_some());
        let source = fetch_source(target, known, order, known_for_ms < RECENT_REGISTRATION_MS)?;
        let is_pausing = |server: &&Registration| {
            let pause_end_ms = self.reachability.pause_end_ms(server, now_ms);
            pause_end_ms.is_some()
        };
        // A leaving server may be a source, but not one in an evacuated zone.
        let is_evacuated = registry.zone(source).is_some_and(|zone| {
            let since_ms = self.evacuated_since_ms(zone);
            since_ms.is_some()
        });
        match registry.get(source, now_ms).filter(is_pausing) {
            None if !is_evacuated => registry.address(source),
            _ => None,
        }
    }

    /// Records how many routers the peer of a link reports counts for.
    pub fn record_router_count(&self, link: u64, routers: u32) {
        let mut fleet = self.fleet_counts.lock();
        fleet.set_router_count(link, routers);
        // Only ever raised: a network partition reduces the links but not the routers, and with a
        // lower number each router would exceed its share of the fleet-wide limits.
        self.routers_known
            .fetch_max(fleet.router_count(), Ordering::Relaxed);
    }

    /// Number of routers that a link has reported, 0 before the first report; shared with the state.
    pub(super) fn routers_known(&self) -> Arc<AtomicU32> {
        Arc::clone(&self.routers_known)
    }

    /// Number of routers that share fleet-wide limits; the last known number while no link reports
    /// one.
    pub fn router_count(&self) -> usize {
        match self.routers_known.load(Ordering::Relaxed) {
            0 => ROUTERS_DEFAULT as usize,
            routers => routers as usize,
        }
    }

    /// Number of this router's requests in flight on each server; servers without any are omitted.
    pub fn own_counts(&self) -> Counts {
        let registry = self.registry.lock();
        let counts = registry.all().map(|server| {
            let count = self.load.own_requests(&server.id);
            (server_hash(&server.id), count)
        });
        counts.filter(|(_, count)| *count > 0).collect()
    }

    /// Request counts of the fleet, computed anew if they are older than the refresh interval.
    pub fn fleet_totals(&self) -> Arc<FleetTotals> {
        let now_ms = self.now_ms();
        let mut cached = self.fleet_totals.lock();
        if let Some(totals) = cached.as_ref().filter(|t| !is_due(t.as_of_ms, now_ms)) {
            return Arc::clone(totals);
        }
        let own = self.own_counts();
        let fleet = self.fleet_counts.lock();
        let mut all = fleet.others(&own);
        for (server, count) in &own {
            *all.entry(*server).or_default() += count;
        }
        let totals = Arc::new(FleetTotals {
            subtree: fleet.subtree_counts(&own),
            subtree_routers: fleet.subtree_router_count(),
            all,
            routers: fleet.router_count(),
            as_of_ms: now_ms,
        });
        *cached = Some(Arc::clone(&totals));
        totals
    }

    /// Makes the next call of `fleet_totals` compute them anew, after counts that other routers wait
    /// for have arrived.
    pub fn expire_fleet_totals(&self) {
        *self.fleet_totals.lock() = None;
    }

    /// Applies the request counts of the other routers to the load estimates, unless they were
    /// applied within the refresh interval; the next message on a link then applies them.
    pub fn apply_counts(&self) {
        let now_ms = self.now_ms();
        let mut applied = self.applied_counts.lock();
        if applied.as_of_ms.is_some_and(|at_ms| !is_due(at_ms, now_ms)) {
            return;
        }
        applied.as_of_ms = Some(now_ms);
        let own = self.own_counts();
        let others = self.fleet_counts.lock().others(&own);
        let all = RouterId::from(OTHER_ROUTERS);
        let registry = self.registry.lock();
        for server in registry.all() {
            let number = server_hash(&server.id);
            let count = others.get(&number).copied().unwrap_or(0);
            let known = applied.counts.insert(number, count);
            if known != Some(count) {
                self.load.set_peer_requests(&all, &server.id, count);
            }
        }
    }

    /// Records that a server completed a request, which therefore does not crash every server.
    pub fn record_completion(&self, fingerprint: Fingerprint, server: &ServerId) {
        let now_ms = self.now_ms();
        self.strikes.remember_completion(fingerprint, now_ms);
        self.strikes.record_completion(fingerprint, server, now_ms);
        self.open_runs.remove_request(fingerprint);
    }

    /// Counts a request towards the retry budget of its service.
    pub fn count_request(&self, service: &ServiceId) {
        let now_ms = self.now_ms();
        let mut retry_windows = self.retry_windows.lock();
        let window = retry_windows.entry(service.clone()).or_default();
        window.record_request(now_ms, &self.settings().retry_limit);
    }

    /// Takes one retry from the service's budget; false if the budget is used up.
    pub fn try_acquire_retry(&self, service: &ServiceId) -> bool {
        let now_ms = self.now_ms();
        let mut retry_windows = self.retry_windows.lock();
        let window = retry_windows.entry(service.clone()).or_default();
        window.try_record_retry(now_ms, &self.settings().retry_limit, self.router_count())
    }

    /// Records that a request was refused since all servers of its service are at capacity; returns
    /// the time in ms after which its caller should return.
    pub fn record_overload(&self, service: &ServiceId, remaining_ms: u64) -> u64 {
        let now_ms = self.now_ms();
        let mut overloads = self.overloads.lock();
        let overload = overloads.entry(service.clone()).or_default();
        overload.record_refusal(now_ms, remaining_ms, rand::random())
    }

    /// Records how long a call without a stream took at a server of a service.
    pub fn record_run(&self, service: &ServiceId, elapsed_ms: u64) {
        let mut run_ms = self.run_ms.lock();
        let elapsed_ms = elapsed_ms as f64;
        let mean = run_ms.entry(service.clone()).or_insert(elapsed_ms);
        *mean += (elapsed_ms - *mean) * RUN_WEIGHT;
    }

    /// Records the size of a request's shared prompt parts; returns whether it is light among those
    /// of its service.
    pub fn record_prompt_size(&self, service: &ServiceId, shared_tokens: u64) -> bool {
        let mut prompt_sizes = self.prompt_sizes.lock();
        let sizes = prompt_sizes.entry(service.clone()).or_default();
        sizes.record(shared_tokens)
    }

    /// Mean duration of the calls to a service; `None` before the first one.
    pub fn run_ms(&self, service: &ServiceId) -> Option<f64> {
        self.run_ms.lock().get(service).copied()
    }

    /// Maximum number of idle connections that this router keeps to each server of a service. A
    /// server counts the connections of all routers towards its limit, so all idle connections
    /// together may use at most half of it.
    pub fn idle_connections_max(&self, service: &ServiceId) -> usize {
        let routing = self.routing();
        let service = routing.as_ref().and_then(|r| r.services.get(service));
        let connections_max = service.map_or(0, |service| service.connections_max as usize);
        (connections_max / self.router_count() / 2).max(IDLE_CONNECTIONS_MIN)
    }

    /// Records the bytes that requests and responses hold in the metrics.
    pub fn record_memory(&self) {
        let held = [
            ("requests", Purpose::Request),
            ("responses", Purpose::Response),
        ];
        for (name, purpose) in held {
            let bytes = self.memory.used_bytes(purpose);
            self.metrics.record_held_bytes(name, bytes as u64);
        }
    }

    /// Whether the platform should send callers here: routes and servers are known, and no stop has
    /// begun.
    pub fn is_ready(&self) -> bool {
        self.has_tables() && !self.is_stopping()
    }

    /// Records an update of the routes that were read at `read_ms`.
    pub fn record_routes_read(&self, read_ms: u64) {
        let age_ms = self.now_ms().saturating_sub(read_ms);
        let confirmed_ms = self.clock.boot_ms().saturating_sub(age_ms).max(1);
        self.routes_confirmed_ms
            .fetch_max(confirmed_ms, Ordering::Relaxed);
    }

    /// Records that the source of the routes does not answer.
    pub fn record_routes_lost(&self) {
        self.routes_confirmed_ms.store(0, Ordering::Relaxed);
    }

    /// Whether the routes and keys may have changed without this router's knowledge, as after a pause
    /// of the process. While their source is known to be away, the last known ones hold.
    pub fn has_outdated_routes(&self) -> bool {
        let confirmed_ms = self.routes_confirmed_ms.load(Ordering::Relaxed);
        confirmed_ms > 0
            && self.clock.boot_ms().saturating_sub(confirmed_ms) > ROUTES_UNCONFIRMED_MS
    }

    /// Whether routes and servers are known.
    pub fn has_tables(&self) -> bool {
        // Routes are not to stay locked while the registry is: `dump` locks them the other way round.
        let has_routes = self.routing().is_some();
        has_routes && !self.registry.lock().is_empty()
    }

    /// Whether a stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Marks the process as stopping, so that it is no longer ready and no request waits in a queue.
    pub fn begin_stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
        self.queues.wake_all();
    }

    /// Number of callers' requests and streams in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn track_request(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(Arc::clone(self))
    }
}

/// Guard of one request in flight; dropping it ends the count.
pub struct InFlightGuard(Arc<State>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
