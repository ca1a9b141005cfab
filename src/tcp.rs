//! TCP connections whose options are set before they are opened.

use std::io;
use std::net::{IpAddr, SocketAddr};

use rustix::io::Errno;
use smol::Async;
use smol::net::TcpStream;
use socket2::{Domain, Protocol, Socket, Type};

/// Opens a connection with Nagle's algorithm disabled, from the address `from` if there is one. With
/// `receive_buffer_bytes`, a receive buffer of this size is requested from the system: one that is
/// made smaller later stalls the peer, which may already use the window of the larger one.
///
/// ```
/// use std::net::TcpListener;
/// # smol::block_on(async {
/// let listener = TcpListener::bind("127.0.0.1:0")?;
/// let address = listener.local_addr()?;
/// let stream = jujubeusher::tcp::connect(address, None, Some(8 * 1024)).await?;
/// assert_eq!(stream.peer_addr()?, address);
/// # std::io::Result::Ok(())
/// # }).unwrap();
/// ```
pub async fn connect(
    to: SocketAddr,
    from: Option<IpAddr>,
    receive_buffer_bytes: Option<usize>,
) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
    if let Some(from) = from {
        socket.bind(&SocketAddr::new(from, 0).into())?;
    }
    if let Some(bytes) = receive_buffer_bytes {
        socket.set_recv_buffer_size(bytes)?;
    }
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    match socket.connect(&to.into()) {
        Ok(()) => {}
        Err(error) if Errno::from_io_error(&error) == Some(Errno::INPROGRESS) => {}
        Err(error) => return Err(error),
    }
    let stream = Async::new(std::net::TcpStream::from(socket))?;
    stream.writable().await?;
    match stream.get_ref().take_error()? {
        None => Ok(TcpStream::from(stream)),
        Some(error) => Err(error),
    }
}
