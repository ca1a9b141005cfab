//! A modelled router: the product's decisions with the knowledge that one router has.

use indexmap::IndexMap;
use jujubeusher::decide::fleet_counts::{Counts, FleetCounts};
use jujubeusher::decide::load::{Report, ServerLoad};
use jujubeusher::decide::placement::{AtCapacity, PromptDemand, Server, place};
use jujubeusher::decide::rendezvous::score;
use jujubeusher::ids::{Incarnation, ServerId};

use crate::scenario::Policy;

/// Age of a count that another router tells, as the product assumes it.
const PEER_COUNT_AGE_MS: u64 = 150;

/// One router.
#[derive(Debug)]
pub struct Router {
    servers: Vec<(ServerId, u32)>,
    loads: Vec<ServerLoad>,
    peer_counts: IndexMap<usize, u32>,
    in_flight_by_prompt: IndexMap<u64, u32>,
    router_count: usize,
    /// Counts told over its links.
    pub fleet_counts: FleetCounts,
}

impl Router {
    /// A router that knows these servers and their slots, and nothing of their load.
    pub fn new(servers: &[(ServerId, u32)], routers: usize) -> Self {
        Self {
            servers: servers.to_vec(),
            loads: vec![ServerLoad::default(); servers.len()],
            peer_counts: IndexMap::new(),
            in_flight_by_prompt: IndexMap::new(),
            router_count: routers,
            fleet_counts: FleetCounts::default(),
        }
    }

    /// Server for a request; none where it is to be refused.
    pub fn choose_server(
        &self,
        policy: Policy,
        prompt: u64,
        tried: &[usize],
        draw: u64,
        now_ms: u64,
    ) -> Option<usize> {
        let candidates = (0..self.servers.len()).filter(|server| !tried.contains(server));
        let seen: Vec<Server> = candidates
            .map(|server| self.estimated_load(server, now_ms))
            .collect();
        let rank = |s: &Server| score(prompt, s.id.as_str(), f64::from(s.slots));
        let first = match policy {
            Policy::Deployed => place_first(
                &seen,
                Some(self.prompt_demand(prompt, self.router_count)),
                draw,
            ),
            Policy::Unspread => place_first(&seen, Some(self.prompt_demand(prompt, 0)), draw),
            Policy::TwoChoices => place_first(&seen, None, draw),
            Policy::Prompt => {
                let best = seen.iter().max_by(|a, b| rank(a).total_cmp(&rank(b)));
                best.map(|server| server.id.clone())
            }
            Policy::Random => seen
                .get(draw as usize % seen.len().max(1))
                .map(|s| s.id.clone()),
        }?;
        self.servers.iter().position(|(id, _)| *id == first)
    }

    fn prompt_demand(&self, shared_hash: u64, routers: usize) -> PromptDemand {
        PromptDemand {
            shared_hash,
            own_in_flight: self
                .in_flight_by_prompt
                .get(&shared_hash)
                .copied()
                .unwrap_or(0),
            routers,
        }
    }

    fn estimated_load(&self, server: usize, now_ms: u64) -> Server {
        let (id, slots) = self.servers[server].clone();
        let view = self.loads[server].view(now_ms);
        Server { id, slots, view }
    }

    /// Notes that a request was sent.
    pub fn record_sent(&mut self, server: usize, prompt: u64, now_ms: u64) {
        *self.in_flight_by_prompt.entry(prompt).or_default() += 1;
        self.loads[server].start(now_ms);
    }

    /// Notes that a request has ended.
    pub fn record_finished(&mut self, server: usize, prompt: u64, now_ms: u64) {
        if let Some(count) = self.in_flight_by_prompt.get_mut(&prompt) {
            *count = count.saturating_sub(1);
        }
        self.loads[server].finish(now_ms);
    }

    /// Takes up the load that a server tells with an answer.
    pub fn apply_load_report(&mut self, server: usize, held: u32, now_ms: u64) {
        self.loads[server].apply_report(Report {
            incarnation: Incarnation(1),
            held,
            slots: self.servers[server].1,
            as_of_ms: now_ms,
        });
    }

    /// Its requests on each server.
    pub fn own_counts(&self) -> Counts {
        let counts = self.loads.iter().enumerate();
        let counts = counts.map(|(server, load)| (server as u64, load.own_in_flight()));
        counts.filter(|(_, count)| *count > 0).collect()
    }

    /// Puts what the links told into the estimates.
    pub fn apply_counts(&mut self, now_ms: u64) {
        let others = self.fleet_counts.others(&self.own_counts());
        for (server, load) in self.loads.iter_mut().enumerate() {
            let after = others.get(&(server as u64)).copied().unwrap_or(0);
            let before = self.peer_counts.insert(server, after).unwrap_or(0);
            load.record_peer_count(now_ms.saturating_sub(PEER_COUNT_AGE_MS), before, after);
        }
    }
}

fn place_first(seen: &[Server], prompt: Option<PromptDemand>, draw: u64) -> Option<ServerId> {
    match place(seen, prompt, draw) {
        Ok(order) => order.into_iter().next(),
        Err(AtCapacity) => None,
    }
}
