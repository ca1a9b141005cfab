//! Opens links and runs each until it ends: sends queued messages and receives packets.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::Async;
use smol::net::TcpStream;

use crate::error::{Error, Result};
use crate::peer::frame::{FrameReader, FrameWriter, LinkError, Side, handshake};
use crate::peer::node::PeerNode;
use crate::peer::outbox::{Outbox, Wakeups};
use crate::peer::row::ConfigPush;
use crate::peer::wire;
use crate::tcp;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval of heartbeats on an idle link.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time without any frame after which a link has failed.
pub const RECEIVE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which rows that are not urgent are collected, so that they share frames.
const BATCH_WAIT: Duration = Duration::from_millis(50);

/// Opens the peer listener.
pub fn listen(address: SocketAddr) -> Result<(smol::net::TcpListener, SocketAddr)> {
    let fault = |source| Error::Listen { address, source };
    let listener = TcpListener::bind(address).map_err(fault)?;
    let bound = listener.local_addr().map_err(fault)?;
    Ok((Async::new(listener).map_err(fault)?.into(), bound))
}

/// Opens a connection with the source address `from`, so that firewalls can identify peers by
/// address.
async fn connect(from: IpAddr, to: SocketAddr) -> std::io::Result<TcpStream> {
    let is_usable = !from.is_unspecified() && from.is_ipv4() == to.is_ipv4();
    let open = tcp::connect(to, is_usable.then_some(from), None);
    let limit = async {
        smol::Timer::after(CONNECT_TIMEOUT).await;
        Err(std::io::Error::from(std::io::ErrorKind::TimedOut))
    };
    open.or(limit).await
}

/// Dials an address and runs the link until it ends. `name` is the router that is expected
/// there, if known.
pub async fn dial(node: Arc<PeerNode>, name: Option<String>, address: SocketAddr) {
    let opened = async {
        let stream = connect(node.source_address(), address).await?;
        establish(&node, stream, Side::Dialer).await
    };
    match opened.await {
        Ok(connection) => {
            if let Some(name) = &name {
                node.dial_ended(name, connection.peer.name == *name);
            }
            run_link(node, connection, Side::Dialer).await;
        }
        Err(error) => {
            log::debug!("event=dial_failed address={address} error=\"{error}\"");
            node.count_rejected(&error);
            if let Some(name) = &name {
                node.dial_ended(name, false);
            }
        }
    }
}

/// Runs the link of an accepted connection until it ends.
pub async fn accept(node: Arc<PeerNode>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    match establish(&node, stream, Side::Acceptor).await {
        Ok(connection) => run_link(node, connection, Side::Acceptor).await,
        Err(error) => {
            log::debug!("event=peer_refused error=\"{error}\"");
            node.count_rejected(&error);
        }
    }
}

/// Both halves of an authenticated connection and the peer that introduced itself on it.
struct Connection {
    writer: FrameWriter,
    reader: FrameReader,
    peer: wire::Member,
}

async fn establish(
    node: &PeerNode,
    stream: TcpStream,
    side: Side,
) -> std::result::Result<Connection, LinkError> {
    let (mut writer, mut reader) = handshake(stream, node.shared_key(), side).await?;
    let introduction = wire::Packet {
        introduction: Some(node.own()),
        config_version: node.config_version(),
        ..wire::Packet::default()
    };
    writer.send(&introduction).await?;
    let (packet, _) = reader.receive::<wire::Packet>(RECEIVE_TIMEOUT).await?;
    if packet.introduction.is_none() && !packet.changes.is_empty() {
        node.handle_pushed_change(&packet);
        // An empty packet acknowledges to the sender that the change was handled.
        writer.send(&wire::Packet::default()).await?;
        return Err(LinkError::Closed);
    }
    let peer = packet
        .introduction
        .ok_or(LinkError::Protocol("the first packet has no introduction"))?;
    if peer.name.is_empty() || peer.session == node.own().session {
        return Err(LinkError::Protocol(
            "the peer has no name or is this process",
        ));
    }
    Ok(Connection {
        writer,
        reader,
        peer,
    })
}

/// Pushes an accepted change to a router, from a process that is not a router, and waits for the
/// acknowledgement.
pub async fn push_config(
    address: SocketAddr,
    shared_key: &str,
    change: &ConfigPush,
) -> std::result::Result<(), LinkError> {
    let stream = connect(IpAddr::V4(Ipv4Addr::UNSPECIFIED), address).await?;
    let (mut writer, mut reader) = handshake(stream, shared_key, Side::Dialer).await?;
    let packet = wire::Packet {
        changes: vec![change.into()],
        ..wire::Packet::default()
    };
    writer.send(&packet).await?;
    reader.receive::<wire::Packet>(RECEIVE_TIMEOUT).await?;
    reader.receive::<wire::Packet>(RECEIVE_TIMEOUT).await?;
    Ok(())
}

async fn run_link(node: Arc<PeerNode>, connection: Connection, side: Side) {
    let Connection {
        writer,
        reader,
        peer,
    } = connection;
    let (outbox, wakeups) = Outbox::new();
    let outbox = Arc::new(outbox);
    let Some((id, stop)) = node.link_opened(peer.clone(), side, &outbox) else {
        return;
    };
    let send = send_loop(&node, writer, &outbox, &wakeups, &peer);
    let receive = receive_loop(&node, reader, id, &peer);
    let stopped = async {
        stop.wait().or(node.stopped()).await;
        Err(LinkError::Closed)
    };
    let ended = send.or(receive).or(stopped).await;
    if let Err(error) = ended {
        log::debug!("event=link_closed peer={} error=\"{error}\"", peer.name);
        node.count_rejected(&error);
    }
    node.link_closed(id);
}

async fn send_loop(
    node: &PeerNode,
    mut writer: FrameWriter,
    outbox: &Outbox,
    wakeups: &Wakeups,
    peer: &wire::Member,
) -> std::result::Result<(), LinkError> {
    loop {
        wait_for_work(wakeups).await;
        let mut batch = outbox.drain();
        if batch.has_dropped_groups {
            node.resend_state(outbox, &peer.zone);
        }
        if batch.packets.is_empty() {
            batch.packets.push(wire::Packet::default());
        }
        for mut packet in batch.packets {
            packet.config_version = node.config_version();
            let bytes = writer.send(&packet).await?;
            node.counters
                .bytes_sent
                .fetch_add(bytes as u64, Ordering::Relaxed);
            node.counters.frames_sent.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Waits until messages have to be sent or a heartbeat is due.
async fn wait_for_work(wakeups: &Wakeups) {
    let urgent = async {
        let _ = wakeups.urgent.recv().await;
    };
    let batched = async {
        let _ = wakeups.batched.recv().await;
        let batch = async {
            smol::Timer::after(BATCH_WAIT).await;
        };
        let urgent = async {
            let _ = wakeups.urgent.recv().await;
        };
        batch.or(urgent).await;
    };
    let heartbeat = async {
        smol::Timer::after(HEARTBEAT_INTERVAL).await;
    };
    urgent.or(batched).or(heartbeat).await;
}

async fn receive_loop(
    node: &PeerNode,
    mut reader: FrameReader,
    id: u64,
    peer: &wire::Member,
) -> std::result::Result<(), LinkError> {
    loop {
        let (packet, bytes) = reader.receive::<wire::Packet>(RECEIVE_TIMEOUT).await?;
        node.counters
            .bytes_received
            .fetch_add(bytes as u64, Ordering::Relaxed);
        node.counters
            .frames_received
            .fetch_add(1, Ordering::Relaxed);
        node.apply_packet(id, &peer.name, packet);
    }
}
