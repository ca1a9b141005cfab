//! Selects the peers to dial: those that the core requests, and seeds and dead routers so that
//! partitions heal.

use std::net::SocketAddr;

use rand::seq::IndexedRandom;

use super::{DialRequest, PeerNode};

impl PeerNode {
    /// Requests a dial of a router unless it is linked, being dialed or in backoff.
    pub(super) fn dial(&self, name: &str) {
        let Some(peer) = self.core.lock().start_dial(name, self.now_ms()) else {
            return;
        };
        match peer.address.parse() {
            Ok(address) => self.request_dial(DialRequest {
                name: Some(peer.name),
                address,
            }),
            Err(_) => self.dial_ended(name, false),
        }
    }

    /// Requests a dial of a random unlinked seed, unless it is a known router, and of a random
    /// dead router. Without any link it requests dials of all seeds.
    pub fn heal(&self, seeds: &[SocketAddr]) {
        let core = self.core.lock();
        let is_unlinked = |seed: &&SocketAddr| {
            let text = seed.to_string();
            text != core.own.address && !core.is_linked_to(&text)
        };
        let unlinked: Vec<SocketAddr> = seeds.iter().filter(is_unlinked).copied().collect();
        let has_links = core.links().next().is_some();
        let dead = core.dead_routers();
        drop(core);
        let candidates = match has_links {
            true => unlinked
                .choose(&mut rand::rng())
                .into_iter()
                .copied()
                .collect(),
            false => unlinked,
        };
        let known_addresses: Vec<String> = self
            .core
            .lock()
            .others()
            .map(|(info, ..)| info.address.clone())
            .collect();
        for seed in candidates {
            if !has_links || !known_addresses.contains(&seed.to_string()) {
                self.request_dial(DialRequest {
                    name: None,
                    address: seed,
                });
            }
        }
        if let Some(name) = dead.choose(&mut rand::rng()) {
            self.dial(name);
        }
    }

    /// Advances the time of the core and dials the routers that it requests.
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
