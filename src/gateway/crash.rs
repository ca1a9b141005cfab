//! Crashes of servers while they ran a request.

use std::io;
use std::time::Duration;

use crate::decide::part_strikes::CrashedRun;
use crate::decide::registry::Registration;
use crate::decide::strikes::Fingerprint;
use crate::gateway::quarantine::POLICY;
use crate::gateway::routed_request::RoutedRequest;
use crate::gateway::state::State;
use crate::runtime::with_timeout;

/// Longest wait for the probe's connection: servers are within a few ms, and a retry waits for it.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Records a strike if the server of a broken connection no longer listens. A server that accepts a
/// connection has only reset the other one, a path without an answer shows nothing, and a server
/// that was leaving has ended as planned.
///
/// `has_answered` tells that the server had gone on with an answer for some time, so that no part of
/// the prompt is the cause.
pub async fn check(
    state: &State,
    routed: &RoutedRequest,
    server: &Registration,
    sent_ms: u64,
    has_answered: bool,
) {
    let broken_ms = state.now_ms();
    let is_leaving = state.registration(&server.id).is_none();
    if is_leaving || !is_refused(state, server).await {
        return;
    }
    let ran_ms = broken_ms.saturating_sub(sent_ms);
    log::warn!(
        "event=crashed id={} fingerprint={} parts={} route={} server={} ran_ms={ran_ms}",
        routed.id,
        routed.fingerprint,
        join(&routed.prompt_parts),
        routed.route.name,
        server.id,
    );
    let parts = match has_answered {
        true => Vec::new(),
        false => routed.prompt_parts.clone(),
    };
    let run = CrashedRun {
        parts,
        request: routed.fingerprint,
        caller: routed.caller_hash(),
        server: server.id.clone(),
        started_ms: sent_ms,
        at_ms: broken_ms,
    };
    let status = state.strikes.record_run_crash(run, POLICY);
    state.metrics.count_strike(status);
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

/// Joins the hashes of prompt parts with commas, for logs.
fn join(parts: &[Fingerprint]) -> String {
    let parts: Vec<String> = parts.iter().map(Fingerprint::to_string).collect();
    parts.join(",")
}
