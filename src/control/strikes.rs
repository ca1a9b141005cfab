//! Records strikes against requests that ran while a server crashed, isolates struck requests
//! and determines whether a server has crashed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::Deserialize;

use crate::config::inventory::{BackendServer, Target};
use crate::decide::part_strikes::CrashedRun;
use crate::decide::rendezvous::score;
use crate::decide::strikes::{
    Evidence, Fingerprint, Incarnation, Quarantine, Snapshot, SoundPart, StrikeDelta, StrikePolicy,
    StrikeStatus, StrikeTracker,
};
use crate::decide::trials::Refused;
use crate::http::client::{CallError, Client};
use crate::http::pool::connect;
use crate::ids::{RouterId, ServerId};

/// Timeout of a probe of a server whose connection broke.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Consecutive probes that must fail without a timeout before a server that still accepts
/// connections counts as crashed.
const CRASH_PROBES: u32 = 3;
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// Crash of a server while it ran a request.
#[derive(Debug, Clone, Copy)]
pub struct ServerCrash {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Time for which the request had run.
    pub ran_ms: u64,
    /// Monotonic time of the crash.
    pub now_ms: u64,
}

#[derive(Debug)]
struct Inner {
    tracker: Mutex<StrikeTracker>,
    /// False while no request is struck, so that a normal request acquires no lock.
    is_active: AtomicBool,
    /// Known incarnations of engines; none while the first query is in flight.
    incarnations: Mutex<IndexMap<ServerId, Option<u64>>>,
    router_hash: u64,
    /// Wakes the task that publishes strikes to the peers.
    change_signal: (Sender<()>, Receiver<()>),
}

/// Strikes known to this router. Clones share the same state.
#[derive(Debug, Clone)]
pub struct Strikes(Arc<Inner>);

/// Permit to run a struck request in isolation; dropping it allows the next struck request.
#[derive(Debug)]
pub struct Isolation {
    strikes: Strikes,
    fingerprint: Fingerprint,
    /// Server that runs the request.
    pub server: ServerId,
}

impl Drop for Isolation {
    fn drop(&mut self) {
        self.strikes.0.tracker.lock().release(self.fingerprint);
    }
}

#[derive(Deserialize)]
struct LoadReport {
    incarnation: u64,
}

impl Strikes {
    /// Creates a state without strikes.
    pub fn new(router: &RouterId) -> Self {
        Self::with_tracker(router, StrikeTracker::new())
    }

    /// Like `new`; a completion of a request also ends its quarantine.
    pub fn lifting_on_completion(router: &RouterId) -> Self {
        Self::with_tracker(router, StrikeTracker::lifting_on_completion())
    }

    fn with_tracker(router: &RouterId, tracker: StrikeTracker) -> Self {
        Self(Arc::new(Inner {
            tracker: Mutex::new(tracker),
            is_active: AtomicBool::new(false),
            incarnations: Mutex::default(),
            router_hash: xxhash_rust::xxh3::xxh3_64(router.as_str().as_bytes()),
            change_signal: async_channel::bounded(1),
        }))
    }

    fn notify(&self) {
        // If the channel is full, the task is about to run anyway.
        let _ = self.0.change_signal.0.try_send(());
    }

    /// Waits until there are changes to publish to the peers.
    pub async fn wait_for_change(&self) {
        let _ = self.0.change_signal.1.recv().await;
    }

    fn is_active(&self) -> bool {
        self.0.is_active.load(Ordering::Acquire)
    }

    /// Whether a request may run now, and whether it must run in isolation.
    pub fn status(
        &self,
        fingerprint: Fingerprint,
        now_ms: u64,
        policy: StrikePolicy,
    ) -> StrikeStatus {
        if !self.is_active() {
            return StrikeStatus::Clear;
        }
        self.0.tracker.lock().status(fingerprint, now_ms, policy)
    }

    /// Number of struck and quarantined requests.
    pub fn len(&self) -> usize {
        self.0.tracker.lock().len()
    }

    /// Number of requests in quarantine, which are refused.
    pub fn quarantined_count(&self, now_ms: u64) -> usize {
        self.0.tracker.lock().quarantined_count(now_ms)
    }

