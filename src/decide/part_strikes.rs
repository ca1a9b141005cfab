//! Finds the parts of prompts that crash servers, from the runs that had not begun to answer when
//! their server crashed.
//!
//! Requests with such a part differ in all else, and sound requests have other parts in common with
//! them. A part is cleared of all crashes before an answer that began on it; of the others, the part
//! furthest back in the prompt is the narrowest explanation.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};

use crate::decide::strikes::{
    Completions, Evidence, Fingerprint, Incarnation, StrikePolicy, confirm,
};
use crate::ids::ServerId;

/// Maximum number of runs that are kept, the newest ones.
const RUNS_MAX: usize = 512;
/// Number of different requests that must have crashed servers before a part they share is
/// quarantined. With one, the request itself may be the cause.
const REQUESTS_MIN: usize = 2;
/// Number of callers whose requests must have crashed servers before a part is quarantined for all
/// of them. One caller could name parts that its requests do not have.
const CALLERS_MIN: usize = 2;

/// A run that had not begun to answer when its server crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashedRun {
    /// Parts of the prompt that other requests may have too, in order.
    pub parts: Vec<Fingerprint>,
    /// Content of the request.
    pub request: Fingerprint,
    /// Hash of the caller's team.
    pub caller: u64,
    /// Server that crashed.
    pub server: ServerId,
    /// When the request was sent, in monotonic ms.
    pub started_ms: u64,
    /// When the server crashed, in monotonic ms; the latest time if it was only silent.
    pub at_ms: u64,
    /// Whether the end of the server is known from its silence.
    pub is_silent: bool,
}

#[derive(Debug)]
struct Run {
    crashed: CrashedRun,
    /// Whether the server is known to have ended.
    is_confirmed: bool,
}

/// Requests that a quarantine of a part refuses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Callers {
    /// Those of one team, by the hash of its name.
    One(u64),
    /// Those of all teams.
    All,
}

/// Fingerprint of the requests of some callers that have a part, under which they are quarantined.
pub fn fingerprint(part: Fingerprint, callers: Callers) -> Fingerprint {
    let text = match callers {
        Callers::One(caller) => format!("part {:x} of {caller:x}", part.0),
        Callers::All => format!("part {:x}", part.0),
    };
    Fingerprint(xxhash_rust::xxh3::xxh3_64(text.as_bytes()))
}

/// Effect of a crashed run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Whether the run was not known before.
    pub is_new: bool,
    /// Fingerprints of the requests to quarantine.
    pub quarantined: Vec<Fingerprint>,
    /// Parts of the run that this router knows to be sound, with the time of the last answer.
    pub proven: Vec<(Fingerprint, u64)>,
}

/// Crashed runs and sound parts known to a router.
#[derive(Debug, Default)]
pub struct PartStrikes {
    runs: VecDeque<Run>,
    sound: Completions,
    /// Part of each quarantine that was derived from the runs.
    quarantines: IndexMap<Fingerprint, Fingerprint>,
}

impl PartStrikes {
    /// Whether no run is known.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Records that an answer began on these parts. Returns those that other routers may hold
    /// crashes against.
    pub fn record_sound(&mut self, parts: &[Fingerprint], now_ms: u64) -> Vec<Fingerprint> {
        let parts = parts.iter().copied();
        parts
            .filter(|part| self.apply_sound(*part, now_ms))
            .collect()
    }

    /// Clears a part of the crashes before an answer that began on it. Returns whether there were
    /// any, or the part was not known to be sound although a run has it.
    pub fn apply_sound(&mut self, part: Fingerprint, at_ms: u64) -> bool {
        let was_proven = self.sound.last_ms(part).is_some();
        if self
            .sound
            .last_ms(part)
            .is_none_or(|known_ms| known_ms < at_ms)
        {
            self.sound.record(part, at_ms);
        }
        let mut is_changed = false;
        for run in &mut self.runs {
            let parts = &mut run.crashed.parts;
            if !parts.contains(&part) {
                continue;
            }
            is_changed |= !was_proven;
            if run.crashed.at_ms <= at_ms {
                parts.retain(|other| *other != part);
                is_changed = true;
            }
        }
        self.runs.retain(|run| !run.crashed.parts.is_empty());
        is_changed
    }

    /// Quarantines of a part that were derived from the runs.
    pub fn quarantines_of(&self, part: Fingerprint) -> Vec<Fingerprint> {
        let of_part = self.quarantines.iter().filter(|(_, of)| **of == part);
        of_part.map(|(fingerprint, _)| *fingerprint).collect()
    }

