use super::*;

/// Guards against a quarantine that was lifted and is taken up again because the copy from which the
/// store was restored holds it, and against ignoring those of other routers.
#[test]
fn has_known_covers_stored_and_removed_quarantines() {
    let mut copy = StoreCopy::default();
    copy.until_ms.insert(Fingerprint(1), 5_000);
    copy.removed.insert(Fingerprint(2));
    assert!(copy.has_known(Fingerprint(1)));
    assert!(copy.has_known(Fingerprint(2)));
    assert!(!copy.has_known(Fingerprint(3)));
}

/// Guards against a copy that is compared again at each poll while the store is read in a new era.
#[test]
fn begin_restore_is_true_once_for_each_rise() {
    let mut copy = StoreCopy {
        era: Era(Some(1)),
        ..StoreCopy::default()
    };
    assert!(!copy.begin_restore(Era(Some(1))));
    assert!(copy.begin_restore(Era(Some(3))));
    assert!(!copy.begin_restore(Era(Some(3))));
    assert!(copy.is_outdated);
}
