//! Trials of requests in quarantine: claims them in the store, beside the requests, and hands them to
//! the next request that the quarantine refuses.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::RngExt;

use crate::decide::strikes::Fingerprint;
use crate::decide::trials::{Claim, Due, Refused, TRIALS_MAX, Trials};
use crate::gateway::quarantine::{POLICY, QuarantineStore};
use crate::gateway::state::State;
use crate::ids::{RequestId, ServerId};

/// Interval at which a router looks for trials that are due.
const CLAIM_INTERVAL: Duration = Duration::from_millis(250);
/// Range over which the claims of all routers are spread, so that most of them read the record of a
/// claim and few write.
const SPREAD_MS: std::ops::Range<u64> = 0..1_000;

/// The trials of a router.
#[derive(Debug, Default)]
pub struct QuarantineTrials(Mutex<Trials>);

impl QuarantineTrials {
    /// Records that a request was refused; returns the time after which its caller may return, if a
    /// trial may lift the quarantine.
    pub fn record_refused(&self, refused: Refused, now_ms: u64) -> Option<u64> {
        let spread_ms = rand::rng().random_range(SPREAD_MS);
        self.0.lock().record_refused(refused, now_ms, spread_ms)
    }
}

/// Permission to send one request that is in quarantine. Dropping it before [`Trial::begin`] gives
/// it back.
pub struct Trial {
    state: Arc<State>,
    id: RequestId,
    refused: Vec<Refused>,
    has_begun: bool,
}

impl Trial {
    /// Records that the request is sent to a server.
    pub fn begin(mut self, server: &ServerId) {
        self.has_begun = true;
        let subjects: Vec<String> = self
            .refused
            .iter()
            .map(|refused| refused.subject.to_string())
            .collect();
        log::warn!(
            "event=trial_sent id={} trial={} server={server}",
            self.id,
            subjects.join(","),
        );
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        if !self.has_begun {
            self.state.trials.0.lock().give_back(&self.refused);
        }
    }
}

/// Takes this router's trial of a request that all of these refuse, if there is one.
pub fn take(state: &Arc<State>, id: &RequestId, refused: &[Refused]) -> Option<Trial> {
    let has_permit = state.trials.0.lock().take(refused);
    has_permit.then(|| Trial {
        state: Arc::clone(state),
        id: id.clone(),
        refused: refused.to_vec(),
        has_begun: false,
    })
}

/// Claims the trials that are due, and removes the records of quarantines that have ended. Never
/// returns.
pub async fn claim_loop(state: Arc<State>, store: Arc<dyn QuarantineStore>) {
    loop {
        smol::Timer::after(CLAIM_INTERVAL).await;
        let now_ms = state.now_ms();
        let (ended, due) = {
            let mut trials = state.trials.0.lock();
            let ended = trials.remove_ended(|verdict| state.strikes.is_in_force(verdict, now_ms));
            (ended, trials.take_due(now_ms))
        };
        if !ended.is_empty() {
            remove(&*store, &ended).await;
        }
        for due in due {
            let claim = claim(&*store, due).await;
            let mut trials = state.trials.0.lock();
            trials.record_claim(due.subject, claim, state.now_ms());
        }
    }
}

async fn claim(store: &dyn QuarantineStore, due: Due) -> Claim {
    let Due { subject, claimed } = due;
    match store.claim_trial(due, POLICY.quarantine_ms).await {
        Ok(claim) => {
            log::info!("event=trial_claim trial={subject} known={claimed} result=\"{claim:?}\"");
            claim
        }
        Err(error) => {
            log::warn!("event=trial_not_claimed trial={subject} error=\"{error}\"");
            Claim::Failed
        }
    }
}

/// Removes the records of trials. Records that stay are valid for a limited time.
async fn remove(store: &dyn QuarantineStore, subjects: &[Fingerprint]) {
    for subject in subjects {
        log::info!("event=trials_ended trial={subject} of={TRIALS_MAX}");
    }
    if let Err(error) = store.remove_trials(subjects).await {
        log::warn!("event=trials_not_removed error=\"{error}\"");
    }
}
