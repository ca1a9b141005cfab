//! Exchange of the routers' request counts on each server, over the links of the relay.

use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::FutureExt;

use crate::decide::allowance::{Claimant, Receiver};
use crate::decide::fleet_counts::{Counts, Scope, next_changes};
use crate::decide::link_delay::LinkDelay;
use crate::gateway::relay::allowances;
use crate::gateway::relay::strikes::{StrikeOutbox, apply_strikes, send_changes};
use crate::gateway::relay::wire::{Count, Message};
use crate::gateway::relay::{NO_TABLE, Relay, SILENCE_TIMEOUT};
use crate::gateway::strike_feed::FeedLink;
use crate::peer::frame::{FrameReader, FrameWriter, LinkError};
use crate::runtime::with_timeout;

/// Interval between messages with counts. Other routers see only two or three periods later that a
/// prompt has become hot, so a longer interval makes more requests late: 128 of a day at 400 ms
/// instead of 70 at 200 ms. The shorter interval takes a tenth more processor time.
pub(super) const COUNTS_PERIOD: Duration = Duration::from_millis(200);
/// Maximum number of counts in one message: at up to 15 bytes each they take 11 KB/s on a link, of
/// the 13 KB/s that a router may use for control traffic.
const COUNTS_PER_MESSAGE_MAX: usize = 150;

/// A link over which counts are received; dropping it removes its counts and its place in the tree.
pub(super) struct CountLink<'a> {
    relay: &'a Relay,
    /// Number of the link.
    pub(super) id: u64,
    /// Number of the queue from which strikes are sent over the same link.
    feed: Option<u64>,
    /// Who reports demands over the link; `None` for the router above.
    claimant: Option<Claimant>,
}

impl<'a> CountLink<'a> {
    /// Opens a link. Strikes that arrive over it are not sent back through `feed`. `seed` is the
    /// address of another seed at its other end.
    pub(super) fn open(
        relay: &'a Relay,
        scope: Scope,
        feed: Option<&FeedLink>,
        seed: Option<SocketAddr>,
    ) -> Self {
        let id = relay.state.fleet_counts.lock().open_link(scope);
        Self {
            relay,
            id,
            feed: feed.map(|feed| feed.id),
            claimant: match scope {
                Scope::Subtree => Some(Claimant::Below(id)),
                Scope::Group => seed.map(Claimant::Seed),
                Scope::Fleet => None,
            },
        }
    }

    pub(super) fn apply(&self, message: &Message) {
        let state = &self.relay.state;
        if message.routers > 0 {
            state.record_router_count(self.id, message.routers);
            self.relay.tree.lock().set_subtree(self.id, message.routers);
        }
        if let Some(index) = message.index {
            state.fleet_counts.lock().set_index(self.id, index);
        }
        apply_strikes(state, message, self.feed);
        allowances::apply(&state.allowances, message, self.claimant);
        let counts = message
            .counts
            .iter()
            .map(|count| (count.server, count.requests));
        state.fleet_counts.lock().apply(self.id, counts);
        state.apply_counts();
    }
}

impl Drop for CountLink<'_> {
    fn drop(&mut self) {
        self.relay.tree.lock().remove_link(self.id);
        self.relay.state.fleet_counts.lock().close_link(self.id);
        if let Some(claimant) = self.claimant {
            self.relay.state.allowances.close(claimant);
        }
        self.relay.state.apply_counts();
    }
}

/// Applies the counts of a subscriber or another seed, until the link ends or its messages are late.
pub(super) async fn receive_counts(
    reader: &mut FrameReader,
    link: &CountLink<'_>,
) -> Result<(), LinkError> {
    let mut delay = LinkDelay::default();
    loop {
        let (message, _) = reader.receive::<Message>(SILENCE_TIMEOUT).await?;
        let now_ms = link.relay.state.now_ms();
        if let Some(sent_ms) = message.sent_ms {
            delay.record(sent_ms, now_ms);
        }
        if delay.is_congested(now_ms) {
            log::warn!("event=counts_delayed delay_ms={}", delay.last_ms());
            return Err(LinkError::TimedOut);
        }
        link.apply(&message);
    }
}

/// Builds a message with the counts that changed; without changes it serves as a keep-alive.
pub(super) fn counts_message(sent_counts: &mut Counts, current: &Counts, routers: u32) -> Message {
    let counts = next_changes(sent_counts, current, COUNTS_PER_MESSAGE_MAX).into_iter();
    let counts = counts.map(|(server, requests)| Count { server, requests });
    Message {
        table: NO_TABLE,
        counts: counts.collect(),
        routers,
        ..Message::default()
    }
}

/// Reports strikes at once, and the counts and demands of this router and of those below it, until
/// the link ends. Another seed, at the address `seed`, also gets its grants.
pub(super) async fn report_counts(
    relay: &Relay,
    writer: &mut FrameWriter,
    feed: &FeedLink,
    seed: Option<SocketAddr>,
) -> Result<(), LinkError> {
    let state = &relay.state;
    let mut strikes = StrikeOutbox::open(state, feed);
    let receiver = seed.map_or(Receiver::Above, Receiver::Seed);
    let mut sent_counts = Counts::new();
    loop {
        let totals = state.fleet_totals();
        let mut message = counts_message(&mut sent_counts, &totals.subtree, totals.subtree_routers);
        if let Some(seed) = seed {
            allowances::add_grants(&state.allowances, &mut message, Claimant::Seed(seed));
        }
        allowances::add_report(&state.allowances, &mut message, receiver);
        message.sent_ms = Some(state.now_ms());
        let sent = with_timeout(SILENCE_TIMEOUT, writer.send(&message)).await;
        sent.ok_or(LinkError::TimedOut)??;
        let mut tick = smol::Timer::after(COUNTS_PERIOD);
        loop {
            let changes = async { Some(strikes.next().await) };
            let ticked = async {
                (&mut tick).await;
                None
            };
            // Strikes without end must not keep back the counts.
            let Some(changes) = ticked.or(changes).await else {
                break;
            };
            send_changes(state, writer, &changes?).await?;
        }
    }
}
