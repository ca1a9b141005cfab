use super::{ChangeAction, DELTAS_MAX, UpdatePlan, check_change, plan_update};
use crate::ids::ConfigVersion;

/// Guards against a return to a lower version or a repeated version, for all small pairs of
/// versions.
#[test]
fn plan_update_and_check_change_never_go_back() {
    for active in 0..40 {
        for offered in 0..40 {
            let (active, offered) = (ConfigVersion(active), ConfigVersion(offered));
            let is_higher = offered > active;
            assert_eq!(
                plan_update(active, offered) != UpdatePlan::Ignore,
                is_higher
            );
            assert_eq!(
                check_change(active, offered, true) != ChangeAction::Ignore,
                is_higher
            );
        }
    }
}

/// Guards against applying a change to a text that it is not based on.
#[test]
fn check_change_applies_only_the_next_change() {
    let five = ConfigVersion(5);
    assert_eq!(
        check_change(five, ConfigVersion(6), true),
        ChangeAction::Apply
    );
    assert_eq!(
        check_change(five, ConfigVersion(6), false),
        ChangeAction::RequestMissing
    );
    assert_eq!(
        check_change(five, ConfigVersion(7), true),
        ChangeAction::RequestMissing
    );
    assert_eq!(
        check_change(ConfigVersion(0), ConfigVersion(1), true),
        ChangeAction::RequestMissing
    );
}

/// Guards against many single reads by a node that is far behind.
#[test]
fn plan_update_far_behind_reads_the_full_text() {
    let five = ConfigVersion(5);
    assert_eq!(
        plan_update(five, ConfigVersion(5 + DELTAS_MAX)),
        UpdatePlan::Changes(ConfigVersion(5 + DELTAS_MAX))
    );
    assert_eq!(
        plan_update(five, ConfigVersion(6 + DELTAS_MAX)),
        UpdatePlan::FullText
    );
}
