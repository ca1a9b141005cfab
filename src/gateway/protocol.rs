//! Interfaces to the protocols of callers and of backend servers.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::header::HeaderMap;
use hyper::{Response, StatusCode};

use crate::decide::strikes::Fingerprint;
use crate::gateway::rejection::Rejection;
use crate::http::Body;
use crate::ids::{RequestId, ServerId, TeamId};

/// Prompt of a request, with the leading parts that it shares with other requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Hash over the shared parts in order; equal for requests that share all of them.
    pub shared_hash: u64,
    /// Number of tokens of the shared parts.
    pub shared_tokens: u64,
    /// Number of tokens of the whole prompt.
    pub tokens: u64,
}

/// Maximum number of prompt parts that are decoded, which bounds the work for each request.
pub const PROMPT_PARTS_MAX: usize = 16;

/// Decoded headers of a caller's request.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestHead {
    /// The request's id; `None` if it is missing or not valid as a header value.
    pub request_id: Option<RequestId>,
    /// The caller's API key, if it sent one.
    pub key: Option<String>,
    /// How long the caller waits for the response; `None` if it states no limit.
    pub timeout_ms: Option<u64>,
    /// The prompt, if the request has one.
    pub prompt: Option<Prompt>,
    /// Hashes of the ids of the prompt parts that other requests may have too, in order, at most
    /// [`PROMPT_PARTS_MAX`].
    pub prompt_parts: Vec<Fingerprint>,
    /// Number of the last event of the stream that the caller has received.
    pub last_event: Option<u64>,
}

/// Protocol between callers and the gateway.
pub trait CallerProtocol: Send + Sync + 'static {
    /// Decodes a request's headers.
    fn decode(&self, headers: &HeaderMap) -> RequestHead;

    /// Builds the response to a request that the gateway rejects.
    fn reject(&self, rejection: &Rejection, id: Option<&RequestId>) -> Response<Body>;
}

/// Header values that one attempt adds to the caller's request.
#[derive(Debug, Clone, Copy)]
pub struct AttemptHead<'a> {
    /// The intended server, so that another server that now has the address can reject the request.
    pub server: &'a ServerId,
    /// Address that the attempt is sent to.
    pub address: SocketAddr,
    /// The caller's team, if the route requires a key.
    pub team: Option<&'a TeamId>,
    /// Time left until the request's deadline.
    pub remaining_ms: u64,
    /// Priority, 0 is the most urgent; `None` leaves it to the server.
    pub priority: Option<u32>,
    /// Number of the last event that the caller has received.
    pub last_event: Option<u64>,
    /// Address of the server from which this one fetches shared prompt parts that it lacks.
    pub fetch_source: Option<SocketAddr>,
}

/// Load that a server reports about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of requests that can run concurrently.
    pub slots: u32,
    /// How long work takes on the server's host, in percent of the usual time; `None` if it is not
    /// reported.
    pub speed_percent: Option<u32>,
}

/// What a response says of a limit on the requests that its server takes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum LimitNotice {
    /// It names no limit.
    #[default]
    Absent,
    /// Requests a second that the server takes from all routers together.
    PerSecond(f64),
    /// It names a limit that cannot be read, so that the one named before holds.
    Unreadable,
}

/// What a server says of itself in the head of a response.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServerNotice {
    /// Whether it states that it did not run the request.
    pub is_not_run: bool,
    /// Whether it is about to stop and wants no new requests.
    pub is_leaving: bool,
    /// Time in ms for which it wants no requests from this router, if it states one.
    pub pause_ms: Option<u64>,
    /// Whether it limits the requests that it takes.
    pub limit: LimitNotice,
    /// Its load, if it reports one.
    pub load: Option<LoadReport>,
    /// Time in ms for which it is cold, if it states one; 0 if it is warm.
    pub cold_ms: Option<u64>,
}

/// Decoded headers of a server's response.
#[derive(Debug, Clone, PartialEq)]
pub struct ResponseHead {
    /// Whether the response has the id of this request.
    pub has_matching_id: bool,
    /// Whether the response has the id of another request, or may belong to one.
    pub has_other_id: bool,
    /// What the server says of itself.
    pub notice: ServerNotice,
    /// Whether another server answered at the address.
    pub is_misdirected: bool,
    /// Whether the response is signed by a server, and its head is complete as far as the
    /// signature shows.
    pub is_signed: bool,
    /// How long the server keeps an idle connection open, if it states it.
    pub keep_alive: Option<Duration>,
}

/// Protocol between the gateway and backend servers.
pub trait BackendProtocol: Send + Sync + 'static {
    /// Builds the headers of an attempt from those of the caller's request. The length of its body
    /// is not among them.
    fn encode(&self, headers: &HeaderMap, attempt: &AttemptHead<'_>) -> HeaderMap;

    /// Decodes the head of a response to the request with this id.
    fn decode(&self, id: &RequestId, status: StatusCode, headers: &HeaderMap) -> ResponseHead;
}
