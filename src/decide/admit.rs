//! Admission control: admits, defers or refuses a request by the usage of its target, the class
//! of its team and the team's fair share.

use serde::{Deserialize, Serialize};

use crate::ids::{Class, Urgency};

/// Half-width of the band around the threshold, as a fraction of the threshold, in which admission
/// depends on the team's share. Below the band shares are not enforced; above it nothing is
/// admitted.
const SHARE_BAND: f64 = 0.2;

/// Inputs of an admission decision.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Service class of the team.
    pub class: Class,
    /// Whether the request may be deferred.
    pub urgency: Urgency,
    /// Estimated requests divided by slots, over all servers of the target.
    pub usage: f64,
    /// Usage up to which requests of the class are admitted.
    pub threshold: f64,
    /// The team's use as a multiple of its fair share.
    pub level: f64,
}

/// Why a request is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The target's usage has reached the threshold of the class.
    Overloaded,
    /// The target's usage is close to the threshold and the team is over its fair share.
    OverShare,
}

/// Result of an admission decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Decision {
    /// The request may run now.
    Admit,
    /// The request is deferred until the target has capacity.
    Wait(Reason),
    /// The request is rejected without having run.
    Refuse(Reason),
}

/// Level (use over fair share) from which a team is not admitted, by the ratio of usage to
/// threshold.
///
/// Near the threshold the limit is close to 1, so that teams with unmet demand end up with equal
/// shares. With a limit that falls linearly, the teams that sent requests most often completed
/// 40% more than those that sent them least often. Above the threshold only teams well under their
/// share are admitted; otherwise each slot that becomes free goes to whichever request comes first.
fn level_limit(threshold_ratio: f64) -> f64 {
    let headroom = (1.0 - threshold_ratio) / SHARE_BAND;
    match headroom >= 1.0 {
        true => f64::INFINITY,
        false => 1.0 + headroom.powi(3),
    }
}

/// Decides whether a request is admitted, deferred or refused.
///
/// ```
/// use jujubeusher::decide::admit::{Decision, Reason, Request, decide};
/// use jujubeusher::ids::{Class, Urgency};
/// let request = Request {
///     class: Class::Free,
///     urgency: Urgency::Interactive,
///     usage: 0.72,
///     threshold: 0.7,
///     level: 1.0,
/// };
/// assert_eq!(decide(&request), Decision::Refuse(Reason::Overloaded));
/// assert_eq!(decide(&Request { threshold: 1.0, ..request }), Decision::Admit);
/// ```
pub fn decide(request: &Request) -> Decision {
    let threshold_ratio = match request.threshold > 0.0 {
        true => request.usage / request.threshold,
        false => f64::INFINITY,
    };
    // At or above its threshold free work is never admitted, even from a team far under its
    // share: the remaining capacity is reserved for paying work.
    let is_closed = request.class == Class::Free && threshold_ratio >= 1.0;
    if !is_closed && request.level < level_limit(threshold_ratio) {
        return Decision::Admit;
    }
    let reason = match threshold_ratio < 1.0 {
        true => Reason::OverShare,
        false => Reason::Overloaded,
    };
    match request.urgency {
        Urgency::Deferred => Decision::Wait(reason),
        Urgency::Interactive => Decision::Refuse(reason),
    }
}

#[cfg(test)]
mod tests;
