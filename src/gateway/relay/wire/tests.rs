use prost::Message as _;

use super::*;

/// The fields that a router of the build before strikes knows, as far as it needs them here.
#[derive(Clone, PartialEq, prost::Message)]
struct OlderMessage {
    #[prost(uint32, tag = "1")]
    table: u32,
    #[prost(uint32, tag = "9")]
    routers: u32,
}

/// Guards against a link that fails while the routers of a fleet are replaced one by one: a message
/// with strikes, demands or grants must look like one without counts to a router of the build before.
#[test]
fn message_with_strikes_is_a_keep_alive_to_older_routers() {
    let strike = Strike {
        fingerprint: 7,
        server: "i-1".to_owned(),
        count: 1,
        parts: vec![8, 9],
        ..Strike::default()
    };
    let message = Message {
        table: u32::MAX,
        strikes: vec![strike],
        quarantines: vec![Quarantine::default()],
        sound_parts: vec![SoundPart::default()],
        report: Some(3),
        demands: vec![Demand::default()],
        answered_report: Some(4),
        grants: vec![Grant::default()],
        age_ms: Some(5),
        sent_ms: Some(6),
        ..Message::default()
    };
    let older = OlderMessage::decode(message.encode_to_vec().as_slice()).unwrap();
    let keep_alive = OlderMessage {
        table: u32::MAX,
        routers: 0,
    };
    assert_eq!(older, keep_alive);
    let newer = Message::decode(keep_alive.encode_to_vec().as_slice()).unwrap();
    assert!(newer.strikes.is_empty() && newer.quarantines.is_empty());
}
