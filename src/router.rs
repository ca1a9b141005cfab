//! The router process: start of its tasks and listeners, and planned stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use parking_lot::RwLock;

use crate::admin;
use crate::app::App;
use crate::config::inventory::Inventory;
use crate::config::settings::RouterSettings;
use crate::control::claims::Claims;
use crate::control::config::{
    ConfigApplier, ConfigExchange, ConfigPoller, ConfigStore, Configuration,
};
use crate::control::deferred::DeferredQueue;
use crate::control::exchange::{LoadExchange, LoadReceiver};
use crate::control::flight::FlightCounter;
use crate::control::load::LoadTable;
use crate::control::members::{self, HostListPoller, Members, MembersDriver};
use crate::control::preempt::FreeWork;
use crate::control::probe::{ProbeResponses, Prober};
use crate::control::retries::RetryBudgets;
use crate::control::strike_sync;
use crate::control::strikes::Strikes;
use crate::control::suspects::Suspects;
use crate::control::teams::Teams;
use crate::decide::hint::HintKey;
use crate::decide::retry::RetryPolicy;
use crate::edge::clock::{Clock, HostClock};
use crate::edge::host_list::HttpHostList;
use crate::edge::object::{HttpObjectStore, MemoryObjectStore, ObjectStore};
use crate::edge::table::{HttpTable, MemoryTable, Table};
use crate::error::Result;
use crate::filter;
use crate::http::limits::{RECEIVE_BUFFER_BYTES, ServerLimits};
use crate::http::pool::Pool;
use crate::http::server::Server;
use crate::ids::{ConfigVersion, RequestId};
use crate::observe::metrics::Metrics;
use crate::observe::recent_requests::RecentRequests;
use crate::observe::recorder::Recorder;
use crate::peer::PeerHandle;
use crate::runtime::{Runtime, Shutdown};

/// A running router.
pub struct Router {
    app: Arc<App>,
    callers: Server,
    admin: Server,
    stop: Shutdown,
}

/// Interval at which a planned stop checks for requests in flight and unwritten outcomes.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait of a planned stop for claim outcomes that are not yet written. A claim without a
/// stored outcome stays held, which is safe, so a stop need not wait for a table outage to end.
const STOP_SETTLE_MAX_MS: u64 = 10_000;

impl Router {
    /// Starts a router that reads its configuration from the platform.
    pub fn spawn(settings: RouterSettings) -> Result<Self> {
        let (table, objects): (Arc<dyn Table>, Arc<dyn ObjectStore>) = match &settings.platform {
            Some(platform) => {
                let timeout = Duration::from_millis(platform.timeout_ms);
                (
                    HttpTable::new(platform.table, timeout),
                    HttpObjectStore::new(platform.objects, timeout),
                )
            }
            None => (MemoryTable::new(), MemoryObjectStore::new()),
        };
        Self::start(settings, table, objects)
    }

    /// Starts a router with a fixed inventory and an in-memory platform.
    pub fn spawn_standalone(mut settings: RouterSettings, inventory: Inventory) -> Result<Self> {
        settings.platform = None;
        let router = Self::spawn(settings)?;
        router.app.config.replace_if_newer(Configuration {
            version: ConfigVersion(1),
            change_id: "standalone".to_owned(),
            inventory,
        });
        Ok(router)
    }

