//! Control interface of model engines: reads their state and sends orders that change it.

use std::net::SocketAddr;
use std::time::Duration;

use thiserror::Error;

use crate::decide::orders::{EngineState, Order};
use crate::edge::BoxFuture;
use crate::http::client::Client;

/// Why a call to an engine failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EngineError {
    /// No valid response was received; an order may have taken effect.
    #[error("the engine gave no valid response ({0}); its state will be read again")]
    NoResponse(String),
    /// The engine rejected the order, since it has received one with a higher fencing number.
    #[error("the engine refused fencing number {0}; another controller holds the lease")]
    Fenced(u64),
}

/// Control interface of engines.
pub trait EngineControl: Send + Sync {
    /// Reads the state that an engine reports: its models, adapters, role and configuration
    /// version.
    fn read_state(&self, address: SocketAddr) -> BoxFuture<'_, Result<EngineState, EngineError>>;
    /// Sends an order and waits until the engine has accepted it.
    fn send_order(
        &self,
        address: SocketAddr,
        order: Order,
    ) -> BoxFuture<'_, Result<(), EngineError>>;
}

/// Control interface of engines over HTTP.
#[derive(Debug, Clone)]
pub struct HttpEngineControl {
    timeout: Duration,
}

impl HttpEngineControl {
    /// Creates a client of all engines. `timeout` applies to each call as described at
    /// [`Client::open`].
    pub fn open(timeout: Duration) -> Self {
        Self { timeout }
    }
}

impl EngineControl for HttpEngineControl {
    fn read_state(&self, address: SocketAddr) -> BoxFuture<'_, Result<EngineState, EngineError>> {
        Box::pin(async move {
            let client = Client::open(address, self.timeout);
            let response = client
                .get("/v1/state")
                .await
                .map_err(|error| EngineError::NoResponse(error.to_string()))?;
            if response.status != 200 {
                return Err(EngineError::NoResponse(format!(
                    "status {}",
                    response.status
                )));
            }
            serde_json::from_slice(&response.body)
                .map_err(|error| EngineError::NoResponse(error.to_string()))
        })
    }

    fn send_order(
        &self,
        address: SocketAddr,
        order: Order,
    ) -> BoxFuture<'_, Result<(), EngineError>> {
        Box::pin(async move {
            let client = Client::open(address, self.timeout);
            let response = client
                .post("/v1/orders", &order)
                .await
                .map_err(|error| EngineError::NoResponse(error.to_string()))?;
            match response.status {
                200 => Ok(()),
                409 => Err(EngineError::Fenced(order.fencing.0)),
                status => Err(EngineError::NoResponse(format!("status {status}"))),
            }
        })
    }
}
