//! Stand-in for a model engine: slots with a queue, a prefix cache, resumable streams,
//! cancellation, and faults that a test changes at run time.

mod cache;
mod http;
mod log;
mod run;
mod slots;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use indexmap::IndexMap;
use parking_lot::Mutex;

use self::cache::Cache;
use self::log::Log;
use self::run::Run;
use self::slots::Slots;
use crate::orders::OrderState;
use crate::serve::Server;

pub use self::log::{Cancel, CancelReason, RunEntry};

/// Performance and limits of the engine.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Engine name. The tokens of its responses contain it.
    pub name: String,
    /// Number of tokens in a response.
    pub tokens: u32,
    /// Time from the grant of a slot to the first token.
    pub first_token_delay: Duration,
    /// Time between two tokens.
    pub token_interval: Duration,
    /// Requests that run concurrently. Further ones wait, ordered by priority and then by arrival.
    pub slots: u32,
    /// Number of chats whose prefix fits into the cache.
    pub cache_capacity_chats: usize,
    /// Additional time to the first token if the chat's prefix is not cached.
    pub miss_penalty: Duration,
    /// Time for which a stream can be resumed after its connection was lost. A stream that is
    /// unfinished after this time is cancelled.
    pub resume_window: Duration,
    /// Age of the load that a load report contains.
    pub load_lag: Duration,
    /// Time until a cache event is listed.
    pub cache_event_lag: Duration,
    /// Cache events whose number is a multiple of this are never listed; 0 lists all events.
    pub hidden_cache_event_interval: u64,
    /// Text in a request body that makes the engine crash while it runs the request; an empty text
    /// disables this.
    pub crash_marker: String,
    /// Tokens that such a request generates before the crash.
    pub crash_after_tokens: u32,
    /// Whether orders with an outdated fencing number are rejected.
    pub checks_fencing: bool,
}

impl EngineOptions {
    /// A fast engine with short responses.
    pub fn named(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            tokens: 8,
            first_token_delay: Duration::from_millis(2),
            token_interval: Duration::from_millis(1),
            slots: 256,
            cache_capacity_chats: 4096,
            miss_penalty: Duration::ZERO,
            resume_window: Duration::from_secs(5),
            load_lag: Duration::ZERO,
            cache_event_lag: Duration::ZERO,
            hidden_cache_event_interval: 0,
            crash_marker: "CRASH-THE-ENGINE".to_owned(),
            crash_after_tokens: 0,
            checks_fencing: true,
        }
    }
}

/// Faults of the engine's responses. The limits in events affect only the first connection of a
/// stream; a resumed stream continues without them. A stall affects all connections.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Faults {
    /// Number of upcoming responses that carry the ids of another attempt and chat.
    pub misattributed_responses: u32,
    /// Breaks the connection after this number of events, or in the middle of a response that is
    /// not streamed.
    pub cut_after_events: Option<u32>,
    /// Ends the stream cleanly after this number of events, without the terminal event.
    pub end_after_events: Option<u32>,
    /// Generates no further tokens after this number.
    pub stall_after_tokens: Option<u32>,
    /// Sends a comment every 100 ms while no token is generated.
    pub sends_comments: bool,
    /// Accepts requests and never responds.
    pub is_hung: bool,
    /// Rejects all attempts to resume a stream.
    pub refuses_resume: bool,
    /// Sends responses with neither a content length nor chunked encoding; of those that are not
    /// streamed only half of the body.
    pub is_unframed: bool,
    /// Sends responses with a content coding that was not requested.
    pub is_encoded: bool,
    /// Responds with this status without running the request.
    pub status: Option<u16>,
}

/// Maximum wait for the port of a restarting engine. While the engine is down, an outgoing
/// connection of any process on the host may use the port as its ephemeral port.
const PORT_WAIT_TIMEOUT: Duration = Duration::from_secs(10);
const PORT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// State of one incarnation of the engine; lost in a crash.
#[derive(Debug)]
struct State {
    options: Arc<EngineOptions>,
    incarnation: u64,
    log: Arc<Mutex<Log>>,
    faults: Arc<Mutex<Faults>>,
    cache: Mutex<Cache>,
    slots: Slots,
    runs: Mutex<IndexMap<String, Arc<Run>>>,
    orders: OrderState,
    stop: async_channel::Sender<()>,
}

