//! Log configuration: one line of `key=value` pairs for each event.

mod queue;
pub mod rate;

use std::time::{SystemTime, UNIX_EPOCH};

use log::LevelFilter;

use crate::error::{Error, Result};

pub use queue::LogQueue;

fn dispatch(level: LevelFilter) -> fern::Dispatch {
    fern::Dispatch::new()
        .level(level)
        .level_for("hyper", LevelFilter::Warn)
}

/// Milliseconds since 1970 by the host's clock.
fn wall_ms() -> u128 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis())
}

/// Writes log lines of at least `level` to standard error.
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

/// Writes log lines of at least `level` to standard output through a bounded queue, so that a
/// reader which stops reading blocks nothing. Lines beyond the capacity of the queue, and beyond
/// `lines_max` per event and second, are dropped and counted.
pub fn open_queued(level: LevelFilter, lines_max: u32) -> Result<LogQueue> {
    let queue = LogQueue::spawn(std::io::stdout(), lines_max)
        .map_err(|source| Error::io("start the log thread", source))?;
    dispatch(level)
        .format(|out, message, record| {
            out.finish(format_args!(
                "time_ms={} level={} {message}",
                wall_ms(),
                record.level().as_str().to_ascii_lowercase(),
            ));
        })
        .chain(fern::Output::writer(Box::new(queue.writer()), "\n"))
        .apply()?;
    Ok(queue)
}
