//! Entry point of `jujubeusher-controller`.

use std::process::ExitCode;

use jujubeusher::cli;

fn main() -> ExitCode {
    cli::report_result(cli::controller::run())
}
