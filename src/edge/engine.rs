//! The control side of model engines: their state, and orders to change it.

use std::net::SocketAddr;
use std::time::Duration;

use thiserror::Error;

use crate::decide::orders::{EngineState, Order};
use crate::edge::BoxFuture;
use crate::http::client::Client;

/// Why an engine did not do as asked.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EngineError {
    /// No usable answer came; an order may have taken effect.
    #[error("the engine gave no usable answer ({0}); its state is read again")]
    NoResponse(String),
    /// The engine has seen a higher fencing number.
    #[error("the engine refused fencing number {0}; another controller holds the lease")]
    Fenced(u64),
}

/// The control side of engines.
pub trait EngineControl: Send + Sync {
    /// Reads what an engine holds and does.
    fn read_state(&self, address: SocketAddr) -> BoxFuture<'_, Result<EngineState, EngineError>>;
    /// Gives an order and waits until the engine took it.
    fn send_order(
        &self,
        address: SocketAddr,
        order: Order,
    ) -> BoxFuture<'_, Result<(), EngineError>>;
}

/// Engines over HTTP.
#[derive(Debug, Clone)]
pub struct HttpEngineControl {
    timeout: Duration,
}

impl HttpEngineControl {
    /// A client of all engines; each call takes at most `timeout`.
    pub fn open(timeout: Duration) -> Self {
        Self { timeout }
    }
}

impl EngineControl for HttpEngineControl {
    fn read_state(&self, address: SocketAddr) -> BoxFuture<'_, Result<EngineState, EngineError>> {
        Box::pin(async move {
            let client = Client::open(address, self.timeout);
            let answer = client
                .get("/v1/state")
                .await
                .map_err(|error| EngineError::NoResponse(error.to_string()))?;
            if answer.status != 200 {
                return Err(EngineError::NoResponse(format!("status {}", answer.status)));
            }
            serde_json::from_slice(&answer.body)
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
            let answer = client
                .post("/v1/orders", &order)
                .await
                .map_err(|error| EngineError::NoResponse(error.to_string()))?;
            match answer.status {
                200 => Ok(()),
                409 => Err(EngineError::Fenced(order.fencing.0)),
                status => Err(EngineError::NoResponse(format!("status {status}"))),
            }
        })
    }
}
