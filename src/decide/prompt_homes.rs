//! Prompt homes: the servers that last prefilled the shared parts of prompts, as known to this
//! router.

#[cfg(test)]
mod tests;

use indexmap::IndexMap;

use crate::ids::ServerId;

/// Maximum number of prompts stored; the least recently used are evicted first.
const HOMES_MAX: usize = 4_096;
/// Time in ms for which a server is assumed to keep the parts in its cache, from which the least
/// recently used ones are evicted when its memory is full.
const HOME_KEEP_MS: u64 = 30_000;

#[derive(Debug, Clone, PartialEq, Eq)]
struct Home {
    server: ServerId,
    used_ms: u64,
}

/// The server that last ran a request with each shared prompt.
#[derive(Debug, Default)]
pub struct PromptHomes {
    homes: IndexMap<u64, Home>,
}

impl PromptHomes {
    /// Records that a server runs a request with these shared parts.
    pub fn record(&mut self, shared_hash: u64, server: &ServerId, now_ms: u64) {
        let home = Home {
            server: server.clone(),
            used_ms: now_ms,
        };
        // Removed first, so that the map stays in the order of last use.
        self.homes.shift_remove(&shared_hash);
        if self.homes.len() >= HOMES_MAX {
            self.homes.shift_remove_index(0);
        }
        self.homes.insert(shared_hash, home);
    }

    /// The server that probably still holds the shared parts in its cache.
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
        (home.used_ms + HOME_KEEP_MS > now_ms).then_some(&home.server)
    }
}

/// The server from which `target` should fetch the shared parts, or `None` if it probably holds
/// them itself or no other server is known.
///
/// The source is the known home of the prompt, or otherwise the first server in the prompt's
/// rendezvous `order`, which all routers prefer. If that is `target` itself and it has just
/// joined, the source is the second server, which was the first one until then.
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
