//! HTTP client for the platform's services, engines and admin ports, which exchange JSON.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONTENT_TYPE, HOST, HeaderMap};
use hyper::{Method, Request};
use serde::Serialize;
use smol_hyper::rt::FuturesIo;
use thiserror::Error;

use crate::http::connect_failure::ConnectFailure;
use crate::http::framing;
use crate::http::pool::connect;

/// Why a call got no response.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CallError {
    /// No byte of the request reached the server.
    #[error("request not sent: {0}")]
    NotSent(String),
    /// No byte of the request reached the server, since this process lacks what a connection needs,
    /// such as a file descriptor.
    #[error("no connection can be opened here: {0}")]
    NoResources(String),
    /// The connection broke; the call may have taken effect.
    #[error("no response: {0}")]
    ResponseLost(String),
    /// No response arrived within the timeout; the call may have taken effect.
    #[error("no response in time")]
    TimedOut,
}

/// A complete response.
#[derive(Debug, Clone)]
pub struct ClientResponse {
    /// HTTP status code.
    pub status: u16,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Body as received.
    pub body: Bytes,
}

/// A client of one server that opens a new connection for each call.
#[derive(Debug, Clone)]
pub struct Client {
    address: SocketAddr,
    timeout: Duration,
}

impl Client {
    /// Creates a client of the server at `address`. `timeout` limits first the connection and then
    /// the exchange of each call. No connection is opened yet.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { address, timeout }
    }

    /// Sends a GET request.
    pub async fn get(&self, path: &str) -> Result<ClientResponse, CallError> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Sends a POST request with `value` as its JSON body.
    pub async fn post<T>(&self, path: &str, value: &T) -> Result<ClientResponse, CallError>
    where
        T: Serialize,
    {
        let body = serde_json::to_vec(value).map_err(|e| CallError::NotSent(e.to_string()))?;
        self.call(Method::POST, path, Bytes::from(body)).await
    }

    /// Sends a PUT request with `body`, which need not be JSON.
    pub async fn put(&self, path: &str, body: Bytes) -> Result<ClientResponse, CallError> {
        self.call(Method::PUT, path, body).await
    }

    /// Sends a request and reads the complete response.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<ClientResponse, CallError> {
        let stream =
            connect(self.address, self.timeout)
                .await
                .map_err(|error| match ConnectFailure::of(&error) {
                    ConnectFailure::NoResources => CallError::NoResources(error.to_string()),
                    _ => CallError::NotSent(error.to_string()),
                })?;
        let response_lost = |error: hyper::Error| CallError::ResponseLost(error.to_string());
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(FuturesIo::new(stream))
                .await
                .map_err(|error| CallError::NotSent(error.to_string()))?;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| CallError::NotSent(error.to_string()))?;
        let exchange = async {
            let response = sender.send_request(request).await.map_err(response_lost)?;
            let (head, body) = response.into_parts();
            if !framing::is_valid_status(head.status) {
                let reason = format!("the response has the status {}", head.status.as_u16());
                return Err(CallError::ResponseLost(reason));
            }
            let body = body.collect().await.map_err(response_lost)?.to_bytes();
            Ok(ClientResponse {
                status: head.status.as_u16(),
                headers: head.headers,
                body,
            })
        };
        let drive = async {
            // The connection ends before the exchange only if it fails; the exchange then returns
            // the error.
            let _ = connection.await;
            std::future::pending().await
        };
        let limit = async {
            smol::Timer::after(self.timeout).await;
            Err(CallError::TimedOut)
        };
        exchange.or(drive).or(limit).await
    }
}
