//! Decides when a request that a quarantine refuses may be tried. A quarantine that a failure of
//! servers has caused would otherwise refuse sound requests for its whole time, since only an answer
//! shows that they are sound.
//!
//! The number of trials is bounded over all routers, each of which grants itself one through the
//! store, beside the requests. A trial whose server crashes confirms the quarantine.

#[cfg(test)]
mod tests;

use indexmap::{IndexMap, IndexSet};

use crate::decide::strikes::Fingerprint;

/// Time from the first refused request until the first trial. All routers in touch know of the
/// quarantine by then, and a failure of several servers that began before has shown its extent.
const FIRST_TRIAL_MS: u64 = 3_000;
/// Time from each trial until the next one. A platform allows three requests to reach servers after
/// the crashes that confirm their cause, so that no trial follows the third one.
const NEXT_TRIAL_MS: [u64; TRIALS_MAX as usize - 1] = [30_000, 120_000];
/// Maximum number of trials of a quarantine.
pub const TRIALS_MAX: u32 = 3;
/// Time after which a trial is expected to have an outcome: an answer must have gone on for 0.3 s.
const OUTCOME_MS: u64 = 2_000;
/// Time after its last refused request for which a router seeks a trial.
const ASKED_MS: u64 = 10_000;
/// Pause after a claim that failed.
const CLAIM_RETRY_MS: u64 = 1_000;
/// Longest time that a claim is expected to take, for the pause of refused callers.
const CLAIM_MS: u64 = 500;
/// Maximum number of subjects; requests of further ones are refused without a trial.
const SUBJECTS_MAX: usize = 1_024;

/// What is refused: a request, or a part of prompts for all callers together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// Identifies what is tried.
    pub subject: Fingerprint,
    /// Quarantine that refuses it: that of one team, or of all.
    pub verdict: Fingerprint,
}

/// A trial that this router may claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Due {
    /// What is to be tried.
    pub subject: Fingerprint,
    /// Number of trials that all routers have claimed, as far as this one knows.
    pub claimed: u32,
}

/// Result of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Claim {
    /// This router may try one request.
    Granted {
        /// Number of trials with this one.
        claimed: u32,
    },
    /// Another router has claimed the trial.
    Taken {
        /// Number of trials with that one.
        claimed: u32,
        /// Time since its claim in ms.
        age_ms: u64,
    },
    /// The store did not answer. The claim may have been stored.
    Failed,
}

#[derive(Debug)]
struct Subject {
    /// Quarantines that refused its requests.
    verdicts: IndexSet<Fingerprint>,
    claimed: u32,
    /// When the next trial may be claimed; `None` after the last one.
    due_ms: Option<u64>,
    /// When the last trial was claimed.
    claimed_ms: Option<u64>,
    refused_ms: u64,
    is_claiming: bool,
    has_permit: bool,
    is_own: bool,
}

impl Subject {
    fn record_claimed(&mut self, claimed: u32, claimed_ms: u64) {
        self.claimed = claimed;
        self.claimed_ms = Some(claimed_ms);
        let pause_ms = NEXT_TRIAL_MS.get(claimed.saturating_sub(1) as usize);
        self.due_ms = pause_ms.map(|pause_ms| claimed_ms + pause_ms);
    }

    /// Time until a refused caller may find the quarantine lifted, or a trial free; `None` if no
    /// further trial comes.
    fn retry_after_ms(&self, now_ms: u64) -> Option<u64> {
        let outcome_ms = self.claimed_ms.map(|claimed_ms| claimed_ms + OUTCOME_MS);
        match outcome_ms.filter(|outcome_ms| *outcome_ms > now_ms) {
            Some(outcome_ms) => Some(outcome_ms - now_ms),
            None => Some(self.due_ms?.saturating_sub(now_ms) + CLAIM_MS),
        }
    }
}

/// Trials of the requests that this router refuses.
#[derive(Debug, Default)]
pub struct Trials {
    subjects: IndexMap<Fingerprint, Subject>,
}

impl Trials {
    /// Takes this router's permit to try a request that all of these refuse; returns whether there
    /// was one for each. The permits are given back by [`Trials::give_back`] if the request is not
    /// sent.
    pub fn take(&mut self, refused: &[Refused]) -> bool {
        let has_all = !refused.is_empty()
            && refused.iter().all(|refused| {
                let subject = self.subjects.get(&refused.subject);
                subject.is_some_and(|subject| subject.has_permit)
            });
        if has_all {
            self.set_permits(refused, false);
        }
        has_all
    }

