//! Updates that a router sends to one subscriber.

use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::FutureExt;
use futures_util::future::select_all;
use prost::Message as _;

use crate::decide::allowance::Claimant;
use crate::decide::fleet_counts::Counts;
use crate::decide::table_position::{Era, Position};
use crate::gateway::mirror::Update;
use crate::gateway::relay::allowances;
use crate::gateway::relay::counts::{COUNTS_PERIOD, counts_message};
use crate::gateway::relay::strikes::{StrikeOutbox, send_changes};
use crate::gateway::relay::wire::{self, Introduction, Message};
use crate::gateway::relay::{NO_TABLE, Relay, SILENCE_TIMEOUT};
use crate::gateway::strike_feed::{FeedLink, StrikeChanges};
use crate::peer::frame::{FrameWriter, LinkError};
use crate::runtime::with_timeout;

/// Size of rows at which a message is sent, so that it stays well below the largest frame.
const MESSAGE_TARGET_BYTES: usize = 64 * 1024;

/// Period of counts from a router below a seed while it receives none itself: long enough that
/// counts from above usually come first.
const COUNTS_FALLBACK: Duration = Duration::from_millis(300);

/// What a subscriber was sent last.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Turn {
    Table,
    Strikes,
    Counts,
}

/// What a subscriber is sent next.
enum Due {
    /// An update of the table with this number.
    Table(Update, usize),
    /// Strikes and quarantines.
    Strikes(Result<StrikeChanges, LinkError>),
    /// Request counts.
    Counts,
}

/// Publishes updates of the tables and strikes at once, and every [`COUNTS_PERIOD`] the counts of all
/// routers. Where the link is slow, they take turns.
pub(super) async fn publish_to_subscriber(
    relay: &Relay,
    writer: &mut FrameWriter,
    introduction: Option<&Introduction>,
    feed: &FeedLink,
    link: u64,
) -> Result<(), LinkError> {
    let known = |table| known_position(introduction?, table);
    let mirrors = relay.mirrors.iter().enumerate();
    let mut updates: Vec<_> = mirrors
        .map(|(table, mirror)| mirror.subscribe(known(table)))
        .collect();
    let is_packing = introduction.is_some();
    let mut sent_path = Vec::new();
    send_path(relay, writer, &mut sent_path).await?;
    let mut strikes = StrikeOutbox::open(&relay.state, feed);
    let has_tables = introduction.is_some_and(|introduction| !introduction.known.is_empty());
    if !has_tables {
        // A router serves requests from its first tables on, and must know the quarantines then.
        while let Some(changes) = strikes.pop_waiting() {
            send_changes(&relay.state, writer, &changes).await?;
        }
    }
    let mut sent_counts = Counts::new();
    let totals_received = relay.totals_received.subscribe();
    let period = match relay.is_seed() {
        true => COUNTS_PERIOD,
        false => COUNTS_FALLBACK,
    };
    let mut tick = smol::Timer::after(period);
    let mut last_sent = Turn::Strikes;
    loop {
        let next = updates.iter_mut().map(|updates| Box::pin(updates.next()));
        let next = async {
            let (update, table, _) = select_all(next).await;
            Due::Table(update, table)
        };
        let changes = async { Due::Strikes(strikes.next().await) };
        let counts_due = async {
            let ticked = async {
                (&mut tick).await;
            };
            let received = async { _ = totals_received.recv().await };
            ticked.or(received).await;
            Due::Counts
        };
        let send = async {
            let due = match last_sent {
                Turn::Strikes => next.or(counts_due).or(changes).await,
                Turn::Table => counts_due.or(changes).or(next).await,
                Turn::Counts => changes.or(next).or(counts_due).await,
            };
            match due {
                Due::Strikes(changes) => {
                    send_changes(&relay.state, writer, &changes?).await?;
                    Ok(Turn::Strikes)
                }
                Due::Table(update, table) => {
                    for message in encode_update(relay, table as u32, &update, is_packing) {
                        send_in_time(writer, &message).await?;
                    }
                    Ok(Turn::Table)
                }
                Due::Counts => {
                    send_path(relay, writer, &mut sent_path).await?;
                    let totals = relay.state.fleet_totals();
                    let index = relay.state.fleet_counts.lock().index_below(link);
                    let mut message = Message {
                        index,
                        sent_ms: Some(relay.state.now_ms()),
                        ..counts_message(&mut sent_counts, &totals.all, totals.routers)
                    };
                    let below = Claimant::Below(link);
                    allowances::add_grants(&relay.state.allowances, &mut message, below);
                    send_in_time(writer, &message).await?;
                    Ok::<_, LinkError>(Turn::Counts)
                }
            }
        };
        last_sent = send.await?;
        if last_sent == Turn::Counts {
            tick = smol::Timer::after(period);
        }
    }
}

