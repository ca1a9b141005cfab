//! Rows as they go over the wire: large contents deflated, and in pieces that fit a frame.
//!
//! A configuration with 1,600 routes is larger than a frame. Undeflated, it takes a seed with a
//! link of 10 Mbit/s several seconds to send it to thirty subscribers.

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

/// Contents from this length on are deflated; shorter ones gain less than they cost.
const DEFLATE_MIN_BYTES: usize = 2_048;
/// Longest piece of a content: a quarter of the largest frame, as a message has two at most.
const CHUNK_BYTES: usize = 64 * 1024;
/// Longest content that is taken, many times the largest configuration that was seen.
const CONTENT_MAX_BYTES: u64 = 16 << 20;

/// Deflates contents once for all subscribers.
#[derive(Debug, Default)]
pub struct RowEncoder {
    /// The last content and its deflated form.
    last: Mutex<Option<(Bytes, Bytes)>>,
}

impl RowEncoder {
    /// The pieces of a row.
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

    /// The deflated content; none where that fails, so that it goes out as it is.
    fn deflate(&self, content: &Bytes) -> Option<Bytes> {
        let mut last = self.last.lock();
        // Subscribers are sent clones of one content, which share their memory.
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

/// Joins pieces to rows.
#[derive(Debug, Default)]
pub struct RowDecoder {
    partial: BytesMut,
}

impl RowDecoder {
    /// Takes a piece; gives the row that it completes.
    pub fn decode(&mut self, chunk: wire::Row) -> Result<Option<Row>, LinkError> {
        let Some(content) = chunk.content else {
            return Ok(Some(Row {
                key: chunk.key,
                content: None,
            }));
        };
        self.partial.extend_from_slice(&content);
        if self.partial.len() as u64 > CONTENT_MAX_BYTES {
            return Err(LinkError::Protocol("a row is too long"));
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
