//! HTTP client and server code shared by all connections: callers, operators, backend servers and
//! the platform.

pub mod body_reader;
pub mod client;
pub mod connect_failure;
pub mod event_body;
pub mod event_wait;
pub mod first_byte;
pub mod framing;
pub mod guard;
pub mod lazy_timer;
pub mod limits;
pub mod memory;
pub mod pool;
pub mod raw_events;
pub mod server;
pub mod socket;
pub mod sse;

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
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

/// Largest part of a body that is written at once. hyper copies each part into the buffer of the
/// connection, so that one of 16 MiB would take its memory twice while it is written.
const PART_BYTES: usize = 16 * 1024;

/// A body of known length that is written in parts.
struct PartedBody(Bytes);

impl HttpBody for PartedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.0.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.0.len().min(PART_BYTES);
        Poll::Ready(Some(Ok(Frame::data(self.0.split_to(length)))))
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.0.len() as u64)
    }
}

/// Returns a body that consists of `bytes`.
pub fn full_body(bytes: Bytes) -> Body {
    PartedBody(bytes).boxed_unsync()
}
