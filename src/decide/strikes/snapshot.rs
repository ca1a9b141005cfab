//! What a tracker tells a router that has just been linked.

use crate::decide::strikes::StrikeTracker;
use crate::decide::strikes::types::{Fingerprint, Snapshot, SoundPart, StrikeDelta, StrikePolicy};

/// Maximum number of strikes in a snapshot, the newest ones: 40 KB on a link between routers.
const SNAPSHOT_MAX: usize = 1_000;

impl StrikeTracker {
    /// What a router that has just been linked needs to know.
    pub fn snapshot(&self, now_ms: u64, policy: StrikePolicy) -> Snapshot {
        let entries = self.entries.iter();
        let strikes = entries.flat_map(|(fingerprint, entry)| {
            let strikes = entry.strikes.iter().filter(|strike| !strike.is_stale);
            strikes.map(move |strike| StrikeDelta {
                fingerprint: *fingerprint,
                server: strike.server.clone(),
                count: self.strike_count(*fingerprint, &strike.server),
                ran_ms: strike.at_ms - strike.started_ms,
                is_proven: entry.is_proven,
                parts: Vec::new(),
                caller: 0,
                is_silent: strike.is_silent,
                age_ms: now_ms.saturating_sub(strike.at_ms),
            })
        });
        let runs = self.parts.runs().map(|run| StrikeDelta {
            fingerprint: run.request,
            server: run.server.clone(),
            count: self.strike_count(run.request, &run.server).max(1),
            ran_ms: run.at_ms.saturating_sub(run.started_ms),
            is_proven: false,
            parts: run.parts.clone(),
            caller: run.caller,
            is_silent: run.is_silent,
            age_ms: now_ms.saturating_sub(run.at_ms),
        });
        let mut strikes: Vec<StrikeDelta> = runs.chain(strikes).collect();
        strikes.sort_by_key(|strike| strike.age_ms);
        strikes.truncate(SNAPSHOT_MAX);
        let sound = self.parts.sound_parts().map(|(part, at_ms)| SoundPart {
            part,
            caller: 0,
            age_ms: now_ms.saturating_sub(at_ms),
        });
        let lifted = self.lifted.parts().map(|(part, answered)| SoundPart {
            part,
            caller: answered.caller,
            age_ms: now_ms.saturating_sub(answered.at_ms),
        });
        let mut quarantines = self.quarantines(now_ms);
        quarantines.retain(|quarantine| !self.is_derivable(quarantine.fingerprint, policy));
        Snapshot {
            strikes,
            sound: sound.chain(lifted).collect(),
            quarantines,
        }
    }

    /// Whether a router that receives the strikes of a request finds it quarantined.
    fn is_derivable(&self, fingerprint: Fingerprint, policy: StrikePolicy) -> bool {
        if self.parts.is_derivable(fingerprint) {
            return true;
        }
        let entry = self.entries.get(&fingerprint);
        entry.is_some_and(|entry| entry.quarantines == 1 && entry.has_enough_strikes(0, policy))
    }
}
