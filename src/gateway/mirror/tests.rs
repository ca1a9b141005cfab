use std::sync::atomic::AtomicUsize;

use super::*;
use crate::decide::table_position::Era;

fn effect(row: &Row) -> RowEffect {
    match &row.content {
        Some(content) if content.starts_with(b".") => RowEffect::Skip,
        Some(content) if content.starts_with(b"!") => RowEffect::Outdated,
        _ => RowEffect::Publish,
    }
}

/// Records its calls; content that starts with a dot is not published, and content that starts with
/// an exclamation mark is outdated.
#[derive(Default)]
struct RecordingHandler(Mutex<Vec<String>>, AtomicUsize);

impl TableHandler for RecordingHandler {
    fn replace(&self, rows: &[Row]) -> Vec<RowEffect> {
        self.0.lock().push(format!("replace {}", rows.len()));
        rows.iter().map(effect).collect()
    }

    fn apply(&self, row: &Row) -> RowEffect {
        self.0.lock().push(format!("apply {}", row.key));
        effect(row)
    }

    fn keeps_missing(&self, key: &str) -> bool {
        key == "kept-missing"
    }

    fn source_unavailable(&self) {
        self.0.lock().push("lost".to_owned());
    }

    fn take_snapshot_due(&self) -> bool {
        false
    }

    fn begin_snapshot(&self, _era: Era, is_restored: bool) {
        if is_restored {
            self.0.lock().push("restored".to_owned());
        }
    }

    fn source_available(&self, _read_ms: u64) {
        self.1.fetch_add(1, Ordering::Relaxed);
    }
}

fn at(version: u64) -> Position {
    Position {
        era: Era(Some(1)),
        version,
    }
}

fn snapshot(position: u64, pairs: &[(&str, Option<&str>)]) -> Update {
    Update::Snapshot(Arc::new(rows(position, pairs)))
}

fn changed(position: u64, pairs: &[(&str, Option<&str>)]) -> Update {
    Update::Changed(Arc::new(rows(position, pairs)))
}

fn rows(position: u64, pairs: &[(&str, Option<&str>)]) -> Rows {
    let row = |(key, content): &(&str, Option<&str>)| Row {
        key: (*key).to_owned(),
        content: content.map(|content| Bytes::from(content.to_owned())),
    };
    Rows {
        rows: pairs.iter().map(row).collect(),
        position: at(position),
        read_ms: 0,
    }
}

fn open() -> (Mirror, Arc<RecordingHandler>) {
    let calls = Arc::new(RecordingHandler::default());
    (Mirror::new("test", Arc::clone(&calls) as _), calls)
}

#[test]
fn subscribe_starts_with_a_snapshot() {
    let (mirror, _) = open();
    mirror.replace(
        rows(5, &[("a", Some("1")), ("b", Some("2"))]),
        Origin::Source,
    );
    mirror.apply(rows(6, &[("b", None)]), Extent::NextChanges, Origin::Source);
    let mut updates = mirror.subscribe(None);
    assert_eq!(updates.try_next(), Some(snapshot(6, &[("a", Some("1"))])));
}

/// Each server updates the heartbeat count in its row about once a second; relaying all of them
/// would exceed the bound on control traffic.
#[test]
fn apply_heartbeats_are_stored_and_not_published() {
    let (mirror, _) = open();
    mirror.replace(rows(1, &[]), Origin::Source);
    let mut updates = mirror.subscribe(None);
    updates.try_next().unwrap();
    mirror.apply(
        rows(2, &[("a", Some(".1")), ("b", Some("2"))]),
        Extent::NextChanges,
        Origin::Source,
    );
    assert_eq!(updates.try_next(), Some(changed(2, &[("b", Some("2"))])));
    assert_eq!(
        mirror.subscribe(None).try_next(),
        Some(snapshot(2, &[("a", Some(".1")), ("b", Some("2"))]))
    );
}

