use super::Replica;
use crate::peer::wire;

fn group(sequence: u64, servers: &[u64]) -> wire::Group {
    let row = |server: &u64| wire::ServerRow {
        server: *server,
        running: sequence as u32,
        ..wire::ServerRow::default()
    };
    wire::Group {
        session: 1,
        sequence,
        servers: servers.iter().map(row).collect(),
        ..wire::Group::default()
    }
}

/// Guards against endless flooding because duplicates are forwarded.
#[test]
fn merge_drops_duplicates() {
    let mut replica = Replica::new();
    assert!(replica.merge(group(1, &[7, 8]), 0).is_some());
    assert_eq!(replica.merge(group(1, &[7, 8]), 1), None);
}

/// Guards against an older row that replaces a newer one because it took a slower path.
#[test]
fn merge_keeps_only_newer_rows() {
    let mut replica = Replica::new();
    replica.merge(group(2, &[7]), 0);
    let merged = replica
        .merge(group(1, &[7, 8]), 1)
        .expect("a new row")
        .forward;
    assert_eq!(
        merged
            .servers
            .iter()
            .map(|row| row.server)
            .collect::<Vec<_>>(),
        [8]
    );
}

/// Guards against ages that restart at zero at each router, so that old load looks recent.
#[test]
fn full_state_ages_rows() {
    let mut replica = Replica::new();
    replica.merge(group(1, &[7]), 1_000);
    assert_eq!(replica.full_state(1_250)[0].servers[0].age_ms, 250);
    replica.expire(60_000);
    assert!(replica.is_empty());
}

/// Guards against load rows that lose their incarnation or slots when they are forwarded.
#[test]
fn merge_completes_compact_rows() {
    let full = |sequence: u64| {
        let mut group = group(sequence, &[7]);
        group.servers[0].incarnation = 99;
        group.servers[0].slots = 8;
        group
    };
    let (mut publisher, mut reader) = (Replica::new(), Replica::new());
    for sequence in 1..=3 {
        let mut sent = full(sequence);
        publisher.compact(&mut sent, sequence);
        assert_eq!(sent.compact_servers.len(), usize::from(sequence > 1));
        let sent = publisher.merge(sent, sequence).expect("a new row").forward;
        let merged = reader.merge(sent, sequence).expect("a new row");
        assert_eq!(merged.full_servers, full(sequence).servers);
    }
    let mut late = full(4);
    publisher.compact(&mut late, 60_000);
    assert_eq!(late.servers.len(), 1, "the full row is repeated");
    let mut changed = full(4);
    changed.servers[0].incarnation = 100;
    publisher.compact(&mut changed, 5);
    assert_eq!(
        changed.servers.len(),
        1,
        "a new incarnation is sent in full"
    );
}
