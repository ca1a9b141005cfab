//! Quarantines of prompt parts in the tracker.

use crate::decide::part_strikes::{Callers, CrashedRun, fingerprint as part_fingerprint};
use crate::decide::strikes::lifted::Answered;
use crate::decide::strikes::types::{Fingerprint, Quarantine, SoundPart, StrikePolicy};
use crate::decide::strikes::{OUTGOING_MAX, StrikeTracker};
use crate::decide::trials::Refused;

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
        let proven = outcome.proven.into_iter();
        self.queue_sound(proven.map(|(part, at_ms)| (part, Answered { caller: 0, at_ms })));
        outcome.is_new
    }

    /// Queues sound parts for other routers, as many as the queue has room for.
    fn queue_sound<S>(&mut self, sound: S)
    where
        S: IntoIterator<Item = (Fingerprint, Answered)>,
    {
        let room = OUTGOING_MAX.saturating_sub(self.outgoing_sound.len());
        self.outgoing_sound.extend(sound.into_iter().take(room));
    }

    /// Records that a server went on with an answer to a request of this caller on these parts, so
    /// that none of them crashes every server. Returns whether other routers need to know.
    pub fn on_answer_begun(&mut self, parts: &[Fingerprint], caller: u64, now_ms: u64) -> bool {
        let answered = Answered {
            caller,
            at_ms: now_ms,
        };
        let mut news = self.parts.record_sound(parts, now_ms);
        for part in parts {
            let is_lifted = self.lift_part(*part, answered, now_ms);
            if is_lifted && !news.contains(part) {
                news.push(*part);
            }
        }
        let is_news = !news.is_empty();
        self.queue_sound(news.into_iter().map(|part| (part, answered)));
        is_news
    }

    /// Applies a sound part that another router reports; returns whether it changed anything.
    pub fn apply_sound(&mut self, sound: SoundPart, now_ms: u64) -> bool {
        let answered = Answered {
            caller: sound.caller,
            at_ms: now_ms.saturating_sub(sound.age_ms),
        };
        let is_changed = self.parts.apply_sound(sound.part, answered.at_ms);
        self.lift_part(sound.part, answered, now_ms) || is_changed
    }

    /// Lifts the quarantines of a part that began before an answer on it; returns whether one was in
    /// force. Those that were read from the store, of which no crash is known, are found by their
    /// fingerprints.
    fn lift_part(&mut self, part: Fingerprint, answered: Answered, now_ms: u64) -> bool {
        if self.entries.is_empty() {
            return false;
        }
        let mut verdicts = self.parts.quarantines_of(part);
        let callers = [Callers::One(answered.caller), Callers::All];
        verdicts.extend(callers.map(|callers| part_fingerprint(part, callers)));
        let mut is_lifted = false;
        for verdict in verdicts {
            let entry = self.entries.get_mut(&verdict);
            let is_later = entry
                .as_ref()
                .is_some_and(|entry| entry.quarantined_since_ms > answered.at_ms);
            if is_later || self.parts.is_derivable(verdict) {
                // Servers crashed after that answer.
                continue;
            }
            if let Some(entry) = entry {
                if entry.is_quarantined(now_ms) {
                    self.lifted.record(verdict, entry.quarantined_until_ms);
                    is_lifted = true;
                }
                entry.quarantined_until_ms = entry.quarantined_until_ms.min(answered.at_ms);
                entry.quarantines = 0;
            }
            self.parts.forget_quarantine(verdict);
        }
        if is_lifted {
            self.lifted.record_part(part, answered);
        }
        is_lifted
    }

    /// Removes and returns the sound parts that were not yet sent to other routers.
    pub fn drain_sound(&mut self, now_ms: u64) -> Vec<SoundPart> {
        let sound = self.outgoing_sound.drain(..);
        sound
            .map(|(part, answered)| SoundPart {
                part,
                caller: answered.caller,
                age_ms: now_ms.saturating_sub(answered.at_ms),
            })
            .collect()
    }

    /// Removes and returns the fingerprints of parts that were quarantined since the last call.
    pub fn drain_quarantined(&mut self) -> Vec<Fingerprint> {
        std::mem::take(&mut self.newly_quarantined)
    }

    /// Removes and returns the quarantines that an answer has lifted since the last call.
    pub fn drain_lifted(&mut self) -> Vec<Fingerprint> {
        self.lifted.drain()
    }

    /// Quarantines that refuse the requests of a caller with these parts, one for each part that is
    /// refused; none if they may run.
    pub fn refused_parts(
        &self,
        parts: &[Fingerprint],
        caller: u64,
        now_ms: u64,
    ) -> Vec<(Refused, Quarantine)> {
        let callers = [Callers::One(caller), Callers::All];
        let refused = parts.iter().filter_map(|part| {
            let mut verdicts = callers.map(|c| part_fingerprint(*part, c)).into_iter();
            let verdict = verdicts.find(|verdict| self.is_in_force(*verdict, now_ms))?;
            let refused = Refused {
                subject: part_fingerprint(*part, Callers::All),
                verdict,
            };
            let quarantine = Quarantine {
                fingerprint: verdict,
                left_ms: self.entries[&verdict].quarantined_until_ms - now_ms,
            };
            Some((refused, quarantine))
        });
        refused.collect()
    }
}
