use bytes::Bytes;

use super::*;
use crate::gateway::relay::wire;
use crate::gateway::table::{RowEffect, TableHandler};

const NOW_MS: u64 = 10_000;

/// Applies every row.
struct AnyHandler;

impl TableHandler for AnyHandler {
    fn replace(&self, rows: &[Row]) -> Vec<RowEffect> {
        vec![RowEffect::Publish; rows.len()]
    }

    fn apply(&self, _row: &Row) -> RowEffect {
        RowEffect::Publish
    }

    fn keeps_missing(&self, _key: &str) -> bool {
        false
    }

    fn take_snapshot_due(&self) -> bool {
        false
    }

    fn begin_snapshot(&self, _era: Era, _is_restored: bool) {}

    fn source_unavailable(&self) {}

    fn source_available(&self, _read_ms: u64) {}
}

fn position(era: u64, version: u64) -> Position {
    Position {
        era: Era(Some(era)),
        version,
    }
}

fn message(era: Option<u64>, version: u64, is_snapshot: bool) -> Message {
    let row = wire::Row {
        key: "a".to_owned(),
        content: Some(Bytes::from_static(b"relayed")),
        ..wire::Row::default()
    };
    Message {
        table: 0,
        position: version,
        era,
        rows: vec![row],
        is_snapshot,
        ..Message::default()
    }
}

/// A mirror that has read the restored source itself.
fn mirror_in_era_2() -> [Arc<Mirror>; 1] {
    let mirror = Arc::new(Mirror::new("test", Arc::new(AnyHandler)));
    let rows = Rows {
        rows: Vec::new(),
        position: position(2, 20),
        read_ms: 0,
    };
    mirror.replace(rows, Origin::Source);
    [mirror]
}

/// Guards against a router that follows another one which has not noticed a restore, or which runs
/// an older version and states no era: no change would reach it.
#[test]
fn is_in_era_sender_in_an_earlier_or_unknown_era_is_not_followed() {
    for era in [None, Some(1)] {
        let mirrors = mirror_in_era_2();
        let mut tables = TableReceiver::new(&mirrors);
        tables.apply(message(era, 90, true), NOW_MS).unwrap();
        tables.apply(message(era, 91, false), NOW_MS).unwrap();
        assert!(tables.has_all());
        assert!(!tables.is_in_era(0));
        assert_eq!(mirrors[0].position(), Some(position(2, 20)));
    }
}

/// Guards against a router that stays on its own after the other one has caught up, and against
/// changes of a sender that is behind in the same era.
#[test]
fn is_in_era_sender_that_catches_up_is_followed() {
    let mirrors = mirror_in_era_2();
    let mut tables = TableReceiver::new(&mirrors);
    tables.apply(message(Some(1), 90, true), NOW_MS).unwrap();
    tables.apply(message(Some(2), 18, true), NOW_MS).unwrap();
    assert!(tables.is_in_era(0));
    assert_eq!(mirrors[0].position(), Some(position(2, 20)));
    tables.apply(message(Some(2), 23, false), NOW_MS).unwrap();
    assert_eq!(mirrors[0].position(), Some(position(2, 23)));
}

/// Guards against routers of older versions, or on a platform that states no era, that do not follow
/// each other any more.
#[test]
fn is_in_era_without_eras_is_followed() {
    let mirrors = [Arc::new(Mirror::new("test", Arc::new(AnyHandler)))];
    let mut tables = TableReceiver::new(&mirrors);
    tables.apply(message(None, 90, true), NOW_MS).unwrap();
    assert!(tables.is_in_era(0));
}

/// Guards against a sender whose updates count as new although it has the table from elsewhere, and it
/// has waited on the way.
#[test]
fn age_ms_counts_from_the_read_of_the_source() {
    let mirrors = mirror_in_era_2();
    let mut tables = TableReceiver::new(&mirrors);
    assert_eq!(tables.age_ms(0, NOW_MS), None);
    let relayed = Message {
        age_ms: Some(700),
        ..message(Some(2), 23, false)
    };
    tables.apply(relayed, NOW_MS - 400).unwrap();
    assert_eq!(tables.age_ms(0, NOW_MS + 50), Some(1_150));
    assert_eq!(mirrors[0].age_ms(NOW_MS), Some(1_100));
}

/// Guards against the age of a router's own read that hides that of the relayed table.
#[test]
fn age_ms_own_read_does_not_change_it() {
    let mirrors = mirror_in_era_2();
    let mut tables = TableReceiver::new(&mirrors);
    tables.apply(message(Some(2), 23, false), NOW_MS).unwrap();
    let rows = Rows {
        rows: Vec::new(),
        position: position(2, 30),
        read_ms: NOW_MS + 2_000,
    };
    let since = Extent::ChangesAfter(position(2, 23));
    mirrors[0].apply(rows, since, Origin::Source);
    assert_eq!(tables.age_ms(0, NOW_MS + 2_000), Some(2_000));
    assert_eq!(mirrors[0].age_ms(NOW_MS + 2_000), Some(0));
}
