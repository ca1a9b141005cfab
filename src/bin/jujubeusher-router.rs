//! Entry point of `jujubeusher-router`.

use std::process::ExitCode;

use jujubeusher::cli;

fn main() -> ExitCode {
    cli::report_result(cli::router::run())
}
