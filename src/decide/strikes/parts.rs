//! Quarantines of prompt parts in the tracker.

use crate::decide::part_strikes::{Callers, CrashedRun, fingerprint as part_fingerprint};
use crate::decide::strikes::types::{Fingerprint, Quarantine, SoundPart, StrikePolicy};
use crate::decide::strikes::{OUTGOING_MAX, StrikeTracker};

impl StrikeTracker {
    /// Adds a run whose parts may be the cause of a crash; returns whether it is new.
    pub(super) fn add_run(&mut self, run: CrashedRun, now_ms: u64, policy: StrikePolicy) -> bool {
        let at_ms = run.at_ms;
        let entries = &self.entries;
        let outcome = self.parts.add(run, policy, |fingerprint| {
            let entry = entries.get(&fingerprint);
            entry.map_or((0, false), |entry| {
                (entry.quarantines, entry.is_quarantined(now_ms))
            })
        });
        for fingerprint in &outcome.quarantined {
            let entry = self.entries.entry(*fingerprint).or_default();
            entry.quarantine(at_ms, policy);
        }
        self.newly_quarantined.extend(outcome.quarantined);
        self.queue_sound(outcome.proven);
        outcome.is_new
    }

    /// Queues sound parts for other routers, as many as the queue has room for.
    fn queue_sound<S>(&mut self, sound: S)
    where
        S: IntoIterator<Item = (Fingerprint, u64)>,
    {
        let room = OUTGOING_MAX.saturating_sub(self.outgoing_sound.len());
        self.outgoing_sound.extend(sound.into_iter().take(room));
    }

    /// Records that a server went on with an answer on these parts, so that none of them crashes
    /// every server. Returns whether other routers need to know.
    pub fn on_answer_begun(&mut self, parts: &[Fingerprint], now_ms: u64) -> bool {
        let struck = self.parts.record_sound(parts, now_ms);
        for part in &struck {
            self.lift_part(*part, now_ms);
        }
        self.queue_sound(struck.iter().map(|part| (*part, now_ms)));
        !struck.is_empty()
    }

    /// Applies a sound part that another router reports; returns whether it changed anything.
    pub fn apply_sound(&mut self, sound: SoundPart, now_ms: u64) -> bool {
        let at_ms = now_ms.saturating_sub(sound.age_ms);
        let is_changed = self.parts.apply_sound(sound.part, at_ms);
        if is_changed {
            self.lift_part(sound.part, at_ms);
        }
        is_changed
    }

    /// Lifts the quarantines of a part that began before an answer on it.
    fn lift_part(&mut self, part: Fingerprint, answered_ms: u64) {
        for fingerprint in self.parts.quarantines_of(part) {
            if self.parts.is_derivable(fingerprint) {
                // Servers crashed after that answer.
                continue;
            }
            if let Some(entry) = self.entries.get_mut(&fingerprint) {
                entry.quarantined_until_ms = entry.quarantined_until_ms.min(answered_ms);
                entry.quarantines = 0;
            }
            self.parts.forget_quarantine(fingerprint);
        }
    }

    /// Removes and returns the sound parts that were not yet sent to other routers.
    pub fn drain_sound(&mut self, now_ms: u64) -> Vec<SoundPart> {
        let sound = self.outgoing_sound.drain(..);
        sound
            .map(|(part, at_ms)| SoundPart {
                part,
                age_ms: now_ms.saturating_sub(at_ms),
            })
            .collect()
    }

    /// Removes and returns the fingerprints of parts that were quarantined since the last call.
    pub fn drain_quarantined(&mut self) -> Vec<Fingerprint> {
        std::mem::take(&mut self.newly_quarantined)
    }

    /// Fingerprint of the quarantine that refuses the requests of a caller with one of these parts,
    /// and its remaining time in ms; `None` if they may run.
    pub fn refused_part(
        &self,
        parts: &[Fingerprint],
        caller: u64,
        now_ms: u64,
    ) -> Option<Quarantine> {
        let callers = [Callers::One(caller), Callers::All];
        let mut verdicts = parts
            .iter()
            .flat_map(|part| callers.map(|callers| part_fingerprint(*part, callers)));
        verdicts.find_map(|fingerprint| {
            let entry = self.entries.get(&fingerprint)?;
            entry.is_quarantined(now_ms).then(|| Quarantine {
                fingerprint,
                left_ms: entry.quarantined_until_ms - now_ms,
            })
        })
    }
}
