//! Decides how a node updates its configuration: from the active version to a higher one, and
//! never to a lower one.

use crate::ids::ConfigVersion;

/// Maximum number of versions that a node catches up by single changes, each of which costs a
/// read. A node further behind reads the full text instead.
pub const DELTAS_MAX: u64 = 16;

/// How to reach a version that the platform offers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdatePlan {
    /// Do nothing; the version is not higher than the active one.
    Ignore,
    /// Apply the changes of all versions after the active one, up to this one.
    Changes(ConfigVersion),
    /// Read the full text.
    FullText,
}

/// Decides how to reach an offered version.
///
/// ```
/// use jujubeusher::decide::version::{UpdatePlan, plan_update};
/// use jujubeusher::ids::ConfigVersion;
/// assert_eq!(plan_update(ConfigVersion(5), ConfigVersion(4)), UpdatePlan::Ignore);
/// assert_eq!(
///     plan_update(ConfigVersion(5), ConfigVersion(6)),
///     UpdatePlan::Changes(ConfigVersion(6)),
/// );
/// assert_eq!(plan_update(ConfigVersion(0), ConfigVersion(1)), UpdatePlan::FullText);
/// ```
pub fn plan_update(active: ConfigVersion, offered: ConfigVersion) -> UpdatePlan {
    if offered <= active {
        return UpdatePlan::Ignore;
    }
    // Version 0 means that there is no text yet to which changes could be applied.
    let needs_full_text = active.0 == 0 || offered.0 - active.0 > DELTAS_MAX;
    match needs_full_text {
        true => UpdatePlan::FullText,
        false => UpdatePlan::Changes(offered),
    }
}

/// What to do with a received change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeAction {
    /// Do nothing; the change is not newer than the active version.
    Ignore,
    /// Apply the change's sections.
    Apply,
    /// Request the missing changes or the full text: the change does not directly follow the
    /// active version, or carries no sections.
    RequestMissing,
}

/// Decides what to do with a received change.
pub fn check_change(
    active: ConfigVersion,
    change: ConfigVersion,
    has_sections: bool,
) -> ChangeAction {
    if change <= active {
        return ChangeAction::Ignore;
    }
    let is_next = change.0 == active.0 + 1 && active.0 > 0;
    match is_next && has_sections {
        true => ChangeAction::Apply,
        false => ChangeAction::RequestMissing,
    }
}

#[cfg(test)]
mod tests;
