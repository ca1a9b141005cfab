//! How even the load of the engines is at the fleets and loads of `docs/design/even-load.md`.

use jujubeusher_model::fleet::Fleet;
use jujubeusher_model::report::Report;
use jujubeusher_model::scenario::{Policy, Scenario};

/// Time of the burst of which a test simulates, which is shorter than the ten seconds of the figures:
/// the tests are debug builds.
const BURST_MS: u64 = 3_000;
/// Time before the burst, in which the engines reach their usual load.
const USUAL_MS: u64 = 2_000;
/// The platform's bound on the share of arrivals at servers over twice the mean load and 3.
const OVER_BOUND_MAX: f64 = 0.03;

fn scenario(fleet: &str, factor: f64, hot_share: f64) -> Scenario {
    let mut scenario = Scenario::named(fleet, factor, hot_share).expect("the fleet is known");
    (scenario.burst.start_ms, scenario.burst.end_ms) = (USUAL_MS, USUAL_MS + BURST_MS);
    scenario.length_ms = USUAL_MS + BURST_MS;
    scenario
}

fn simulate(scenario: &Scenario) -> Report {
    Fleet::simulate(scenario, Policy::Deployed, 1)
}

/// Guards against routers that all send to the last free slots within the delay of the counts: at five
/// times the traffic, a third of the prompts were placed away from the servers that held them, and
/// engines with 32 slots held 70 requests.
#[test]
fn heavy_load_keeps_engines_even_and_prompts_at_home() {
    for fleet in ["fotocal", "agroeb"] {
        let scenario = scenario(fleet, 5.0, 0.2);
        let report = simulate(&scenario);
        let over_bound = report.over_bound_share(USUAL_MS, USUAL_MS + BURST_MS);
        assert!(over_bound < OVER_BOUND_MAX, "{fleet}: {over_bound}");
        let missed = report.missed_share();
        assert!(missed < 0.2, "{fleet}: {missed} of the prompts missed");
        let mean = report.samples.last().map_or(0.0, |sample| sample.mean);
        let slots = f64::from(scenario.engine.slots);
        assert!(mean < 1.1 * slots, "{fleet}: mean load {mean}");
    }
}

/// Guards against a rule for busy times that refuses requests or moves prompts at usual traffic.
#[test]
fn usual_traffic_is_not_held_back() {
    for fleet in ["fotocal", "agroeb"] {
        let report = simulate(&scenario(fleet, 1.0, 0.0));
        assert_eq!(report.total().refused, 0, "{fleet}");
        let missed = report.missed_share();
        // Most of these are in the first second, in which no engine has a load yet.
        assert!(missed < 0.15, "{fleet}: {missed} of the prompts missed");
    }
}
