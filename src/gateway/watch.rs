//! The loop that watches a table of the platform.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use async_channel::Receiver;
use rand::RngExt;

use crate::decide::table_position::{Extent, Verdict};
use crate::edge::clock::Clock;
use crate::gateway::mirror::{Mirror, Origin};
use crate::gateway::table::{Source, SourceError};

/// How often a source is polled.
#[derive(Debug, Clone)]
pub struct PollTiming {
    /// Longest time for which the source may delay a response while nothing changes.
    pub long_poll_timeout: Duration,
    /// Pause after each response, so that changes are read in batches.
    pub pause: Duration,
    /// Number of routers that read the source when no other router relays the table to them, as far
    /// as known; `None` for a router that always reads it.
    pub standby_routers: Option<Arc<AtomicU32>>,
    /// Closes when the source may be read for the first time.
    pub start: Receiver<()>,
}

/// First pause after a failure, doubled for each consecutive one.
const RETRY_FIRST_MS: u64 = 150;
/// Longest pause after a failure: once a store answers again, changes must still take effect
/// within the shortest bound on a change.
const RETRY_MAX_MS: u64 = 600;
/// Number of routers from which those that are no seeds pause longer. All try the store while it is
/// away, and the seeds bring back its content anyway.
const RETRY_ROUTERS: u64 = 32;
/// Longest such pause, as a multiple: 2.4 s is below the time for which a store must have been stable
/// before the bounds hold again, 4 s on the smallest site with so many routers.
const RETRY_FACTOR_MAX: u64 = 4;
/// Interval at which a router with a relayed table checks whether it must read the source itself.
const STANDBY_POLL: Duration = Duration::from_millis(200);
/// Interval at which a router that has just started checks whether the table is relayed.
const START_POLL: Duration = Duration::from_millis(20);
/// Shortest time for which a router without content waits for a relay before it reads the source: a
/// seed that starts at the same moment reads and relays the tables within this time.
const START_WAIT_MIN_MS: u64 = 500;
/// Longest such time. Spread over this span, the snapshots of 300 routers that start without seeds
/// are 200 calls every 100 ms instead of 2,000 at once.
const START_WAIT_MAX_MS: u64 = 1_500;

/// Waits until the table is relayed, or until this router should read the source itself.
async fn wait_for_relay(mirror: &Mirror) {
    let wait_ms = rand::rng().random_range(START_WAIT_MIN_MS..=START_WAIT_MAX_MS);
    let polls = u128::from(wait_ms) / START_POLL.as_millis();
    for _ in 0..polls {
        if mirror.is_relayed() || mirror.position().is_some() {
            return;
        }
        smol::Timer::after(START_POLL).await;
    }
}

/// Watches one source and applies its changes to `mirror`. A router that need not read the source pauses
/// while another one relays the table. Never returns.
pub async fn watch_table(
    source: Arc<dyn Source>,
    mirror: Arc<Mirror>,
    timing: PollTiming,
    clock: Arc<dyn Clock>,
) {
    if timing.standby_routers.is_some() {
        wait_for_relay(&mirror).await;
    }
    // Nothing is sent; the error says that the channel has closed.
    let _ = timing.start.recv().await;
    let mut failures = 0;
    // Changes were missed, or cannot be applied.
    let mut needs_snapshot = false;
    // The handler wants to compare its state with a snapshot; also while the table is relayed.
    let mut is_snapshot_due = false;
    loop {
        is_snapshot_due |= mirror.take_snapshot_due();
        let is_standby = timing.standby_routers.is_some();
        if is_standby && mirror.is_relayed() && !is_snapshot_due {
            // Relayed updates advance the mirror's position, so a later watch continues from there.
            failures = 0;
            smol::Timer::after(STANDBY_POLL).await;
            continue;
        }
        let position = mirror.position();
        let position = position.filter(|_| !needs_snapshot && !is_snapshot_due);
        let asked_ms = clock.monotonic_ms();
        let response = match position {
            None => source.read().await,
            Some(position) => source.changes(position, timing.long_poll_timeout).await,
        };
        match response {
            Ok(mut rows) => {
                rows.read_ms = match position {
                    None => asked_ms,
                    // A response without changes was true until it was sent.
                    Some(_) => clock.monotonic_ms(),
                };
                if failures > 0 {
                    log::info!(
                        "event=source_back source={} failures={failures} position={}",
                        mirror.name(),
                        rows.position,
                    );
                }
                failures = 0;
                mirror.set_source_lost(false);
                let verdict = match position {
                    None => {
                        is_snapshot_due = false;
                        mirror.replace(rows, Origin::Source);
                        Verdict::Apply
                    }
                    Some(since) => mirror.apply(rows, Extent::ChangesAfter(since), Origin::Source),
                };
                needs_snapshot = verdict == Verdict::ReadSnapshot;
                if !needs_snapshot {
                    smol::Timer::after(timing.pause).await;
                }
            }
            Err(SourceError::HistoryLost) => {
                log::info!(
                    "event=history_lost source={} position={}",
                    mirror.name(),
                    position.unwrap_or_default(),
                );
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
                mirror.set_source_lost(true);
                // While another router relays the table, subscribers go on receiving it.
                if !mirror.is_relayed() {
                    mirror.mark_unavailable(clock.monotonic_ms());
                }
                let routers = timing.standby_routers.as_ref();
                let routers = routers.map_or(1, |routers| routers.load(Ordering::Relaxed));
                smol::Timer::after(backoff(failures, routers)).await;
            }
        }
    }
}

/// Exponential backoff with jitter: half to all of the doubled step, so that routers that failed
/// at the same time do not retry at the same time.
fn backoff(failures: u32, routers: u32) -> Duration {
    let factor = (u64::from(routers) / RETRY_ROUTERS).clamp(1, RETRY_FACTOR_MAX);
    let step_ms = RETRY_FIRST_MS << failures.saturating_sub(1).min(4);
    let step_ms = step_ms.min(RETRY_MAX_MS * factor);
    Duration::from_millis(rand::rng().random_range(step_ms / 2..=step_ms))
}

#[cfg(test)]
mod tests;
