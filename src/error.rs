//! Errors of start-up, operation and commands. Each message ends with a remedy.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

use crate::edge::table::TableError;

/// An error in a settings or inventory file.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{file}:{line}: {problem}; {remedy}")]
pub struct ConfigError {
    /// Path of the file, or the object key of a stored inventory.
    pub file: String,
    /// Line of the error, counted from 1; 0 if the error concerns the whole file.
    pub line: usize,
    /// Description of the error.
    pub problem: String,
    /// Action that corrects the error.
    pub remedy: String,
}

/// Error that ends a process or command.
#[derive(Debug, Error)]
pub enum Error {
    /// A settings or inventory file is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// A listener could not be opened.
    #[error("cannot listen on {address}: {source}; choose a free address in the settings")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error from the operating system.
        source: io::Error,
    },
    /// A request to the table service failed.
    #[error(transparent)]
    Table(#[from] TableError),
    /// Logging could not be set up.
    #[error("cannot set up logging: {0}; check [log] level")]
    Log(#[from] log::SetLoggerError),
    /// Another input or output operation failed.
    #[error("cannot {action}: {source}; check that the path or address exists and is reachable")]
    Io {
        /// Operation that failed, for example `read FILE`.
        action: String,
        /// Error from the operating system.
        source: io::Error,
    },
    /// A command failed.
    #[error("{problem}; {remedy}")]
    Command {
        /// Description of the failure.
        problem: String,
        /// Action that lets the command succeed.
        remedy: String,
    },
}

impl Error {
    /// Creates an error for a failed input or output operation, which `action` describes.
    pub fn io(action: impl Into<String>, source: io::Error) -> Self {
        Self::Io {
            action: action.into(),
            source,
        }
    }

    /// Creates an error for a failed command, with a remedy.
    pub fn command(problem: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self::Command {
            problem: problem.into(),
            remedy: remedy.into(),
        }
    }
}

/// Result with [`enum@Error`] as its error type.
pub type Result<T> = std::result::Result<T, Error>;
