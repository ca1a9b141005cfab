//! Stand-in for the platform's host list. Changes become visible after a configurable lag.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::StatusCode;
use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::Serialize;
use serde_json::json;

use crate::serve::{Server, json_response};

/// Lifecycle state of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// In service.
    Live,
    /// Scheduled for removal.
    Leaving,
}

/// One entry of the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Host {
    /// Host name, the key of the entry.
    pub host: String,
    /// Address of the server that runs on the host.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Lifecycle state.
    pub state: HostState,
}

#[derive(Debug)]
struct Change {
    host: String,
    entry: Option<Host>,
    visible_at: Instant,
}

#[derive(Debug, Default)]
struct State {
    lag: Duration,
    visible: IndexMap<String, Host>,
    pending: Vec<Change>,
}

impl State {
    fn queue_change(&mut self, host: &str, entry: Option<Host>) {
        self.pending.push(Change {
            host: host.to_owned(),
            entry,
            visible_at: Instant::now() + self.lag,
        });
    }

    /// Applies the pending changes whose lag has passed, in the order in which they were made,
    /// and returns the visible hosts.
    fn visible_hosts(&mut self) -> Vec<Host> {
        let now = Instant::now();
        let due = self.pending.iter().take_while(|c| c.visible_at <= now);
        let due = due.count();
        for change in self.pending.drain(..due) {
            match change.entry {
                Some(entry) => self.visible.insert(change.host, entry),
                None => self.visible.shift_remove(&change.host),
            };
        }
        self.visible.values().cloned().collect()
    }
}

/// Handle of a running host list.
#[derive(Debug)]
pub struct HostList {
    server: Server,
    state: Arc<Mutex<State>>,
}

impl HostList {
    /// Starts an empty list with no lag.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let shared = Arc::clone(&state);
        let server = Server::bind(address, move |request| {
            let response = match request.uri().path() {
                "/v1/hosts" => json_response(StatusCode::OK, &json!(shared.lock().visible_hosts())),
                _ => json_response(StatusCode::NOT_FOUND, &json!({})),
            };
            async move { response }
        })?;
        Ok(Self { server, state })
    }

    /// Listening address, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the time after which subsequent changes become visible. A change never becomes
    /// visible before an earlier one.
    pub fn set_lag(&self, lag: Duration) {
        self.state.lock().lag = lag;
    }

    /// Adds a host or replaces its entry.
    pub fn upsert(&self, host: Host) {
        let name = host.host.clone();
        self.state.lock().queue_change(&name, Some(host));
    }

    pub fn remove(&self, host: &str) {
        self.state.lock().queue_change(host, None);
    }

    /// Hosts that a request would list now, in order of insertion.
    pub fn visible_hosts(&self) -> Vec<Host> {
        self.state.lock().visible_hosts()
    }
}