    /// Gives the permits of a request back that was not sent.
    pub fn give_back(&mut self, refused: &[Refused]) {
        self.set_permits(refused, true);
    }

    fn set_permits(&mut self, refused: &[Refused], has_permit: bool) {
        for refused in refused {
            if let Some(subject) = self.subjects.get_mut(&refused.subject) {
                subject.has_permit = has_permit;
            }
        }
    }

    /// Records that a request was refused; returns the time after which its caller may return, if a
    /// trial may lift the quarantine. `spread_ms` delays this router's claim, so that not all
    /// routers claim at once.
    pub fn record_refused(&mut self, refused: Refused, now_ms: u64, spread_ms: u64) -> Option<u64> {
        let is_full = self.subjects.len() >= SUBJECTS_MAX;
        if is_full && !self.subjects.contains_key(&refused.subject) {
            return None;
        }
        let subject = self.subjects.entry(refused.subject);
        let subject = subject.or_insert_with(|| Subject {
            verdicts: IndexSet::new(),
            claimed: 0,
            due_ms: Some(now_ms + FIRST_TRIAL_MS + spread_ms),
            claimed_ms: None,
            refused_ms: now_ms,
            is_claiming: false,
            has_permit: false,
            is_own: false,
        });
        subject.refused_ms = now_ms;
        subject.verdicts.insert(refused.verdict);
        subject.retry_after_ms(now_ms)
    }

    /// Returns the trials that are due, for which callers ask, and marks them as being claimed.
    ///
    /// ```
    /// use jujubeusher::decide::strikes::Fingerprint;
    /// use jujubeusher::decide::trials::{Claim, Refused, Trials};
    ///
    /// let refused = Refused {
    ///     subject: Fingerprint(1),
    ///     verdict: Fingerprint(1),
    /// };
    /// let mut trials = Trials::default();
    /// trials.record_refused(refused, 0, 0);
    /// assert!(trials.take_due(2_999).is_empty());
    /// let due = trials.take_due(3_000);
    /// trials.record_claim(due[0].subject, Claim::Granted { claimed: 1 }, 3_010);
    /// assert!(trials.take(&[refused]));
    /// assert!(!trials.take(&[refused]), "one request for each trial");
    /// ```
    pub fn take_due(&mut self, now_ms: u64) -> Vec<Due> {
        let mut due = Vec::new();
        for (fingerprint, subject) in &mut self.subjects {
            let is_due = subject.due_ms.is_some_and(|due_ms| due_ms <= now_ms);
            let is_asked = now_ms <= subject.refused_ms + ASKED_MS;
            if is_due && is_asked && !subject.has_permit && !subject.is_claiming {
                subject.is_claiming = true;
                due.push(Due {
                    subject: *fingerprint,
                    claimed: subject.claimed,
                });
            }
        }
        due
    }

    /// Records the result of a claim.
    pub fn record_claim(&mut self, subject: Fingerprint, claim: Claim, now_ms: u64) {
        let Some(subject) = self.subjects.get_mut(&subject) else {
            return;
        };
        subject.is_claiming = false;
        match claim {
            Claim::Granted { claimed } => {
                subject.record_claimed(claimed, now_ms);
                subject.has_permit = true;
                subject.is_own = true;
            }
            Claim::Taken { claimed, age_ms } => {
                subject.record_claimed(claimed, now_ms.saturating_sub(age_ms));
            }
            Claim::Failed => subject.due_ms = Some(now_ms + CLAIM_RETRY_MS),
        }
    }

    /// Removes the subjects that no quarantine refuses any more. Returns those of which this router
    /// has claimed a trial.
    pub fn remove_ended<Q>(&mut self, is_in_force: Q) -> Vec<Fingerprint>
    where
        Q: Fn(Fingerprint) -> bool,
    {
        let mut claimed = Vec::new();
        self.subjects.retain(|fingerprint, subject| {
            subject.verdicts.retain(|verdict| is_in_force(*verdict));
            let is_kept = !subject.verdicts.is_empty() || subject.is_claiming;
            if !is_kept && subject.is_own {
                claimed.push(*fingerprint);
            }
            is_kept
        });
        claimed
    }
}
