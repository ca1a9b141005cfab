//! Cancels an engine's work when nobody wants it any more.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;

use crate::app::App;
use crate::http::client::Client;
use crate::ids::AttemptId;

/// Longest wait for the engine's answer to a cancel.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Cancels an attempt when it is dropped, unless it was disarmed.
///
/// An engine keeps the stream of a lost connection so that it can be resumed; without a
/// cancel it would go on with work that nobody reads.
pub struct CancelGuard {
    app: Arc<App>,
    address: SocketAddr,
    attempt: Option<AttemptId>,
}

impl CancelGuard {
    /// A guard of an attempt on an engine.
    pub fn arm(app: &Arc<App>, address: SocketAddr, attempt: &AttemptId) -> Self {
        Self {
            app: Arc::clone(app),
            address,
            attempt: Some(attempt.clone()),
        }
    }

    /// The attempt is over, or never reached the engine.
    pub fn disarm(&mut self) {
        self.attempt = None;
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        let client = Client::open(self.address, CANCEL_TIMEOUT);
        self.app.metrics.cancel();
        self.app.runtime.detach(async move {
            let path = format!("/v1/streams/{attempt}");
            // A dead engine needs no cancel, and a live one drops the stream by itself in time.
            let result = client.call(Method::DELETE, &path, Bytes::new()).await;
            if let Err(error) = result {
                log::debug!("event=cancel_failed attempt={attempt} error=\"{error}\"");
            }
        });
    }
}
