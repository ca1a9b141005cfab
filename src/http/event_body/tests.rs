use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Frame;

use super::{EventBody, FrameResult};
use crate::http::BodyError;

fn frame(text: &'static str) -> FrameResult {
    Ok(Frame::data(Bytes::from_static(text.as_bytes())))
}

/// Guards against losing, duplicating or reordering bytes when events are combined, also after a
/// pause and at the end of the stream.
#[test]
fn event_body_combines_all_bytes_in_order() {
    let (sender, receiver) = async_channel::bounded(100);
    let mut body = EventBody::new(receiver);
    let send = |texts: &[&'static str]| {
        for text in texts {
            sender
                .try_send(frame(text))
                .expect("the channel has capacity");
        }
    };
    let mut next = || smol::block_on(body.frame());
    send(&["a"]);
    let first = next().expect("open").expect("whole").into_data();
    assert_eq!(first.expect("data"), "a");
    send(&["b", "c", "d"]);
    let joined = next().expect("open").expect("whole").into_data();
    assert_eq!(joined.expect("data"), "bcd");
    send(&["e"; 40]);
    sender.close();
    let mut rest = 0;
    while let Some(frame) = next() {
        rest += frame.expect("whole").into_data().expect("data").len();
    }
    assert_eq!(rest, 40);
}

/// Guards against a truncated stream that seems complete: an error must be returned after the bytes
/// received before it, and must not be dropped.
#[test]
fn event_body_error_follows_preceding_bytes() {
    let (sender, receiver) = async_channel::bounded(100);
    let mut body = EventBody::new(receiver);
    sender.try_send(frame("a")).expect("capacity");
    let cut = BodyError::Incomplete("cut");
    sender.try_send(Err(cut)).expect("capacity");
    drop(sender);
    let first = smol::block_on(body.frame()).expect("open").expect("whole");
    assert_eq!(first.into_data().expect("data"), "a");
    let failure = smol::block_on(body.frame()).expect("open");
    assert!(matches!(failure, Err(BodyError::Incomplete("cut"))));
    assert!(smol::block_on(body.frame()).is_none());
}
