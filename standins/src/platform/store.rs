//! Stand-in for the platform's store: versioned rows, a change feed that supports long polling,
//! faults, and the return from an older copy.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use parking_lot::Mutex;
use serde_json::{Value, json};
use smol::Timer;

use crate::serve::{Body, Server, close_connection, json_response, query_param, response};

/// How the store responds to calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    /// Normal operation.
    Serving,
    /// Accepts calls and never responds.
    Silent,
    /// Responds with this status.
    Refusing(StatusCode),
    /// Closes the connection.
    Resetting,
    /// Normal operation, delayed by this time.
    Slow(Duration),
}

/// Tables that routers may not write.
const READ_ONLY_TABLES: [&str; 2] = ["op", "servers"];
/// Rows in one page of a read; a small number, so that tests cover paging.
const ROWS_PER_PAGE: usize = 3;
/// Header of each response with the number of the store's era.
const ERA_HEADER: &str = "store-era";
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Debug, Clone)]
struct Change {
    version: u64,
    table: String,
    key: String,
    content: Option<Vec<u8>>,
}

/// Rows with their versions, and the changes that led to them.
#[derive(Debug, Clone, Default)]
struct Content {
    rows: BTreeMap<(String, String), (Vec<u8>, u64)>,
    history: Vec<Change>,
    version: u64,
    /// Changes up to this version are no longer in the history.
    compacted_version: u64,
}

/// Content of a store at one moment, from which it can be restored.
#[derive(Debug, Clone)]
pub struct StoreCopy(Content);

#[derive(Debug)]
struct State {
    content: Content,
    /// Rises by one with each return from a copy.
    era: u64,
    mode: StoreMode,
    calls: u64,
    page_reads: u64,
    rows_written: BTreeMap<String, u64>,
    started: Instant,
}

/// Handle of a running store.
#[derive(Debug)]
pub struct PlatformStore {
    server: Server,
    state: Arc<Mutex<State>>,
}

impl PlatformStore {
    /// Starts an empty store.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State {
            content: Content::default(),
            era: 1,
            mode: StoreMode::Serving,
            calls: 0,
            page_reads: 0,
            rows_written: BTreeMap::new(),
            started: Instant::now(),
        }));
        let shared = Arc::clone(&state);
        let server = Server::bind(address, move |request| {
            handle_request(Arc::clone(&shared), request)
        })?;
        Ok(Self { server, state })
    }

    /// Listening address, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Writes a row with JSON content.
    pub fn put(&self, table: &str, key: &str, content: &Value) {
        self.put_bytes(table, key, content.to_string().as_bytes());
    }

    /// Writes a row with arbitrary content.
    pub fn put_bytes(&self, table: &str, key: &str, content: &[u8]) {
        let mut state = self.state.lock();
        state.content.write(table, key, Some(content.to_vec()));
    }

    /// Removes a row and records the removal in the history.
    pub fn remove(&self, table: &str, key: &str) {
        self.state.lock().content.write(table, key, None);
    }

    /// Sets how the store responds from now on, also to calls that are waiting for changes.
    pub fn set_mode(&self, mode: StoreMode) {
        self.state.lock().mode = mode;
    }

    /// Drops the whole history, so that a watcher behind the newest version gets status 410.
    pub fn compact_history(&self) {
        let content = &mut self.state.lock().content;
        content.history.clear();
        content.compacted_version = content.version;
        // A watcher at the newest version has missed nothing and is still served; one that is
        // further behind is rejected.
        content.version += 1;
    }

    /// Copies the content.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.state.lock().content.clone())
    }

    /// Returns to the content of a copy: all that was written since is lost, its versions are given
    /// out again, and a new era begins.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut state = self.state.lock();
        state.content = copy.0.clone();
        state.era += 1;
    }

    /// Newest version.
    pub fn version(&self) -> u64 {
        self.state.lock().content.version
    }

    /// Number of calls since the start.
    pub fn calls(&self) -> u64 {
        self.state.lock().calls
    }

    /// Number of rows that routers have written or removed since the start.
    pub fn rows_written(&self) -> u64 {
        self.state.lock().rows_written.values().sum()
    }

    /// The same for one table.
    pub fn rows_written_to(&self, table: &str) -> u64 {
        let state = self.state.lock();
        state.rows_written.get(table).copied().unwrap_or(0)
    }

    /// Keys of a table's rows.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let state = self.state.lock();
        let rows = state.content.rows.keys().filter(|(name, _)| name == table);
        rows.map(|(_, key)| key.clone()).collect()
    }

    /// Number of pages of rows read since the start.
    pub fn page_reads(&self) -> u64 {
        self.state.lock().page_reads
    }
}

impl Content {
    fn write(&mut self, table: &str, key: &str, content: Option<Vec<u8>>) {
        self.version += 1;
        let id = (table.to_owned(), key.to_owned());
        match &content {
            Some(content) => _ = self.rows.insert(id, (content.clone(), self.version)),
            None => _ = self.rows.remove(&id),
        }
        self.history.push(Change {
            version: self.version,
            table: table.to_owned(),
            key: key.to_owned(),
            content,
        });
    }

    fn page(&self, table: &str, from: &str) -> Value {
        let rows = self
            .rows
            .iter()
            .filter(|((t, key), _)| t == table && key.as_str() >= from);
        let mut rows: Vec<Value> = rows
            .map(|((_, key), (content, version))| row(table, key, Some(content), *version))
            .collect();
        let is_truncated = rows.len() > ROWS_PER_PAGE;
        rows.truncate(ROWS_PER_PAGE);
        json!({"Rows": rows, "Truncated": is_truncated, "Ver": self.version})
    }

