//! Command lines of the binaries.

pub mod change;
pub mod controller;
pub mod ctl;
pub mod router;

use std::process::ExitCode;

use bpaf::{Args, OptionParser, ParseFailure};

use crate::error::{Error, Result};

/// Exit code for wrong usage or settings.
pub const EXIT_USAGE: u8 = 2;

/// Columns of help and usage messages.
const MESSAGE_COLUMNS: usize = 100;

/// Reads the command line; prints help, version or what is wrong with it, and then ends the
/// process: with 0 after help or version, with [`EXIT_USAGE`] after wrong usage.
pub fn parse<T>(parser: OptionParser<T>) -> T {
    match parser.run_inner(Args::current_args()) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(MESSAGE_COLUMNS);
            let code = match failure {
                ParseFailure::Stderr(_) => EXIT_USAGE,
                ParseFailure::Stdout(..) | ParseFailure::Completion(_) => 0,
            };
            std::process::exit(code.into())
        }
    }
}

/// Prints a failure and picks the exit code: 2 for settings, 1 for all else.
pub fn report_result(result: Result<ExitCode>) -> ExitCode {
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("error: {error}");
            match error {
                Error::Config(_) => ExitCode::from(EXIT_USAGE),
                _ => ExitCode::FAILURE,
            }
        }
    }
}
