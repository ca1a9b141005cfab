//! Free work in flight, which is cancelled when paying work needs its slot.

use std::sync::Arc;

use async_channel::{Receiver, Sender};
use indexmap::IndexMap;
use parking_lot::Mutex;

use crate::ids::ServerId;

#[derive(Debug, Default)]
struct State {
    next: u64,
    by_server: IndexMap<ServerId, IndexMap<u64, Sender<()>>>,
}

/// Owner of the list of free work.
#[derive(Debug, Clone, Default)]
pub struct FreeWork {
    state: Arc<Mutex<State>>,
}

impl FreeWork {
    /// No free work.
    pub fn open() -> Self {
        Self::default()
    }

    /// Lists free work on a server until the guard is dropped.
    pub fn register(&self, server: &ServerId) -> FreeGuard {
        let (sender, receiver) = async_channel::bounded(1);
        let mut state = self.state.lock();
        state.next += 1;
        let number = state.next;
        let work = state.by_server.entry(server.clone()).or_default();
        work.insert(number, sender);
        FreeGuard {
            work: self.clone(),
            server: server.clone(),
            number,
            receiver,
        }
    }

    /// Cancels the newest free work on a server, which has the least to lose; says whether
    /// there was any.
    pub fn cancel_newest(&self, server: &ServerId) -> bool {
        let mut state = self.state.lock();
        let newest = state.by_server.get_mut(server).and_then(IndexMap::pop);
        newest.is_some_and(|(_, sender)| sender.close())
    }
}

/// Listed free work.
#[derive(Debug)]
pub struct FreeGuard {
    work: FreeWork,
    server: ServerId,
    number: u64,
    receiver: Receiver<()>,
}

impl FreeGuard {
    /// Ends when the work is cancelled.
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
            // The order of the list is the order of arrival.
            work.shift_remove(&self.number);
            if work.is_empty() {
                state.by_server.swap_remove(&self.server);
            }
        }
    }
}

#[cfg(test)]
mod tests;
