//! Entry point of `jujubeusher-ctl`.

use std::process::ExitCode;

use jujubeusher::cli;

fn main() -> ExitCode {
    cli::report_result(cli::ctl::run())
}
