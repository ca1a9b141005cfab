//! Prints how even the load of the engines is, for the fleets and loads of
//! `docs/design/even-load.md`.

use jujubeusher_model::fleet::Fleet;
use jujubeusher_model::report::Report;
use jujubeusher_model::scenario::{Policy, Scenario};

/// Multiplier of the usual traffic, and share of the first kind with a single prompt.
const LOADS: [(f64, f64); 3] = [(1.0, 0.0), (2.5, 0.0), (5.0, 0.2)];
const SEEDS: [u64; 3] = [1, 2, 3];

fn main() {
    println!(
        "fleet    load  busiest/mean median, p90, highest  over bound, worst 5 s  missed  in time, of the worst kind, refused"
    );
    for fleet in ["fotocal", "agroeb"] {
        for (factor, hot_share) in LOADS {
            let Some(scenario) = Scenario::named(fleet, factor, hot_share) else {
                continue;
            };
            let run = |seed| Fleet::simulate(&scenario, Policy::Deployed, seed);
            let reports: Vec<Report> = SEEDS.into_iter().map(run).collect();
            let (from_ms, to_ms) = (scenario.burst.start_ms, scenario.burst.end_ms);
            let mean = |value: &dyn Fn(&Report) -> f64| {
                reports.iter().map(value).sum::<f64>() / reports.len() as f64
            };
            let quantile = |report: &Report, share: f64| {
                let ratios = report.load_ratios(from_ms, to_ms);
                let index = ratios.len().saturating_sub(1) as f64 * share;
                ratios.get(index as usize).copied().unwrap_or(0.0)
            };
            let total = |report: &Report| report.total().in_time_share();
            let refused = |r: &Report| {
                let total = r.total();
                total.refused as f64 / (total.in_time + total.late + total.refused) as f64
            };
            println!(
                "{fleet:<8} {factor:<4}  {:.2} {:.2} {:.2}  {:>6.2}% {:>6.2}%  {:>6.2}%  {:.3} {:.3} {:.3}",
                mean(&|r| quantile(r, 0.5)),
                mean(&|r| quantile(r, 0.9)),
                mean(&|r| quantile(r, 1.0)),
                mean(&|r| r.over_bound_share(from_ms, to_ms) * 100.0),
                mean(&|r| r.highest_over_bound_share() * 100.0),
                mean(&|r| r.missed_share() * 100.0),
                mean(&total),
                mean(&Report::worst_kind_share),
                mean(&refused),
            );
        }
    }
}
