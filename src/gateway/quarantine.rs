//! Refusal of requests that have crashed several servers, and the store that keeps quarantines
//! beyond the loss of all routers.

#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use rand::RngExt;

use crate::decide::strikes::{Fingerprint, Quarantine, StrikePolicy, StrikeStatus};
use crate::decide::table_position::Era;
use crate::decide::trials::{Claim, Due, Refused};
use crate::gateway::rejection::Rejection;
use crate::gateway::relay::Mirrors;
use crate::gateway::routed_request::{AttemptHistory, RoutedRequest};
use crate::gateway::state::State;
use crate::gateway::strike_feed::StrikeChanges;
use crate::gateway::table::{SourceError, SourceFuture};
use crate::gateway::trials::{self, Trial};
use crate::ids::ServerId;

/// When requests are quarantined. The platform allows no more than three retries after a request
/// has crashed a third server. Failures of an availability zone are noticed by all routers within
/// 250 ms, and servers take seconds to start again.
pub const POLICY: StrikePolicy = StrikePolicy {
    strikes_max: 3,
    proven_strikes_max: 5,
    quarantine_ms: 600_000,
    common_cause_ms: 250,
    restart_min_ms: 1_000,
};

/// Fails if the request or a part of its prompt is in quarantine, and logs the crashes behind it.
/// Returns a trial if the request may run all the same, to find out whether it is sound.
pub fn check(
    state: &Arc<State>,
    routed: &RoutedRequest,
    history: &AttemptHistory,
) -> Result<Option<Trial>, Rejection> {
    let now_ms = state.now_ms();
    let refusals = refusals(state, routed, now_ms);
    let Some((refused, quarantine)) = refusals.first().copied() else {
        return Ok(None);
    };
    let all: Vec<Refused> = refusals.iter().map(|(refused, _)| *refused).collect();
    if let Some(trial) = trials::take(state, &routed.id, &all) {
        return Ok(Some(trial));
    }
    let Quarantine {
        fingerprint,
        left_ms,
    } = quarantine;
    let subject = match fingerprint == routed.fingerprint {
        true => "request",
        false => "part",
    };
    let pauses_ms = all
        .iter()
        .map(|refused| state.trials.record_refused(*refused, now_ms));
    let pauses_ms: Vec<Option<u64>> = pauses_ms.collect();
    // Each of the quarantines has to end.
    let pauses_ms: Option<Vec<u64>> = pauses_ms.into_iter().collect();
    let retry_after_ms = pauses_ms.and_then(|pauses_ms| pauses_ms.into_iter().max());
    let evidence = state.strikes.evidence(fingerprint, now_ms);
    let servers: Vec<&str> = evidence.iter().map(|crash| crash.server.as_str()).collect();
    let ages: Vec<String> = evidence.iter().map(|c| c.age_ms.to_string()).collect();
    log::info!(
        "event=quarantine_hit id={} fingerprint={fingerprint} subject={subject} servers={} \
         ages_ms={} left_ms={left_ms} trial={}",
        routed.id,
        servers.join(","),
        ages.join(","),
        refused.subject,
    );
    match history.possible_runs {
        0 => Err(Rejection::Quarantined {
            retry_after_ms: retry_after_ms.map_or(left_ms, |pause_ms| pause_ms.min(left_ms)),
        }),
        _ => Err(Rejection::AnswerLost),
    }
}

/// Quarantines that refuse a request: its own, or those of its prompt parts.
fn refusals(state: &State, routed: &RoutedRequest, now_ms: u64) -> Vec<(Refused, Quarantine)> {
    match state.strikes.status(routed.fingerprint, now_ms, POLICY) {
        StrikeStatus::Quarantined { left_ms } => {
            let refused = Refused {
                subject: routed.fingerprint,
                verdict: routed.fingerprint,
            };
            let quarantine = Quarantine {
                fingerprint: routed.fingerprint,
                left_ms,
            };
            vec![(refused, quarantine)]
        }
        StrikeStatus::Clear | StrikeStatus::Struck => {
            let (parts, caller) = (&routed.prompt_parts, routed.caller_hash());
            state.strikes.refused_parts(parts, caller, now_ms)
        }
    }
}

/// Keeps the quarantines of all routers.
pub trait QuarantineStore: Send + Sync + 'static {
    /// Reads all stored quarantines.
    fn load(&self) -> SourceFuture<'_, Result<StoredQuarantines, SourceError>>;

    /// Writes and removes quarantines, all or none.
    fn update<'a>(
        &'a self,
        set: &'a [StoredQuarantine],
        removed: &'a [Fingerprint],
    ) -> SourceFuture<'a, Result<(), SourceError>>;

    /// Claims the trial after the `claimed` first ones of a subject, unless another router has. A
    /// record of trials whose last one is older than `valid_ms` counts as none.
    fn claim_trial(&self, due: Due, valid_ms: u64) -> SourceFuture<'_, Result<Claim, SourceError>>;

    /// Removes the records of the trials of subjects whose quarantines have ended.
    fn remove_trials<'a>(
        &'a self,
        subjects: &'a [Fingerprint],
    ) -> SourceFuture<'a, Result<(), SourceError>>;
}

