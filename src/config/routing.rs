//! Routes by host and path, the services behind them and the keys of teams.

#[cfg(test)]
mod tests;

use std::sync::Arc;

use indexmap::IndexMap;

use crate::ids::{ConfigVersion, Repeat, ServiceId, TeamId};

/// A service as one destination of a route.
#[derive(Debug, Clone, PartialEq)]
pub struct Destination {
    /// The service.
    pub service: ServiceId,
    /// Its part of the route's requests, in proportion to the other weights.
    pub weight: u32,
}

/// How the requests of one path prefix are handled.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Where its requests go; one of these for each request.
    pub destinations: Vec<Destination>,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Whether the answers are event streams.
    pub is_stream: bool,
    /// Whether a stream may go on at another server after the last event delivered.
    pub can_resume: bool,
    /// Most servers that may run one request.
    pub attempts_max: u32,
    /// Longest time that a caller is kept waiting.
    pub timeout_ms: u64,
    /// Time within which an answer, or the first event of a stream, is on time.
    pub latency_target_ms: u64,
    /// Longest pause between events for which a stream is on time.
    pub gap_target_ms: Option<u64>,
    /// Rank, 0 is the most urgent.
    pub priority: u32,
    /// Whether callers need no key.
    pub is_public: bool,
}

impl Route {
    /// The destination for a number that is the same for requests that belong together.
    ///
    /// ```
    /// use jujubeusher::config::routing::Route;
    /// # use jujubeusher::ids::Repeat;
    /// # let route = Route { name: "r".into(), destinations: vec![], repeat: Repeat::Once,
    /// #     is_stream: false, can_resume: false, attempts_max: 1, timeout_ms: 1, latency_target_ms: 1,
    /// #     gap_target_ms: None, priority: 0, is_public: true };
    /// assert_eq!(route.destination(7), None);
    /// ```
    pub fn destination(&self, draw: u64) -> Option<&ServiceId> {
        let total: u64 = self.destinations.iter().map(|d| u64::from(d.weight)).sum();
        let mut left = draw.checked_rem(total)?;
        for destination in &self.destinations {
            let weight = u64::from(destination.weight);
            if left < weight {
                return Some(&destination.service);
            }
            left -= weight;
        }
        None
    }
}

/// A service that routes lead to.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutedService {
    /// Connections that each of its servers accepts from all callers together.
    pub connections_max: u32,
}

/// The team that a key belongs to.
#[derive(Debug, Clone, PartialEq)]
pub struct KeyOwner {
    /// The team.
    pub team: TeamId,
    /// Rank that goes before the route's.
    pub priority: Option<u32>,
}

/// What callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest body.
    pub body_bytes: usize,
    /// Longest time for which a connection may lie idle.
    pub idle_ms: u64,
    /// Longest time for a whole header block.
    pub header_ms: u64,
}

/// One whole version of the routes.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutingTable {
    /// Its version.
    pub version: ConfigVersion,
    /// Routes by host, then by path prefix.
    pub hosts: IndexMap<String, IndexMap<String, Arc<Route>>>,
    /// Services by name.
    pub services: IndexMap<ServiceId, RoutedService>,
    /// Holders of the callers' keys; none where no keys are in use.
    pub keys: Option<IndexMap<String, KeyOwner>>,
    /// What callers may send.
    pub limits: CallerLimits,
}

impl RoutingTable {
    /// The route of a request: the longest prefix of its path among the routes of its host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(&host_name(host))?;
        // Prefixes end with a slash, so only the parts of the path up to a slash can match.
        path.char_indices()
            .rev()
            .filter(|(_, c)| *c == '/')
            .find_map(|(index, _)| routes.get(&path[..=index]))
    }
}

/// A host without its port, in lower case.
fn host_name(host: &str) -> String {
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.to_ascii_lowercase()
}
