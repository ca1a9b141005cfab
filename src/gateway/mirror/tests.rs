use super::*;

/// Records its calls; content that starts with a dot is not published.
#[derive(Default)]
struct RecordingHandler(Mutex<Vec<String>>);

impl TableHandler for RecordingHandler {
    fn replace(&self, rows: &[Row]) {
        self.0.lock().push(format!("replace {}", rows.len()));
    }

    fn apply(&self, row: &Row) -> Propagation {
        self.0.lock().push(format!("apply {}", row.key));
        match &row.content {
            Some(content) if content.starts_with(b".") => Propagation::Skip,
            _ => Propagation::Publish,
        }
    }

    fn source_unavailable(&self) {
        self.0.lock().push("lost".to_owned());
    }

    fn source_available(&self) {}
}

fn rows(position: u64, pairs: &[(&str, Option<&str>)]) -> Rows {
    let row = |(key, content): &(&str, Option<&str>)| Row {
        key: (*key).to_owned(),
        content: content.map(|content| Bytes::from(content.to_owned())),
    };
    Rows {
        rows: pairs.iter().map(row).collect(),
        position: Position(position),
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
    mirror.apply(rows(6, &[("b", None)]), Origin::Source);
    let updates = mirror.subscribe();
    let snapshot = rows(6, &[("a", Some("1"))]);
    assert_eq!(updates.try_recv(), Ok(Update::Snapshot(snapshot)));
}

/// Each server updates the heartbeat count in its row about once a second; relaying all of them
/// would exceed the bound on control traffic.
#[test]
fn apply_heartbeats_are_stored_and_not_published() {
    let (mirror, _) = open();
    mirror.replace(rows(1, &[]), Origin::Source);
    let updates = mirror.subscribe();
    updates.try_recv().unwrap();
    mirror.apply(
        rows(2, &[("a", Some(".1")), ("b", Some("2"))]),
        Origin::Source,
    );
    let published = rows(2, &[("b", Some("2"))]);
    assert_eq!(updates.try_recv(), Ok(Update::Changed(published)));
    let snapshot = rows(2, &[("a", Some(".1")), ("b", Some("2"))]);
    assert_eq!(
        mirror.subscribe().try_recv(),
        Ok(Update::Snapshot(snapshot))
    );
}

/// A relay that lags behind must not revert a router that has read the table itself meanwhile.
#[test]
fn replace_older_relayed_content_changes_nothing() {
    let (mirror, calls) = open();
    mirror.replace(rows(7, &[("a", Some("1"))]), Origin::Source);
    mirror.replace(rows(6, &[]), Origin::Relay);
    mirror.apply(rows(6, &[("a", None)]), Origin::Relay);
    assert_eq!(*calls.0.lock(), ["replace 1"]);
    assert_eq!(mirror.position(), Some(Position(7)));
}

#[test]
fn apply_before_the_first_snapshot_changes_nothing() {
    let (mirror, calls) = open();
    mirror.apply(rows(3, &[("a", Some("1"))]), Origin::Relay);
    assert_eq!(mirror.position(), None);
    assert!(calls.0.lock().is_empty());
}

#[test]
fn publish_subscriber_that_does_not_read_is_disconnected() {
    let (mirror, _) = open();
    mirror.replace(rows(1, &[]), Origin::Source);
    let updates = mirror.subscribe();
    for position in 2..2 + 2 * SUBSCRIBER_QUEUE_MAX as u64 {
        mirror.apply(rows(position, &[("a", Some("1"))]), Origin::Source);
    }
    while updates.try_recv().is_ok() {}
    assert!(updates.is_closed());
}

#[test]
fn mark_unavailable_is_published_once() {
    let (mirror, _) = open();
    let updates = mirror.subscribe();
    mirror.mark_unavailable();
    mirror.mark_unavailable();
    assert_eq!(updates.try_recv(), Ok(Update::Unavailable));
    assert!(updates.try_recv().is_err());
}
