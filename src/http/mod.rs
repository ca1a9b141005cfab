//! HTTP client and server code shared by all connections: callers, operators, backend servers and
//! the platform.

pub mod client;
pub mod connect_failure;
pub mod event_body;
pub mod event_wait;
pub mod first_byte;
pub mod framing;
pub mod guard;
pub mod lazy_timer;
pub mod limits;
pub mod memory_budget;
pub mod pool;
pub mod raw_events;
pub mod server;
pub mod socket;
pub mod sse;

use std::convert::Infallible;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use thiserror::Error;

/// Why a response body ended before it was complete.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The connection failed.
    #[error("the connection failed while reading a body: {0}")]
    Connection(#[from] hyper::Error),
    /// The response cannot be completed. The connection is closed without the end of the body, so
    /// that the caller can tell that it is truncated.
    #[error("the response is incomplete: {0}")]
    Incomplete(&'static str),
}

/// Body of a response that this process sends.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Returns a body that consists of `bytes`.
pub fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}
