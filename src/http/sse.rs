//! Server-sent events: an encoder, and a decoder for bytes that arrive in arbitrary pieces.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event, and of the bytes buffered for it.
pub const EVENT_MAX_BYTES: usize = 1024 * 1024;

/// `data` of the event that ends a chat completion.
pub const DONE: &str = "[DONE]";

/// A server-sent event.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Event {
    /// `id:` field, empty when absent.
    pub id: String,
    /// `event:` field, empty when absent.
    pub name: String,
    /// `data:` lines joined by line feeds.
    pub data: String,
}

impl Event {
    /// Whether this event ends a chat completion.
    pub fn is_terminal(&self) -> bool {
        self.data == DONE
    }

    /// Encodes the event, including the blank line that ends it.
    ///
    /// ```
    /// use jujubeusher::http::sse::Event;
    /// let event = Event { id: "1".into(), data: "x".into(), ..Event::default() };
    /// assert_eq!(&event.encode()[..], b"id: 1\ndata: x\n\n");
    /// ```
    pub fn encode(&self) -> Bytes {
        let mut text = String::with_capacity(self.data.len() + 32);
        if !self.id.is_empty() {
            text.push_str("id: ");
            text.push_str(&self.id);
            text.push('\n');
        }
        if !self.name.is_empty() {
            text.push_str("event: ");
            text.push_str(&self.name);
            text.push('\n');
        }
        for line in self.data.split('\n') {
            text.push_str("data: ");
            text.push_str(line);
            text.push('\n');
        }
        text.push('\n');
        Bytes::from(text)
    }
}

/// An event longer than [`EVENT_MAX_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {EVENT_MAX_BYTES} bytes; the stream is given up")]
pub struct EventTooLong;

/// Buffers received bytes and decodes complete events.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
    /// Start of the first line in the buffer whose end has not been found.
    line_start: usize,
}

impl Decoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Number of bytes in the buffer.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Whether all received bytes have been decoded.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns the next complete event, or `None` if more bytes are required.
    ///
    /// ```
    /// use jujubeusher::http::sse::Decoder;
    /// let mut decoder = Decoder::default();
    /// decoder.push(b"data: a");
    /// assert_eq!(decoder.next_event().unwrap(), None);
    /// decoder.push(b"b\n\n");
    /// assert_eq!(decoder.next_event().unwrap().unwrap().data, "ab");
    /// ```
    pub fn next_event(&mut self) -> Result<Option<Event>, EventTooLong> {
        loop {
            let Some((length, separator)) = self.find_end() else {
                if self.buffer.len() > EVENT_MAX_BYTES {
                    return Err(EventTooLong);
                }
                return Ok(None);
            };
            let block = self.buffer.split_to(length + separator);
            self.line_start = 0;
            if let Some(event) = parse_block(&block[..length]) {
                return Ok(Some(event));
            }
        }
    }

    /// Returns the length of the first block and of the blank line after it.
    ///
    /// Lines end in LF, CR LF or CR, as the standard allows.
    fn find_end(&mut self) -> Option<(usize, usize)> {
        let bytes = &self.buffer[..];
        loop {
            let start = self.line_start;
            let is_end = |byte: &u8| matches!(byte, b'\n' | b'\r');
            let end = start + bytes[start..].iter().position(is_end)?;
            let length = match (bytes[end], bytes.get(end + 1)) {
                (b'\r', Some(b'\n')) => 2,
                // An LF may still arrive. After a blank line it is read as a further blank line,
                // so there is no need to wait for it.
                (b'\r', None) if end > start => return None,
                _ => 1,
            };
            if end == start {
                return Some((start, length));
            }
            self.line_start = end + length;
        }
    }
}

/// Parses one block. Returns `None` for a block without data, such as a comment.
fn parse_block(block: &[u8]) -> Option<Event> {
    let text = String::from_utf8_lossy(block);
    let mut event = Event::default();
    let mut has_data = false;
    for line in text.split(['\n', '\r']) {
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => event.id = value.to_owned(),
            "event" => event.name = value.to_owned(),
            "data" => {
                if has_data {
                    event.data.push('\n');
                }
                event.data.push_str(value);
                has_data = true;
            }
            _ => {}
        }
    }
    has_data.then_some(event)
}

#[cfg(test)]
mod tests;
