//! What to do when a stream errors: resume it, continue it elsewhere, or give up.
//!
//! The machine also numbers the events that the caller gets, so that the caller sees each
//! event once and without a gap whichever engine sent it.

#[cfg(test)]
mod tests;

use std::borrow::Cow;

use serde::Deserialize;
use serde::de::IgnoredAny;

/// Breaks of one stream after which it is given up. An engine that errors this often would
/// otherwise be asked again without end.
const ERRORS_MAX: u32 = 6;
/// Longest text that is kept for a continuation.
const TEXT_MAX_BYTES: usize = 1024 * 1024;

/// How a stream broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// The connection was lost.
    #[error("the connection was lost")]
    ConnectionLost,
    /// No event came in time.
    #[error("no event came in time")]
    Stalled,
    /// The stream ended without its terminal event.
    #[error("the stream ended without its terminal event")]
    EndedEarly,
    /// An event is missing.
    #[error("an event is missing")]
    Gap,
    /// The engine reported an error, or sent what cannot be read.
    #[error("the engine reported an error or sent an unreadable event")]
    EngineError,
}

/// What to do about a break.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Read the same run again from the event after this one.
    Resume {
        /// Id of the last event that arrived.
        after: u64,
    },
    /// Start a run elsewhere that continues the text delivered.
    Continue,
    /// End with an error event.
    GiveUp(&'static str),
}

/// What to do with an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventAction {
    /// Pass it to the caller under this id.
    Deliver {
        /// Id for the caller, from 1 without a gap.
        id: u64,
    },
    /// It was delivered before.
    Duplicate,
    /// The stream is broken.
    Broken(StreamError),
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Text {
    /// All events so far held only text, which can be continued.
    Open(String),
    /// The engine said why it stopped: a continuation would say more than the answer.
    Closed,
    /// Some events held what no continuation can repeat.
    Other,
}

#[derive(Deserialize)]
struct Chunk<'a> {
    #[serde(borrow)]
    choices: Vec<Choice<'a>>,
}

#[derive(Deserialize)]
struct Choice<'a> {
    #[serde(borrow)]
    delta: Delta<'a>,
    finish_reason: Option<IgnoredAny>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Delta<'a> {
    #[serde(default, rename = "role")]
    _role: Option<IgnoredAny>,
    #[serde(default, borrow)]
    content: Option<Cow<'a, str>>,
}

/// State of one stream towards the caller.
///
/// ```
/// use jujubeusher::decide::recovery::{StreamError, Recovery, Step, EventAction};
/// let mut recovery = Recovery::new();
/// let data = r#"{"choices":[{"delta":{"content":"a"}}]}"#;
/// assert_eq!(recovery.on_event("1", "", data), EventAction::Deliver { id: 1 });
/// assert_eq!(recovery.on_error(StreamError::ConnectionLost), Step::Resume { after: 1 });
/// assert_eq!(recovery.on_resume_failed(), Step::Continue);
/// assert_eq!(recovery.text(), Some("a"));
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recovery {
    delivered: u64,
    /// Id of the last event of the current run; none where its events have no ids.
    last_id: Option<u64>,
    text: Text,
    errors: u32,
    /// Events delivered when the current run was last resumed.
    resumed_at: Option<u64>,
}

impl Default for Recovery {
    fn default() -> Self {
        Self::new()
    }
}

impl Recovery {
    /// A stream that begins.
    pub fn new() -> Self {
        Self {
            delivered: 0,
            last_id: Some(0),
            text: Text::Open(String::new()),
            errors: 0,
            resumed_at: None,
        }
    }

    /// Events delivered to the caller.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    /// The text delivered, while it can be continued.
    pub fn text(&self) -> Option<&str> {
        match &self.text {
            Text::Open(text) => Some(text),
            Text::Closed | Text::Other => None,
        }
    }

    /// A continuation has started: its events are numbered from 1 again.
    pub fn on_continued(&mut self) {
        self.last_id = Some(0);
        self.resumed_at = None;
    }

    /// Takes the next event of the current run.
    pub fn on_event(&mut self, id: &str, name: &str, data: &str) -> EventAction {
        if name == "error" {
            return EventAction::Broken(StreamError::EngineError);
        }
        if let Some(last) = self.last_id {
            match id.parse::<u64>() {
                Ok(id) if id <= last => return EventAction::Duplicate,
                Ok(id) if id > last + 1 => return EventAction::Broken(StreamError::Gap),
                Ok(id) => self.last_id = Some(id),
                // A run without numbers can only be read once, from its start.
                Err(_) => self.last_id = None,
            }
        }
        self.delivered += 1;
        self.keep_text(data);
        EventAction::Deliver { id: self.delivered }
    }

    fn keep_text(&mut self, data: &str) {
        let Text::Open(text) = &mut self.text else {
            return;
        };
        let chunk: Result<Chunk<'_>, _> = serde_json::from_str(data);
        let next = match chunk.as_ref().map(|chunk| chunk.choices.as_slice()) {
            Ok([choice]) => {
                text.push_str(choice.delta.content.as_deref().unwrap_or_default());
                match &choice.finish_reason {
                    None if text.len() <= TEXT_MAX_BYTES => return,
                    None => Text::Other,
                    Some(_) => Text::Closed,
                }
            }
            Ok(_) | Err(_) => Text::Other,
        };
        self.text = next;
    }

    /// Decides after a break.
    pub fn on_error(&mut self, cause: StreamError) -> Step {
        self.errors += 1;
        if self.errors > ERRORS_MAX {
            return Step::GiveUp("the stream broke too often");
        }
        let has_progress = self.resumed_at != Some(self.delivered);
        match self.last_id {
            Some(after) if has_progress && cause != StreamError::EngineError => {
                self.resumed_at = Some(self.delivered);
                Step::Resume { after }
            }
            _ => self.continue_on_other_server(),
        }
    }

    /// Decides after a resume that failed.
    pub fn on_resume_failed(&mut self) -> Step {
        self.continue_on_other_server()
    }

    fn continue_on_other_server(&self) -> Step {
        match self.text {
            Text::Open(_) => Step::Continue,
            Text::Closed => Step::GiveUp("the answer had ended but for its terminal event"),
            Text::Other => Step::GiveUp("the answer holds more than text"),
        }
    }
}
