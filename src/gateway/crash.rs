//! Whether a server crashed while it ran a request.

use std::io;
use std::time::Duration;

use crate::decide::registry::Registration;
use crate::gateway::routed_request::RoutedRequest;
use crate::gateway::state::State;
use crate::runtime::with_timeout;

/// Longest wait for the probe's connection: servers are within a few ms, and a retry waits for it.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Records a crash if the server of a broken connection no longer listens. A server that accepts a
/// connection has only reset the other one, and a path without an answer shows nothing.
pub async fn check(state: &State, routed: &RoutedRequest, server: &Registration, sent_ms: u64) {
    if !is_refused(state, server).await {
        return;
    }
    log::warn!(
        "event=crashed id={} fingerprint={} route={} server={} ran_ms={}",
        routed.id,
        routed.fingerprint,
        routed.route.name,
        server.id,
        state.now_ms().saturating_sub(sent_ms),
    );
}

async fn is_refused(state: &State, server: &Registration) -> bool {
    match with_timeout(PROBE_TIMEOUT, state.pool.connect(server.address)).await {
        Some(Ok(connection)) => {
            state.pool.release(server.address, connection);
            false
        }
        Some(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
        None => false,
    }
}