/// Position up to which a router that introduced itself knows a table.
pub(super) fn known_position(introduction: &Introduction, table: usize) -> Option<Position> {
    let mut known = introduction.known.iter();
    let known = known.find(|known| known.table as usize == table)?;
    Some(Position {
        era: Era(known.era),
        version: known.position,
    })
}

pub(super) async fn send_in_time(
    writer: &mut FrameWriter,
    message: &Message,
) -> Result<(), LinkError> {
    let sent = with_timeout(SILENCE_TIMEOUT, writer.send(message)).await;
    sent.ok_or(LinkError::TimedOut)??;
    Ok(())
}

/// Sends the path from the router that reads the tables to this one, if it has changed.
async fn send_path(
    relay: &Relay,
    writer: &mut FrameWriter,
    sent_path: &mut Vec<SocketAddr>,
) -> Result<(), LinkError> {
    let path = relay.tree.lock().path();
    if path == *sent_path {
        return Ok(());
    }
    let admission = wire::Admission {
        path: path.iter().map(SocketAddr::to_string).collect(),
        redirects: Vec::new(),
        has_no_tables: false,
    };
    let message = Message {
        table: NO_TABLE,
        admission: Some(admission),
        sent_ms: Some(relay.state.now_ms()),
        ..Message::default()
    };
    *sent_path = path;
    send_in_time(writer, &message).await
}

/// Encodes an update as one or more messages.
pub(super) fn encode_update(
    relay: &Relay,
    table: u32,
    update: &Update,
    is_packing: bool,
) -> Vec<Message> {
    let now_ms = relay.state.now_ms();
    let (rows, is_snapshot) = match update {
        Update::Unavailable => {
            return vec![Message {
                table,
                is_unavailable: true,
                ..Message::default()
            }];
        }
        Update::Snapshot(rows) => (rows, true),
        Update::Changed(rows) => (rows, false),
    };
    let empty = Message {
        table,
        position: rows.position.version,
        era: rows.position.era.0,
        is_snapshot,
        age_ms: Some(now_ms.saturating_sub(rows.read_ms)),
        sent_ms: Some(now_ms),
        ..Message::default()
    };
    let mut messages = Vec::new();
    if is_packing && let Some(batches) = relay.encoder.pack(rows) {
        messages.extend(batches.iter().map(|packed_rows| Message {
            packed_rows: packed_rows.clone(),
            ..empty.clone()
        }));
    } else {
        let mut bytes = 0;
        let mut message = empty.clone();
        for chunk in rows.rows.iter().flat_map(|row| relay.encoder.encode(row)) {
            if bytes >= MESSAGE_TARGET_BYTES {
                messages.push(std::mem::replace(&mut message, empty.clone()));
                bytes = 0;
            }
            bytes += chunk.encoded_len();
            message.rows.push(chunk);
        }
        messages.push(message);
    }
    let last = messages.len().saturating_sub(1);
    for message in &mut messages[..last] {
        message.has_more = true;
    }
    messages
}
