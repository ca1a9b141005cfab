//! Encoding of rows for the wire: large contents are deflated and split into chunks that fit a
//! frame.
//!
//! A configuration with 1,600 routes is larger than a frame. Without compression a seed with a
//! link of 10 Mbit/s would take several seconds to send it to thirty subscribers.

#[cfg(test)]
mod tests;

use std::io::{Read, Write};
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use parking_lot::Mutex;

use prost::Message as _;

use crate::gateway::relay::wire;
use crate::gateway::table::{Row, Rows};
use crate::peer::frame::LinkError;

/// Minimum length of a deflated content; for shorter ones the savings do not pay for the work.
const DEFLATE_MIN_BYTES: usize = 2_048;
/// Maximum length of a chunk: a quarter of the largest frame, since a message has at most two.
const CHUNK_BYTES: usize = 64 * 1024;
/// Maximum length of an accepted content, many times the largest known configuration.
const CONTENT_MAX_BYTES: u64 = 16 << 20;

/// Maximum length of a deflated batch: half of the largest frame.
const BATCH_MAX_BYTES: usize = 128 * 1024;
/// Minimum number of rows that are packed: the entries of servers resemble each other, so a batch
/// shrinks from a few rows on.
const PACK_MIN_ROWS: usize = 8;
/// Size of rows from which a batch is closed, before it is deflated.
const BATCH_TARGET_BYTES: usize = 512 * 1024;

/// Encodes rows; deflates contents and batches once for all subscribers.
#[derive(Debug, Default)]
pub struct RowEncoder {
    /// The content deflated last, and its deflated form.
    last: Mutex<Option<(Bytes, Bytes)>>,
    /// The rows packed last, and their batches.
    last_packed: Mutex<Option<Packed>>,
}

#[derive(Debug)]
struct Packed {
    rows: Arc<Rows>,
    batches: Arc<[Bytes]>,
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

    /// Encodes the rows of an update as deflated batches; `None` if there are few, or a row or a
    /// batch is too large for a frame, so that they are sent one by one.
    pub fn pack(&self, rows: &Arc<Rows>) -> Option<Arc<[Bytes]>> {
        let is_small = |row: &Row| row.content.as_ref().is_none_or(|c| c.len() < CHUNK_BYTES);
        if rows.rows.len() < PACK_MIN_ROWS || !rows.rows.iter().all(is_small) {
            return None;
        }
        let mut last = self.last_packed.lock();
        // Snapshots for subscribers that come at the same moment are equal.
        let is_same =
            |known: &&Packed| Arc::ptr_eq(&known.rows, rows) || known.rows.rows == rows.rows;
        if let Some(known) = last.as_ref().filter(is_same) {
            return Some(Arc::clone(&known.batches));
        }
        let mut batches = Vec::new();
        let mut batch = wire::RowBatch::default();
        let mut bytes = 0;
        for row in &rows.rows {
            bytes += row.key.len() + row.content.as_ref().map_or(0, Bytes::len);
            batch.rows.push(wire::Row {
                key: row.key.clone(),
                content: row.content.clone(),
                ..wire::Row::default()
            });
            if bytes >= BATCH_TARGET_BYTES {
                batches.push(deflate_bytes(&std::mem::take(&mut batch).encode_to_vec())?);
                bytes = 0;
            }
        }
        if !batch.rows.is_empty() {
            batches.push(deflate_bytes(&batch.encode_to_vec())?);
        }
        if batches.iter().any(|batch| batch.len() > BATCH_MAX_BYTES) {
            return None;
        }
        let batches: Arc<[Bytes]> = batches.into();
        *last = Some(Packed {
            rows: Arc::clone(rows),
            batches: Arc::clone(&batches),
        });
        Some(batches)
    }

    /// Deflates a content; `None` if that fails, so that it is sent uncompressed.
    fn deflate(&self, content: &Bytes) -> Option<Bytes> {
        let mut last = self.last.lock();
        // Updates to the subscribers are clones of one content, which share its memory.
        let is_same = |known: &Bytes| known.as_ptr() == content.as_ptr() && known == content;
        if let Some((_, deflated)) = last.as_ref().filter(|(known, _)| is_same(known)) {
            return Some(deflated.clone());
        }
        let deflated = deflate_bytes(content)?;
        *last = Some((content.clone(), deflated.clone()));
        Some(deflated)
    }
}

fn deflate_bytes(bytes: &[u8]) -> Option<Bytes> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    match encoder.write_all(bytes).and_then(|()| encoder.finish()) {
        Ok(deflated) => Some(Bytes::from(deflated)),
        Err(error) => {
            log::error!(
                "event=deflate_failed bytes={} error=\"{error}\"",
                bytes.len()
            );
            None
        }
    }
}

/// Joins chunks into rows.
#[derive(Debug, Default)]
pub struct RowDecoder {
    partial: BytesMut,
}

impl RowDecoder {
    /// Decodes a deflated batch; empty bytes have no rows.
    pub fn unpack(&mut self, packed: &Bytes) -> Result<Vec<Row>, LinkError> {
        if packed.is_empty() {
            return Ok(Vec::new());
        }
        let batch = wire::RowBatch::decode(inflate(packed)?)?;
        let rows = batch.rows.into_iter().map(|row| Row {
            key: row.key,
            content: row.content,
        });
        Ok(rows.collect())
    }

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