/// A relay that lags behind must not revert a router that has read the table itself meanwhile.
#[test]
fn replace_older_relayed_content_changes_nothing() {
    let (mirror, calls) = open();
    mirror.replace(rows(7, &[("a", Some("1"))]), Origin::Source);
    mirror.replace(rows(6, &[]), Origin::Relay);
    mirror.apply(rows(6, &[("a", None)]), Extent::NextChanges, Origin::Relay);
    assert_eq!(*calls.0.lock(), ["replace 1"]);
    assert_eq!(mirror.position(), Some(at(7)));
}

#[test]
fn apply_before_the_first_snapshot_changes_nothing() {
    let (mirror, calls) = open();
    mirror.apply(
        rows(3, &[("a", Some("1"))]),
        Extent::NextChanges,
        Origin::Relay,
    );
    assert_eq!(mirror.position(), None);
    assert!(calls.0.lock().is_empty());
}

/// Guards against updates that wait in line for a subscriber on a slow link: it kept an old content, and
/// the mirror the memory of all that waited.
#[test]
fn try_next_subscriber_that_was_slow_gets_only_the_newest_content() {
    let (mirror, _) = open();
    mirror.replace(rows(1, &[("kept", Some("1"))]), Origin::Source);
    let mut updates = mirror.subscribe(None);
    updates.try_next().unwrap();
    for position in 2..1_000 {
        let content = position.to_string();
        let pairs = [("a", Some(content.as_str())), ("b", None)];
        mirror.apply(rows(position, &pairs), Extent::NextChanges, Origin::Source);
    }
    let Some(Update::Changed(merged)) = updates.try_next() else {
        panic!("no changes");
    };
    assert_eq!(merged.position, at(999));
    assert_eq!(
        merged.rows.last(),
        rows(999, &[("a", Some("999"))]).rows.last()
    );
    assert!(merged.rows.iter().all(|row| row.key != "kept"));
    assert!(updates.try_next().is_none());
}

/// Guards against changes of a snapshot at the position of the one before that subscribers miss.
#[test]
fn try_next_changes_at_the_same_position_are_sent() {
    let (mirror, _) = open();
    mirror.replace(rows(5, &[("a", Some("1"))]), Origin::Source);
    let mut updates = mirror.subscribe(Some(at(5)));
    updates.try_next().unwrap();
    mirror.replace(rows(5, &[("a", Some("2"))]), Origin::Source);
    assert_eq!(updates.try_next(), Some(changed(5, &[("a", Some("2"))])));
}

/// Guards against a subscriber that is not told of an outage because changes came before it.
#[test]
fn try_next_outage_after_changes_is_sent_after_them() {
    let (mirror, _) = open();
    mirror.replace(rows(1, &[]), Origin::Source);
    let mut updates = mirror.subscribe(Some(at(1)));
    updates.try_next().unwrap();
    mirror.apply(
        rows(2, &[("a", Some("1"))]),
        Extent::NextChanges,
        Origin::Source,
    );
    mirror.mark_unavailable(0);
    assert_eq!(updates.try_next(), Some(changed(2, &[("a", Some("1"))])));
    assert_eq!(updates.try_next(), Some(Update::Unavailable));
    assert!(updates.try_next().is_none());
    mirror.apply(rows(3, &[]), Extent::NextChanges, Origin::Source);
    mirror.mark_unavailable(0);
    assert_eq!(updates.try_next(), Some(changed(3, &[])));
    assert_eq!(updates.try_next(), Some(Update::Unavailable));
}

#[test]
fn mark_unavailable_is_published_once() {
    let (mirror, _) = open();
    let mut updates = mirror.subscribe(None);
    mirror.mark_unavailable(0);
    mirror.mark_unavailable(0);
    assert_eq!(updates.try_next(), Some(Update::Unavailable));
    assert!(updates.try_next().is_none());
}