    fn start(
        settings: RouterSettings,
        table: Arc<dyn Table>,
        objects: Arc<dyn ObjectStore>,
    ) -> Result<Self> {
        let runtime = Runtime::start(settings.threads);
        let connect_timeout = Duration::from_millis(settings.timeouts.connect_ms);
        let clock: Arc<dyn Clock> = Arc::new(HostClock::open());
        let stop = Shutdown::new();
        let peers = PeerHandle::bind(&settings, &runtime, &clock, &stop)?;
        let claims = Claims::new(
            runtime.clone(),
            Arc::clone(&clock),
            Arc::clone(&table),
            settings.name.clone(),
        );
        let app = Arc::new(App {
            pool: Pool::open(runtime.clone(), connect_timeout),
            clock: Arc::clone(&clock),
            claims,
            members: Members::new(Arc::clone(&clock), peers.clone()),
            peers,
            config: ConfigStore::new(),
            load: LoadTable::new(Arc::clone(&clock)),
            teams: Teams::new(Arc::clone(&clock)),
            free_work: FreeWork::new(),
            deferred: DeferredQueue::default(),
            hint_key: hint_key(&settings),
            live_routers: Arc::new(RwLock::new(vec![(
                settings.name.clone(),
                settings.zone.clone(),
            )])),
            retries: new_retry_budgets(&settings),
            strikes: Strikes::new(&settings.name),
            suspects: Suspects::new(),
            in_flight: FlightCounter::new(),
            metrics: Metrics::open()?,
            recorder: Recorder::open(&settings.serving.trace, &settings.name)?,
            recent_requests: RecentRequests::open(),
            is_ready: AtomicBool::new(true),
            table,
            objects,
            runtime: runtime.clone(),
            settings,
        });
        spawn_config_sync(&app, &stop);
        spawn_prober(&app, &stop);
        spawn_members(&app, &stop);
        strike_sync::spawn(&app, &stop);
        let callers = bind_callers(&app)?;
        let admin = admin::bind(&app)?;
        log::info!(
            "event=started router={} callers={} admin={}",
            app.settings.name,
            callers.address(),
            admin.address(),
        );
        Ok(Self {
            app,
            callers,
            admin,
            stop,
        })
    }

    /// Address of the listener for callers.
    pub fn address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Address of the operators' listener.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Stops without aborting requests: accepts no new connections, then waits up to `stop_ms` for
    /// open connections, requests in flight and claim outcomes.
    pub async fn stop(self) {
        self.app.is_ready.store(false, Ordering::Relaxed);
        self.app.peers.leave().await;
        self.callers.stop();
        let stop_deadline_ms = self.app.clock.monotonic_ms() + self.app.settings.timeouts.stop_ms;
        // Non-idempotent calls and deferred work stay in flight after their caller disconnects.
        let has_work = || self.callers.open_connections() > 0 || self.app.in_flight.total() > 0;
        while has_work() && self.app.clock.monotonic_ms() < stop_deadline_ms {
            smol::Timer::after(STOP_POLL_INTERVAL).await;
        }
        let settle_deadline_ms = self.app.clock.monotonic_ms() + STOP_SETTLE_MAX_MS;
        while self.app.claims.pending_outcomes() > 0
            && self.app.clock.monotonic_ms() < stop_deadline_ms.min(settle_deadline_ms)
        {
            smol::Timer::after(STOP_POLL_INTERVAL).await;
        }
        self.stop.trigger();
        self.admin.stop();
        log::info!(
            "event=stopped router={} requests_left={}",
            self.app.settings.name,
            self.app.in_flight.total(),
        );
    }
}

fn new_retry_budgets(settings: &RouterSettings) -> RetryBudgets {
    let retry = &settings.retry;
    let policy = RetryPolicy {
        attempts_max: retry.attempts_max,
        backoff_base_ms: retry.backoff_base_ms,
        backoff_max_ms: retry.backoff_max_ms,
    };
    RetryBudgets::new(retry.budget_ratio, policy)
}

fn spawn_config_sync(app: &Arc<App>, stop: &Shutdown) {
    let applier = ConfigApplier::new(app.config.clone());
    let exchange = ConfigExchange::new(applier.clone(), app.peers.clone());
    app.runtime.spawn_detached(exchange.run(stop.clone()));
    let Some(platform) = &app.settings.platform else {
        return;
    };
    let poller = ConfigPoller {
        applier,
        table: Arc::clone(&app.table),
        objects: Arc::clone(&app.objects),
        period: Duration::from_millis(platform.poll_ms),
        peers: Some(app.peers.clone()),
    };
    app.runtime.spawn_detached(poller.run(stop.clone()));
}

