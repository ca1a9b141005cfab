//! HTTP towards callers, operators, backend servers and the platform.

pub mod client;
pub mod event_body;
pub mod first_byte;
pub mod guard;
pub mod lazy_timer;
pub mod limits;
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

/// Why a body broke off.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The connection failed.
    #[error("the connection failed while a body was read: {0}")]
    Connection(#[from] hyper::Error),
    /// The answer is given up; the connection closes without a clean end.
    #[error("the answer is incomplete: {0}")]
    Incomplete(&'static str),
}

/// Body of the answers that this process gives.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// A body of known content.
pub fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}
