use std::time::Instant;

use super::*;

/// A stopping process once polled its settings without a pause: the channel's sender was gone,
/// so each wait ended at once.
#[test]
fn reload_or_closed_channel_waits_for_the_poll() {
    let (sender, reloads) = async_channel::bounded(1);
    drop(sender);
    let poll = Duration::from_millis(50);
    let start = Instant::now();
    assert!(!smol::block_on(reload_or_timeout(&reloads, poll)));
    assert!(start.elapsed() >= poll);
}

#[test]
fn reload_or_timeout_message_ends_the_wait() {
    let (sender, reloads) = async_channel::bounded(1);
    sender.try_send(()).unwrap();
    assert!(smol::block_on(reload_or_timeout(
        &reloads,
        Duration::from_secs(60)
    )));
}
