//! Signal handling: SIGTERM and SIGINT trigger a planned stop, SIGHUP a reload of the settings.

#[cfg(test)]
mod tests;

use std::thread;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::error::{Error, Result};
use crate::runtime::Shutdown;

/// Handles SIGINT and SIGTERM; the first of them triggers the returned shutdown.
pub fn install_stop_handler() -> Result<Shutdown> {
    let stop = Shutdown::new();
    spawn_signal_thread(&[SIGINT, SIGTERM], stop.clone(), None)?;
    Ok(stop)
}

/// Like [`install_stop_handler`], but also handles SIGHUP, which puts a message into the returned
/// channel. Without a handler SIGHUP would terminate the process.
pub fn install_stop_and_reload_handlers() -> Result<(Shutdown, Receiver<()>)> {
    let stop = Shutdown::new();
    let (reload, reloads) = async_channel::bounded(1);
    spawn_signal_thread(&[SIGINT, SIGTERM, SIGHUP], stop.clone(), Some(reload))?;
    Ok((stop, reloads))
}

/// Waits until a reload is requested or `poll_interval` has passed. Returns whether a reload was
/// requested. Once the process is stopping, the channel is closed and the full interval passes.
pub async fn reload_or_timeout(reloads: &Receiver<()>, poll_interval: Duration) -> bool {
    let requested = async {
        if reloads.recv().await.is_err() {
            std::future::pending::<()>().await;
        }
        true
    };
    let elapsed = async {
        smol::Timer::after(poll_interval).await;
        false
    };
    requested.or(elapsed).await
}

fn spawn_signal_thread(signals: &[i32], stop: Shutdown, reload: Option<Sender<()>>) -> Result<()> {
    let mut signals =
        Signals::new(signals).map_err(|source| Error::io("listen for signals", source))?;
    let run = move || {
        for signal in signals.forever() {
            match (&reload, signal) {
                // If the channel is full, the queued message covers this signal too.
                (Some(reload), SIGHUP) => _ = reload.try_send(()),
                _ => {
                    log::info!("event=stop_asked signal={signal}");
                    stop.trigger();
                    return;
                }
            }
        }
    };
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(run)
        .map_err(|source| Error::io("start the signal thread", source))?;
    Ok(())
}
