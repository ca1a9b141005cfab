//! Routing table of the gateway: routes by host and path, the services behind them and the keys of
//! teams.

#[cfg(test)]
mod tests;

use std::sync::Arc;

use indexmap::IndexMap;

use crate::ids::{ConfigVersion, Repeat, ServiceId, TeamId};

/// A service that receives requests of a route.
#[derive(Debug, Clone, PartialEq)]
pub struct Destination {
    /// Service that receives the requests.
    pub service: ServiceId,
    /// Share of the route's requests, relative to the sum of the weights of all its destinations.
    pub weight: u32,
}

/// How the requests of one path prefix are handled.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name in the routing table.
    pub name: String,
    /// Services between which the requests are split; each request is sent to one of them.
    pub destinations: Vec<Destination>,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Whether the responses are event streams.
    pub is_stream: bool,
    /// Whether another server may continue a broken stream after the last delivered event.
    pub can_resume: bool,
    /// Maximum number of servers that may run one request.
    pub attempts_max: u32,
    /// Maximum time for a request. The caller may set a shorter time, but not a longer one.
    pub timeout_ms: u64,
    /// Target for the time until the response or, for a stream, its first event.
    pub latency_target_ms: u64,
    /// Target for the longest gap between the events of a stream; `None` if the route has none.
    pub gap_target_ms: Option<u64>,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u32,
    /// Whether requests are accepted without a key.
    pub is_public: bool,
}

impl Route {
    /// Returns the destination for a hash, in proportion to the weights; `None` if there is no
    /// destination with a weight. Related requests have the same hash, so that the same service
    /// gets them.
    ///
    /// ```
    /// use jujubeusher::config::routing::Route;
    /// # use jujubeusher::ids::Repeat;
    /// # let route = Route { name: "r".into(), destinations: vec![], repeat: Repeat::Once,
    /// #     is_stream: false, can_resume: false, attempts_max: 1, timeout_ms: 1,
    /// #     latency_target_ms: 1, gap_target_ms: None, priority: 0, is_public: true };
    /// assert_eq!(route.destination(7), None);
    /// ```
    pub fn destination(&self, hash: u64) -> Option<&ServiceId> {
        let total: u64 = self.destinations.iter().map(|d| u64::from(d.weight)).sum();
        let mut remainder = hash.checked_rem(total)?;
        for destination in &self.destinations {
            let weight = u64::from(destination.weight);
            if remainder < weight {
                return Some(&destination.service);
            }
            remainder -= weight;
        }
        None
    }
}

/// A service that is the destination of routes.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutedService {
    /// Maximum number of connections that each server of the service accepts in total.
    pub connections_max: u32,
    /// How long its servers are cold; `None` if it has no cold servers.
    pub cold: Option<ColdService>,
}

/// Behavior of a service's servers after their start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdService {
    /// Time for which a server is cold after its start.
    pub cold_ms: u64,
    /// Requests a second that a cold server tolerates from all routers together.
    pub per_s: f64,
}

/// The team that a key belongs to, with its priority.
#[derive(Debug, Clone, PartialEq)]
pub struct KeyOwner {
    /// Team that the key belongs to.
    pub team: TeamId,
    /// Priority that overrides that of the route; `None` to use the route's.
    pub priority: Option<u32>,
}

/// Limits on the requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Maximum time for which a connection may be idle.
    pub idle_timeout_ms: u64,
    /// Maximum time for receiving a complete header block.
    pub header_timeout_ms: u64,
}

/// One version of the complete routing configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutingTable {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Routes by host, then by path prefix.
    pub hosts: IndexMap<String, IndexMap<String, Arc<Route>>>,
    /// Services by id.
    pub services: IndexMap<ServiceId, RoutedService>,
    /// Owners of the callers' keys, by key; `None` if keys are not used.
    pub keys: Option<IndexMap<String, KeyOwner>>,
    /// Limits on the requests and connections of callers.
    pub limits: CallerLimits,
}

impl RoutingTable {
    /// Returns the route of a request: of the routes of its host, the one with the longest prefix
    /// of its path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(&normalize_host(host))?;
        // Prefixes end with a slash, so only the parts of the path that end with a slash can match.
        path.char_indices()
            .rev()
            .filter(|(_, c)| *c == '/')
            .find_map(|(index, _)| routes.get(&path[..=index]))
    }
}

/// Returns a host without its port, in lower case.
fn normalize_host(host: &str) -> String {
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.to_ascii_lowercase()
}
