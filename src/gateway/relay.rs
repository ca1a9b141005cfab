//! Relays the platform's tables from the routers that read them to the others.
//!
//! The routers at the seed addresses read the tables. Every other router subscribes to one of them,
//! and reads the tables itself while no seed relays them. The same links carry the number of each
//! router's requests on each server.

mod counts;
mod row_codec;
pub mod wire;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use futures_util::future::select_all;
use prost::Message as _;
use rand::seq::SliceRandom;
use smol::net::{TcpListener, TcpStream};

use crate::decide::fleet_counts::{Counts, Scope};
use crate::error::{Error, Result};
use crate::gateway::mirror::{Mirror, Origin, Update};
use crate::gateway::relay::counts::{
    COUNTS_PERIOD, CountLink, receive_counts, report_counts, send_counts,
};
use crate::gateway::relay::row_codec::{RowDecoder, RowEncoder};
use crate::gateway::relay::wire::Message;
use crate::gateway::state::{RelaySettings, State};
use crate::gateway::watch::{Position, Row, Rows};
use crate::http::pool::connect;
use crate::peer::frame::{FrameReader, FrameWriter, LinkError, Side, handshake};
use crate::runtime::{Shutdown, with_timeout};

/// Timeout for connecting to another router.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Silence after which a link has failed: a seed receives a response for each table at least every
/// 1.1 s and publishes an update for each, even if nothing changed.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Pause before the seeds are tried again while this router reads the tables itself, and after
/// other failures of a link or the listener.
const RETRY_PAUSE: Duration = Duration::from_millis(1_500);
/// Table number of messages that concern no table.
const NO_TABLE: u32 = u32::MAX;
/// Size of rows at which a message is sent, so that it stays well below the largest frame.
const MESSAGE_TARGET_BYTES: usize = 64 * 1024;

/// The relayed tables; the index of each is its number on the wire.
pub type Mirrors = Arc<[Arc<Mirror>]>;

/// Binds the relay's listener and starts its tasks: every router serves subscribers, seeds report
/// counts to the other seeds, and all other routers subscribe to a seed.
pub fn spawn(state: &Arc<State>, mirrors: &Mirrors, stop: &Shutdown) -> Result<()> {
    let Some(settings) = state.settings().relay.clone() else {
        return Ok(());
    };
    let address = settings.listen;
    let listener = std::net::TcpListener::bind(address)
        .and_then(smol::Async::new)
        .map_err(|source| Error::Listen { address, source })?;
    let server = Arc::new(RelayServer {
        state: Arc::clone(state),
        mirrors: Arc::clone(mirrors),
        encoder: RowEncoder::default(),
    });
    let accept = accept_loop(server, listener.into(), stop.clone());
    state.runtime.spawn_detached(accept);
    if settings.seeds.contains(&settings.listen) {
        for seed in settings
            .seeds
            .iter()
            .filter(|seed| **seed != settings.listen)
        {
            state
                .runtime
                .spawn_detached(report_counts_to_seed(Arc::clone(state), *seed));
        }
    }
    state
        .runtime
        .spawn_detached(subscribe_loop(Arc::clone(state), Arc::clone(mirrors)));
    Ok(())
}

/// What the relay serves to subscribers.
struct RelayServer {
    state: Arc<State>,
    mirrors: Mirrors,
    encoder: RowEncoder,
}

async fn accept_loop(server: Arc<RelayServer>, listener: TcpListener, stop: Shutdown) {
    loop {
        let accepted = async { Some(listener.accept().await) }
            .or(async {
                stop.wait().await;
                None
            })
            .await;
        match accepted {
            None => return,
            Some(Ok((stream, _))) => {
                let (server, stop) = (Arc::clone(&server), stop.clone());
                server.state.runtime.clone().spawn_detached(async move {
                    let served = serve_subscriber(&server, stream).or(async {
                        stop.wait().await;
                        Err(LinkError::Closed)
                    });
                    if let Err(error) = served.await {
                        log::debug!("event=subscriber_gone error=\"{error}\"");
                    }
                });
            }
            Some(Err(error)) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                smol::Timer::after(RETRY_PAUSE).await;
            }
        }
    }
}

fn relay_key(state: &State) -> String {
    let settings = state.settings();
    settings
        .relay
        .as_ref()
        .map_or_else(String::new, |relay| relay.key.clone())
}

