use super::*;

fn row(id: &str, incarnation: u64, sequence: u64) -> Registration {
    Registration {
        id: ServerId::from(id),
        service: ServiceId::from("s"),
        address: "127.0.0.1:80".parse().unwrap(),
        zone: ZoneId::from("z"),
        slots: 4,
        is_leaving: false,
        incarnation: Incarnation(incarnation),
        sequence,
        cold_left_ms: 0,
    }
}

fn leaving(id: &str, incarnation: u64, sequence: u64) -> Registration {
    Registration {
        is_leaving: true,
        ..row(id, incarnation, sequence)
    }
}

fn usable(registry: &Registry) -> Vec<String> {
    let service = ServiceId::from("s");
    let ids = registry.usable(&service, 0).map(|r| r.id.to_string());
    ids.collect()
}

/// Guards against an outdated heartbeat that overwrites newer state.
#[test]
fn set_outdated_heartbeat_changes_nothing() {
    let mut registry = Registry::default();
    registry.set(row("a", 5, 3), 0);
    assert_eq!(registry.set(row("a", 5, 2), 0), Change::Outdated);
    assert_eq!(registry.set(row("a", 4, 9), 0), Change::Outdated);
    assert_eq!(registry.get(&ServerId::from("a"), 0).unwrap().sequence, 3);
}

/// Guards against a heartbeat that the store performs late, after newer ones and the removal of the
/// row, and that brings back a server that has left.
#[test]
fn set_outdated_heartbeat_does_not_bring_back_a_server_that_has_left() {
    let mut registry = Registry::default();
    registry.set(row("a", 5, 3), 0);
    assert_eq!(registry.remove(&ServerId::from("a"), 0), Change::Left);
    assert_eq!(registry.set(row("a", 5, 2), 0), Change::Outdated);
    assert_eq!(registry.set(row("a", 4, 9), 0), Change::Outdated);
    assert!(usable(&registry).is_empty());
    // One that was silent for three heartbeats goes on with newer ones.
    assert_eq!(registry.set(row("a", 5, 4), 0), Change::Joined);
    assert_eq!(usable(&registry), ["a"]);
}

/// Guards against new requests for a leaving server because of a later row of the same
/// incarnation.
#[test]
fn set_leaving_server_stays_leaving_in_the_same_incarnation() {
    let mut registry = Registry::default();
    registry.set(row("a", 5, 1), 0);
    assert_eq!(registry.set(leaving("a", 5, 2), 0), Change::Left);
    assert_eq!(registry.set(row("a", 5, 3), 0), Change::None);
    assert!(usable(&registry).is_empty());
}

/// Guards against a restarted server that gets no requests because it left in its previous
/// incarnation.
#[test]
fn set_restart_under_the_same_id_joins_again() {
    let mut registry = Registry::default();
    registry.set(leaving("a", 5, 9), 0);
    assert_eq!(registry.set(row("a", 6, 1), 0), Change::Joined);
    assert_eq!(usable(&registry), ["a"]);
}

/// Guards against requests to a server that has left.
#[test]
fn remove_row_without_an_outage_drops_the_server_at_once() {
    let mut registry = Registry::default();
    registry.set(row("a", 1, 1), 0);
    assert_eq!(registry.remove(&ServerId::from("a"), 100), Change::Left);
    assert!(usable(&registry).is_empty());
}

/// Guards against losing live servers whose rows expired in an outage of the store, and against
/// waiting for them without end.
#[test]
fn remove_row_after_an_outage_waits_for_the_server_to_register_again() {
    let mut registry = Registry::default();
    registry.set(row("a", 1, 1), 0);
    registry.set(row("b", 1, 1), 0);
    registry.on_store_lost(7_000);
    registry.on_store_recovered(10_000);
    for id in ["a", "b"] {
        assert_eq!(registry.remove(&ServerId::from(id), 10_100), Change::Lapsed);
    }
    assert_eq!(usable(&registry), ["a", "b"]);
    assert_eq!(registry.set(row("a", 1, 2), 0), Change::Returned);
    // The time limit applies even if nothing calls `expire` when it passes.
    assert!(registry.get(&ServerId::from("b"), 11_899).is_some());
    assert!(registry.get(&ServerId::from("b"), 11_900).is_none());
    assert_eq!(registry.expire(12_000), [ServerId::from("b")]);
    assert_eq!(usable(&registry), ["a"]);
}

