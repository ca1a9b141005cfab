//! Exchange of the routers' request counts on each server, over the links of the relay.

use std::time::Duration;

use crate::decide::fleet_counts::{Counts, Scope, next_changes};
use crate::gateway::relay::wire::{Count, Message};
use crate::gateway::relay::{NO_TABLE, SILENCE_TIMEOUT};
use crate::gateway::state::State;
use crate::peer::frame::{FrameReader, FrameWriter, LinkError};
use crate::runtime::with_timeout;

/// Interval between messages with counts. Other routers see only two or three periods later that a
/// prompt has become hot, so a longer interval makes more requests late: 128 of a day at 400 ms
/// instead of 70 at 200 ms. The shorter interval takes a tenth more processor time.
pub(super) const COUNTS_PERIOD: Duration = Duration::from_millis(200);
/// Maximum number of counts in one message: at up to 15 bytes each they take 11 KB/s on a link, of
/// the 13 KB/s that a router may use for control traffic.
const COUNTS_PER_MESSAGE_MAX: usize = 150;

/// A link over which counts are received; dropping it removes its counts.
pub(super) struct CountLink<'a> {
    state: &'a State,
    id: u64,
}

impl<'a> CountLink<'a> {
    pub(super) fn open(state: &'a State, scope: Scope) -> Self {
        let id = state.fleet_counts.lock().open_link(scope);
        Self { state, id }
    }

    pub(super) fn apply(&self, message: &Message) {
        if message.routers > 0 {
            self.state.record_router_count(self.id, message.routers);
        }
        let counts = message
            .counts
            .iter()
            .map(|count| (count.server, count.requests));
        self.state.fleet_counts.lock().apply(self.id, counts);
        self.state.apply_counts();
    }
}

impl Drop for CountLink<'_> {
    fn drop(&mut self) {
        self.state.fleet_counts.lock().close_link(self.id);
        self.state.apply_counts();
    }
}

pub(super) async fn receive_counts(
    reader: &mut FrameReader,
    link: &CountLink<'_>,
) -> std::result::Result<(), LinkError> {
    loop {
        let (message, _) = reader.receive::<Message>(SILENCE_TIMEOUT).await?;
        link.apply(&message);
    }
}

/// Sends the counts that changed; without changes, an empty message as a keep-alive.
pub(super) async fn send_counts(
    writer: &mut FrameWriter,
    sent_counts: &mut Counts,
    current: &Counts,
    routers: u32,
) -> std::result::Result<(), LinkError> {
    let counts = next_changes(sent_counts, current, COUNTS_PER_MESSAGE_MAX).into_iter();
    let counts = counts.map(|(server, requests)| Count { server, requests });
    let message = Message {
        table: NO_TABLE,
        counts: counts.collect(),
        routers,
        ..Message::default()
    };
    writer.send(&message).await?;
    Ok(())
}

/// Reports the counts of this router, or of a seed's group, to a seed until the link ends.
pub(super) async fn report_counts(
    state: &State,
    writer: &mut FrameWriter,
    is_seed: bool,
) -> std::result::Result<(), LinkError> {
    let mut sent_counts = Counts::new();
    loop {
        let own = state.own_counts();
        let (current, routers) = match is_seed {
            true => {
                let fleet = state.fleet_counts.lock();
                (fleet.group_counts(&own), fleet.group_router_count())
            }
            false => (own, 1),
        };
        let sent = with_timeout(
            SILENCE_TIMEOUT,
            send_counts(writer, &mut sent_counts, &current, routers),
        )
        .await;
        sent.ok_or(LinkError::TimedOut)??;
        smol::Timer::after(COUNTS_PERIOD).await;
    }
}
