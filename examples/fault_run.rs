//! Sends non-idempotent calls through router processes and fault proxies and counts doubled
//! runs, false run states and cut answers; exits with 1 unless all are 0.
//!
//! The router and `jujubeusher-ctl` must have been built in the same profile:
//! `cargo build --release --bins && cargo run --release --example fault_run`.

#[path = "../tests/common/mod.rs"]
mod common;

use std::process::ExitCode;

use bpaf::Bpaf;
use common::fault_run::{Plan, Report, run};
use common::once::Violations;

/// Runs non-idempotent calls with seeded faults and checks them against the record of runs.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Calls.
    #[bpaf(long, argument("N"), fallback(10_000))]
    calls: usize,
    /// Router processes.
    #[bpaf(long, argument("N"), fallback(3))]
    routers: usize,
    /// Calls at once.
    #[bpaf(long, argument("N"), fallback(32))]
    threads: usize,
    /// Seed of keys and faults.
    #[bpaf(long, argument("N"), fallback(1))]
    seed: u64,
}

fn print(name: &str, report: &Report) {
    println!(
        "{name}: requests={} keys={} runs={} ran={} unknown={} not_run={} no_answer={} \
         rate_per_s={:.0}",
        report.requests,
        report.keys,
        report.runs,
        report.ran,
        report.unknown,
        report.not_run,
        report.no_response,
        report.requests_per_s(),
    );
    let found = &report.violations;
    println!(
        "{name}: doubled_runs={} false_not_run={} false_ran={} wrong_answers_marked_complete={}",
        found.duplicate_runs, found.false_not_run, found.false_ran, found.wrong_responses,
    );
}

fn main() -> ExitCode {
    let options = options().run();
    let mut plan = Plan {
        calls: options.calls,
        routers: options.routers,
        seed: options.seed,
        threads: options.threads,
        has_faults: false,
    };
    let clean = run(&plan);
    print("without faults", &clean);
    plan.has_faults = true;
    let faulty = run(&plan);
    print("with faults", &faulty);
    println!(
        "rate with faults / without: {:.3}",
        faulty.requests_per_s() / clean.requests_per_s()
    );
    let is_clean = |report: &Report| report.violations == Violations::default();
    match is_clean(&clean) && is_clean(&faulty) {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
