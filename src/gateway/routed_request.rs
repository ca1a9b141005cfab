//! A caller's request with all that its attempts need to know.

use std::sync::Arc;

use bytes::Bytes;
use hyper::Method;
use hyper::header::HeaderMap;

use crate::config::routing::Route;
use crate::gateway::protocol::Prompt;
use crate::ids::{Repeat, RequestId, ServerId, ServiceId, TeamId};

/// A request whose route, team and service are known.
#[derive(Debug, Clone)]
pub struct RoutedRequest {
    /// The caller's id of it.
    pub id: RequestId,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that runs it.
    pub service: ServiceId,
    /// The caller's team, where the route asks for a key.
    pub team: Option<TeamId>,
    /// Rank, 0 is the most urgent.
    pub priority: u32,
    /// The prompt, if it has one.
    pub prompt: Option<Prompt>,
    /// The last event that the caller had before.
    pub last_event: Option<u64>,
    /// Monotonic time in ms of its arrival.
    pub arrived_ms: u64,
    /// Monotonic time in ms after which no answer is wanted.
    pub deadline_ms: u64,
}

impl RoutedRequest {
    /// Whether the request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        self.route.repeat == Repeat::Idempotent
    }

    /// Time left until the deadline.
    pub fn remaining_ms(&self, now_ms: u64) -> u64 {
        self.deadline_ms.saturating_sub(now_ms)
    }
}

/// Servers that a request was sent to.
#[derive(Debug, Clone, Default)]
pub struct AttemptHistory {
    /// All servers tried, in order.
    pub servers: Vec<ServerId>,
    /// Attempts whose server may have run the request.
    pub possible_runs: u32,
    /// Attempts that reached a server.
    pub delivered: u32,
}
