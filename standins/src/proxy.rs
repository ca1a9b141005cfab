//! TCP proxy that injects faults between two processes.
//!
//! Faults act on bytes, not packets: a paused direction retains its bytes and delivers them when
//! the fault is cleared, as TCP retransmission does after a partition.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use indexmap::IndexMap;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use smol::Executor;
use smol::net::TcpStream;

use crate::listening::{Acceptor, Listening, ListeningControl};

/// How the proxy ends a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Shuts down both connections in an orderly way (FIN).
    Close,
    /// Aborts both connections (RST).
    Reset,
}

/// Random faults, drawn for each new connection from a seeded generator.
#[derive(Debug, Clone, PartialEq)]
pub struct RandomFaults {
    /// Seed of the generator. Connections draw from it in the order in which they are accepted.
    pub seed: u64,
    /// Probability that a connection is ended early.
    pub end_probability: f64,
    /// How such a connection is ended.
    pub end: End,
    /// Maximum number of bytes forwarded to the client before the end; drawn uniformly from 0.
    pub end_max_bytes: u64,
    /// Maximum delay of each forwarded block; drawn uniformly from zero, once per connection.
    pub delay_max: Duration,
}

/// Faults that the proxy applies; none by default.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Faults {
    /// Delay of each forwarded block, in both directions.
    pub delay: Duration,
    /// Ends each connection after forwarding this number of bytes to the client.
    pub end_after_bytes: Option<(u64, End)>,
    /// Pauses forwarding to the server, which is one direction of a partition.
    pub is_upstream_paused: bool,
    /// Pauses forwarding to the client, which is the other direction of a partition.
    pub is_downstream_paused: bool,
    /// Random faults of new connections, in addition to the others.
    pub random: Option<RandomFaults>,
}

impl Faults {
    /// Accepts connections and forwards nothing in either direction.
    pub fn blackhole() -> Self {
        Self {
            is_upstream_paused: true,
            is_downstream_paused: true,
            ..Self::default()
        }
    }

    /// Ends each connection after forwarding `bytes` to the client.
    pub fn end_after_bytes(bytes: u64, end: End) -> Self {
        Self {
            end_after_bytes: Some((bytes, end)),
            ..Self::default()
        }
    }
}

#[derive(Debug)]
struct State {
    upstream: SocketAddr,
    faults: Faults,
    rng: StdRng,
    accepted: u64,
    open: IndexMap<u64, Sender<End>>,
}

/// Random faults drawn for one connection.
#[derive(Debug, Clone, Copy, Default)]
struct DrawnFaults {
    end_after_bytes: Option<(u64, End)>,
    delay: Duration,
}

impl State {
    fn draw_faults(&mut self) -> DrawnFaults {
        let Some(random) = &self.faults.random else {
            return DrawnFaults::default();
        };
        // Each connection makes all three draws, whatever their results, so that the faults of one
        // connection do not change the random numbers of the next.
        let is_ended = self.rng.random_bool(random.end_probability);
        let bytes = self.rng.random_range(0..=random.end_max_bytes);
        let delay = random.delay_max.mul_f64(self.rng.random_range(0.0..=1.0));
        DrawnFaults {
            end_after_bytes: is_ended.then_some((bytes, random.end)),
            delay,
        }
    }
}

type Shared = Arc<Mutex<State>>;

/// Handle of a running proxy with its own thread. Dropping it stops the thread and closes all
/// connections.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    state: Shared,
    listening: ListeningControl,
    stop: Sender<()>,
    thread: Option<JoinHandle<()>>,
}

impl Proxy {
    /// Binds `address` and forwards each connection to `upstream`, initially without faults.
    pub fn bind(address: SocketAddr, upstream: SocketAddr) -> io::Result<Self> {
        let (acceptor, listening) = Acceptor::bind(address)?;
        let address = acceptor.address();
        let state = Arc::new(Mutex::new(State {
            upstream,
            faults: Faults::default(),
            rng: StdRng::seed_from_u64(0),
            accepted: 0,
            open: IndexMap::new(),
        }));
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let shared = Arc::clone(&state);
        let thread = thread::Builder::new()
            .name(format!("proxy-{}", address.port()))
            .spawn(move || run(acceptor, shared, stopped))?;
        Ok(Self {
            address,
            state,
            listening,
            stop,
            thread: Some(thread),
        })
    }

    /// Listening address, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the faults. Takes effect immediately and also for open connections, except random
    /// faults, which apply to new ones; their generator restarts from its seed.
    pub fn set_faults(&self, faults: Faults) {
        let mut state = self.state.lock();
        if let Some(random) = &faults.random {
            state.rng = StdRng::seed_from_u64(random.seed);
        }
        state.faults = faults;
    }

    /// Removes all faults.
    pub fn clear_faults(&self) {
        self.set_faults(Faults::default());
    }

    /// Changes what the proxy does with new connections; it goes on with the open ones.
    pub fn set_listening(&self, listening: Listening) {
        self.listening.set(listening);
    }

    /// Changes the server to which new connections are forwarded.
    pub fn set_upstream(&self, upstream: SocketAddr) {
        self.state.lock().upstream = upstream;
    }

    /// Ends all open connections and returns their number.
    pub fn end_connections(&self, end: End) -> usize {
        let state = self.state.lock();
        for end_sender in state.open.values() {
            // The channel is full if the connection is already being ended.
            let _ = end_sender.try_send(end);
        }
        state.open.len()
    }

