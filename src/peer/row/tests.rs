use prost::Message;

use crate::config::inventory_text::InventoryText;
use crate::ids::{ConfigVersion, Incarnation, ServerId};
use crate::peer::row::{ConfigPush, Health, ServerRow};
use crate::peer::wire;

/// Maximum encoded size of a server row with typical values in all fields.
const ROW_MAX_BYTES: usize = 28;
/// Maximum bytes that a group adds to its rows: tag, length, session, sequence and scope.
const GROUP_MAX_BYTES: usize = 20;
/// Maximum bytes of a heartbeat on an idle link, without length prefix and MAC.
const HEARTBEAT_MAX_BYTES: usize = 11;

fn row(server: usize) -> wire::ServerRow {
    let row = ServerRow {
        server: ServerId::from(format!("a-rather-long-name-of-a-server-{server}").as_str()),
        incarnation: Incarnation(1_700_000_000_000),
        running: 120,
        waiting: 100,
        slots: 256,
        health: Health::Leaving,
        age_ms: 900,
    };
    (&row).into()
}

/// Guards against rows whose size grows with the names or the number of servers.
#[test]
fn server_row_has_bounded_size() {
    for count in [1, 100, 2_400] {
        let group = wire::Group {
            session: u64::MAX,
            sequence: 1 << 28,
            scope: wire::Scope::Zone.into(),
            servers: (0..count).map(row).collect(),
            ..wire::Group::default()
        };
        let packet = wire::Packet {
            groups: vec![group],
            ..wire::Packet::default()
        };
        let bytes = packet.encoded_len();
        assert!(
            bytes <= GROUP_MAX_BYTES + count * ROW_MAX_BYTES,
            "{bytes} for {count} rows"
        );
    }
}

/// Guards against a heartbeat that carries more than the configuration version in force.
#[test]
fn heartbeat_has_bounded_size() {
    let heartbeat = wire::Packet {
        config_version: u64::MAX,
        ..wire::Packet::default()
    };
    assert!(heartbeat.encoded_len() <= HEARTBEAT_MAX_BYTES);
}

/// Guards against a push whose size grows with the inventory instead of with the change.
#[test]
fn config_push_grows_with_the_change_only() {
    let size = |teams: usize| {
        let team = |n: usize, weight: usize| format!("[team {n:05}]\nweight = {weight}\n");
        let old: String = (0..teams).map(|n| team(n, 1)).collect();
        let new = old.replacen("weight = 1", "weight = 2", 1);
        let parse = |text: &str| InventoryText::parse("test", text.as_bytes()).expect("INI");
        let push = ConfigPush {
            version: ConfigVersion(7),
            change_id: "c".repeat(24),
            operator: "ana".to_owned(),
            accepted_wall_ms: 1_700_000_000_000,
            digest: parse(&new).digest(),
            sections: Some(parse(&old).diff(&parse(&new))),
        };
        wire::ConfigChange::from(&push).encoded_len()
    };
    assert_eq!(size(10), size(10_000));
}
