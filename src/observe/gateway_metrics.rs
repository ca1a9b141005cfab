//! OpenTelemetry metrics of a gateway.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, UpDownCounter};

use crate::decide::allowance::UnitCounts;
use crate::decide::strikes::StrikeStatus;
use crate::decide::table_position::Era;
use crate::error::Result;
use crate::observe::metrics::Exporter;

/// Bucket boundaries of the latency histogram.
const LATENCY_BOUNDS_MS: [f64; 10] = [
    5.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1_000.0, 2_000.0, 5_000.0, 10_000.0,
];

/// Instruments of a gateway. All labels have a fixed set of values, which bounds the number of time
/// series.
#[derive(Debug)]
pub struct GatewayMetrics {
    exporter: Exporter,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    notices: Counter<u64>,
    strikes: Counter<u64>,
    allowance_units: Counter<u64>,
    streams: Counter<u64>,
    events: Counter<u64>,
    first_answer_ms: Histogram<f64>,
    held_bytes: Gauge<u64>,
    queue_waiting: UpDownCounter<i64>,
    queue_ms: Histogram<f64>,
    queue_refused: Counter<u64>,
    source_era: Gauge<u64>,
    source_restores: Counter<u64>,
    evacuated_zones: Gauge<u64>,
    held_back_servers: Gauge<u64>,
    table_age_ms: Gauge<u64>,
    relay_delay_ms: Gauge<u64>,
}

impl GatewayMetrics {
    /// Creates the instruments and their exporter.
    pub fn open() -> Result<Self> {
        let exporter = Exporter::open()?;
        let meter = exporter.meter();
        Ok(Self {
            requests: meter
                .u64_counter("gateway.requests")
                .with_description("Requests by outcome: answered, or the code of the rejection")
                .build(),
            attempts: meter
                .u64_counter("gateway.attempts")
                .with_description("Attempts on backend servers by result")
                .build(),
            notices: meter
                .u64_counter("gateway.server_notices")
                .with_description("Announcements of backend servers in responses, by kind")
                .build(),
            strikes: meter
                .u64_counter("gateway.strikes")
                .with_description("Crashes of servers under a request, by its status afterwards")
                .build(),
            allowance_units: meter
                .u64_counter("gateway.allowance_units")
                .with_description(
                    "Units of divided limits for this router's requests, by what became of them",
                )
                .build(),
            streams: meter
                .u64_counter("gateway.streams")
                .with_description("Ended streams by outcome")
                .build(),
            events: meter
                .u64_counter("gateway.events")
                .with_description("Stream events sent to callers")
                .build(),
            first_answer_ms: meter
                .f64_histogram("gateway.first_answer_ms")
                .with_description("Time to the answer or a stream's first event in ms")
                .with_boundaries(LATENCY_BOUNDS_MS.to_vec())
                .build(),
            held_bytes: meter
                .u64_gauge("gateway.held_bytes")
                .with_description("Bytes of the memory budget that are held, by what holds them")
                .build(),
            queue_waiting: meter
                .i64_up_down_counter("gateway.queue_waiting")
                .with_description("Requests that wait for capacity of their service")
                .build(),
            queue_ms: meter
                .f64_histogram("gateway.queue_ms")
                .with_description(
                    "Time for which requests waited in ms, by how they left the queue",
                )
                .with_boundaries(LATENCY_BOUNDS_MS.to_vec())
                .build(),
            queue_refused: meter
                .u64_counter("gateway.queue_refused")
                .with_description("Requests that were refused on arrival instead of waiting")
                .build(),
            source_era: meter
                .u64_gauge("gateway.source_era")
                .with_description("Era of the source of the routes")
                .build(),
            source_restores: meter
                .u64_counter("gateway.source_restores")
                .with_description(
                    "Times that the source of the routes came back from an older copy",
                )
                .build(),
            evacuated_zones: meter
                .u64_gauge("gateway.evacuated_zones")
                .with_description("Availability zones whose servers get no requests")
                .build(),
            held_back_servers: meter
                .u64_gauge("gateway.held_back_servers")
                .with_description("Registered servers that get no request now, by reason")
                .build(),
            table_age_ms: meter
                .u64_gauge("gateway.table_age_ms")
                .with_description(
                    "Time since the source was read, by this or another router, by table",
                )
                .build(),
            relay_delay_ms: meter
                .u64_gauge("gateway.relay_delay_ms")
                .with_description(
                    "Delay of the last message from the router that relays the tables",
                )
                .build(),
            exporter,
        })
    }

