//! Records of the most recent requests, for `explain`.

use std::collections::VecDeque;
use std::sync::Arc;

use parking_lot::Mutex;
use serde::Serialize;

use crate::ids::{AttemptId, ChatId, ConfigVersion, RequestId, RunState, ServerId, TeamId};

/// One attempt on a backend server.
#[derive(Debug, Clone, Serialize)]
pub struct AttemptRecord {
    /// Its id.
    pub id: AttemptId,
    /// The server.
    pub server: ServerId,
    /// How it ended.
    pub result: String,
}

/// What was decided for one request, and why.
#[derive(Debug, Clone, Serialize)]
pub struct RequestRecord {
    /// Its id.
    pub request_id: RequestId,
    /// Configuration that it was decided under.
    pub config_version: ConfigVersion,
    /// Monotonic time of arrival in ms.
    pub arrived_ms: u64,
    /// The caller's team, once known.
    pub team: Option<TeamId>,
    /// Model or service asked for, once known.
    pub target: Option<String>,
    /// The chat, once known.
    pub chat: Option<ChatId>,
    /// Decisions of the filters in order.
    pub steps: Vec<String>,
    /// Attempts in order.
    pub attempts: Vec<AttemptRecord>,
    /// Events sent to the caller.
    pub events: u64,
    /// HTTP status sent.
    pub status: u16,
    /// How it ended.
    pub outcome: String,
    /// Whether it ran.
    pub run_state: RunState,
    /// Time to the first event or answer in ms.
    pub first_event_ms: Option<u64>,
    /// Whole time in ms.
    pub duration_ms: u64,
}

impl RequestRecord {
    /// A record of a request that has just arrived.
    pub fn open(request_id: RequestId, config_version: ConfigVersion, arrived_ms: u64) -> Self {
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

    /// Notes a decision.
    pub fn add_step(&mut self, text: impl Into<String>) {
        self.steps.push(text.into());
    }
}

/// Records kept by one process.
const RING_MAX: usize = 4096;
const SHARDS: usize = 16;

type Shard = Mutex<VecDeque<RequestRecord>>;

/// A bounded ring of records, in shards by request id.
#[derive(Debug, Clone)]
pub struct RecentRequests {
    shards: Arc<[Shard; SHARDS]>,
}

impl RecentRequests {
    /// An empty ring.
    pub fn open() -> Self {
        Self {
            shards: Arc::new(std::array::from_fn(|_| Mutex::new(VecDeque::new()))),
        }
    }

    fn shard(&self, id: &RequestId) -> &Shard {
        let hash = xxhash_rust::xxh3::xxh3_64(id.as_str().as_bytes());
        &self.shards[hash as usize % SHARDS]
    }

    /// Adds a record and drops the oldest where the ring is full.
    pub fn push(&self, record: RequestRecord) {
        let mut shard = self.shard(&record.request_id).lock();
        if shard.len() >= RING_MAX / SHARDS {
            shard.pop_front();
        }
        shard.push_back(record);
    }

    /// The record of a request, while it is kept.
    pub fn find(&self, id: &RequestId) -> Option<RequestRecord> {
        let shard = self.shard(id).lock();
        shard
            .iter()
            .rev()
            .find(|record| record.request_id == *id)
            .cloned()
    }
}