    fn changes(&self, table: &str, after: u64) -> Vec<Value> {
        let changes = self.history.iter();
        let changes = changes.filter(|change| change.table == table && change.version > after);
        changes
            .map(|change| {
                row(
                    table,
                    &change.key,
                    change.content.as_deref(),
                    change.version,
                )
            })
            .collect()
    }
}

impl State {
    /// Applies a transaction on rows of the empty partition if its conditions hold.
    fn apply(&mut self, transaction: &Value) -> Response<Body> {
        let rows = |name: &str| transaction[name].as_array().cloned().unwrap_or_default();
        let (set, removed) = (rows("SetKeys"), rows("Delete"));
        let name = |row: &Value, field: &str| row[field].as_str().map(str::to_owned);
        let holds = |expected: &Value| {
            let id = (name(expected, "Table")?, name(expected, "Key")?);
            let known = self.content.rows.get(&id);
            Some(known.map_or(0, |(_, version)| *version) == expected["Ver"].as_u64()?)
        };
        if !rows("ExpectRev").iter().all(|row| holds(row) == Some(true)) {
            return self.respond(StatusCode::PRECONDITION_FAILED, json!({"Rows": []}));
        }
        let mut changes = Vec::new();
        for row in set.iter().chain(&removed) {
            let (Some(table), Some(key)) = (name(row, "Table"), name(row, "Key")) else {
                return response(StatusCode::BAD_REQUEST, "");
            };
            if READ_ONLY_TABLES.contains(&table.as_str()) {
                return response(StatusCode::FORBIDDEN, "");
            }
            let content = name(row, "Value").map(|text| STANDARD.decode(text));
            let Ok(content) = content.transpose() else {
                return response(StatusCode::BAD_REQUEST, "");
            };
            changes.push((table, key, content));
        }
        for (table, key, content) in changes {
            self.content.write(&table, &key, content);
            *self.rows_written.entry(table).or_default() += 1;
        }
        self.respond(StatusCode::OK, json!({"Ver": self.content.version}))
    }

    /// Builds a response in the store's current era.
    fn respond(&self, status: StatusCode, mut body: Value) -> Response<Body> {
        body["NowMs"] = self.now_ms().into();
        let mut response = json_response(status, &body);
        set_era(&mut response, self.era);
        response
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

fn row(table: &str, key: &str, content: Option<&[u8]>, version: u64) -> Value {
    match content {
        Some(content) => json!({
            "Table": table, "part": "", "Key": key,
            "Value": STANDARD.encode(content), "Ver": version,
        }),
        None => json!({"Table": table, "part": "", "Key": key, "Removed": true, "Ver": version}),
    }
}

async fn handle_request(state: Arc<Mutex<State>>, request: Request<Incoming>) -> Response<Body> {
    let mut response = respond(Arc::clone(&state), request).await;
    if !response.headers().contains_key(ERA_HEADER) {
        set_era(&mut response, state.lock().era);
    }
    response
}

fn set_era(response: &mut Response<Body>, era: u64) {
    let headers = response.headers_mut();
    headers.insert(ERA_HEADER, HeaderValue::from(era));
}

async fn respond(state: Arc<Mutex<State>>, request: Request<Incoming>) -> Response<Body> {
    let mode = {
        let mut state = state.lock();
        state.calls += 1;
        state.mode
    };
    match mode {
        StoreMode::Serving => {}
        StoreMode::Silent => std::future::pending().await,
        StoreMode::Refusing(status) => return response(status, ""),
        StoreMode::Resetting => return close_connection(),
        StoreMode::Slow(delay) => _ = Timer::after(delay).await,
    }
    let table = query_param(&request, "Table").unwrap_or_default();
    match request.uri().path() {
        "/jujubeusher/rows-get" => {
            let from = query_param(&request, "From").unwrap_or_default();
            let mut state = state.lock();
            state.page_reads += 1;
            state.respond(StatusCode::OK, state.content.page(&table, &from))
        }
        "/jujubeusher/rows-tx" => {
            let Ok(body) = request.into_body().collect().await else {
                return close_connection();
            };
            let transaction = serde_json::from_slice(&body.to_bytes());
            state.lock().apply(&transaction.unwrap_or(Value::Null))
        }
        "/jujubeusher/rows-feed" => {
            let number = |name| query_param(&request, name).and_then(|text| text.parse().ok());
            let after = number("SinceRev").unwrap_or(0);
            let wait = Duration::from_millis(number("WaitMs").unwrap_or(0));
            watch(&state, &table, after, wait).await
        }
        _ => response(StatusCode::NOT_FOUND, ""),
    }
}

async fn watch(state: &Mutex<State>, table: &str, after: u64, wait: Duration) -> Response<Body> {
    let end = Instant::now() + wait;
    loop {
        let result = {
            let state = state.lock();
            let content = &state.content;
            if after < content.compacted_version || after > content.version {
                Some(state.respond(StatusCode::GONE, json!({})))
            } else {
                let rows = content.changes(table, after);
                let is_over = Instant::now() >= end;
                let is_due = is_over || !rows.is_empty();
                let body = json!({"Rows": rows, "Ver": content.version});
                is_due.then(|| state.respond(StatusCode::OK, body))
            }
        };
        if let Some(response) = result {
            return response;
        }
        Timer::after(WATCH_POLL_INTERVAL).await;
        // A change of mode also affects calls that are already waiting.
        let mode = state.lock().mode;
        match mode {
            StoreMode::Serving | StoreMode::Slow(_) => {}
            StoreMode::Silent => std::future::pending().await,
            StoreMode::Refusing(_) | StoreMode::Resetting => return close_connection(),
        }
    }
}
