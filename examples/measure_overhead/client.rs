//! The callers: as cheap as they can be, so that they do not limit what is measured.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_lite::{AsyncReadExt, AsyncWriteExt};
use jujubeusher::runtime::Runtime;
use smol::net::TcpStream;

use super::BoxError;

/// Time in which a load is measured, after its warm-up.
const MEASURED: Duration = Duration::from_secs(8);
/// Time before the measurement, longer than one paced stream takes.
const WARM_UP: Duration = Duration::from_secs(4);
/// Largest block that is read at once.
const BLOCK_BYTES: usize = 16 * 1024;

/// One kept connection.
pub struct Caller {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Caller {
    /// Connects.
    pub async fn open(address: SocketAddr) -> Result<Self, BoxError> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            buffer: vec![0; BLOCK_BYTES],
        })
    }

    /// Streams one answer to its end.
    pub async fn call(&mut self, chat: usize, tokens: u32, gap_ms: u64) -> Result<u64, BoxError> {
        self.call_with(chat, tokens, gap_ms, |_| {}).await
    }

    /// Streams one answer and reports each block's number of events; returns their sum.
    pub async fn call_with<F>(
        &mut self,
        chat: usize,
        tokens: u32,
        gap_ms: u64,
        mut note: F,
    ) -> Result<u64, BoxError>
    where
        F: FnMut(u64),
    {
        let body = format!(
            r#"{{"model":"m","stream":true,"tokens":{tokens},"gap_ms":{gap_ms},"messages":[]}}"#
        );
        let request = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-chat-id: {chat}\r\n\
             authorization: Bearer {}\r\ncontent-length: {}\r\n\r\n{body}",
            super::KEY,
            body.len()
        );
        self.stream.write_all(request.as_bytes()).await?;
        let mut events = 0;
        let mut last = [0u8; 5];
        let mut is_first = true;
        loop {
            let length = self.stream.read(&mut self.buffer).await?;
            let block = &self.buffer[..length];
            if length == 0 || (is_first && !block.starts_with(b"HTTP/1.1 200")) {
                return Err("the answer is not a whole stream".into());
            }
            is_first = false;
            // Only the end of an event holds two line feeds in a row.
            let joint = u64::from(last[4] == b'\n' && block[0] == b'\n');
            let inside = block.windows(2).filter(|pair| pair == b"\n\n").count() as u64;
            events += joint + inside;
            note(joint + inside);
            let tail = &block[length.saturating_sub(5)..];
            last.rotate_left(tail.len() % 5);
            last[5 - tail.len()..].copy_from_slice(tail);
            if &last == b"0\r\n\r\n" {
                return match events == u64::from(tokens) + 1 {
                    true => Ok(events),
                    false => Err("events were lost".into()),
                };
            }
        }
    }
}

/// A closed load: each caller sends its next request when its answer has ended.
pub struct Load {
    callers: usize,
    tokens: u32,
    gap_ms: u64,
}

/// What a load did in the measured time.
#[derive(Debug, Default, Clone, Copy)]
pub struct Totals {
    /// Answers that ended.
    pub requests: u64,
    /// Events that came.
    pub events: u64,
    /// Answers that failed.
    pub failed: u64,
    /// The measured time.
    pub elapsed: Duration,
}

impl Totals {
    /// Answers per second.
    pub fn requests_per_s(&self) -> f64 {
        self.requests as f64 / self.elapsed.as_secs_f64()
    }

    /// Events per second.
    pub fn events_per_s(&self) -> f64 {
        self.events as f64 / self.elapsed.as_secs_f64()
    }
}

impl Load {
    /// A load of `callers` that each want `tokens` tokens, one each `gap_ms`.
    pub fn closed(callers: usize, tokens: u32, gap_ms: u64) -> Self {
        Self {
            callers,
            tokens,
            gap_ms,
        }
    }

    /// Runs the load against addresses in turn; `probe` is called at the start and at the
    /// end of the measured time.
    pub fn run<P>(
        &self,
        runtime: &Runtime,
        addresses: &[SocketAddr],
        mut probe: P,
    ) -> super::Result<Totals>
    where
        P: FnMut() -> super::Result<()>,
    {
        let start = Instant::now() + WARM_UP;
        let end = start + MEASURED;
        let tasks: Vec<_> = (0..self.callers)
            .map(|index| {
                let address = addresses[index % addresses.len()];
                let (tokens, gap_ms) = (self.tokens, self.gap_ms);
                runtime.spawn(run_caller(address, index, tokens, gap_ms, start, end))
            })
            .collect();
        for moment in [start, end] {
            std::thread::sleep(moment.saturating_duration_since(Instant::now()));
            probe()?;
        }
        let mut totals = Totals {
            elapsed: MEASURED,
            ..Totals::default()
        };
        for task in tasks {
            let of_caller = smol::block_on(task);
            totals.requests += of_caller.requests;
            totals.events += of_caller.events;
            totals.failed += of_caller.failed;
        }
        Ok(totals)
    }
}

async fn run_caller(
    address: SocketAddr,
    index: usize,
    tokens: u32,
    gap_ms: u64,
    start: Instant,
    end: Instant,
) -> Totals {
    let mut totals = Totals::default();
    // Spreads the callers over one stream's gap, so that they do not run in step.
    smol::Timer::after(Duration::from_micros(
        gap_ms * 1000 * (index as u64 % 97) / 97,
    ))
    .await;
    let mut caller = None;
    let mut chat = index * 1_000_000;
    while Instant::now() < end {
        chat += 1;
        let mut events = 0;
        let result = match &mut caller {
            None => Caller::open(address)
                .await
                .map(|opened| caller = Some(opened)),
            Some(caller) => caller
                .call_with(chat, tokens, gap_ms, |count| {
                    let now = Instant::now();
                    if now >= start && now < end {
                        events += count;
                    }
                })
                .await
                .map(|_| {
                    let now = Instant::now();
                    totals.requests += u64::from(now >= start && now < end);
                }),
        };
        totals.events += events;
        if result.is_err() {
            totals.failed += 1;
            caller = None;
        }
    }
    totals
}
