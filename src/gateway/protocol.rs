//! What the gateway needs to know of the protocols of callers and of backend servers.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::header::HeaderMap;
use hyper::{Response, StatusCode};

use crate::gateway::rejection::Rejection;
use crate::http::Body;
use crate::ids::{RequestId, ServerId, TeamId};

/// The parts of a prompt that a request shares with others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Hash of the shared parts in order; equal for requests that share all of them.
    pub shared_hash: u64,
    /// Tokens of the shared parts.
    pub shared_tokens: u64,
    /// Tokens of the whole prompt.
    pub tokens: u64,
}

/// What a caller states beside method, path and body.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestHead {
    /// The request's id; none where it is missing or cannot be quoted.
    pub request_id: Option<RequestId>,
    /// The caller's key.
    pub key: Option<String>,
    /// How long the caller waits.
    pub timeout_ms: Option<u64>,
    /// The prompt, for requests that carry one.
    pub prompt: Option<Prompt>,
    /// The last event that the caller has of this stream.
    pub last_event: Option<u64>,
}

/// Speaks with callers.
pub trait CallerProtocol: Send + Sync + 'static {
    /// Reads a request's headers.
    fn decode(&self, headers: &HeaderMap) -> RequestHead;

    /// An answer of our own.
    fn reject(&self, rejection: &Rejection, id: Option<&RequestId>) -> Response<Body>;
}

/// What one attempt adds to the caller's request.
#[derive(Debug, Clone, Copy)]
pub struct AttemptHead<'a> {
    /// The server that is meant, whoever has its address now.
    pub server: &'a ServerId,
    /// Its address.
    pub address: SocketAddr,
    /// The caller's team, where the route asks for a key.
    pub team: Option<&'a TeamId>,
    /// Time left for the answer.
    pub remaining_ms: u64,
    /// Rank, 0 is the most urgent; none leaves it to the server.
    pub priority: Option<u32>,
    /// The last event that the caller has got.
    pub last_event: Option<u64>,
    /// Server from which this one fetches shared prompt parts that it lacks.
    pub fetch_source: Option<SocketAddr>,
}

/// A server's count of its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// What an answer's head says beside its status.
#[derive(Debug, Clone, PartialEq)]
pub struct ResponseHead {
    /// Whether the answer carries the id of this request.
    pub has_matching_id: bool,
    /// Whether the server states that it did not run the request.
    pub is_not_run: bool,
    /// Whether another server has the address.
    pub is_misdirected: bool,
    /// Whether the answer is a server's, and whole as far as its head tells.
    pub is_signed: bool,
    /// The server's load.
    pub load: Option<LoadReport>,
    /// How long the server keeps the connection open while it is idle.
    pub keep_alive: Option<Duration>,
}

/// Speaks with backend servers.
pub trait BackendProtocol: Send + Sync + 'static {
    /// Headers of an attempt, from those of the caller's request.
    fn encode(&self, headers: &HeaderMap, attempt: &AttemptHead<'_>) -> HeaderMap;

    /// Reads the head of an answer to the request with this id.
    fn decode(&self, id: &RequestId, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Headers of an answer that the caller gets.
    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap;
}