/// A quarantine as it is stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoredQuarantine {
    /// Request that is refused.
    pub fingerprint: Fingerprint,
    /// End of the quarantine, in ms on the store's clock.
    pub until_ms: u64,
}

/// Content of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoredQuarantines {
    /// Era of the store in which they were read.
    pub era: Era,
    /// All quarantines, also those that have ended.
    pub quarantines: Vec<StoredQuarantine>,
    /// Time of the store's clock, which is steady, in ms.
    pub now_ms: u64,
}

/// Interval between two reviews of the strikes.
const REVIEW_INTERVAL: Duration = Duration::from_secs(1);
/// Age at which a strike is reviewed. The row of a server that has ended is removed after three
/// heartbeats of 1.2 s, and its removal reaches all routers within two seconds.
const CONFIRMED_AFTER_MS: u64 = 8_000;

/// Removes the strikes for servers that go on running: a path that is cut may refuse connections to
/// them. Never returns.
pub async fn review_loop(state: Arc<State>) {
    loop {
        smol::Timer::after(REVIEW_INTERVAL).await;
        let incarnation = |server: &ServerId, age_ms| state.incarnation(server, age_ms);
        state
            .strikes
            .review(state.now_ms(), CONFIRMED_AFTER_MS, POLICY, incarnation);
    }
}

/// Interval at which a router that receives the tables from another one checks whether it has to
/// access the store.
const STANDBY_POLL: Duration = Duration::from_millis(500);
/// The same for a router that has no tables yet.
const START_POLL: Duration = Duration::from_millis(20);
/// Interval at which a router that reads the tables compares its quarantines with the stored ones.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of rows in an update; the platform accepts 100.
const UPDATE_ROWS_MAX: usize = 50;
/// Number of removed quarantines that are remembered for the case of a restore: several times those
/// that a fleet has at a time.
const REMOVED_MAX: usize = 1_024;
/// Shortest and longest pause after a failed access.
const RETRY_MS: std::ops::RangeInclusive<u64> = 500..=1_500;
/// Pause between two routers that compare their quarantines with a restored store, so that the later
/// ones find what the first one has stored: routers notice a restore within a second of each other.
const RESTORED_STEP_MS: u64 = 1_000;

/// Loads the stored quarantines and stores new ones, while no other router relays the tables to
/// this one. Never returns.
pub async fn store_loop(state: Arc<State>, store: Arc<dyn QuarantineStore>, mirrors: Mirrors) {
    let mut copy: Option<StoreCopy> = None;
    loop {
        if mirrors.iter().any(|mirror| mirror.is_relayed()) {
            smol::Timer::after(STANDBY_POLL).await;
            continue;
        }
        if mirrors.iter().any(|mirror| mirror.position().is_none()) {
            smol::Timer::after(START_POLL).await;
            continue;
        }
        let eras = mirrors.iter().filter_map(|mirror| mirror.position());
        let era = eras.map(|position| position.era).max().unwrap_or_default();
        if copy.as_mut().is_some_and(|copy| copy.begin_restore(era)) {
            log::warn!("event=quarantines_restored era={era}");
            smol::Timer::after(restore_pause(&state)).await;
            continue;
        }
        let result = match &mut copy {
            None => load(&state, &*store, None)
                .await
                .map(|loaded| copy = Some(loaded)),
            Some(outdated) if outdated.is_outdated => load(&state, &*store, Some(outdated))
                .await
                .map(|loaded| copy = Some(loaded)),
            Some(copy) => update(&state, &*store, copy).await,
        };
        match result {
            Ok(()) => _ = smol::Timer::after(UPDATE_INTERVAL).await,
            Err(error) => {
                log::warn!("event=quarantines_not_stored error=\"{error}\"");
                let pause_ms = rand::rng().random_range(RETRY_MS);
                smol::Timer::after(Duration::from_millis(pause_ms)).await;
            }
        }
    }
}

/// Pause of this router before it compares its quarantines with those of a restored store.
fn restore_pause(state: &State) -> Duration {
    let settings = state.settings();
    let relay = settings.relay.as_ref();
    let seeds = relay.map_or(&[][..], |relay| &relay.seeds);
    let rank = seeds
        .iter()
        .position(|seed| relay.is_some_and(|relay| *seed == relay.listen));
    let pause_ms = match rank {
        Some(rank) => rank as u64 * RESTORED_STEP_MS,
        // Routers that read the store for want of a relay follow the seeds, spread over one step.
        None => {
            seeds.len() as u64 * RESTORED_STEP_MS + rand::rng().random_range(0..RESTORED_STEP_MS)
        }
    };
    Duration::from_millis(pause_ms)
}

