//! How a node gets from the version in force to a higher one, and never to a lower one.

use crate::ids::ConfigVersion;

/// A node further behind takes the whole text: its changes may be many, and each costs a
/// read.
pub const DELTAS_MAX: u64 = 16;

/// What to do about a version that someone offers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdatePlan {
    /// Nothing: it is not higher than the one in force.
    Ignore,
    /// Take the changes of all versions after the one in force, up to this one.
    Changes(ConfigVersion),
    /// Take the whole text.
    FullText,
}

/// Decides how to reach an offered version.
///
/// ```
/// use jujubeusher::decide::version::{UpdatePlan, plan_update};
/// use jujubeusher::ids::ConfigVersion;
/// assert_eq!(plan_update(ConfigVersion(5), ConfigVersion(4)), UpdatePlan::Ignore);
/// assert_eq!(plan_update(ConfigVersion(5), ConfigVersion(6)), UpdatePlan::Changes(ConfigVersion(6)));
/// assert_eq!(plan_update(ConfigVersion(0), ConfigVersion(1)), UpdatePlan::FullText);
/// ```
pub fn plan_update(in_force: ConfigVersion, offered: ConfigVersion) -> UpdatePlan {
    if offered <= in_force {
        return UpdatePlan::Ignore;
    }
    // Without a text there is nothing that changes could be applied to.
    let is_far = in_force.0 == 0 || offered.0 - in_force.0 > DELTAS_MAX;
    match is_far {
        true => UpdatePlan::FullText,
        false => UpdatePlan::Changes(offered),
    }
}

/// What to do with one change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeAction {
    /// Nothing: it is in force or older.
    Ignore,
    /// Apply its sections.
    Apply,
    /// It does not follow the version in force, or has no sections: ask for what is missing.
    RequestMissing,
}

/// Decides about one change.
pub fn check_change(
    in_force: ConfigVersion,
    change: ConfigVersion,
    has_sections: bool,
) -> ChangeAction {
    if change <= in_force {
        return ChangeAction::Ignore;
    }
    let follows = change.0 == in_force.0 + 1 && in_force.0 > 0;
    match follows && has_sections {
        true => ChangeAction::Apply,
        false => ChangeAction::RequestMissing,
    }
}

#[cfg(test)]
mod tests;
