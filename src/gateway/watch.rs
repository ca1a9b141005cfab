//! Controllers that follow a watched source: read it whole, then take up its changes.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;

/// A pending answer of a source.
pub type Pending<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

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

/// One row.
#[derive(Debug, Clone, PartialEq)]
pub enum Row<T> {
    /// The row has this content.
    Set(T),
    /// The row is gone.
    Removed {
        /// Its key.
        key: String,
    },
    /// The row's content cannot be used.
    Unreadable {
        /// Its key.
        key: String,
        /// What is wrong with it.
        problem: String,
    },
}

/// Rows, and the position after them.
#[derive(Debug, Clone, PartialEq)]
pub struct Rows<T> {
    /// The rows.
    pub rows: Vec<Row<T>>,
    /// Where to go on.
    pub position: Position,
}

/// A table of the platform that can be watched.
pub trait Source<T>: Send + Sync + 'static {
    /// All rows as of one moment.
    fn read(&self) -> Pending<'_, Result<Rows<T>, SourceError>>;

    /// Rows that changed after `position`; waits up to `wait` for the first of them.
    fn changes(
        &self,
        position: Position,
        wait: Duration,
    ) -> Pending<'_, Result<Rows<T>, SourceError>>;
}

/// Takes up what a source says.
pub trait Follower<T>: Send + Sync + 'static {
    /// The whole content was read.
    fn replace(&self, rows: Vec<Row<T>>);

    /// Rows changed.
    fn apply(&self, rows: Vec<Row<T>>);

    /// The source does not answer.
    fn lost(&self);

    /// The source answered.
    fn reached(&self);
}

/// How often a source is asked.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    /// Longest time that the source may hold back an answer without changes.
    pub wait: Duration,
    /// Pause after each answer, in which further changes collect.
    pub pause: Duration,
}

/// First pause after a failure, doubled for each further one.
const RETRY_FIRST_MS: u64 = 150;
/// Longest pause after a failure: a store that comes back must be found within the time
/// that the shortest bound on a change leaves.
const RETRY_MAX_MS: u64 = 600;

/// Follows one source for good.
pub async fn follow<T>(
    name: &'static str,
    source: Arc<dyn Source<T>>,
    follower: Arc<dyn Follower<T>>,
    pace: Pace,
) where
    T: Send + fmt::Debug + 'static,
{
    let mut position: Option<Position> = None;
    let mut failures = 0;
    loop {
        let answer = match position {
            None => source.read().await.map(|rows| (true, rows)),
            Some(position) => source
                .changes(position, pace.wait)
                .await
                .map(|rows| (false, rows)),
        };
        match answer {
            Ok((is_whole, rows)) => {
                if failures > 0 {
                    log::info!("event=source_back source={name} failures={failures}");
                }
                failures = 0;
                follower.reached();
                // A late answer from before a restart must not turn the state back.
                if position.is_none_or(|known| rows.position >= known) {
                    position = Some(rows.position);
                    match is_whole {
                        true => follower.replace(rows.rows),
                        false => follower.apply(rows.rows),
                    }
                }
                smol::Timer::after(pace.pause).await;
            }
            Err(SourceError::HistoryLost) => {
                log::info!("event=history_lost source={name}");
                position = None;
            }
            Err(error) => {
                failures += 1;
                if failures == 1 {
                    log::warn!("event=source_lost source={name} error=\"{error}\"");
                }
                follower.lost();
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
