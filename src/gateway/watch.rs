//! Tables of the platform that are watched, and the controller that follows one.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;

use crate::gateway::mirror::{Mirror, Origin};

/// A pending answer of a source.
pub type SourceFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// A position in the history of a source.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position(pub u64);

/// Why a source gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SourceError {
    /// The history from the position asked for is gone, so the source must be read whole.
    #[error("the history is gone; read the source whole")]
    HistoryLost,
    /// The source does not answer now.
    #[error("{0}; it is asked again")]
    Unavailable(String),
}

/// One row as the source keeps it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Its content; none where the row is gone.
    pub content: Option<Bytes>,
}

/// Rows, and the position after them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rows {
    /// The rows.
    pub rows: Vec<Row>,
    /// Where to go on.
    pub position: Position,
}

/// A table of the platform that can be watched.
pub trait Source: Send + Sync + 'static {
    /// All rows as of one moment.
    fn read(&self) -> SourceFuture<'_, Result<Rows, SourceError>>;

    /// Rows that changed after `position`; waits up to `wait` for the first of them.
    fn changes(
        &self,
        position: Position,
        wait: Duration,
    ) -> SourceFuture<'_, Result<Rows, SourceError>>;
}

/// What a row means to a follower.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Propagation {
    /// Other routers have to know it.
    Publish,
    /// Nothing changed but, say, a heartbeat's count.
    Skip,
}

/// Takes up what a source says.
pub trait TableHandler: Send + Sync + 'static {
    /// The whole content was read.
    fn replace(&self, rows: &[Row]);

    /// A row changed.
    fn apply(&self, row: &Row) -> Propagation;

    /// The source does not answer.
    fn source_unavailable(&self);

    /// The source answered.
    fn source_available(&self);
}

/// How often a source is asked.
#[derive(Debug, Clone, Copy)]
pub struct PollTiming {
    /// Longest time that the source may hold back an answer without changes.
    pub long_poll_timeout: Duration,
    /// Pause after each answer, in which further changes collect.
    pub pause: Duration,
}

/// First pause after a failure, doubled for each further one.
const RETRY_FIRST_MS: u64 = 150;
/// Longest pause after a failure: a store that comes back must be found within the time
/// that the shortest bound on a change leaves.
const RETRY_MAX_MS: u64 = 600;
/// Time between looks whether the source has to be read here again.
const STANDBY_POLL: Duration = Duration::from_millis(200);

/// Follows one source for good, as long as no other router's reading is passed on to here.
pub async fn watch_table(source: Arc<dyn Source>, mirror: Arc<Mirror>, timing: PollTiming) {
    let mut failures = 0;
    let mut needs_snapshot = true;
    loop {
        if mirror.is_relayed() {
            // What is relayed moves the mirror's position on.
            failures = 0;
            smol::Timer::after(STANDBY_POLL).await;
            continue;
        }
        let position = mirror.position().filter(|_| !needs_snapshot);
        let answer = match position {
            None => source.read().await,
            Some(position) => source.changes(position, timing.long_poll_timeout).await,
        };
        match answer {
            Ok(rows) => {
                if failures > 0 {
                    log::info!(
                        "event=source_back source={} failures={failures}",
                        mirror.name()
                    );
                }
                failures = 0;
                needs_snapshot = false;
                match position {
                    None => mirror.replace(rows, Origin::Source),
                    Some(_) => mirror.apply(rows, Origin::Source),
                }
                smol::Timer::after(timing.pause).await;
            }
            Err(SourceError::HistoryLost) => {
                log::info!("event=history_lost source={}", mirror.name());
                needs_snapshot = true;
            }
            Err(error) => {
                failures += 1;
                if failures == 1 {
                    log::warn!(
                        "event=source_lost source={} error=\"{error}\"",
                        mirror.name()
                    );
                }
                mirror.mark_unavailable();
                smol::Timer::after(retry_pause(failures)).await;
            }
        }
    }
}

/// Half to all of the doubled step, so that routers that failed together do not come back
/// together.
fn retry_pause(failures: u32) -> Duration {
    let step_ms = RETRY_FIRST_MS << failures.saturating_sub(1).min(4);
    let step_ms = step_ms.min(RETRY_MAX_MS);
    Duration::from_millis(rand::rng().random_range(step_ms / 2..=step_ms))
}
