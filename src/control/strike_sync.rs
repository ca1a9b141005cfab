//! Publishes this router's strikes to its peers and applies theirs.

use std::sync::Arc;

use futures_lite::FutureExt;

use crate::app::App;
use crate::decide::strikes::{Fingerprint, StrikeDelta, StrikePolicy};
use crate::peer::{Delta, Scope, StrikeRow};
use crate::runtime::Shutdown;

/// Starts the tasks that exchange strikes with peers until the shutdown.
pub fn spawn(app: &Arc<App>, stop: &Shutdown) {
    let (sender, receiver) = (Arc::clone(app), Arc::clone(app));
    let (send_stop, receive_stop) = (stop.clone(), stop.clone());
    app.runtime.spawn_detached(async move {
        send(&sender).or(send_stop.wait()).await;
    });
    app.runtime.spawn_detached(async move {
        receive(&receiver).or(receive_stop.wait()).await;
    });
}

async fn send(app: &App) {
    loop {
        app.strikes.wait_for_change().await;
        let policy = app.strike_policy();
        let deltas = app.strikes.drain_outgoing(app.clock.monotonic_ms());
        let rows: Vec<Delta> = deltas.iter().map(|d| to_row(d, policy)).collect();
        if !rows.is_empty() {
            app.peers.publish_all(Scope::Fleet, rows);
        }
    }
}

async fn receive(app: &App) {
    let rows = app.peers.subscribe();
    while let Ok((_, delta)) = rows.recv().await {
        let Delta::Strike(row) = delta else {
            continue;
        };
        let policy = app.strike_policy();
        let now_ms = app.clock.monotonic_ms();
        let delta = from_row(&row, policy);
        app.strikes.apply_remote(&[delta], now_ms, policy);
    }
}

fn to_row(delta: &StrikeDelta, policy: StrikePolicy) -> Delta {
    Delta::Strike(StrikeRow {
        fingerprint: delta.fingerprint.0,
        server: delta.server.clone(),
        count: delta.count,
        remaining_ms: policy.quarantine_ms.saturating_sub(delta.age_ms),
    })
}

fn from_row(row: &StrikeRow, policy: StrikePolicy) -> StrikeDelta {
    StrikeDelta {
        fingerprint: Fingerprint(row.fingerprint),
        server: row.server.clone(),
        count: row.count,
        ran_ms: 0,
        is_proven: false,
        parts: Vec::new(),
        caller: 0,
        is_silent: false,
        age_ms: policy.quarantine_ms.saturating_sub(row.remaining_ms),
    }
}
