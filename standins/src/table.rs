//! Stand-in for the platform's table service.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::serve::{Body, Server, close_connection, json_response, query_param};

/// Availability of the table service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Outage {
    /// Available.
    #[default]
    None,
    /// Each call is rejected with 503; nothing is written.
    Refuse,
    /// Calls block until the outage ends and then proceed, unless their client has disconnected.
    Hang,
}

/// Faults of the table service. All of them can be changed while it runs.
#[derive(Debug, Clone, Default)]
pub struct TableFaults {
    /// Outage of reads and writes.
    pub outage: Outage,
    /// Delay of the response to each transaction, after the transaction was applied.
    pub response_delay: Duration,
    /// Number of upcoming transactions that are applied but whose response is lost.
    pub lose_next_responses: u32,
    /// Share of the transactions, in per mille, that are applied but whose response is lost.
    pub lost_responses_per_mille: u32,
    /// Seed of the hash that selects the lost responses.
    pub seed: u64,
    /// Transactions admitted per second. Further ones are rejected with 429 and write nothing.
    /// `None` means no limit.
    pub rate_limit_per_s: Option<u32>,
}

/// Counters of the table service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TableCounts {
    /// Applied transactions.
    pub committed: u64,
    /// Transactions rejected because a condition was not met.
    pub conflicts: u64,
    /// Transactions rejected by the rate limit.
    pub rate_limited: u64,
    /// Rows written by applied transactions.
    pub rows_written: u64,
    /// Requests for a single row, whether it existed or not.
    pub row_reads: u64,
}

#[derive(Debug, Default)]
struct FaultState {
    faults: TableFaults,
    counts: TableCounts,
    transactions: u64,
    window: Option<(Instant, u32)>,
}

impl FaultState {
    /// Counts a transaction against the rate limit and returns whether it is admitted.
    fn admit_transaction(&mut self) -> bool {
        let Some(limit) = self.faults.rate_limit_per_s else {
            return true;
        };
        let now = Instant::now();
        let (start, used) = self.window.unwrap_or((now, 0));
        let (start, used) = match now.duration_since(start) < RATE_WINDOW {
            true => (start, used),
            false => (now, 0),
        };
        let is_admitted = used < limit.div_ceil(RATE_WINDOWS_PER_S);
        self.window = Some((start, used + u32::from(is_admitted)));
        is_admitted
    }

    /// Counts an applied transaction and returns whether its response is lost.
    fn draw_response_loss(&mut self) -> bool {
        self.transactions += 1;
        if self.faults.lose_next_responses > 0 {
            self.faults.lose_next_responses -= 1;
            return true;
        }
        let number = self.transactions.to_le_bytes();
        let draw = xxhash_rust::xxh3::xxh3_64_with_seed(&number, self.faults.seed) % 1000;
        draw < u64::from(self.faults.lost_responses_per_mille)
    }
}

/// Window of the rate limit. It is shorter than a second so that a burst does not use up the
/// limit of a full second.
const RATE_WINDOW: Duration = Duration::from_millis(50);
const RATE_WINDOWS_PER_S: u32 = 20;
/// Interval at which a blocked call checks whether the outage has ended.
const OUTAGE_POLL_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Debug, Clone, Default)]
struct Row {
    value: String,
    version: u64,
}

/// Rows of the table, shared between the server and the test.
#[derive(Debug, Clone, Default)]
pub struct Rows {
    rows: Arc<Mutex<BTreeMap<String, Row>>>,
    fault_state: Arc<Mutex<FaultState>>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Condition {
    Absent,
    Any,
    Version(u64),
}

#[derive(Debug, Deserialize)]
struct Write {
    key: String,
    value: String,
    condition: Condition,
}

#[derive(Debug, Deserialize)]
struct Transaction {
    writes: Vec<Write>,
}

impl Rows {
    /// Value of a row; `None` if the row does not exist.
    pub fn get(&self, key: &str) -> Option<String> {
        self.rows.lock().get(key).map(|row| row.value.clone())
    }

