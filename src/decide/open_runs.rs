//! Runs that servers have begun and not completed, so that a server's end that is known only from its
//! silence can be attributed to the requests that it ran.
//!
//! A run that was given up counts like one that goes on: the caller may have left, or another server
//! may have been asked, while the server had ended already.

#[cfg(test)]
mod tests;

use indexmap::IndexMap;

use crate::decide::part_strikes::CrashedRun;
use crate::decide::strikes::Fingerprint;
use crate::ids::ServerId;

/// Maximum number of runs that are kept, the newest ones: some 300 bytes each.
const RUNS_MAX: usize = 2_048;
/// Time after which a run that was given up no longer counts. The row of a server that has ended is
/// removed within three heartbeats of 1.2 s, and its removal is known up to 0.5 s later; one that
/// starts again does so within seconds.
const GIVEN_UP_MS: u64 = 5_000;

/// Identifies a run among those of this router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RunId(u64);

/// A run that has not been completed, and a label for logs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Open<L> {
    /// The run; its end is not known.
    pub run: CrashedRun,
    /// What the caller of this module needs to describe the run.
    pub label: L,
    given_up_ms: Option<u64>,
}

/// The open runs of a router.
#[derive(Debug)]
pub struct OpenRuns<L> {
    runs: IndexMap<RunId, Open<L>>,
    last_id: u64,
}

impl<L> Default for OpenRuns<L> {
    fn default() -> Self {
        Self {
            runs: IndexMap::new(),
            last_id: 0,
        }
    }
}

impl<L> OpenRuns<L> {
    /// Adds a run that begins at `run.started_ms`.
    ///
    /// ```
    /// use jujubeusher::decide::open_runs::OpenRuns;
    /// use jujubeusher::decide::part_strikes::CrashedRun;
    /// use jujubeusher::decide::strikes::Fingerprint;
    /// use jujubeusher::ids::ServerId;
    ///
    /// let server = ServerId::from("i-1");
    /// let run = CrashedRun {
    ///     parts: Vec::new(),
    ///     request: Fingerprint(1),
    ///     caller: 0,
    ///     server: server.clone(),
    ///     started_ms: 100,
    ///     at_ms: 100,
    ///     is_silent: true,
    /// };
    /// let mut runs = OpenRuns::default();
    /// let id = runs.begin(run, "request 1");
    /// runs.give_up(id, 1_000);
    /// let taken = runs.take(&server, 4_000, 1_600);
    /// assert_eq!(taken[0].label, "request 1");
    /// ```
    pub fn begin(&mut self, run: CrashedRun, label: L) -> RunId {
        let now_ms = run.started_ms;
        // Runs are in the order of their begin, so that the oldest ones are first.
        while let Some((_, oldest)) = self.runs.first() {
            let is_over = oldest
                .given_up_ms
                .is_some_and(|given_up_ms| given_up_ms + GIVEN_UP_MS < now_ms);
            if !is_over && self.runs.len() < RUNS_MAX {
                break;
            }
            self.runs.shift_remove_index(0);
        }
        self.last_id += 1;
        let id = RunId(self.last_id);
        let open = Open {
            run,
            label,
            given_up_ms: None,
        };
        self.runs.insert(id, open);
        id
    }

    /// Records that the answer went on for some time, so that no part of the prompt is the cause of a
    /// later end.
    pub fn record_answer(&mut self, id: RunId) {
        if let Some(open) = self.runs.get_mut(&id) {
            open.run.parts.clear();
        }
    }

    /// Removes a run that its server has completed, or has not begun.
    pub fn complete(&mut self, id: RunId) {
        self.runs.shift_remove(&id);
    }

    /// Records that a run is no longer awaited.
    pub fn give_up(&mut self, id: RunId, now_ms: u64) {
        if let Some(open) = self.runs.get_mut(&id) {
            open.given_up_ms.get_or_insert(now_ms);
        }
    }

    /// Removes the runs of a request: a server has completed it, so that it does not end every
    /// server.
    pub fn remove_request(&mut self, request: Fingerprint) {
        self.runs.retain(|_, open| open.run.request != request);
    }

    /// Removes the runs of a request on a server whose crash was seen.
    pub fn remove(&mut self, server: &ServerId, request: Fingerprint) {
        self.runs
            .retain(|_, open| open.run.server != *server || open.run.request != request);
    }

    /// Removes the runs of a server whose end is known at `known_ms`, and returns those that it may
    /// have begun when it ended, `ended_ms` at the latest. Requests that were sent later reached
    /// nobody.
    pub fn take(&mut self, server: &ServerId, known_ms: u64, ended_ms: u64) -> Vec<Open<L>> {
        let mut taken = Vec::new();
        let runs = std::mem::take(&mut self.runs);
        for (id, open) in runs {
            if open.run.server != *server {
                self.runs.insert(id, open);
                continue;
            }
            let is_recent = open
                .given_up_ms
                .is_none_or(|given_up_ms| given_up_ms + GIVEN_UP_MS >= known_ms);
            if is_recent && open.run.started_ms <= ended_ms {
                taken.push(open);
            }
        }
        taken
    }
}
