//! Runs the stand-ins that an INI file describes until SIGINT or SIGTERM.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use jujubeusher_standins::settings;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Runs stand-ins for the external systems of jujubeusher and prints their addresses.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// INI file with one section for each stand-in.
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

/// Exit code for invalid arguments or settings.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let options = options().run();
    let mut signals = match Signals::new([SIGINT, SIGTERM]) {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("error: cannot register signal handlers: {error}; check the system's limits");
            return ExitCode::FAILURE;
        }
    };
    let running = match settings::start_file(&options.file) {
        Ok(running) => running,
        Err(error) => {
            eprintln!("error: {}: {error}", options.file.display());
            return ExitCode::from(EXIT_USAGE);
        }
    };
    for (name, standin) in &running {
        println!("{name}: {}", standin.address());
    }
    println!("ready");
    signals.forever().next();
    ExitCode::SUCCESS
}
