//! Records the inputs of decisions to a ring buffer in memory, to a file descriptor, or not at all.

use std::collections::VecDeque;
use std::fs::OpenOptions;
use std::io::Write;
use std::sync::Arc;
use std::thread;

use async_channel::{Receiver, Sender};
use parking_lot::Mutex;

use crate::config::serving::TraceSettings;
use crate::decide::trace::{FORMAT_VERSION, Header, Line};
use crate::error::{Error, Result};
use crate::ids::RouterId;

/// Maximum number of lines queued for a slow reader of the descriptor. Further lines are dropped,
/// so that recording never delays requests.
const QUEUE_LINES: usize = 4_096;

/// Records decisions as configured in the settings. Clones share the ring buffer and descriptor.
#[derive(Debug, Clone)]
pub struct Recorder {
    router: RouterId,
    ring_lines: usize,
    ring: Arc<Mutex<VecDeque<String>>>,
    descriptor: Option<Sender<String>>,
}

impl Recorder {
    /// Creates a recorder as configured in `settings`.
    pub fn open(settings: &TraceSettings, router: &RouterId) -> Result<Self> {
        let header = header(router);
        let descriptor = match settings.fd {
            Some(fd) => Some(spawn_writer(fd, header)?),
            None => None,
        };
        Ok(Self {
            router: router.clone(),
            ring_lines: settings.ring_lines,
            ring: Arc::default(),
            descriptor,
        })
    }

    /// Records a decision. `line` is called only if recording is enabled.
    pub fn record(&self, line: impl FnOnce() -> Line) {
        if self.ring_lines == 0 && self.descriptor.is_none() {
            return;
        }
        let Ok(text) = serde_json::to_string(&line()) else {
            return;
        };
        if let Some(sender) = &self.descriptor {
            let _ = sender.try_send(text.clone());
        }
        if self.ring_lines > 0 {
            let mut ring = self.ring.lock();
            if ring.len() >= self.ring_lines {
                ring.pop_front();
            }
            ring.push_back(text);
        }
    }

    /// Returns the content of the ring buffer as a trace, with its header.
    pub fn trace(&self) -> String {
        let mut text = header(&self.router);
        for line in self.ring.lock().iter() {
            text.push('\n');
            text.push_str(line);
        }
        text.push('\n');
        text
    }
}

fn header(router: &RouterId) -> String {
    let header = Line::Header(Header {
        version: FORMAT_VERSION,
        router: router.clone(),
    });
    serde_json::to_string(&header).expect("a header is valid JSON")
}

/// Starts a thread that writes to an open descriptor. A separate thread is used since writing to a
/// pipe may block.
fn spawn_writer(fd: u32, header: String) -> Result<Sender<String>> {
    let path = format!("/dev/fd/{fd}");
    let open_error = |source| Error::io(format!("open the trace descriptor {path}"), source);
    let mut file = OpenOptions::new()
        .append(true)
        .open(&path)
        .map_err(open_error)?;
    let (sender, receiver): (_, Receiver<String>) = async_channel::bounded(QUEUE_LINES);
    thread::Builder::new()
        .name("trace".to_owned())
        .spawn(move || {
            let mut next = Some(header);
            while let Some(line) = next {
                if let Err(error) = writeln!(file, "{line}") {
                    log::warn!("event=trace_ended error=\"{error}\"");
                    return;
                }
                next = receiver.recv_blocking().ok();
            }
        })
        .map_err(|source| Error::io("start the trace thread", source))?;
    Ok(sender)
}
