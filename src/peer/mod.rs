//! The peer protocol: what routers tell each other, over an overlay of fixed degree.

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

/// A router as this one sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RouterView {
    /// Its name.
    pub name: RouterId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its liveness.
    pub health: Health,
}

/// A message about the configuration, for `control::config`.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigMessage {
    /// A change was accepted.
    Change(ConfigPush),
    /// The peer has this version in force, which is higher than the own one.
    NewerVersion(ConfigVersion),
    /// The peer asks for what it lacks.
    Request(wire::ConfigRequest),
    /// Part of a whole text that was asked for.
    Chunk(wire::ConfigChunk),
}

/// Handle on the peer protocol of this process. Clones share the same state.
#[derive(Clone)]
pub struct PeerHandle {
    node: Arc<PeerNode>,
}

impl PeerHandle {
    /// Opens the listener and starts to keep links. Without `[peers]` in the settings the
    /// process stays alone: it has no peers and what it publishes goes nowhere.
    pub fn bind(
        settings: &RouterSettings,
        runtime: &Runtime,
        clock: &Arc<dyn Clock>,
        stop: &Shutdown,
    ) -> Result<Self> {
        let node = PeerNode::open(settings, clock, stop);
        if let Some(peers) = &settings.peers {
            driver::start(&node, runtime, peers)?;
        }
        Ok(Self { node })
    }

    /// Publishes a row to all routers. A row replaces the one that this process published
    /// before for the same server, team or fingerprint.
    pub fn publish(&self, delta: Delta) {
        self.node.publish(Scope::Fleet, vec![delta]);
    }

    /// Publishes rows together, which takes less traffic than one by one.
    pub fn publish_all(&self, scope: Scope, deltas: Vec<Delta>) {
        self.node.publish(scope, deltas);
    }

    /// Rows from other routers, each with its publisher, beginning with those that still
    /// hold; a row that arrives meanwhile may come twice. The channel is bounded and drops
    /// the oldest rows when they are not read.
    pub fn subscribe(&self) -> Receiver<(RouterId, Delta)> {
        self.node.subscribe()
    }

    /// Messages about the configuration, each with the router at the link's other end.
    pub fn subscribe_config(&self) -> Receiver<(RouterId, ConfigMessage)> {
        self.node.subscribe_config()
    }

    /// Sends a message about the configuration to a linked router; false without a link.
    pub fn send_config(&self, to: &RouterId, message: ConfigMessage) -> bool {
        self.node.send_config(to, message)
    }

    /// Tells peers which version is in force here.
    pub fn set_config_version(&self, version: ConfigVersion) {
        self.node.set_config_version(version);
    }

    /// Names the servers whose rows are delivered.
    pub fn set_servers<'a, I>(&self, servers: I)
    where
        I: Iterator<Item = &'a ServerId>,
    {
        self.node.set_servers(servers);
    }

    /// All known routers, this one included, in order of their names.
    pub fn routers(&self) -> Arc<Vec<RouterView>> {
        self.node.routers()
    }

    /// Names of the routers at the other ends of open links.
    pub fn linked_routers(&self) -> Vec<RouterId> {
        self.node.linked_routers()
    }

    /// Address of the peer listener; none without `[peers]`.
    pub fn address(&self) -> Option<SocketAddr> {
        self.node.address()
    }

    /// Tells peers that this process stops.
    pub async fn leave(&self) {
        self.node.leave().await;
    }

    /// Whether this router knows routers of other zones, reaches none of them and so serves
    /// with what its zone holds.
    pub fn is_cut_off(&self) -> bool {
        let routers = self.routers();
        let own_zone = self.node.own().zone;
        let mut others = routers
            .iter()
            .filter(|router| router.zone.as_str() != own_zone && router.health != Health::Leaving)
            .peekable();
        others.peek().is_some() && others.all(|router| router.health != Health::Alive)
    }

    /// State for the dump.
    pub fn dump(&self) -> Value {
        self.node.dump()
    }
}

/// Pushes an accepted change to the seeds of these settings; says how many took it.
pub async fn push_config(settings: &Peers, change: &ConfigPush) -> usize {
    let pushes = settings
        .seeds
        .iter()
        .map(|seed| link::push_config(*seed, &settings.shared_key, change));
    let taken = futures_util::future::join_all(pushes).await;
    taken.iter().filter(|result| result.is_ok()).count()
}

/// Address that peers dial, from the settings and the bound listener.
fn advertised(settings: &Peers, bound: SocketAddr) -> SocketAddr {
    settings.advertise.unwrap_or(bound)
}
