//! The controller process: holds leases on shards of the engines and sends orders to the engines
//! of its shards.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use hyper::StatusCode;
use indexmap::IndexMap;
use opentelemetry::KeyValue;
use parking_lot::Mutex;
use serde_json::{Value, json};

use crate::admin::{json_response, text_response};
use crate::config::settings::ControllerSettings;
use crate::control::config::{ConfigApplier, ConfigPoller, ConfigStore};
use crate::control::leases::LeaseSet;
use crate::control::orders::{Reconciler, SHARDS};
use crate::control::weights::WeightPermits;
use crate::decide::lease::LeaseTimes;
use crate::edge::clock::{Clock, HostClock};
use crate::edge::engine::HttpEngineControl;
use crate::edge::object::HttpObjectStore;
use crate::edge::table::{HttpTable, Table};
use crate::error::Result;
use crate::http::limits::ServerLimits;
use crate::http::server::Server;
use crate::observe::metrics::Exporter;
use crate::runtime::{Runtime, Shutdown};

/// Divisor of the lease duration. Other controllers wait for this fraction longer before they take
/// over a lease, since clocks may run at different rates.
const DRIFT_DIVISOR: u64 = 20;
/// Renewals within one lease duration.
const RENEWALS_PER_LEASE: u64 = 3;

/// A running controller.
pub struct Controller {
    admin: Server,
    stop: Shutdown,
    stopped: async_channel::Receiver<()>,
}

impl Controller {
    /// Starts a controller.
    pub fn spawn(settings: ControllerSettings) -> Result<Self> {
        let runtime = Runtime::start(settings.threads);
        let clock: Arc<dyn Clock> = Arc::new(HostClock::open());
        let timeout = Duration::from_millis(settings.platform.timeout_ms);
        let table: Arc<dyn Table> = HttpTable::new(settings.platform.table, timeout);
        let config = ConfigStore::new();
        let poller = ConfigPoller {
            applier: ConfigApplier::new(config.clone()),
            table: Arc::clone(&table),
            objects: HttpObjectStore::new(settings.platform.objects, timeout),
            period: Duration::from_millis(settings.platform.poll_ms),
            peers: None,
        };
        let shards = Arc::new(shard_leases(&settings, &table, &clock));
        let reconciler = Arc::new(Reconciler {
            region: settings.region.clone(),
            config,
            shards,
            weights: WeightPermits::new(&settings.name, &settings.region, table, clock),
            engines: Arc::new(HttpEngineControl::new(Duration::from_millis(
                settings.order_timeout_ms,
            ))),
            order_timeout_ms: settings.order_timeout_ms,
            reports: Mutex::new(IndexMap::new()),
        });
        let exporter = Exporter::open()?;
        register_gauges(&exporter, &reconciler);
        let admin = bind_admin(&runtime, &settings, &reconciler, exporter)?;
        let stop = Shutdown::new();
        let (done, stopped) = async_channel::bounded(1);
        runtime.spawn_detached(poller.run(stop.clone()));
        let period = Duration::from_millis(settings.reconcile_ms);
        runtime.spawn_detached(run_leases(
            Arc::clone(&reconciler),
            period,
            stop.clone(),
            done,
        ));
        runtime.spawn_detached(run_orders(reconciler, period, stop.clone()));
        log::info!(
            "event=started controller={} admin={}",
            settings.name,
            admin.address()
        );
        Ok(Self {
            admin,
            stop,
            stopped,
        })
    }

    /// Address of the operators' listener.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Releases the leases and stops.
    pub async fn stop(self) {
        self.stop.trigger();
        let _ = self.stopped.recv().await;
        self.admin.stop();
        log::info!("event=stopped");
    }
}

fn shard_leases(
    settings: &ControllerSettings,
    table: &Arc<dyn Table>,
    clock: &Arc<dyn Clock>,
) -> LeaseSet {
    let times = LeaseTimes {
        duration_ms: settings.lease_ms,
        renew_ms: settings.lease_ms / RENEWALS_PER_LEASE,
        drift_ms: settings.lease_ms / DRIFT_DIVISOR,
    };
    let names: Vec<String> = (0..SHARDS)
        .map(|shard| format!("shard-{shard:02}"))
        .collect();
    LeaseSet::new(
        &settings.name,
        &format!("lease/{}/", settings.region),
        &names,
        times,
        Arc::clone(table),
        Arc::clone(clock),
    )
}

async fn wait_period(period: Duration, stop: &Shutdown) {
    let timer = smol::Timer::after(period);
    async {
        timer.await;
    }
    .or(stop.wait())
    .await;
}

async fn run_leases(
    reconciler: Arc<Reconciler>,
    period: Duration,
    stop: Shutdown,
    done: async_channel::Sender<()>,
) {
    let shards = &reconciler.shards;
    while !stop.is_triggered() {
        shards.expire();
        match shards.read_rows().await {
            Ok(rows) => {
                shards.observe(&rows);
                reconciler.weights.observe(&rows);
                shards.write_due().await;
            }
            Err(error) => log::warn!("event=lease_round_failed error=\"{error}\""),
        }
        wait_period(period, &stop).await;
    }
    shards.release().await;
    done.close();
}

async fn run_orders(reconciler: Arc<Reconciler>, period: Duration, stop: Shutdown) {
    while !stop.is_triggered() {
        reconciler.tick().await;
        wait_period(period, &stop).await;
    }
}

fn dump(settings: &ControllerSettings, reconciler: &Reconciler) -> Value {
    let configuration = reconciler.config.current();
    json!({
        "controller": settings.name,
        "region": settings.region,
        "config": {
            "version": configuration.version,
            "change_id": configuration.change_id,
        },
        "leases": reconciler.shards.dump(),
        "weight_permit": reconciler.weights.dump(),
        "engines": *reconciler.reports.lock(),
    })
}

/// Registers gauges that read the controller's state when they are scraped.
fn register_gauges(exporter: &Exporter, reconciler: &Arc<Reconciler>) {
    let meter = exporter.meter();
    let held = Arc::clone(reconciler);
    meter
        .u64_observable_gauge("controller.leases_held")
        .with_description("Shards whose lease is held")
        .with_callback(move |gauge| gauge.observe(held.shards.held_count() as u64, &[]))
        .build();
    let visited = Arc::clone(reconciler);
    meter
        .u64_observable_gauge("controller.engines")
        .with_description("Engines under control by what the last round found")
        .with_callback(move |gauge| {
            for (result, count) in visited.counts() {
                gauge.observe(count, &[KeyValue::new("result", result)]);
            }
        })
        .build();
    let versioned = Arc::clone(reconciler);
    meter
        .u64_observable_gauge("controller.config_version")
        .with_description("Version of the configuration in force")
        .with_callback(move |gauge| gauge.observe(versioned.config.current().version.0, &[]))
        .build();
}

fn bind_admin(
    runtime: &Runtime,
    settings: &ControllerSettings,
    reconciler: &Arc<Reconciler>,
    exporter: Exporter,
) -> Result<Server> {
    let shown = settings.clone();
    let reconciler = Arc::clone(reconciler);
    let exporter = Arc::new(exporter);
    Server::bind(
        runtime,
        settings.admin,
        ServerLimits::default(),
        move |request| {
            let response = match request.uri().path() {
                "/healthz" | "/readyz" => text_response(StatusCode::OK, "ok\n"),
                "/metrics" => text_response(StatusCode::OK, exporter.render()),
                "/dump" => json_response(StatusCode::OK, &dump(&shown, &reconciler)),
                _ => text_response(StatusCode::NOT_FOUND, "no such page\n"),
            };
            async move { response }
        },
    )
}
