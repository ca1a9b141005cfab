//! Reads the body of a request into one buffer, within the memory of the process.

#[cfg(test)]
mod tests;

use std::future::poll_fn;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt as _;
use hyper::body::{Body as _, Incoming};
use smol::Timer;

use crate::decide::memory_budget::{PROGRESS_BYTES, Purpose};
use crate::decide::memory_plan::{
    CALLER_READ_BUFFER_BYTES, EXTENDED_BODY_MIN_BYTES, EXTENDED_RECEIVE_BUFFER_BYTES,
    SMALL_MAX_BYTES,
};
use crate::http::memory::{Memory, MemoryShare};
use crate::http::socket::SocketProbe;
use crate::runtime::with_timeout;

/// Bytes of a body of unknown length that are received beyond what has been read of it: its connection
/// reads one part ahead.
const AHEAD_BYTES: usize = CALLER_READ_BUFFER_BYTES;
/// Bytes of a body of unknown length that have room at its start: most bodies of the known sites are
/// shorter.
const FIRST_PART_BYTES: usize = 4 * 1024;
/// Factor by which the room of a body of unknown length grows: five steps to 4 MiB, each of which may
/// have to wait.
const ROOM_FACTOR: usize = 4;

/// Interval at which a body that waits for room checks whether its caller has left.
const CONNECTION_CHECK: Duration = Duration::from_millis(250);

/// Why a body was not read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The body is, or was announced as, larger than the limit.
    #[error("the body is larger than the limit")]
    TooLarge,
    /// The body did not come in time, or made no progress while others waited for its room.
    #[error("the body did not come in time")]
    Stalled,
    /// There was no room for the body in time.
    #[error("there is no memory for the body")]
    NoMemory,
    /// The caller closed its connection while the body waited for room.
    #[error("the caller closed its connection")]
    CallerGone,
    /// The connection failed, or its framing is not valid.
    #[error("the body could not be read: {0}")]
    Broken(#[from] hyper::Error),
}

/// Collects the parts of a body in one buffer, whatever their size.
///
/// Parts as received refer to the buffers of their connection: one of 8 bytes costs some 30 more, and
/// keeps a buffer of up to 16 KiB.
#[derive(Debug, Default)]
pub struct BodyBuffer {
    bytes: Vec<u8>,
}

impl BodyBuffer {
    /// Appends a part. `room_bytes` is the number of bytes that the buffer may have.
    ///
    /// ```
    /// use jujubeusher::http::body_reader::BodyBuffer;
    /// let mut buffer = BodyBuffer::default();
    /// buffer.push(b"one ", 100);
    /// buffer.push(b"body", 100);
    /// assert_eq!(&buffer.into_bytes()[..], b"one body");
    /// ```
    pub fn push(&mut self, part: &[u8], room_bytes: usize) {
        let needed = self.bytes.len() + part.len();
        if needed > self.bytes.capacity() {
            // The last step takes what is left of the room instead of doubling beyond it.
            let target = (2 * self.bytes.capacity()).min(room_bytes).max(needed);
            self.bytes.reserve_exact(target - self.bytes.len());
        }
        self.bytes.extend_from_slice(part);
    }

    /// Number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether the buffer has no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// The collected bytes.
    pub fn into_bytes(self) -> Bytes {
        Bytes::from(self.bytes)
    }

    /// The collected bytes, which keep `share` until the last reference to them is dropped.
    pub fn into_held_bytes(self, share: MemoryShare) -> Bytes {
        share.complete(self.bytes.len());
        Bytes::from_owner(HeldBytes {
            bytes: self.bytes,
            _share: share,
        })
    }
}

/// Bytes that are freed together with their share of the memory.
struct HeldBytes {
    bytes: Vec<u8>,
    _share: MemoryShare,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Length that the head of a message announces for a body; `None` for one in chunks.
pub fn announced_bytes(body: &Incoming) -> Option<usize> {
    let exact = body.size_hint().exact()?;
    Some(usize::try_from(exact).unwrap_or(usize::MAX))
}

/// Reads a body of at most `max_bytes` within `timeout`. While there is no room for it, the body is
/// not polled, so that its connection is not read. The bytes hold their share of `memory` until the
/// last reference to them is dropped. `connection` is the one that the body arrives on.
pub async fn read_body(
    body: Incoming,
    max_bytes: usize,
    timeout: Duration,
    memory: &Memory,
    connection: Option<&SocketProbe>,
) -> Result<Bytes, ReadError> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let announced = announced_bytes(&body);
    if announced.is_some_and(|bytes| bytes > max_bytes) {
        return Err(ReadError::TooLarge);
    }
    let mut share = memory.share(Purpose::Request);
    let reading = read_into(body, announced, max_bytes, &mut share, connection);
    let buffer = match with_timeout(timeout, reading).await {
        Some(buffer) => buffer?,
        None if share.is_waiting() => return Err(ReadError::NoMemory),
        None => return Err(ReadError::Stalled),
    };
    Ok(buffer.into_held_bytes(share))
}

