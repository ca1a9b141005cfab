//! HTTP listener that limits the connections, headers and idle times of its clients.

#[cfg(test)]
mod tests;

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures_lite::{AsyncWriteExt, FutureExt, future};
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONNECTION, HeaderValue, TRANSFER_ENCODING};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, Version};
use smol::net::{TcpListener, TcpStream};

use crate::error::{Error, Result};
use crate::http::Body;
use crate::http::framing;
use crate::http::guard::{self, CallerIo, ConnectionProgress, Expiry, TrackedBody};
use crate::http::limits::ServerLimits;
use crate::http::socket::{SocketProbe, set_reset_on_close};
use crate::ids::RequestId;
use crate::runtime::{Runtime, Shutdown};

/// Size of the system's queue of connections that are not accepted yet. The standard library uses
/// 128. In a burst that exceeds the queue, connection packets are lost and resent only after a
/// second.
const BACKLOG: i32 = 4096;

/// Pause after a failed accept, so that the loop does not spin when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Interval at which a stopping listener checks whether a connection has brought a request.
const STOP_POLL: Duration = Duration::from_millis(5);

/// Time for which a stopping listener waits for the first request of a connection. Callers send it
/// as soon as they are connected, so that it arrives within a round trip.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(500);

/// A running listener.
#[derive(Debug, Clone)]
pub struct Server {
    address: SocketAddr,
    stop: Shutdown,
    open_connections: Arc<AtomicUsize>,
}

impl Server {
    /// Binds `address` and serves each request with `handle`. The extensions of a request have a
    /// [`SocketProbe`] of its connection.
    pub fn bind<H, F>(
        runtime: &Runtime,
        address: SocketAddr,
        limits: ServerLimits,
        handle: H,
    ) -> Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        let listener = std::net::TcpListener::bind(address)
            .and_then(|listener| {
                // Accepted sockets inherit it.
                if let Some(bytes) = limits.receive_buffer_bytes {
                    rustix::net::sockopt::set_socket_recv_buffer_size(&listener, bytes)?;
                }
                rustix::net::listen(&listener, BACKLOG)?;
                smol::Async::new(listener)
            })
            .map_err(|source| Error::Listen { address, source })?;
        let listener = TcpListener::from(listener);
        let address = listener
            .local_addr()
            .map_err(|source| Error::Listen { address, source })?;
        let server = Self {
            address,
            stop: Shutdown::new(),
            open_connections: Arc::new(AtomicUsize::new(0)),
        };
        let accept = accept_loop(runtime.clone(), listener, limits, handle, server.clone());
        runtime.spawn_detached(accept);
        Ok(server)
    }

    /// The bound address, with the actual port if port 0 was requested.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open_connections.load(Ordering::Relaxed)
    }

    /// Stops accepting connections. Open connections are closed after their current request.
    pub fn stop(&self) {
        self.stop.trigger();
    }
}

