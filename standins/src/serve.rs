//! HTTP listener and response helpers shared by all stand-ins.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use futures_lite::FutureExt;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use serde_json::Value;
use smol::Executor;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use crate::listening::{Acceptor, Listening, ListeningControl};

/// Body of a stand-in's response. An error in it closes the connection without a proper end of
/// the body.
pub type Body = BoxBody<Bytes, io::Error>;

/// A running listener with its own thread. Dropping it stops the thread and closes all
/// connections.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: Receiver<()>,
    stop_sender: Option<Sender<()>>,
    listening: ListeningControl,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Binds `address` and serves each request with `handle`.
    pub fn bind<H, F>(address: SocketAddr, handle: H) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let mut server = Self::bind_stoppable(address, stopped, handle)?;
        server.stop_sender = Some(stop);
        Ok(server)
    }

    /// Like [`Server::bind`], but also stops when the channel closes.
    pub fn bind_stoppable<H, F>(
        address: SocketAddr,
        stopped: Receiver<()>,
        handle: H,
    ) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        let (acceptor, listening) = Acceptor::bind(address)?;
        let address = acceptor.address();
        let stop = stopped.clone();
        let thread = thread::Builder::new()
            .name(format!("standin-{}", address.port()))
            .spawn(move || {
                let executor = Arc::new(Executor::new());
                let accept = accept_loop(Arc::clone(&executor), acceptor, handle);
                let wait = async {
                    let _ = stopped.recv().await;
                };
                smol::block_on(executor.run(accept.or(wait)));
            })?;
        Ok(Self {
            address,
            stop,
            stop_sender: None,
            listening,
            thread: Some(thread),
        })
    }

    /// Changes what the server does with new connections, and waits until that is in force.
    pub fn set_listening(&self, listening: Listening) {
        self.listening.set(listening);
    }

    /// Listening address, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop.close();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn accept_loop<H, F>(executor: Arc<Executor<'static>>, mut acceptor: Acceptor, handle: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    while let Ok(stream) = acceptor.accept().await {
        serve_connection(&executor, stream, handle.clone());
    }
}

fn serve_connection<H, F>(executor: &Executor<'static>, stream: TcpStream, handle: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let serve = async move {
        let _ = stream.set_nodelay(true);
        let service = service_fn(|request| {
            let response = handle(request);
            async move {
                let response = response.await;
                match response.extensions().get::<CloseConnection>() {
                    Some(_) => Err(io::Error::other("reset on request")),
                    None => Ok(response),
                }
            }
        });
        let _ = hyper::server::conn::http1::Builder::new()
            .serve_connection(FuturesIo::new(stream), service)
            .await;
    };
    executor.spawn(serve).detach();
}

/// Response extension that makes the server close the connection instead of sending the
/// response.
#[derive(Debug, Clone, Copy)]
struct CloseConnection;

/// A response that is never sent: the connection closes instead.
pub fn close_connection() -> Response<Body> {
    let mut response = response(StatusCode::OK, "");
    response.extensions_mut().insert(CloseConnection);
    response
}

/// A response with the given body and no content type.
pub fn response(status: StatusCode, bytes: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// A response with a JSON body.
pub fn json_response(status: StatusCode, value: &Value) -> Response<Body> {
    let mut response = response(status, value.to_string());
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Percent-decoded value of a query parameter; `None` if the parameter is absent.
pub fn query_param(request: &Request<Incoming>, name: &str) -> Option<String> {
    let query = request.uri().query()?;
    query.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then(|| decode_percent(value))
    })
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while index < bytes.len() {
        let digits = bytes.get(index + 1..index + 3);
        let code = digits
            .and_then(|digits| std::str::from_utf8(digits).ok())
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (bytes[index], code) {
            (b'%', Some(code)) => {
                decoded.push(code);
                index += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
