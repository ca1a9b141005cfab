//! A stream whose first write requires a permission, and which records whether a byte may have been
//! written.

#[cfg(test)]
mod tests;

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use futures_lite::{AsyncRead, AsyncWrite};

#[derive(Debug)]
enum Permission<P> {
    Pending(P),
    Granted,
    Denied,
}

/// Records whether a byte may have been written to a [`GuardedStream`]. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct FirstByte(Arc<AtomicBool>);

impl FirstByte {
    /// Whether a byte may have been written.
    pub fn is_written(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// A stream whose first write requires the permission of a callback.
///
/// The callback runs in the same poll that passes the first byte to the socket. A process that was
/// paused at any earlier point therefore still requests the permission after it continues.
#[derive(Debug)]
pub struct GuardedStream<S, P> {
    stream: S,
    permission: Permission<P>,
    first_byte: FirstByte,
}

impl<S, P> GuardedStream<S, P>
where
    P: FnOnce() -> bool,
{
    /// Wraps a stream to which nothing has been written. `permit` runs at most once; if it returns
    /// false, all writes fail.
    pub fn new(stream: S, permit: P) -> (Self, FirstByte) {
        let first_byte = FirstByte::default();
        let guarded = Self {
            stream,
            permission: Permission::Pending(permit),
            first_byte: first_byte.clone(),
        };
        (guarded, first_byte)
    }

    fn check_permission(&mut self) -> io::Result<()> {
        let is_allowed = match std::mem::replace(&mut self.permission, Permission::Denied) {
            Permission::Pending(permit) => permit(),
            Permission::Granted => true,
            Permission::Denied => false,
        };
        if !is_allowed {
            return Err(io::Error::other("the first byte is no longer allowed"));
        }
        self.first_byte.0.store(true, Ordering::SeqCst);
        self.permission = Permission::Granted;
        Ok(())
    }
}

impl<S, P> AsyncRead for GuardedStream<S, P>
where
    S: AsyncRead + Unpin,
    P: Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl<S, P> AsyncWrite for GuardedStream<S, P>
where
    S: AsyncWrite + Unpin,
    P: FnOnce() -> bool + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_permission()?;
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
