use super::*;

fn zones(names: &[&str]) -> IndexSet<ZoneId> {
    names.iter().map(|name| ZoneId::from(*name)).collect()
}

fn evacuated(evacuations: &Evacuations) -> Vec<&str> {
    evacuations.all().map(|(zone, _)| zone.as_str()).collect()
}

/// Guards against a zone that stays evacuated, or is not evacuated the second time, and against one
/// zone that ends the evacuation of another.
#[test]
fn evacuate_restored_zone_can_be_evacuated_again() {
    let (first, second) = (ZoneId::from("z1"), ZoneId::from("z2"));
    let mut evacuations = Evacuations::default();
    evacuations.evacuate(&first, 0);
    evacuations.evacuate(&second, 10);
    assert_eq!(evacuations.evacuate(&first, 20), None);
    assert_eq!(evacuations.since_ms(&first), Some(0));
    let restored = ZoneChange::Restored(first.clone(), 30);
    assert_eq!(evacuations.restore(&first, 30), Some(restored));
    assert_eq!(evacuations.restore(&first, 31), None);
    assert_eq!(evacuated(&evacuations), ["z2"]);
    evacuations.evacuate(&first, 40);
    assert_eq!(evacuations.since_ms(&first), Some(40));
}

/// Guards against a router that misses the removal of a row, as its history was lost, and holds the
/// zone back for good; and against an unreadable row that ends an evacuation.
#[test]
fn replace_missing_row_restores_and_unreadable_row_changes_nothing() {
    let mut evacuations = Evacuations::default();
    evacuations.replace(&zones(&["z1", "z2", "z3"]), &zones(&[]), 0);
    let changes = evacuations.replace(&zones(&["z1"]), &zones(&["z2", "z4"]), 50);
    let restored = ZoneChange::Restored(ZoneId::from("z3"), 50);
    assert_eq!(changes, [restored]);
    assert_eq!(evacuated(&evacuations), ["z1", "z2"]);
}

/// Guards against requests to a zone whose row is missing from a restored source until the operator
/// writes it again.
#[test]
fn replace_after_a_restore_keeps_what_the_copy_lacks_for_some_seconds() {
    let mut evacuations = Evacuations::default();
    evacuations.replace(&zones(&["z1", "z2"]), &zones(&[]), 0);
    evacuations.on_source_restored(1_000);
    let ended = |at_ms| evacuations.ended_by(&zones(&["z1"]), &zones(&[]), at_ms);
    assert_eq!(ended(1_000), []);
    assert_eq!(ended(1_000 + RESTORED_KEEP_MS), [ZoneId::from("z2")]);
    assert!(
        evacuations
            .replace(&zones(&[]), &zones(&[]), 1_000)
            .is_empty()
    );
    assert_eq!(evacuated(&evacuations), ["z1", "z2"]);
    // The operator writes one row again.
    evacuations.evacuate(&ZoneId::from("z1"), 3_000);
    assert!(!evacuations.take_snapshot_due(1_000 + RESTORED_KEEP_MS - 1));
    assert!(evacuations.take_snapshot_due(1_000 + RESTORED_KEEP_MS));
    assert!(!evacuations.take_snapshot_due(1_000 + RESTORED_KEEP_MS));
    evacuations.replace(&zones(&["z1"]), &zones(&[]), 9_500);
    assert_eq!(evacuated(&evacuations), ["z1"]);
}

/// Guards against a removal that is ignored because it comes soon after a restore.
#[test]
fn restore_removal_ends_a_kept_evacuation() {
    let zone = ZoneId::from("z1");
    let mut evacuations = Evacuations::default();
    evacuations.evacuate(&zone, 0);
    evacuations.on_source_restored(10);
    evacuations.replace(&zones(&[]), &zones(&[]), 10);
    assert!(evacuations.restore(&zone, 20).is_some());
    assert!(!evacuations.take_snapshot_due(100_000));
}
