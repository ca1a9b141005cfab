//! Addresses for programs that are started by tests.

use std::net::SocketAddr;

use rustix::net::{AddressFamily, SocketFlags, SocketType, bind, socket_with, sockopt};

/// Whether a loopback address can be bound. The socket does not listen: a process that another test
/// forks meanwhile has a copy of it until its exec, which would accept connections and keep a
/// program from binding the address.
///
/// ```
/// use std::net::TcpListener;
/// use jujubeusher_standins::address::can_bind;
/// let listener = TcpListener::bind("127.0.0.1:0").unwrap();
/// let address = listener.local_addr().unwrap();
/// assert!(!can_bind(address));
/// drop(listener);
/// assert!(can_bind(address));
/// ```
pub fn can_bind(address: SocketAddr) -> bool {
    let family = AddressFamily::INET;
    let socket = socket_with(family, SocketType::STREAM, SocketFlags::CLOEXEC, None);
    socket.is_ok_and(|socket| {
        sockopt::set_socket_reuseaddr(&socket, true).is_ok() && bind(&socket, &address).is_ok()
    })
}
