//! Local copy of a watched table, used by this router and relayed to the routers that subscribe.

mod subscription;
#[cfg(test)]
mod tests;

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use async_channel::Sender;
use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use parking_lot::Mutex;

use crate::decide::table_position::{Extent, Position, Verdict, check_update};
use crate::gateway::mirror::subscription::Subscription;
use crate::gateway::table::{Row, RowEffect, Rows, TableHandler};

/// Number of removed rows that are remembered, so that a subscriber that returns receives changes
/// instead of a snapshot: more than the servers of an availability zone at the design size.
const REMOVED_MAX: usize = 1_024;

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
    Snapshot(Arc<Rows>),
    /// Rows that changed; empty if the source answered without a relevant change.
    Changed(Arc<Rows>),
    /// The source does not answer.
    Unavailable,
}

/// A row and its last published change.
struct StoredRow {
    content: Bytes,
    published_at: Position,
    /// Number of the update with that change; 0 if it was in none.
    update: u64,
}

/// A row that was removed.
struct RemovedRow {
    key: String,
    removed_at: Position,
    /// Number of the update with the removal.
    update: u64,
}

#[derive(Default)]
struct State {
    rows: IndexMap<String, StoredRow>,
    position: Option<Position>,
    /// Removed rows, oldest first.
    removed: VecDeque<RemovedRow>,
    /// Oldest position from which all changes are known.
    history_start: Position,
    /// Number of the last update.
    update: u64,
    /// Number of the oldest update from which all changes are known.
    oldest_update: u64,
    /// When the source was found not to answer, in monotonic ms; `None` while it answers.
    unavailable_since_ms: Option<u64>,
    /// Time of the newest read of the source that the copy covers, in monotonic ms; 0 before the first.
    read_ms: u64,
    /// The changes that were computed last, between the updates with these numbers: most subscribers
    /// need the same ones.
    last_changes: Option<((u64, u64), Arc<Rows>)>,
    /// Wake the subscribers; each holds at most one message.
    subscribers: Vec<Sender<()>>,
}

/// Content that results from a snapshot.
struct Resolved {
    rows: Rows,
    /// Keys of the rows whose change other routers need.
    published: IndexSet<String>,
    /// Number of rows that stay as they were known, in place of older or missing ones.
    kept_count: usize,
}

/// A copy of one table, with its handler and subscribers.
pub struct Mirror {
    name: &'static str,
    handler: Arc<dyn TableHandler>,
    state: Arc<Mutex<State>>,
    is_relayed: AtomicBool,
    is_source_lost: AtomicBool,
}

