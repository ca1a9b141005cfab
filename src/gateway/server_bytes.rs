//! Bytes of request bodies that this router has in flight to each backend server.
//!
//! Answers the load of many large bodies at once: a server whose memory the requests in its hands
//! exceed crashes.

#[cfg(test)]
mod tests;

use std::sync::Arc;

use indexmap::IndexMap;
use parking_lot::Mutex;

use crate::decide::memory_plan::SMALL_MAX_BYTES;
use crate::ids::ServerId;

/// Part of the bound that large bodies leave to small ones.
const SMALL_DIVISOR: usize = 8;

/// Bytes in flight by server. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct ServerBytes(Arc<Mutex<IndexMap<ServerId, usize>>>);

impl ServerBytes {
    /// Counts a body of `bytes` as in flight until the ticket is dropped; `None` if the server would
    /// hold more than `max_bytes`. One body alone may always be sent.
    ///
    /// ```
    /// use jujubeusher::gateway::server_bytes::ServerBytes;
    /// use jujubeusher::ids::ServerId;
    /// let (bytes, server) = (ServerBytes::default(), ServerId::from("i-1"));
    /// let first = bytes.try_start(&server, 9_000_000, 10_000_000);
    /// assert!(first.is_some());
    /// assert!(bytes.try_start(&server, 500_000, 10_000_000).is_none());
    /// assert!(bytes.try_start(&server, 500, 10_000_000).is_some());
    /// drop(first);
    /// assert!(bytes.try_start(&server, 500_000, 10_000_000).is_some());
    /// ```
    pub fn try_start(
        &self,
        server: &ServerId,
        bytes: usize,
        max_bytes: usize,
    ) -> Option<BytesTicket> {
        let kept_bytes = match bytes <= SMALL_MAX_BYTES {
            true => 0,
            false => max_bytes / SMALL_DIVISOR,
        };
        let mut by_server = self.0.lock();
        let held_bytes = by_server.get(server).copied().unwrap_or(0);
        if held_bytes > 0 && held_bytes + bytes > max_bytes - kept_bytes {
            return None;
        }
        if bytes > 0 {
            by_server.insert(server.clone(), held_bytes + bytes);
        }
        drop(by_server);
        Some(BytesTicket {
            by_server: self.clone(),
            server: server.clone(),
            bytes,
        })
    }
}

/// Bytes of one attempt; dropping it ends their count.
#[derive(Debug)]
pub struct BytesTicket {
    by_server: ServerBytes,
    server: ServerId,
    bytes: usize,
}

impl Drop for BytesTicket {
    fn drop(&mut self) {
        let mut by_server = self.by_server.0.lock();
        if let Some(held_bytes) = by_server.get_mut(&self.server) {
            *held_bytes -= self.bytes;
            if *held_bytes == 0 {
                by_server.swap_remove(&self.server);
            }
        }
    }
}