async fn accept_loop<H, F>(
    runtime: Runtime,
    listener: TcpListener,
    limits: ServerLimits,
    handle: H,
    server: Server,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    loop {
        let accepted = async { Some(listener.accept().await) }
            .or(async {
                server.stop.wait().await;
                None
            })
            .await;
        let mut stream = match accepted {
            None => return,
            Some(Ok((stream, _))) => stream,
            Some(Err(error)) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                smol::Timer::after(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if server.open_connections.fetch_add(1, Ordering::Relaxed) >= limits.connections_max {
            server.open_connections.fetch_sub(1, Ordering::Relaxed);
            refuse_connection(&mut stream).await;
            continue;
        }
        let limits = limits.clone();
        let handle = handle.clone();
        let stop = server.stop.clone();
        let open = OpenConnection(Arc::clone(&server.open_connections));
        runtime.spawn_detached_round_robin(async move {
            serve(stream, &limits, handle, &stop).await;
            drop(open);
        });
    }
}

/// An open connection; dropping it ends the count, also if its task panics.
struct OpenConnection(Arc<AtomicUsize>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Sends as much of a refusal as the socket accepts without waiting, since a flood of connections
/// must not occupy the accept loop.
async fn refuse_connection(stream: &mut TcpStream) {
    let bytes = guard::encode_refusal(&guard::too_many_connections_refusal());
    let _ = future::poll_once(stream.write_all(&bytes)).await;
}

async fn serve<H, F>(stream: TcpStream, limits: &ServerLimits, handle: H, stop: &Shutdown)
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<Body>>,
{
    let _ = stream.set_nodelay(true);
    let progress = ConnectionProgress::open();
    let expiry = drive(&stream, limits, handle, stop, &progress).await;
    if progress.is_cut_off() {
        return;
    }
    match expiry {
        Some(Expiry::SlowReader) => return,
        Some(Expiry::HeaderTimeout) => {
            let bytes = guard::encode_refusal(&guard::header_timeout_refusal());
            let _ = future::poll_once(stream.clone().write_all(&bytes)).await;
        }
        Some(Expiry::IdleTimeout) | None => {}
    }
    guard::lingering_close(stream).await;
}

/// Serves requests until the connection ends. Returns the timeout that ended it, if any.
async fn drive<H, F>(
    stream: &TcpStream,
    limits: &ServerLimits,
    handle: H,
    stop: &Shutdown,
    progress: &ConnectionProgress,
) -> Option<Expiry>
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<Body>>,
{
    let service = service_fn(|mut request: Request<Incoming>| {
        progress.begin_request();
        let probe = SocketProbe::of(stream.clone());
        request.extensions_mut().insert(probe);
        let is_last = must_close(&request, limits);
        let knows_chunks = request.version() >= Version::HTTP_11;
        let wants_body = request.method() != Method::HEAD;
        // hyper reserves memory for this future in each connection, even an idle one. The box
        // avoids the memory for a request's state on idle connections.
        let response = match framing::is_transfer_coded(request.headers()) {
            true => Err(guard::transfer_coding_refusal()),
            false => Ok(Box::pin(handle(request))),
        };
        let progress = progress.clone();
        async move {
            let mut response = match response {
                Ok(response) => response.await,
                Err(refusal) => refusal.into_response(&RequestId::random()),
            };
            if is_last {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            let has_length = response.body().size_hint().exact().is_some();
            // hyper ends a body with the connection that has neither a length nor chunks.
            if wants_body && !has_length && !knows_chunks {
                progress.begin_closing_body();
                set_reset_on_close(stream, true);
            }
            Ok::<_, Infallible>(response.map(|body| TrackedBody::new(body, progress)))
        }
    });
    let io = CallerIo::new(stream.clone(), progress.clone());
    let mut connection = std::pin::pin!(
        hyper::server::conn::http1::Builder::new()
            .header_read_timeout(None)
            .max_buf_size(limits.header_bytes)
            .max_headers(limits.headers_max)
            .serve_connection(io, service)
    );
    let serve = async {
        let is_done = async {
            let _ = connection.as_mut().await;
            true
        }
        .or(async {
            stop.wait().await;
            false
        })
        .await;
        if is_done {
            return None;
        }
        // hyper closes a connection at once whose request has not been received completely.
        while may_bring_request(stream, progress).await {
            let is_done = async {
                let _ = connection.as_mut().await;
                true
            }
            .or(async {
                smol::Timer::after(STOP_POLL).await;
                false
            })
            .await;
            if is_done {
                return None;
            }
        }
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
        None
    };
    serve
        .or(async { Some(progress.wait_for_expiry(limits).await) })
        .await
}

/// Whether a request has been received in part, waits in the socket, or is about to come on a new
/// connection, so that closing the connection would cut it off.
async fn may_bring_request(stream: &TcpStream, progress: &ConnectionProgress) -> bool {
    if !progress.is_idle() {
        return progress.is_receiving_head();
    }
    let is_new = progress
        .time_without_request()
        .is_some_and(|time| time < FIRST_REQUEST_WAIT);
    let peeked = future::poll_once(stream.peek(&mut [0])).await;
    is_new || matches!(peeked, Some(Ok(1..)))
}

/// Whether the connection must be closed after this request.
///
/// hyper silently drops a Content-Length that is sent together with Transfer-Encoding. RFC 9112
/// (6.1) requires closing the connection after such a request, since a proxy in front of this
/// server may have split the bytes into requests differently. All chunked requests are treated as
/// such.
///
/// The system keeps the window that it has once announced, so that an extended receive buffer can
/// fill up behind the body at any later time.
fn must_close(request: &Request<Incoming>, limits: &ServerLimits) -> bool {
    let announced_bytes = request.body().size_hint().exact().unwrap_or(0);
    let is_extended = limits
        .close_from_body_bytes
        .is_some_and(|from| announced_bytes >= from);
    is_extended || request.headers().contains_key(TRANSFER_ENCODING)
}
