use super::{FrameAuthenticator, LinkError, Side};
use crate::peer::wire;

fn pair() -> (FrameAuthenticator, FrameAuthenticator) {
    let open = |side| FrameAuthenticator::new(b"a shared key of the fleet", b"n1", b"n2", side);
    (open(Side::Dialer), open(Side::Dialer))
}

fn packet(version: u64) -> wire::Packet {
    wire::Packet {
        config_version: version,
        ..wire::Packet::default()
    }
}

/// Guards against frames that the receiver cannot verify or decode.
#[test]
fn decode_frame_accepts_frames_in_order() {
    let (mut sender, mut receiver) = pair();
    for version in 0..3 {
        let frame = sender.encode_frame(&packet(version));
        assert_eq!(
            receiver.decode_frame::<wire::Packet>(&frame).unwrap(),
            packet(version)
        );
    }
}

/// Guards against accepting a recorded frame a second time.
#[test]
fn decode_frame_refuses_replay() {
    let (mut sender, mut receiver) = pair();
    let frame = sender.encode_frame(&packet(7));
    assert!(receiver.decode_frame::<wire::Packet>(&frame).is_ok());
    assert!(matches!(
        receiver.decode_frame::<wire::Packet>(&frame),
        Err(LinkError::NotAuthentic)
    ));
}

/// Guards against accepting a frame that is truncated or has any bit changed.
#[test]
fn decode_frame_refuses_altered() {
    let frame = pair().0.encode_frame(&packet(7)).to_vec();
    for index in 0..frame.len() * 8 {
        let mut altered = frame.clone();
        altered[index / 8] ^= 1 << (index % 8);
        let opened = pair().1.decode_frame::<wire::Packet>(&altered);
        assert!(
            matches!(opened, Err(LinkError::NotAuthentic)),
            "bit {index}"
        );
    }
    for length in 0..frame.len() {
        let opened = pair().1.decode_frame::<wire::Packet>(&frame[..length]);
        assert!(
            matches!(opened, Err(LinkError::NotAuthentic)),
            "{length} bytes"
        );
    }
}

/// Guards against accepting frames of another key, another session or the other direction.
#[test]
fn decode_frame_refuses_foreign_authenticators() {
    let frame = pair().0.encode_frame(&packet(7));
    let key = b"a shared key of the fleet";
    let others = [
        FrameAuthenticator::new(
            b"another key of sufficient length",
            b"n1",
            b"n2",
            Side::Dialer,
        ),
        FrameAuthenticator::new(key, b"n1", b"n3", Side::Dialer),
        FrameAuthenticator::new(key, b"n1", b"n2", Side::Acceptor),
    ];
    for mut other in others {
        assert!(matches!(
            other.decode_frame::<wire::Packet>(&frame),
            Err(LinkError::NotAuthentic)
        ));
    }
}

/// Guards against a rolling upgrade that breaks links because newer routers send more fields.
#[test]
fn decode_frame_tolerates_unknown_fields() {
    use prost::Message;
    #[derive(Clone, PartialEq, Message)]
    struct NewerPacket {
        #[prost(uint64, tag = "7")]
        config_version: u64,
        #[prost(string, tag = "900")]
        later: String,
    }
    let newer = NewerPacket {
        config_version: 7,
        later: "x".to_owned(),
    };
    let decoded = wire::Packet::decode(&newer.encode_to_vec()[..]);
    assert_eq!(decoded.expect("it decodes"), packet(7));
}
