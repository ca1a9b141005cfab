//! Body of a stream that joins events which are ready together into one write.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use async_channel::Receiver;
use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use hyper::body::{Body as HttpBody, Frame};

use crate::http::BodyError;

/// A part of the body: bytes, or the failure that ends it.
pub type FrameResult = Result<Frame<Bytes>, BodyError>;

/// Events that are joined at most.
const JOINED_MAX: usize = 32;

/// A body fed by a channel.
///
/// hyper hands on one chunk of an engine's stream at a time, so after a stall the events came
/// one by one and each cost a system call of its own, several times the cost of all else. The
/// body therefore lets its producer run again as long as events are added, and then takes
/// all of them at once. A single event waits for one turn of its worker's tasks.
#[derive(Debug)]
pub struct EventBody {
    receiver: Pin<Box<Receiver<FrameResult>>>,
    waiting: usize,
    failure: Option<BodyError>,
}

impl EventBody {
    /// A body of what the channel brings until it is closed.
    pub fn new(receiver: Receiver<FrameResult>) -> Self {
        Self {
            receiver: Box::pin(receiver),
            waiting: 0,
            failure: None,
        }
    }

    /// Whether the producer may add to what is waiting.
    fn is_growing(&mut self) -> bool {
        let length = self.receiver.len();
        let is_growing = length > self.waiting && length < JOINED_MAX && !self.receiver.is_closed();
        self.waiting = if is_growing { length } else { 0 };
        is_growing
    }

    /// Joins what waits in the channel to `first`, up to a failure.
    fn join(&mut self, first: Bytes) -> Bytes {
        let mut joined = BytesMut::new();
        for _ in 1..JOINED_MAX {
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
                let joined = self.join(first);
                Poll::Ready(Some(Ok(Frame::data(joined))))
            }
            other => Poll::Ready(other),
        }
    }
}

#[cfg(test)]
mod tests;
