//! Command line of `jujubeusher-router`.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;

use crate::cli;
use crate::config::inventory::Inventory;
use crate::config::settings::RouterSettings;
use crate::error::{ConfigError, Result};
use crate::observe::logging;
use crate::router::Router;
use crate::runtime;
use crate::signals;

/// Routes callers' requests to backend servers.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// Check the files and exit; exit code 0 if they are valid, 2 if not.
    #[bpaf(long)]
    check: bool,
    /// Run without a platform, with this inventory and the platform's services in this process.
    #[bpaf(long, argument("INVENTORY"))]
    standalone: Option<PathBuf>,
    /// Settings file.
    #[bpaf(long, argument("FILE"))]
    settings: PathBuf,
}

/// Runs the router until a signal stops it.
pub fn run() -> Result<ExitCode> {
    let options = cli::parse(options());
    let settings = RouterSettings::open(&options.settings)?;
    let inventory = match &options.standalone {
        Some(path) => Some(Inventory::open(path)?),
        None => None,
    };
    if settings.platform.is_none() && inventory.is_none() {
        return Err(ConfigError {
            file: options.settings.display().to_string(),
            line: 0,
            problem: "the section [platform] is missing".to_owned(),
            remedy: "add it, or pass --standalone INVENTORY".to_owned(),
        }
        .into());
    }
    if options.check {
        return Ok(ExitCode::SUCCESS);
    }
    logging::open(settings.log_level)?;
    check_open_files(&settings);
    runtime::return_freed_memory();
    let stop = signals::install_stop_handler()?;
    let router = match inventory {
        Some(inventory) => Router::spawn_standalone(settings, inventory)?,
        None => Router::spawn(settings)?,
    };
    println!(
        "callers={} admin={}",
        router.address(),
        router.admin_address()
    );
    smol::block_on(async {
        stop.wait().await;
        router.stop().await;
    });
    Ok(ExitCode::SUCCESS)
}

/// Logs a warning if the limit on open files doesn't exceed the maximum number of caller
/// connections.
fn check_open_files(settings: &RouterSettings) {
    let connections_max = settings.limits.connections_max;
    match runtime::raise_open_file_limit() {
        Some(allowed) if allowed <= connections_max as u64 => log::warn!(
            "event=open_files_low allowed={allowed} connections_max={connections_max} remedy=\"raise the limit on open files or lower connections_max\""
        ),
        _ => {}
    }
}
