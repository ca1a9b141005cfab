//! A TCP socket for hyper that avoids reads which would only return `WouldBlock`.
//!
//! The usual adapter zeroes the read buffer before each read, and after each wake-up reads once
//! more only to find the socket empty. With one small event per read, both cost more than the read
//! itself.

use std::cell::RefCell;
use std::io::{self, ErrorKind, IoSlice, Read as _, Write as _};
use std::net::Shutdown;
use std::os::fd::{AsFd, AsRawFd};
use std::pin::Pin;
use std::sync::{Arc, Weak};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use hyper::rt::{Read, ReadBufCursor, Write};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::net::sockopt::set_socket_recv_buffer_size;
use smol::Async;
use smol::net::TcpStream;

/// Maximum number of bytes per read.
const BLOCK_BYTES: usize = 16 * 1024;

/// Time since the last read after which a socket is read without waiting for the reactor. A server
/// may have closed an idle connection, and hyper returns a request unsent only if it sees the end
/// of the stream before it writes.
const UNPROMPTED_READ_AFTER: Duration = Duration::from_millis(5);

thread_local! {
    /// Read buffer whose content is then copied to hyper. There is one for each thread, so that
    /// idle connections need no memory for it.
    static BLOCK: RefCell<Vec<u8>> = RefCell::new(vec![0; BLOCK_BYTES]);
}

/// A connected TCP socket that hyper reads from and writes to.
#[derive(Debug)]
pub struct Socket {
    stream: Arc<Async<std::net::TcpStream>>,
    is_read_empty: bool,
    is_write_full: bool,
    last_read: Instant,
    /// Whether the peer must have received all that was written before it ends its side.
    is_end_checked: bool,
}

impl Socket {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream: stream.into(),
            is_read_empty: false,
            is_write_full: false,
            last_read: Instant::now(),
            is_end_checked: false,
        }
    }

    /// Wraps a stream to a server, whose end is an error while bytes written to it are not
    /// acknowledged. A server that closes its connection without having read the request resets it
    /// with the bytes that follow, and may have cut its response off; one that has read the request
    /// acknowledges it at the latest with the end.
    pub fn to_server(stream: TcpStream) -> Self {
        Self {
            is_end_checked: true,
            ..Self::new(stream)
        }
    }

    /// Returns a probe of the socket, which does not keep it open.
    pub fn probe(&self) -> SocketProbe {
        SocketProbe(Arc::downgrade(&self.stream))
    }

    /// Sets whether the connection is reset, instead of closed in order, when its socket is closed,
    /// be it by the end of the process.
    pub fn set_reset_on_close(&self, is_reset: bool) {
        set_reset_on_close(&self.stream, is_reset);
    }

    /// Reads at most as many bytes as fit the cursor. Returns their number, zero at the end of the
    /// stream.
    pub fn poll_fill(
        &mut self,
        cx: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<usize>> {
        BLOCK.with_borrow_mut(|block| {
            let size = cursor.remaining().min(block.len());
            let block = &mut block[..size];
            let length = ready!(self.poll_block(cx, block))?;
            cursor.put_slice(&block[..length]);
            Poll::Ready(Ok(length))
        })
    }

    /// Calls `send` until it writes something or fails otherwise than by a full socket.
    fn poll_send<S>(&mut self, cx: &mut Context<'_>, send: S) -> Poll<io::Result<usize>>
    where
        S: Fn(&std::net::TcpStream) -> io::Result<usize>,
    {
        loop {
            if self.is_write_full {
                ready!(self.stream.poll_writable(cx))?;
                self.is_write_full = false;
            }
            match send(self.stream.get_ref()) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => self.is_write_full = true,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                written => return Poll::Ready(written),
            }
        }
    }

    /// Reads into `block`. A read that does not fill it has emptied the socket.
    fn poll_block(&mut self, cx: &mut Context<'_>, block: &mut [u8]) -> Poll<io::Result<usize>> {
        if self.is_read_empty && self.last_read.elapsed() >= UNPROMPTED_READ_AFTER {
            self.is_read_empty = false;
        }
        loop {
            if self.is_read_empty {
                ready!(self.stream.poll_readable(cx))?;
                self.is_read_empty = false;
            }
            self.last_read = Instant::now();
            match (&mut self.stream.get_ref()).read(block) {
                Ok(0) if self.is_end_checked && has_unacknowledged_bytes(&self.stream) => {
                    return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
                }
                Ok(length) => {
                    self.is_read_empty = length < block.len();
                    return Poll::Ready(Ok(length));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => self.is_read_empty = true,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

/// Whether the peer has not acknowledged all bytes that were written.
fn has_unacknowledged_bytes(stream: &Async<std::net::TcpStream>) -> bool {
    let mut bytes: libc::c_int = 0;
    // SAFETY: the descriptor is open, and TIOCOUTQ writes one integer.
    let result = unsafe { libc::ioctl(stream.as_raw_fd(), libc::TIOCOUTQ, &mut bytes) };
    result == 0 && bytes > 0
}

/// Sets whether closing the stream resets its connection, by a linger time of zero.
pub fn set_reset_on_close<S>(stream: &S, is_reset: bool)
where
    S: AsFd,
{
    let linger = is_reset.then_some(Duration::ZERO);
    if let Err(error) = rustix::net::sockopt::set_socket_linger(stream, linger) {
        log::warn!("event=socket_option_failed option=linger error=\"{error}\"");
    }
}

/// Checks whether a socket can still carry a request.
#[derive(Debug, Clone)]
pub struct SocketProbe(Weak<Async<std::net::TcpStream>>);

impl SocketProbe {
    /// A probe of a stream, which does not keep it open.
    pub fn of(stream: TcpStream) -> Self {
        let stream: Arc<Async<std::net::TcpStream>> = stream.into();
        Self(Arc::downgrade(&stream))
    }

    /// Whether the peer has closed the connection, or its sending side. This also shows an end
    /// behind bytes that have not been read.
    pub fn has_peer_closed(&self) -> bool {
        let Some(stream) = self.0.upgrade() else {
            return true;
        };
        let mut polled = [PollFd::new(&*stream, PollFlags::RDHUP)];
        let ended = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let is_polled = poll(&mut polled, Some(&Timespec::default())).is_ok();
        is_polled && polled[0].revents().intersects(ended)
    }

    /// Requests a receive buffer of this size from the system.
    pub fn set_receive_buffer(&self, bytes: usize) {
        let Some(stream) = self.0.upgrade() else {
            return;
        };
        if let Err(error) = set_socket_recv_buffer_size(&*stream, bytes) {
            log::warn!("event=socket_option_failed option=receive_buffer error=\"{error}\"");
        }
    }

    /// Whether the socket is open and has nothing to read. This makes a system call, since the
    /// server may have closed the connection without the socket's task having been woken yet.
    pub fn is_idle(&self) -> bool {
        let Some(stream) = self.0.upgrade() else {
            return false;
        };
        let peeked = stream.get_ref().peek(&mut [0]);
        peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }
}

impl Read for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        self.get_mut().poll_fill(cx, cursor).map_ok(|_| ())
    }
}

impl Write for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.get_mut()
            .poll_send(cx, |mut stream| stream.write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.get_mut()
            .poll_send(cx, |mut stream| stream.write_vectored(buffers))
    }

    /// With vectored writes hyper writes a body from its own buffer; without them it copies the whole
    /// body behind the head first, so that each request would take its body's memory twice.
    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.stream.get_ref().shutdown(Shutdown::Write))
    }
}
