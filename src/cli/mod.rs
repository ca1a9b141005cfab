//! Command lines of the binaries.

pub mod change;
pub mod controller;
pub mod ctl;
pub mod router;

use std::process::ExitCode;

use bpaf::{Args, OptionParser, ParseFailure};

use crate::error::{Error, Result};

/// Exit code for invalid arguments, settings or inventories.
pub const EXIT_USAGE: u8 = 2;

/// Line width of help and usage messages.
const MESSAGE_COLUMNS: usize = 100;

/// Parses the command line. If it asks for help or the version, or is invalid, prints the message
/// and exits: with 0 after help or the version, with [`EXIT_USAGE`] after invalid arguments.
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

/// Prints the error of a failed run on standard error and returns the exit code: [`EXIT_USAGE`] for
/// an invalid settings or inventory file, 1 for any other error.
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
