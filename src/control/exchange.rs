//! Publishes this router's load reports and counts of requests to the other routers, and
//! applies theirs.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use futures_lite::FutureExt;

use crate::control::config::ConfigStore;
use crate::control::load::LoadTable;
use crate::control::probe::{ProbeResponse, ProbeResponses};
use crate::control::teams::Teams;
use crate::decide::load::Report;
use crate::edge::clock::Clock;
use crate::ids::{RouterId, ServerId, TeamId};
use crate::peer::{Delta, Health, PeerHandle, Scope, ServerRow, TeamShareRow, UseRow};
use crate::runtime::Shutdown;

/// A report is repeated after this time even if nothing changed, so that the copies at other
/// routers do not become stale.
const REPORT_REPEAT_MS: u64 = 2_000;
/// Counts are repeated after this time, since peers remove rows after 30 s.
const COUNT_REPEAT_MS: u64 = 10_000;
/// Changes of the load below this fraction of the slots are not published.
const LOAD_STEP: f64 = 1.0 / 32.0;
/// Maximum servers for which load is published to the whole fleet. In a larger fleet it is
/// published within the zone only, as the rows would exceed the limit for control traffic.
const FLEET_SERVERS_MAX: usize = 200;

/// The value published last for a key, and when.
#[derive(Debug, Clone, Copy)]
struct PublishedValue {
    value: u32,
    at_ms: u64,
}

/// Values published last, by key; decides which have to be published again.
#[derive(Debug)]
struct PublishedValues<K>(HashMap<K, PublishedValue>);

impl<K> Default for PublishedValues<K> {
    fn default() -> Self {
        Self(HashMap::new())
    }
}

impl<K> PublishedValues<K>
where
    K: Clone + Eq + std::hash::Hash,
{
    /// Whether `value` has to be published; if so, records it as published.
    fn is_due(&mut self, key: &K, value: u32, step: u32, repeat_ms: u64, now_ms: u64) -> bool {
        let is_due = match self.0.get(key) {
            None => value > 0,
            Some(published) => {
                let is_changed = published.value.abs_diff(value) >= step.max(1);
                let is_old = now_ms.saturating_sub(published.at_ms) >= repeat_ms;
                is_changed || (is_old && value > 0)
            }
        };
        if is_due {
            let published = PublishedValue {
                value,
                at_ms: now_ms,
            };
            self.0.insert(key.clone(), published);
        }
        is_due
    }

    /// Keys whose value published last is not 0.
    fn nonzero_keys(&self) -> Vec<K> {
        let nonzero = self.0.iter().filter(|(_, published)| published.value > 0);
        nonzero.map(|(key, _)| key.clone()).collect()
    }
}

/// Publishes load and the teams' requests in flight to the other routers.
pub struct LoadExchange {
    /// Other routers.
    pub peers: PeerHandle,
    /// Servers whose load is published.
    pub config: ConfigStore,
    /// Load of the servers.
    pub load: LoadTable,
    /// Requests in flight by team.
    pub teams: Teams,
    /// Responses to this router's probes that are not published yet.
    pub responses: ProbeResponses,
    /// Clock for ages and repetition times.
    pub clock: Arc<dyn Clock>,
    /// Time between publications.
    pub period: Duration,
}

#[derive(Debug, Default)]
struct Published {
    reports: PublishedValues<ServerId>,
    uses: PublishedValues<ServerId>,
    teams: PublishedValues<TeamId>,
}

impl LoadExchange {
    /// Publishes until the shutdown.
    pub async fn run(self, stop: Shutdown) {
        let mut published = Published::default();
        while !stop.is_triggered() {
            self.remove_lost_routers();
            let rows = self.rows(&mut published);
            if !rows.is_empty() {
                self.peers.publish_all(self.scope(), rows);
            }
            let pause = smol::Timer::after(self.period);
            async {
                pause.await;
            }
            .or(stop.wait())
            .await;
        }
    }

    fn scope(&self) -> Scope {
        match self.config.current().inventory.servers.len() {
            0..=FLEET_SERVERS_MAX => Scope::Fleet,
            _ => Scope::Zone,
        }
    }