    /// Whether no request is struck.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Records that a server crashed while it ran a request; returns the request's new status.
    pub fn record_crash(
        &self,
        server: &ServerId,
        crash: ServerCrash,
        policy: StrikePolicy,
    ) -> StrikeStatus {
        let run = CrashedRun {
            parts: Vec::new(),
            request: crash.fingerprint,
            caller: 0,
            server: server.clone(),
            started_ms: crash.now_ms.saturating_sub(crash.ran_ms),
            at_ms: crash.now_ms,
            is_silent: false,
        };
        let status = self.record_run_crash(run, policy);
        self.0.incarnations.lock().swap_remove(server);
        status
    }

    /// Records that a server crashed while it ran a request, and that each part of the request's
    /// prompt may be the cause; returns the request's new status.
    pub fn record_run_crash(&self, run: CrashedRun, policy: StrikePolicy) -> StrikeStatus {
        let (fingerprint, server) = (run.request, run.server.clone());
        let ran_ms = run.at_ms.saturating_sub(run.started_ms);
        let now_ms = run.at_ms;
        let mut tracker = self.0.tracker.lock();
        let status = tracker.on_run_crash(run, policy);
        self.0.is_active.store(true, Ordering::Release);
        log::warn!(
            "event=strike fingerprint={fingerprint} server={server} ran_ms={ran_ms} standing={}",
            status.name(),
        );
        log_quarantined_parts(&mut tracker, now_ms);
        drop(tracker);
        self.notify();
        status
    }

    /// Records that a server went on with an answer to a request of this caller with these parts.
    pub fn record_answer(&self, parts: &[Fingerprint], caller: u64, now_ms: u64) {
        if parts.is_empty() {
            return;
        }
        let mut tracker = self.0.tracker.lock();
        let is_news = tracker.on_answer_begun(parts, caller, now_ms);
        log_lifted(&mut tracker);
        drop(tracker);
        if is_news {
            self.notify();
        }
    }

    /// Applies the sound parts that another router published; returns those that were new.
    pub fn apply_sound(&self, sound: &[SoundPart], now_ms: u64) -> Vec<SoundPart> {
        let mut tracker = self.0.tracker.lock();
        let sound = sound.iter().copied();
        let changed = sound.filter(|sound| tracker.apply_sound(*sound, now_ms));
        let changed = changed.collect();
        log_lifted(&mut tracker);
        changed
    }

    /// Removes and returns the sound parts since the last call, to be published to other routers.
    pub fn drain_sound(&self, now_ms: u64) -> Vec<SoundPart> {
        self.0.tracker.lock().drain_sound(now_ms)
    }

    /// Quarantines that refuse the requests of a caller with these parts, one for each part that is
    /// refused.
    pub fn refused_parts(
        &self,
        parts: &[Fingerprint],
        caller: u64,
        now_ms: u64,
    ) -> Vec<(Refused, Quarantine)> {
        if !self.is_active() {
            return Vec::new();
        }
        let tracker = self.0.tracker.lock();
        tracker.refused_parts(parts, caller, now_ms)
    }

    /// Whether a quarantine is in force.
    pub fn is_in_force(&self, verdict: Fingerprint, now_ms: u64) -> bool {
        self.is_active() && self.0.tracker.lock().is_in_force(verdict, now_ms)
    }

    /// Records that a server completed a request.
    pub fn record_completion(&self, fingerprint: Fingerprint, server: &ServerId, now_ms: u64) {
        if self.is_active() {
            let mut tracker = self.0.tracker.lock();
            tracker.on_completed(fingerprint, server, now_ms);
            log_lifted(&mut tracker);
            self.0
                .is_active
                .store(!tracker.is_empty(), Ordering::Release);
            drop(tracker);
            self.notify();
        }
    }

