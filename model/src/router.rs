//! A modelled router: the product's decision code, with the information available to one router.

use indexmap::IndexMap;
use jujubeusher::decide::fleet_counts::{Counts, FleetCounts};
use jujubeusher::decide::load::{Report, ServerLoad};
use jujubeusher::decide::offers::Offers;
use jujubeusher::decide::placement::{AtCapacity, COUNTS_AGE_MS, PromptDemand, Server, place};
use jujubeusher::decide::rendezvous::score;
use jujubeusher::ids::{Incarnation, ServerId};

use crate::scenario::Policy;

/// Assumed age of a count received from another router, as in the product.
const PEER_COUNT_AGE_MS: u64 = 150;

/// A router and its estimates of the servers' loads.
#[derive(Debug)]
pub struct Router {
    servers: Vec<(ServerId, u32)>,
    loads: Vec<ServerLoad>,
    peer_counts: IndexMap<usize, u32>,
    in_flight_by_prompt: IndexMap<u64, u32>,
    router_count: usize,
    offers: Offers,
    /// Counts received over the router's links.
    pub fleet_counts: FleetCounts,
}

impl Router {
    /// Creates a router that knows the servers and their slots but not their loads.
    pub fn new(servers: &[(ServerId, u32)], routers: usize) -> Self {
        Self {
            servers: servers.to_vec(),
            loads: vec![ServerLoad::default(); servers.len()],
            peer_counts: IndexMap::new(),
            in_flight_by_prompt: IndexMap::new(),
            router_count: routers,
            offers: Offers::default(),
            fleet_counts: FleetCounts::default(),
        }
    }

    /// Chooses a server for a request among those not yet tried; `None` refuses the request.
    pub fn choose_server(
        &mut self,
        policy: Policy,
        prompt: u64,
        tried: &[usize],
        draw: u64,
        now_ms: u64,
    ) -> Option<usize> {
        self.offers.record_offer(now_ms);
        let candidates = (0..self.servers.len()).filter(|server| !tried.contains(server));
        let servers: Vec<Server> = candidates
            .map(|server| self.estimated_load(server, now_ms))
            .collect();
        let rank = |s: &Server| score(prompt, s.id.as_str(), f64::from(s.slots));
        let first = match policy {
            Policy::Deployed => place_first(
                &servers,
                Some(self.prompt_demand(prompt, self.router_count, now_ms)),
                draw,
            ),
            Policy::Unspread => {
                place_first(&servers, Some(self.prompt_demand(prompt, 0, now_ms)), draw)
            }
            Policy::TwoChoices => place_first(&servers, None, draw),
            Policy::Prompt => {
                let best = servers.iter().max_by(|a, b| rank(a).total_cmp(&rank(b)));
                best.map(|server| server.id.clone())
            }
            Policy::Random => servers
                .get(draw as usize % servers.len().max(1))
                .map(|s| s.id.clone()),
        }?;
        self.servers.iter().position(|(id, _)| *id == first)
    }

    fn prompt_demand(&self, shared_hash: u64, routers: usize, now_ms: u64) -> PromptDemand {
        PromptDemand {
            shared_hash,
            own_in_flight: self
                .in_flight_by_prompt
                .get(&shared_hash)
                .copied()
                .unwrap_or(0),
            routers,
            offers: self.offers.recent(COUNTS_AGE_MS, now_ms),
        }
    }

    fn estimated_load(&self, server: usize, now_ms: u64) -> Server {
        let (id, slots) = self.servers[server].clone();
        let view = self.loads[server].view(now_ms);
        Server { id, slots, view }
    }

    /// Records that a request was sent to a server.
    pub fn record_sent(&mut self, server: usize, prompt: u64, now_ms: u64) {
        *self.in_flight_by_prompt.entry(prompt).or_default() += 1;
        self.loads[server].start(now_ms);
        self.offers.record_placed(now_ms);
    }

    /// Records that a request at a server has ended.
    pub fn record_finished(&mut self, server: usize, prompt: u64, now_ms: u64) {
        if let Some(count) = self.in_flight_by_prompt.get_mut(&prompt) {
            *count = count.saturating_sub(1);
        }
        self.loads[server].finish(now_ms);
    }

    /// Applies the load that a server reports with a response.
    pub fn apply_load_report(
        &mut self,
        server: usize,
        load: u32,
        speed_percent: Option<u32>,
        now_ms: u64,
    ) {
        if let Some(percent) = speed_percent {
            self.loads[server].record_speed(percent, now_ms);
        }
        self.loads[server].apply_report(Report {
            incarnation: Incarnation(1),
            held: load,
            slots: self.servers[server].1,
            as_of_ms: now_ms,
        });
    }

    /// Number of the router's own requests in flight on each server.
    pub fn own_counts(&self) -> Counts {
        let counts = self.loads.iter().enumerate();
        let counts = counts.map(|(server, load)| (server as u64, load.own_in_flight()));
        counts.filter(|(_, count)| *count > 0).collect()
    }

    /// Applies the counts received from other routers to the load estimates.
    pub fn apply_counts(&mut self, now_ms: u64) {
        let others = self.fleet_counts.others(&self.own_counts());
        for (server, load) in self.loads.iter_mut().enumerate() {
            let after = others.get(&(server as u64)).copied().unwrap_or(0);
            let before = self.peer_counts.insert(server, after).unwrap_or(0);
            load.record_peer_count(now_ms.saturating_sub(PEER_COUNT_AGE_MS), before, after);
        }
    }
}

fn place_first(servers: &[Server], prompt: Option<PromptDemand>, draw: u64) -> Option<ServerId> {
    match place(servers, prompt, draw) {
        Ok(order) => order.into_iter().next(),
        Err(AtCapacity) => None,
    }
}
