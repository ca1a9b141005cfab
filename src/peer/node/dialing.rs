//! Which peers to dial: those that the core wants as time passes, and seeds so that partitions
//! heal.

use std::net::SocketAddr;

use rand::seq::IndexedRandom;

use super::{Dial, PeerNode};

impl PeerNode {
    /// Asks for a link to a router, unless one is being dialed.
    pub(super) fn dial(&self, name: &str) {
        let Some(peer) = self.core.lock().start_dial(name, self.now_ms()) else {
            return;
        };
        match peer.address.parse() {
            Ok(address) => self.request_dial(Dial {
                name: Some(peer.name),
                address,
            }),
            Err(_) => self.dial_ended(name, false),
        }
    }

    /// Asks for links to a seed and to a dead router, or to all seeds where there is no link.
    pub fn heal(&self, seeds: &[SocketAddr]) {
        let core = self.core.lock();
        let is_open = |seed: &&SocketAddr| {
            let text = seed.to_string();
            text != core.own.address && !core.is_linked_to(&text)
        };
        let unlinked: Vec<SocketAddr> = seeds.iter().filter(is_open).copied().collect();
        let has_links = core.links().next().is_some();
        let dead = core.dead_routers();
        drop(core);
        let picked = match has_links {
            true => unlinked
                .choose(&mut rand::rng())
                .into_iter()
                .copied()
                .collect(),
            false => unlinked,
        };
        let known: Vec<String> = self
            .core
            .lock()
            .others()
            .map(|(info, ..)| info.address.clone())
            .collect();
        for seed in picked {
            if !has_links || !known.contains(&seed.to_string()) {
                self.request_dial(Dial {
                    name: None,
                    address: seed,
                });
            }
        }
        if let Some(name) = dead.choose(&mut rand::rng()) {
            self.dial(name);
        }
    }

    /// Passes time to the core.
    pub fn tick(&self) {
        let (dials, has_changed) = self.core.lock().tick(self.now_ms());
        if has_changed {
            self.refresh_routers();
        }
        for name in dials {
            self.dial(&name);
        }
    }
}
