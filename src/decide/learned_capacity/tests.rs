use std::collections::VecDeque;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::*;

/// Servers without load reports, and the routers that send to them.
struct Model {
    routers: usize,
    /// Mean work of a request in ms; it is drawn from half to one and a half times that.
    work_ms: f64,
    target_ms: u64,
    slots: usize,
    places: usize,
}

/// Fleet A's plain service.
const PLAIN_A: Model = Model {
    routers: 86,
    work_ms: 30.0,
    target_ms: 150,
    slots: 6,
    places: 24,
};
/// Fleet B's plain service.
const PLAIN_B: Model = Model {
    routers: 32,
    work_ms: 15.0,
    target_ms: 120,
    ..PLAIN_A
};
const SERVERS: usize = 3;
/// Time that a request waits in its router before it is refused.
const WAIT_MS: u64 = 75;

#[derive(Debug, Default)]
struct Totals {
    arrivals: u64,
    declined: u64,
    completed: u64,
    refused: u64,
    held_back: u64,
    late: u64,
    completed_by_router: Vec<u64>,
    offered_by_router: Vec<u64>,
}

#[derive(Debug, Clone, Copy)]
struct Job {
    router: usize,
    sent_ms: u64,
    arrived_ms: u64,
    end_ms: u64,
}

#[derive(Debug, Default)]
struct ModelServer {
    running: Vec<Job>,
    waiting: VecDeque<Job>,
}

impl Model {
    /// Runs for `duration_ms` at `rates_per_s` of each router; counts from `from_ms` on. Routers
    /// select servers at random and try the others after a decline, as far as their rate allows.
    fn run<R>(&self, seed: u64, duration_ms: u64, from_ms: u64, rates_per_s: R) -> Totals
    where
        R: Fn(usize, u64) -> f64,
    {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut capacities = vec![LearnedCapacity::default(); self.routers];
        let mut queues: Vec<VecDeque<u64>> = vec![VecDeque::new(); self.routers];
        let mut servers: Vec<ModelServer> = (0..SERVERS).map(|_| ModelServer::default()).collect();
        let mut totals = Totals {
            completed_by_router: vec![0; self.routers],
            offered_by_router: vec![0; self.routers],
            ..Totals::default()
        };
        for now_ms in 0..duration_ms {
            let counts = u64::from(now_ms >= from_ms);
            for server in &mut servers {
                let ended = server.running.extract_if(.., |job| job.end_ms <= now_ms);
                for job in ended.collect::<Vec<_>>() {
                    totals.completed += counts;
                    totals.completed_by_router[job.router] += counts;
                    totals.late += counts * u64::from(now_ms - job.arrived_ms > self.target_ms);
                    let capacity = &mut capacities[job.router];
                    capacity.record_completion(now_ms - job.sent_ms, self.target_ms, now_ms);
                }
                while server.running.len() < self.slots {
                    let Some(mut job) = server.waiting.pop_front() else {
                        break;
                    };
                    let work_ms = self.work_ms * (0.5 + rng.random::<f64>());
                    job.end_ms = now_ms + work_ms.round() as u64;
                    server.running.push(job);
                }
            }
            for router in 0..self.routers {
                if rng.random::<f64>() < rates_per_s(router, now_ms) / 1_000.0 {
                    queues[router].push_back(now_ms);
                    totals.offered_by_router[router] += counts;
                }
                while queues[router]
                    .front()
                    .is_some_and(|at| at + WAIT_MS < now_ms)
                {
                    queues[router].pop_front();
                    totals.refused += counts;
                }
                while let Some(arrived_ms) = queues[router].front().copied() {
                    if capacities[router].permit(now_ms) != Permit::Granted {
                        totals.held_back += counts;
                        break;
                    }
                    queues[router].pop_front();
                    let first = rng.random_range(0..SERVERS);
                    let mut is_taken = false;
                    for attempt in 0..SERVERS {
                        let is_repeated = attempt > 0;
                        if is_repeated && capacities[router].permit(now_ms) != Permit::Granted {
                            break;
                        }
                        capacities[router].record_sent(now_ms);
                        totals.arrivals += counts;
                        let server = &mut servers[(first + attempt) % SERVERS];
                        if server.running.len() + server.waiting.len() < self.slots + self.places {
                            server.waiting.push_back(Job {
                                router,
                                sent_ms: now_ms,
                                arrived_ms,
                                end_ms: 0,
                            });
                            is_taken = true;
                            break;
                        }
                        totals.declined += counts;
                        capacities[router].record_decline(now_ms);
                    }
                    totals.refused += counts * u64::from(!is_taken);
                }
            }
        }
        totals
    }

