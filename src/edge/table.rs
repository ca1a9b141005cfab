//! The platform's table service: rows with versions and conditional writes.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::edge::BoxFuture;
use crate::http::client::{CallError, Client, ClientResponse};

/// A row as read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: String,
    /// Counts its writes from 1.
    pub version: u64,
}

/// What must hold for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// The row is not there.
    Absent,
    /// The row has this version.
    Version(u64),
    /// Nothing.
    Any,
}

/// One write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Row key.
    pub key: String,
    /// New value.
    pub value: String,
    /// When it may take effect.
    pub condition: Condition,
}

/// Why a call of the table service failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TableError {
    /// A condition did not hold; nothing was written.
    #[error("row `{key}` was changed by another writer; read it again and retry")]
    Conflict {
        /// The row that stood in the way.
        key: String,
        /// Its version; 0 when it is absent.
        version: u64,
        /// Its value; empty when it is absent.
        value: String,
    },
    /// The service could not be asked; nothing was written.
    #[error("the table service is not available ({0}); retry later")]
    Unavailable(String),
    /// The request went out but no answer came; a write may have taken effect.
    #[error("the answer of the table service was lost ({0}); read the row back")]
    ResponseLost(String),
}

/// Result of a table call.
pub type TableResult<T> = Result<T, TableError>;

/// The table service.
pub trait Table: Send + Sync {
    /// Reads one row.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, TableResult<Option<Row>>>;
    /// Reads all rows whose key starts with the prefix, in key order.
    fn scan<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, TableResult<Vec<Row>>>;
    /// Writes all or nothing; returns the new versions.
    fn transact(&self, writes: Vec<Write>) -> BoxFuture<'_, TableResult<Vec<u64>>>;
}

/// A table in this process, for standalone mode.
#[derive(Debug, Default)]
pub struct MemoryTable {
    rows: Mutex<IndexMap<String, (String, u64)>>,
}

impl MemoryTable {
    /// An empty table.
    pub fn open() -> Arc<Self> {
        Arc::new(Self::default())
    }
}

fn conflict(key: &str, found: Option<&(String, u64)>) -> TableError {
    let (value, version) = found.cloned().unwrap_or_default();
    TableError::Conflict {
        key: key.to_owned(),
        version,
        value,
    }
}

impl Table for MemoryTable {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, TableResult<Option<Row>>> {
        let row = self.rows.lock().get(key).map(|(value, version)| Row {
            key: key.to_owned(),
            value: value.clone(),
            version: *version,
        });
        Box::pin(async move { Ok(row) })
    }

    fn scan<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, TableResult<Vec<Row>>> {
        let mut rows: Vec<Row> = self
            .rows
            .lock()
            .iter()
            .filter(|(key, _)| key.starts_with(prefix))
            .map(|(key, (value, version))| Row {
                key: key.clone(),
                value: value.clone(),
                version: *version,
            })
            .collect();
        rows.sort_by(|a, b| a.key.cmp(&b.key));
        Box::pin(async move { Ok(rows) })
    }

    fn transact(&self, writes: Vec<Write>) -> BoxFuture<'_, TableResult<Vec<u64>>> {
        let mut rows = self.rows.lock();
        let failed = writes.iter().find(|write| {
            let version = rows.get(&write.key).map(|(_, version)| *version);
            match write.condition {
                Condition::Absent => version.is_some(),
                Condition::Version(expected) => version != Some(expected),
                Condition::Any => false,
            }
        });
        let result = match failed {
            Some(write) => Err(conflict(&write.key, rows.get(&write.key))),
            None => Ok(writes
                .into_iter()
                .map(|write| {
                    let row = rows.entry(write.key).or_default();
                    row.0 = write.value;
                    row.1 += 1;
                    row.1
                })
                .collect()),
        };
        Box::pin(async move { result })
    }
}

/// The table service over HTTP.
#[derive(Debug, Clone)]
pub struct HttpTable {
    client: Client,
}

#[derive(Debug, Serialize)]
struct TransactRequest {
    writes: Vec<Write>,
}

#[derive(Debug, Deserialize)]
struct TransactResponse {
    versions: Vec<u64>,
}

#[derive(Debug, Deserialize)]
struct ConflictResponse {
    conflict: Row,
}

#[derive(Debug, Deserialize)]
struct RowsResponse {
    rows: Vec<Row>,
}

impl HttpTable {
    /// A client of the service at `address`; no connection is made yet.
    pub fn open(address: std::net::SocketAddr, timeout: Duration) -> Arc<Self> {
        Arc::new(Self {
            client: Client::open(address, timeout),
        })
    }
}

impl From<CallError> for TableError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::NotSent(reason) => Self::Unavailable(reason),
            CallError::ResponseLost(reason) => Self::ResponseLost(reason),
            CallError::TimedOut => Self::ResponseLost(error.to_string()),
        }
    }
}

fn decode<T>(answer: &ClientResponse) -> TableResult<T>
where
    T: for<'de> Deserialize<'de>,
{
    serde_json::from_slice(&answer.body)
        .map_err(|error| TableError::ResponseLost(format!("malformed answer: {error}")))
}

/// A client error, such as 429, says that nothing was written. A server error does not tell
/// how far a transaction got, and other statuses may come from something in between.
fn unexpected(answer: &ClientResponse) -> TableError {
    let reason = format!("status {}", answer.status);
    match answer.status {
        400..=499 => TableError::Unavailable(reason),
        _ => TableError::ResponseLost(reason),
    }
}

/// Percent-encodes all but unreserved characters for a query value.
fn encode_query(text: &str) -> String {
    use std::fmt::Write as _;
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b'~' | b'/') {
            encoded.push(byte as char);
        } else {
            let _ = write!(encoded, "%{byte:02X}");
        }
    }
    encoded
}

impl Table for HttpTable {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, TableResult<Option<Row>>> {
        Box::pin(async move {
            let path = format!("/v1/table/row?key={}", encode_query(key));
            let answer = self.client.get(&path).await?;
            match answer.status {
                200 => Ok(Some(decode(&answer)?)),
                404 => Ok(None),
                _ => Err(unexpected(&answer)),
            }
        })
    }

    fn scan<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, TableResult<Vec<Row>>> {
        Box::pin(async move {
            let path = format!("/v1/table/rows?prefix={}", encode_query(prefix));
            let answer = self.client.get(&path).await?;
            match answer.status {
                200 => Ok(decode::<RowsResponse>(&answer)?.rows),
                _ => Err(unexpected(&answer)),
            }
        })
    }

    fn transact(&self, writes: Vec<Write>) -> BoxFuture<'_, TableResult<Vec<u64>>> {
        Box::pin(async move {
            let request = TransactRequest { writes };
            let answer = self.client.post("/v1/table/transact", &request).await?;
            match answer.status {
                200 => Ok(decode::<TransactResponse>(&answer)?.versions),
                409 => {
                    let row = decode::<ConflictResponse>(&answer)?.conflict;
                    Err(TableError::Conflict {
                        key: row.key,
                        version: row.version,
                        value: row.value,
                    })
                }
                _ => Err(unexpected(&answer)),
            }
        })
    }
}
