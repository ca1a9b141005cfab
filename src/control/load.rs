//! Load of the backend servers as known to this router: the servers' reports, this router's
//! requests in flight and those that other routers publish.

use std::sync::Arc;

use indexmap::IndexMap;
use parking_lot::Mutex;

use crate::config::inventory::BackendServer;
use crate::decide::load::{LoadView, Report, ServerLoad, estimate_fleet};
use crate::edge::clock::Clock;
use crate::ids::{Incarnation, RouterId, ServerId};

const SHARDS: usize = 16;
/// Mean age of a count published by another router: half an exchange period plus the batching
/// delay of the link.
const PEER_COUNT_AGE_MS: u64 = 150;

#[derive(Debug, Default)]
struct Entry {
    load: ServerLoad,
    /// Last known requests in flight of the other routers.
    counts: IndexMap<RouterId, u32>,
}

type Shard = Mutex<IndexMap<ServerId, Entry>>;

/// Load of all backend servers. Clones share the same state.
#[derive(Clone)]
pub struct LoadTable {
    clock: Arc<dyn Clock>,
    shards: Arc<[Shard; SHARDS]>,
}

impl LoadTable {
    /// Creates an empty table.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            shards: Arc::new(std::array::from_fn(|_| Mutex::new(IndexMap::new()))),
        }
    }

    fn with_entry<T>(&self, server: &ServerId, change: impl FnOnce(&mut Entry) -> T) -> T {
        let hash = xxhash_rust::xxh3::xxh3_64(server.as_str().as_bytes());
        let mut shard = self.shards[hash as usize % SHARDS].lock();
        if let Some(entry) = shard.get_mut(server) {
            return change(entry);
        }
        change(shard.entry(server.clone()).or_default())
    }

    /// Current view of a server's load.
    pub fn view(&self, server: &ServerId) -> LoadView {
        let now_ms = self.clock.monotonic_ms();
        self.with_entry(server, |entry| entry.load.view(now_ms))
    }

    /// Estimated loads of the servers of one target, in the order of `servers`.
    pub fn estimates(&self, servers: &[&BackendServer]) -> Vec<f64> {
        let views: Vec<LoadView> = servers.iter().map(|s| self.view(&s.id)).collect();
        let slots = || servers.iter().map(|server| server.slots);
        let fleet = estimate_fleet(views.iter().copied().zip(slots()));
        let pairs = views.iter().zip(slots());
        pairs.map(|(view, s)| view.estimate(s, &fleet)).collect()
    }

    /// The last report of a server; none before the first one.
    pub fn last_report(&self, server: &ServerId) -> Option<Report> {
        self.with_entry(server, |entry| entry.load.last_report())
    }

    /// Incarnation of a server as last reported; 0 without a report.
    pub fn incarnation(&self, server: &ServerId) -> Incarnation {
        let report = self.last_report(server);
        report.map_or(Incarnation(0), |report| report.incarnation)
    }

    /// Age of the last report in ms; none before the first one.
    pub fn age_ms(&self, server: &ServerId) -> Option<u64> {
        let now_ms = self.clock.monotonic_ms();
        self.with_entry(server, |entry| entry.load.age_ms(now_ms))
    }

    /// Requests of this router in flight on a server.
    pub fn own_requests(&self, server: &ServerId) -> u32 {
        self.with_entry(server, |entry| entry.load.own_in_flight())
    }

    /// Applies a report unless a newer one is known; returns whether it was applied.
    pub fn apply_report(&self, server: &ServerId, report: Report) -> bool {
        self.with_entry(server, |entry| entry.load.apply_report(report))
    }

    /// Records how long work takes on a server's host, in percent of the usual time.
    pub fn record_speed(&self, server: &ServerId, percent: u32) {
        let now_ms = self.clock.monotonic_ms();
        self.with_entry(server, |entry| entry.load.record_speed(percent, now_ms));
    }

    /// Sets another router's number of requests in flight on a server.
    pub fn set_peer_requests(&self, router: &RouterId, server: &ServerId, count: u32) {
        let at_ms = self.clock.monotonic_ms().saturating_sub(PEER_COUNT_AGE_MS);
        self.with_entry(server, |entry| {
            let before = match count {
                0 => entry.counts.swap_remove(router),
                _ => entry.counts.insert(router.clone(), count),
            };
            entry
                .load
                .record_peer_count(at_ms, before.unwrap_or(0), count);
        });
    }

    /// Removes the counts of routers that are not live.
    pub fn retain_routers(&self, is_live: impl Fn(&RouterId) -> bool) {
        let now_ms = self.clock.monotonic_ms();
        for shard in self.shards.iter() {
            for entry in shard.lock().values_mut() {
                let Entry { load, counts } = entry;
                counts.retain(|router, count| {
                    let is_kept = is_live(router);
                    if !is_kept {
                        load.record_peer_count(now_ms, *count, 0);
                    }
                    is_kept
                });
            }
        }
    }

    /// Counts a request on a server until the ticket is dropped.
    pub fn start_request(&self, server: &ServerId) -> LoadTicket {
        let now_ms = self.clock.monotonic_ms();
        self.with_entry(server, |entry| entry.load.start(now_ms));
        LoadTicket {
            table: self.clone(),
            server: server.clone(),
        }
    }
}

/// One request in flight on a server; dropping it ends the count.
pub struct LoadTicket {
    table: LoadTable,
    server: ServerId,
}

impl Drop for LoadTicket {
    fn drop(&mut self) {
        let now_ms = self.table.clock.monotonic_ms();
        self.table
            .with_entry(&self.server, |entry| entry.load.finish(now_ms));
    }
}
