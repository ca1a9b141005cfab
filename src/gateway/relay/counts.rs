//! Requests on each server, told over the links of the relay.

use std::time::Duration;

use crate::decide::fleet_counts::{Counts, Scope, next_changes};
use crate::gateway::relay::wire::{Count, Message};
use crate::gateway::relay::{NO_TABLE, SILENCE_TIMEOUT};
use crate::gateway::state::State;
use crate::peer::frame::{FrameReader, FrameWriter, LinkError};
use crate::runtime::within;

/// Time between messages with counts. A prompt that turns hot is seen by the others two or three
/// periods later: with 400 ms 128 requests of a day were late, with 200 ms 70, for a tenth more
/// processor time.
pub(super) const COUNTS_PERIOD: Duration = Duration::from_millis(200);
/// Counts in one message: at up to 15 bytes each, 11 KB/s over a link, of the 13 KB/s that a router
/// may spend on control.
const COUNTS_PER_MESSAGE_MAX: usize = 150;

/// A link over which counts come; they are forgotten with it.
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

/// Sends the counts that changed; without changes, an empty message that shows life.
pub(super) async fn send_counts(
    writer: &mut FrameWriter,
    sent_counts: &mut Counts,
    now: &Counts,
    routers: u32,
) -> std::result::Result<(), LinkError> {
    let counts = next_changes(sent_counts, now, COUNTS_PER_MESSAGE_MAX).into_iter();
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

/// Tells a seed the counts of this router, or of its group, until the link ends.
pub(super) async fn report_counts(
    state: &State,
    writer: &mut FrameWriter,
    is_seed: bool,
) -> std::result::Result<(), LinkError> {
    let mut sent_counts = Counts::new();
    loop {
        let own = state.own_counts();
        let (now, routers) = match is_seed {
            true => {
                let fleet = state.fleet_counts.lock();
                (fleet.group_counts(&own), fleet.group_router_count())
            }
            false => (own, 1),
        };
        let sent = within(
            SILENCE_TIMEOUT,
            send_counts(writer, &mut sent_counts, &now, routers),
        )
        .await;
        sent.ok_or(LinkError::Silent)??;
        smol::Timer::after(COUNTS_PERIOD).await;
    }
}
