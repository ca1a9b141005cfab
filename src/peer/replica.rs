//! Stores the newest row of each publisher and key. This distinguishes new rows from duplicates,
//! and the stored rows are the full state that a new link receives.

use std::collections::HashMap;

use crate::peer::wire;

/// Time after which a row is removed, except strikes, which carry their own expiry. Publishers
/// repeat rows that are still valid within this time.
const ROW_RETENTION_MS: u64 = 30_000;
/// Most rows that are stored, which bounds memory against a publisher that invents keys.
const ROWS_MAX: usize = 100_000;
/// Interval at which a publisher repeats a server's incarnation and slots, for routers that
/// missed the last full row.
const FULL_ROW_INTERVAL_MS: u64 = 10_000;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Key {
    Server(u64),
    Team(String),
    Use(u64),
    Strike(u64, String),
}

#[derive(Debug, Clone)]
enum Row {
    Server(wire::ServerRow),
    Team(wire::TeamShareRow),
    Use(wire::UseRow),
    Strike(wire::StrikeRow),
}

#[derive(Debug, Clone)]
struct StoredRow {
    sequence: u64,
    scope: i32,
    row: Row,
    stored_at_ms: u64,
    /// Time at which the row was last received or published in full.
    full_row_ms: u64,
}

impl StoredRow {
    fn retention_ms(&self) -> u64 {
        match &self.row {
            Row::Server(_) | Row::Team(_) | Row::Use(_) => ROW_RETENTION_MS,
            Row::Strike(row) => row.remaining_ms,
        }
    }
}

/// The new rows of a merged group.
#[derive(Debug, Clone, PartialEq)]
pub struct Merged {
    /// The rows as they are forwarded, compact rows unchanged.
    pub forward: wire::Group,
    /// All new server rows, compact ones completed with their incarnations and slots.
    pub full_servers: Vec<wire::ServerRow>,
}

impl Merged {
    /// The new rows as they are delivered to subscribers.
    pub fn into_delivered_group(self) -> wire::Group {
        wire::Group {
            servers: self.full_servers,
            compact_servers: Vec::new(),
            ..self.forward
        }
    }
}

/// Rows by publisher and key.
#[derive(Debug, Default)]
pub struct Replica {
    rows: HashMap<(u64, Key), StoredRow>,
}

fn key_of(row: &Row) -> Key {
    match row {
        Row::Server(row) => Key::Server(row.server),
        Row::Team(row) => Key::Team(row.team.clone()),
        Row::Use(row) => Key::Use(row.server),
        Row::Strike(row) => Key::Strike(row.fingerprint, row.server.clone()),
    }
}