impl Mirror {
    /// Creates an empty copy that applies each change through `handler`.
    pub fn new(name: &'static str, handler: Arc<dyn TableHandler>) -> Self {
        Self {
            name,
            handler,
            state: Arc::default(),
            is_relayed: AtomicBool::new(false),
            is_source_lost: AtomicBool::new(false),
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

    /// Time since the read of the source that the copy covers, whichever router read it; `None` before
    /// the first snapshot.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        let state = self.state.lock();
        state.position?;
        Some(now_ms.saturating_sub(state.read_ms))
    }

    /// Whether a snapshot is to be read from the source, although no changes were missed; true once.
    pub fn take_snapshot_due(&self) -> bool {
        self.handler.take_snapshot_due()
    }

    /// Whether another router relays this table, so that this one need not read the source.
    pub fn is_relayed(&self) -> bool {
        self.is_relayed.load(Ordering::Relaxed)
    }

    /// Sets whether another router relays this table.
    pub fn set_relayed(&self, is_relayed: bool) {
        self.is_relayed.store(is_relayed, Ordering::Relaxed);
    }

    /// Whether this router's last read of the source failed.
    pub fn is_source_lost(&self) -> bool {
        self.is_source_lost.load(Ordering::Relaxed)
    }

    /// Sets whether this router's last read of the source failed.
    pub fn set_source_lost(&self, is_lost: bool) {
        self.is_source_lost.store(is_lost, Ordering::Relaxed);
    }

    /// Replaces the content by a snapshot, unless the copy is newer. Subscribers that have the
    /// previous content receive the differences that they need, or the whole content if the source
    /// has been restored.
    pub fn replace(&self, rows: Rows, origin: Origin) {
        let mut state = self.state.lock();
        self.record_available(&mut state, &rows);
        let verdict = check_update(state.position, rows.position, Extent::Snapshot);
        let is_restored = match verdict {
            Verdict::Ignore | Verdict::ReadSnapshot => {
                state.record_read(rows.position, rows.read_ms);
                self.log_ignored(&state, &rows, origin);
                return;
            }
            Verdict::Apply => false,
            Verdict::Restore => true,
        };
        match is_restored || state.position.is_none() {
            true => state.read_ms = rows.read_ms,
            false => state.record_read(rows.position, rows.read_ms),
        }
        self.handler.begin_snapshot(rows.position.era, is_restored);
        let resolved = self.resolve(&state, rows);
        if is_restored {
            log::warn!(
                "event=source_restored source={} origin={origin:?} position={} known={} rows={} \
                 known_rows={} kept={}",
                self.name,
                resolved.rows.position,
                known_text(state.position),
                resolved.rows.rows.len(),
                state.rows.len(),
                resolved.kept_count,
            );
        }
        match is_restored || state.position.is_none() {
            true => state.restart(resolved.rows),
            false => state.set_next(resolved),
        }
    }

    /// Applies changed rows, if the copy is at a position from which they lead on, and publishes
    /// those that the handler marks for it. Returns whether a snapshot has to be read instead.
    pub fn apply(&self, rows: Rows, extent: Extent, origin: Origin) -> Verdict {
        let mut state = self.state.lock();
        self.record_available(&mut state, &rows);
        let verdict = check_update(state.position, rows.position, extent);
        state.record_read(rows.position, rows.read_ms);
        if verdict != Verdict::Apply {
            self.log_ignored(&state, &rows, origin);
            return verdict;
        }
        for row in rows.rows {
            match self.handler.apply(&row) {
                RowEffect::Publish => state.store(&row, rows.position, true),
                RowEffect::Skip => state.store(&row, rows.position, false),
                RowEffect::Outdated => {}
            }
        }
        state.publish(rows.position);
        verdict
    }

    /// Records that the source answers, unless the update is one of an earlier era, whose sender has not
    /// noticed that the source was restored, or was read before the source was lost.
    fn record_available(&self, state: &mut State, rows: &Rows) {
        let known_era = state.position.map(|known| known.era);
        let is_of_era = known_era.is_none_or(|known| rows.position.era >= known);
        let lost_ms = state.unavailable_since_ms;
        if is_of_era && lost_ms.is_none_or(|lost_ms| rows.read_ms >= lost_ms) {
            state.unavailable_since_ms = None;
            self.handler.source_available(rows.read_ms);
        }
    }

    /// Applies a snapshot through the handler. Returns the content that results, which differs from
    /// the snapshot where something newer stays in force.
    fn resolve(&self, state: &State, rows: Rows) -> Resolved {
        let effects = self.handler.replace(&rows.rows);
        let mut content = Vec::new();
        let mut kept = Vec::new();
        let mut published = IndexSet::new();
        let mut listed = IndexSet::new();
        for (row, effect) in rows.rows.into_iter().zip(effects) {
            listed.insert(row.key.clone());
            match effect {
                RowEffect::Publish => {
                    published.insert(row.key.clone());
                    content.push(row);
                }
                RowEffect::Skip => content.push(row),
                RowEffect::Outdated => kept.extend(state.row(&row.key)),
            }
        }
        let missing = state.rows.keys().filter(|key| !listed.contains(*key));
        let missing = missing.filter(|key| self.handler.keeps_missing(key));
        kept.extend(missing.filter_map(|key| state.row(key)));
        let kept_count = kept.len();
        content.append(&mut kept);
        Resolved {
            rows: Rows {
                rows: content,
                ..rows
            },
            published,
            kept_count,
        }
    }

    fn log_ignored(&self, state: &State, rows: &Rows, origin: Origin) {
        log::info!(
            "event=rows_ignored source={} origin={origin:?} position={} known={} rows={}",
            self.name,
            rows.position,
            known_text(state.position),
            rows.rows.len(),
        );
    }

    /// Records that the source does not answer this router, or the one that relays it.
    pub fn mark_unavailable(&self, now_ms: u64) {
        let mut state = self.state.lock();
        self.handler.source_unavailable();
        if state.unavailable_since_ms.is_none() {
            state.unavailable_since_ms = Some(now_ms);
            state.wake_subscribers();
        }
    }

    /// Subscribes to updates. The first one brings a subscriber that has the content of position
    /// `known` up to date: the changes since then, or a snapshot if they are not known.
    pub fn subscribe(&self, known: Option<Position>) -> Subscription {
        let (sender, changed) = async_channel::bounded(1);
        self.state.lock().subscribers.push(sender);
        Subscription::open(Arc::clone(&self.state), changed, known)
    }
}

impl State {
    /// Records a read of the source that brought it up to `position`. Only one of the copy's era says
    /// how old the copy is.
    fn record_read(&mut self, position: Position, read_ms: u64) {
        if self.position.is_some_and(|known| known.era == position.era) {
            self.read_ms = self.read_ms.max(read_ms);
        }
    }

    /// Sets the content without the history that led to it.
    fn restart(&mut self, rows: Rows) {
        self.rows.clear();
        self.removed.clear();
        for row in &rows.rows {
            self.store(row, rows.position, true);
        }
        self.history_start = rows.position;
        self.publish(rows.position);
        self.oldest_update = self.update;
    }

