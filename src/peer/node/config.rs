//! Messages about the configuration: sends and forwards them and delivers them to subscribers.

use std::sync::atomic::Ordering;

use crate::ids::{ConfigVersion, RouterId};
use crate::peer::node::PeerNode;
use crate::peer::row::Delta;
use crate::peer::{ConfigMessage, ConfigPush, wire};

/// Name used as the sender of a change that an operator's command pushes.
const PUSH_SENDER: &str = "operator";

impl PeerNode {
    /// Sends an accepted change on all links, unless it was already sent or forwarded.
    pub(super) fn publish_config_change(&self, push: &ConfigPush) {
        let offered = self
            .config_version_offered
            .fetch_max(push.version.0, Ordering::Relaxed);
        if offered < push.version.0 {
            self.core
                .lock()
                .broadcast_config(&config_change_packet(push), None);
        }
    }

    /// Sends a message about the configuration to a linked router.
    pub fn send_config(&self, to: &RouterId, message: ConfigMessage) -> bool {
        let packet = match message {
            ConfigMessage::Change(push) => config_change_packet(&push),
            ConfigMessage::Request(request) => wire::Packet {
                config_request: Some(request),
                ..wire::Packet::default()
            },
            ConfigMessage::Chunk(chunk) => wire::Packet {
                config_chunk: Some(chunk),
                ..wire::Packet::default()
            },
            ConfigMessage::NewerVersion(_) => wire::Packet::default(),
        };
        self.core.lock().send_config_to(to.as_str(), packet)
    }

    /// Handles the changes that an operator's command pushes; other parts of the packet are
    /// ignored.
    pub fn handle_pushed_change(&self, packet: &wire::Packet) {
        let pushed = wire::Packet {
            changes: packet.changes.clone(),
            ..wire::Packet::default()
        };
        self.handle_config(None, PUSH_SENDER, &pushed);
    }

    pub(super) fn handle_config(&self, id: Option<u64>, from: &str, packet: &wire::Packet) {
        let from = RouterId::from(from);
        for change in &packet.changes {
            let offered = self
                .config_version_offered
                .fetch_max(change.version, Ordering::Relaxed);
            // Forwarded before it is in force here, so that the parsing times of the routers
            // along a path through the overlay do not add up.
            if offered < change.version {
                let forward = wire::Packet {
                    changes: vec![change.clone()],
                    ..wire::Packet::default()
                };
                self.core.lock().broadcast_config(&forward, id);
                self.notify(&self.subscribers, &from, Delta::Config(change.into()));
            }
            let message = ConfigMessage::Change(change.into());
            self.notify(&self.config_subscribers, &from, message);
        }
        if let Some(request) = packet.config_request {
            self.notify(
                &self.config_subscribers,
                &from,
                ConfigMessage::Request(request),
            );
        }
        if let Some(chunk) = &packet.config_chunk {
            self.notify(
                &self.config_subscribers,
                &from,
                ConfigMessage::Chunk(chunk.clone()),
            );
        }
        if packet.config_version > self.config_version() {
            let message = ConfigMessage::NewerVersion(ConfigVersion(packet.config_version));
            self.notify(&self.config_subscribers, &from, message);
        }
    }
}

fn config_change_packet(push: &ConfigPush) -> wire::Packet {
    wire::Packet {
        changes: vec![push.into()],
        ..wire::Packet::default()
    }
}
