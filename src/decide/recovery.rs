//! Recovery of a broken stream: resume the run, continue its text on another server, or give up.
//!
//! The state machine also numbers the events for the caller, so that the caller receives each
//! event exactly once and in order, whichever engine sent it.

#[cfg(test)]
mod tests;

use std::borrow::Cow;

use serde::Deserialize;
use serde::de::IgnoredAny;

/// Errors of one stream that are recovered from; the limit keeps an engine that fails each time
/// from being retried for ever.
const ERRORS_MAX: u32 = 6;
/// Longest text that is retained for a continuation.
const TEXT_MAX_BYTES: usize = 1024 * 1024;

/// How a stream failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// The connection was lost.
    #[error("the connection was lost")]
    ConnectionLost,
    /// No event arrived within the time limit.
    #[error("no event arrived in time")]
    Stalled,
    /// The stream ended without its terminal event.
    #[error("the stream ended without its terminal event")]
    EndedEarly,
    /// The ids of the events skip a number.
    #[error("an event is missing")]
    Gap,
    /// The engine reported an error or sent an unreadable event.
    #[error("the engine reported an error or sent an unreadable event")]
    EngineError,
}

/// Next step after a stream error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Read the events of the same run again, from the one after this id.
    Resume {
        /// Id of the last event received in this run.
        after: u64,
    },
    /// Start a run on another server that continues the delivered text.
    Continue,
    /// End the stream with an error event that states this reason.
    GiveUp(&'static str),
}

/// What to do with a received event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventAction {
    /// Forward it to the caller under this id.
    Deliver {
        /// Id for the caller: 1 for the first event, and consecutive.
        id: u64,
    },
    /// Discard it; it was delivered before.
    Duplicate,
    /// Recover from this error; the event is not forwarded.
    Broken(StreamError),
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Text {
    /// All events so far contained only text, which can be continued.
    Open(String),
    /// The engine sent a finish reason, so a continuation would add text to a finished response.
    Closed,
    /// The response cannot be continued: an event contained something other than text, or the
    /// text exceeds [`TEXT_MAX_BYTES`].
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

/// Recovery state of one stream to a caller.
///
/// ```
/// use jujubeusher::decide::recovery::{EventAction, Recovery, Step, StreamError};
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
    /// Id of the last event of the current run; none if its events have no numeric ids.
    last_id: Option<u64>,
    text: Text,
    errors: u32,
    /// Value of `delivered` when the current run was last resumed.
    delivered_at_resume: Option<u64>,
}

impl Default for Recovery {
    fn default() -> Self {
        Self::new()
    }
}

impl Recovery {
    /// Creates the state of a stream that has delivered nothing.
    pub fn new() -> Self {
        Self {
            delivered: 0,
            last_id: Some(0),
            text: Text::Open(String::new()),
            errors: 0,
            delivered_at_resume: None,
        }
    }

    /// Number of events delivered to the caller.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Delivered text, as long as it can be continued.
    pub fn text(&self) -> Option<&str> {
        match &self.text {
            Text::Open(text) => Some(text),
            Text::Closed | Text::Other => None,
        }
    }

    /// Records that a continuation has started; its engine numbers the events from 1 again.
    pub fn on_continued(&mut self) {
        self.last_id = Some(0);
        self.delivered_at_resume = None;
    }

    /// Processes the next event of the current run.
    pub fn on_event(&mut self, id: &str, name: &str, data: &str) -> EventAction {
        if name == "error" {
            return EventAction::Broken(StreamError::EngineError);
        }
        if let Some(last) = self.last_id {
            match id.parse::<u64>() {
                Ok(id) if id <= last => return EventAction::Duplicate,
                Ok(id) if id > last + 1 => return EventAction::Broken(StreamError::Gap),
                Ok(id) => self.last_id = Some(id),
                // Without numeric ids a run cannot be resumed.
                Err(_) => self.last_id = None,
            }
        }
        self.delivered += 1;
        self.append_text(data);
        EventAction::Deliver { id: self.delivered }
    }

    fn append_text(&mut self, data: &str) {
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

    /// Decides how to recover from an error.
    pub fn on_error(&mut self, cause: StreamError) -> Step {
        self.errors += 1;
        if self.errors > ERRORS_MAX {
            return Step::GiveUp("the stream broke too often");
        }
        let has_progress = self.delivered_at_resume != Some(self.delivered);
        match self.last_id {
            Some(after) if has_progress && cause != StreamError::EngineError => {
                self.delivered_at_resume = Some(self.delivered);
                Step::Resume { after }
            }
            _ => self.continue_on_other_server(),
        }
    }

    /// Decides how to recover after resuming the run has failed.
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
