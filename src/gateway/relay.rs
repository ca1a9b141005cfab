//! Relays the platform's tables from the routers that read them to the others.
//!
//! The routers at the seed addresses read the tables. Every other router subscribes to a seed or to
//! a router below one, as [`relay_tree`](crate::decide::relay_tree) decides, and reads the tables
//! itself while no router relays them. The same links carry the number of requests on each server:
//! sums of subtrees towards the seeds, and totals of the fleet back. So do the demands for divided
//! limits, and the units that are granted in return.

mod allowances;
mod copy_tables;
mod counts;
mod publish;
mod row_codec;
mod strikes;
mod subscribe;
mod table_receiver;
pub mod wire;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use parking_lot::Mutex;
use rustix::net::sockopt::{set_socket_recv_buffer_size, set_socket_send_buffer_size};
use smol::net::{TcpListener, TcpStream};

use crate::decide::fleet_counts::Scope;
use crate::decide::memory_plan::CALLER_RECEIVE_BUFFER_BYTES;
use crate::decide::relay_tree::{Admission, RelayTree, Subscriber};
use crate::error::{Error, Result};
use crate::gateway::mirror::Mirror;
use crate::gateway::relay::copy_tables::{copy_from_seeds, copy_while_source_lost, send_copy};
use crate::gateway::relay::counts::{CountLink, receive_counts, report_counts};
use crate::gateway::relay::publish::publish_to_subscriber;
use crate::gateway::relay::row_codec::RowEncoder;
use crate::gateway::relay::wire::{Introduction, KnownTable, Message};
use crate::gateway::state::{RelaySettings, State};
use crate::http::pool::connect;
use crate::ids::ZoneId;
use crate::peer::frame::{FrameReader, FrameWriter, LinkError, Side, handshake};
use crate::runtime::Shutdown;

/// Timeout for connecting to another router.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Silence after which a link has failed: counts are sent every 200 ms, and a seed receives a
/// response for each table at least every 1.1 s.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(SILENCE_TIMEOUT_MS);
const SILENCE_TIMEOUT_MS: u64 = 1_600;
/// Pause before the seeds are tried again while this router reads the tables itself, and after
/// other failures of a link or the listener.
const RETRY_PAUSE: Duration = Duration::from_millis(1_500);
/// Such a pause while this router knows no tables, or links to the other seeds for the first time:
/// routers that start together find each other not listening yet.
const START_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Number of times that a seed tries another one with the short pause after its start.
const START_TRIES: u32 = 10;
/// Send buffer that is requested for each end of a link, which the system doubles. What is in it
/// cannot be replaced by newer content; the system would let it grow to 4 MB, many seconds on a narrow
/// link.
const SEND_BUFFER_BYTES: usize = 16 * 1024;
/// Table number of messages that concern no table.
const NO_TABLE: u32 = u32::MAX;

/// The relayed tables; the index of each is its number on the wire.
pub type Mirrors = Arc<[Arc<Mirror>]>;

/// This router's part of the relay, shared by its links.
struct Relay {
    state: Arc<State>,
    settings: RelaySettings,
    mirrors: Mirrors,
    encoder: RowEncoder,
    tree: Mutex<RelayTree>,
    totals_received: Pulse,
}

/// Wakes the links to the subscribers when new totals have arrived from the router above. With
/// timers of their own, each level of the tree would add 100 ms to the age of the counts.
#[derive(Default)]
struct Pulse(Mutex<Vec<Sender<()>>>);

impl Pulse {
    /// A channel that receives a message for each pulse, unless one is waiting.
    fn subscribe(&self) -> Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        self.0.lock().push(sender);
        receiver
    }

    fn send(&self) {
        let mut senders = self.0.lock();
        senders.retain(|sender| !sender.is_closed());
        // A full channel holds a pulse that has not been handled yet.
        senders.iter().for_each(|sender| _ = sender.try_send(()));
    }
}

impl Relay {
    fn is_seed(&self) -> bool {
        self.settings.seeds.contains(&self.settings.listen)
    }

