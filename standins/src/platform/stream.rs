//! How the stand-in for a backend server writes its streams.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue};
use smol::Timer;
use xxhash_rust::xxh3::xxh3_64;

use crate::serve::Body;

/// Number of events in each stream.
pub const STREAM_EVENTS: u64 = 5;
/// Shortest pause between the parts of a stream, which makes each of them a separate chunk.
const PART_PAUSE: Duration = Duration::from_millis(2);
/// Upper bound, exclusive, on the length of the words that a run adds to an event.
const WORDS_LENGTH_MAX: u64 = 40;

/// How a server writes its streams.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StreamStyle {
    /// Whether the head declares the length of the body, which is sent in chunks otherwise.
    pub declares_length: bool,
    /// Whether each run has words of its own in its events, as engines that sample have. The
    /// streams of two runs then differ in content and length.
    pub has_own_words: bool,
}

/// Words that one run adds to its events; none if it is the same for all runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Words(Option<u64>);

impl Words {
    /// Words of the run with this number at a server.
    pub fn of_run(server: &str, run: usize) -> Self {
        Self(Some(xxh3_64(format!("{server} {run}").as_bytes())))
    }

    /// Bytes of the event with this id.
    ///
    /// ```
    /// use jujubeusher_standins::platform::stream::Words;
    /// assert_eq!(Words::default().event(2), "id: 2\ndata: event 2\n\n");
    /// assert_ne!(Words::of_run("i-1", 0).event(2), Words::of_run("i-1", 1).event(2));
    /// ```
    pub fn event(self, id: u64) -> String {
        let Some(seed) = self.0 else {
            return format!("id: {id}\ndata: event {id}\n\n");
        };
        let hash = xxh3_64(&(seed ^ id).to_le_bytes());
        let words = format!("{hash:016x}").repeat(3);
        let length = (hash % WORDS_LENGTH_MAX) as usize;
        format!(
            "id: {id}\ndata: event {id} {hash:x} {}\n\n",
            &words[..length]
        )
    }

    /// Bytes of the events above `after`, up to the last one of a stream.
    pub fn events_after(self, after: u64) -> String {
        (after + 1..=STREAM_EVENTS)
            .map(|id| self.event(id))
            .collect()
    }
}

/// Part of a body, or the error that breaks it off.
pub type Part = Result<Frame<Bytes>, io::Error>;

/// Parts of the stream of events above `after`. A truncated one breaks off within its third event.
pub fn parts(words: Words, after: u64, is_truncated: bool) -> Vec<Part> {
    let part = |text: String| Ok(Frame::data(Bytes::from(text)));
    let mut parts: Vec<Part> = (after + 1..=STREAM_EVENTS)
        .map(|id| part(words.event(id)))
        .collect();
    if is_truncated {
        parts.truncate(2);
        parts.push(part("id: 3\nda".to_owned()));
        parts.push(Err(io::Error::other("truncated on request")));
    }
    parts
}

/// Builds the response with these parts of the stream of events above `after`, whose declared
/// length is that of the whole stream. `pause` is the time before each part.
pub fn response(
    parts: Vec<Part>,
    pause: Duration,
    style: StreamStyle,
    words: Words,
    after: u64,
) -> Response<Body> {
    let pause = pause.max(PART_PAUSE);
    let parts = stream::unfold(parts.into_iter(), move |mut parts| async move {
        let next = parts.next()?;
        Timer::after(pause).await;
        Some((next, parts))
    });
    let response = Response::new(StreamBody::new(parts).boxed());
    with_stream_headers(response, style, words, after)
}

/// Adds the headers of a stream to its response.
pub fn with_stream_headers(
    mut response: Response<Body>,
    style: StreamStyle,
    words: Words,
    after: u64,
) -> Response<Body> {
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    if style.declares_length {
        let length = words.events_after(after).len();
        headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    response
}