/// Guards against requests to a server that has left: a router that switched relays at once
/// treated the change as an outage of the store and the server's removed row as lapsed, and sent
/// the server requests for 2.1 s.
#[test]
fn remove_row_after_a_change_of_relays_takes_the_server_out_at_once() {
    let mut registry = Registry::default();
    registry.set(row("a", 1, 1), 0);
    registry.on_store_lost(10_000);
    registry.on_store_recovered(10_001);
    assert_eq!(registry.remove(&ServerId::from("a"), 10_166), Change::Left);
    assert!(usable(&registry).is_empty());
}

/// Guards against losing a live server because its row is unreadable.
#[test]
fn replace_unreadable_row_keeps_its_server() {
    let mut registry = Registry::default();
    registry.set(row("a", 1, 1), 0);
    registry.set(row("b", 1, 1), 0);
    registry.replace(vec![], &[ServerId::from("a")], 0);
    assert_eq!(usable(&registry), ["a"]);
}

/// Guards against requests to an address at which another server responds.
#[test]
fn mark_misdirected_excludes_the_server_until_its_next_incarnation() {
    let mut registry = Registry::default();
    registry.set(row("a", 1, 1), 0);
    registry.mark_misdirected(&ServerId::from("a"));
    assert!(usable(&registry).is_empty());
    registry.set(row("a", 1, 2), 0);
    assert!(usable(&registry).is_empty());
    registry.set(row("a", 2, 1), 0);
    assert_eq!(usable(&registry), ["a"]);
}

/// Guards against servers that are given up because the copy from which the store was restored is
/// older than their registration.
#[test]
fn replace_after_a_restore_keeps_missing_servers_until_they_register_again() {
    let mut registry = Registry::default();
    registry.set(row("a", 5, 1), 0);
    registry.set(row("b", 5, 1), 0);
    registry.on_store_restored(10_000);
    let changes = registry.replace(Vec::new(), &[], 10_000);
    assert!(changes.iter().all(|(_, change)| *change == Change::Lapsed));
    assert!(registry.get(&ServerId::from("a"), 11_000).is_some());
    assert_eq!(registry.set(row("a", 5, 9), 11_500), Change::Returned);
    registry.expire(12_000);
    assert!(registry.get(&ServerId::from("a"), 12_000).is_some());
    assert!(registry.get(&ServerId::from("b"), 12_000).is_none());
}

/// Guards against requests to a server that has left and stands in the copy from which the store was
/// restored: nothing else remembers it.
#[test]
fn replace_after_a_restore_doubts_rows_of_servers_that_have_left() {
    let mut registry = Registry::default();
    registry.set(row("drained", 5, 1), 0);
    registry.set(leaving("drained", 5, 2), 0);
    registry.set(row("removed", 5, 1), 0);
    registry.remove(&ServerId::from("drained"), 100);
    registry.remove(&ServerId::from("removed"), 100);
    registry.on_store_restored(10_000);
    let copy = || vec![row("drained", 5, 1), row("removed", 5, 1), row("new", 7, 1)];
    registry.replace(copy(), &[], 10_000);
    assert_eq!(usable(&registry), ["new"]);
    assert!(!registry.take_snapshot_due(14_900));
    assert_eq!(registry.set(row("removed", 5, 9), 11_000), Change::Joined);
    registry.replace(vec![row("drained", 6, 1)], &[], 11_000);
    assert_eq!(
        registry
            .get(&ServerId::from("drained"), 11_000)
            .map(|r| r.incarnation),
        Some(Incarnation(6))
    );
}

/// Guards against a server that runs and is never used again, because it had been taken as gone
/// before the restore.
#[test]
fn take_snapshot_due_rows_that_outlast_a_restore_count_again() {
    let mut registry = Registry::default();
    registry.set(row("a", 5, 1), 0);
    registry.remove(&ServerId::from("a"), 100);
    registry.on_store_restored(10_000);
    registry.replace(vec![row("a", 5, 1)], &[], 10_000);
    assert!(usable(&registry).is_empty());
    assert!(registry.take_snapshot_due(15_000));
    assert!(!registry.take_snapshot_due(15_000));
    registry.replace(vec![row("a", 5, 1)], &[], 15_000);
    assert_eq!(usable(&registry), ["a"]);
}

