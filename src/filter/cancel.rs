//! Cancels an engine's work when its result is no longer needed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;

use crate::app::App;
use crate::http::client::Client;
use crate::ids::AttemptId;

/// Longest wait for the engine's response to a cancel request.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends a cancel request for an attempt when dropped, unless it was disarmed.
///
/// An engine keeps the stream of a lost connection so that it can be resumed. Without a cancel
/// request it would continue to generate output that nobody reads.
pub struct CancelGuard {
    app: Arc<App>,
    address: SocketAddr,
    attempt: Option<AttemptId>,
}

impl CancelGuard {
    /// Creates the guard of an attempt on an engine.
    pub fn arm(app: &Arc<App>, address: SocketAddr, attempt: &AttemptId) -> Self {
        Self {
            app: Arc::clone(app),
            address,
            attempt: Some(attempt.clone()),
        }
    }

    /// Prevents the cancel request; called when the attempt has ended or was never sent.
    pub fn disarm(&mut self) {
        self.attempt = None;
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        let client = Client::new(self.address, CANCEL_TIMEOUT);
        self.app.metrics.count_cancel();
        self.app.runtime.spawn_detached(async move {
            let path = format!("/v1/streams/{attempt}");
            // A failure is harmless: a dead engine has nothing to cancel, and a live one drops
            // the stream after a time by itself.
            let result = client.call(Method::DELETE, &path, Bytes::new()).await;
            if let Err(error) = result {
                log::debug!("event=cancel_failed attempt={attempt} error=\"{error}\"");
            }
        });
    }
}
