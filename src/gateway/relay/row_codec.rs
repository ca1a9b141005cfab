//! Encoding of rows for the wire: large contents are deflated and split into chunks that fit a
//! frame.
//!
//! A configuration with 1,600 routes is larger than a frame. Without compression a seed with a
//! link of 10 Mbit/s would take several seconds to send it to thirty subscribers.

#[cfg(test)]
mod tests;

use std::io::{Read, Write};

use bytes::{Bytes, BytesMut};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use parking_lot::Mutex;

use crate::gateway::relay::wire;
use crate::gateway::watch::Row;
use crate::peer::frame::LinkError;

/// Minimum length of a deflated content; for shorter ones the savings do not pay for the work.
const DEFLATE_MIN_BYTES: usize = 2_048;
/// Maximum length of a chunk: a quarter of the largest frame, since a message has at most two.
const CHUNK_BYTES: usize = 64 * 1024;
/// Maximum length of an accepted content, many times the largest known configuration.
const CONTENT_MAX_BYTES: u64 = 16 << 20;

/// Encodes rows; deflates a content once for all subscribers.
#[derive(Debug, Default)]
pub struct RowEncoder {
    /// The content deflated last, and its deflated form.
    last: Mutex<Option<(Bytes, Bytes)>>,
}

impl RowEncoder {
    /// Encodes a row as one or more chunks.
    pub fn encode(&self, row: &Row) -> Vec<wire::Row> {
        let chunk = |content, is_deflated, has_more| wire::Row {
            key: row.key.clone(),
            content,
            is_deflated,
            has_more,
        };
        let Some(content) = &row.content else {
            return vec![chunk(None, false, false)];
        };
        let deflated = match content.len() >= DEFLATE_MIN_BYTES {
            true => self.deflate(content),
            false => None,
        };
        let is_deflated = deflated.is_some();
        let bytes = deflated.unwrap_or_else(|| content.clone());
        let starts = (0..bytes.len().max(1)).step_by(CHUNK_BYTES);
        let chunks = starts.map(|start| {
            let end = (start + CHUNK_BYTES).min(bytes.len());
            chunk(
                Some(bytes.slice(start..end)),
                is_deflated,
                end < bytes.len(),
            )
        });
        chunks.collect()
    }

    /// Deflates a content; `None` if that fails, so that it is sent uncompressed.
    fn deflate(&self, content: &Bytes) -> Option<Bytes> {
        let mut last = self.last.lock();
        // Updates to the subscribers are clones of one content, which share its memory.
        let is_same = |known: &Bytes| known.as_ptr() == content.as_ptr() && known == content;
        if let Some((_, deflated)) = last.as_ref().filter(|(known, _)| is_same(known)) {
            return Some(deflated.clone());
        }
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        let finished = encoder.write_all(content).and_then(|()| encoder.finish());
        let deflated = match finished {
            Ok(deflated) => Bytes::from(deflated),
            Err(error) => {
                log::error!(
                    "event=deflate_failed bytes={} error=\"{error}\"",
                    content.len()
                );
                return None;
            }
        };
        *last = Some((content.clone(), deflated.clone()));
        Some(deflated)
    }
}

/// Joins chunks into rows.
#[derive(Debug, Default)]
pub struct RowDecoder {
    partial: BytesMut,
}

impl RowDecoder {
    /// Decodes a chunk; returns the row if the chunk completes one.
    pub fn decode(&mut self, chunk: wire::Row) -> Result<Option<Row>, LinkError> {
        let Some(content) = chunk.content else {
            return Ok(Some(Row {
                key: chunk.key,
                content: None,
            }));
        };
        self.partial.extend_from_slice(&content);
        if self.partial.len() as u64 > CONTENT_MAX_BYTES {
            return Err(LinkError::Protocol("a row exceeds the maximum length"));
        }
        if chunk.has_more {
            return Ok(None);
        }
        let joined = self.partial.split().freeze();
        let content = match chunk.is_deflated {
            true => inflate(&joined)?,
            false => joined,
        };
        Ok(Some(Row {
            key: chunk.key,
            content: Some(content),
        }))
    }
}

fn inflate(bytes: &[u8]) -> Result<Bytes, LinkError> {
    let mut content = Vec::new();
    let mut decoder = DeflateDecoder::new(bytes).take(CONTENT_MAX_BYTES + 1);
    let read = decoder.read_to_end(&mut content);
    if read.is_err() || content.len() as u64 > CONTENT_MAX_BYTES {
        return Err(LinkError::Protocol("a row cannot be inflated"));
    }
    Ok(Bytes::from(content))
}
