//! Callers with little CPU time per event, so that they do not limit the measured throughput.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_lite::{AsyncReadExt, AsyncWriteExt};
use jujubeusher::runtime::Runtime;
use smol::net::TcpStream;

use super::BoxError;

/// Time in which a load is measured, after the warm-up.
const MEASURE_TIME: Duration = Duration::from_secs(8);
/// Time before the measurement; shorter than a paced stream, which takes 260 × 29 ms = 7.5 s.
const WARM_UP: Duration = Duration::from_secs(4);
/// Size of the read buffer of a connection.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// A caller with one persistent connection.
pub struct Caller {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Caller {
    /// Connects to an engine or a router.
    pub async fn open(address: SocketAddr) -> Result<Self, BoxError> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            buffer: vec![0; READ_BUFFER_BYTES],
        })
    }

    /// Streams one response to its end and returns the number of its events.
    pub async fn call(&mut self, chat: usize, tokens: u32, gap_ms: u64) -> Result<u64, BoxError> {
        self.call_with_progress(chat, tokens, gap_ms, |_| {}).await
    }

    /// Streams one response to its end and returns the number of its events.
    ///
    /// `on_events` receives the number of events in each block that is read.
    pub async fn call_with_progress<F>(
        &mut self,
        chat: usize,
        tokens: u32,
        gap_ms: u64,
        mut on_events: F,
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
                return Err("the response is not a complete stream with status 200".into());
            }
            is_first = false;
            // Two consecutive line feeds occur only at the end of an event.
            let split_ends = u64::from(last[4] == b'\n' && block[0] == b'\n');
            let inner_ends = block.windows(2).filter(|pair| pair == b"\n\n").count() as u64;
            events += split_ends + inner_ends;
            on_events(split_ends + inner_ends);
            let tail = &block[length.saturating_sub(5)..];
            last.rotate_left(tail.len() % 5);
            last[5 - tail.len()..].copy_from_slice(tail);
            if &last == b"0\r\n\r\n" {
                return match events == u64::from(tokens) + 1 {
                    true => Ok(events),
                    false => Err("the stream does not have the expected number of events".into()),
                };
            }
        }
    }
}

/// A closed-loop load: each caller sends its next request when the previous response is complete.
pub struct Load {
    callers: usize,
    tokens: u32,
    gap_ms: u64,
}

/// Totals of a load over the measured time.
#[derive(Debug, Default, Clone, Copy)]
pub struct Totals {
    /// Responses that were completed.
    pub requests: u64,
    /// Events that were received.
    pub events: u64,
    /// Calls and connection attempts that failed, also during the warm-up.
    pub failed: u64,
    /// Length of the measured time.
    pub elapsed: Duration,
}

impl Totals {
    /// Completed responses per second.
    pub fn requests_per_s(&self) -> f64 {
        self.requests as f64 / self.elapsed.as_secs_f64()
    }

    /// Received events per second.
    pub fn events_per_s(&self) -> f64 {
        self.events as f64 / self.elapsed.as_secs_f64()
    }
}

impl Load {
    /// Describes a load of `callers` callers that request `tokens` tokens per response, `gap_ms` ms
    /// apart.
    pub fn closed(callers: usize, tokens: u32, gap_ms: u64) -> Self {
        Self {
            callers,
            tokens,
            gap_ms,
        }
    }

    /// Runs the load, with the callers spread over `addresses`.
    ///
    /// `on_boundary` is called at the start and at the end of the measured time.
    pub fn run<P>(
        &self,
        runtime: &Runtime,
        addresses: &[SocketAddr],
        mut on_boundary: P,
    ) -> super::Result<Totals>
    where
        P: FnMut() -> super::Result<()>,
    {
        let start = Instant::now() + WARM_UP;
        let end = start + MEASURE_TIME;
        let tasks: Vec<_> = (0..self.callers)
            .map(|index| {
                let address = addresses[index % addresses.len()];
                let (tokens, gap_ms) = (self.tokens, self.gap_ms);
                runtime.spawn(run_caller(address, index, tokens, gap_ms, start, end))
            })
            .collect();
        for boundary in [start, end] {
            std::thread::sleep(boundary.saturating_duration_since(Instant::now()));
            on_boundary()?;
        }
        let mut totals = Totals {
            elapsed: MEASURE_TIME,
            ..Totals::default()
        };
        for task in tasks {
            let caller_totals = smol::block_on(task);
            totals.requests += caller_totals.requests;
            totals.events += caller_totals.events;
            totals.failed += caller_totals.failed;
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
    // Spreads the callers over one token interval, so that they do not send in lockstep.
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
                .call_with_progress(chat, tokens, gap_ms, |count| {
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
