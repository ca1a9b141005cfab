use std::time::Instant;

use super::*;

/// Guards against a stopping process that polls its settings without pause: the signal thread has
/// ended and dropped the sender, so receiving from the closed channel returns at once.
#[test]
fn reload_or_closed_channel_waits_for_the_poll() {
    let (sender, reloads) = async_channel::bounded(1);
    drop(sender);
    let poll = Duration::from_millis(50);
    let start = Instant::now();
    assert!(!smol::block_on(reload_or_timeout(&reloads, poll)));
    assert!(start.elapsed() >= poll);
}

/// Guards against a reload request that takes effect only after the poll interval.
#[test]
fn reload_or_timeout_message_ends_the_wait() {
    let (sender, reloads) = async_channel::bounded(1);
    sender.try_send(()).unwrap();
    assert!(smol::block_on(reload_or_timeout(
        &reloads,
        Duration::from_secs(60)
    )));
}
