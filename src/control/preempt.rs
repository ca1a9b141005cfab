//! Requests of free teams in flight, which are cancelled when a paying team needs the slot.

use std::sync::Arc;

use async_channel::{Receiver, Sender};
use indexmap::IndexMap;
use parking_lot::Mutex;

use crate::ids::ServerId;

#[derive(Debug, Default)]
struct State {
    last_number: u64,
    by_server: IndexMap<ServerId, IndexMap<u64, Sender<()>>>,
}

/// Registry of requests of free teams in flight, by server. Clones share the same state.
#[derive(Debug, Clone, Default)]
pub struct FreeWork {
    state: Arc<Mutex<State>>,
}

impl FreeWork {
    /// Creates an empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers a request on a server until the guard is dropped.
    pub fn register(&self, server: &ServerId) -> FreeGuard {
        let (sender, receiver) = async_channel::bounded(1);
        let mut state = self.state.lock();
        state.last_number += 1;
        let number = state.last_number;
        let work = state.by_server.entry(server.clone()).or_default();
        work.insert(number, sender);
        FreeGuard {
            work: self.clone(),
            server: server.clone(),
            number,
            receiver,
        }
    }

    /// Cancels the newest request on a server, which loses the least completed work; returns
    /// whether there was one.
    pub fn cancel_newest(&self, server: &ServerId) -> bool {
        let mut state = self.state.lock();
        let newest = state.by_server.get_mut(server).and_then(IndexMap::pop);
        newest.is_some_and(|(_, sender)| sender.close())
    }
}

/// Registration of one request; dropping it removes the request from the registry.
#[derive(Debug)]
pub struct FreeGuard {
    work: FreeWork,
    server: ServerId,
    number: u64,
    receiver: Receiver<()>,
}

impl FreeGuard {
    /// Completes when the request is cancelled.
    pub fn cancelled(&self) -> impl Future<Output = ()> + Send + 'static {
        let receiver = self.receiver.clone();
        async move {
            let _ = receiver.recv().await;
        }
    }
}

impl Drop for FreeGuard {
    fn drop(&mut self) {
        let mut state = self.work.state.lock();
        if let Some(work) = state.by_server.get_mut(&self.server) {
            // shift_remove keeps the order of arrival, on which cancel_newest depends.
            work.shift_remove(&self.number);
            if work.is_empty() {
                state.by_server.swap_remove(&self.server);
            }
        }
    }
}

#[cfg(test)]
mod tests;
