//! Divides a server's event stream into whole events without changing their bytes.

#[cfg(test)]
mod tests;

use bytes::{Bytes, BytesMut};

use crate::http::sse::{EVENT_MAX_BYTES, EventTooLong};

/// One whole event as the server sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawEvent {
    /// Its bytes, with the blank line that ends it.
    pub bytes: Bytes,
    /// Its number; none for a block without one.
    pub id: Option<u64>,
}

/// Collects bytes and yields whole events.
#[derive(Debug, Default)]
pub struct RawEventDecoder {
    buffer: BytesMut,
    /// Bytes in which no end of an event was found.
    searched: usize,
}

impl RawEventDecoder {
    /// Adds bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether no part of an event is waiting for its rest.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// The next whole event, if there is one.
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

    /// Length of the first event with its blank line.
    fn find_end(&mut self) -> Option<usize> {
        // The last bytes may be the first part of a blank line.
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

/// Value of the `id` field.
fn event_id(block: &[u8]) -> Option<u64> {
    let lines = block.split(|byte| *byte == b'\n');
    let value = lines.rev().find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