    /// Records the era of the source of the routes, and whether it is a new one.
    pub fn record_source_era(&self, era: Era, is_restored: bool) {
        if let Some(era) = era.0 {
            self.source_era.record(era, &[]);
        }
        self.source_restores.add(u64::from(is_restored), &[]);
    }

    /// Records the number of evacuated availability zones.
    pub fn record_evacuated_zones(&self, zones: usize) {
        self.evacuated_zones.record(zones as u64, &[]);
    }

    /// Records the number of servers that are held back for this reason.
    pub fn record_held_back(&self, reason: &'static str, servers: usize) {
        let labels = [KeyValue::new("reason", reason)];
        self.held_back_servers.record(servers as u64, &labels);
    }

    /// Records the time since the source of a table was read.
    pub fn record_table_age(&self, table: &'static str, age_ms: u64) {
        let labels = [KeyValue::new("table", table)];
        self.table_age_ms.record(age_ms, &labels);
    }

    /// Records the delay of a message from the router that relays the tables.
    pub fn record_relay_delay(&self, delay_ms: u64) {
        self.relay_delay_ms.record(delay_ms, &[]);
    }

    /// Records the bytes that requests or responses hold.
    pub fn record_held_bytes(&self, holder: &'static str, bytes: u64) {
        self.held_bytes
            .record(bytes, &[KeyValue::new("holder", holder)]);
    }

    /// Counts a finished request.
    pub fn count_request(&self, outcome: &'static str) {
        self.requests.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records the time to the response or to a stream's first event.
    pub fn record_first_response(&self, duration_ms: u64) {
        self.first_answer_ms.record(duration_ms as f64, &[]);
    }

    /// Adds to the number of requests that wait for capacity.
    pub fn add_waiting(&self, count: i64) {
        self.queue_waiting.add(count, &[]);
    }

    /// Records how long a request waited, and how it left the queue.
    pub fn record_wait(&self, outcome: &'static str, duration_ms: u64) {
        let outcome = KeyValue::new("outcome", outcome);
        self.queue_ms.record(duration_ms as f64, &[outcome]);
    }

    /// Counts a request that was refused on arrival instead of waiting.
    pub fn count_queue_refused(&self) {
        self.queue_refused.add(1, &[]);
    }

    /// Counts an attempt on a backend server.
    pub fn count_attempt(&self, result: &'static str) {
        self.attempts.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts an announcement that a backend server made in a response.
    pub fn count_notice(&self, kind: &'static str) {
        self.notices.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a crash of a server under a request.
    pub fn count_strike(&self, status: StrikeStatus) {
        self.strikes
            .add(1, &[KeyValue::new("standing", status.name())]);
    }

    /// Counts units of divided limits, of which `granted` have come and the others were granted
    /// before.
    pub fn count_allowance_units(&self, units: UnitCounts) {
        let kinds = [
            ("granted", units.granted),
            ("used", units.used),
            ("expired", units.expired),
        ];
        for (kind, count) in kinds {
            self.allowance_units
                .add(count, &[KeyValue::new("kind", kind)]);
        }
    }

    /// Counts a stream that has ended, and the events sent to its caller.
    pub fn count_stream(&self, outcome: &'static str, events: u64) {
        self.streams.add(1, &[KeyValue::new("outcome", outcome)]);
        self.events.add(events, &[]);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        self.exporter.render()
    }
}
