//! Tables of the platform that are watched: their rows, where these are read, and what applies them.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;

use crate::decide::table_position::{Era, Position};

/// A pending response of a source.
pub type SourceFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Why a source could not be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SourceError {
    /// The source no longer has the history from the requested position, so a full snapshot must be
    /// read.
    #[error("the requested history is no longer available; read a full snapshot")]
    HistoryLost,
    /// The source does not answer at present; the text gives the cause.
    #[error("{0}; the read will be retried")]
    Unavailable(String),
}

/// One row as the source stores it, or the removal of one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Key of the row, unique within its table.
    pub key: String,
    /// Undecoded content; `None` for a removed row.
    pub content: Option<Bytes>,
}

/// Rows read from a source, and the position after them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rows {
    /// All rows for a snapshot, else the changed ones.
    pub rows: Vec<Row>,
    /// Position from which the next changes are requested.
    pub position: Position,
    /// When the source was read, by the monotonic clock of this router, in ms.
    pub read_ms: u64,
}

/// A table of the platform that can be watched.
pub trait Source: Send + Sync + 'static {
    /// Reads a consistent snapshot of all rows.
    fn read(&self) -> SourceFuture<'_, Result<Rows, SourceError>>;

    /// Reads the rows that changed after `position`; waits up to `wait` for the first of them.
    fn changes(
        &self,
        position: Position,
        wait: Duration,
    ) -> SourceFuture<'_, Result<Rows, SourceError>>;
}

/// Effect of a row on the router's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RowEffect {
    /// Other routers need the change.
    Publish,
    /// Nothing changed that other routers need, for example only a heartbeat's count.
    Skip,
    /// The row is older than what is in force, or cannot be used. What is known of it stays, also
    /// for other routers.
    Outdated,
}

/// Applies the content and the availability of a table to the router's state.
pub trait TableHandler: Send + Sync + 'static {
    /// Replaces the whole content by a snapshot; returns the effect of each row.
    fn replace(&self, rows: &[Row]) -> Vec<RowEffect>;

    /// Applies one changed row.
    fn apply(&self, row: &Row) -> RowEffect;

    /// Whether the row with this key, which a snapshot lacks, stays in force.
    fn keeps_missing(&self, key: &str) -> bool;

    /// Whether a snapshot is to be read from the source, although no changes were missed.
    fn take_snapshot_due(&self) -> bool;

    /// Called before each snapshot of a source in this era; `is_restored` if it is the first one since
    /// the source came back from an older copy.
    fn begin_snapshot(&self, era: Era, is_restored: bool);

    /// Called when the source does not answer.
    fn source_unavailable(&self);

    /// Called when the source has answered, with the time of the read in monotonic ms; another router
    /// may have read it.
    fn source_available(&self, read_ms: u64);
}