    /// Keys of all rows whose key starts with `prefix`, in ascending order.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let rows = self.rows.lock();
        let found = rows
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix));
        found.map(|(key, _)| key.clone()).collect()
    }

    fn read(&self, key: &str) -> Option<Value> {
        self.fault_state.lock().counts.row_reads += 1;
        let rows = self.rows.lock();
        let row = rows.get(key)?;
        Some(json!({"key": key, "value": row.value, "version": row.version}))
    }

    fn scan(&self, prefix: &str) -> Value {
        let rows = self.rows.lock();
        let found: Vec<Value> = rows
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, row)| json!({"key": key, "value": row.value, "version": row.version}))
            .collect();
        json!({"rows": found})
    }

    fn transact(&self, transaction: Transaction) -> Result<Vec<u64>, Value> {
        let mut rows = self.rows.lock();
        for write in &transaction.writes {
            let current = rows.get(&write.key).cloned().unwrap_or_default();
            let is_met = match write.condition {
                Condition::Any => true,
                Condition::Absent => current.version == 0,
                Condition::Version(version) => current.version == version,
            };
            if !is_met {
                return Err(json!({"conflict": {
                    "key": write.key, "version": current.version, "value": current.value,
                }}));
            }
        }
        let versions = transaction
            .writes
            .into_iter()
            .map(|write| {
                let row = rows.entry(write.key).or_default();
                row.value = write.value;
                row.version += 1;
                row.version
            })
            .collect();
        Ok(versions)
    }
}

/// Handle of a running table service.
#[derive(Debug)]
pub struct Table {
    server: Server,
    rows: Rows,
}

impl Table {
    /// Starts an empty table.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let rows = Rows::default();
        let state = rows.clone();
        let server = Server::bind(address, move |request| {
            handle_request(state.clone(), request)
        })?;
        Ok(Self { server, rows })
    }

    /// Listening address, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: TableFaults) {
        self.rows.fault_state.lock().faults = faults;
    }

    /// Counters since the start.
    pub fn counts(&self) -> TableCounts {
        self.rows.fault_state.lock().counts
    }

    /// Rows, for inspection by a test.
    pub fn rows(&self) -> &Rows {
        &self.rows
    }
}

async fn handle_request(rows: Rows, request: Request<Incoming>) -> Response<Body> {
    let not_found = || json_response(StatusCode::NOT_FOUND, &json!({}));
    if let Some(refusal) = apply_outage(&rows).await {
        return refusal;
    }
    match request.uri().path() {
        "/v1/table/row" => match query_param(&request, "key").and_then(|key| rows.read(&key)) {
            Some(row) => json_response(StatusCode::OK, &row),
            None => not_found(),
        },
        "/v1/table/rows" => {
            let prefix = query_param(&request, "prefix").unwrap_or_default();
            json_response(StatusCode::OK, &rows.scan(&prefix))
        }
        "/v1/table/transact" => transact(&rows, request).await,
        _ => not_found(),
    }
}

/// Blocks a call during an outage, or returns the response that rejects it.
async fn apply_outage(rows: &Rows) -> Option<Response<Body>> {
    loop {
        let outage = rows.fault_state.lock().faults.outage;
        match outage {
            Outage::None => return None,
            Outage::Refuse => {
                let error = json!({"error": "outage"});
                return Some(json_response(StatusCode::SERVICE_UNAVAILABLE, &error));
            }
            Outage::Hang => smol::Timer::after(OUTAGE_POLL_INTERVAL).await,
        };
    }
}

/// Applies a transaction under the rate limit and the current faults.
async fn commit(rows: &Rows, transaction: Transaction) -> Response<Body> {
    if !rows.fault_state.lock().admit_transaction() {
        rows.fault_state.lock().counts.rate_limited += 1;
        let error = json!({"error": "over the rate limit"});
        return json_response(StatusCode::TOO_MANY_REQUESTS, &error);
    }
    let result = rows.transact(transaction);
    let (delay, is_lost) = {
        let mut fault_state = rows.fault_state.lock();
        match &result {
            Ok(versions) => {
                fault_state.counts.committed += 1;
                fault_state.counts.rows_written += versions.len() as u64;
            }
            Err(_) => fault_state.counts.conflicts += 1,
        }
        let is_lost = result.is_ok() && fault_state.draw_response_loss();
        (fault_state.faults.response_delay, is_lost)
    };
    if !delay.is_zero() {
        smol::Timer::after(delay).await;
    }
    match result {
        _ if is_lost => close_connection(),
        Ok(versions) => json_response(StatusCode::OK, &json!({"versions": versions})),
        Err(conflict) => json_response(StatusCode::CONFLICT, &conflict),
    }
}

async fn transact(rows: &Rows, request: Request<Incoming>) -> Response<Body> {
    let bad_request =
        |text: String| json_response(StatusCode::BAD_REQUEST, &json!({"error": text}));
    let body = match request.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return bad_request(error.to_string()),
    };
    match serde_json::from_slice(&body) {
        Err(error) => bad_request(error.to_string()),
        Ok(transaction) => commit(rows, transaction).await,
    }
}