    /// Number of connections accepted since the start.
    pub fn accepted(&self) -> u64 {
        self.state.lock().accepted
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.state.lock().open.len()
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.stop.close();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn run(acceptor: Acceptor, state: Shared, stopped: Receiver<()>) {
    let executor = Arc::new(Executor::new());
    let accept = accept_loop(Arc::clone(&executor), acceptor, state);
    let wait = async {
        let _ = stopped.recv().await;
    };
    smol::block_on(executor.run(accept.or(wait)));
}

async fn accept_loop(executor: Arc<Executor<'static>>, mut acceptor: Acceptor, state: Shared) {
    while let Ok(client) = acceptor.accept().await {
        let state = Arc::clone(&state);
        let (end_sender, end_requests) = async_channel::bounded(1);
        let (id, drawn) = {
            let mut state = state.lock();
            state.accepted += 1;
            let id = state.accepted;
            state.open.insert(id, end_sender.clone());
            (id, state.draw_faults())
        };
        let connection = Connection {
            state,
            drawn,
            end_sender,
        };
        executor
            .spawn(async move {
                connection.serve(&client, end_requests).await;
                connection.state.lock().open.swap_remove(&id);
            })
            .detach();
    }
}

/// Interval at which a paused direction checks whether it may continue.
const PAUSE_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Size of the buffer of each direction, and so of the largest block forwarded at once.
const MAX_BLOCK_BYTES: usize = 16 * 1024;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

struct Connection {
    state: Shared,
    drawn: DrawnFaults,
    end_sender: Sender<End>,
}

impl Connection {
    async fn serve(&self, client: &TcpStream, end_requests: Receiver<End>) {
        let forward = async {
            match self.connect().await {
                Ok(server) => self.forward(client, &server, &end_requests).await,
                Err(_) => reset_on_close(client),
            }
        };
        let end = async {
            let end = end_requests.recv().await;
            end_stream(client, end.unwrap_or(End::Reset));
        };
        forward.or(end).await;
    }

    /// Connects to the server. Waits while the direction to the server is paused, so a blackhole
    /// opens no connection to it.
    async fn connect(&self) -> io::Result<TcpStream> {
        self.wait_while_paused(Direction::ToServer).await;
        let upstream = self.state.lock().upstream;
        let server = TcpStream::connect(upstream).await?;
        server.set_nodelay(true)?;
        Ok(server)
    }

    async fn forward(&self, client: &TcpStream, server: &TcpStream, end_requests: &Receiver<End>) {
        let _ = client.set_nodelay(true);
        let copies = async {
            let up = self.copy(Direction::ToServer, client.clone(), server.clone());
            let down = self.copy(Direction::ToClient, server.clone(), client.clone());
            futures_lite::future::zip(up, down).await;
            None
        };
        let end = async { end_requests.recv().await.ok() };
        if let Some(end) = copies.or(end).await {
            end_stream(client, end);
            end_stream(server, end);
        }
    }

    async fn copy(&self, direction: Direction, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = vec![0; MAX_BLOCK_BYTES];
        let mut sent = 0u64;
        loop {
            if direction == Direction::ToClient {
                self.check_limit(sent).await;
            }
            let length = match from.read(&mut buffer).await {
                Ok(0) => break,
                Ok(length) => length,
                Err(_) => {
                    let _ = self.end_sender.try_send(End::Reset);
                    return;
                }
            };
            self.delay().await;
            self.wait_while_paused(direction).await;
            let sendable = match direction {
                Direction::ToServer => length,
                Direction::ToClient => self.sendable_bytes(sent, length),
            };
            if to.write_all(&buffer[..sendable]).await.is_err() {
                let _ = self.end_sender.try_send(End::Reset);
                return;
            }
            sent += sendable as u64;
        }
        let _ = to.shutdown(std::net::Shutdown::Write);
    }

    fn limit(&self) -> Option<(u64, End)> {
        let set = self.state.lock().faults.end_after_bytes;
        let limits = set.into_iter().chain(self.drawn.end_after_bytes);
        limits.min_by_key(|(bytes, _)| *bytes)
    }

    fn sendable_bytes(&self, sent: u64, length: usize) -> usize {
        let left = self
            .limit()
            .map_or(u64::MAX, |(bytes, _)| bytes.saturating_sub(sent));
        length.min(usize::try_from(left).unwrap_or(usize::MAX))
    }

    /// Ends the connection if its byte limit has been forwarded.
    async fn check_limit(&self, sent: u64) {
        match self.limit() {
            Some((bytes, end)) if sent >= bytes => {
                let _ = self.end_sender.try_send(end);
                std::future::pending().await
            }
            _ => {}
        }
    }

    async fn delay(&self) {
        let delay = self.drawn.delay + self.state.lock().faults.delay;
        if !delay.is_zero() {
            smol::Timer::after(delay).await;
        }
    }

    async fn wait_while_paused(&self, direction: Direction) {
        while self.is_paused(direction) {
            smol::Timer::after(PAUSE_POLL_INTERVAL).await;
        }
    }

    fn is_paused(&self, direction: Direction) -> bool {
        let faults = &self.state.lock().faults;
        match direction {
            Direction::ToServer => faults.is_upstream_paused,
            Direction::ToClient => faults.is_downstream_paused,
        }
    }
}

fn end_stream(stream: &TcpStream, end: End) {
    match end {
        End::Reset => reset_on_close(stream),
        End::Close => {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// Makes the close of the stream send RST, by a linger time of zero.
fn reset_on_close(stream: &TcpStream) {
    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
}
