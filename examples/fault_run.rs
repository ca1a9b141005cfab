//! Sends non-idempotent calls through router processes and fault proxies and counts calls that
//! ran twice, false run states, and wrong or truncated responses marked as complete.
//!
//! Exits with 1 unless all counts are 0.
//!
//! The router and `jujubeusher-ctl` must have been built in the same profile:
//! `cargo build --release --bins && cargo run --release --example fault_run`.

#[path = "../tests/common/mod.rs"]
mod common;

use std::process::ExitCode;

use bpaf::Bpaf;
use common::fault_run::{Plan, Report, run};
use common::once::Violations;

/// Sends non-idempotent calls under seeded faults and checks the responses against the services'
/// record of runs.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Number of calls in each run.
    #[bpaf(long, argument("N"), fallback(10_000))]
    calls: usize,
    /// Number of router processes.
    #[bpaf(long, argument("N"), fallback(3))]
    routers: usize,
    /// Number of threads that send calls concurrently.
    #[bpaf(long, argument("N"), fallback(32))]
    threads: usize,
    /// Seed of idempotency keys, request bodies and faults.
    #[bpaf(long, argument("N"), fallback(1))]
    seed: u64,
}

fn print_report(name: &str, report: &Report) {
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
    let violations = &report.violations;
    println!(
        "{name}: doubled_runs={} false_not_run={} false_ran={} wrong_answers_marked_complete={}",
        violations.duplicate_runs,
        violations.false_not_run,
        violations.false_ran,
        violations.wrong_responses,
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
    let fault_free = run(&plan);
    print_report("without faults", &fault_free);
    plan.has_faults = true;
    let faulty = run(&plan);
    print_report("with faults", &faulty);
    println!(
        "rate with faults / without: {:.3}",
        faulty.requests_per_s() / fault_free.requests_per_s()
    );
    let has_no_violations = |report: &Report| report.violations == Violations::default();
    match has_no_violations(&fault_free) && has_no_violations(&faulty) {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
