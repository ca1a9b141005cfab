//! Exchanges configuration changes and full texts with peers.

use async_channel::Receiver;
use futures_lite::FutureExt;

use crate::control::config::{ApplyResult, ConfigApplier, Head};
use crate::ids::{ConfigVersion, RouterId};
use crate::peer::wire::{ConfigChunk, ConfigRequest};
use crate::peer::{ConfigMessage, PeerHandle};
use crate::runtime::Shutdown;

/// Maximum bytes of the full text in one message.
const CHUNK_MAX_BYTES: usize = 32 * 1024;

/// A full text of which only the first bytes have been received.
#[derive(Debug, Default)]
struct PartialText {
    version: u64,
    bytes: Vec<u8>,
}

/// Applies the changes that peers push, requests missing versions and answers requests.
pub struct ConfigExchange {
    applier: ConfigApplier,
    peers: PeerHandle,
    messages: Receiver<(RouterId, ConfigMessage)>,
    partial: PartialText,
}

impl ConfigExchange {
    /// Subscribes to the configuration messages of peers.
    pub fn new(applier: ConfigApplier, peers: PeerHandle) -> Self {
        let messages = peers.subscribe_config();
        Self {
            applier,
            peers,
            messages,
            partial: PartialText::default(),
        }
    }

    /// Handles messages until the shutdown.
    pub async fn run(mut self, stop: Shutdown) {
        loop {
            let next = async { self.messages.recv().await.ok() };
            let stopped = async {
                stop.wait().await;
                None
            };
            match next.or(stopped).await {
                Some((from, message)) => self.handle(&from, message),
                None => return,
            }
        }
    }

    fn handle(&mut self, from: &RouterId, message: ConfigMessage) {
        match message {
            ConfigMessage::Change(push) => match self.applier.apply_change(&push) {
                ApplyResult::Applied => self.announce_version(),
                ApplyResult::Gap => self.request_newer(from),
                ApplyResult::Stale => {}
                ApplyResult::Invalid => self.request_full_text(from),
            },
            ConfigMessage::NewerVersion(version) if version > self.applier.version() => {
                self.request_newer(from)
            }
            ConfigMessage::NewerVersion(_) => {}
            ConfigMessage::Request(request) => self.answer(from, request),
            ConfigMessage::Chunk(chunk) => self.receive_chunk(from, chunk),
        }
    }

    fn announce_version(&self) {
        let configuration = self.applier.store().current();
        self.peers
            .set_servers(configuration.inventory.servers.keys());
        self.peers.set_config_version(configuration.version);
    }

    fn request_newer(&self, from: &RouterId) {
        self.send_request(from, self.applier.version().0);
    }

    /// Requests what follows version 0: peers answer that with the full text, never with
    /// changes.
    fn request_full_text(&self, from: &RouterId) {
        self.send_request(from, 0);
    }

    fn send_request(&self, to: &RouterId, have_version: u64) {
        let request = ConfigRequest {
            have_version,
            part_version: self.partial.version,
            offset: self.partial.bytes.len() as u64,
        };
        self.peers.send_config(to, ConfigMessage::Request(request));
    }

    fn answer(&self, to: &RouterId, request: ConfigRequest) {
        let have = ConfigVersion(request.have_version);
        if self.applier.version() <= have {
            return;
        }
        if let Some(changes) = self.applier.changes_after(have) {
            for change in changes {
                self.peers.send_config(to, ConfigMessage::Change(change));
            }
            return;
        }
        let Some((head, text)) = self.applier.full_text() else {
            return;
        };
        let bytes = text.as_bytes();
        let offset = match request.part_version == head.version.0 {
            true => (request.offset as usize).min(bytes.len()),
            false => 0,
        };
        let end = (offset + CHUNK_MAX_BYTES).min(bytes.len());
        let chunk = ConfigChunk {
            version: head.version.0,
            change_id: head.change_id,
            operator: head.operator,
            accepted_wall_ms: head.accepted_wall_ms,
            digest: head.digest,
            total_bytes: bytes.len() as u64,
            offset: offset as u64,
            bytes: bytes[offset..end].to_vec(),
        };
        self.peers.send_config(to, ConfigMessage::Chunk(chunk));
    }

    fn receive_chunk(&mut self, from: &RouterId, chunk: ConfigChunk) {
        if chunk.version <= self.applier.version().0 {
            return;
        }
        if chunk.version != self.partial.version {
            self.partial = PartialText {
                version: chunk.version,
                bytes: Vec::new(),
            };
        }
        // Drops a duplicate chunk: two peers may have been asked for the same one.
        if chunk.offset != self.partial.bytes.len() as u64 {
            return;
        }
        self.partial.bytes.extend_from_slice(&chunk.bytes);
        if (self.partial.bytes.len() as u64) < chunk.total_bytes {
            return self.request_full_text(from);
        }
        let bytes = std::mem::take(&mut self.partial).bytes;
        let head = Head {
            version: ConfigVersion(chunk.version),
            change_id: chunk.change_id,
            operator: chunk.operator,
            accepted_wall_ms: chunk.accepted_wall_ms,
            digest: chunk.digest,
        };
        if self.applier.apply_full_text(head, &bytes) == ApplyResult::Applied {
            self.announce_version();
        }
    }
}
