//! Command-line interface of the model.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bpaf::Bpaf;
use jujubeusher_model::fleet::Fleet;
use jujubeusher_model::report::{header, plot};
use jujubeusher_model::scenario::{FLEETS, Policy, Scenario};

/// Simulates the placement decisions of many routers over modelled engines.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Fleet to simulate: small or grown
    #[bpaf(argument("FLEET"), fallback("small".to_owned()))]
    fleet: String,
    /// Multiplier of the usual traffic between seconds 4 and 14
    #[bpaf(argument("X"), fallback(5.0))]
    burst: f64,
    /// Share of the first kind of request that uses a single prompt during that time
    #[bpaf(argument("PART"), fallback(0.2))]
    hot: f64,
    /// Seed of the random numbers
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Policy to simulate; all of them if absent
    #[bpaf(argument("POLICY"))]
    policy: Option<String>,
    /// Directory to which an SVG plot of each policy is written
    #[bpaf(argument("DIRECTORY"))]
    plots: Option<PathBuf>,
}

#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("unknown fleet {0}; use one of {FLEETS:?}")]
    Fleet(String),
    #[error("unknown policy {0}; use one of {names:?}", names = Policy::ALL.map(Policy::name))]
    Policy(String),
    #[error("cannot write {path}: {source}; choose an existing, writable directory")]
    Plot {
        path: PathBuf,
        source: std::io::Error,
    },
}

fn policies(name: Option<&str>) -> Result<Vec<Policy>, Error> {
    let Some(name) = name else {
        return Ok(Policy::ALL.to_vec());
    };
    let named = Policy::ALL.into_iter().find(|p| p.name() == name);
    named
        .map(|policy| vec![policy])
        .ok_or_else(|| Error::Policy(name.to_owned()))
}

fn write_plot(directory: &Path, name: &str, text: &str) -> Result<(), Error> {
    let path = directory.join(format!("{name}.svg"));
    std::fs::write(&path, text).map_err(|source| Error::Plot { path, source })
}

fn run(options: &Options) -> Result<ExitCode, Error> {
    let scenario = Scenario::named(&options.fleet, options.burst, options.hot)
        .ok_or_else(|| Error::Fleet(options.fleet.clone()))?;
    println!("{}", header());
    for policy in policies(options.policy.as_deref())? {
        let report = Fleet::simulate(&scenario, policy, options.seed);
        println!("{}", report.row());
        for (name, counts) in &report.kinds {
            println!(
                "  {name:<10} {:>8} {:>8} {:>8} {:>8.3}",
                counts.in_time,
                counts.late,
                counts.refused,
                counts.in_time_share()
            );
        }
        let shares = report.over_bound_share_by_second();
        let shares: Vec<String> = shares.iter().map(|s| format!("{s:.3}")).collect();
        println!("  crowded by second: {}", shares.join(" "));
        if let Some(directory) = &options.plots {
            write_plot(directory, policy.name(), &plot(&report))?;
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn main() -> ExitCode {
    run(&options().run()).unwrap_or_else(|error| {
        eprintln!("jujubeusher-model: {error}");
        ExitCode::from(2)
    })
}
