//! A run is a task that generates events into a buffer, from which connections read.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use futures_lite::FutureExt;
use futures_util::Stream;
use hyper::body::Frame;
use parking_lot::Mutex;
use serde_json::json;
use smol::Task;

use super::log::{Cancel, CancelReason};
use super::{Faults, State};

/// Delay before a connection is broken, so that hyper writes the preceding events first; it
/// discards unwritten data on an error.
pub const FLUSH_DELAY: Duration = Duration::from_millis(20);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Finished,
    Aborted,
}

#[derive(Debug, Default)]
struct EventBuffer {
    events: Vec<Bytes>,
    text: String,
    end: Option<End>,
    wakers: Vec<Sender<()>>,
    readers: u32,
    /// Number of connections so far, by which the timer of a lost connection detects a newer one.
    connections_opened: u64,
}

impl EventBuffer {
    fn wake(&mut self) {
        self.wakers.retain(|waker| !waker.is_closed());
        for waker in &self.wakers {
            let _ = waker.try_send(());
        }
    }
}

/// Parameters of a run.
#[derive(Debug, Clone)]
pub struct Job {
    /// Attempt id, under which the run is registered.
    pub attempt: String,
    /// Chat id, repeated in each event so that a test can tell responses apart.
    pub chat: String,
    /// Priority in the queue for a slot; the highest number goes first.
    pub priority: u8,
    /// Whether the chat's prefix is cached.
    pub is_hit: bool,
    /// Number of already delivered tokens, which are not generated again.
    pub continued_tokens: u32,
    /// Whether the request makes the engine crash.
    pub has_crash_marker: bool,
}

/// A run and the events that it has generated so far.
#[derive(Debug, Default)]
pub struct Run {
    buffer: Mutex<EventBuffer>,
    task: Mutex<Option<Task<()>>>,
}

impl Run {
    /// Starts a run and registers it under its attempt id.
    pub fn spawn(state: &Arc<State>, job: Job) -> Arc<Self> {
        let run = Arc::new(Self::default());
        let attempt = job.attempt.clone();
        state.runs.lock().insert(attempt, Arc::clone(&run));
        let task = smol::spawn(generate(Arc::clone(state), Arc::clone(&run), job));
        *run.task.lock() = Some(task);
        run
    }

    /// Stops the run without a log entry.
    pub fn abort(&self) {
        let task = self.task.lock().take();
        drop(task);
        let mut buffer = self.buffer.lock();
        buffer.end.get_or_insert(End::Aborted);
        buffer.wake();
    }

    /// Cancels the run and logs it. Returns false if the run had already ended.
    pub fn cancel(&self, state: &State, attempt: &str, reason: CancelReason) -> bool {
        if self.buffer.lock().end.is_some() {
            return false;
        }
        self.abort();
        state.log.lock().cancels.push(Cancel {
            attempt: attempt.to_owned(),
            reason,
        });
        true
    }

    fn push(&self, data: &str, text: &str) {
        let mut buffer = self.buffer.lock();
        let id = buffer.events.len() + 1;
        buffer
            .events
            .push(Bytes::from(format!("id: {id}\ndata: {data}\n\n")));
        buffer.text.push_str(text);
        buffer.wake();
    }

    fn finish(&self) {
        let mut buffer = self.buffer.lock();
        buffer.end.get_or_insert(End::Finished);
        buffer.wake();
    }
}

/// Waits, or for a zero duration yields once, so that the other tasks of the executor's only thread
/// can run.
pub async fn wait_or_yield(duration: Duration) {
    match duration.is_zero() {
        true => smol::future::yield_now().await,
        false => {
            smol::Timer::after(duration).await;
        }
    }
}

/// Crashes the engine. The calling run never continues; it is dropped with the engine.
async fn crash(state: &Arc<State>) {
    state.log.lock().crashes += 1;
    let state = Arc::clone(state);
    smol::spawn(async move { state.crash() }).detach();
    std::future::pending::<()>().await;
}

