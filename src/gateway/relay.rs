//! Passes what one router reads of the platform's tables on to the others.
//!
//! The routers at the seed addresses read the tables. The others read them through one of
//! these, and by themselves while none of them passes anything on.

pub mod wire;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use futures_util::future::select_all;
use rand::seq::SliceRandom;
use smol::net::{TcpListener, TcpStream};

use crate::error::{Error, Result};
use crate::gateway::mirror::{Mirror, Origin, Update};
use crate::gateway::relay::wire::Message;
use crate::gateway::state::{RelaySettings, State};
use crate::gateway::watch::{Position, Row, Rows};
use crate::http::pool::connect;
use crate::peer::frame::{FrameReader, FrameWriter, LinkError, Side, handshake};
use crate::runtime::Shutdown;
use crate::runtime::within;

/// Longest wait for a connection to another router.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Silence after which a relay has failed: a router that reads the tables has an answer of
/// each at least every 1.1 s and passes that on.
const SILENCE_MAX: Duration = Duration::from_millis(1_600);
/// Pause after which the seeds are tried again while this router reads by itself.
const RETRY: Duration = Duration::from_millis(1_500);
/// Rows in one message, so that it stays far under the largest frame.
const MESSAGE_ROWS: usize = 100;

/// The tables that are passed on; their order is their number on the wire.
pub type Mirrors = Arc<[Arc<Mirror>]>;

/// Serves subscribers and, unless this router is a seed, subscribes to a seed.
pub fn spawn(state: &Arc<State>, mirrors: &Mirrors, stop: &Shutdown) -> Result<()> {
    let Some(settings) = state.settings().relay.clone() else {
        return Ok(());
    };
    let address = settings.listen;
    let listener = std::net::TcpListener::bind(address)
        .and_then(smol::Async::new)
        .map_err(|source| Error::Listen { address, source })?;
    let accept = accept_loop(
        Arc::clone(state),
        listener.into(),
        Arc::clone(mirrors),
        stop.clone(),
    );
    state.runtime.detach(accept);
    state
        .runtime
        .detach(subscribe_loop(Arc::clone(state), Arc::clone(mirrors)));
    Ok(())
}

async fn accept_loop(state: Arc<State>, listener: TcpListener, mirrors: Mirrors, stop: Shutdown) {
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
                let (state, mirrors, stop) =
                    (Arc::clone(&state), Arc::clone(&mirrors), stop.clone());
                state.runtime.clone().detach(async move {
                    let served = serve(&state, stream, &mirrors).or(async {
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
                smol::Timer::after(RETRY).await;
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

/// Passes updates on to one subscriber until the link ends.
async fn serve(
    state: &State,
    stream: TcpStream,
    mirrors: &Mirrors,
) -> std::result::Result<(), LinkError> {
    let _ = stream.set_nodelay(true);
    let (mut writer, mut reader) = handshake(stream, &relay_key(state), Side::Acceptor).await?;
    // The first message proves that the subscriber has the key.
    reader.receive::<Message>(SILENCE_MAX).await?;
    let updates: Vec<_> = mirrors.iter().map(|mirror| mirror.subscribe()).collect();
    loop {
        let next = updates.iter().map(|updates| Box::pin(updates.recv()));
        let (update, table, _) = select_all(next).await;
        let update = update.map_err(|_| LinkError::Closed)?;
        let sent = within(SILENCE_MAX, send(&mut writer, table as u32, update)).await;
        sent.ok_or(LinkError::Silent)??;
    }
}

async fn send(
    writer: &mut FrameWriter,
    table: u32,
    update: Update,
) -> std::result::Result<(), LinkError> {
    let (rows, is_whole) = match update {
        Update::Lost => {
            let message = Message {
                table,
                is_lost: true,
                ..Message::default()
            };
            writer.send(&message).await?;
            return Ok(());
        }
        Update::Whole(rows) => (rows, true),
        Update::Changed(rows) => (rows, false),
    };
    let mut chunks = rows.rows.chunks(MESSAGE_ROWS).peekable();
    loop {
        let chunk = chunks.next().unwrap_or_default();
        let is_last = chunks.peek().is_none();
        let message = Message {
            table,
            position: rows.position.0,
            rows: chunk.iter().map(Into::into).collect(),
            is_whole,
            has_more: !is_last,
            is_lost: false,
        };
        writer.send(&message).await?;
        if is_last {
            return Ok(());
        }
    }
}

/// Keeps a subscription to one of the seeds, as long as one of them passes anything on.
async fn subscribe_loop(state: Arc<State>, mirrors: Mirrors) {
    loop {
        let settings = state.settings();
        for seed in seeds(settings.relay.as_ref()) {
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
        smol::Timer::after(RETRY).await;
    }
}

/// The seeds to subscribe to, in random order so that they share the subscribers; none for a
/// router that is a seed itself.
fn seeds(settings: Option<&RelaySettings>) -> Vec<SocketAddr> {
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

/// Takes updates from a seed until it fails, or until it has lost the tables itself.
async fn subscribe(
    state: &State,
    seed: SocketAddr,
    mirrors: &Mirrors,
) -> std::result::Result<(), LinkError> {
    let stream = connect(seed, CONNECT_TIMEOUT).await?;
    let (mut writer, mut reader) = handshake(stream, &relay_key(state), Side::Dialer).await?;
    writer.send(&Message::default()).await?;
    let mut heard = vec![false; mirrors.len()];
    let mut is_lost = false;
    let mut waiting: Vec<Vec<Row>> = vec![Vec::new(); mirrors.len()];
    loop {
        let message = next(&mut reader).await?;
        let table = message.table as usize;
        let Some(mirror) = mirrors.get(table) else {
            return Err(LinkError::Protocol("the table is unknown"));
        };
        if message.is_lost {
            mirror.lost();
            is_lost = true;
            heard[table] = true;
        }
        // A seed that lost the tables may still hold what this router has never read, so all
        // tables are heard before the link is given up.
        if message.is_lost && heard.iter().all(|heard| *heard) {
            return Ok(());
        }
        if message.is_lost {
            continue;
        }
        let rows = &mut waiting[table];
        rows.extend(message.rows.into_iter().map(Row::from));
        if message.has_more {
            continue;
        }
        let rows = Rows {
            rows: std::mem::take(rows),
            position: Position(message.position),
        };
        match message.is_whole {
            true => mirror.replace(rows, Origin::Relay),
            false => mirror.apply(rows, Origin::Relay),
        }
        heard[table] = true;
        if is_lost && heard.iter().all(|heard| *heard) {
            return Ok(());
        }
        if heard.iter().all(|heard| *heard) && !mirrors.iter().all(|m| m.is_relayed()) {
            log::info!("event=relayed seed={seed}");
            mirrors.iter().for_each(|mirror| mirror.set_relayed(true));
        }
    }
}

async fn next(reader: &mut FrameReader) -> std::result::Result<Message, LinkError> {
    let (message, _) = reader.receive::<Message>(SILENCE_MAX).await?;
    Ok(message)
}
