//! Messages between a router that reads the platform's tables and its subscribers. Fields may
//! be added; numbers are never reused.

use bytes::Bytes;

/// One update of one table. An empty message opens a subscription.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// Number of the table.
    #[prost(uint32, tag = "1")]
    pub table: u32,
    /// Position of the table after these rows.
    #[prost(uint64, tag = "2")]
    pub position: u64,
    /// Rows that are set or gone.
    #[prost(message, repeated, tag = "3")]
    pub rows: Vec<Row>,
    /// Whether these are all rows of the table.
    #[prost(bool, tag = "4")]
    pub is_snapshot: bool,
    /// Whether the next message goes on with this update.
    #[prost(bool, tag = "5")]
    pub has_more: bool,
    /// Whether the sender cannot reach the table.
    #[prost(bool, tag = "6")]
    pub is_unavailable: bool,
    /// Requests on servers, where they changed since the message before.
    #[prost(message, repeated, tag = "7")]
    pub counts: Vec<Count>,
    /// In the first message: the sender is a seed and tells only its group's counts.
    #[prost(bool, tag = "8")]
    pub is_seed: bool,
    /// Routers that the counts are of; 0 where the message has none.
    #[prost(uint32, tag = "9")]
    pub routers: u32,
}

/// Requests on one server.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Count {
    /// First bits of the hash of the server's id.
    #[prost(uint64, tag = "1")]
    pub server: u64,
    /// Requests.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
}

/// One row.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Row {
    /// Its key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Its content or a piece of it; absent where the row is gone.
    #[prost(bytes = "bytes", optional, tag = "2")]
    pub content: Option<Bytes>,
    /// Whether the whole content is deflated.
    #[prost(bool, tag = "3")]
    pub is_deflated: bool,
    /// Whether the next row is a further piece of this content.
    #[prost(bool, tag = "4")]
    pub has_more: bool,
}
