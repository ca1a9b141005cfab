//! Owns the strikes, isolates struck requests, and finds out whether a server died.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::Deserialize;

use crate::config::inventory::{BackendServer, Target};
use crate::decide::rendezvous::score;
use crate::decide::strikes::{Fingerprint, Standing, StrikeBook, StrikeDelta, StrikePolicy};
use crate::http::client::{CallError, Client};
use crate::http::pool::connect;
use crate::ids::{RouterId, ServerId};

/// Longest wait for a probe of a server whose connection broke.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Probes that must all break off before a server that still accepts counts as dead.
const PROBES: u32 = 3;
const PROBE_PAUSE: Duration = Duration::from_millis(50);

/// What a death leaves to decide: the request, how long it ran, and when.
#[derive(Debug, Clone, Copy)]
pub struct ServerDeath {
    /// The request that was running.
    pub fingerprint: Fingerprint,
    /// Time that it had run.
    pub ran_ms: u64,
    /// Monotonic time now.
    pub now_ms: u64,
}

#[derive(Debug)]
struct Inner {
    book: Mutex<StrikeBook>,
    /// False while no request is struck, so that the usual request takes no lock.
    is_active: AtomicBool,
    incarnations: Mutex<IndexMap<ServerId, Option<u64>>>,
    order_key: u64,
    /// Wakes the task that tells the peers.
    changed: (Sender<()>, Receiver<()>),
}

/// Owner of the strikes of this router.
#[derive(Debug, Clone)]
pub struct Strikes(Arc<Inner>);

/// A struck request that runs in isolation; dropping it lets the next one run.
#[derive(Debug)]
pub struct Isolation {
    strikes: Strikes,
    fingerprint: Fingerprint,
    /// The server that runs it.
    pub server: ServerId,
}

impl Drop for Isolation {
    fn drop(&mut self) {
        self.strikes.0.book.lock().release(self.fingerprint);
    }
}

#[derive(Deserialize)]
struct LoadReport {
    incarnation: u64,
}

impl Strikes {
    /// No strikes.
    pub fn open(router: &RouterId) -> Self {
        Self(Arc::new(Inner {
            book: Mutex::default(),
            is_active: AtomicBool::new(false),
            incarnations: Mutex::default(),
            order_key: xxhash_rust::xxh3::xxh3_64(router.as_str().as_bytes()),
            changed: async_channel::bounded(1),
        }))
    }

    fn notify(&self) {
        // A full channel means that the task is about to look anyway.
        let _ = self.0.changed.0.try_send(());
    }

    /// Waits until there is something to tell the peers.
    pub async fn wait_for_change(&self) {
        let _ = self.0.changed.1.recv().await;
    }

    fn is_active(&self) -> bool {
        self.0.is_active.load(Ordering::Acquire)
    }

    /// How a request may run now.
    pub fn standing(
        &self,
        fingerprint: Fingerprint,
        now_ms: u64,
        policy: StrikePolicy,
    ) -> Standing {
        if !self.is_active() {
            return Standing::Clear;
        }
        self.0.book.lock().standing(fingerprint, now_ms, policy)
    }

    /// Struck and quarantined requests.
    pub fn len(&self) -> usize {
        self.0.book.lock().len()
    }

    /// Requests that are refused now.
    pub fn quarantined_count(&self, now_ms: u64) -> usize {
        self.0.book.lock().quarantined(now_ms)
    }

    /// Whether no request is struck.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Notes that a server died while it ran a request.
    pub fn record_death(
        &self,
        server: &ServerId,
        death: ServerDeath,
        policy: StrikePolicy,
    ) -> Standing {
        let ServerDeath {
            fingerprint,
            ran_ms,
            now_ms,
        } = death;
        let standing = {
            let mut book = self.0.book.lock();
            let standing = book.on_death(fingerprint, server, ran_ms, now_ms, policy);
            self.0.is_active.store(true, Ordering::Release);
            standing
        };
        self.0.incarnations.lock().swap_remove(server);
        self.notify();
        log::warn!(
            "event=strike fingerprint={fingerprint} server={server} ran_ms={ran_ms} standing={}",
            standing_name(standing),
        );
        standing
    }

    /// Notes that a server ran a request to its end.
    pub fn record_completion(&self, fingerprint: Fingerprint, server: &ServerId, now_ms: u64) {
        if self.is_active() {
            let mut book = self.0.book.lock();
            book.on_completed(fingerprint, server, now_ms);
            self.0.is_active.store(!book.is_empty(), Ordering::Release);
            drop(book);
            self.notify();
        }
    }

