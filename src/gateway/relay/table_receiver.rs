//! Applies the tables that another router sends to this router's mirrors.

#[cfg(test)]
mod tests;

use std::sync::Arc;

use crate::decide::table_position::{Era, Extent, Position};
use crate::gateway::mirror::{Mirror, Origin};
use crate::gateway::relay::row_codec::RowDecoder;
use crate::gateway::relay::wire::Message;
use crate::gateway::table::{Row, Rows};
use crate::peer::frame::LinkError;

/// Rows of one table received so far.
#[derive(Default)]
struct PendingTable {
    rows: Vec<Row>,
    has_received: bool,
    /// Era of the last update.
    era: Era,
    /// When the source was read for the last update, in monotonic ms.
    read_ms: u64,
}

/// The receiving end of one link.
pub(super) struct TableReceiver<'a> {
    mirrors: &'a [Arc<Mirror>],
    tables: Vec<PendingTable>,
    decoder: RowDecoder,
    /// Whether the sender cannot reach the tables.
    pub(super) is_unavailable: bool,
}

impl<'a> TableReceiver<'a> {
    pub(super) fn new(mirrors: &'a [Arc<Mirror>]) -> Self {
        Self {
            mirrors,
            tables: mirrors.iter().map(|_| PendingTable::default()).collect(),
            decoder: RowDecoder::default(),
            is_unavailable: false,
        }
    }

    /// Applies a message that concerns a table and was sent at `sent_ms` by this router's clock; rows
    /// wait until their update is complete.
    pub(super) fn apply(&mut self, message: Message, sent_ms: u64) -> Result<(), LinkError> {
        let table = message.table as usize;
        let (Some(mirror), Some(pending)) = (self.mirrors.get(table), self.tables.get_mut(table))
        else {
            return Err(LinkError::Protocol("the table number is unknown"));
        };
        if message.is_unavailable {
            mirror.mark_unavailable(sent_ms);
            self.is_unavailable = true;
            pending.has_received = true;
            return Ok(());
        }
        pending
            .rows
            .extend(self.decoder.unpack(&message.packed_rows)?);
        for chunk in message.rows {
            pending.rows.extend(self.decoder.decode(chunk)?);
        }
        if message.has_more {
            return Ok(());
        }
        let age_ms = message.age_ms.unwrap_or(0);
        let rows = Rows {
            rows: std::mem::take(&mut pending.rows),
            read_ms: sent_ms.saturating_sub(age_ms),
            position: Position {
                era: Era(message.era),
                version: message.position,
            },
        };
        pending.era = rows.position.era;
        pending.read_ms = rows.read_ms;
        match message.is_snapshot {
            true => mirror.replace(rows, Origin::Relay),
            false => _ = mirror.apply(rows, Extent::NextChanges, Origin::Relay),
        }
        pending.has_received = true;
        Ok(())
    }

    /// Whether an update of each table was received.
    pub(super) fn has_all(&self) -> bool {
        self.tables.iter().all(|table| table.has_received)
    }

    /// Time since the sender's read of a table, or of the read of the router that relays to it; `None`
    /// before an update of the table.
    pub(super) fn age_ms(&self, table: usize, now_ms: u64) -> Option<u64> {
        let table = self.tables.get(table).filter(|table| table.has_received)?;
        Some(now_ms.saturating_sub(table.read_ms))
    }

    /// Whether the mirror of a table is in the sender's era. The updates of a sender in an earlier era,
    /// or one that states no era, change nothing here.
    pub(super) fn is_in_era(&self, table: usize) -> bool {
        let (Some(mirror), Some(table)) = (self.mirrors.get(table), self.tables.get(table)) else {
            return false;
        };
        let position = mirror.position();
        position.is_some_and(|position| position.era == table.era)
    }
}
