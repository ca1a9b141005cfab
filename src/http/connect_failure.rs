//! What a connection that could not be opened says of the server, if anything.

use std::io::{self, ErrorKind};

/// Why no connection to a server could be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectFailure {
    /// Nobody listens at the address: the server has ended, restarts, or takes no new connections.
    Refused,
    /// The server closed the new connection at once: it has reached its connection limit.
    ConnectionLimit,
    /// No answer: the path is cut, a packet was lost, or the queue of new connections is full.
    NoAnswer,
    /// This process or its host lacks file descriptors, ports or memory, which says nothing of the
    /// server.
    NoResources,
}

impl ConnectFailure {
    /// The failure that an error of `connect` stands for.
    ///
    /// ```
    /// use std::io;
    /// use jujubeusher::http::connect_failure::ConnectFailure;
    /// let refused = io::Error::from(io::ErrorKind::ConnectionRefused);
    /// assert_eq!(ConnectFailure::of(&refused), ConnectFailure::Refused);
    /// let no_descriptor = io::Error::from_raw_os_error(libc::EMFILE);
    /// assert_eq!(ConnectFailure::of(&no_descriptor), ConnectFailure::NoResources);
    /// ```
    pub fn of(error: &io::Error) -> Self {
        match error.kind() {
            ErrorKind::ConnectionRefused => return Self::Refused,
            ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset => {
                return Self::ConnectionLimit;
            }
            _ => {}
        }
        match error.raw_os_error() {
            // EAGAIN: no free local port, or no room in the routing cache.
            Some(
                libc::EMFILE
                | libc::ENFILE
                | libc::ENOMEM
                | libc::ENOBUFS
                | libc::EADDRNOTAVAIL
                | libc::EADDRINUSE
                | libc::EAGAIN
                | libc::EPERM
                | libc::EACCES,
            ) => Self::NoResources,
            _ => Self::NoAnswer,
        }
    }

    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::ConnectionLimit => "connection_limit",
            Self::NoAnswer => "no_answer",
            Self::NoResources => "no_resources",
        }
    }
}