    /// Addresses of the seeds but this router.
    fn other_seeds(&self) -> impl Iterator<Item = SocketAddr> {
        let own = self.settings.listen;
        let seeds = self.settings.seeds.iter().copied();
        seeds.filter(move |seed| *seed != own)
    }

    async fn dial(
        &self,
        address: SocketAddr,
    ) -> std::result::Result<(FrameWriter, FrameReader), LinkError> {
        let stream = connect(address, CONNECT_TIMEOUT).await?;
        let _ = stream.set_nodelay(true);
        set_socket_send_buffer_size(&stream, SEND_BUFFER_BYTES).map_err(io::Error::from)?;
        handshake(stream, &self.settings.key, Side::Dialer).await
    }

    /// First message on a link over which a seed copies the tables of another. A router of an older
    /// version takes it for a subscriber.
    fn copy_request(&self) -> Message {
        let mut message = self.introduction(true);
        message.is_seed = false;
        if let Some(introduction) = &mut message.introduction {
            introduction.degree = 0;
            introduction.is_copying = true;
        }
        message
    }

    /// First message on a link that this router opens.
    fn introduction(&self, is_insisting: bool) -> Message {
        let known = self.mirrors.iter().enumerate();
        let known = known.filter_map(|(table, mirror)| {
            let position = mirror.position()?;
            Some(KnownTable {
                table: table as u32,
                position: position.version,
                era: position.era.0,
            })
        });
        Message {
            table: NO_TABLE,
            is_seed: self.is_seed(),
            introduction: Some(Introduction {
                address: self.settings.listen.to_string(),
                zone: self.state.settings().zone.as_str().to_owned(),
                degree: self.settings.degree as u32,
                is_insisting,
                known: known.collect(),
                is_copying: false,
            }),
            ..Message::default()
        }
    }
}

/// Binds the relay's listener and starts its tasks: every router serves subscribers, seeds report
/// counts to the other seeds, and all other routers subscribe. The returned channel closes when this
/// router may read the tables: once a seed has tried to copy them from the others.
pub fn spawn(state: &Arc<State>, mirrors: &Mirrors, stop: &Shutdown) -> Result<Receiver<()>> {
    let (copying, copied) = async_channel::bounded(1);
    let Some(settings) = state.settings().relay.clone() else {
        return Ok(copied);
    };
    let address = settings.listen;
    let listener = std::net::TcpListener::bind(address)
        .and_then(|listener| {
            // Accepted sockets inherit both: any host may connect, and other routers send little.
            set_socket_recv_buffer_size(&listener, CALLER_RECEIVE_BUFFER_BYTES)?;
            set_socket_send_buffer_size(&listener, SEND_BUFFER_BYTES)?;
            smol::Async::new(listener)
        })
        .map_err(|source| Error::Listen { address, source })?;
    let zone = state.settings().zone.clone();
    let relay = Arc::new(Relay {
        state: Arc::clone(state),
        tree: Mutex::new(RelayTree::new(address, zone, settings.degree)),
        mirrors: Arc::clone(mirrors),
        encoder: RowEncoder::default(),
        totals_received: Pulse::default(),
        settings,
    });
    let runtime = &state.runtime;
    runtime.spawn_detached(accept_loop(
        Arc::clone(&relay),
        listener.into(),
        stop.clone(),
    ));
    let shared = Arc::clone(&relay);
    runtime.spawn_supervised(move || strikes::publish_loop(Arc::clone(&shared)));
    match relay.is_seed() {
        true => {
            state.fleet_counts.lock().set_root();
            let shared = Arc::clone(&relay);
            runtime.spawn_detached(async move {
                copy_from_seeds(Arc::clone(&shared)).await;
                drop(copying);
                let runtime = shared.state.runtime.clone();
                runtime.spawn_supervised(move || copy_while_source_lost(Arc::clone(&shared)));
            });
            for seed in relay.other_seeds() {
                let relay = Arc::clone(&relay);
                runtime.spawn_supervised(move || report_counts_to_seed(Arc::clone(&relay), seed));
            }
        }
        false => {
            runtime.spawn_supervised(move || subscribe::subscribe_loop(Arc::clone(&relay)));
        }
    }
    Ok(copied)
}