async fn generate(state: Arc<State>, run: Arc<Run>, job: Job) {
    let options = &state.options;
    let stall_after_tokens = state.faults.lock().stall_after_tokens;
    let _permit = state.slots.acquire(job.priority).await;
    wait_or_yield(options.first_token_delay).await;
    if !job.is_hit {
        wait_or_yield(options.miss_penalty).await;
    }
    for index in job.continued_tokens + 1..=options.tokens {
        if stall_after_tokens.is_some_and(|last| index > last) {
            std::future::pending::<()>().await;
        }
        if index > job.continued_tokens + 1 {
            wait_or_yield(options.token_interval).await;
        }
        if job.has_crash_marker && index > job.continued_tokens + options.crash_after_tokens {
            crash(&state).await;
        }
        let token = format!("{}-{index} ", options.name);
        let choices = json!([{"delta": {"content": token}}]);
        let data = json!({"choices": choices, "chat": job.chat}).to_string();
        run.push(&data, &token);
    }
    run.push("[DONE]", "");
    run.finish();
    state.log.lock().finished.push(job.attempt);
}

/// Interval of the comments that a faulty engine sends.
const COMMENT_INTERVAL: std::time::Duration = std::time::Duration::from_millis(100);

/// A connection that reads the events of a run.
pub struct Reader {
    state: Arc<State>,
    run: Arc<Run>,
    attempt: String,
    woken: Receiver<()>,
    sent: usize,
    faults: Faults,
}

impl Reader {
    /// Reads a run from the event after number `sent`, subject to the faults of this connection.
    pub fn new(
        state: &Arc<State>,
        run: &Arc<Run>,
        attempt: &str,
        sent: usize,
        faults: Faults,
    ) -> Self {
        let (waker, woken) = async_channel::bounded(1);
        let mut buffer = run.buffer.lock();
        buffer.wakers.push(waker);
        buffer.readers += 1;
        buffer.connections_opened += 1;
        drop(buffer);
        Self {
            state: Arc::clone(state),
            run: Arc::clone(run),
            attempt: attempt.to_owned(),
            woken,
            sent,
            faults,
        }
    }

    /// Next event; `None` after the last one, an error if the run was cancelled or the connection is
    /// to break.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        let at = |limit: Option<u32>| limit.is_some_and(|limit| self.sent == limit as usize);
        if at(self.faults.cut_after_events) {
            wait_or_yield(FLUSH_DELAY).await;
            return Some(Err(io::Error::other("connection cut")));
        }
        if at(self.faults.end_after_events) {
            return None;
        }
        loop {
            {
                let buffer = self.run.buffer.lock();
                if let Some(event) = buffer.events.get(self.sent) {
                    self.sent += 1;
                    return Some(Ok(event.clone()));
                }
                match buffer.end {
                    Some(End::Finished) => return None,
                    Some(End::Aborted) => return Some(Err(io::Error::other("run cancelled"))),
                    None => {}
                }
            }
            let comment_due = async {
                match self.faults.sends_comments {
                    true => _ = smol::Timer::after(COMMENT_INTERVAL).await,
                    false => std::future::pending().await,
                }
                None
            };
            match async { Some(self.woken.recv().await) }
                .or(comment_due)
                .await
            {
                Some(Ok(())) => {}
                Some(Err(_)) => return Some(Err(io::Error::other("run dropped"))),
                None => return Some(Ok(Bytes::from_static(b": ping\n\n"))),
            }
        }
    }

    /// The remaining events as body frames.
    pub fn frames(self) -> impl Stream<Item = io::Result<Frame<Bytes>>> + Send {
        futures_util::stream::unfold(self, |mut reader| async move {
            let event = reader.next().await?;
            Some((event.map(Frame::data), reader))
        })
    }

    /// Waits for the end of the run and returns its complete text; `None` if it was cancelled.
    pub async fn complete_text(mut self) -> Option<String> {
        while let Some(event) = self.next().await {
            event.ok()?;
        }
        Some(self.run.buffer.lock().text.clone())
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let connections_opened = {
            let mut buffer = self.run.buffer.lock();
            buffer.readers -= 1;
            if buffer.readers > 0 {
                return;
            }
            buffer.connections_opened
        };
        let state = Arc::clone(&self.state);
        let run = Arc::clone(&self.run);
        let attempt = std::mem::take(&mut self.attempt);
        smol::spawn(async move {
            wait_or_yield(state.options.resume_window).await;
            if run.buffer.lock().connections_opened != connections_opened {
                return;
            }
            run.cancel(&state, &attempt, CancelReason::Disconnect);
            state.runs.lock().swap_remove(&attempt);
        })
        .detach();
    }
}
