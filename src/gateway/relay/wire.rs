//! Messages between a router and its subscribers, or between two seeds. Fields may be added; their
//! numbers are never reused, and routers of older versions ignore those that they do not know.

#[cfg(test)]
mod tests;

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
    /// In the first message of a subscriber or a seed: what it is. Routers of older versions send
    /// none.
    #[prost(message, optional, tag = "10")]
    pub introduction: Option<Introduction>,
    /// In the first message to a subscriber, and whenever the path changes.
    #[prost(message, optional, tag = "11")]
    pub admission: Option<Admission>,
    /// A deflated [`RowBatch`], which is sent in place of `rows` to subscribers that introduced
    /// themselves.
    #[prost(bytes = "bytes", tag = "12")]
    pub packed_rows: Bytes,
    /// Crashes of servers under requests, and completions of such requests.
    #[prost(message, repeated, tag = "13")]
    pub strikes: Vec<Strike>,
    /// Quarantines that the receiver may not be able to derive from strikes.
    #[prost(message, repeated, tag = "14")]
    pub quarantines: Vec<Quarantine>,
    /// Parts of prompts on which answers began.
    #[prost(message, repeated, tag = "15")]
    pub sound_parts: Vec<SoundPart>,
    /// Era of the position; absent from routers of older versions, and if the source states none.
    #[prost(uint64, optional, tag = "16")]
    pub era: Option<u64>,
    /// Number of the receiver among all routers; from the router that relays to it.
    #[prost(uint32, optional, tag = "17")]
    pub index: Option<u32>,
    /// Limits that servers have named, changed or lifted.
    #[prost(message, repeated, tag = "18")]
    pub server_limits: Vec<ServerLimit>,
    /// Number of this report of demands, which no other report has; absent without demands.
    #[prost(fixed64, optional, tag = "19")]
    pub report: Option<u64>,
    /// Demands of the sender's subtree for limits that are divided among the routers.
    #[prost(message, repeated, tag = "20")]
    pub demands: Vec<Demand>,
    /// Number of the receiver's report that the grants answer.
    #[prost(fixed64, optional, tag = "21")]
    pub answered_report: Option<u64>,
    /// Units of divided limits for the receiver's subtree.
    #[prost(message, repeated, tag = "22")]
    pub grants: Vec<Grant>,
    /// Time from the read of the source to this message, with an update of a table; absent from routers
    /// of older versions.
    #[prost(uint64, optional, tag = "23")]
    pub age_ms: Option<u64>,
    /// When the message was made, by the sender's monotonic clock; absent from routers of older
    /// versions.
    #[prost(uint64, optional, tag = "24")]
    pub sent_ms: Option<u64>,
}

/// Demand for one divided limit.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Demand {
    /// Hash that names the limit.
    #[prost(fixed64, tag = "1")]
    pub limit: u64,
    /// Requests in 1,000 s that ask for room.
    #[prost(uint64, tag = "2")]
    pub milli_per_s: u64,
    /// Shortest time between two units of one seed.
    #[prost(uint64, tag = "3")]
    pub period_us: u64,
    /// Time for which a unit is valid.
    #[prost(uint64, tag = "4")]
    pub valid_ms: u64,
}

/// Units of one divided limit.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Grant {
    /// Hash that names the limit.
    #[prost(fixed64, tag = "1")]
    pub limit: u64,
    /// Number of units.
    #[prost(uint32, tag = "2")]
    pub units: u32,
    /// Time from the sender's receipt of the answered report to the end of the units.
    #[prost(uint64, tag = "3")]
    pub valid_ms: u64,
}

/// Limit of a server on the requests of all routers.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServerLimit {
    /// Id of the server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Incarnation of the server.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Requests in 1,000 s; absent if the server names no limit any more.
    #[prost(uint64, optional, tag = "3")]
    pub limit_milli_per_s: Option<u64>,
    /// Time since the server said so, in ms.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
}

/// A part of a prompt on which an answer began.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SoundPart {
    /// Hash of the part's id.
    #[prost(fixed64, tag = "1")]
    pub part: u64,
    /// Time since the answer in ms.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// Hash of the team whose request was answered; 0 if it is not known.
    #[prost(fixed64, tag = "3")]
    pub caller: u64,
}

/// Crash of a server under a request, or completion of the request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Strike {
    /// Hash of the request's content.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Id of the server.
    #[prost(string, tag = "2")]
    pub server: String,
    /// Number of crashes of this server under the request; 0 if it completed the request.
    #[prost(uint32, tag = "3")]
    pub count: u32,
    /// Time since the crash in ms.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
    /// Time for which the server had run the request, in ms.
    #[prost(uint64, tag = "5")]
    pub ran_ms: u64,
    /// Whether a server completed the request before.
    #[prost(bool, tag = "6")]
    pub is_proven: bool,
    /// Hashes of the ids of the prompt's parts, if the server had not begun to answer.
    #[prost(fixed64, repeated, tag = "7")]
    pub parts: Vec<u64>,
    /// Hash of the caller's team.
    #[prost(fixed64, tag = "8")]
    pub caller: u64,
    /// Whether the crash is known from the server's silence.
    #[prost(bool, tag = "9")]
    pub is_silent: bool,
}

/// A request that is refused.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Quarantine {
    /// Hash of the request's content.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Remaining time in ms.
    #[prost(uint64, tag = "2")]
    pub left_ms: u64,
}

/// A router that opens a link.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Introduction {
    /// Address at which it accepts subscribers.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Its availability zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Maximum number of subscribers that it accepts from its zone.
    #[prost(uint32, tag = "3")]
    pub degree: u32,
    /// Whether it was redirected before and no router accepted it.
    #[prost(bool, tag = "4")]
    pub is_insisting: bool,
    /// Positions up to which it knows the tables; a table without an entry is not known.
    #[prost(message, repeated, tag = "5")]
    pub known: Vec<KnownTable>,
    /// Whether it only copies the tables as they are, and then closes the link.
    #[prost(bool, tag = "6")]
    pub is_copying: bool,
}

/// Position up to which a router knows a table.
#[derive(Clone, PartialEq, prost::Message)]
pub struct KnownTable {
    /// Number of the table.
    #[prost(uint32, tag = "1")]
    pub table: u32,
    /// Position of its copy.
    #[prost(uint64, tag = "2")]
    pub position: u64,
    /// Era of the position.
    #[prost(uint64, optional, tag = "3")]
    pub era: Option<u64>,
}

/// Response to a subscriber's introduction.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Admission {
    /// Addresses of the routers from the one that reads the tables to the sender; empty if the
    /// subscriber is not accepted.
    #[prost(string, repeated, tag = "1")]
    pub path: Vec<String>,
    /// Routers to try instead.
    #[prost(string, repeated, tag = "2")]
    pub redirects: Vec<String>,
    /// In response to a router that copies the tables: whether the sender does not know them all.
    #[prost(bool, tag = "3")]
    pub has_no_tables: bool,
}

/// Rows that are deflated together.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RowBatch {
    /// The rows.
    #[prost(message, repeated, tag = "1")]
    pub rows: Vec<Row>,
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
