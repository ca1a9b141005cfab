//! Stand-in for a model engine: slots with a queue, a prefix cache, resumable streams,
//! cancellation, and faults that a test sets while it runs.

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

/// How the engine behaves.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Its name, also the text of its answers.
    pub name: String,
    /// Tokens of an answer.
    pub tokens: u32,
    /// Time before the first token.
    pub first_token_delay: Duration,
    /// Time between tokens.
    pub token_interval: Duration,
    /// Requests that run at once; more wait by priority, then in order of arrival.
    pub slots: u32,
    /// Chats whose prefix fits into the cache.
    pub cache_capacity_chats: usize,
    /// Time added to the first token where the chat's prefix is not cached.
    pub miss_penalty: Duration,
    /// How long a stream can be resumed after its connection was lost. An unfinished
    /// stream that nobody resumes is then cancelled.
    pub resume_window: Duration,
    /// Age of the state that a load report shows.
    pub load_lag: Duration,
    /// Time until a cache event becomes visible.
    pub cache_event_lag: Duration,
    /// Each cache event whose number is a multiple of this is never shown; 0 shows all.
    pub hidden_cache_event_interval: u64,
    /// The engine crashes when it runs a request whose body contains this text.
    pub crash_marker: String,
    /// Tokens that such a request gets before the crash.
    pub crash_after_tokens: u32,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
}

impl EngineOptions {
    /// A fast engine with short answers.
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

/// Faults of the engine's answers. Those with an event number affect the first
/// connection of a stream; a resumed stream runs on, unless the engine stalls.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Faults {
    /// This many answers carry the ids of another attempt and chat.
    pub misattributed_responses: u32,
    /// The connection is cut after this event, or within the body of a whole answer.
    pub cut_after_events: Option<u32>,
    /// The stream ends cleanly after this event, without the terminal event.
    pub end_after_events: Option<u32>,
    /// No token comes after this one, on any connection.
    pub stall_after_tokens: Option<u32>,
    /// Requests are accepted and never answered.
    pub is_hung: bool,
    /// Streams cannot be resumed.
    pub refuses_resume: bool,
    /// Whole answers have neither a length nor chunked framing.
    pub is_unframed: bool,
    /// Requests are answered with this status and do not run.
    pub status: Option<u16>,
}

/// Longest wait for the port of an engine that starts again. Meanwhile an outgoing
/// connection of any process on the host may use it as its own ephemeral port.
const PORT_WAIT_TIMEOUT: Duration = Duration::from_secs(10);
const PORT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// What one incarnation of the engine holds in memory.
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
    /// Drops all work and connections, as a process that dies does.
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

/// A running engine.
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
    /// Starts an engine.
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
            http::answer(Arc::clone(&handle), request)
        })?;
        self.address = server.address();
        self.current = Some((server, state));
        Ok(())
    }

    /// Ends the engine's process: all connections close and the port is free.
    pub fn crash(&mut self) {
        if let Some((server, state)) = self.current.take() {
            state.crash();
            drop(server);
        }
    }

    /// Starts the engine again on the same port, with an empty memory.
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the faults of the answers that start from now on.
    pub fn set_faults(&self, faults: Faults) {
        *self.faults.lock() = faults;
    }

    /// Chats of the requests it received, in order.
    pub fn chats(&self) -> Vec<String> {
        let log = self.log.lock();
        log.runs.iter().map(|run| run.chat.clone()).collect()
    }

    /// Requests it received, in order.
    pub fn runs(&self) -> Vec<RunEntry> {
        self.log.lock().runs.clone()
    }

    /// Cancelled attempts, in order.
    pub fn cancels(&self) -> Vec<Cancel> {
        self.log.lock().cancels.clone()
    }

    /// Attempts whose streams were resumed, in order.
    pub fn resumes(&self) -> Vec<String> {
        self.log.lock().resumes.clone()
    }

    /// Attempts that ran to their last token, in order.
    pub fn finished(&self) -> Vec<String> {
        self.log.lock().finished.clone()
    }

    /// Crashes by a marked prompt.
    pub fn crashes(&self) -> usize {
        self.log.lock().crashes
    }

    /// Requests that hold a slot and requests that wait for one.
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