async fn read_into(
    mut body: Incoming,
    announced: Option<usize>,
    max_bytes: usize,
    share: &mut MemoryShare,
    connection: Option<&SocketProbe>,
) -> Result<BodyBuffer, ReadError> {
    let mut unextended = connection;
    let mut has_waited = false;
    let ahead_bytes = match announced {
        Some(_) => 0,
        None => AHEAD_BYTES,
    };
    let mut room_bytes = announced.unwrap_or(room_for(0, max_bytes));
    has_waited |= claim_room(share, room_bytes, connection).await?;
    let mut buffer = BodyBuffer::default();
    buffer.bytes.reserve_exact(announced.unwrap_or(0));
    let mut unrecorded_bytes = 0;
    while let Some(part) = next_part(&mut body, share).await? {
        let length = buffer.len() + part.len();
        if length > max_bytes {
            return Err(ReadError::TooLarge);
        }
        share.record_part();
        buffer.push(&part, room_bytes - ahead_bytes);
        unrecorded_bytes += part.len();
        drop(part);
        // Before the body is polled again, since its connection then reads on.
        let needed_bytes = length + ahead_bytes;
        if needed_bytes > room_bytes {
            room_bytes = room_for(length, max_bytes);
            has_waited |= claim_room(share, room_bytes, connection).await?;
        }
        if unrecorded_bytes >= PROGRESS_BYTES {
            unrecorded_bytes = 0;
            share.record_progress();
            // Not before the first progress: the body may have got its room too late.
            if let Some(connection) = unextended.take_if(|_| room_bytes >= EXTENDED_BODY_MIN_BYTES)
            {
                connection.set_receive_buffer(EXTENDED_RECEIVE_BUFFER_BYTES);
            }
        }
    }
    // The end of the connection may have arrived behind the body.
    if has_waited && connection.is_some_and(SocketProbe::has_peer_closed) {
        return Err(ReadError::CallerGone);
    }
    Ok(buffer)
}

/// Room for a body of unknown length of which so many bytes have been read, with what is read ahead.
fn room_for(read_bytes: usize, max_bytes: usize) -> usize {
    let mut body_bytes = FIRST_PART_BYTES;
    while body_bytes < read_bytes {
        body_bytes *= ROOM_FACTOR;
    }
    let room_bytes = body_bytes.min(max_bytes) + AHEAD_BYTES;
    match read_bytes + AHEAD_BYTES <= SMALL_MAX_BYTES {
        // A body that may still be small stays among the small ones.
        true => room_bytes.min(SMALL_MAX_BYTES),
        false => room_bytes,
    }
}

/// Waits until there is room for `bytes` of the body in all; returns whether it had to wait. Nothing
/// is read meanwhile, so that the end of the connection has to be looked for.
async fn claim_room(
    share: &mut MemoryShare,
    bytes: usize,
    connection: Option<&SocketProbe>,
) -> Result<bool, ReadError> {
    let mut has_waited = false;
    let room = async {
        match share.claim(bytes).await {
            true => Ok(()),
            false => Err(ReadError::NoMemory),
        }
    };
    let end = async {
        has_waited = true;
        while !connection.is_some_and(SocketProbe::has_peer_closed) {
            Timer::after(CONNECTION_CHECK).await;
        }
        Err(ReadError::CallerGone)
    };
    room.or(end).await?;
    Ok(has_waited)
}

/// The next part of a body; `None` at its end.
async fn next_part(body: &mut Incoming, share: &MemoryShare) -> Result<Option<Bytes>, ReadError> {
    loop {
        let frame = poll_fn(|cx| {
            let frame = Pin::new(&mut *body).poll_frame(cx);
            match frame.is_pending() && share.poll_refused(cx).is_ready() {
                true => Poll::Ready(Err(ReadError::Stalled)),
                false => frame.map(Ok),
            }
        });
        match frame.await? {
            None => return Ok(None),
            Some(frame) => {
                if let Ok(part) = frame?.into_data() {
                    return Ok(Some(part));
                }
            }
        }
    }
}
