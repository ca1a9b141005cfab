use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Frame;

use super::{EventBody, FrameResult};
use crate::http::BodyError;

fn part(text: &'static str) -> FrameResult {
    Ok(Frame::data(Bytes::from_static(text.as_bytes())))
}

/// Guards against bytes that are lost, doubled or put out of order when events are joined,
/// also around a pause and at the end.
#[test]
fn event_body_joins_all_bytes_in_order() {
    let (sender, receiver) = async_channel::bounded(100);
    let mut body = EventBody::new(receiver);
    let send = |texts: &[&'static str]| {
        for text in texts {
            sender.try_send(part(text)).expect("the channel has room");
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

/// Guards against a cut stream that seems complete: a failure must come after the bytes
/// before it and must not be passed over.
#[test]
fn event_body_failure_comes_after_the_bytes_before_it() {
    let (sender, receiver) = async_channel::bounded(100);
    let mut body = EventBody::new(receiver);
    sender.try_send(part("a")).expect("room");
    let cut = BodyError::Incomplete("cut");
    sender.try_send(Err(cut)).expect("room");
    drop(sender);
    let first = smol::block_on(body.frame()).expect("open").expect("whole");
    assert_eq!(first.into_data().expect("data"), "a");
    let failure = smol::block_on(body.frame()).expect("open");
    assert!(matches!(failure, Err(BodyError::Incomplete("cut"))));
    assert!(smol::block_on(body.frame()).is_none());
}
