//! A listener with limits on what a peer may send and hold open.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures_lite::{AsyncWriteExt, FutureExt, future};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue, TRANSFER_ENCODING};
use hyper::service::service_fn;
use hyper::{Request, Response};
use smol::net::{TcpListener, TcpStream};

use crate::error::{Error, Result};
use crate::http::Body;
use crate::http::guard::{self, CallerIo, Expiry, Progress, TrackedBody};
use crate::http::limits::ServerLimits;
use crate::runtime::{Runtime, Shutdown};

/// Connections that the system queues until they are accepted. The standard library asks for
/// 128; a burst beyond the queue loses its first packets and waits a second for the next.
const BACKLOG: i32 = 4096;

/// Pause after a failed accept, so that a lack of descriptors does not spin the loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A running listener.
#[derive(Debug, Clone)]
pub struct Server {
    address: SocketAddr,
    stop: Shutdown,
    open: Arc<AtomicUsize>,
}

impl Server {
    /// Binds `address` and answers each request by `handle`.
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
            open: Arc::new(AtomicUsize::new(0)),
        };
        let accept = accept_loop(runtime.clone(), listener, limits, handle, server.clone());
        runtime.spawn_detached(accept);
        Ok(server)
    }

    /// The address bound, with the real port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Open connections.
    pub fn connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Stops accepting and tells open connections to end after their request.
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
        if server.open.fetch_add(1, Ordering::Relaxed) >= limits.connections_max {
            server.open.fetch_sub(1, Ordering::Relaxed);
            refuse_connection(&mut stream).await;
            continue;
        }
        let limits = limits.clone();
        let handle = handle.clone();
        let server = server.clone();
        runtime.spawn_detached_round_robin(async move {
            serve(stream, &limits, handle, &server.stop).await;
            server.open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

/// Sends a refusal as far as the socket takes it at once: a flood must not hold anything.
async fn refuse_connection(stream: &mut TcpStream) {
    let bytes = guard::raw_refusal(&guard::too_many_connections());
    let _ = future::poll_once(stream.write_all(&bytes)).await;
}

async fn serve<H, F>(stream: TcpStream, limits: &ServerLimits, handle: H, stop: &Shutdown)
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<Body>>,
{
    let _ = stream.set_nodelay(true);
    let progress = Progress::open();
    let expiry = drive(&stream, limits, handle, stop, &progress).await;
    match expiry {
        Some(Expiry::SlowReader) => return,
        Some(Expiry::SlowHead) => {
            let bytes = guard::raw_refusal(&guard::slow_head());
            let _ = future::poll_once(stream.clone().write_all(&bytes)).await;
        }
        Some(Expiry::Idle) | None => {}
    }
    guard::linger(stream).await;
}

/// Serves requests until the connection ends; returns which limit ended it, if any.
async fn drive<H, F>(
    stream: &TcpStream,
    limits: &ServerLimits,
    handle: H,
    stop: &Shutdown,
    progress: &Progress,
) -> Option<Expiry>
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<Body>>,
{
    let service = service_fn(|request| {
        progress.request();
        let closes = must_close(&request);
        // hyper reserves room for this future on each connection, idle ones too; the box
        // keeps a request's state off connections that have none.
        let answer = Box::pin(handle(request));
        let progress = progress.clone();
        async move {
            let mut response = answer.await;
            if closes {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
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
        if !is_done {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
        None
    };
    serve
        .or(async { Some(progress.expire(limits).await) })
        .await
}

/// Whether the connection must end after this request.
///
/// hyper drops a Content-Length that stands beside Transfer-Encoding and does not tell. RFC
/// 9112 (6.1) asks to close after such a request, as a proxy before us may have divided the
/// bytes differently; all chunked requests are treated so.
fn must_close(request: &Request<Incoming>) -> bool {
    request.headers().contains_key(TRANSFER_ENCODING)
}
