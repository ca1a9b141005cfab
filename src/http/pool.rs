//! Connections to backend servers, kept for reuse.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_lite::FutureExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::{Request, Response};
use indexmap::IndexMap;
use parking_lot::Mutex;
use smol::net::TcpStream;

use crate::http::socket::{Socket, SocketWatch};
use crate::runtime::Runtime;

#[cfg(test)]
mod tests;

/// Connections that one shard keeps for each address.
const IDLE_MAX: usize = 256;
/// Idle connections older than this are closed, as a server may have dropped them.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
const SHARDS: usize = 16;
/// Longest round trip that is waited for; a lost packet makes a connection take a second.
const SETTLE_MAX: Duration = Duration::from_millis(20);

/// Opens a TCP connection within a time limit, without Nagle's delay.
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let open = async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    };
    let limit = async {
        smol::Timer::after(timeout).await;
        Err(io::Error::from(io::ErrorKind::TimedOut))
    };
    open.or(limit).await
}

/// One HTTP connection that can carry a request.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    socket: SocketWatch,
}

impl Connection {
    /// Whether a request may be sent now. Without the look at the socket a request could be
    /// written to a connection that the server had closed, and count as sent.
    fn is_ready(&self) -> bool {
        self.sender.is_ready() && self.socket.is_quiet()
    }
}

/// Why a request got no answer.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No byte of it was written.
    #[error("{0}")]
    NotSent(String),
    /// No byte of it was written, since the server closed the new connection at once: it has
    /// as many as it accepts.
    #[error("the server accepts no further connection")]
    Crowded,
    /// The connection broke after some of it may have been written.
    #[error("{0}")]
    Broken(#[from] hyper::Error),
}

struct Idle {
    connection: Connection,
    until: Instant,
}

type Shard = Mutex<IndexMap<SocketAddr, Vec<Idle>>>;

/// A pool of idle connections.
#[derive(Clone)]
pub struct Pool {
    runtime: Runtime,
    connect_timeout: Duration,
    settle: Option<Duration>,
    shards: Arc<[Shard; SHARDS]>,
}

impl std::fmt::Debug for Pool {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Pool").finish_non_exhaustive()
    }
}

impl Pool {
    /// An empty pool.
    pub fn open(runtime: Runtime, connect_timeout: Duration) -> Self {
        Self {
            runtime,
            connect_timeout,
            settle: None,
            shards: Arc::new(std::array::from_fn(|_| Mutex::new(IndexMap::new()))),
        }
    }

    /// An empty pool whose new connections carry nothing until a server that has too many
    /// would have reset them: what was sent on such a connection may have run, as far as is
    /// known, and could not be sent again. `settle` is the time beyond a round trip in which
    /// a reset arrives.
    pub fn open_settling(runtime: Runtime, connect_timeout: Duration, settle: Duration) -> Self {
        Self {
            settle: Some(settle),
            ..Self::open(runtime, connect_timeout)
        }
    }

    /// Each worker has a shard of its own, as a connection is driven by the worker that
    /// opened it.
    fn shard(&self) -> &Shard {
        &self.shards[self.runtime.current_worker().unwrap_or(0) % SHARDS]
    }

    /// An idle connection, or a new one.
    pub async fn take(&self, address: SocketAddr) -> io::Result<Connection> {
        if let Some(connection) = self.take_idle(address) {
            return Ok(connection);
        }
        self.fresh(address).await
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut shard = self.shard().lock();
        let idle = shard.get_mut(&address)?;
        while let Some(entry) = idle.pop() {
            if entry.connection.is_ready() && Instant::now() < entry.until {
                return Some(entry.connection);
            }
        }
        None
    }

    /// A new connection.
    pub async fn fresh(&self, address: SocketAddr) -> io::Result<Connection> {
        let start = Instant::now();
        let stream = connect(address, self.connect_timeout).await?;
        let round_trip = start.elapsed();
        let socket = Socket::new(stream);
        let watch = socket.watch();
        if let Some(settle) = self.settle {
            smol::Timer::after(round_trip.min(SETTLE_MAX) + settle).await;
            if !watch.is_quiet() {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
        }
        let (sender, driver) = hyper::client::conn::http1::handshake(socket)
            .await
            .map_err(io::Error::other)?;
        self.runtime.spawn_detached(async move {
            // A failure reaches the request that uses the connection.
            let _ = driver.await;
        });
        Ok(Connection {
            sender,
            socket: watch,
        })
    }

    /// Sends a request and waits for the head of its answer. Where the server had closed a
    /// pooled connection while it was idle, hyper hands the request back unsent and a fresh
    /// connection carries it.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Connection), SendError> {
        let not_connected = |error: io::Error| match error.kind() {
            io::ErrorKind::ConnectionAborted => SendError::Crowded,
            _ => SendError::NotSent(format!("connect: {error}")),
        };
        let mut connection = self.take(address).await.map_err(not_connected)?;
        let mut error = match connection.sender.try_send_request(request).await {
            Ok(response) => return Ok((response, connection)),
            Err(error) => error,
        };
        let Some(request) = error.take_message() else {
            return Err(error.into_error().into());
        };
        let mut connection = self.fresh(address).await.map_err(not_connected)?;
        match connection.sender.try_send_request(request).await {
            Ok(response) => Ok((response, connection)),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(SendError::NotSent(error.into_error().to_string())),
                None => Err(error.into_error().into()),
            },
        }
    }

    /// Takes back a connection whose answer was read to its end.
    pub fn give_back(&self, address: SocketAddr, connection: Connection) {
        self.give_back_for(address, connection, IDLE_TIMEOUT, IDLE_MAX);
    }

    /// Takes back a connection that the server keeps open for `keep` while it is idle, unless
    /// `most` to its address are idle already.
    pub fn give_back_for(
        &self,
        address: SocketAddr,
        connection: Connection,
        keep: Duration,
        most: usize,
    ) {
        let mut shard = self.shard().lock();
        let idle = shard.entry(address).or_default();
        if idle.len() < most.min(IDLE_MAX) {
            idle.push(Idle {
                connection,
                until: Instant::now() + keep.min(IDLE_TIMEOUT),
            });
        }
    }

    /// Closes the idle connections to an address, where a request on one got no answer: the
    /// others may be as silent.
    pub fn forget(&self, address: SocketAddr) {
        self.shard().lock().swap_remove(&address);
    }
}
