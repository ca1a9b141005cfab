//! Control side of the engine stand-in: takes orders and keeps a log of them.

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

/// A model with the version of its weights.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Model name.
    pub name: String,
    /// Version of the weights.
    pub weights_version: String,
}

/// An order as it came.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the sender's lease.
    pub fencing: u64,
    /// Configuration that the order follows.
    pub config_version: u64,
    /// Models to hold.
    pub models: Vec<LoadedModel>,
    /// Adapters to hold.
    pub adapters: Vec<String>,
    /// `serve` or `drain`.
    pub role: String,
}

/// An order and what became of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LoggedOrder {
    /// The order.
    #[serde(flatten)]
    pub order: Order,
    /// Whether the engine took it.
    pub is_taken: bool,
    /// Whether it loaded weights.
    pub has_loaded: bool,
    /// When it came, in ms since the engine started.
    pub at_ms: u64,
}

#[derive(Debug)]
struct State {
    start: Instant,
    highest_fencing: u64,
    last_accepted: Option<Order>,
    log: Vec<LoggedOrder>,
}

/// Orders that an engine has seen, and the state that they left.
#[derive(Debug, Clone)]
pub struct OrderState {
    checks_fencing: bool,
    state: Arc<Mutex<State>>,
}

impl OrderState {
    /// An engine without models; with `checks_fencing` it refuses old fencing numbers.
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

    /// All orders in the order of their arrival.
    pub fn log(&self) -> Vec<LoggedOrder> {
        self.state.lock().log.clone()
    }

    /// The last order taken.
    pub fn last_accepted(&self) -> Option<Order> {
        self.state.lock().last_accepted.clone()
    }

    /// Forgets the state that the orders left, as a restart does; the log stays.
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

    /// Whether a path belongs to the control side.
    pub fn handles_path(path: &str) -> bool {
        matches!(path, "/v1/state" | "/v1/orders")
    }

    /// Answers a request of the control side.
    pub async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        if request.uri().path() == "/v1/state" {
            return json_response(StatusCode::OK, &self.report());
        }
        if request.method() != Method::POST {
            return json_response(StatusCode::OK, &json!(self.log()));
        }
        let bad = |text: String| json_response(StatusCode::BAD_REQUEST, &json!({"error": text}));
        let body = match request.into_body().collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) => return bad(error.to_string()),
        };
        match serde_json::from_slice(&body) {
            Err(error) => bad(error.to_string()),
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

/// A running engine with a control side only.
#[derive(Debug)]
pub struct ControlServer {
    server: Server,
    order_state: OrderState,
}

impl ControlServer {
    /// Starts an engine that runs no requests.
    pub fn bind(address: SocketAddr, checks_fencing: bool) -> io::Result<Self> {
        let order_state = OrderState::new(checks_fencing);
        let state = order_state.clone();
        let server = Server::bind(address, move |request| {
            let state = state.clone();
            async move { state.answer(request).await }
        })?;
        Ok(Self {
            server,
            order_state,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Its orders.
    pub fn order_state(&self) -> &OrderState {
        &self.order_state
    }
}
