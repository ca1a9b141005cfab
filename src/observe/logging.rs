//! Log set-up: one line of key=value pairs for each event.

mod queue;

use std::time::{SystemTime, UNIX_EPOCH};

use log::LevelFilter;

use crate::error::{Error, Result};

pub use queue::LogQueue;

fn dispatch(level: LevelFilter) -> fern::Dispatch {
    fern::Dispatch::new()
        .level(level)
        .level_for("hyper", LevelFilter::Warn)
}

/// Sends log lines of at least `level` to standard error.
pub fn open(level: LevelFilter) -> Result<()> {
    dispatch(level)
        .format(|out, message, record| {
            out.finish(format_args!(
                "level={} target={} {message}",
                record.level().as_str().to_ascii_lowercase(),
                record.target(),
            ));
        })
        .chain(std::io::stderr())
        .apply()?;
    Ok(())
}

/// Sends log lines of at least `level` to standard output through a bounded queue, so that a
/// reader which stops reading holds up nothing. Lines beyond the queue are dropped and counted.
pub fn open_queued(level: LevelFilter) -> Result<LogQueue> {
    let queue = LogQueue::spawn(std::io::stdout())
        .map_err(|source| Error::io("start the log thread", source))?;
    dispatch(level)
        .format(|out, message, record| {
            let now = SystemTime::now().duration_since(UNIX_EPOCH);
            out.finish(format_args!(
                "time_ms={} level={} {message}",
                now.map_or(0, |now| now.as_millis()),
                record.level().as_str().to_ascii_lowercase(),
            ));
        })
        .chain(fern::Output::writer(Box::new(queue.writer()), "\n"))
        .apply()?;
    Ok(queue)
}