impl State {
    /// Drops all runs and connections, like a process that is killed.
    fn crash(&self) {
        self.stop.close();
        let runs: Vec<Arc<Run>> = self.runs.lock().drain(..).map(|(_, run)| run).collect();
        for run in runs {
            run.abort();
        }
    }
}

fn unix_time_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Handle of an engine that can crash and restart. Its log and faults survive a restart.
#[derive(Debug)]
pub struct Engine {
    options: Arc<EngineOptions>,
    address: SocketAddr,
    log: Arc<Mutex<Log>>,
    faults: Arc<Mutex<Faults>>,
    current: Option<(Server, Arc<State>)>,
    incarnation: u64,
}

impl Engine {
    /// Starts an engine on `address`.
    pub fn bind(address: SocketAddr, options: EngineOptions) -> io::Result<Self> {
        let mut engine = Self {
            options: Arc::new(options),
            address,
            log: Arc::default(),
            faults: Arc::default(),
            current: None,
            incarnation: 0,
        };
        engine.start()?;
        Ok(engine)
    }

    fn start(&mut self) -> io::Result<()> {
        self.incarnation = unix_time_ms().max(self.incarnation + 1);
        let (stop, stopped) = async_channel::bounded(1);
        let state = Arc::new(State {
            options: Arc::clone(&self.options),
            incarnation: self.incarnation,
            log: Arc::clone(&self.log),
            faults: Arc::clone(&self.faults),
            cache: Mutex::new(Cache::new(&self.options)),
            slots: Slots::new(self.options.slots, self.options.load_lag),
            runs: Mutex::default(),
            orders: OrderState::new(self.options.checks_fencing),
            stop,
        });
        let handle = Arc::clone(&state);
        let server = Server::bind_stoppable(self.address, stopped, move |request| {
            http::handle_request(Arc::clone(&handle), request)
        })?;
        self.address = server.address();
        self.current = Some((server, state));
        Ok(())
    }

    /// Simulates a crash of the engine's process: closes all connections and frees the port.
    pub fn crash(&mut self) {
        if let Some((server, state)) = self.current.take() {
            state.crash();
            drop(server);
        }
    }

    /// Restarts the engine on the same port with a new incarnation and empty state.
    pub fn restart(&mut self) -> io::Result<()> {
        self.crash();
        let start = Instant::now();
        loop {
            match self.start() {
                Err(error)
                    if error.kind() == io::ErrorKind::AddrInUse
                        && start.elapsed() < PORT_WAIT_TIMEOUT =>
                {
                    thread::sleep(PORT_RETRY_INTERVAL);
                }
                result => return result,
            }
        }
    }

    /// Listening address, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the faults of subsequent responses.
    pub fn set_faults(&self, faults: Faults) {
        *self.faults.lock() = faults;
    }

    /// Chat ids of the requests that ran, in order of arrival.
    pub fn chats(&self) -> Vec<String> {
        let log = self.log.lock();
        log.runs.iter().map(|run| run.chat.clone()).collect()
    }

    /// Requests that ran, in order of arrival.
    pub fn runs(&self) -> Vec<RunEntry> {
        self.log.lock().runs.clone()
    }

    /// Cancelled runs, in order.
    pub fn cancels(&self) -> Vec<Cancel> {
        self.log.lock().cancels.clone()
    }

    /// Attempt ids of resumed streams, in order.
    pub fn resumes(&self) -> Vec<String> {
        self.log.lock().resumes.clone()
    }

    /// Attempt ids of the runs that generated all tokens, in order.
    pub fn finished(&self) -> Vec<String> {
        self.log.lock().finished.clone()
    }

    /// Number of crashes caused by the crash marker.
    pub fn crashes(&self) -> usize {
        self.log.lock().crashes
    }

    /// Number of running requests and of requests that wait for a slot.
    pub fn load(&self) -> (u32, u32) {
        self.current
            .as_ref()
            .map_or((0, 0), |(_, state)| state.slots.current())
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.crash();
    }
}
