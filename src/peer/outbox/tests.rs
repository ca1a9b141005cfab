use super::{Outbox, PACKET_MEMBERS_MAX, ROWS_MAX};
use crate::peer::wire;

fn group(sequence: u64, rows: usize) -> wire::Group {
    wire::Group {
        session: 1,
        sequence,
        servers: vec![wire::ServerRow::default(); rows],
        ..wire::Group::default()
    }
}

/// Guards against unbounded growth of the queue for a peer that does not read.
#[test]
fn push_group_drops_oldest_when_full() {
    let (outbox, _wakeups) = Outbox::new();
    for sequence in 1..=3 {
        outbox.push_group(group(sequence, ROWS_MAX / 2));
    }
    let batch = outbox.drain();
    assert!(batch.has_dropped_groups, "the full state has to follow");
    let kept: Vec<u64> = batch
        .packets
        .iter()
        .flat_map(|p| &p.groups)
        .map(|g| g.sequence)
        .collect();
    assert_eq!(kept, [2, 3]);
    assert!(outbox.is_empty());
}

/// Guards against sending rows to a peer that has already sent them itself.
#[test]
fn remove_received_group_drops_known_rows() {
    let (outbox, _wakeups) = Outbox::new();
    outbox.push_group(group(1, 4));
    outbox.remove_received_group(&group(1, 3));
    assert!(!outbox.is_empty(), "the peer has only some of the rows");
    outbox.remove_received_group(&group(1, 4));
    assert!(outbox.is_empty());
}

/// Guards against a frame that exceeds the maximum length because the fleet is large.
#[test]
fn drain_divides_members() {
    let (outbox, _wakeups) = Outbox::new();
    for index in 0..2 * PACKET_MEMBERS_MAX + 1 {
        outbox.push_member(wire::Member {
            name: index.to_string(),
            ..wire::Member::default()
        });
    }
    assert_eq!(outbox.drain().packets.len(), 3);
}
