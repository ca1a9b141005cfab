//! OpenTelemetry metrics of a router, exported in the Prometheus text format.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::decide::admit::Reason;
use crate::error::{Error, Result};
use crate::ids::Class;

const LATENCY_BOUNDS_MS: [f64; 14] = [
    0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1000.0, 2000.0, 5000.0, 20000.0,
];

/// Registry of the instruments of a process, with its exporter.
#[derive(Debug)]
pub struct Exporter {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Exporter {
    /// Creates an exporter without instruments.
    pub fn open() -> Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|error| Error::command(error.to_string(), "report this as a fault"))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// Returns the meter that creates instruments of this exporter.
    pub fn meter(&self) -> Meter {
        self.provider.meter("jujubeusher")
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to a vector does not fail; a metric that cannot be encoded is omitted.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}

/// Instruments of a router.
#[derive(Debug)]
pub struct Metrics {
    exporter: Exporter,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    claims: Counter<u64>,
    recoveries: Counter<u64>,
    cancels: Counter<u64>,
    strikes: Counter<u64>,
    events: Counter<u64>,
    first_event_ms: Histogram<f64>,
    not_admitted: Counter<u64>,
    preempted: Counter<u64>,
    caches_moved: Counter<u64>,
}

impl Metrics {
    /// Creates the instruments and their exporter.
    pub fn open() -> Result<Self> {
        let exporter = Exporter::open()?;
        let meter = exporter.meter();
        Ok(Self {
            requests: meter
                .u64_counter("router.requests")
                .with_description("Finished requests by outcome and run state")
                .build(),
            attempts: meter
                .u64_counter("router.attempts")
                .with_description("Attempts on backend servers by result")
                .build(),
            claims: meter
                .u64_counter("router.claims")
                .with_description("Claims of non-idempotent calls by result")
                .build(),
            recoveries: meter
                .u64_counter("router.recoveries")
                .with_description("Broken streams resumed or continued, by result")
                .build(),
            cancels: meter
                .u64_counter("router.cancels")
                .with_description("Attempts cancelled on engines")
                .build(),
            strikes: meter
                .u64_counter("router.strikes")
                .with_description("Requests that ran on a server as it died")
                .build(),
            events: meter
                .u64_counter("router.events")
                .with_description("Stream events sent to callers")
                .build(),
            first_event_ms: meter
                .f64_histogram("router.first_event_ms")
                .with_description("Time to the first event or answer in ms")
                .with_boundaries(LATENCY_BOUNDS_MS.to_vec())
                .build(),
            not_admitted: meter
                .u64_counter("router.not_admitted")
                .with_description("Requests refused for lack of capacity by class and reason")
                .build(),
            preempted: meter
                .u64_counter("router.preempted")
                .with_description("Free requests cancelled for paying ones")
                .build(),
            caches_moved: meter
                .u64_counter("router.caches_moved")
                .with_description("Caches of chats on leaving servers by whether they were moved")
                .build(),
            exporter,
        })
    }

    /// Counts a finished request and the events sent to its caller.
    pub fn count_request(&self, outcome: &str, run_state: &'static str, events: u64) {
        let labels = [
            KeyValue::new("outcome", outcome.to_owned()),
            KeyValue::new("run_state", run_state),
        ];
        self.requests.add(1, &labels);
        self.events.add(events, &[]);
    }

    /// Counts an attempt on a backend server.
    pub fn count_attempt(&self, result: &'static str) {
        self.attempts.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts a claim of a non-idempotent call.
    pub fn count_claim(&self, result: &'static str) {
        self.claims.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts an attempt to resume or continue a broken stream.
    pub fn count_recovery(&self, kind: &'static str, result: &'static str) {
        let labels = [KeyValue::new("kind", kind), KeyValue::new("result", result)];
        self.recoveries.add(1, &labels);
    }

    /// Counts an attempt cancelled on an engine.
    pub fn count_cancel(&self) {
        self.cancels.add(1, &[]);
    }

    /// Counts a strike: a request that ran on a server when it crashed.
    pub fn count_strike(&self) {
        self.strikes.add(1, &[]);
    }

    /// Records the time from arrival to the first event or the response.
    pub fn record_first_event(&self, duration_ms: f64) {
        self.first_event_ms.record(duration_ms, &[]);
    }

    /// Counts a request refused for lack of capacity.
    pub fn count_not_admitted(&self, class: Class, reason: Reason) {
        let class = match class {
            Class::Paying => "paying",
            Class::Free => "free",
        };
        let reason = match reason {
            Reason::Overloaded => "overloaded",
            Reason::OverShare => "over_share",
        };
        let labels = [
            KeyValue::new("class", class),
            KeyValue::new("reason", reason),
        ];
        self.not_admitted.add(1, &labels);
    }

    /// Counts a free request cancelled in favour of a paying one.
    pub fn count_preempted(&self) {
        self.preempted.add(1, &[]);
    }

    /// Counts the cache of a chat on a leaving server, by whether it was moved to another server.
    pub fn count_leaving_cache(&self, is_moved: bool) {
        let labels = [KeyValue::new("moved", is_moved)];
        self.caches_moved.add(1, &labels);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        self.exporter.render()
    }
}