/// Receives the counts of one subscriber and publishes updates to it, until the link ends. Nothing
/// is sent to another seed: it reads the tables itself, and receives this router's counts over a
/// separate link.
async fn serve_subscriber(
    server: &RelayServer,
    stream: TcpStream,
) -> std::result::Result<(), LinkError> {
    let state = &server.state;
    let _ = stream.set_nodelay(true);
    let (mut writer, mut reader) = handshake(stream, &relay_key(state), Side::Acceptor).await?;
    // Receiving the first message proves that the subscriber has the key.
    let (introduction, _) = reader.receive::<Message>(SILENCE_TIMEOUT).await?;
    let scope = match introduction.is_seed {
        true => Scope::Group,
        false => Scope::Own,
    };
    let link = CountLink::open(state, scope);
    let receive = receive_counts(&mut reader, &link);
    match scope {
        Scope::Group => receive.await,
        _ => receive.or(publish_to_subscriber(server, &mut writer)).await,
    }
}

/// Publishes updates of the tables, and every [`COUNTS_PERIOD`] the counts of all routers.
async fn publish_to_subscriber(
    server: &RelayServer,
    writer: &mut FrameWriter,
) -> std::result::Result<(), LinkError> {
    let state = &server.state;
    let updates: Vec<_> = server
        .mirrors
        .iter()
        .map(|mirror| mirror.subscribe())
        .collect();
    let mut sent_counts = Counts::new();
    let mut tick = smol::Timer::after(COUNTS_PERIOD);
    loop {
        let next = updates.iter().map(|updates| Box::pin(updates.recv()));
        let next = async { Some(select_all(next).await) };
        let counts_due = async {
            (&mut tick).await;
            None
        };
        let sent = match next.or(counts_due).await {
            Some((update, table, _)) => {
                let update = update.map_err(|_| LinkError::Closed)?;
                with_timeout(
                    SILENCE_TIMEOUT,
                    send_update(writer, &server.encoder, table as u32, update),
                )
                .await
            }
            None => {
                tick = smol::Timer::after(COUNTS_PERIOD);
                let own = state.own_counts();
                let mut all = state.fleet_counts.lock().others(&own);
                for (server_number, count) in own {
                    *all.entry(server_number).or_default() += count;
                }
                let routers = state.fleet_counts.lock().router_count();
                with_timeout(
                    SILENCE_TIMEOUT,
                    send_counts(writer, &mut sent_counts, &all, routers),
                )
                .await
            }
        };
        sent.ok_or(LinkError::TimedOut)??;
    }
}

/// Reports the counts of this seed's group to another seed, and reconnects when the link ends.
async fn report_counts_to_seed(state: Arc<State>, seed: SocketAddr) {
    loop {
        let link = async {
            let stream = connect(seed, CONNECT_TIMEOUT).await?;
            let (mut writer, _reader) = handshake(stream, &relay_key(&state), Side::Dialer).await?;
            let introduction = Message {
                table: NO_TABLE,
                is_seed: true,
                ..Message::default()
            };
            writer.send(&introduction).await?;
            report_counts(&state, &mut writer, true).await
        };
        let ended: std::result::Result<(), LinkError> = link.await;
        if let Err(error) = ended {
            log::debug!("event=seed_link_lost seed={seed} error=\"{error}\"");
        }
        smol::Timer::after(RETRY_PAUSE).await;
    }
}

async fn send_update(
    writer: &mut FrameWriter,
    encoder: &RowEncoder,
    table: u32,
    update: Update,
) -> std::result::Result<(), LinkError> {
    let (rows, is_snapshot) = match update {
        Update::Unavailable => {
            let message = Message {
                table,
                is_unavailable: true,
                ..Message::default()
            };
            writer.send(&message).await?;
            return Ok(());
        }
        Update::Snapshot(rows) => (rows, true),
        Update::Changed(rows) => (rows, false),
    };
    let mut message = Message {
        table,
        position: rows.position.0,
        is_snapshot,
        ..Message::default()
    };
    let mut bytes = 0;
    for chunk in rows.rows.iter().flat_map(|row| encoder.encode(row)) {
        if bytes >= MESSAGE_TARGET_BYTES {
            message.has_more = true;
            writer.send(&message).await?;
            message.rows.clear();
            bytes = 0;
        }
        bytes += chunk.encoded_len();
        message.rows.push(chunk);
    }
    message.has_more = false;
    writer.send(&message).await?;
    Ok(())
}