    /// Forgets a quarantine that was lifted or has expired.
    pub fn forget_quarantine(&mut self, fingerprint: Fingerprint) {
        self.quarantines.swap_remove(&fingerprint);
    }

    /// Whether a router that receives the runs finds this quarantine by itself.
    pub fn is_derivable(&self, fingerprint: Fingerprint) -> bool {
        let part = self.quarantines.get(&fingerprint);
        part.is_some_and(|part| self.runs.iter().any(|r| r.crashed.parts.contains(part)))
    }

    /// Adds a run. `earlier` returns the number of quarantines of a fingerprint so far, and whether
    /// one is in force.
    pub fn add<Q>(&mut self, mut run: CrashedRun, policy: StrikePolicy, earlier: Q) -> Outcome
    where
        Q: Fn(Fingerprint) -> (u32, bool),
    {
        if run.parts.is_empty() || self.is_known(&run, policy) {
            return Outcome::default();
        }
        let newest_ms = run.at_ms;
        self.runs
            .retain(|known| known.crashed.at_ms + policy.quarantine_ms > newest_ms);
        let sound = run.parts.iter().filter_map(|part| {
            let sound_ms = self.sound.last_ms(*part)?;
            Some((*part, sound_ms))
        });
        let proven: Vec<(Fingerprint, u64)> = sound.collect();
        let is_cleared = |part: &Fingerprint| {
            let known = proven.iter().find(|(known, _)| known == part);
            known.is_some_and(|(_, sound_ms)| *sound_ms >= run.at_ms)
        };
        let callers = [Callers::One(run.caller), Callers::All];
        let refused = run.parts.iter().copied().find(|part| {
            let mut verdicts = callers.iter().map(|callers| fingerprint(*part, *callers));
            verdicts.any(|verdict| earlier(verdict).1)
        });
        // The run was sent before its router knew of the quarantine, which explains the crash.
        run.parts = match refused {
            Some(part) => vec![part],
            None => run
                .parts
                .iter()
                .copied()
                .filter(|p| !is_cleared(p))
                .collect(),
        };
        let mut outcome = Outcome {
            is_new: true,
            proven,
            ..Outcome::default()
        };
        if run.parts.is_empty() {
            return outcome;
        }
        if self.runs.len() >= RUNS_MAX {
            self.runs.pop_front();
        }
        let mut parts = run.parts.clone();
        self.runs.push_back(Run {
            crashed: run,
            is_confirmed: false,
        });
        self.runs
            .make_contiguous()
            .sort_by_key(|run| run.crashed.at_ms);
        // Parts never known to be sound first, and of those the one furthest back.
        parts.reverse();
        parts.sort_by_key(|part| self.sound.last_ms(*part).is_some());
        for part in &parts {
            for callers in callers {
                let verdict = fingerprint(*part, callers);
                let (count, is_in_force) = earlier(verdict);
                if !is_in_force && self.has_enough_runs(*part, callers, count, policy) {
                    outcome.quarantined.push(verdict);
                    self.quarantines.insert(verdict, *part);
                }
            }
            if !outcome.quarantined.is_empty() {
                self.explain(*part, &parts);
                break;
            }
        }
        outcome
    }

    fn is_known(&self, run: &CrashedRun, policy: StrikePolicy) -> bool {
        self.runs.iter().any(|known| {
            known.crashed.request == run.request
                && known.crashed.server == run.server
                && known.crashed.at_ms.abs_diff(run.at_ms) <= policy.restart_min_ms
        })
    }

    fn runs_with(
        &self,
        part: Fingerprint,
        callers: Callers,
    ) -> impl Iterator<Item = &CrashedRun> + Clone {
        let runs = self.runs.iter().map(|run| &run.crashed);
        runs.filter(move |run| {
            let is_counted = match callers {
                Callers::One(caller) => run.caller == caller,
                Callers::All => true,
            };
            is_counted && run.parts.contains(&part)
        })
    }

