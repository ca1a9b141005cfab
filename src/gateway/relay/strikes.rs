//! Exchange of strikes and quarantines over the links of the relay. Each router passes on what is
//! new to it, at once.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::decide::server_limit::LimitUpdate;
use crate::decide::strikes::{Fingerprint, Quarantine, Snapshot, SoundPart, StrikeDelta};
use crate::gateway::protocol::PROMPT_PARTS_MAX;
use crate::gateway::quarantine::POLICY;
use crate::gateway::relay::publish::send_in_time;
use crate::gateway::relay::wire::{self, Message};
use crate::gateway::relay::{NO_TABLE, Relay};
use crate::gateway::state::State;
use crate::gateway::strike_feed::{FeedLink, StrikeChanges};
use crate::ids::{Incarnation, ServerId};
use crate::peer::frame::{FrameWriter, LinkError};

/// Maximum number of entries in a message: some 7 KB, which a subscriber's share of a link of 10 Mbit/s
/// carries in 0.1 s.
const ENTRIES_PER_MESSAGE_MAX: usize = 100;
const MILLI: f64 = 1_000.0;

/// Publishes the strikes that this router records. Never returns.
pub(super) async fn publish_loop(relay: Arc<Relay>) {
    let state = &relay.state;
    loop {
        state.strikes.wait_for_change().await;
        let as_of_ms = state.now_ms();
        let changes = StrikeChanges {
            strikes: state.strikes.drain_outgoing(as_of_ms),
            sound: state.strikes.drain_sound(as_of_ms),
            as_of_ms,
            ..StrikeChanges::default()
        };
        state.strike_feed.publish(changes, None);
    }
}

/// Changes that wait to be sent over one link. Each of its messages is small, so that tables and counts
/// do not wait for many strikes.
pub(super) struct StrikeOutbox<'a> {
    feed: &'a FeedLink,
    waiting: VecDeque<StrikeChanges>,
}

impl<'a> StrikeOutbox<'a> {
    /// Opens an outbox with all that is known, for a router that has just been linked; later changes
    /// come from `feed`.
    pub(super) fn open(state: &State, feed: &'a FeedLink) -> Self {
        let as_of_ms = state.now_ms();
        let Snapshot {
            strikes,
            sound,
            quarantines,
        } = state.strikes.snapshot(as_of_ms, POLICY);
        let changes = StrikeChanges {
            strikes,
            sound,
            quarantines,
            limits: state.reachability.limit_updates(as_of_ms),
            as_of_ms,
        };
        Self {
            feed,
            waiting: changes.split(ENTRIES_PER_MESSAGE_MAX).into(),
        }
    }

    /// The next changes that wait, without those that have not been taken from the feed.
    pub(super) fn pop_waiting(&mut self) -> Option<StrikeChanges> {
        self.waiting.pop_front()
    }

    /// Waits for the next changes. Nothing is lost if the future is dropped.
    pub(super) async fn next(&mut self) -> Result<StrikeChanges, LinkError> {
        loop {
            if let Some(changes) = self.pop_waiting() {
                return Ok(changes);
            }
            let changes = self.feed.changes.recv().await;
            let changes = changes.map_err(|_| LinkError::Closed)?;
            self.waiting = changes.split(ENTRIES_PER_MESSAGE_MAX).into();
        }
    }
}

/// Sends changes as one message.
pub(super) async fn send_changes(
    state: &State,
    writer: &mut FrameWriter,
    changes: &StrikeChanges,
) -> Result<(), LinkError> {
    let queued_ms = state.now_ms().saturating_sub(changes.as_of_ms);
    let sound_parts = changes.sound.iter().map(|sound| wire::SoundPart {
        part: sound.part.0,
        age_ms: sound.age_ms.saturating_add(queued_ms),
        caller: sound.caller,
    });
    let strikes = changes.strikes.iter();
    let quarantines = changes.quarantines.iter();
    let quarantines = quarantines.map(|quarantine| wire::Quarantine {
        fingerprint: quarantine.fingerprint.0,
        left_ms: quarantine.left_ms.saturating_sub(queued_ms),
    });
    let limits = changes.limits.iter();
    let message = Message {
        table: NO_TABLE,
        sound_parts: sound_parts.collect(),
        strikes: strikes.map(|strike| encode(strike, queued_ms)).collect(),
        quarantines: quarantines.collect(),
        server_limits: limits.map(|limit| encode_limit(limit, queued_ms)).collect(),
        ..Message::default()
    };
    send_in_time(writer, &message).await
}