/// Subscribes to one seed after the other, and pauses after each round of failures.
async fn subscribe_loop(state: Arc<State>, mirrors: Mirrors) {
    loop {
        let settings = state.settings();
        for seed in subscription_seeds(settings.relay.as_ref()) {
            let ended = subscribe(&state, seed, &mirrors).await;
            let was_relayed = mirrors.iter().any(|mirror| mirror.is_relayed());
            mirrors.iter().for_each(|mirror| mirror.set_relayed(false));
            match (ended, was_relayed) {
                (Err(error), true) => {
                    log::info!("event=relay_lost seed={seed} error=\"{error}\"");
                }
                (Err(error), false) => {
                    log::debug!("event=relay_failed seed={seed} error=\"{error}\"")
                }
                (Ok(()), true) => log::info!("event=relay_ended seed={seed} reason=source_lost"),
                (Ok(()), false) => log::debug!("event=relay_lost_source seed={seed}"),
            }
        }
        smol::Timer::after(RETRY_PAUSE).await;
    }
}

/// The seeds to subscribe to, in random order so that subscribers are spread over them; empty for a
/// router that is a seed itself.
fn subscription_seeds(settings: Option<&RelaySettings>) -> Vec<SocketAddr> {
    let Some(settings) = settings else {
        return Vec::new();
    };
    if settings.seeds.contains(&settings.listen) {
        return Vec::new();
    }
    let mut seeds = settings.seeds.clone();
    seeds.shuffle(&mut rand::rng());
    seeds
}

/// Subscribes to a seed until the link fails, or until the seed cannot reach the tables itself.
async fn subscribe(
    state: &State,
    seed: SocketAddr,
    mirrors: &Mirrors,
) -> std::result::Result<(), LinkError> {
    let stream = connect(seed, CONNECT_TIMEOUT).await?;
    let (mut writer, mut reader) = handshake(stream, &relay_key(state), Side::Dialer).await?;
    let introduction = Message {
        table: NO_TABLE,
        ..Message::default()
    };
    writer.send(&introduction).await?;
    let link = CountLink::open(state, Scope::Fleet);
    let report = report_counts(state, &mut writer, false);
    receive_updates(&mut reader, seed, mirrors, &link)
        .or(report)
        .await
}

/// Applies a seed's updates until the link fails, or until the seed cannot reach the tables and has
/// sent an update of each.
async fn receive_updates(
    reader: &mut FrameReader,
    seed: SocketAddr,
    mirrors: &Mirrors,
    link: &CountLink<'_>,
) -> std::result::Result<(), LinkError> {
    let mut has_received = vec![false; mirrors.len()];
    let mut is_unavailable = false;
    let mut pending_rows: Vec<Vec<Row>> = vec![Vec::new(); mirrors.len()];
    let mut decoder = RowDecoder::default();
    loop {
        let (message, _) = reader.receive::<Message>(SILENCE_TIMEOUT).await?;
        if message.table == NO_TABLE {
            link.apply(&message);
            continue;
        }
        let table = message.table as usize;
        let Some(mirror) = mirrors.get(table) else {
            return Err(LinkError::Protocol("the table number is unknown"));
        };
        if message.is_unavailable {
            mirror.mark_unavailable();
            is_unavailable = true;
            has_received[table] = true;
        }
        // A seed that cannot reach the tables may still have content that this router has never
        // read, so an update of each table is received before the link is closed.
        if message.is_unavailable && has_received.iter().all(|received| *received) {
            return Ok(());
        }
        if message.is_unavailable {
            continue;
        }
        let rows = &mut pending_rows[table];
        for chunk in message.rows {
            rows.extend(decoder.decode(chunk)?);
        }
        if message.has_more {
            continue;
        }
        let rows = Rows {
            rows: std::mem::take(rows),
            position: Position(message.position),
        };
        match message.is_snapshot {
            true => mirror.replace(rows, Origin::Relay),
            false => mirror.apply(rows, Origin::Relay),
        }
        has_received[table] = true;
        if is_unavailable && has_received.iter().all(|received| *received) {
            return Ok(());
        }
        if has_received.iter().all(|received| *received) && !mirrors.iter().all(|m| m.is_relayed())
        {
            log::info!("event=relayed seed={seed}");
            mirrors.iter().for_each(|mirror| mirror.set_relayed(true));
        }
    }
}
