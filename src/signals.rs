//! SIGTERM and SIGINT ask for a planned stop, SIGHUP for a look at the settings.

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

/// Starts to listen for the signals that ask for a stop; the returned shutdown is triggered by
/// the first one.
pub fn install_stop_handler() -> Result<Shutdown> {
    let stop = Shutdown::new();
    spawn_signal_thread(&[SIGINT, SIGTERM], stop.clone(), None)?;
    Ok(stop)
}

/// Like [`install_stop_handler`], and each SIGHUP puts a message into the channel. Without a listener SIGHUP
/// would end the process.
pub fn install_stop_and_reload_handlers() -> Result<(Shutdown, Receiver<()>)> {
    let stop = Shutdown::new();
    let (reload, reloads) = async_channel::bounded(1);
    spawn_signal_thread(&[SIGINT, SIGTERM, SIGHUP], stop.clone(), Some(reload))?;
    Ok((stop, reloads))
}

/// Waits until a reload is asked for or `poll` has passed; says whether it was asked for. Once
/// the process is stopping no more reloads come, and only the time counts.
pub async fn reload_or_timeout(reloads: &Receiver<()>, poll: Duration) -> bool {
    let asked = async {
        if reloads.recv().await.is_err() {
            std::future::pending::<()>().await;
        }
        true
    };
    let passed = async {
        smol::Timer::after(poll).await;
        false
    };
    asked.or(passed).await
}

fn spawn_signal_thread(signals: &[i32], stop: Shutdown, reload: Option<Sender<()>>) -> Result<()> {
    let mut signals =
        Signals::new(signals).map_err(|source| Error::io("listen for signals", source))?;
    let run = move || {
        for signal in signals.forever() {
            match (&reload, signal) {
                // A message that waits already stands for this signal too.
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
