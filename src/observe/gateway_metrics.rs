//! OpenTelemetry metrics of a gateway.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, UpDownCounter};

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
    streams: Counter<u64>,
    events: Counter<u64>,
    first_answer_ms: Histogram<f64>,
    queue_waiting: UpDownCounter<i64>,
    queue_ms: Histogram<f64>,
    queue_refused: Counter<u64>,
    source_era: Gauge<u64>,
    source_restores: Counter<u64>,
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
