//! Pool of idle connections to backend servers.

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

use crate::decide::memory_plan::{EXTENDED_RECEIVE_BUFFER_BYTES, SERVER_RECEIVE_BUFFER_BYTES};
use crate::http::connect_failure::ConnectFailure;
use crate::http::limits::RECEIVE_BUFFER_BYTES;
use crate::http::socket::{Socket, SocketProbe};
use crate::runtime::Runtime;
use crate::tcp;

#[cfg(test)]
mod tests;

/// Maximum number of idle connections in a shard for each address.
const IDLE_MAX: usize = 256;
/// Idle connections are discarded after this time, since the server may have closed them.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
const SHARDS: usize = 16;
/// Maximum size of a connection's read buffer, and so of a response's head: four times the largest
/// head that is accepted from callers. hyper's own limit is 400 KiB, which 200 heads without end
/// turn into 80 MB.
const READ_BUFFER_MAX_BYTES: usize = 64 * 1024;
/// Upper bound of the round trip assumed from the time to connect. A lost packet makes a connection
/// take a second, which says nothing about the round trip.
const ROUND_TRIP_MAX: Duration = Duration::from_millis(20);

/// Opens a TCP connection with Nagle's algorithm disabled and a receive buffer of fixed size, or fails
/// after `timeout`.
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    connect_buffered(address, timeout, RECEIVE_BUFFER_BYTES).await
}

async fn connect_buffered(
    address: SocketAddr,
    timeout: Duration,
    receive_buffer_bytes: usize,
) -> io::Result<TcpStream> {
    let open = tcp::connect(address, None, Some(receive_buffer_bytes));
    let limit = async {
        smol::Timer::after(timeout).await;
        Err(io::Error::from(io::ErrorKind::TimedOut))
    };
    open.or(limit).await
}

/// An HTTP/1.1 connection to a backend server.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    socket: SocketProbe,
    /// Number of response heads received on it.
    responses: u32,
    /// Whether its receive buffer was extended. It cannot be made small again.
    is_extended: bool,
}

impl Connection {
    /// Whether it has brought a single response, so that this one cannot be a late second response
    /// to an earlier request.
    pub fn is_first_response(&self) -> bool {
        self.responses == 1
    }

    /// Lets the system receive more at once of a large response that has its memory. The connection is
    /// closed after the response.
    pub fn extend_receive_buffer(&mut self) {
        if !std::mem::replace(&mut self.is_extended, true) {
            self.socket
                .set_receive_buffer(EXTENDED_RECEIVE_BUFFER_BYTES);
        }
    }

    /// Whether a request may be sent now. The socket is probed as well, since a request could
    /// otherwise be written to a connection that the server has closed, and count as sent.
    fn is_ready(&self) -> bool {
        self.sender.is_ready() && self.socket.is_idle()
    }
}

/// Why a request got no response.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No byte of the request was written.
    #[error("{0}")]
    NotSent(String),
    /// No byte of the request was written, since the server closed the new connection at once: it
    /// has reached its connection limit.
    #[error("the server accepts no further connection")]
    ConnectionLimit,
    /// No byte of the request was written, since this process lacks what a connection needs, such as
    /// a file descriptor.
    #[error("no connection can be opened here: {0}")]
    NoResources(io::Error),
    /// No byte of the request was written, since it may no longer be sent.
    #[error("the server no longer accepts requests")]
    Withheld,
    /// The connection failed after a part of the request may have been written.
    #[error("{0}")]
    Broken(#[from] hyper::Error),
}

struct Idle {
    connection: Connection,
    expires_at: Instant,
}

type Shard = Mutex<IndexMap<SocketAddr, Vec<Idle>>>;

/// A pool of idle connections. Clones share it.
#[derive(Clone)]
pub struct Pool {
    runtime: Runtime,
    connect_timeout: Duration,
    reset_wait: Option<Duration>,
    shards: Arc<[Shard; SHARDS]>,
}

impl std::fmt::Debug for Pool {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Pool").finish_non_exhaustive()
    }
}

impl Pool {
    /// Creates an empty pool.
    pub fn open(runtime: Runtime, connect_timeout: Duration) -> Self {
        Self {
            runtime,
            connect_timeout,
            reset_wait: None,
            shards: Arc::new(std::array::from_fn(|_| Mutex::new(IndexMap::new()))),
        }
    }

    /// Creates an empty pool that sends nothing on a new connection until a server at its
    /// connection limit would have reset it. A request sent on such a connection may have run, as
    /// far as the router knows, and could not be sent again. `reset_wait` is the time beyond a
    /// round trip within which the reset arrives.
    pub fn open_with_reset_wait(
        runtime: Runtime,
        connect_timeout: Duration,
        reset_wait: Duration,
    ) -> Self {
        Self {
            reset_wait: Some(reset_wait),
            ..Self::open(runtime, connect_timeout)
        }
    }