    fn capacity_per_s(&self) -> f64 {
        (SERVERS * self.slots) as f64 / self.work_ms * 1_000.0
    }
}

/// Checks the totals of an overload of `duration_s`.
fn check_overload(model: &Model, totals: &Totals, duration_s: f64) {
    let declined = totals.declined as f64 / totals.arrivals as f64;
    let used = totals.completed as f64 / (model.capacity_per_s() * duration_s);
    let late = totals.late as f64 / totals.completed as f64;
    eprintln!("declined {declined:.4}, used {used:.3}, late {late:.3}");
    assert!(declined < 0.05, "declined {declined}");
    assert!(used > 0.9, "used {used}");
    assert!(late < 0.15, "late {late}");
}

/// Guards against routers that learn too late that servers are full, and that leave them idle, over
/// a whole burst of ten seconds that begins out of usual traffic.
#[test]
fn learned_capacity_five_times_the_traffic_declines_few() {
    for seed in 1..=5 {
        for (model, usual_per_s) in [(&PLAIN_A, 202.0), (&PLAIN_B, 274.0)] {
            let usual = usual_per_s / model.routers as f64;
            let rate = |_, now_ms| if now_ms < 3_000 { usual } else { 5.0 * usual };
            let totals = model.run(seed, 13_000, 3_000, rate);
            check_overload(model, &totals, 10.0);
        }
    }
}

/// Guards against a rate that is learned from the usual variation of run times.
#[test]
fn learned_capacity_usual_traffic_holds_nothing_back() {
    for seed in 1..=5 {
        for (model, usual_per_s) in [(&PLAIN_A, 202.0), (&PLAIN_B, 274.0)] {
            let usual = usual_per_s / model.routers as f64;
            let totals = model.run(seed, 20_000, 0, |_, _| usual);
            assert_eq!(
                (totals.held_back, totals.refused, totals.declined),
                (0, 0, 0)
            );
        }
    }
}

/// Guards against a rate that outlives the burst in which it was learned.
#[test]
fn learned_capacity_after_a_burst_holds_nothing_back() {
    for seed in 1..=5 {
        let usual = 202.0 / 86.0;
        let rate = |_, now_ms| if now_ms < 5_000 { 5.0 * usual } else { usual };
        let totals = PLAIN_A.run(seed, 15_000, 8_000, rate);
        assert_eq!((totals.refused, totals.declined), (0, 0));
        assert!(totals.held_back < 20, "held back {}", totals.held_back);
    }
}

/// Guards against a router that starts, or whose traffic rises, while the others use all capacity.
#[test]
fn learned_capacity_routers_that_come_late_get_a_share() {
    for seed in 1..=5 {
        let full = 5.0 * 202.0 / 86.0;
        let rate = |router: usize, now_ms| match router {
            // Starts in the middle of the overload.
            0..4 if now_ms < 6_000 => 0.0,
            // Has little traffic at first.
            4..8 if now_ms < 6_000 => 0.5,
            _ => full,
        };
        let totals = PLAIN_A.run(seed, 12_000, 6_500, rate);
        let share = |routers: std::ops::Range<usize>| {
            let completed = &totals.completed_by_router[routers.clone()];
            completed.iter().sum::<u64>() as f64 / routers.len() as f64
        };
        let others = share(8..86);
        let (started, quiet) = (share(0..4), share(4..8));
        eprintln!("started {started}, quiet {quiet}, others {others}");
        assert!(started > 0.6 * others && quiet > 0.6 * others);
    }
}

/// Guards against one server that always declines, by which the router would hold back what the others
/// can run.
#[test]
fn record_decline_between_completions_holds_nothing_back() {
    let mut capacity = LearnedCapacity::default();
    for now_ms in (0..10_000).step_by(20) {
        capacity.record_sent(now_ms);
        capacity.record_decline(now_ms);
        capacity.record_sent(now_ms);
        capacity.record_completion(30, 150, now_ms + 30);
    }
    assert_eq!(capacity.rate_per_s(), None);
}

/// Guards against a rate for good after declines that have another cause than load.
#[test]
fn record_decline_once_holds_nothing_back() {
    let mut capacity = LearnedCapacity::default();
    capacity.record_decline(5_000);
    assert_eq!(capacity.rate_per_s(), None);
    capacity.record_decline(6_000);
    assert_eq!(capacity.rate_per_s(), None);
    capacity.record_decline(6_100);
    assert_eq!(capacity.rate_per_s(), Some(RATE_MIN_PER_S));
}
