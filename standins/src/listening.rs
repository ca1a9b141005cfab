//! What a stand-in does with new connections, changed while it runs.

use std::io;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use smol::net::{TcpListener, TcpStream};
use socket2::SockRef;

/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1_024;
/// Longest wait for a connection that fills the queue of a listener.
const FILL_TIMEOUT: Duration = Duration::from_millis(100);

/// What a stand-in does with new connections. Its open connections are not affected.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Listening {
    /// Accepts them.
    #[default]
    Accepting,
    /// Has closed its listener, so that they are refused.
    Refusing,
    /// Has a full queue and accepts none of it, so that they hang.
    Hanging,
}

type Change = (Listening, mpsc::Sender<()>);

/// Changes what an [`Acceptor`] does.
#[derive(Debug, Clone)]
pub struct ListeningControl(Sender<Change>);

impl ListeningControl {
    /// Changes what is done with new connections, and waits until that is in force.
    pub fn set(&self, listening: Listening) {
        let (done, is_done) = mpsc::channel();
        if self.0.try_send((listening, done)).is_ok() {
            // Fails if the stand-in has stopped, which closes its listener.
            let _ = is_done.recv();
        }
    }
}

/// Accepts connections as its control says.
#[derive(Debug)]
pub struct Acceptor {
    address: SocketAddr,
    listener: Option<TcpListener>,
    listening: Listening,
    /// Connections that fill the queue of the listener.
    fillers: Vec<std::net::TcpStream>,
    changes: Receiver<Change>,
}

impl Acceptor {
    /// Listens at `address`.
    pub fn bind(address: SocketAddr) -> io::Result<(Self, ListeningControl)> {
        let listener = std::net::TcpListener::bind(address)?;
        let listener = TcpListener::from(smol::Async::new(listener)?);
        let (sender, changes) = async_channel::unbounded();
        let acceptor = Self {
            address: listener.local_addr()?,
            listener: Some(listener),
            listening: Listening::Accepting,
            fillers: Vec::new(),
            changes,
        };
        Ok((acceptor, ListeningControl(sender)))
    }

    /// Listening address, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits for the next connection.
    pub async fn accept(&mut self) -> io::Result<TcpStream> {
        loop {
            let is_accepting = self.listening == Listening::Accepting;
            let accept = async {
                match self.listener.as_ref().filter(|_| is_accepting) {
                    Some(listener) => Ok(listener.accept().await),
                    None => std::future::pending().await,
                }
            };
            let change = async {
                match self.changes.recv().await {
                    Ok(change) => Err(change),
                    Err(_) => std::future::pending().await,
                }
            };
            match accept.or(change).await {
                Ok(accepted) => return accepted.map(|(stream, _)| stream),
                Err((listening, done)) => {
                    self.apply(listening).await;
                    let _ = done.send(());
                }
            }
        }
    }

    async fn apply(&mut self, listening: Listening) {
        self.listening = listening;
        self.fillers.clear();
        self.listener = match (listening, self.listener.take()) {
            (Listening::Refusing, _) => None,
            (_, Some(listener)) => Some(listener),
            (_, None) => TcpListener::bind(self.address).await.ok(),
        };
        let Some(listener) = &self.listener else {
            return;
        };
        let is_hanging = listening == Listening::Hanging;
        let backlog = if is_hanging { 0 } else { BACKLOG };
        if SockRef::from(listener).listen(backlog).is_ok() && is_hanging {
            let connect = || std::net::TcpStream::connect_timeout(&self.address, FILL_TIMEOUT).ok();
            let fillers = std::iter::from_fn(connect);
            self.fillers = fillers.take(BACKLOG as usize).collect();
        }
    }
}