/// What the store is known to contain.
#[derive(Debug, Default)]
struct StoreCopy {
    /// Era in which it was read.
    era: Era,
    /// Whether the store has been restored since.
    is_outdated: bool,
    /// Quarantines that this router has removed from the store.
    removed: IndexSet<Fingerprint>,
    /// End of each quarantine, in ms on the store's clock.
    until_ms: IndexMap<Fingerprint, u64>,
    /// Time of the store's clock when it was read.
    read_store_ms: u64,
    /// Monotonic time when it was read.
    read_ms: u64,
}

impl StoreCopy {
    /// Marks the copy as outdated if the store has been restored; returns whether it was not before.
    fn begin_restore(&mut self, era: Era) -> bool {
        let is_restored = era > self.era && !self.is_outdated;
        self.is_outdated |= is_restored;
        is_restored
    }

    /// Whether this router knew a quarantine, so that it has ended or was lifted if it is not in
    /// force.
    fn has_known(&self, fingerprint: Fingerprint) -> bool {
        self.until_ms.contains_key(&fingerprint) || self.removed.contains(&fingerprint)
    }

    fn store_ms(&self, now_ms: u64) -> u64 {
        self.read_store_ms + now_ms.saturating_sub(self.read_ms)
    }
}

/// Reads the stored quarantines and puts those in force that were not known at `previous`.
async fn load(
    state: &State,
    store: &dyn QuarantineStore,
    previous: Option<&StoreCopy>,
) -> Result<StoreCopy, SourceError> {
    let stored = store.load().await?;
    let now_ms = state.now_ms();
    let is_new = |quarantine: &&StoredQuarantine| {
        previous.is_none_or(|previous| !previous.has_known(quarantine.fingerprint))
    };
    let new = stored.quarantines.iter().filter(is_new);
    let in_force = new.filter_map(|quarantine| {
        let left_ms = quarantine.until_ms.checked_sub(stored.now_ms)?;
        Some(Quarantine {
            fingerprint: quarantine.fingerprint,
            left_ms: left_ms.min(POLICY.quarantine_max_ms()),
        })
    });
    let in_force: Vec<Quarantine> = in_force.collect();
    let changes = StrikeChanges {
        strikes: Vec::new(),
        sound: Vec::new(),
        quarantines: state.strikes.apply_quarantines(&in_force, now_ms),
        as_of_ms: now_ms,
        ..StrikeChanges::default()
    };
    state.strike_feed.publish(changes, None);
    let quarantines = stored.quarantines.iter();
    Ok(StoreCopy {
        era: stored.era,
        is_outdated: false,
        removed: previous.map_or_else(IndexSet::new, |previous| previous.removed.clone()),
        until_ms: quarantines.map(|q| (q.fingerprint, q.until_ms)).collect(),
        read_store_ms: stored.now_ms,
        read_ms: now_ms,
    })
}

/// Stores the quarantines that are not stored yet or were extended, and removes those that have
/// ended or were lifted.
async fn update(
    state: &State,
    store: &dyn QuarantineStore,
    copy: &mut StoreCopy,
) -> Result<(), SourceError> {
    /// Smallest extension that is stored.
    const EXTENSION_MIN_MS: u64 = 5_000;
    let now_ms = state.now_ms();
    let store_ms = copy.store_ms(now_ms);
    let current = state.strikes.quarantines(now_ms);
    let is_unstored = |quarantine: &StoredQuarantine| {
        let known_ms = copy.until_ms.get(&quarantine.fingerprint);
        known_ms.is_none_or(|known_ms| known_ms + EXTENSION_MIN_MS <= quarantine.until_ms)
    };
    let set = current.iter().map(|quarantine| StoredQuarantine {
        fingerprint: quarantine.fingerprint,
        until_ms: store_ms + quarantine.left_ms,
    });
    let set: Vec<StoredQuarantine> = set.filter(is_unstored).take(UPDATE_ROWS_MAX).collect();
    let in_force: IndexSet<Fingerprint> = current.iter().map(|q| q.fingerprint).collect();
    let ended = copy.until_ms.keys().copied();
    let ended = ended.filter(|fingerprint| !in_force.contains(fingerprint));
    let ended: Vec<Fingerprint> = ended.take(UPDATE_ROWS_MAX).collect();
    if set.is_empty() && ended.is_empty() {
        return Ok(());
    }
    store.update(&set, &ended).await?;
    for quarantine in &set {
        copy.removed.shift_remove(&quarantine.fingerprint);
        copy.until_ms
            .insert(quarantine.fingerprint, quarantine.until_ms);
        log::info!(
            "event=quarantine_stored fingerprint={}",
            quarantine.fingerprint
        );
    }
    for fingerprint in &ended {
        copy.until_ms.swap_remove(fingerprint);
        copy.removed.insert(*fingerprint);
    }
    while copy.removed.len() > REMOVED_MAX {
        copy.removed.shift_remove_index(0);
    }
    Ok(())
}