async fn accept_loop(relay: Arc<Relay>, listener: TcpListener, stop: Shutdown) {
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
                let (relay, stop) = (Arc::clone(&relay), stop.clone());
                relay.state.runtime.clone().spawn_detached(async move {
                    let served = serve_link(&relay, stream).or(async {
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

/// Serves a link that another router opened, until it ends. Nothing is sent to another seed: it
/// reads the tables itself, and receives this router's counts over a separate link.
async fn serve_link(relay: &Relay, stream: TcpStream) -> std::result::Result<(), LinkError> {
    let _ = stream.set_nodelay(true);
    let (mut writer, mut reader) = handshake(stream, &relay.settings.key, Side::Acceptor).await?;
    // Receiving the first message proves that the other router has the key.
    let (first, _) = reader.receive::<Message>(SILENCE_TIMEOUT).await?;
    let introduction = first.introduction.as_ref();
    if let Some(introduction) = introduction.filter(|introduction| introduction.is_copying) {
        return send_copy(relay, &mut writer, introduction).await;
    }
    let subscriber = decode_subscriber(introduction)?;
    if first.is_seed {
        let link = CountLink::open(relay, Scope::Group, None, subscriber.address);
        if let Some(address) = subscriber.address {
            if address < relay.settings.listen {
                relay.state.fleet_counts.lock().set_before(link.id);
            }
            let mut tree = relay.tree.lock();
            tree.add_seed(link.id, address, subscriber.zone);
        }
        return receive_counts(&mut reader, &link).await;
    }
    let admission = relay.tree.lock().admit(&subscriber, rand::random());
    let redirects = match admission {
        Admission::Accept => {
            let feed = relay.state.strike_feed.open_link();
            let link = CountLink::open(relay, Scope::Subtree, Some(&feed), None);
            relay.tree.lock().add_child(link.id, subscriber);
            let publish = publish_to_subscriber(relay, &mut writer, introduction, &feed, link.id);
            return receive_counts(&mut reader, &link).or(publish).await;
        }
        Admission::Redirect(redirects) => redirects,
        Admission::Refuse => Vec::new(),
    };
    let message = Message {
        table: NO_TABLE,
        admission: Some(wire::Admission {
            path: Vec::new(),
            has_no_tables: false,
            redirects: redirects.iter().map(SocketAddr::to_string).collect(),
        }),
        ..Message::default()
    };
    writer.send(&message).await?;
    // The subscriber closes the link once it has read the message.
    let _ = reader.receive::<Message>(SILENCE_TIMEOUT).await;
    Ok(())
}

/// Decodes an introduction; a router of an older version sends none.
fn decode_subscriber(
    introduction: Option<&Introduction>,
) -> std::result::Result<Subscriber, LinkError> {
    let Some(introduction) = introduction else {
        return Ok(Subscriber {
            address: None,
            zone: ZoneId::from(""),
            degree: 0,
            is_insisting: true,
        });
    };
    let address = introduction.address.parse();
    let address =
        address.map_err(|_| LinkError::Protocol("the introduction has no valid address"))?;
    Ok(Subscriber {
        address: Some(address),
        zone: ZoneId::from(introduction.zone.as_str()),
        degree: introduction.degree as usize,
        is_insisting: introduction.is_insisting,
    })
}

/// Reports the counts of this seed's subtree to another seed, and reconnects when the link ends.
async fn report_counts_to_seed(relay: Arc<Relay>, seed: SocketAddr) {
    let mut start_tries = START_TRIES;
    loop {
        let link = async {
            let (mut writer, _reader) = relay.dial(seed).await?;
            writer.send(&relay.introduction(false)).await?;
            let feed = relay.state.strike_feed.open_link();
            report_counts(&relay, &mut writer, &feed, Some(seed)).await
        };
        let ended: std::result::Result<(), LinkError> = link.await;
        if let Err(error) = ended {
            log::debug!("event=seed_link_lost seed={seed} error=\"{error}\"");
        }
        smol::Timer::after(match start_tries {
            0 => RETRY_PAUSE,
            _ => START_RETRY_PAUSE,
        })
        .await;
        start_tries = start_tries.saturating_sub(1);
    }
}