/// Guards against a full snapshot for each subscriber that returns: during an outage of the store
/// routers subscribe again every 1.5 s, and 300 snapshots of 3,000 servers choke a seed's link.
#[test]
fn subscribe_again_receives_only_the_changes() {
    let (mirror, _) = open();
    let pairs = [("a", Some("1")), ("b", Some("2")), ("c", Some("3"))];
    mirror.replace(rows(5, &pairs), Origin::Source);
    mirror.apply(rows(6, &[("b", None)]), Extent::NextChanges, Origin::Source);
    mirror.apply(
        rows(7, &[("c", Some("4")), ("d", Some(".1"))]),
        Extent::NextChanges,
        Origin::Source,
    );
    let first = |known| mirror.subscribe(Some(at(known))).try_next();
    assert_eq!(
        first(5),
        Some(changed(
            7,
            &[("b", None), ("c", Some("4")), ("d", Some(".1"))]
        ))
    );
    assert_eq!(
        first(6),
        Some(changed(7, &[("c", Some("4")), ("d", Some(".1"))]))
    );
    assert_eq!(first(7), Some(changed(7, &[])));
    assert_eq!(first(9), Some(changed(7, &[])));
    let all = [("a", Some("1")), ("d", Some(".1")), ("c", Some("4"))];
    let Some(Update::Snapshot(current)) = first(4) else {
        panic!("no snapshot for an unknown position");
    };
    assert_eq!(current.rows.len(), all.len());
}

/// Guards against a snapshot for the whole fleet after the source lost its history, and against
/// heartbeats in it.
#[test]
fn replace_again_publishes_the_differences() {
    let (mirror, _) = open();
    let pairs = [("a", Some(".1")), ("b", Some("2")), ("c", Some("3"))];
    mirror.replace(rows(5, &pairs), Origin::Source);
    let mut updates = mirror.subscribe(Some(at(5)));
    updates.try_next().unwrap();
    let pairs = [("a", Some(".2")), ("b", Some("4"))];
    mirror.replace(rows(8, &pairs), Origin::Source);
    let difference = changed(8, &[("c", None), ("b", Some("4"))]);
    assert_eq!(updates.try_next(), Some(difference.clone()));
    assert_eq!(mirror.subscribe(Some(at(5))).try_next(), Some(difference));
}

/// A subscriber that was away for longer than removals are remembered would keep servers that have
/// left.
#[test]
fn subscribe_after_too_many_removals_receives_a_snapshot() {
    let (mirror, _) = open();
    mirror.replace(rows(1, &[("kept", Some("1"))]), Origin::Source);
    for position in 2..=2 + REMOVED_MAX as u64 {
        mirror.apply(
            rows(position, &[("a", None)]),
            Extent::NextChanges,
            Origin::Source,
        );
    }
    let first = |known| mirror.subscribe(Some(at(known))).try_next();
    assert!(matches!(first(1), Some(Update::Snapshot(_))));
    assert!(matches!(first(2), Some(Update::Changed(_))));
}

fn in_era(era: u64, mut rows: Rows) -> Rows {
    rows.position.era = Era(Some(era));
    rows
}

/// Guards against subscribers that get differences to a content that they may not have: those that
/// have read the table themselves are ahead of the router that relays it.
#[test]
fn replace_by_a_restored_source_publishes_the_whole_content() {
    let (mirror, _) = open();
    mirror.replace(rows(9, &[("a", Some("1"))]), Origin::Source);
    let mut updates = mirror.subscribe(Some(at(9)));
    updates.try_next().unwrap();
    let restored = in_era(2, rows(4, &[("b", Some("2"))]));
    mirror.replace(restored.clone(), Origin::Source);
    let snapshot = Update::Snapshot(Arc::new(restored.clone()));
    assert_eq!(updates.try_next(), Some(snapshot.clone()));
    assert_eq!(mirror.subscribe(Some(at(9))).try_next(), Some(snapshot));
    let known = Some(restored.position);
    let nothing = Update::Changed(Arc::new(in_era(2, rows(4, &[]))));
    assert_eq!(mirror.subscribe(known).try_next(), Some(nothing));
}

