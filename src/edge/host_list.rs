//! The platform's list of hosts. It is updated with a delay, so it is only a hint.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use thiserror::Error;

use crate::edge::BoxFuture;
use crate::http::client::Client;

/// State of a host in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host accepts work.
    Live,
    /// The host is going to be removed.
    Leaving,
}

/// A host in the list.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Host {
    /// Name of the host.
    pub host: String,
    /// IP address, with or without a port.
    pub address: String,
    /// Availability zone of the host.
    pub zone: String,
    /// State reported by the platform.
    pub state: HostState,
}

/// Why the host list could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the host list is not available ({0}); relying on direct evidence alone")]
pub struct HostListError(pub String);

/// Source of the host list.
pub trait HostList: Send + Sync {
    /// Reads all hosts.
    fn list(&self) -> BoxFuture<'_, Result<Vec<Host>, HostListError>>;
}

/// The host list over HTTP.
#[derive(Debug, Clone)]
pub struct HttpHostList {
    client: Client,
}

impl HttpHostList {
    /// Creates a client of the platform's host list at `address`. No connection is opened yet.
    pub fn new(address: SocketAddr, timeout: Duration) -> Arc<Self> {
        Arc::new(Self {
            client: Client::new(address, timeout),
        })
    }
}

impl HostList for HttpHostList {
    fn list(&self) -> BoxFuture<'_, Result<Vec<Host>, HostListError>> {
        Box::pin(async move {
            let response = self
                .client
                .get("/v1/hosts")
                .await
                .map_err(|error| HostListError(error.to_string()))?;
            match response.status {
                200 => serde_json::from_slice(&response.body)
                    .map_err(|error| HostListError(error.to_string())),
                status => Err(HostListError(format!("status {status}"))),
            }
        })
    }
}
