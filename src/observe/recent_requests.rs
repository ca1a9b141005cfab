//! Records of the most recent requests, for `explain`.

use std::collections::VecDeque;
use std::sync::Arc;

use parking_lot::Mutex;
use serde::Serialize;

use crate::ids::{AttemptId, ChatId, ConfigVersion, RequestId, RunState, ServerId, TeamId};

/// One attempt on a backend server.
#[derive(Debug, Clone, Serialize)]
pub struct AttemptRecord {
    /// Id of the attempt, which the backend server received.
    pub id: AttemptId,
    /// Server to which the request was sent.
    pub server: ServerId,
    /// Result of the attempt.
    pub result: String,
}

/// Decisions, attempts and outcome of one request.
#[derive(Debug, Clone, Serialize)]
pub struct RequestRecord {
    /// Id of the request, which the caller received.
    pub request_id: RequestId,
    /// Version of the configuration that was in force when the request arrived.
    pub config_version: ConfigVersion,
    /// Monotonic time of arrival in ms.
    pub arrived_ms: u64,
    /// Team of the caller; absent until the caller is identified.
    pub team: Option<TeamId>,
    /// Requested model or service; absent until the request is parsed.
    pub target: Option<String>,
    /// Chat of the request; absent until the request is parsed.
    pub chat: Option<ChatId>,
    /// Decisions of the filters, in order.
    pub steps: Vec<String>,
    /// Attempts on backend servers, in order.
    pub attempts: Vec<AttemptRecord>,
    /// Number of stream events sent to the caller.
    pub events: u64,
    /// HTTP status sent to the caller; 0 until there is one.
    pub status: u16,
    /// Outcome of the request; empty until it has ended.
    pub outcome: String,
    /// Whether the request ran on a backend server.
    pub run_state: RunState,
    /// Time from arrival to the first event or the response in ms; absent until then.
    pub first_event_ms: Option<u64>,
    /// Time from arrival to the end in ms.
    pub duration_ms: u64,
}

impl RequestRecord {
    /// Creates the record of a request that has just arrived.
    pub fn new(request_id: RequestId, config_version: ConfigVersion, arrived_ms: u64) -> Self {
        Self {
            request_id,
            config_version,
            arrived_ms,
            team: None,
            target: None,
            chat: None,
            steps: Vec::new(),
            attempts: Vec::new(),
            events: 0,
            status: 0,
            outcome: String::new(),
            run_state: RunState::NotRun,
            first_event_ms: None,
            duration_ms: 0,
        }
    }

    /// Appends the decision of a filter.
    pub fn add_step(&mut self, text: impl Into<String>) {
        self.steps.push(text.into());
    }
}

/// Maximum number of records in one process.
const RECORDS_MAX: usize = 4096;
const SHARDS: usize = 16;

type Shard = Mutex<VecDeque<RequestRecord>>;

/// A bounded buffer of records, sharded by request id. Clones share it.
#[derive(Debug, Clone)]
pub struct RecentRequests {
    shards: Arc<[Shard; SHARDS]>,
}

impl RecentRequests {
    /// Creates an empty buffer.
    pub fn open() -> Self {
        Self {
            shards: Arc::new(std::array::from_fn(|_| Mutex::new(VecDeque::new()))),
        }
    }

    fn shard(&self, id: &RequestId) -> &Shard {
        let hash = xxhash_rust::xxh3::xxh3_64(id.as_str().as_bytes());
        &self.shards[hash as usize % SHARDS]
    }

    /// Adds a record, and removes the oldest one if its shard is full.
    pub fn push(&self, record: RequestRecord) {
        let mut shard = self.shard(&record.request_id).lock();
        if shard.len() >= RECORDS_MAX / SHARDS {
            shard.pop_front();
        }
        shard.push_back(record);
    }

    /// Returns the record of a request, unless it was never added or has been removed.
    pub fn find(&self, id: &RequestId) -> Option<RequestRecord> {
        let shard = self.shard(id).lock();
        shard
            .iter()
            .rev()
            .find(|record| record.request_id == *id)
            .cloned()
    }
}