/// Derives the key of placement hints from the setting `hint_key`, or else from the key shared with
/// the peers. A router with neither uses a random key.
fn hint_key(settings: &RouterSettings) -> HintKey {
    let peers = settings.peers.as_ref();
    let secret = settings.serving.selection.hint_key.clone();
    let secret = secret.or_else(|| peers.map(|peers| peers.shared_key.clone()));
    HintKey::derive(&secret.unwrap_or_else(|| RequestId::random().to_string()))
}

/// Interval at which the host list is read. The list itself lags, so a shorter one gains nothing.
const HOST_LIST_POLL_INTERVAL: Duration = Duration::from_secs(10);

fn spawn_load_exchange(app: &Arc<App>, responses: ProbeResponses, stop: &Shutdown) {
    let exchange = LoadExchange {
        peers: app.peers.clone(),
        config: app.config.clone(),
        load: app.load.clone(),
        teams: app.teams.clone(),
        responses,
        clock: Arc::clone(&app.clock),
        period: Duration::from_millis(app.settings.serving.selection.exchange_ms),
    };
    let receiver = LoadReceiver {
        rows: app.peers.subscribe(),
        config: app.config.clone(),
        load: app.load.clone(),
        teams: app.teams.clone(),
        clock: Arc::clone(&app.clock),
    };
    app.runtime.spawn_detached(exchange.run(stop.clone()));
    app.runtime.spawn_detached(receiver.run());
}

/// Probe results buffered for the membership task.
const PROBE_RESULTS_MAX: usize = 4_096;

fn spawn_prober(app: &Arc<App>, stop: &Shutdown) {
    let (results, probe_results) = async_channel::bounded(PROBE_RESULTS_MAX);
    let responses = ProbeResponses::default();
    let prober = Prober {
        router: app.settings.name.clone(),
        live_routers: Arc::clone(&app.live_routers),
        config: app.config.clone(),
        load: app.load.clone(),
        clock: Arc::clone(&app.clock),
        runtime: app.runtime.clone(),
        period: Duration::from_millis(app.settings.serving.selection.probe_ms),
        responses: Arc::clone(&responses),
        results,
    };
    app.runtime.spawn_detached(prober.run(stop.clone()));
    spawn_load_exchange(app, responses, stop);
    let members = app.members.clone();
    app.runtime.spawn_detached(async move {
        while let Ok(result) = probe_results.recv().await {
            members.record_probe(&result);
        }
    });
}

fn spawn_members(app: &Arc<App>, stop: &Shutdown) {
    let rows = members::apply_rows(app.members.clone(), app.peers.subscribe());
    app.runtime.spawn_detached(rows);
    let driver = MembersDriver {
        members: app.members.clone(),
        peers: app.peers.clone(),
        config: app.config.clone(),
        live_routers: Arc::clone(&app.live_routers),
        runtime: app.runtime.clone(),
    };
    app.runtime.spawn_detached(driver.run(stop.clone()));
    let Some(platform) = &app.settings.platform else {
        return;
    };
    let hosts = HostListPoller {
        hosts: HttpHostList::new(platform.hosts, Duration::from_millis(platform.timeout_ms)),
        members: app.members.clone(),
        config: app.config.clone(),
        period: HOST_LIST_POLL_INTERVAL,
    };
    app.runtime.spawn_detached(hosts.run(stop.clone()));
}

fn bind_callers(app: &Arc<App>) -> Result<Server> {
    let limits = &app.settings.limits;
    let server_limits = ServerLimits {
        header_bytes: limits.header_bytes,
        headers_max: limits.headers_max,
        header_timeout: Duration::from_millis(limits.header_timeout_ms).into(),
        idle_timeout: Duration::from_millis(limits.idle_timeout_ms).into(),
        connections_max: limits.connections_max,
        receive_buffer_bytes: Some(RECEIVE_BUFFER_BYTES),
        close_from_body_bytes: None,
    };
    let state = Arc::clone(app);
    Server::bind(
        &app.runtime,
        app.settings.listen,
        server_limits,
        move |request| filter::handle(Arc::clone(&state), request),
    )
}
