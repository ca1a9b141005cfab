//! Log of the engine's actions, for tests to inspect.

/// One request that the engine ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunEntry {
    /// Attempt id as sent by the router.
    pub attempt: String,
    /// Chat id as sent by the router.
    pub chat: String,
    /// Priority as sent by the router; the highest number runs first.
    pub priority: u8,
    /// Whether the chat's prefix was cached on arrival.
    pub is_hit: bool,
    /// Number of already delivered tokens, which the request continues.
    pub continued_tokens: u32,
}

/// Reason why a run was cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelReason {
    /// A DELETE request for the stream.
    Requested,
    /// Its connection was lost and not resumed in time.
    Disconnect,
}

/// A cancelled run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cancel {
    /// Attempt id of the run.
    pub attempt: String,
    /// Reason of the cancellation.
    pub reason: CancelReason,
}

/// All entries since the engine was first started, across its restarts.
#[derive(Debug, Default)]
pub struct Log {
    pub runs: Vec<RunEntry>,
    pub cancels: Vec<Cancel>,
    pub resumes: Vec<String>,
    pub finished: Vec<String>,
    pub crashes: usize,
}