impl Replica {
    /// Creates an empty replica.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of stored rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no row is stored.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn insert_if_new(
        &mut self,
        group: &wire::Group,
        row: Row,
        now_ms: u64,
        full_row_ms: u64,
    ) -> bool {
        let key = (group.session, key_of(&row));
        let is_rejected = match self.rows.get(&key) {
            Some(stored) => stored.sequence >= group.sequence,
            None => self.rows.len() >= ROWS_MAX,
        };
        if is_rejected {
            return false;
        }
        let stored = StoredRow {
            sequence: group.sequence,
            scope: group.scope,
            row,
            stored_at_ms: now_ms,
            full_row_ms,
        };
        self.rows.insert(key, stored);
        true
    }

    fn server_row(&self, session: u64, server: u64) -> Option<(&wire::ServerRow, u64)> {
        match self.rows.get(&(session, Key::Server(server))) {
            Some(StoredRow {
                row: Row::Server(row),
                full_row_ms,
                ..
            }) => Some((row, *full_row_ms)),
            _ => None,
        }
    }

    /// Moves server rows to the compact ones if their incarnation and slots did not change since
    /// the last full row, unless that row is due to be repeated.
    pub fn compact(&self, group: &mut wire::Group, now_ms: u64) {
        for row in std::mem::take(&mut group.servers) {
            let is_same =
                self.server_row(group.session, row.server)
                    .is_some_and(|(last, full_row_ms)| {
                        let is_recent = now_ms.saturating_sub(full_row_ms) < FULL_ROW_INTERVAL_MS;
                        is_recent && (last.incarnation, last.slots) == (row.incarnation, row.slots)
                    });
            match is_same {
                false => group.servers.push(row),
                true => group.compact_servers.push(wire::ServerRow {
                    incarnation: 0,
                    slots: 0,
                    ..row
                }),
            }
        }
    }

    /// Stores the new rows of a group and returns them, if there are any.
    pub fn merge(&mut self, mut group: wire::Group, now_ms: u64) -> Option<Merged> {
        let mut servers = std::mem::take(&mut group.servers);
        let mut compact = std::mem::take(&mut group.compact_servers);
        let mut teams = std::mem::take(&mut group.teams);
        let mut strikes = std::mem::take(&mut group.strikes);
        let mut uses = std::mem::take(&mut group.uses);
        servers.retain(|row| self.insert_if_new(&group, Row::Server(*row), now_ms, now_ms));
        let mut full_servers = servers.clone();
        // A compact row is dropped if the full row was missed; the publisher repeats full rows.
        compact.retain(|row| {
            let Some((last, full_row_ms)) = self.server_row(group.session, row.server) else {
                return false;
            };
            let full = wire::ServerRow {
                incarnation: last.incarnation,
                slots: last.slots,
                ..*row
            };
            let is_new = self.insert_if_new(&group, Row::Server(full), now_ms, full_row_ms);
            if is_new {
                full_servers.push(full);
            }
            is_new
        });
        uses.retain(|row| self.insert_if_new(&group, Row::Use(*row), now_ms, now_ms));
        teams.retain(|row| self.insert_if_new(&group, Row::Team(row.clone()), now_ms, now_ms));
        strikes.retain(|row| self.insert_if_new(&group, Row::Strike(row.clone()), now_ms, now_ms));
        let forward = wire::Group {
            servers,
            compact_servers: compact,
            teams,
            strikes,
            uses,
            ..group
        };
        forward.has_rows().then_some(Merged {
            forward,
            full_servers,
        })
    }

    /// Removes rows whose retention time has passed.
    pub fn expire(&mut self, now_ms: u64) {
        self.rows
            .retain(|_, stored| now_ms.saturating_sub(stored.stored_at_ms) < stored.retention_ms());
    }

    /// Removes all rows of a publisher, identified by its session.
    pub fn remove_publisher(&mut self, session: u64) {
        self.rows.retain(|(owner, _), _| *owner != session);
    }

    /// All stored rows as groups, with ages and remaining times adjusted to `now_ms`.
    pub fn full_state(&self, now_ms: u64) -> Vec<wire::Group> {
        let mut groups: HashMap<(u64, u64, i32), wire::Group> = HashMap::new();
        for ((session, _), stored) in &self.rows {
            let stored_ms = now_ms.saturating_sub(stored.stored_at_ms);
            let group = groups
                .entry((*session, stored.sequence, stored.scope))
                .or_insert_with(|| wire::Group {
                    session: *session,
                    sequence: stored.sequence,
                    scope: stored.scope,
                    ..wire::Group::default()
                });
            match &stored.row {
                Row::Server(row) => {
                    let mut row = *row;
                    row.age_ms = row.age_ms.saturating_add(stored_ms as u32);
                    group.servers.push(row);
                }
                Row::Team(row) => group.teams.push(row.clone()),
                Row::Use(row) => group.uses.push(*row),
                Row::Strike(row) => {
                    let mut row = row.clone();
                    row.remaining_ms = row.remaining_ms.saturating_sub(stored_ms);
                    group.strikes.push(row);
                }
            }
        }
        groups.into_values().collect()
    }
}

#[cfg(test)]
mod tests;
