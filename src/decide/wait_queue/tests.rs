use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::*;

const BYTES_MAX: usize = 1 << 20;

fn waiting(priority: u32, team: u64, arrived_ms: u64) -> Waiting {
    Waiting {
        priority,
        team,
        work: 1.0,
        bytes: 1_000,
        arrived_ms,
        latency_target_ms: 400,
        deadline_ms: arrived_ms + 5_000,
    }
}

fn pop(queue: &mut WaitQueue, now_ms: u64) -> Option<Waiting> {
    let ticket = queue.next(now_ms)?;
    let entry = queue.entries[&ticket];
    queue.place(ticket, now_ms);
    Some(entry)
}

/// Guards against a batch of less urgent requests that delays urgent ones.
#[test]
fn next_more_urgent_comes_first() {
    let mut queue = WaitQueue::new(BYTES_MAX);
    queue.push(waiting(2, 1, 0), 0, 0.0).unwrap();
    let urgent = queue.push(waiting(0, 2, 10), 10, 0.0).unwrap();
    queue.push(waiting(1, 3, 10), 10, 0.0).unwrap();
    assert_eq!(queue.next(20), Some(urgent));
}

/// Guards against strict priority, under which the less urgent wait for ever.
#[test]
fn next_less_urgent_is_offered_now_and_then() {
    let mut queue = WaitQueue::new(BYTES_MAX);
    queue.push(waiting(1, 1, 0), 0, 0.0).unwrap();
    let mut less_urgent = 0;
    for now_ms in 0..200 {
        while queue.len() < 4 {
            queue.push(waiting(0, 2, now_ms), now_ms, 0.0).unwrap();
        }
        let placed = pop(&mut queue, now_ms).unwrap();
        if placed.priority == 1 {
            less_urgent += 1;
            queue.push(waiting(1, 1, now_ms), now_ms, 0.0).unwrap();
        }
    }
    assert_eq!(less_urgent, 200 / LESS_URGENT_INTERVAL);
}

/// Guards against a turn that always goes to the second priority, under which the third waits for ever.
#[test]
fn next_each_less_urgent_priority_has_turns() {
    let mut queue = WaitQueue::new(BYTES_MAX);
    let mut placed = [0; 3];
    for now_ms in 0..240 {
        for priority in 0..3 {
            while queue
                .entries
                .values()
                .filter(|e| e.priority == priority)
                .count()
                < 2
            {
                queue
                    .push(waiting(priority, 1, now_ms), now_ms, 0.0)
                    .unwrap();
            }
        }
        placed[pop(&mut queue, now_ms).unwrap().priority as usize] += 1;
    }
    assert_eq!(placed[0], 210);
    assert!(placed[1] >= 14 && placed[2] >= 14, "{placed:?}");
}

/// Guards against fairness by requests, under which a team with large ones gets more than its share.
#[test]
fn next_teams_share_the_served_work() {
    let mut queue = WaitQueue::new(BYTES_MAX);
    let mut work = [0.0, 0.0];
    for now_ms in 0..400 {
        for (team, size) in [(0, 1.0), (1, 4.0)] {
            while queue.entries.values().filter(|e| e.team == team).count() < 2 {
                let entry = Waiting {
                    work: size,
                    ..waiting(0, team, now_ms)
                };
                queue.push(entry, now_ms, 0.0).unwrap();
            }
        }
        let placed = pop(&mut queue, now_ms).unwrap();
        work[placed.team as usize] += placed.work;
    }
    let ratio: f64 = work[0] / work[1];
    assert!((0.95..1.05).contains(&ratio), "{work:?}");
}

/// Guards against an order by arrival, under which a caller that returns with little time left waits
/// behind newer ones of its team.
#[test]
fn next_earlier_deadline_comes_first_within_a_team() {
    let mut queue = WaitQueue::new(BYTES_MAX);
    queue.push(waiting(0, 1, 0), 0, 0.0).unwrap();
    let returning = Waiting {
        deadline_ms: 2_000,
        ..waiting(0, 1, 10)
    };
    let returning = queue.push(returning, 10, 0.0).unwrap();
    assert_eq!(queue.next(20), Some(returning));
}

