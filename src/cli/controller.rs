//! Command line of `jujubeusher-controller`.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;

use crate::cli;
use crate::config::settings::ControllerSettings;
use crate::controller::Controller;
use crate::error::Result;
use crate::observe::logging;
use crate::signals;

/// Controls the engines of a region: acquires leases and sends orders.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// Check the settings and exit; exit code 0 if they are valid, 2 if not.
    #[bpaf(long)]
    check: bool,
    /// Settings file.
    #[bpaf(long, argument("FILE"))]
    settings: PathBuf,
}

/// Runs the controller until a signal stops it.
pub fn run() -> Result<ExitCode> {
    let options = cli::parse(options());
    let settings = ControllerSettings::open(&options.settings)?;
    if options.check {
        return Ok(ExitCode::SUCCESS);
    }
    logging::open(settings.log_level)?;
    let stop = signals::install_stop_handler()?;
    let controller = Controller::spawn(settings)?;
    println!("admin={}", controller.admin_address());
    smol::block_on(async {
        stop.wait().await;
        controller.stop().await;
    });
    Ok(ExitCode::SUCCESS)
}