/// Guards against requests to a server that announced its leaving in a response, after any row of
/// the same incarnation: a heartbeat, a row at another address, one that lapsed and came back.
#[test]
fn record_announced_leaving_is_final_for_the_incarnation() {
    let mut registry = Registry::default();
    registry.set(row("a", 1, 1), 0);
    assert!(registry.record_announced_leaving(&"a".into(), Incarnation(1)));
    assert!(!registry.record_announced_leaving(&"a".into(), Incarnation(1)));
    assert!(usable(&registry).is_empty());
    assert_eq!(registry.address(&"a".into()), None);
    registry.set(row("a", 1, 2), 1);
    let mut moved = row("a", 1, 3);
    moved.address.set_port(9);
    registry.set(moved, 2);
    assert!(usable(&registry).is_empty());
    assert_eq!(registry.remove(&"a".into(), 3), Change::Left);
    assert_eq!(registry.set(row("a", 1, 4), 4), Change::Returned);
    assert!(usable(&registry).is_empty());
    let source = registry.leaving_source(&"a".into());
    assert_eq!(source, Some(LeavingSource::Response));
    assert_eq!(registry.set(row("a", 2, 1), 5), Change::Joined);
    assert_eq!(usable(&registry), ["a"]);
}

/// Guards against a late response of an earlier incarnation that takes the server out, and against
/// an announcement that is lost because the row was removed before the response arrived.
#[test]
fn record_announced_leaving_holds_for_the_incarnation_that_was_asked() {
    let mut registry = Registry::default();
    registry.set(row("a", 2, 1), 0);
    assert!(!registry.record_announced_leaving(&"a".into(), Incarnation(1)));
    assert_eq!(usable(&registry), ["a"]);
    assert!(registry.record_announced_leaving(&"b".into(), Incarnation(1)));
    registry.set(row("b", 1, 7), 1);
    assert_eq!(usable(&registry), ["a"]);
}

/// Guards against a row that says the same as the response and is not passed on to other routers.
#[test]
fn record_announced_leaving_does_not_hide_the_change_of_the_row() {
    let mut registry = Registry::default();
    registry.set(row("a", 1, 1), 0);
    registry.record_announced_leaving(&"a".into(), Incarnation(1));
    assert_eq!(registry.set(leaving("a", 1, 2), 1), Change::Left);
}

/// Guards against losing the end of a server that did not announce it, and against taking a planned
/// stop, an outage of the store or a move for one.
#[test]
fn take_vanished_covers_unannounced_ends_only() {
    let mut registry = Registry::default();
    let vanished = |registry: &mut Registry| -> Vec<(String, bool)> {
        let vanished = registry.take_vanished().into_iter();
        vanished
            .map(|v| (v.registration.id.to_string(), v.has_restarted))
            .collect()
    };
    for id in ["gone", "restarted", "leaving", "announced", "lapsed"] {
        registry.set(row(id, 1, 1), 0);
    }
    registry.remove(&ServerId::from("gone"), 10);
    registry.set(row("restarted", 2, 1), 10);
    assert_eq!(
        vanished(&mut registry),
        [("gone".to_owned(), false), ("restarted".to_owned(), true)]
    );
    registry.set(leaving("leaving", 1, 2), 20);
    registry.remove(&ServerId::from("leaving"), 30);
    registry.record_announced_leaving(&ServerId::from("announced"), Incarnation(1));
    registry.set(row("announced", 2, 1), 40);
    registry.on_store_lost(100);
    registry.on_store_recovered(100 + OUTAGE_MIN_MS);
    registry.remove(&ServerId::from("lapsed"), 200 + OUTAGE_MIN_MS);
    assert_eq!(vanished(&mut registry), []);
    registry.expire(200 + OUTAGE_MIN_MS + REREGISTRATION_MS);
    assert_eq!(vanished(&mut registry), [("lapsed".to_owned(), false)]);
}