    /// Whether the runs are enough to quarantine a part for these callers, after this number of
    /// earlier quarantines.
    fn has_enough_runs(
        &self,
        part: Fingerprint,
        callers: Callers,
        earlier: u32,
        policy: StrikePolicy,
    ) -> bool {
        let runs = self.runs_with(part, callers);
        let distinct_callers: IndexSet<u64> = runs.clone().map(|run| run.caller).collect();
        if callers == Callers::All && distinct_callers.len() < CALLERS_MIN {
            return false;
        }
        if earlier > 0 {
            return runs.count() > 0;
        }
        let requests: IndexSet<Fingerprint> = runs.clone().map(|run| run.request).collect();
        let is_proven = self.sound.last_ms(part).is_some();
        let mut crashes: Vec<&CrashedRun> = Vec::new();
        for run in runs {
            let is_other_crash = |known: &&CrashedRun| {
                known.server != run.server || run.started_ms > known.at_ms + policy.restart_min_ms
            };
            let has_own_cause = crashes.last().is_none_or(|last| {
                let is_silent = run.is_silent || last.is_silent;
                run.started_ms >= last.at_ms
                    || run.at_ms >= last.at_ms + policy.common_cause_ms(is_silent)
            });
            if crashes.iter().all(is_other_crash) && (!is_proven || has_own_cause) {
                crashes.push(run);
            }
        }
        let crashes_min = match is_proven {
            true => policy.proven_strikes_max,
            false => policy.strikes_max,
        };
        requests.len() >= REQUESTS_MIN && crashes.len() as u32 >= crashes_min
    }

    /// Clears the other parts of a run of the crashes that a quarantined part explains.
    fn explain(&mut self, part: Fingerprint, others: &[Fingerprint]) {
        let servers = self.runs_with(part, Callers::All);
        let servers: IndexSet<ServerId> = servers.map(|run| run.server.clone()).collect();
        for run in &mut self.runs {
            let is_explained = servers.contains(&run.crashed.server);
            run.crashed
                .parts
                .retain(|p| *p == part || !is_explained || !others.contains(p));
        }
        self.runs.retain(|run| !run.crashed.parts.is_empty());
    }

    /// Reviews the runs that are `confirmed_after_ms` old or older: removes those whose server goes
    /// on running. Returns the quarantines that the others no longer justify.
    pub fn review<I>(
        &mut self,
        now_ms: u64,
        confirmed_after_ms: u64,
        policy: StrikePolicy,
        incarnation: I,
    ) -> Vec<Fingerprint>
    where
        I: Fn(&ServerId, u64) -> Incarnation,
    {
        let mut retracted: IndexSet<Fingerprint> = IndexSet::new();
        self.runs.retain_mut(|run| {
            let age_ms = now_ms.saturating_sub(run.crashed.at_ms);
            let server = &run.crashed.server;
            let is_kept = age_ms < confirmed_after_ms
                || confirm(&mut run.is_confirmed, || incarnation(server, age_ms));
            if !is_kept {
                retracted.extend(&run.crashed.parts);
            }
            is_kept
        });
        let mut lifted = Vec::new();
        for part in retracted {
            let mut callers: Vec<Callers> = vec![Callers::All];
            let runs = self.runs_with(part, Callers::All);
            callers.extend(runs.map(|run| Callers::One(run.caller)));
            let is_justified = |verdict: &Fingerprint| {
                let of_verdict = callers.iter().find(|c| fingerprint(part, **c) == *verdict);
                of_verdict.is_some_and(|c| self.has_enough_runs(part, *c, 0, policy))
            };
            let verdicts = self.quarantines_of(part);
            lifted.extend(verdicts.into_iter().filter(|v| !is_justified(v)));
        }
        for verdict in &lifted {
            self.quarantines.swap_remove(verdict);
        }
        lifted
    }

    /// Crashes behind the quarantine of a fingerprint, oldest first.
    pub fn evidence(&self, fingerprint: Fingerprint, now_ms: u64) -> Vec<Evidence> {
        let part = self.quarantines.get(&fingerprint);
        let runs = part
            .into_iter()
            .flat_map(|p| self.runs_with(*p, Callers::All));
        runs.map(|run| Evidence {
            server: run.server.clone(),
            age_ms: now_ms.saturating_sub(run.at_ms),
        })
        .collect()
    }

    /// Parts of the runs that are known to be sound, with the time of the last answer.
    pub fn sound_parts(&self) -> impl Iterator<Item = (Fingerprint, u64)> {
        let parts = self.runs().flat_map(|run| &run.parts);
        let parts: IndexSet<Fingerprint> = parts.copied().collect();
        let sound = parts.into_iter();
        sound.filter_map(|part| Some((part, self.sound.last_ms(part)?)))
    }

    /// All runs, oldest first.
    pub fn runs(&self) -> impl Iterator<Item = &CrashedRun> {
        self.runs.iter().map(|run| &run.crashed)
    }
}