    /// The shard of the current worker. Each worker has its own, since the worker that opened a
    /// connection also drives it.
    fn shard(&self) -> &Shard {
        &self.shards[self.runtime.current_worker().unwrap_or(0) % SHARDS]
    }

    /// Returns an idle connection, or opens a new one.
    pub async fn acquire(&self, address: SocketAddr) -> io::Result<Connection> {
        if let Some(connection) = self.take_idle(address) {
            return Ok(connection);
        }
        self.connect(address).await
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut shard = self.shard().lock();
        let idle = shard.get_mut(&address)?;
        while let Some(entry) = idle.pop() {
            if entry.connection.is_ready() && Instant::now() < entry.expires_at {
                return Some(entry.connection);
            }
        }
        None
    }

    /// Opens a new connection.
    pub async fn connect(&self, address: SocketAddr) -> io::Result<Connection> {
        let start = Instant::now();
        let stream =
            connect_buffered(address, self.connect_timeout, SERVER_RECEIVE_BUFFER_BYTES).await?;
        let round_trip = start.elapsed();
        let socket = Socket::to_server(stream);
        let probe = socket.probe();
        if let Some(reset_wait) = self.reset_wait {
            smol::Timer::after(round_trip.min(ROUND_TRIP_MAX) + reset_wait).await;
            if !probe.is_idle() {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
        }
        let (sender, driver) = hyper::client::conn::http1::Builder::new()
            .max_buf_size(READ_BUFFER_MAX_BYTES)
            .handshake(socket)
            .await
            .map_err(io::Error::other)?;
        self.runtime.spawn_detached(async move {
            // An error is also returned to the request that uses the connection.
            let _ = driver.await;
        });
        Ok(Connection {
            sender,
            socket: probe,
            responses: 0,
            is_extended: false,
        })
    }

    /// Sends a request and waits for the head of the response. If the server had closed the pooled
    /// connection while it was idle, hyper returns the request unsent, and it is sent on a new
    /// connection.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Connection), SendError> {
        self.send_if(address, request, || true).await
    }

    /// Like `send`, but asks `may_send` each time before the request is written: what allowed it may
    /// have changed while a connection was opened.
    pub async fn send_if<M>(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        may_send: M,
    ) -> Result<(Response<Incoming>, Connection), SendError>
    where
        M: Fn() -> bool,
    {
        let not_connected = |error: io::Error| match ConnectFailure::of(&error) {
            ConnectFailure::ConnectionLimit => SendError::ConnectionLimit,
            ConnectFailure::NoResources => SendError::NoResources(error),
            ConnectFailure::Refused | ConnectFailure::NoAnswer => {
                SendError::NotSent(format!("connect: {error}"))
            }
        };
        let mut connection = self.acquire(address).await.map_err(not_connected)?;
        if !may_send() {
            self.release(address, connection);
            return Err(SendError::Withheld);
        }
        let mut error = match connection.sender.try_send_request(request).await {
            Ok(response) => {
                connection.responses += 1;
                return Ok((response, connection));
            }
            Err(error) => error,
        };
        let Some(request) = error.take_message() else {
            return Err(error.into_error().into());
        };
        let mut connection = self.connect(address).await.map_err(not_connected)?;
        if !may_send() {
            self.release(address, connection);
            return Err(SendError::Withheld);
        }
        match connection.sender.try_send_request(request).await {
            Ok(response) => {
                connection.responses += 1;
                Ok((response, connection))
            }
            Err(mut error) => match error.take_message() {
                Some(_) => Err(SendError::NotSent(error.into_error().to_string())),
                None => Err(error.into_error().into()),
            },
        }
    }

    /// Returns a connection to the pool after its response was read to the end.
    pub fn release(&self, address: SocketAddr, connection: Connection) {
        self.release_with_limits(address, connection, IDLE_TIMEOUT, IDLE_MAX);
    }

    /// Returns a connection to the pool for at most `idle_timeout`, the time for which the server
    /// keeps idle connections open. It is closed instead if `idle_max` connections to the address
    /// are already idle, or if its receive buffer was extended.
    pub fn release_with_limits(
        &self,
        address: SocketAddr,
        connection: Connection,
        idle_timeout: Duration,
        idle_max: usize,
    ) {
        let mut shard = self.shard().lock();
        let idle = shard.entry(address).or_default();
        if idle.len() < idle_max.min(IDLE_MAX) && !connection.is_extended {
            idle.push(Idle {
                connection,
                expires_at: Instant::now() + idle_timeout.min(IDLE_TIMEOUT),
            });
        }
    }

    /// Closes the idle connections of the current worker to an address. Called after a request on
    /// one of them got no response, since the others may be unresponsive as well.
    pub fn close_idle(&self, address: SocketAddr) {
        self.shard().lock().swap_remove(&address);
    }
}
