//! Values that describe strikes: subjects, limits, changes and verdicts.

use serde::{Deserialize, Serialize};

use crate::ids::ServerId;

/// Maximum number of times that a quarantine is doubled.
pub(super) const DOUBLINGS_MAX: u32 = 6;

/// Hash that identifies a request by its content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Computes the hash of method, path and body.
    ///
    /// ```
    /// use jujubeusher::decide::strikes::Fingerprint;
    /// let of = |body: &str| Fingerprint::of("POST", "/v1/chat/completions", body.as_bytes());
    /// assert_eq!(of("a"), of("a"));
    /// assert_ne!(of("a"), of("b"));
    /// ```
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        let seed = xxhash_rust::xxh3::xxh3_64(format!("{method} {path}").as_bytes());
        Self(xxhash_rust::xxh3::xxh3_64_with_seed(body, seed))
    }

    /// Limits the fingerprint to the requests of one caller, so that no caller can get another's
    /// requests refused.
    ///
    /// ```
    /// use jujubeusher::decide::strikes::Fingerprint;
    /// let any = Fingerprint::of("GET", "/a", b"");
    /// assert_ne!(any.of_caller("team-1"), any.of_caller("team-2"));
    /// ```
    pub fn of_caller(self, caller: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64_with_seed(
            caller.as_bytes(),
            self.0,
        ))
    }
}

impl std::fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Limits from the rules of the inventory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StrikePolicy {
    /// Number of strikes at which a request is quarantined.
    pub strikes_max: u32,
    /// The same for a request that servers have completed before.
    pub proven_strikes_max: u32,
    /// How long a strike counts, and how long a request is quarantined for the first time.
    pub quarantine_ms: u64,
    /// Servers that end within this time of each other, under runs of a proven request that had
    /// begun before, may have a common cause.
    pub common_cause_ms: u64,
    /// Shortest time in which a server that has ended can run again under the same id. A further
    /// break within it does not count, as the server cannot have ended twice.
    pub restart_min_ms: u64,
}

/// How far apart the ends of servers that fall silent together may seem: their last heartbeats are up
/// to 1.2 s apart, and the removal of a row is known up to 0.5 s late.
const SILENCE_UNCERTAINTY_MS: u64 = 1_700;

impl StrikePolicy {
    /// Time within which two crashes may have a common cause; `is_silent` tells that the time of one
    /// of them is known from the server's silence.
    pub(crate) fn common_cause_ms(&self, is_silent: bool) -> u64 {
        match is_silent {
            true => self.common_cause_ms + SILENCE_UNCERTAINTY_MS,
            false => self.common_cause_ms,
        }
    }

    /// Longest time for which a request is quarantined, after many quarantines.
    pub fn quarantine_max_ms(&self) -> u64 {
        self.quarantine_ms << DOUBLINGS_MAX
    }
}

/// Whether and how a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StrikeStatus {
    /// Without restriction.
    Clear,
    /// In isolation: one copy at a time, on a server that runs no other struck request.
    Struck,
    /// Not at all; the request is refused.
    Quarantined {
        /// Remaining time of the quarantine.
        left_ms: u64,
    },
}

impl StrikeStatus {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Clear => "clear",
            Self::Struck => "struck",
            Self::Quarantined { .. } => "quarantined",
        }
    }
}

/// A change that a router sends to the others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StrikeDelta {
    /// Request that the change concerns.
    pub fingerprint: Fingerprint,
    /// Server that crashed or completed the request.
    pub server: ServerId,
    /// Crashes of this server under the request that the sender knows of; 0 when the server has
    /// completed the request.
    pub count: u32,
    /// Time for which the server had run the request when it crashed; 0 if unknown.
    pub ran_ms: u64,
    /// Whether the sender knows that a server completed the request before.
    pub is_proven: bool,
    /// Parts of the prompt, if the server crashed before it began to answer.
    pub parts: Vec<Fingerprint>,
    /// Hash of the caller's team; 0 without parts.
    pub caller: u64,
    /// Whether the crash is known from the server's silence.
    pub is_silent: bool,
    /// Time from the change until the sender sent it.
    pub age_ms: u64,
}

/// A part of a prompt on which an answer began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SoundPart {
    /// Hash of the part's id.
    pub part: Fingerprint,
    /// Hash of the team whose request was answered; 0 if it is not known.
    pub caller: u64,
    /// Time since the answer in ms.
    pub age_ms: u64,
}

/// A quarantine and its remaining time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quarantine {
    /// Request that is refused.
    pub fingerprint: Fingerprint,
    /// Remaining time.
    pub left_ms: u64,
}

/// What a router tells another one that has just been linked.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Strikes that count.
    pub strikes: Vec<StrikeDelta>,
    /// Which of their prompt parts are known to be sound. To be applied before the strikes.
    pub sound: Vec<SoundPart>,
    /// Quarantines that cannot be derived from the strikes.
    pub quarantines: Vec<Quarantine>,
}

/// A crash that counts against a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evidence {
    /// Server that crashed.
    pub server: ServerId,
    /// Time since the crash.
    pub age_ms: u64,
}

/// What is known of a server some time after it seemed to have crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Incarnation {
    /// It has been registered throughout, so it had not ended.
    Running,
    /// It is no longer registered, or was restarted.
    Ended,
    /// The registrations are not up to date, or not old enough.
    Unknown,
}
