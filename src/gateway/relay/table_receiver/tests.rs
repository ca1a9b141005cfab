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

    fn source_available(&self) {}
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
fn is_current_sender_in_an_earlier_or_unknown_era_is_not_followed() {
    for era in [None, Some(1)] {
        let mirrors = mirror_in_era_2();
        let mut tables = TableReceiver::new(&mirrors);
        tables.apply(message(era, 90, true), NOW_MS).unwrap();
        tables.apply(message(era, 91, false), NOW_MS).unwrap();
        assert!(tables.has_all());
        assert!(!tables.is_current());
        assert_eq!(mirrors[0].position(), Some(position(2, 20)));
    }
}

/// Guards against a router that stays on its own after the other one has caught up, and against
/// changes of a sender that is behind in the same era.
#[test]
fn is_current_sender_that_catches_up_is_followed() {
    let mirrors = mirror_in_era_2();
    let mut tables = TableReceiver::new(&mirrors);
    tables.apply(message(Some(1), 90, true), NOW_MS).unwrap();
    tables.apply(message(Some(2), 18, true), NOW_MS).unwrap();
    assert!(tables.is_current());
    assert_eq!(mirrors[0].position(), Some(position(2, 20)));
    tables.apply(message(Some(2), 23, false), NOW_MS).unwrap();
    assert_eq!(mirrors[0].position(), Some(position(2, 23)));
}

/// Guards against routers of older versions, or on a platform that states no era, that do not follow
/// each other any more.
#[test]
fn is_current_without_eras_is_followed() {
    let mirrors = [Arc::new(Mirror::new("test", Arc::new(AnyHandler)))];
    let mut tables = TableReceiver::new(&mirrors);
    tables.apply(message(None, 90, true), NOW_MS).unwrap();
    assert!(tables.is_current());
}
