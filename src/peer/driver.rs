//! Runs the peer protocol of a process: accepts connections, dials requested peers and drives
//! the timer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use rand::RngExt;

use crate::config::settings::Peers;
use crate::error::Result;
use crate::peer::node::PeerNode;
use crate::peer::{advertised, link};
use crate::runtime::Runtime;

/// Interval at which members and links are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum interval between dials of a seed and a dead router, which heal partitions. Jitter
/// shortens it by up to half.
const HEAL_INTERVAL_MAX_MS: u64 = 2_000;

/// Opens the peer listener and starts the accept, dial and timer tasks.
pub fn start(node: &Arc<PeerNode>, runtime: &Runtime, peers: &Peers) -> Result<()> {
    let (listener, bound) = link::listen(peers.listen)?;
    node.set_addresses(bound, advertised(peers, bound));
    runtime.spawn_detached(accept_loop(runtime.clone(), Arc::clone(node), listener));
    runtime.spawn_detached(dial_loop(runtime.clone(), Arc::clone(node)));
    runtime.spawn_detached(tick_loop(Arc::clone(node), peers.seeds.clone()));
    Ok(())
}

async fn accept_loop(runtime: Runtime, node: Arc<PeerNode>, listener: smol::net::TcpListener) {
    loop {
        let accept = async { Some(listener.accept().await) };
        let stopped = async {
            node.stopped().await;
            None
        };
        match accept.or(stopped).await {
            None => return,
            Some(Ok((stream, _))) => {
                runtime.spawn_detached(link::accept(Arc::clone(&node), stream))
            }
            Some(Err(error)) => {
                log::warn!("event=peer_accept_failed error=\"{error}\"");
                smol::Timer::after(TICK_INTERVAL).await;
            }
        }
    }
}

async fn dial_loop(runtime: Runtime, node: Arc<PeerNode>) {
    loop {
        let stopped = async {
            node.stopped().await;
            None
        };
        let Some(dial) = node.next_dial().or(stopped).await else {
            return;
        };
        runtime.spawn_detached(link::dial(Arc::clone(&node), dial.name, dial.address));
    }
}

async fn tick_loop(node: Arc<PeerNode>, seeds: Vec<SocketAddr>) {
    let mut next_heal_ms = 0;
    while !node.is_stopping() {
        node.tick();
        if node.now_ms() >= next_heal_ms {
            node.heal(&seeds);
            let jitter_ms = rand::rng().random_range(0..HEAL_INTERVAL_MAX_MS / 2);
            next_heal_ms = node.now_ms() + HEAL_INTERVAL_MAX_MS / 2 + jitter_ms;
        }
        let pause = async {
            smol::Timer::after(TICK_INTERVAL).await;
        };
        pause.or(node.stopped()).await;
    }
}
