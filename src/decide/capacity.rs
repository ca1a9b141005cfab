//! Whether a server may get a request now, from all that is known of it.

#[cfg(test)]
mod tests;

use crate::decide::cold_start::Cold;
use crate::decide::server_limit::Room;

/// What is known of a registered server that does not leave.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Knowledge {
    /// Time from which its zone is known to be evacuated.
    pub evacuated_since_ms: Option<u64>,
    /// Time from which it cannot be reached.
    pub unreachable_since_ms: Option<u64>,
    /// End of the pause that it asked for.
    pub pause_end_ms: Option<u64>,
    /// Its cold time, if it is cold.
    pub cold: Option<Cold>,
    /// Room for this router's requests while it is cold.
    pub cold_room: Room,
    /// Room for this router's requests within the limit that it announced.
    pub limit_room: Room,
}

/// Why a server gets no request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldReason {
    /// Its zone is evacuated.
    Evacuated,
    /// It cannot be reached.
    Unreachable,
    /// It asked for a pause.
    Paused,
    /// It is cold, and this router has no unit of its limit.
    Cold,
    /// This router has no unit of the limit that it announced.
    AtLimit,
}

impl HoldReason {
    /// All reasons.
    pub const ALL: [Self; 5] = [
        Self::Evacuated,
        Self::Unreachable,
        Self::Paused,
        Self::Cold,
        Self::AtLimit,
    ];

    /// Name in the state dump and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Evacuated => "evacuated",
            Self::Unreachable => "unreachable",
            Self::Paused => "paused",
            Self::Cold => "cold",
            Self::AtLimit => "at_limit",
        }
    }
}

/// A server that is held back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hold {
    pub reason: HoldReason,
    /// Time from which the reason is known; `None` if it is not recorded.
    pub since_ms: Option<u64>,
    /// Time at which the server is worth another look; `None` if only a message can end it.
    pub until_ms: Option<u64>,
}

/// Whether a server may get a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// It may get one; a cold server only if no warm one can take it.
    Open { is_cold: bool },
    /// It may not.
    Held(Hold),
}

impl Knowledge {
    /// Whether the server may get a request. Of several reasons, the one that lasts longest counts.
    ///
    /// ```
    /// use jujubeusher::decide::capacity::{Availability, HoldReason, Knowledge};
    /// use jujubeusher::decide::server_limit::Room;
    /// let open = Knowledge {
    ///     evacuated_since_ms: None,
    ///     unreachable_since_ms: None,
    ///     pause_end_ms: None,
    ///     cold: None,
    ///     cold_room: Room::Free,
    ///     limit_room: Room::Free,
    /// };
    /// assert_eq!(open.availability(), Availability::Open { is_cold: false });
    /// let paused = Knowledge { pause_end_ms: Some(500), ..open };
    /// assert!(matches!(paused.availability(),
    ///     Availability::Held(hold) if hold.reason == HoldReason::Paused));
    /// ```
    pub fn availability(&self) -> Availability {
        let held = |reason, since_ms, until_ms| {
            Availability::Held(Hold {
                reason,
                since_ms,
                until_ms,
            })
        };
        if let Some(since_ms) = self.evacuated_since_ms {
            return held(HoldReason::Evacuated, Some(since_ms), None);
        }
        if let Some(since_ms) = self.unreachable_since_ms {
            return held(HoldReason::Unreachable, Some(since_ms), None);
        }
        if let Some(end_ms) = self.pause_end_ms {
            return held(HoldReason::Paused, None, Some(end_ms));
        }
        match (self.cold, self.cold_room, self.limit_room) {
            (Some(cold), Room::UsedUp(until_ms), _) => {
                // A router that gets no units has room when the cold time ends.
                let until_ms = until_ms.map_or(cold.until_ms, |room| room.min(cold.until_ms));
                held(HoldReason::Cold, Some(cold.since_ms), Some(until_ms))
            }
            (_, _, Room::UsedUp(until_ms)) => held(HoldReason::AtLimit, None, until_ms),
            (cold, _, Room::Free) => Availability::Open {
                is_cold: cold.is_some(),
            },
        }
    }

    /// Whether a request for which the server was selected may still be written to it, on a connection
    /// at hand: it was counted against the limits, and the connection shows that the server can be
    /// reached.
    pub fn may_write(&self) -> bool {
        let written = Self {
            unreachable_since_ms: None,
            cold_room: Room::Free,
            limit_room: Room::Free,
            ..*self
        };
        matches!(written.availability(), Availability::Open { .. })
    }
}
