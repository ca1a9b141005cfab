//! What the engine did, for a test to check.

/// One request that the engine received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunEntry {
    /// Attempt id as sent.
    pub attempt: String,
    /// Chat id as sent.
    pub chat: String,
    /// Priority as sent; the highest runs first.
    pub priority: u8,
    /// Whether the chat's prefix was cached.
    pub is_hit: bool,
    /// Tokens of the text that the request continues.
    pub continued_tokens: u32,
}

/// Why a run was cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelReason {
    /// By a DELETE.
    Requested,
    /// Its connection was lost and nobody resumed it in time.
    Disconnect,
}

/// A cancelled run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cancel {
    /// Attempt id.
    pub attempt: String,
    /// Why.
    pub reason: CancelReason,
}

/// All entries since the engine was bound, over its restarts.
#[derive(Debug, Default)]
pub struct Log {
    pub runs: Vec<RunEntry>,
    pub cancels: Vec<Cancel>,
    pub resumes: Vec<String>,
    pub finished: Vec<String>,
    pub crashes: usize,
}