/// Guards against removals of before a restore that are sent as changes of the new era.
#[test]
fn subscribe_after_a_restore_forgets_earlier_removals() {
    let (mirror, _) = open();
    mirror.replace(rows(1, &[("a", Some("1"))]), Origin::Source);
    mirror.apply(rows(8, &[("a", None)]), Extent::NextChanges, Origin::Source);
    mirror.replace(in_era(2, rows(4, &[("a", Some("1"))])), Origin::Source);
    let changes = in_era(2, rows(6, &[("b", Some("2"))]));
    mirror.apply(changes.clone(), Extent::NextChanges, Origin::Source);
    let known = in_era(2, rows(4, &[])).position;
    assert_eq!(
        mirror.subscribe(Some(known)).try_next(),
        Some(Update::Changed(Arc::new(changes)))
    );
}

/// Guards against older rows of a restored source that are relayed in place of what is in force.
#[test]
fn replace_outdated_and_missing_rows_keep_the_content_in_force() {
    let (mirror, _) = open();
    let pairs = [
        ("kept-missing", Some("1")),
        ("outdated", Some("2")),
        ("missing", Some("3")),
    ];
    mirror.replace(rows(9, &pairs), Origin::Source);
    let pairs = [("outdated", Some("!1")), ("unknown", Some("!1"))];
    mirror.replace(in_era(2, rows(4, &pairs)), Origin::Source);
    let pairs = [("outdated", Some("2")), ("kept-missing", Some("1"))];
    let expected = Update::Snapshot(Arc::new(in_era(2, rows(4, &pairs))));
    assert_eq!(mirror.subscribe(None).try_next(), Some(expected));
    let outdated = in_era(2, rows(5, &[("outdated", Some("!3"))]));
    mirror.apply(outdated, Extent::NextChanges, Origin::Source);
    let pairs = [("outdated", Some("2")), ("kept-missing", Some("1"))];
    let expected = Update::Snapshot(Arc::new(in_era(2, rows(5, &pairs))));
    assert_eq!(mirror.subscribe(None).try_next(), Some(expected));
}

/// Guards against routes and keys that count as confirmed because a router that has not noticed a
/// restore goes on sending updates of the earlier era.
#[test]
fn apply_update_of_an_earlier_era_does_not_confirm_the_content() {
    let (mirror, calls) = open();
    mirror.replace(in_era(2, rows(4, &[])), Origin::Source);
    let confirmed = calls.1.load(Ordering::Relaxed);
    mirror.apply(rows(9, &[]), Extent::NextChanges, Origin::Relay);
    mirror.replace(rows(9, &[]), Origin::Relay);
    assert_eq!(calls.1.load(Ordering::Relaxed), confirmed);
    mirror.apply(in_era(2, rows(4, &[])), Extent::NextChanges, Origin::Relay);
    assert_eq!(calls.1.load(Ordering::Relaxed), confirmed + 1);
}

/// Guards against an outage that seems over because another router relays what was read before it:
/// servers whose rows had lapsed meanwhile would count as gone.
#[test]
fn apply_update_read_before_an_outage_does_not_end_it() {
    let (mirror, calls) = open();
    mirror.replace(rows(5, &[]), Origin::Source);
    mirror.mark_unavailable(1_000);
    let confirmed = calls.1.load(Ordering::Relaxed);
    let read_at = |read_ms, position| Rows {
        read_ms,
        ..rows(position, &[])
    };
    mirror.apply(read_at(900, 6), Extent::NextChanges, Origin::Relay);
    assert_eq!(mirror.position(), Some(at(6)));
    assert_eq!(calls.1.load(Ordering::Relaxed), confirmed);
    let mut updates = mirror.subscribe(Some(at(6)));
    updates.try_next().unwrap();
    assert_eq!(updates.try_next(), Some(Update::Unavailable));
    mirror.apply(read_at(1_100, 7), Extent::NextChanges, Origin::Relay);
    assert_eq!(calls.1.load(Ordering::Relaxed), confirmed + 1);
}
