//! Local copy of a watched table, used by this router and relayed to the routers that subscribe.

#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use indexmap::IndexMap;
use parking_lot::Mutex;

use crate::gateway::watch::{Position, Propagation, Row, Rows, TableHandler};

/// Capacity of a subscriber's queue. A subscriber that falls further behind is disconnected and
/// has to subscribe again, which starts with a snapshot.
const SUBSCRIBER_QUEUE_MAX: usize = 256;

/// Where rows were read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The table's source itself.
    Source,
    /// Another router's mirror, over a relay link.
    Relay,
}

/// Update sent to subscribers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Update {
    /// The full content of the table.
    Snapshot(Rows),
    /// Rows that changed; empty if the source answered without a relevant change.
    Changed(Rows),
    /// The source does not answer.
    Unavailable,
}

#[derive(Default)]
struct State {
    rows: IndexMap<String, Bytes>,
    position: Option<Position>,
    is_unavailable: bool,
    subscribers: Vec<Sender<Update>>,
}

/// A copy of one table, with its handler and subscribers.
pub struct Mirror {
    name: &'static str,
    handler: Arc<dyn TableHandler>,
    state: Mutex<State>,
    is_relayed: AtomicBool,
}

impl Mirror {
    /// Creates an empty copy that applies each change through `handler`.
    pub fn new(name: &'static str, handler: Arc<dyn TableHandler>) -> Self {
        Self {
            name,
            handler,
            state: Mutex::default(),
            is_relayed: AtomicBool::new(false),
        }
    }

    /// Name of the table, as used in logs.
    pub fn name(&self) -> &'static str {
        self.name
    }

    /// Position of the copy; `None` before the first snapshot.
    pub fn position(&self) -> Option<Position> {
        self.state.lock().position
    }

    /// Whether another router relays this table, so that this one need not read the source.
    pub fn is_relayed(&self) -> bool {
        self.is_relayed.load(Ordering::Relaxed)
    }

    /// Sets whether another router relays this table.
    pub fn set_relayed(&self, is_relayed: bool) {
        self.is_relayed.store(is_relayed, Ordering::Relaxed);
    }

    /// Replaces the content by a snapshot, unless the copy is newer.
    pub fn replace(&self, rows: Rows, origin: Origin) {
        let mut state = self.state.lock();
        state.is_unavailable = false;
        self.handler.source_available();
        // Positions of a source never decrease, even if it loses its history.
        if state.position.is_some_and(|known| rows.position < known) {
            log::debug!("event=rows_outdated source={} origin={origin:?}", self.name);
            return;
        }
        self.handler.replace(&rows.rows);
        let current = rows.rows.iter();
        let current = current.filter_map(|row| Some((row.key.clone(), row.content.clone()?)));
        state.rows = current.collect();
        state.position = Some(rows.position);
        state.publish(&Update::Snapshot(rows));
    }

    /// Applies changed rows, unless the copy is newer or has no snapshot yet; publishes those that
    /// the handler marks for it.
    pub fn apply(&self, rows: Rows, origin: Origin) {
        let mut state = self.state.lock();
        state.is_unavailable = false;
        self.handler.source_available();
        if state.position.is_none_or(|known| rows.position < known) {
            log::debug!("event=rows_outdated source={} origin={origin:?}", self.name);
            return;
        }
        let mut published = Vec::new();
        for row in rows.rows {
            let propagation = self.handler.apply(&row);
            match &row.content {
                Some(content) => _ = state.rows.insert(row.key.clone(), content.clone()),
                None => _ = state.rows.swap_remove(&row.key),
            }
            if propagation == Propagation::Publish {
                published.push(row);
            }
        }
        state.position = Some(rows.position);
        state.publish(&Update::Changed(Rows {
            rows: published,
            position: rows.position,
        }));
    }

    /// Records that the source does not answer this router, or the one that relays it.
    pub fn mark_unavailable(&self) {
        let mut state = self.state.lock();
        self.handler.source_unavailable();
        if !state.is_unavailable {
            state.is_unavailable = true;
            state.publish(&Update::Unavailable);
        }
    }

    /// Subscribes to updates from now on, starting with a snapshot if there is one.
    pub fn subscribe(&self) -> Receiver<Update> {
        let (sender, receiver) = async_channel::bounded(SUBSCRIBER_QUEUE_MAX);
        let mut state = self.state.lock();
        if let Some(position) = state.position {
            let rows = state.rows.iter().map(|(key, content)| Row {
                key: key.clone(),
                content: Some(content.clone()),
            });
            let rows = rows.collect();
            let _ = sender.try_send(Update::Snapshot(Rows { rows, position }));
        }
        if state.is_unavailable {
            let _ = sender.try_send(Update::Unavailable);
        }
        state.subscribers.push(sender);
        receiver
    }
}

impl State {
    fn publish(&mut self, update: &Update) {
        // A subscriber with a full queue has missed an update, so its channel is closed.
        let is_sent = |sender: &Sender<Update>| sender.try_send(update.clone()).is_ok();
        self.subscribers.retain(is_sent);
    }
}
