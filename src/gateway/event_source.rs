//! The events of a stream from one backend server.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::control::load::LoadTicket;
use crate::decide::memory_plan::response_bytes;
use crate::decide::registry::Registration;
use crate::edge::clock::Clock;
use crate::gateway::prompts_in_flight::PromptGuard;
use crate::gateway::queue::RunGuard;
use crate::gateway::reachability::LastActivity;
use crate::gateway::server_bytes::BytesTicket;
use crate::gateway::silent_ends::OpenRun;
use crate::gateway::state::State;
use crate::http::event_wait::EventWait;
use crate::http::lazy_timer::LazyTimer;
use crate::http::memory::MemoryShare;
use crate::http::pool::Connection;
use crate::http::raw_events::{RawEvent, RawEventDecoder};

/// Why reading a stream failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// No event arrived in time.
    #[error("no event came in time")]
    Stalled,
    /// The connection broke, or the stream ended within an event.
    #[error("the stream broke off")]
    Broken,
    /// The events of a resumed stream cannot be placed after those that the caller has.
    #[error("the stream did not go on where the one before broke off")]
    NotResumed,
}

/// Maximum size of the blocks without data before the first event.
const LEADING_BLOCKS_MAX_BYTES: usize = 16 * 1024;

/// The events of a stream from one server.
pub struct EventSource {
    /// Server that sends the stream.
    pub server: Registration,
    pub(super) last_activity: LastActivity,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) connection: Option<Connection>,
    pub(super) body: Incoming,
    pub(super) events: RawEventDecoder,
    pub(super) timer: LazyTimer,
    pub(super) first: VecDeque<RawEvent>,
    /// What follows the events of `first`, if it is known already.
    pub(super) read_ahead: Option<Result<(), StreamError>>,
    pub(super) memory: MemoryShare,
    pub(super) keep_alive: Option<Duration>,
    pub(super) open: Option<OpenRun>,
    pub(super) _load: LoadTicket,
    pub(super) _bytes: BytesTicket,
    pub(super) _prompt: Option<PromptGuard>,
    pub(super) _run: RunGuard,
}

impl EventSource {
    /// Reads the first event with data and keeps it, with the blocks before it, for `next_event`.
    pub(super) async fn read_first(&mut self, wait: EventWait) -> Result<(), StreamError> {
        let started_ms = self.clock.monotonic_ms();
        let mut kept_bytes = 0;
        loop {
            let elapsed_ms = self.clock.monotonic_ms().saturating_sub(started_ms);
            let Some(event) = self.read_event(wait.after(elapsed_ms)).await? else {
                return Ok(());
            };
            let is_progress = event.is_progress();
            kept_bytes += event.bytes.len();
            self.first.push_back(event);
            if is_progress {
                return Ok(());
            }
            if kept_bytes > LEADING_BLOCKS_MAX_BYTES {
                return Err(StreamError::Stalled);
            }
        }
    }

    /// Reads the next event; `None` at the end of the stream.
    pub async fn next_event(&mut self, wait: EventWait) -> Result<Option<RawEvent>, StreamError> {
        match (self.first.pop_front(), self.read_ahead.take()) {
            (Some(event), read_ahead) => {
                self.read_ahead = read_ahead;
                Ok(Some(event))
            }
            (None, Some(ended)) => ended.map(|()| None),
            (None, None) => self.read_event(wait).await,
        }
    }

    /// Reads up to the next event with data, or the end of the stream, and keeps what it has read for
    /// `next_event`. Nothing is lost if it is dropped.
    pub(super) async fn read_ahead(&mut self, wait: EventWait) -> Result<(), StreamError> {
        let started_ms = self.clock.monotonic_ms();
        let mut kept_bytes = 0;
        while kept_bytes <= LEADING_BLOCKS_MAX_BYTES {
            let elapsed_ms = self.clock.monotonic_ms().saturating_sub(started_ms);
            let event = match self.read_event(wait.after(elapsed_ms)).await {
                Ok(Some(event)) => event,
                Ok(None) => {
                    self.read_ahead = Some(Ok(()));
                    return Ok(());
                }
                Err(cause) => return Err(cause),
            };
            let is_progress = event.is_progress();
            kept_bytes += event.bytes.len();
            self.first.push_back(event);
            if is_progress {
                return Ok(());
            }
        }
        // Blocks without data may come without end. The connection is read no further.
        std::future::pending().await
    }

    /// Reads until an event is complete. A byte now and then does not extend the wait, but a part
    /// of an event does that arrives at a fair rate.
    async fn read_event(&mut self, wait: EventWait) -> Result<Option<RawEvent>, StreamError> {
        let started_ms = self.clock.monotonic_ms();
        let mut received_bytes = 0;
        loop {
            if let Some(event) = self.events.next_event().map_err(|_| StreamError::Broken)? {
                return Ok(Some(event));
            }
            let held_bytes = response_bytes(self.events.buffered_bytes());
            if !self.memory.try_hold(held_bytes) {
                return Err(StreamError::Broken);
            }
            let elapsed_ms = self.clock.monotonic_ms().saturating_sub(started_ms);
            let Some(remaining) = wait.remaining(elapsed_ms, received_bytes) else {
                return Err(StreamError::Stalled);
            };
            match self.timer.with_timeout(remaining, self.body.frame()).await {
                None => return Err(StreamError::Stalled),
                Some(None) if self.events.is_empty() => return Ok(None),
                Some(None | Some(Err(_))) => return Err(StreamError::Broken),
                Some(Some(Ok(frame))) => {
                    self.last_activity.record(self.clock.monotonic_ms());
                    if let Some(bytes) = frame.data_ref() {
                        received_bytes += bytes.len() as u64;
                        self.events.push(bytes);
                    }
                }
            }
        }
    }

    /// Returns the next event that has been received already, if there is one.
    pub fn buffered_event(&mut self) -> Result<Option<RawEvent>, StreamError> {
        if let Some(event) = self.first.pop_front() {
            return Ok(Some(event));
        }
        self.events.next_event().map_err(|_| StreamError::Broken)
    }

    /// Returns the connection to the pool after the end of the stream.
    pub fn release_connection(mut self, state: &State) {
        if let Some(connection) = self.connection.take() {
            return_to_pool(state, &self.server, connection, self.keep_alive);
        }
    }
}

/// Time before a server's announced close at which a connection is no longer reused, since a
/// request could cross the close.
const IDLE_TIME_MARGIN: Duration = Duration::from_millis(700);
/// Time for which an idle connection is kept if the server states none.
const IDLE_TIME_DEFAULT: Duration = Duration::from_secs(4);

/// Returns a connection to the pool for as long as its server keeps it open.
pub(super) fn return_to_pool(
    state: &State,
    server: &Registration,
    connection: Connection,
    keep_alive: Option<Duration>,
) {
    let idle_time = keep_alive.map_or(IDLE_TIME_DEFAULT, |time| {
        time.saturating_sub(IDLE_TIME_MARGIN)
    });
    let idle_max = state.idle_connections_max(&server.service);
    state
        .pool
        .release_with_limits(server.address, connection, idle_time, idle_max);
}