    /// Reserves a server that runs no other struck request, if the request may start now. Each
    /// router has its own order of preference, so that two routers rarely choose the same server.
    pub fn isolate(&self, fingerprint: Fingerprint, candidates: &[ServerId]) -> Option<Isolation> {
        let mut ordered = candidates.to_vec();
        let preference = |server: &ServerId| score(self.0.router_hash, server.as_str(), 1.0);
        ordered.sort_by(|a, b| preference(b).total_cmp(&preference(a)));
        let server = self.0.tracker.lock().isolate(fingerprint, &ordered)?;
        Some(Isolation {
            strikes: self.clone(),
            fingerprint,
            server,
        })
    }

    /// Removes and returns the changes since the last call, to be published to the peers.
    pub fn drain_outgoing(&self, now_ms: u64) -> Vec<StrikeDelta> {
        self.0.tracker.lock().drain_outgoing(now_ms)
    }

    /// Applies the changes that another router published; returns those that were new.
    pub fn apply_remote(
        &self,
        deltas: &[StrikeDelta],
        now_ms: u64,
        policy: StrikePolicy,
    ) -> Vec<StrikeDelta> {
        let mut tracker = self.0.tracker.lock();
        let mut changed = Vec::new();
        for delta in deltas {
            if tracker.apply_remote(delta, now_ms, policy) {
                changed.push(delta.clone());
                log::warn!(
                    "event=strike_from_peer fingerprint={} server={} standing={}",
                    delta.fingerprint,
                    delta.server,
                    tracker.status(delta.fingerprint, now_ms, policy).name(),
                );
            }
        }
        log_quarantined_parts(&mut tracker, now_ms);
        log_lifted(&mut tracker);
        self.0
            .is_active
            .store(!tracker.is_empty(), Ordering::Release);
        drop(tracker);
        // Sound parts of the runs may have to be published.
        if !changed.is_empty() {
            self.notify();
        }
        changed
    }

    /// Applies quarantines from another router or from before a restart; returns those that begin
    /// or extend one.
    pub fn apply_quarantines(&self, quarantines: &[Quarantine], now_ms: u64) -> Vec<Quarantine> {
        let mut tracker = self.0.tracker.lock();
        let mut changed = Vec::new();
        for quarantine in quarantines {
            if tracker.apply_quarantine(*quarantine, now_ms) {
                changed.push(*quarantine);
                log::warn!(
                    "event=quarantine_learned fingerprint={} left_ms={}",
                    quarantine.fingerprint,
                    quarantine.left_ms,
                );
            }
        }
        self.0
            .is_active
            .store(!tracker.is_empty(), Ordering::Release);
        changed
    }

    /// Quarantines in force.
    pub fn quarantines(&self, now_ms: u64) -> Vec<Quarantine> {
        match self.is_active() {
            true => self.0.tracker.lock().quarantines(now_ms),
            false => Vec::new(),
        }
    }

    /// Crashes that count against a request, oldest first.
    pub fn evidence(&self, fingerprint: Fingerprint, now_ms: u64) -> Vec<Evidence> {
        self.0.tracker.lock().evidence(fingerprint, now_ms)
    }

    /// Whether a server crashed under any request, as far as this router or another one saw.
    pub fn has_server_crashed(&self, server: &ServerId) -> bool {
        self.is_active() && self.0.tracker.lock().has_crashed(server)
    }

    /// What a router that has just been linked needs to know.
    pub fn snapshot(&self, now_ms: u64, policy: StrikePolicy) -> Snapshot {
        match self.is_active() {
            true => self.0.tracker.lock().snapshot(now_ms, policy),
            false => Snapshot::default(),
        }
    }

    /// Remembers that a server completed a request, which proves it in case of later strikes.
    pub fn remember_completion(&self, fingerprint: Fingerprint, now_ms: u64) {
        let mut tracker = self.0.tracker.lock();
        tracker.remember_completion(fingerprint, now_ms);
    }

    /// Reviews the strikes that are old enough, and lifts the quarantines that they no longer
    /// justify. See [`StrikeTracker::review`].
    pub fn review<I>(
        &self,
        now_ms: u64,
        confirmed_after_ms: u64,
        policy: StrikePolicy,
        incarnation: I,
    ) where
        I: Fn(&ServerId, u64) -> Incarnation,
    {
        if !self.is_active() {
            return;
        }
        let mut tracker = self.0.tracker.lock();
        let lifted = tracker.review(now_ms, confirmed_after_ms, policy, incarnation);
        for fingerprint in lifted {
            log::info!("event=quarantine_lifted fingerprint={fingerprint} reason=servers_running");
        }
        self.0
            .is_active
            .store(!tracker.is_empty(), Ordering::Release);
    }