/// Guards against a queue in which all are late since late ones are served first.
#[test]
fn next_late_requests_come_last() {
    let mut queue = WaitQueue::new(BYTES_MAX);
    let late = queue.push(waiting(0, 1, 0), 0, 0.0).unwrap();
    let fresh = queue.push(waiting(0, 1, 450), 450, 0.0).unwrap();
    assert_eq!(queue.next(460), Some(fresh));
    queue.remove(fresh);
    assert_eq!(queue.next(460), Some(late));
}

/// Guards against holding a request that is then refused.
#[test]
fn push_refuses_what_would_wait_too_long() {
    let mut queue = WaitQueue::new(BYTES_MAX);
    // One place each 50 ms.
    (0..=40).for_each(|number| {
        let _ = queue.push(waiting(0, 1, number * 50), number * 50, 0.0);
        let _ = queue.push(waiting(0, 1, number * 50), number * 50, 0.0);
        pop(&mut queue, number * 50);
    });
    queue.entries.clear();
    let mut pauses = Vec::new();
    for number in 0..20 {
        match queue.push(waiting(0, 1, 2_000), 2_000, f64::from(number) / 20.0) {
            Ok(_) => assert!(pauses.is_empty()),
            Err(refused) => pauses.push(refused.retry_after_ms),
        }
    }
    // 20 places a second let 4 requests wait up to half the latency target.
    assert!((3..=5).contains(&queue.len()), "{} wait", queue.len());
    assert!(pauses.iter().all(|pause_ms| *pause_ms >= RETRY_MIN_MS));
    let spread = pauses.iter().max().unwrap() - pauses.iter().min().unwrap();
    assert!(spread >= 100, "{pauses:?}");
}

/// Guards against memory without a bound.
#[test]
fn push_is_bounded_in_requests_and_bytes() {
    let mut queue = WaitQueue::new(2_500);
    queue.push(waiting(0, 1, 0), 0, 0.0).unwrap();
    let second = queue.push(waiting(0, 1, 0), 0, 0.0).unwrap();
    assert!(queue.push(waiting(0, 1, 0), 0, 0.0).is_err());
    queue.remove(second);
    assert!(queue.push(waiting(0, 1, 0), 0, 0.0).is_ok());
    let mut queue = WaitQueue::new(usize::MAX);
    let pushed = (0..1_000).filter(|_| queue.push(waiting(0, 1, 0), 0, 0.0).is_ok());
    assert_eq!(pushed.count(), REQUESTS_MAX);
}

/// Share of the requests of each team that are placed, with `rates_per_s` and 20 places a second.
fn served_shares(seed: u64, rates_per_s: &[f64]) -> Vec<f64> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut queue = WaitQueue::new(BYTES_MAX);
    let mut offered = vec![0.0; rates_per_s.len()];
    let mut placed = vec![0.0; rates_per_s.len()];
    for now_ms in 0..60_000 {
        for (team, rate_per_s) in rates_per_s.iter().enumerate() {
            if rng.random::<f64>() < rate_per_s / 1_000.0 {
                offered[team] += 1.0;
                let _ = queue.push(waiting(0, team as u64, now_ms), now_ms, rng.random());
            }
        }
        let expired = queue.entries.iter().filter(|(_, e)| e.leave_ms() <= now_ms);
        let expired: Vec<Ticket> = expired.map(|(ticket, _)| *ticket).collect();
        expired
            .into_iter()
            .for_each(|ticket| _ = queue.remove(ticket));
        if now_ms % 50 == 0
            && let Some(entry) = pop(&mut queue, now_ms)
        {
            placed[entry.team as usize] += 1.0;
        }
    }
    let shares = placed.iter().zip(&offered);
    shares.map(|(placed, offered)| placed / offered).collect()
}

/// Guards against a team whose flood of requests takes the places of the others.
#[test]
fn queue_team_at_ten_times_its_traffic_does_not_harm_the_others() {
    for seed in 1..=5 {
        let mut rates_per_s = vec![2.0; 8];
        let before = served_shares(seed, &rates_per_s);
        rates_per_s[0] = 20.0;
        let after = served_shares(seed, &rates_per_s);
        let others = |shares: &[f64]| shares[1..].iter().sum::<f64>() / 7.0;
        let (before, after) = (others(&before), others(&after));
        eprintln!("served to the others {before:.3} before, {after:.3} after");
        assert!(after > before - 0.05);
    }
}