    fn row(&self, key: &str) -> Option<Row> {
        Some(current_row(self.rows.get_key_value(key)?))
    }

    fn set_next(&mut self, resolved: Resolved) {
        let Resolved {
            rows, published, ..
        } = resolved;
        let position = rows.position;
        let listed: IndexSet<&str> = rows.rows.iter().map(|row| row.key.as_str()).collect();
        let is_missing = |key: &&String| !listed.contains(key.as_str());
        let missing: Vec<String> = self.rows.keys().filter(is_missing).cloned().collect();
        for key in missing {
            self.store(&Row { key, content: None }, position, true);
        }
        for row in &rows.rows {
            self.store(row, position, published.contains(row.key.as_str()));
        }
        self.publish(position);
    }

    /// Stores a row of the next update; `is_published` if the subscribers need the change.
    fn store(&mut self, row: &Row, position: Position, is_published: bool) {
        let update = self.update + 1;
        let Some(content) = &row.content else {
            self.rows.swap_remove(&row.key);
            self.removed.push_back(RemovedRow {
                key: row.key.clone(),
                removed_at: position,
                update,
            });
            if self.removed.len() > REMOVED_MAX
                && let Some(forgotten) = self.removed.pop_front()
            {
                self.history_start = self.history_start.max(forgotten.removed_at);
                self.oldest_update = self.oldest_update.max(forgotten.update);
            }
            return;
        };
        let (published_at, update) = match self.rows.get(&row.key) {
            _ if is_published => (position, update),
            Some(known) => (known.published_at, known.update),
            None => (position, 0),
        };
        let stored = StoredRow {
            content: content.clone(),
            published_at,
            update,
        };
        match self.rows.get_mut(&row.key) {
            Some(known) => *known = stored,
            None => _ = self.rows.insert(row.key.clone(), stored),
        }
    }

    /// Brings a subscriber that has the content of position `known` up to date.
    fn update_from(&self, known: Option<Position>, position: Position) -> Update {
        let is_in_history =
            |known: &Position| known.era == position.era && *known >= self.history_start;
        let Some(known) = known.filter(is_in_history) else {
            return Update::Snapshot(self.snapshot(position));
        };
        let rows = self.changes(|at, _| at > known);
        Update::Changed(self.at(rows, position))
    }

    /// Brings a subscriber that has the update with the number `sent` up to date.
    fn update_after(&mut self, sent: u64, position: Position) -> Update {
        if sent < self.oldest_update {
            return Update::Snapshot(self.snapshot(position));
        }
        if let Some((known, rows)) = &self.last_changes
            && *known == (sent, self.update)
        {
            return Update::Changed(Arc::clone(rows));
        }
        let rows = self.changes(|_, update| update > sent);
        let rows = self.at(rows, position);
        self.last_changes = Some(((sent, self.update), Arc::clone(&rows)));
        Update::Changed(rows)
    }

    fn snapshot(&self, position: Position) -> Arc<Rows> {
        let rows = self.rows.iter().map(current_row).collect();
        self.at(rows, position)
    }

    /// Published changes for which `is_new` holds, given the position and number of their update. A row
    /// that was removed and set again is listed as removed first.
    fn changes<F>(&self, is_new: F) -> Vec<Row>
    where
        F: Fn(Position, u64) -> bool,
    {
        let removed = self.removed.iter();
        let removed = removed.filter(|row| is_new(row.removed_at, row.update));
        let removed = removed.map(|row| Row {
            key: row.key.clone(),
            content: None,
        });
        let changed = self.rows.iter();
        let changed = changed.filter(|(_, row)| is_new(row.published_at, row.update));
        removed.chain(changed.map(current_row)).collect()
    }

    /// Rows as of the newest read of the source.
    fn at(&self, rows: Vec<Row>, position: Position) -> Arc<Rows> {
        Arc::new(Rows {
            rows,
            position,
            read_ms: self.read_ms,
        })
    }

    /// Completes an update up to `position`.
    fn publish(&mut self, position: Position) {
        self.position = Some(position);
        self.update += 1;
        self.wake_subscribers();
    }

    fn wake_subscribers(&mut self) {
        self.subscribers.retain(|sender| !sender.is_closed());
        // A full channel holds a message that has not been handled yet.
        let senders = self.subscribers.iter();
        senders.for_each(|sender| _ = sender.try_send(()));
    }
}

fn known_text(position: Option<Position>) -> String {
    position.map_or_else(|| "none".to_owned(), |position| position.to_string())
}

fn current_row((key, row): (&String, &StoredRow)) -> Row {
    Row {
        key: key.clone(),
        content: Some(row.content.clone()),
    }
}
