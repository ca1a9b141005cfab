//! A bounded queue of log lines, written out by a thread of its own.

#[cfg(test)]
mod tests;

use std::io::{self, Write};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use parking_lot::{Condvar, Mutex};

use crate::observe::logging::rate::{LineDecision, LineRateLimiter, event_name};
use crate::observe::logging::wall_ms;

/// Bytes that may wait: over a thousand lines of the usual length.
const WAITING_MAX_BYTES: usize = 256 * 1024;
/// Time for which lines collect before they are written together, as each write is a system
/// call.
const COLLECT: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct State {
    waiting: Vec<u8>,
    dropped_lines: u64,
    is_writing: bool,
    rate: LineRateLimiter,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    opened: Instant,
}

/// Handle on the queue. Clones share it.
#[derive(Debug, Clone)]
pub struct LogQueue {
    shared: Arc<Shared>,
}

impl LogQueue {
    /// Starts the thread that writes to `output` at most `lines_max` lines a second of each event.
    pub fn spawn<W>(output: W, lines_max: u32) -> io::Result<Self>
    where
        W: Write + Send + 'static,
    {
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                waiting: Vec::new(),
                dropped_lines: 0,
                is_writing: false,
                rate: LineRateLimiter::new(lines_max),
            }),
            changed: Condvar::new(),
            opened: Instant::now(),
        });
        let drained = Arc::clone(&shared);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || drain(&drained, output))?;
        Ok(Self { shared })
    }

    /// A writer whose lines are queued when it is flushed.
    pub fn writer(&self) -> QueueWriter {
        QueueWriter {
            shared: Arc::clone(&self.shared),
            line: Vec::new(),
        }
    }

    /// Waits until all lines are written, or until `limit` has passed; says whether they are.
    pub fn flush(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        let mut state = self.shared.state.lock();
        while !state.waiting.is_empty() || state.is_writing {
            if self.shared.changed.wait_until(&mut state, end).timed_out() {
                return false;
            }
        }
        true
    }
}

/// Collects one line.
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
        let now_ms = self.shared.opened.elapsed().as_millis() as u64;
        let mut state = self.shared.state.lock();
        let line = String::from_utf8_lossy(&self.line);
        let event = event_name(&line);
        let left_out = match state.rate.check_line(event, now_ms) {
            LineDecision::Written => 0,
            LineDecision::WrittenAfterSuppressed(lines) => lines,
            LineDecision::Suppressed => {
                self.line.clear();
                return Ok(());
            }
        };
        let note = match left_out {
            0 => String::new(),
            lines => note_line("log_limited", &format!("of={event} lines={lines}")),
        };
        match state.waiting.len() + note.len() + self.line.len() <= WAITING_MAX_BYTES {
            true => {
                state.waiting.extend_from_slice(note.as_bytes());
                state.waiting.append(&mut self.line);
            }
            false => {
                state.dropped_lines += 1 + left_out;
                self.line.clear();
            }
        }
        self.shared.changed.notify_all();
        Ok(())
    }
}

/// A line of the log about itself.
fn note_line(event: &str, rest: &str) -> String {
    format!("time_ms={} level=warn event={event} {rest}\n", wall_ms())
}

fn drain<W>(shared: &Shared, mut output: W)
where
    W: Write,
{
    loop {
        {
            let mut state = shared.state.lock();
            while state.waiting.is_empty() {
                shared.changed.wait(&mut state);
            }
        }
        thread::park_timeout(COLLECT);
        let (mut lines, dropped_lines) = {
            let mut state = shared.state.lock();
            state.is_writing = true;
            let lines = std::mem::take(&mut state.waiting);
            (lines, std::mem::take(&mut state.dropped_lines))
        };
        if dropped_lines > 0 {
            let note = note_line("log_dropped", &format!("lines={dropped_lines}"));
            lines.extend_from_slice(note.as_bytes());
        }
        // There is no place left to report a failure of the log itself.
        let _ = output.write_all(&lines).and_then(|()| output.flush());
        shared.state.lock().is_writing = false;
        shared.changed.notify_all();
    }
}
