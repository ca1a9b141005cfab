//! What this router holds of a watched table, for itself and for the routers that read it here.

#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use indexmap::IndexMap;
use parking_lot::Mutex;

use crate::gateway::watch::{Position, Propagation, Row, Rows, TableHandler};

/// Updates that a subscriber may leave unread; one that falls further behind is cut off and
/// begins again.
const SUBSCRIBER_QUEUE_MAX: usize = 256;

/// Where rows come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The table itself.
    Source,
    /// Another router's mirror.
    Relay,
}

/// News for subscribers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Update {
    /// All rows.
    Snapshot(Rows),
    /// Rows that changed; none where the table only answered.
    Changed(Rows),
    /// The table does not answer.
    Unavailable,
}

#[derive(Default)]
struct State {
    rows: IndexMap<String, Bytes>,
    position: Option<Position>,
    is_unavailable: bool,
    subscribers: Vec<Sender<Update>>,
}

/// A copy of one table.
pub struct Mirror {
    name: &'static str,
    handler: Arc<dyn TableHandler>,
    state: Mutex<State>,
    is_relayed: AtomicBool,
}

impl Mirror {
    /// An empty copy that tells `handler` of what changes.
    pub fn open(name: &'static str, handler: Arc<dyn TableHandler>) -> Self {
        Self {
            name,
            handler,
            state: Mutex::default(),
            is_relayed: AtomicBool::new(false),
        }
    }

    /// Name of the table, for logs.
    pub fn name(&self) -> &'static str {
        self.name
    }

    /// Position of the copy; none before the first whole read.
    pub fn position(&self) -> Option<Position> {
        self.state.lock().position
    }

    /// Whether another router's reading is passed on to here.
    pub fn is_relayed(&self) -> bool {
        self.is_relayed.load(Ordering::Relaxed)
    }

    /// Notes whether another router's reading is passed on to here.
    pub fn set_relayed(&self, is_relayed: bool) {
        self.is_relayed.store(is_relayed, Ordering::Relaxed);
    }

    /// Takes up the whole content, unless a newer one is known.
    pub fn replace(&self, rows: Rows, origin: Origin) {
        let mut state = self.state.lock();
        state.is_unavailable = false;
        self.handler.source_available();
        // The table itself may have lost its history, but its positions never go back.
        if state.position.is_some_and(|known| rows.position < known) {
            log::debug!("event=rows_outdated source={} origin={origin:?}", self.name);
            return;
        }
        self.handler.replace(&rows.rows);
        let set = rows.rows.iter();
        let set = set.filter_map(|row| Some((row.key.clone(), row.content.clone()?)));
        state.rows = set.collect();
        state.position = Some(rows.position);
        state.publish(&Update::Snapshot(rows));
    }

    /// Takes up changed rows; tells subscribers of those that matter.
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

    /// The table does not answer, to this router or to the one that reads it.
    pub fn mark_unavailable(&self) {
        let mut state = self.state.lock();
        self.handler.source_unavailable();
        if !state.is_unavailable {
            state.is_unavailable = true;
            state.publish(&Update::Unavailable);
        }
    }

    /// Updates from now on, beginning with the whole content if there is one.
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
        // A subscriber without room has missed something, so its channel is closed.
        let published = |sender: &Sender<Update>| sender.try_send(update.clone()).is_ok();
        self.subscribers.retain(published);
    }
}
