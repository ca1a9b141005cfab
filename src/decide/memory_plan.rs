//! Division of a process's memory between everything that callers and servers can make it hold.
//!
//! Bytes that the system has received for the process count like those that it has read. Each part
//! is sized for its worst case, so that all parts together stay within the memory of the host.

#[cfg(test)]
mod tests;

/// The whole memory, in the unit of the shares below.
const WHOLE: usize = 16;
/// Bodies of requests over [`SMALL_MAX_BYTES`]: nine of 4 MiB on a host with 160 MB.
const LARGE_REQUESTS: usize = 4;
/// Bodies of requests up to [`SMALL_MAX_BYTES`]: 150 of the largest, or 2,000 of 5 KB, on that host.
const SMALL_REQUESTS: usize = 1;
/// Responses and events over [`SMALL_MAX_BYTES`].
const LARGE_RESPONSES: usize = 2;
/// Responses and events up to [`SMALL_MAX_BYTES`].
const SMALL_RESPONSES: usize = 1;
/// Buffers of callers' connections: 1,525 on a host with 160 MB, 2,479 on one with 260 MB.
const CALLER_CONNECTIONS: usize = 5;
/// What callers send behind large bodies, whose connections have extended receive buffers.
const EXTENDED_BUFFERS: usize = 1;
/// The program, its tables, and its connections to the store and to other routers: 20 MB on a host
/// with 160 MB. A router before 2,400 servers needs half of it.
const PROGRAM: usize = 2;

const _: () = assert!(
    LARGE_REQUESTS
        + SMALL_REQUESTS
        + LARGE_RESPONSES
        + SMALL_RESPONSES
        + CALLER_CONNECTIONS
        + EXTENDED_BUFFERS
        + PROGRAM
        == WHOLE
);

/// Size up to which a body or response counts as small and uses the share that large ones cannot use
/// up. Requests of the known sites have up to some tens of KiB, responses under 5 KB.
pub const SMALL_MAX_BYTES: usize = 64 * 1024;

/// Factor by which the system enlarges the size that is requested for a receive buffer (`tcp(7)`).
const SYSTEM_FACTOR: usize = 2;

/// Receive buffer that is requested for a caller's connection. Its 12 KiB of payload for each round
/// trip carry a body of 256 KiB within 130 ms over a link with a round trip of 6 ms.
pub const CALLER_RECEIVE_BUFFER_BYTES: usize = 8 * 1024;
/// Buffer of a caller's connection in the process, which an unfinished header block fills.
pub const CALLER_READ_BUFFER_BYTES: usize = 16 * 1024;
/// Most bytes that a caller's connection holds by itself.
const CALLER_CONNECTION_BYTES: usize =
    CALLER_READ_BUFFER_BYTES + SYSTEM_FACTOR * CALLER_RECEIVE_BUFFER_BYTES;

/// Length of a body from which the receive buffer of its connection is extended, once the body has
/// its memory.
pub const EXTENDED_BODY_MIN_BYTES: usize = 256 * 1024;
/// Receive buffer that is requested then: a body of 4 MiB takes some 90 round trips instead of 340.
/// What a caller sends behind such a body takes at most a quarter of the memory that the body holds.
pub const EXTENDED_RECEIVE_BUFFER_BYTES: usize =
    EXTENDED_BODY_MIN_BYTES * EXTENDED_BUFFERS / LARGE_REQUESTS / SYSTEM_FACTOR;

/// Receive buffer that is requested for a connection to a server.
pub const SERVER_RECEIVE_BUFFER_BYTES: usize = 8 * 1024;
/// Most bytes that a connection to a server holds by itself: what the system has received, and one
/// read.
const SERVER_CONNECTION_BYTES: usize = 16 * 1024 + SYSTEM_FACTOR * SERVER_RECEIVE_BUFFER_BYTES;
/// Buffered bytes of a response that have room from the start. Responses of the known sites have
/// under 5 KB.
const RESERVED_RESPONSE_BYTES: usize = 16 * 1024;

/// Memory of a response of which so many bytes are buffered, together with its connection. An attempt
/// reserves that of an empty response before it is sent.
///
/// ```
/// use jujubeusher::decide::memory_plan::response_bytes;
/// assert_eq!(response_bytes(5_000), response_bytes(0));
/// assert_eq!(response_bytes(100_000), 100_000 + 32_768);
/// ```
pub fn response_bytes(buffered_bytes: usize) -> usize {
    SERVER_CONNECTION_BYTES + buffered_bytes.max(RESERVED_RESPONSE_BYTES)
}

/// How the memory of a process is divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryPlan {
    /// Bodies of requests over [`SMALL_MAX_BYTES`].
    pub large_requests_bytes: usize,
    /// Bodies of requests up to [`SMALL_MAX_BYTES`].
    pub small_requests_bytes: usize,
    /// Responses and events over [`SMALL_MAX_BYTES`].
    pub large_responses_bytes: usize,
    /// Responses and events up to [`SMALL_MAX_BYTES`].
    pub small_responses_bytes: usize,
    /// Number of callers' connections whose buffers have room.
    pub caller_connections_max: usize,
}

impl MemoryPlan {
    /// Divides the memory of a process that may use `memory_bytes`.
    ///
    /// ```
    /// use jujubeusher::decide::memory_plan::MemoryPlan;
    /// let plan = MemoryPlan::new(160_000_000);
    /// assert_eq!(plan.large_requests_bytes, 40_000_000);
    /// assert_eq!(plan.caller_connections_max, 1_525);
    /// ```
    pub fn new(memory_bytes: usize) -> Self {
        let share = |part: usize| memory_bytes / WHOLE * part;
        Self {
            large_requests_bytes: share(LARGE_REQUESTS),
            small_requests_bytes: share(SMALL_REQUESTS),
            large_responses_bytes: share(LARGE_RESPONSES),
            small_responses_bytes: share(SMALL_RESPONSES),
            caller_connections_max: share(CALLER_CONNECTIONS) / CALLER_CONNECTION_BYTES,
        }
    }
}
