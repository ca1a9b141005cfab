//! Strikes and quarantines of one request.

use crate::decide::strikes::types::{DOUBLINGS_MAX, Incarnation, StrikePolicy};
use crate::ids::ServerId;

#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Strike {
    pub(super) server: ServerId,
    pub(super) started_ms: u64,
    pub(super) at_ms: u64,
    /// Whether a server has completed the request since.
    pub(super) is_stale: bool,
    /// Whether the server is known to have ended.
    pub(super) is_confirmed: bool,
    /// Whether the end of the server is known from its silence.
    pub(super) is_silent: bool,
}

#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Entry {
    pub(super) strikes: Vec<Strike>,
    pub(super) is_proven: bool,
    pub(super) quarantined_until_ms: u64,
    /// When the quarantine began, or this router learned of it.
    pub(super) quarantined_since_ms: u64,
    /// Number of quarantines so far. After the first, one more strike is enough for the next.
    pub(super) quarantines: u32,
}

impl Entry {
    pub(super) fn is_quarantined(&self, now_ms: u64) -> bool {
        self.quarantined_until_ms > now_ms
    }

    /// Number of strikes that count after one at `server`. Strikes from before a completion no
    /// longer count together with those from other servers, but still with further ones from the
    /// same server.
    fn counted_strikes(&self, server: &ServerId, policy: StrikePolicy) -> u32 {
        let strikes = self.strikes.iter();
        let strikes = strikes.filter(|strike| !strike.is_stale || strike.server == *server);
        if !self.is_proven {
            return strikes.count() as u32;
        }
        let mut count = 0;
        let mut last: Option<&Strike> = None;
        for strike in strikes {
            let has_own_cause = |last: &Strike| {
                let is_silent = strike.is_silent || last.is_silent;
                strike.started_ms >= last.at_ms
                    || strike.at_ms >= last.at_ms + policy.common_cause_ms(is_silent)
            };
            if last.is_none_or(has_own_cause) {
                count += 1;
                last = Some(strike);
            }
        }
        count
    }

    /// Whether the strikes are enough for a quarantine after this number of earlier ones.
    pub(super) fn has_enough_strikes(
        &self,
        earlier_quarantines: u32,
        policy: StrikePolicy,
    ) -> bool {
        let Some(last) = self.strikes.last() else {
            return false;
        };
        let strikes_max = match (earlier_quarantines, self.is_proven) {
            (1.., _) => 1,
            (0, true) => policy.proven_strikes_max,
            (0, false) => policy.strikes_max,
        };
        self.counted_strikes(&last.server, policy) >= strikes_max
    }

    /// Begins a quarantine with a crash at `at_ms`.
    pub(super) fn quarantine(&mut self, at_ms: u64, policy: StrikePolicy) {
        let doublings = self.quarantines.min(DOUBLINGS_MAX);
        self.quarantined_until_ms = at_ms + (policy.quarantine_ms << doublings);
        self.quarantined_since_ms = at_ms;
        self.quarantines += 1;
    }
}

/// Reviews evidence for the crash of a server; returns whether it is kept.
pub(in crate::decide) fn confirm<I>(is_confirmed: &mut bool, incarnation: I) -> bool
where
    I: FnOnce() -> Incarnation,
{
    if !*is_confirmed {
        match incarnation() {
            Incarnation::Running => return false,
            Incarnation::Ended => *is_confirmed = true,
            Incarnation::Unknown => {}
        }
    }
    true
}
