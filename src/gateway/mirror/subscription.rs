//! A subscriber's place in the changes of a mirror.

use std::sync::Arc;

use async_channel::Receiver;
use parking_lot::Mutex;

use crate::decide::table_position::Position;
use crate::gateway::mirror::{State, Update};

/// What a subscriber has been sent.
#[derive(Debug, Clone, Copy)]
enum Sent {
    /// Nothing yet; it has the content of this position from elsewhere.
    Nothing { known: Option<Position> },
    /// The content of the update with this number.
    Update(u64),
}

/// A subscriber of a mirror. Changes that it has not taken are merged, so that it never falls behind
/// by more than one update.
pub struct Subscription {
    state: Arc<Mutex<State>>,
    changed: Receiver<()>,
    sent: Sent,
    has_sent_unavailable: bool,
}

impl Subscription {
    /// Opens a subscription that is woken over `changed`.
    pub(super) fn open(
        state: Arc<Mutex<State>>,
        changed: Receiver<()>,
        known: Option<Position>,
    ) -> Self {
        Self {
            state,
            changed,
            sent: Sent::Nothing { known },
            has_sent_unavailable: false,
        }
    }

    /// Waits for the next update. Nothing is lost if the future is dropped.
    pub async fn next(&mut self) -> Update {
        loop {
            if let Some(update) = self.try_next() {
                return update;
            }
            // The state keeps its sender until the subscription is dropped.
            let _ = self.changed.recv().await;
        }
    }

    /// The next update, if there is one.
    pub fn try_next(&mut self) -> Option<Update> {
        let mut state = self.state.lock();
        let content = state.position.and_then(|position| match self.sent {
            Sent::Nothing { known } => Some(state.update_from(known, position)),
            Sent::Update(sent) if sent < state.update => Some(state.update_after(sent, position)),
            Sent::Update(_) => None,
        });
        if content.is_some() {
            self.sent = Sent::Update(state.update);
            self.has_sent_unavailable = false;
            return content;
        }
        let is_unavailable = state.unavailable_since_ms.is_some();
        let is_due = is_unavailable && !self.has_sent_unavailable;
        self.has_sent_unavailable = is_unavailable;
        is_due.then_some(Update::Unavailable)
    }
}
