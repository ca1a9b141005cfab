//! Messages between a seed and its subscribers, or between two seeds. Fields may be added; their
//! numbers are never reused.

use bytes::Bytes;

/// An update of one table, or request counts. The first message of a subscriber contains only the
/// table number for no table, `u32::MAX`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// Number of the table; `u32::MAX` if the message concerns none.
    #[prost(uint32, tag = "1")]
    pub table: u32,
    /// Position of the table after these rows.
    #[prost(uint64, tag = "2")]
    pub position: u64,
    /// Rows that were set or removed.
    #[prost(message, repeated, tag = "3")]
    pub rows: Vec<Row>,
    /// Whether the rows are the full content of the table.
    #[prost(bool, tag = "4")]
    pub is_snapshot: bool,
    /// Whether the next message continues this update.
    #[prost(bool, tag = "5")]
    pub has_more: bool,
    /// Whether the sender cannot reach the table's source.
    #[prost(bool, tag = "6")]
    pub is_unavailable: bool,
    /// Request counts on servers that changed since the previous message.
    #[prost(message, repeated, tag = "7")]
    pub counts: Vec<Count>,
    /// In the first message: the sender is a seed and reports only its group's counts.
    #[prost(bool, tag = "8")]
    pub is_seed: bool,
    /// Number of routers that the counts cover; 0 if the message has no counts.
    #[prost(uint32, tag = "9")]
    pub routers: u32,
}

/// Number of requests on one server.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Count {
    /// Leading bits of the hash of the server's id.
    #[prost(uint64, tag = "1")]
    pub server: u64,
    /// Number of requests in flight.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
}

/// One row, or a chunk of one.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Row {
    /// Key of the row within its table.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Content or a chunk of it; absent for a removed row.
    #[prost(bytes = "bytes", optional, tag = "2")]
    pub content: Option<Bytes>,
    /// Whether the whole content is deflated.
    #[prost(bool, tag = "3")]
    pub is_deflated: bool,
    /// Whether the next row continues this content.
    #[prost(bool, tag = "4")]
    pub has_more: bool,
}
