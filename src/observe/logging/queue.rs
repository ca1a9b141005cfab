//! A bounded queue of log lines that a separate thread writes.

#[cfg(test)]
mod tests;

use std::io::{self, Write};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use parking_lot::{Condvar, Mutex};

use crate::observe::logging::rate::{LineDecision, LineRateLimiter, event_name};
use crate::observe::logging::wall_ms;

/// Maximum size of the queue, enough for over a thousand lines of usual length.
const QUEUE_MAX_BYTES: usize = 256 * 1024;
/// Time for which lines are collected before they are written together, since each write is a
/// system call.
const BATCH_DELAY: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct State {
    queued: Vec<u8>,
    dropped_lines: u64,
    is_writing: bool,
    rate_limiter: LineRateLimiter,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    started_at: Instant,
}

/// A bounded queue of log lines. Clones share it.
#[derive(Debug, Clone)]
pub struct LogQueue {
    shared: Arc<Shared>,
}

impl LogQueue {
    /// Creates a queue and starts the thread that writes it to `output`, at most `lines_max` lines
    /// per event and second.
    pub fn spawn<W>(output: W, lines_max: u32) -> io::Result<Self>
    where
        W: Write + Send + 'static,
    {
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                queued: Vec::new(),
                dropped_lines: 0,
                is_writing: false,
                rate_limiter: LineRateLimiter::new(lines_max),
            }),
            changed: Condvar::new(),
            started_at: Instant::now(),
        });
        let thread_shared = Arc::clone(&shared);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&thread_shared, output))?;
        Ok(Self { shared })
    }

    /// Returns a writer that adds a line to the queue at each flush.
    pub fn writer(&self) -> QueueWriter {
        QueueWriter {
            shared: Arc::clone(&self.shared),
            line: Vec::new(),
        }
    }

    /// Waits until all lines are written or `limit` has passed. Returns whether all are written.
    pub fn flush(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        let mut state = self.shared.state.lock();
        while !state.queued.is_empty() || state.is_writing {
            if self.shared.changed.wait_until(&mut state, end).timed_out() {
                return false;
            }
        }
        true
    }
}

/// Buffers one line and adds it to the queue at a flush.
#[derive(Debug)]
pub struct QueueWriter {
    shared: Arc<Shared>,
    line: Vec<u8>,
}

impl Write for QueueWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let now_ms = self.shared.started_at.elapsed().as_millis() as u64;
        let mut state = self.shared.state.lock();
        let line = String::from_utf8_lossy(&self.line);
        let event = event_name(&line);
        let suppressed_lines = match state.rate_limiter.check_line(event, now_ms) {
            LineDecision::Written => 0,
            LineDecision::WrittenAfterSuppressed(lines) => lines,
            LineDecision::Suppressed => {
                self.line.clear();
                return Ok(());
            }
        };
        let notice = match suppressed_lines {
            0 => String::new(),
            lines => notice_line("log_limited", &format!("of={event} lines={lines}")),
        };
        match state.queued.len() + notice.len() + self.line.len() <= QUEUE_MAX_BYTES {
            true => {
                state.queued.extend_from_slice(notice.as_bytes());
                state.queued.append(&mut self.line);
            }
            false => {
                state.dropped_lines += 1 + suppressed_lines;
                self.line.clear();
            }
        }
        self.shared.changed.notify_all();
        Ok(())
    }
}

/// Returns a log line about dropped lines.
fn notice_line(event: &str, rest: &str) -> String {
    format!("time_ms={} level=warn event={event} {rest}\n", wall_ms())
}

fn write_lines<W>(shared: &Shared, mut output: W)
where
    W: Write,
{
    loop {
        {
            let mut state = shared.state.lock();
            while state.queued.is_empty() {
                shared.changed.wait(&mut state);
            }
        }
        thread::park_timeout(BATCH_DELAY);
        let (mut lines, dropped_lines) = {
            let mut state = shared.state.lock();
            state.is_writing = true;
            let lines = std::mem::take(&mut state.queued);
            (lines, std::mem::take(&mut state.dropped_lines))
        };
        if dropped_lines > 0 {
            let notice = notice_line("log_dropped", &format!("lines={dropped_lines}"));
            lines.extend_from_slice(notice.as_bytes());
        }
        // A failure to write the log cannot be logged.
        let _ = output.write_all(&lines).and_then(|()| output.flush());
        shared.state.lock().is_writing = false;
        shared.changed.notify_all();
    }
}
