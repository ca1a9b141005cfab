//! The peer protocol, by which routers exchange liveness, load, strikes and configuration
//! changes over an overlay network of fixed degree.

pub mod core;
mod driver;
pub mod frame;
mod link;
mod node;
pub mod outbox;
pub mod replica;
pub mod row;
#[rustfmt::skip]
#[allow(missing_docs)]
pub mod wire;

use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::Receiver;
use serde::Serialize;
use serde_json::Value;

use crate::config::settings::{Peers, RouterSettings};
use crate::edge::clock::Clock;
use crate::error::Result;
use crate::ids::{ConfigVersion, Incarnation, RegionId, RouterId, ServerId, ZoneId};
use crate::peer::node::PeerNode;
pub use crate::peer::row::{
    ConfigPush, Delta, Health, Scope, SectionChange, ServerRow, StrikeRow, TeamShareRow, UseRow,
};
use crate::runtime::{Runtime, Shutdown};

/// Identity of a router and its health as seen by this process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RouterView {
    /// Name from the settings; unique in the fleet.
    pub name: RouterId,
    /// Availability zone of its host.
    pub zone: ZoneId,
    /// Region of its host.
    pub region: RegionId,
    /// Highest incarnation that is known here.
    pub incarnation: Incarnation,
    /// Health in this incarnation.
    pub health: Health,
}

/// A message about the configuration, handled by `control::config`.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigMessage {
    /// A change was accepted.
    Change(ConfigPush),
    /// The peer has this version in force, which is higher than the one of this process.
    NewerVersion(ConfigVersion),
    /// The peer requests the changes or the text after the version that it has.
    Request(wire::ConfigRequest),
    /// Part of the full text, in response to a request.
    Chunk(wire::ConfigChunk),
}

/// Handle on the peer protocol of this process. Clones share the same state.
#[derive(Clone)]
pub struct PeerHandle {
    node: Arc<PeerNode>,
}

impl PeerHandle {
    /// Opens the listener and starts the tasks that maintain links. Without `[peers]` in the
    /// settings the process has no peers and its published rows are not sent to anyone.
    pub fn bind(
        settings: &RouterSettings,
        runtime: &Runtime,
        clock: &Arc<dyn Clock>,
        stop: &Shutdown,
    ) -> Result<Self> {
        let node = PeerNode::new(settings, clock, stop);
        if let Some(peers) = &settings.peers {
            driver::start(&node, runtime, peers)?;
        }
        Ok(Self { node })
    }

    /// Publishes a row to all routers. A row replaces the previous one that this process
    /// published for the same server or team, or for the same fingerprint and server.
    pub fn publish(&self, delta: Delta) {
        self.node.publish(Scope::Fleet, vec![delta]);
    }

    /// Publishes rows as one group, which costs less traffic than one group per row.
    pub fn publish_all(&self, scope: Scope, deltas: Vec<Delta>) {
        self.node.publish(scope, deltas);
    }

    /// Subscribes to rows from other routers, each with its publisher. The stored rows come
    /// first; a row that is received during the call may be delivered twice. The channel is
    /// bounded: when the subscriber falls behind, the oldest rows are dropped.
    pub fn subscribe(&self) -> Receiver<(RouterId, Delta)> {
        self.node.subscribe()
    }

    /// Subscribes to messages about the configuration, each with the router that sent it over
    /// its link.
    pub fn subscribe_config(&self) -> Receiver<(RouterId, ConfigMessage)> {
        self.node.subscribe_config()
    }

    /// Sends a message about the configuration to a linked router. Returns false if there is no
    /// link to it.
    pub fn send_config(&self, to: &RouterId, message: ConfigMessage) -> bool {
        self.node.send_config(to, message)
    }

    /// Sets the configuration version in force, which each packet to peers carries.
    pub fn set_config_version(&self, version: ConfigVersion) {
        self.node.set_config_version(version);
    }

    /// Sets the servers whose rows are delivered to subscribers. Rows identify a server only by
    /// its hash, so rows of other servers are dropped.
    pub fn set_servers<'a, I>(&self, servers: I)
    where
        I: Iterator<Item = &'a ServerId>,
    {
        self.node.set_servers(servers);
    }

    /// All known routers, including this one, sorted by name.
    pub fn routers(&self) -> Arc<Vec<RouterView>> {
        self.node.routers()
    }

    /// Names of the routers that this process has open links to.
    pub fn linked_routers(&self) -> Vec<RouterId> {
        self.node.linked_routers()
    }

    /// Address of the peer listener; none without `[peers]` in the settings.
    pub fn address(&self) -> Option<SocketAddr> {
        self.node.address()
    }

    /// Notifies peers of the planned stop and waits briefly until the notice is sent.
    pub async fn leave(&self) {
        self.node.leave().await;
    }

    /// Whether this router knows routers in other zones but none of them is alive. It then
    /// continues to serve with the servers of its own zone.
    pub fn is_cut_off(&self) -> bool {
        let routers = self.routers();
        let own_zone = self.node.own().zone;
        let mut others = routers
            .iter()
            .filter(|router| router.zone.as_str() != own_zone && router.health != Health::Leaving)
            .peekable();
        others.peek().is_some() && others.all(|router| router.health != Health::Alive)
    }

    /// State of the peer protocol for the diagnostic dump.
    pub fn dump(&self) -> Value {
        self.node.dump()
    }
}

/// Pushes an accepted change to the seeds of these settings. Returns the number of seeds that
/// acknowledged it.
pub async fn push_config(settings: &Peers, change: &ConfigPush) -> usize {
    let pushes = settings
        .seeds
        .iter()
        .map(|seed| link::push_config(*seed, &settings.shared_key, change));
    let results = futures_util::future::join_all(pushes).await;
    results.iter().filter(|result| result.is_ok()).count()
}

/// Address that peers dial: `advertise` from the settings, or else the bound address.
fn advertised(settings: &Peers, bound: SocketAddr) -> SocketAddr {
    settings.advertise.unwrap_or(bound)
}
