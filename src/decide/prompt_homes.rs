//! Where the shared parts of prompts were read last, as far as this router knows.

#[cfg(test)]
mod tests;

use indexmap::IndexMap;

use crate::ids::ServerId;

/// Prompts that are remembered; the longest unused are forgotten first.
const HOMES_MAX: usize = 4_096;
/// Time for which a server is taken to keep the parts that it read; the least recently used
/// parts yield when its memory is full. Chosen, not measured.
const KEEP_MS: u64 = 30_000;

#[derive(Debug, Clone, PartialEq, Eq)]
struct Home {
    server: ServerId,
    used_ms: u64,
}

/// The last server of each shared prompt.
#[derive(Debug, Default)]
pub struct PromptHomes {
    homes: IndexMap<u64, Home>,
}

impl PromptHomes {
    /// Notes that a server runs a request with these shared parts.
    pub fn record(&mut self, shared_hash: u64, server: &ServerId, now_ms: u64) {
        let home = Home {
            server: server.clone(),
            used_ms: now_ms,
        };
        // The order of the map is the order of use.
        self.homes.shift_remove(&shared_hash);
        if self.homes.len() >= HOMES_MAX {
            self.homes.shift_remove_index(0);
        }
        self.homes.insert(shared_hash, home);
    }

    /// The server that probably holds the shared parts.
    ///
    /// ```
    /// use jujubeusher::decide::prompt_homes::PromptHomes;
    /// use jujubeusher::ids::ServerId;
    /// let mut homes = PromptHomes::default();
    /// homes.record(7, &ServerId::from("a"), 0);
    /// assert_eq!(homes.home(7, 10), Some(&ServerId::from("a")));
    /// assert_eq!(homes.home(8, 10), None);
    /// ```
    pub fn home(&self, shared_hash: u64, now_ms: u64) -> Option<&ServerId> {
        let home = self.homes.get(&shared_hash)?;
        (home.used_ms + KEEP_MS > now_ms).then_some(&home.server)
    }
}

/// The server from which `target` should fetch the shared parts, if it lacks them: where they
/// were last used, or else the first in the prompt's order, which every router prefers. A
/// server that is first itself and has just joined fetches from the second, which was first
/// before.
pub fn fetch_source<'a>(
    target: &ServerId,
    known: Option<&'a ServerId>,
    order: &'a [ServerId],
    has_just_joined: bool,
) -> Option<&'a ServerId> {
    let is_other = |server: &&ServerId| *server != target;
    match known {
        Some(home) => Some(home).filter(is_other),
        None if order.first() == Some(target) => order.get(1).filter(|_| has_just_joined),
        None => order.first(),
    }
}