    /// Starts a struck request on a server that runs no other one, if it may start now.
    /// Each router prefers other servers, so that two routers seldom isolate on the same one.
    pub fn isolate(&self, fingerprint: Fingerprint, candidates: &[ServerId]) -> Option<Isolation> {
        let mut ordered = candidates.to_vec();
        let rank = |server: &ServerId| score(self.0.order_key, server.as_str(), 1.0);
        ordered.sort_by(|a, b| rank(b).total_cmp(&rank(a)));
        let server = self.0.book.lock().isolate(fingerprint, &ordered)?;
        Some(Isolation {
            strikes: self.clone(),
            fingerprint,
            server,
        })
    }

    /// Changes seen by this router since the last call, for the peers.
    pub fn drain_outgoing(&self, now_ms: u64) -> Vec<StrikeDelta> {
        self.0.book.lock().drain_outgoing(now_ms)
    }

    /// Takes up what another router saw.
    pub fn apply_remote(&self, deltas: &[StrikeDelta], now_ms: u64, policy: StrikePolicy) {
        let mut book = self.0.book.lock();
        for delta in deltas {
            if book.apply_remote(delta, now_ms, policy) {
                log::warn!(
                    "event=strike_from_peer fingerprint={} server={} standing={}",
                    delta.fingerprint,
                    delta.server,
                    standing_name(book.standing(delta.fingerprint, now_ms, policy)),
                );
            }
        }
        self.0.is_active.store(!book.is_empty(), Ordering::Release);
    }

    /// Learns the incarnation of an engine at its first use, so that a later break can be
    /// told from a restart.
    pub async fn record_incarnation(&self, backend: &BackendServer) {
        if !matches!(backend.target, Target::Model(_)) || !self.claim_learning(&backend.id) {
            return;
        }
        let report = Client::open(backend.address, PROBE_TIMEOUT);
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

    /// Whether this is the first use of a server.
    pub fn is_first_use(&self, server: &ServerId) -> bool {
        !self.0.incarnations.lock().contains_key(server)
    }

    fn claim_learning(&self, server: &ServerId) -> bool {
        let mut incarnations = self.0.incarnations.lock();
        let is_new = !incarnations.contains_key(server);
        if is_new {
            incarnations.insert(server.clone(), None);
        }
        is_new
    }

    /// Whether a server whose connection broke has died: it refuses connections, breaks
    /// them off without an answer, or has a new incarnation. A cut connection alone is no
    /// sign of it.
    pub async fn is_dead(&self, backend: &BackendServer) -> bool {
        for probe in 0..PROBES {
            if probe > 0 {
                smol::Timer::after(PROBE_PAUSE).await;
            }
            if let Some(is_dead) = self.probe(backend).await {
                return is_dead;
            }
        }
        true
    }

    async fn probe(&self, backend: &BackendServer) -> Option<bool> {
        if let Some(answer) = probe_connection(backend.address).await {
            return Some(answer);
        }
        if !matches!(backend.target, Target::Model(_)) {
            return Some(false);
        }
        let start = Instant::now();
        let client = Client::open(backend.address, PROBE_TIMEOUT);
        match read_incarnation(&client).await {
            Ok(found) => {
                let known = self.0.incarnations.lock().get(&backend.id).copied();
                let known = known.flatten();
                Some(known.is_some() && found.is_some() && found != known)
            }
            // A server that hangs is not dead; its work may still run.
            Err(_) if start.elapsed() >= PROBE_TIMEOUT => Some(false),
            Err(_) => None,
        }
    }
}

/// Dead if refused; undecided if a connection opens; not known to be dead otherwise.
async fn probe_connection(address: SocketAddr) -> Option<bool> {
    match connect(address, PROBE_TIMEOUT).await {
        Ok(_) => None,
        Err(error) => Some(error.kind() == std::io::ErrorKind::ConnectionRefused),
    }
}

async fn read_incarnation(client: &Client) -> Result<Option<u64>, CallError> {
    let answer = client.get("/v1/load").await?;
    let report: Option<LoadReport> = serde_json::from_slice(&answer.body).ok();
    Ok(report.map(|report| report.incarnation))
}

fn standing_name(standing: Standing) -> &'static str {
    match standing {
        Standing::Clear => "clear",
        Standing::Struck => "struck",
        Standing::Quarantined { .. } => "quarantined",
    }
}
