//! A routed caller's request, and the history of its attempts.

use std::sync::Arc;

use bytes::Bytes;
use hyper::Method;
use hyper::header::HeaderMap;

use crate::config::routing::Route;
use crate::decide::strikes::Fingerprint;
use crate::gateway::protocol::Prompt;
use crate::http::socket::SocketProbe;
use crate::ids::{Repeat, RequestId, ServerId, ServiceId, TeamId};

/// A caller's request after routing, with everything that its attempts need.
#[derive(Debug, Clone)]
pub struct RoutedRequest {
    /// Id of the request, set by the caller.
    pub id: RequestId,
    /// HTTP method, forwarded unchanged.
    pub method: Method,
    /// Path and query, forwarded unchanged.
    pub path: String,
    /// Headers as received from the caller.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Hash of method, path, body and team; equal for repetitions of the request.
    pub fingerprint: Fingerprint,
    /// Route that matches the host and path.
    pub route: Arc<Route>,
    /// Service chosen from the route's destinations.
    pub service: ServiceId,
    /// The caller's team, if the route requires a key.
    pub team: Option<TeamId>,
    /// Priority from the caller's key, else from the route; 0 is the most urgent.
    pub priority: u32,
    /// The prompt, if it has one.
    pub prompt: Option<Prompt>,
    /// Hashes of the ids of the prompt parts that other requests may have too, in order.
    pub prompt_parts: Vec<Fingerprint>,
    /// Number of the last event that the caller received, if the request resumes a stream.
    pub last_event: Option<u64>,
    /// Probe of the caller's connection, if it is known.
    pub connection: Option<SocketProbe>,
    /// Monotonic arrival time in ms.
    pub arrived_ms: u64,
    /// Monotonic time in ms after which the caller no longer expects a response.
    pub deadline_ms: u64,
}

impl RoutedRequest {
    /// Whether the request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        self.route.repeat == Repeat::Idempotent
    }

    /// Hash of the team's name; 0 without a team.
    pub fn caller_hash(&self) -> u64 {
        let team = self.team.as_ref();
        team.map_or(0, |team| {
            xxhash_rust::xxh3::xxh3_64(team.as_str().as_bytes())
        })
    }

    /// Whether the caller has closed its connection. hyper notices that only if no bytes of a further
    /// request follow.
    pub fn has_caller_gone(&self) -> bool {
        let connection = self.connection.as_ref();
        connection.is_some_and(SocketProbe::has_peer_closed)
    }

    /// Time left until the deadline; 0 once it has passed.
    pub fn remaining_ms(&self, now_ms: u64) -> u64 {
        self.deadline_ms.saturating_sub(now_ms)
    }
}

/// Attempts made for one request.
#[derive(Debug, Clone, Default)]
pub struct AttemptHistory {
    /// Server of each attempt, in order; one that responded is the last one.
    pub servers: Vec<ServerId>,
    /// Servers that did not run an attempt since they had asked for a pause, after which they may be
    /// tried again.
    pub paused: Vec<ServerId>,
    /// Whether the request was counted as one for which a server is sought.
    pub is_offered: bool,
    /// Whether the next attempt takes the place that a request of this router has left. Other routers
    /// do not count on that place.
    pub has_own_place: bool,
    /// Number of attempts whose server may have run the request.
    pub possible_runs: u32,
    /// Number of attempts that were delivered to a server.
    pub delivered: u32,
    /// Number of attempts that were begun and have no outcome yet.
    pub in_progress: u32,
    /// Monotonic time in ms at which the last attempt, or the one that got a response, was sent.
    pub last_sent_ms: u64,
    /// Time in ms for which the request waited for capacity before its first attempt.
    pub queue_ms: u64,
}

impl AttemptHistory {
    /// Number of attempts whose server may have run the request, or may do so.
    pub fn runs(&self) -> u32 {
        self.possible_runs + self.in_progress
    }

    /// Records that a server responded to the attempt that was sent at `sent_ms`.
    pub fn record_responder(&mut self, server: &ServerId, sent_ms: u64) {
        self.servers.retain(|attempted| attempted != server);
        self.servers.push(server.clone());
        self.last_sent_ms = sent_ms;
    }

    /// Records that the attempts in progress are given up: their servers may have run the request.
    pub fn give_up(&mut self) {
        self.possible_runs += self.in_progress;
        self.delivered += self.in_progress;
        self.in_progress = 0;
    }

    /// Whether the server was tried and is not to be tried again.
    pub fn excludes(&self, server: &ServerId) -> bool {
        self.servers.contains(server) && !self.paused.contains(server)
    }
}
