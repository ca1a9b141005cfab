//! Splits a server's event stream into complete events without changing their bytes.

#[cfg(test)]
mod tests;

use bytes::{Bytes, BytesMut};

use crate::http::sse::{EVENT_MAX_BYTES, EventTooLong};

/// A complete event as sent by the server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawEvent {
    /// Unchanged bytes of the event, including the blank line that ends it.
    pub bytes: Bytes,
    /// Value of the `id` field; `None` if it is absent or not a number.
    pub id: Option<u64>,
}

impl RawEvent {
    /// Whether the event has an id or data. A block without either, such as a comment, keeps a
    /// connection open but is no progress of the stream.
    ///
    /// ```
    /// use jujubeusher::http::raw_events::RawEventDecoder;
    /// let mut events = RawEventDecoder::default();
    /// events.push(b": ping\n\ndata: a\n\n");
    /// assert!(!events.next_event().unwrap().unwrap().is_progress());
    /// assert!(events.next_event().unwrap().unwrap().is_progress());
    /// ```
    pub fn is_progress(&self) -> bool {
        let has_data = |line: &[u8]| line.starts_with(b"data");
        self.id.is_some() || self.bytes.split(|byte| *byte == b'\n').any(has_data)
    }
}

/// Buffers received bytes and splits off complete events.
#[derive(Debug, Default)]
pub struct RawEventDecoder {
    buffer: BytesMut,
    /// Length of the prefix of the buffer that contains no end of an event.
    searched: usize,
}

impl RawEventDecoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Number of bytes in the buffer.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Whether the buffer contains no part of an incomplete event.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns the next complete event, or `None` if more bytes are required.
    ///
    /// ```
    /// use jujubeusher::http::raw_events::RawEventDecoder;
    /// let mut events = RawEventDecoder::default();
    /// events.push(b"id: 4\ndata: a\n\nid: 5");
    /// let event = events.next_event().unwrap().unwrap();
    /// assert_eq!((event.id, &event.bytes[..]), (Some(4), &b"id: 4\ndata: a\n\n"[..]));
    /// assert_eq!(events.next_event().unwrap(), None);
    /// ```
    pub fn next_event(&mut self) -> Result<Option<RawEvent>, EventTooLong> {
        let Some(length) = self.find_end() else {
            if self.buffer.len() > EVENT_MAX_BYTES {
                return Err(EventTooLong);
            }
            return Ok(None);
        };
        let bytes = self.buffer.split_to(length).freeze();
        self.searched = 0;
        let id = event_id(&bytes);
        Ok(Some(RawEvent { bytes, id }))
    }

    /// Returns the length of the first event, including its blank line.
    fn find_end(&mut self) -> Option<usize> {
        // The last bytes searched may be the beginning of a blank line.
        let from = self.searched.saturating_sub(3);
        let bytes = &self.buffer[from..];
        for (index, _) in bytes.iter().enumerate().filter(|(_, b)| **b == b'\n') {
            let rest = &bytes[index + 1..];
            let blank = match rest {
                [b'\n', ..] => 1,
                [b'\r', b'\n', ..] => 2,
                _ => continue,
            };
            return Some(from + index + 1 + blank);
        }
        self.searched = self.buffer.len();
        None
    }
}

/// Returns the value of the `id` field, if it is a number.
fn event_id(block: &[u8]) -> Option<u64> {
    let lines = block.split(|byte| *byte == b'\n');
    let value = lines.rev().find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
