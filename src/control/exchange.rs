//! Tells other routers what this one knows of load and teams, and takes up what they tell.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use futures_lite::FutureExt;

use crate::control::config::ConfigStore;
use crate::control::load::LoadTable;
use crate::control::probe::{ProbeAnswer, ProbeAnswers};
use crate::control::teams::Teams;
use crate::decide::load::Report;
use crate::edge::clock::Clock;
use crate::ids::{RouterId, ServerId, TeamId};
use crate::peer::{Delta, Health, PeerHandle, Scope, ServerRow, TeamShareRow, UseRow};
use crate::runtime::Shutdown;

/// A report is repeated after this time even if nothing changed, before the one that the
/// others have grows stale.
const REPORT_REPEAT_MS: u64 = 2_000;
/// Counts are repeated after this time, since peers forget rows after 30 s.
const COUNT_REPEAT_MS: u64 = 10_000;
/// Changes of the load below this part of the slots are not told.
const LOAD_STEP: f64 = 1.0 / 32.0;
/// Servers up to which all routers tell each other about all of them. In a larger fleet each
/// zone keeps to itself, as the rows would not fit the control traffic.
const FLEET_SERVERS_MAX: usize = 200;

/// A number as last told, and when.
#[derive(Debug, Clone, Copy)]
struct Told {
    value: u32,
    at_ms: u64,
}

/// Which numbers have to be told again.
#[derive(Debug)]
struct Memory<K>(HashMap<K, Told>);

impl<K> Default for Memory<K> {
    fn default() -> Self {
        Self(HashMap::new())
    }
}

impl<K> Memory<K>
where
    K: Clone + Eq + std::hash::Hash,
{
    /// Whether `value` has to be told; notes it if so.
    fn is_due(&mut self, key: &K, value: u32, step: u32, repeat_ms: u64, now_ms: u64) -> bool {
        let is_due = match self.0.get(key) {
            None => value > 0,
            Some(told) => {
                let is_changed = told.value.abs_diff(value) >= step.max(1);
                let is_old = now_ms.saturating_sub(told.at_ms) >= repeat_ms;
                is_changed || (is_old && value > 0)
            }
        };
        if is_due {
            let told = Told {
                value,
                at_ms: now_ms,
            };
            self.0.insert(key.clone(), told);
        }
        is_due
    }

    /// Keys last told with a number other than 0.
    fn told(&self) -> Vec<K> {
        let nonzero = self.0.iter().filter(|(_, told)| told.value > 0);
        nonzero.map(|(key, _)| key.clone()).collect()
    }
}

/// Exchanges load and shares with the other routers.
pub struct LoadExchange {
    /// Other routers.
    pub peers: PeerHandle,
    /// Servers and teams.
    pub config: ConfigStore,
    /// Load of the servers.
    pub load: LoadTable,
    /// Use by teams.
    pub teams: Teams,
    /// Answers of this router's probes.
    pub answers: ProbeAnswers,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Time between exchanges.
    pub period: Duration,
}

#[derive(Debug, Default)]
struct Sent {
    reports: Memory<ServerId>,
    uses: Memory<ServerId>,
    teams: Memory<TeamId>,
}

impl LoadExchange {
    /// Tells until the shutdown.
    pub async fn run(self, stop: Shutdown) {
        let mut sent = Sent::default();
        while !stop.is_triggered() {
            self.forget_lost_routers();
            let rows = self.rows(&mut sent);
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

    fn forget_lost_routers(&self) {
        let routers = self.peers.routers();
        let is_there = |health| matches!(health, Health::Alive | Health::Suspect);
        let live: Vec<RouterId> = routers
            .iter()
            .filter(|router| is_there(router.health))
            .map(|router| router.name.clone())
            .collect();
        self.load.retain_routers(|router| live.contains(router));
        self.teams.retain_routers(&live);
    }

    fn rows(&self, sent: &mut Sent) -> Vec<Delta> {
        let now_ms = self.clock.monotonic_ms();
        let mut rows = Vec::new();
        for (server, answer) in std::mem::take(&mut *self.answers.lock()) {
            let held = answer.report.held;
            let step = (f64::from(answer.report.slots) * LOAD_STEP) as u32;
            // A load of 0 counts as a change on the first report only; one more tells it.
            let value = held + 1;
            if sent
                .reports
                .is_due(&server, value, step, REPORT_REPEAT_MS, now_ms)
            {
                rows.push(Delta::Server(server_row(server, &answer, now_ms)));
            }
        }
        let configuration = self.config.current();
        for server in configuration.inventory.servers.keys() {
            let in_flight = self.load.own_requests(server);
            if sent
                .uses
                .is_due(server, in_flight, 1, COUNT_REPEAT_MS, now_ms)
            {
                let server = server.clone();
                rows.push(Delta::Use(UseRow { server, in_flight }));
            }
        }
        rows.extend(self.team_rows(sent, now_ms));
        rows
    }

    fn team_rows(&self, sent: &mut Sent, now_ms: u64) -> Vec<Delta> {
        let mut counts: HashMap<TeamId, u32> = self.teams.counts_to_publish().into_iter().collect();
        for team in sent.teams.told() {
            counts.entry(team).or_insert(0);
        }
        let due = counts
            .into_iter()
            .filter(|(team, count)| sent.teams.is_due(team, *count, 1, COUNT_REPEAT_MS, now_ms));
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

fn server_row(server: ServerId, answer: &ProbeAnswer, now_ms: u64) -> ServerRow {
    ServerRow {
        server,
        incarnation: answer.report.incarnation,
        running: answer.running,
        waiting: answer.waiting,
        slots: answer.report.slots,
        health: Health::Alive,
        age_ms: now_ms.saturating_sub(answer.report.as_of_ms) as u32,
    }
}

/// Takes up the rows of other routers.
pub struct LoadReceiver {
    /// Rows with their publishers.
    pub rows: Receiver<(RouterId, Delta)>,
    /// Teams of the inventory.
    pub config: ConfigStore,
    /// Load of the servers.
    pub load: LoadTable,
    /// Use by teams.
    pub teams: Teams,
    /// Time.
    pub clock: Arc<dyn Clock>,
}

impl LoadReceiver {
    /// Reads until the peers stop.
    pub async fn run(self) {
        while let Ok((router, delta)) = self.rows.recv().await {
            self.take(&router, delta);
        }
    }

    fn take(&self, router: &RouterId, delta: Delta) {
        match delta {
            // Rows with no slots tell of health only.
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