fn encode(strike: &StrikeDelta, queued_ms: u64) -> wire::Strike {
    wire::Strike {
        fingerprint: strike.fingerprint.0,
        server: strike.server.as_str().to_owned(),
        count: strike.count,
        // A faulty peer may state any age.
        age_ms: strike.age_ms.saturating_add(queued_ms),
        ran_ms: strike.ran_ms,
        is_proven: strike.is_proven,
        parts: strike.parts.iter().map(|part| part.0).collect(),
        caller: strike.caller,
        is_silent: strike.is_silent,
    }
}

fn encode_limit(limit: &LimitUpdate, queued_ms: u64) -> wire::ServerLimit {
    wire::ServerLimit {
        server: limit.server.as_str().to_owned(),
        incarnation: limit.incarnation.0,
        limit_milli_per_s: limit.limit_per_s.map(|limit| (limit * MILLI) as u64),
        age_ms: limit.age_ms.saturating_add(queued_ms),
    }
}

fn decode_limit(limit: &wire::ServerLimit) -> LimitUpdate {
    LimitUpdate {
        server: ServerId::from(limit.server.as_str()),
        incarnation: Incarnation(limit.incarnation),
        limit_per_s: limit.limit_milli_per_s.map(|limit| limit as f64 / MILLI),
        age_ms: limit.age_ms,
    }
}

fn decode(strike: &wire::Strike) -> StrikeDelta {
    let parts = strike.parts.iter().take(PROMPT_PARTS_MAX);
    StrikeDelta {
        fingerprint: Fingerprint(strike.fingerprint),
        server: ServerId::from(strike.server.as_str()),
        count: strike.count,
        ran_ms: strike.ran_ms,
        is_proven: strike.is_proven,
        parts: parts.map(|part| Fingerprint(*part)).collect(),
        caller: strike.caller,
        is_silent: strike.is_silent,
        age_ms: strike.age_ms,
    }
}

/// Applies the strikes and quarantines of a message, and passes on those that are new.
pub(super) fn apply_strikes(state: &State, message: &Message, origin: Option<u64>) {
    let has_strikes = !message.strikes.is_empty() || !message.sound_parts.is_empty();
    let has_limits = !message.server_limits.is_empty();
    if !has_strikes && !has_limits && message.quarantines.is_empty() {
        return;
    }
    let now_ms = state.now_ms();
    let strikes: Vec<StrikeDelta> = message.strikes.iter().map(decode).collect();
    let sound = message.sound_parts.iter().map(|sound| SoundPart {
        part: Fingerprint(sound.part),
        caller: sound.caller,
        age_ms: sound.age_ms,
    });
    let sound: Vec<SoundPart> = sound.collect();
    let quarantines = message.quarantines.iter().map(|quarantine| Quarantine {
        fingerprint: Fingerprint(quarantine.fingerprint),
        left_ms: quarantine.left_ms.min(POLICY.quarantine_max_ms()),
    });
    let quarantines: Vec<Quarantine> = quarantines.collect();
    let changes = StrikeChanges {
        sound: state.strikes.apply_sound(&sound, now_ms),
        strikes: state.strikes.apply_remote(&strikes, now_ms, POLICY),
        quarantines: state.strikes.apply_quarantines(&quarantines, now_ms),
        limits: state.apply_limit_updates(message.server_limits.iter().map(decode_limit), now_ms),
        as_of_ms: now_ms,
    };
    state.strike_feed.publish(changes, origin);
}