    fn remove_lost_routers(&self) {
        let routers = self.peers.routers();
        let is_retained = |health| matches!(health, Health::Alive | Health::Suspect);
        let live: Vec<RouterId> = routers
            .iter()
            .filter(|router| is_retained(router.health))
            .map(|router| router.name.clone())
            .collect();
        self.load.retain_routers(|router| live.contains(router));
        self.teams.retain_routers(&live);
    }

    fn rows(&self, published: &mut Published) -> Vec<Delta> {
        let now_ms = self.clock.monotonic_ms();
        let mut rows = Vec::new();
        for (server, response) in std::mem::take(&mut *self.responses.lock()) {
            let held = response.report.held;
            let step = (f64::from(response.report.slots) * LOAD_STEP) as u32;
            // Adding 1 makes a load of 0 publishable: is_due neither publishes an initial 0 nor
            // repeats a 0.
            let value = held + 1;
            if published
                .reports
                .is_due(&server, value, step, REPORT_REPEAT_MS, now_ms)
            {
                rows.push(Delta::Server(server_row(server, &response, now_ms)));
            }
        }
        let configuration = self.config.current();
        for server in configuration.inventory.servers.keys() {
            let in_flight = self.load.own_requests(server);
            if published
                .uses
                .is_due(server, in_flight, 1, COUNT_REPEAT_MS, now_ms)
            {
                let server = server.clone();
                rows.push(Delta::Use(UseRow { server, in_flight }));
            }
        }
        rows.extend(self.team_rows(published, now_ms));
        rows
    }

    fn team_rows(&self, published: &mut Published, now_ms: u64) -> Vec<Delta> {
        let mut counts: HashMap<TeamId, u32> = self.teams.counts_to_publish().into_iter().collect();
        for team in published.teams.nonzero_keys() {
            counts.entry(team).or_insert(0);
        }
        let due = counts.into_iter().filter(|(team, count)| {
            published
                .teams
                .is_due(team, *count, 1, COUNT_REPEAT_MS, now_ms)
        });
        due.map(|(team, in_flight)| {
            Delta::TeamShare(TeamShareRow {
                team,
                in_flight,
                rate_milli_per_s: 0,
            })
        })
        .collect()
    }
}

fn server_row(server: ServerId, response: &ProbeResponse, now_ms: u64) -> ServerRow {
    ServerRow {
        server,
        incarnation: response.report.incarnation,
        running: response.running,
        waiting: response.waiting,
        slots: response.report.slots,
        health: Health::Alive,
        age_ms: now_ms.saturating_sub(response.report.as_of_ms) as u32,
    }
}

/// Applies the rows that other routers publish.
pub struct LoadReceiver {
    /// Rows with the routers that published them.
    pub rows: Receiver<(RouterId, Delta)>,
    /// Teams of the inventory.
    pub config: ConfigStore,
    /// Load of the servers.
    pub load: LoadTable,
    /// Requests in flight by team.
    pub teams: Teams,
    /// Clock for the times of reports.
    pub clock: Arc<dyn Clock>,
}

impl LoadReceiver {
    /// Applies rows until the peers' channel closes.
    pub async fn run(self) {
        while let Ok((router, delta)) = self.rows.recv().await {
            self.apply(&router, delta);
        }
    }

    fn apply(&self, router: &RouterId, delta: Delta) {
        match delta {
            // A row without slots carries health only.
            Delta::Server(row) if row.slots > 0 => {
                let now_ms = self.clock.monotonic_ms();
                let report = Report {
                    incarnation: row.incarnation,
                    held: row.running + row.waiting,
                    slots: row.slots,
                    as_of_ms: now_ms.saturating_sub(row.age_ms.into()),
                };
                self.load.apply_report(&row.server, report);
            }
            Delta::Use(row) => {
                self.load
                    .set_peer_requests(router, &row.server, row.in_flight);
            }
            Delta::TeamShare(row) => {
                let configuration = self.config.current();
                if let Some(team) = configuration.inventory.teams.get(&row.team) {
                    self.teams.set_peer_requests(router, team, row.in_flight);
                }
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
