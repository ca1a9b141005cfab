//! Body of an event stream that combines events available at the same time into one write.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use async_channel::Receiver;
use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use hyper::body::{Body as HttpBody, Frame};

use crate::http::BodyError;

/// A frame of the body, or the error that ends it.
pub type FrameResult = Result<Frame<Bytes>, BodyError>;

/// Maximum number of events in one frame.
const EVENTS_PER_FRAME_MAX: usize = 32;

/// A body whose frames are received from a channel.
///
/// hyper delivers one chunk of an engine's stream at a time. After a stall, events would therefore
/// be written one by one, and the system call for each costs several times as much as all other
/// work on it. The body instead yields to its producer as long as events are added to the channel,
/// and then combines them into one frame. A single event is delayed until the other tasks of its
/// worker have run once.
#[derive(Debug)]
pub struct EventBody {
    receiver: Pin<Box<Receiver<FrameResult>>>,
    /// Length of the channel at the previous poll; zero if that poll did not yield.
    queued: usize,
    /// Error received after the events of the previous frame.
    failure: Option<BodyError>,
}

impl EventBody {
    /// Creates a body of the frames received until the channel is closed.
    pub fn new(receiver: Receiver<FrameResult>) -> Self {
        Self {
            receiver: Box::pin(receiver),
            queued: 0,
            failure: None,
        }
    }

    /// Whether events were added since the previous poll, so that the producer may add more.
    fn is_growing(&mut self) -> bool {
        let length = self.receiver.len();
        let is_growing =
            length > self.queued && length < EVENTS_PER_FRAME_MAX && !self.receiver.is_closed();
        self.queued = if is_growing { length } else { 0 };
        is_growing
    }

    /// Appends the events in the channel to `first`, up to an error.
    fn append_queued(&mut self, first: Bytes) -> Bytes {
        let mut joined = BytesMut::new();
        for _ in 1..EVENTS_PER_FRAME_MAX {
            match self.receiver.try_recv() {
                Ok(Ok(frame)) => {
                    if joined.is_empty() {
                        joined.extend_from_slice(&first);
                    }
                    joined.extend_from_slice(&frame.into_data().unwrap_or_default());
                }
                Ok(Err(failure)) => {
                    self.failure = Some(failure);
                    break;
                }
                Err(_) => break,
            }
        }
        match joined.is_empty() {
            true => first,
            false => joined.freeze(),
        }
    }
}

impl HttpBody for EventBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(failure) = self.failure.take() {
            return Poll::Ready(Some(Err(failure)));
        }
        if self.is_growing() {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        match ready!(self.receiver.as_mut().poll_next(cx)) {
            Some(Ok(frame)) => {
                let first = frame.into_data().unwrap_or_default();
                let joined = self.append_queued(first);
                Poll::Ready(Some(Ok(Frame::data(joined))))
            }
            other => Poll::Ready(other),
        }
    }
}

#[cfg(test)]
mod tests;
