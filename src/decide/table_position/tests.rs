use super::*;

fn position(era: u64, version: u64) -> Position {
    Position {
        era: Era(Some(era)),
        version,
    }
}

fn unknown_era(version: u64) -> Position {
    Position {
        era: Era(None),
        version,
    }
}

fn changes(since: Position) -> Extent {
    Extent::ChangesAfter(since)
}

/// Guards against versions that are compared across eras: those of a restored source are lower
/// than, equal to or higher than the known one.
#[test]
fn check_update_new_era_needs_a_snapshot_whatever_its_version() {
    let known = position(1, 26);
    for version in [1, 25, 26, 27, 900] {
        let at = position(2, version);
        let verdict = |extent| check_update(Some(known), at, extent);
        assert_eq!(verdict(changes(known)), Verdict::ReadSnapshot);
        assert_eq!(verdict(Extent::NextChanges), Verdict::ReadSnapshot);
        assert_eq!(verdict(Extent::Snapshot), Verdict::Restore);
    }
}

/// Guards against a router that follows only the next era: it may be away while the source is
/// restored several times.
#[test]
fn check_update_era_that_rose_by_three_is_restored() {
    let verdict = check_update(Some(position(1, 26)), position(4, 3), Extent::Snapshot);
    assert_eq!(verdict, Verdict::Restore);
}

/// Guards against a response that was on its way during the restore, and against a relay that has
/// not noticed the restore.
#[test]
fn check_update_earlier_era_is_ignored() {
    let known = Some(position(2, 20));
    let extents = [
        Extent::Snapshot,
        Extent::NextChanges,
        changes(position(1, 26)),
    ];
    for extent in extents {
        assert_eq!(
            check_update(known, position(1, 30), extent),
            Verdict::Ignore
        );
    }
}

/// Guards against changes that were requested after a version of an earlier era, and are answered
/// when the copy has reached the new era by another way.
#[test]
fn check_update_changes_after_a_position_of_another_era_are_ignored() {
    let known = Some(position(2, 20));
    let at = position(2, 30);
    assert_eq!(
        check_update(known, at, changes(position(1, 26))),
        Verdict::Ignore
    );
    assert_eq!(
        check_update(known, at, changes(position(2, 20))),
        Verdict::Apply
    );
}

/// Guards against a router of an older version, which states no era, that pulls a table back.
#[test]
fn check_update_unknown_era_changes_nothing_once_an_era_is_known() {
    let known = Some(position(1, 26));
    for extent in [Extent::Snapshot, Extent::NextChanges] {
        assert_eq!(
            check_update(known, unknown_era(90), extent),
            Verdict::Ignore
        );
    }
}

/// A source that states no era, and routers of older versions among themselves.
#[test]
fn check_update_unknown_eras_compare_by_version() {
    let known = Some(unknown_era(26));
    let verdict = |version, extent| check_update(known, unknown_era(version), extent);
    assert_eq!(verdict(25, Extent::Snapshot), Verdict::Ignore);
    assert_eq!(verdict(26, Extent::Snapshot), Verdict::Apply);
    assert_eq!(verdict(27, changes(unknown_era(26))), Verdict::Apply);
    assert_eq!(verdict(27, Extent::NextChanges), Verdict::Apply);
    assert_eq!(
        check_update(known, position(1, 3), Extent::Snapshot),
        Verdict::Restore
    );
}

#[test]
fn check_update_before_the_first_snapshot_only_a_snapshot_applies() {
    let at = position(3, 7);
    assert_eq!(check_update(None, at, Extent::Snapshot), Verdict::Apply);
    assert_eq!(
        check_update(None, at, Extent::NextChanges),
        Verdict::ReadSnapshot
    );
}
