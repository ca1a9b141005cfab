use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::*;

const ENGINES: usize = 90;
const SLOTS: f64 = 32.0;
const ROUTERS: usize = 86;
/// Age of a router's view of an engine's load.
const VIEW_MS: u64 = 200;

/// Kinds of request: priority, rate at usual traffic, and time for which a slot is held. With these
/// times, five times the traffic needs 1.6 times the slots.
const KINDS: [(u32, f64, u64); 3] = [(0, 200.0, 1_400), (1, 165.0, 1_700), (2, 96.0, 3_800)];

#[derive(Debug, Clone, Copy, Default)]
struct Outcome {
    offered: f64,
    placed: f64,
    last_second_level: f64,
}

/// Runs the kinds at `factor(now_ms)` times the usual traffic; counts from `from_ms` on. A request
/// goes to the less loaded of two random engines, as seen `VIEW_MS` ago, if one is below its level.
fn run<F>(seed: u64, duration_ms: u64, from_ms: u64, factor: F) -> [Outcome; 3]
where
    F: Fn(u64) -> f64,
{
    let mut rng = StdRng::seed_from_u64(seed);
    let mut levels = vec![AdmissionLevels::default(); ROUTERS];
    let mut loads = [0.0f64; ENGINES];
    let mut views = loads;
    let mut ends: Vec<(u64, usize)> = Vec::new();
    let mut outcomes = [Outcome::default(); 3];
    for now_ms in 0..duration_ms {
        ends.retain(|(end_ms, engine)| {
            let is_over = *end_ms <= now_ms;
            loads[*engine] -= f64::from(u8::from(is_over));
            !is_over
        });
        if now_ms % VIEW_MS == 0 {
            views = loads;
        }
        for (kind, (priority, rate_per_s, run_ms)) in KINDS.into_iter().enumerate() {
            let expected = rate_per_s * factor(now_ms) / 1_000.0;
            let mut count = expected as u32;
            count += u32::from(rng.random::<f64>() < expected.fract());
            for _ in 0..count {
                let router = &mut levels[rng.random_range(0..ROUTERS)];
                let level = router.full_per_slot(priority) * SLOTS;
                let open: Vec<usize> = (0..ENGINES).filter(|e| views[*e] < level).collect();
                let mut draw = || (!open.is_empty()).then(|| open[rng.random_range(0..open.len())]);
                let drawn = [draw(), draw()].into_iter().flatten();
                let engine = drawn.min_by(|a, b| views[*a].total_cmp(&views[*b]));
                router.record(priority, engine.is_some(), now_ms);
                if let Some(engine) = engine {
                    views[engine] += 1.0;
                    loads[engine] += 1.0;
                    ends.push((now_ms + run_ms / 2 + rng.random_range(0..run_ms), engine));
                }
                if now_ms >= from_ms {
                    outcomes[kind].offered += 1.0;
                    outcomes[kind].placed += f64::from(u8::from(engine.is_some()));
                }
            }
        }
    }
    for (kind, (priority, ..)) in KINDS.into_iter().enumerate() {
        let sum: f64 = levels.iter().map(|l| l.full_per_slot(priority)).sum();
        outcomes[kind].last_second_level = sum / ROUTERS as f64;
    }
    outcomes
}

fn share(outcome: &Outcome) -> f64 {
    outcome.placed / outcome.offered
}

/// Guards against less urgent requests that are served in a larger share than more urgent ones of
/// their service, and against those that are served none.
#[test]
fn admission_levels_five_times_the_traffic_serve_the_urgent_first() {
    for seed in 1..=5 {
        let factor = |now_ms| if now_ms < 2_000 { 1.0 } else { 5.0 };
        let outcomes = run(seed, 12_000, 2_000, factor);
        let [urgent, middle, least] = outcomes.map(|outcome| share(&outcome));
        eprintln!("placed {urgent:.3}, {middle:.3}, {least:.3}");
        assert!(urgent >= middle && middle >= least);
        assert!(urgent > 0.75, "{urgent}");
        assert!(least > 0.05, "{least}");
    }
}

/// Guards against levels that hold requests back without an overload.
#[test]
fn admission_levels_usual_traffic_is_placed() {
    let outcomes = run(1, 10_000, 0, |_| 1.0);
    assert!(outcomes.iter().all(|outcome| share(outcome) == 1.0));
}

/// Guards against levels that stay low after an overload.
#[test]
fn admission_levels_return_to_the_common_one() {
    let factor = |now_ms| if now_ms < 8_000 { 5.0 } else { 1.0 };
    let outcomes = run(1, 25_000, 18_000, factor);
    for outcome in outcomes {
        assert_eq!(share(&outcome), 1.0);
        assert!(outcome.last_second_level > 0.9, "{outcome:?}");
    }
}
