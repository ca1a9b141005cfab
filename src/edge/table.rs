//! The platform's table service: rows with versions and conditional writes.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::edge::BoxFuture;
use crate::http::client::{CallError, Client, ClientResponse};

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Value of the row, which the table does not interpret.
    pub value: String,
    /// Number of writes to the row, from 1.
    pub version: u64,
}

/// Condition for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// The row does not exist.
    Absent,
    /// The row has this version.
    Version(u64),
    /// No condition.
    Any,
}

/// One write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Row key.
    pub key: String,
    /// New value.
    pub value: String,
    /// Condition that the row must meet.
    pub condition: Condition,
}

/// Why a call to the table service failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TableError {
    /// A condition was not met; nothing was written.
    #[error("row `{key}` was changed by another writer; read it again and retry")]
    Conflict {
        /// Key of the row that did not meet its condition.
        key: String,
        /// Current version of the row; 0 if it does not exist.
        version: u64,
        /// Current value of the row; empty if it does not exist.
        value: String,
    },
    /// The service could not be reached or rejected the request; nothing was written.
    #[error("the table service is not available ({0}); retry later")]
    Unavailable(String),
    /// The request was sent but no valid response was received; a write may have taken effect.
    #[error("the response of the table service was lost ({0}); read the row back")]
    ResponseLost(String),
}

/// Result of a call to the table service.
pub type TableResult<T> = Result<T, TableError>;

/// A table service.
pub trait Table: Send + Sync {
    /// Reads a row; `None` if it does not exist.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, TableResult<Option<Row>>>;
    /// Reads all rows whose key starts with the prefix, in key order.
    fn scan<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, TableResult<Vec<Row>>>;
    /// Applies all writes, or none if a condition is not met. Returns the new versions, in the
    /// order of the writes.
    fn transact(&self, writes: Vec<Write>) -> BoxFuture<'_, TableResult<Vec<u64>>>;
}

/// A table in the memory of this process, for standalone mode.
#[derive(Debug, Default)]
pub struct MemoryTable {
    rows: Mutex<IndexMap<String, (String, u64)>>,
}

impl MemoryTable {
    /// Creates an empty table.
    pub fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }
}

fn conflict_error(key: &str, row: Option<&(String, u64)>) -> TableError {
    let (value, version) = row.cloned().unwrap_or_default();
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
        let conflicting = writes.iter().find(|write| {
            let version = rows.get(&write.key).map(|(_, version)| *version);
            match write.condition {
                Condition::Absent => version.is_some(),
                Condition::Version(expected) => version != Some(expected),
                Condition::Any => false,
            }
        });
        let result = match conflicting {
            Some(write) => Err(conflict_error(&write.key, rows.get(&write.key))),
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
    /// Creates a client of the service at `address`. No connection is opened yet.
    pub fn new(address: std::net::SocketAddr, timeout: Duration) -> Arc<Self> {
        Arc::new(Self {
            client: Client::new(address, timeout),
        })
    }
}

impl From<CallError> for TableError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::NotSent(reason) | CallError::NoResources(reason) => {
                Self::Unavailable(reason)
            }
            CallError::ResponseLost(reason) => Self::ResponseLost(reason),
            CallError::TimedOut => Self::ResponseLost(error.to_string()),
        }
    }
}

fn decode<T>(response: &ClientResponse) -> TableResult<T>
where
    T: for<'de> Deserialize<'de>,
{
    serde_json::from_slice(&response.body)
        .map_err(|error| TableError::ResponseLost(format!("malformed response: {error}")))
}

/// Returns the error for an unexpected status. A client error, such as 429, means that nothing was
/// written. After a server error it is unknown whether the transaction was applied, and other
/// statuses may come from an intermediary.
fn status_error(response: &ClientResponse) -> TableError {
    let reason = format!("status {}", response.status);
    match response.status {
        400..=499 => TableError::Unavailable(reason),
        _ => TableError::ResponseLost(reason),
    }
}

/// Percent-encodes a query value, except for unreserved characters and `/`.
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
            let response = self.client.get(&path).await?;
            match response.status {
                200 => Ok(Some(decode(&response)?)),
                404 => Ok(None),
                _ => Err(status_error(&response)),
            }
        })
    }

    fn scan<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, TableResult<Vec<Row>>> {
        Box::pin(async move {
            let path = format!("/v1/table/rows?prefix={}", encode_query(prefix));
            let response = self.client.get(&path).await?;
            match response.status {
                200 => Ok(decode::<RowsResponse>(&response)?.rows),
                _ => Err(status_error(&response)),
            }
        })
    }

    fn transact(&self, writes: Vec<Write>) -> BoxFuture<'_, TableResult<Vec<u64>>> {
        Box::pin(async move {
            let request = TransactRequest { writes };
            let response = self.client.post("/v1/table/transact", &request).await?;
            match response.status {
                200 => Ok(decode::<TransactResponse>(&response)?.versions),
                409 => {
                    let row = decode::<ConflictResponse>(&response)?.conflict;
                    Err(TableError::Conflict {
                        key: row.key,
                        version: row.version,
                        value: row.value,
                    })
                }
                _ => Err(status_error(&response)),
            }
        })
    }
}
