//! Control API of the engine stand-in: applies orders and keeps a log of them.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::serve::{Body, Server, json_response};

/// A loaded model and the version of its weights.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Model name.
    pub name: String,
    /// Version of the weights.
    pub weights_version: String,
}

/// An order as received from a controller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the sending controller's lease.
    pub fencing: u64,
    /// Version of the configuration that the order implements.
    pub config_version: u64,
    /// Models that the engine must have loaded.
    pub models: Vec<LoadedModel>,
    /// Adapters that the engine must have loaded.
    pub adapters: Vec<String>,
    /// `serve` or `drain`.
    pub role: String,
}

/// A received order and its result.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LoggedOrder {
    /// The order as received.
    #[serde(flatten)]
    pub order: Order,
    /// Whether the engine accepted the order.
    pub is_taken: bool,
    /// Whether the order made the engine load weights.
    pub has_loaded: bool,
    /// Time of arrival in ms since the engine started.
    pub at_ms: u64,
}

#[derive(Debug)]
struct State {
    start: Instant,
    highest_fencing: u64,
    last_accepted: Option<Order>,
    log: Vec<LoggedOrder>,
}

/// Log of the orders that an engine received, and the state that results from the accepted ones.
#[derive(Debug, Clone)]
pub struct OrderState {
    checks_fencing: bool,
    state: Arc<Mutex<State>>,
}

impl OrderState {
    /// State of an engine without models. With `checks_fencing`, orders with a lower fencing
    /// number than the highest accepted one are rejected.
    pub fn new(checks_fencing: bool) -> Self {
        Self {
            checks_fencing,
            state: Arc::new(Mutex::new(State {
                start: Instant::now(),
                highest_fencing: 0,
                last_accepted: None,
                log: Vec::new(),
            })),
        }
    }

    /// All received orders, accepted or not, in order of arrival.
    pub fn log(&self) -> Vec<LoggedOrder> {
        self.state.lock().log.clone()
    }

    /// Last accepted order; `None` before the first one and after a reset.
    pub fn last_accepted(&self) -> Option<Order> {
        self.state.lock().last_accepted.clone()
    }

    /// Clears the state that the orders produced, as an engine restart does; keeps the log.
    pub fn reset(&self) {
        let mut state = self.state.lock();
        state.last_accepted = None;
        state.highest_fencing = 0;
    }

    fn apply(&self, order: Order) -> bool {
        let mut state = self.state.lock();
        let is_taken = !self.checks_fencing || order.fencing >= state.highest_fencing;
        let loaded = state
            .last_accepted
            .as_ref()
            .map(|last_accepted| last_accepted.models.clone());
        let loaded = loaded.unwrap_or_default();
        let has_loaded = is_taken && order.models.iter().any(|model| !loaded.contains(model));
        if is_taken {
            state.highest_fencing = state.highest_fencing.max(order.fencing);
            state.last_accepted = Some(order.clone());
        }
        let at_ms = state.start.elapsed().as_millis() as u64;
        state.log.push(LoggedOrder {
            order,
            is_taken,
            has_loaded,
            at_ms,
        });
        is_taken
    }

    fn report(&self) -> Value {
        match &self.state.lock().last_accepted {
            Some(order) => json!(order),
            None => json!({"config_version": 0, "models": [], "adapters": [], "role": "serve"}),
        }
    }

    /// Whether a request path belongs to the control API.
    pub fn handles_path(path: &str) -> bool {
        matches!(path, "/v1/state" | "/v1/orders")
    }

    /// Handles a request to the control API.
    pub async fn handle_request(&self, request: Request<Incoming>) -> Response<Body> {
        if request.uri().path() == "/v1/state" {
            return json_response(StatusCode::OK, &self.report());
        }
        if request.method() != Method::POST {
            return json_response(StatusCode::OK, &json!(self.log()));
        }
        let bad_request =
            |text: String| json_response(StatusCode::BAD_REQUEST, &json!({"error": text}));
        let body = match request.into_body().collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) => return bad_request(error.to_string()),
        };
        match serde_json::from_slice(&body) {
            Err(error) => bad_request(error.to_string()),
            Ok(order) => match self.apply(order) {
                true => json_response(StatusCode::OK, &json!({})),
                false => json_response(
                    StatusCode::CONFLICT,
                    &json!({"error": "old fencing number"}),
                ),
            },
        }
    }
}

/// Handle of a running engine that has only the control API.
#[derive(Debug)]
pub struct ControlServer {
    server: Server,
    order_state: OrderState,
}

impl ControlServer {
    /// Starts an engine that accepts orders but serves no completions.
    pub fn bind(address: SocketAddr, checks_fencing: bool) -> io::Result<Self> {
        let order_state = OrderState::new(checks_fencing);
        let state = order_state.clone();
        let server = Server::bind(address, move |request| {
            let state = state.clone();
            async move { state.handle_request(request).await }
        })?;
        Ok(Self {
            server,
            order_state,
        })
    }

    /// Listening address, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Order log and resulting state.
    pub fn order_state(&self) -> &OrderState {
        &self.order_state
    }
}