    /// Queries and records the incarnation of an engine at its first use, so that after a broken
    /// connection a restart of the engine can be detected.
    pub async fn record_incarnation(&self, backend: &BackendServer) {
        if !matches!(backend.target, Target::Model(_)) || !self.reserve_incarnation(&backend.id) {
            return;
        }
        let report = Client::new(backend.address, PROBE_TIMEOUT);
        let incarnation = read_incarnation(&report).await.ok().flatten();
        if incarnation.is_none() {
            self.0.incarnations.lock().swap_remove(&backend.id);
            return;
        }
        self.0
            .incarnations
            .lock()
            .insert(backend.id.clone(), incarnation);
    }

    /// Whether no incarnation of a server is recorded or being queried.
    pub fn is_first_use(&self, server: &ServerId) -> bool {
        !self.0.incarnations.lock().contains_key(server)
    }

    fn reserve_incarnation(&self, server: &ServerId) -> bool {
        let mut incarnations = self.0.incarnations.lock();
        let is_new = !incarnations.contains_key(server);
        if is_new {
            incarnations.insert(server.clone(), None);
        }
        is_new
    }

    /// Whether a server whose connection broke has crashed: it refuses connections, closes them
    /// without a response, or has a new incarnation. A broken connection alone does not prove
    /// it.
    pub async fn has_crashed(&self, backend: &BackendServer) -> bool {
        for probe in 0..CRASH_PROBES {
            if probe > 0 {
                smol::Timer::after(PROBE_INTERVAL).await;
            }
            if let Some(has_crashed) = self.probe(backend).await {
                return has_crashed;
            }
        }
        true
    }

    async fn probe(&self, backend: &BackendServer) -> Option<bool> {
        if let Some(has_crashed) = probe_tcp(backend.address).await {
            return Some(has_crashed);
        }
        if !matches!(backend.target, Target::Model(_)) {
            return Some(false);
        }
        let start = Instant::now();
        let client = Client::new(backend.address, PROBE_TIMEOUT);
        match read_incarnation(&client).await {
            Ok(found) => {
                let known = self.0.incarnations.lock().get(&backend.id).copied();
                let known = known.flatten();
                Some(known.is_some() && found.is_some() && found != known)
            }
            // A server that hangs has not crashed; its requests may still run.
            Err(_) if start.elapsed() >= PROBE_TIMEOUT => Some(false),
            Err(_) => None,
        }
    }
}

/// True (crashed) if the connection is refused, none (undecided) if it opens, false otherwise.
async fn probe_tcp(address: SocketAddr) -> Option<bool> {
    match connect(address, PROBE_TIMEOUT).await {
        Ok(_) => None,
        Err(error) => Some(error.kind() == std::io::ErrorKind::ConnectionRefused),
    }
}

async fn read_incarnation(client: &Client) -> Result<Option<u64>, CallError> {
    let response = client.get("/v1/load").await?;
    let report: Option<LoadReport> = serde_json::from_slice(&response.body).ok();
    Ok(report.map(|report| report.incarnation))
}

fn log_lifted(tracker: &mut StrikeTracker) {
    for fingerprint in tracker.drain_lifted() {
        log::info!("event=quarantine_lifted fingerprint={fingerprint} reason=answered");
    }
}

fn log_quarantined_parts(tracker: &mut StrikeTracker, now_ms: u64) {
    for fingerprint in tracker.drain_quarantined() {
        let evidence = tracker.evidence(fingerprint, now_ms);
        let servers: Vec<&str> = evidence.iter().map(|crash| crash.server.as_str()).collect();
        log::warn!(
            "event=part_quarantined fingerprint={fingerprint} servers={}",
            servers.join(","),
        );
    }
}
