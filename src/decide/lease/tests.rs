use rand::SeedableRng;
use rand::rngs::StdRng;

use super::*;

const TIMES: LeaseTimes = LeaseTimes {
    duration_ms: 3_000,
    renew_ms: 1_000,
    drift_ms: 100,
};

/// A table row with the compare-and-set of the platform's table.
#[derive(Debug, Default)]
struct Row(Option<(Lease, u64)>);

impl Row {
    fn write(&mut self, write: LeaseWrite) -> Event {
        let version = self.0.as_ref().map_or(0, |(_, version)| *version);
        let holds = match write.condition {
            Condition::Absent => version == 0,
            Condition::Version(expected) => version == expected,
            Condition::Any => true,
        };
        if !holds {
            return Event::Row(self.0.clone());
        }
        self.0 = Some((write.lease, version + 1));
        Event::Written(version + 1)
    }
}

fn acquire(row: &mut Row, machine: &mut LeaseMachine, now_ms: u64) -> Option<Change> {
    let mut random = StdRng::seed_from_u64(now_ms);
    machine.handle(Event::Row(row.0.clone()), now_ms);
    let write = machine.due_write(now_ms, &mut random)?;
    let event = row.write(write);
    machine.handle(event, now_ms)
}

/// Guards against a takeover while the holder may still use the lease.
#[test]
fn due_write_contender_waits_for_the_lease_to_expire() {
    let mut row = Row::default();
    let mut a = LeaseMachine::new("a", TIMES);
    let mut b = LeaseMachine::new("b", TIMES);
    assert_eq!(
        acquire(&mut row, &mut a, 0),
        Some(Change::Acquired(FencingNumber(1)))
    );
    assert_eq!(acquire(&mut row, &mut b, 10), None);
    assert_eq!(acquire(&mut row, &mut b, 3_109), None);
    assert_eq!(a.fencing(3_000, 0), None);
    assert_eq!(
        acquire(&mut row, &mut b, 3_110),
        Some(Change::Acquired(FencingNumber(2)))
    );
}

/// Guards against a holder that is suspended past the end of its lease and then continues to
/// use it.
#[test]
fn fencing_suspended_holder_finds_its_lease_expired() {
    let mut row = Row::default();
    let mut a = LeaseMachine::new("a", TIMES);
    acquire(&mut row, &mut a, 0);
    let mut random = StdRng::seed_from_u64(1);
    assert_eq!(a.fencing(60_000, 0), None);
    assert!(
        a.due_write(60_000, &mut random).is_none(),
        "no late renewal"
    );
    assert_eq!(a.expire(60_000), Some(Change::Lost));
}

/// Guards against measuring a lease from the response to its write, which may be delayed.
#[test]
fn handle_written_lease_counts_from_the_send() {
    let mut a = LeaseMachine::new("a", TIMES);
    let mut random = StdRng::seed_from_u64(1);
    a.handle(Event::Row(None), 0);
    a.due_write(0, &mut random).expect("the lease is free");
    a.handle(Event::Written(1), 2_900);
    assert!(a.fencing(2_999, 0).is_some());
    assert!(a.fencing(3_000, 0).is_none());
}

/// Guards against losing a lease, or acquiring it twice, when the response to its write was
/// lost.
#[test]
fn handle_row_after_lost_response_shows_the_write() {
    let mut row = Row::default();
    let mut a = LeaseMachine::new("a", TIMES);
    let mut random = StdRng::seed_from_u64(1);
    a.handle(Event::Row(None), 0);
    let write = a.due_write(0, &mut random).expect("the lease is free");
    row.write(write);
    a.handle(Event::ResponseLost, 500);
    assert!(a.due_write(500, &mut random).is_none(), "read first");
    let change = a.handle(Event::Row(row.0.clone()), 600);
    assert_eq!(change, Some(Change::Acquired(FencingNumber(1))));
    assert!(a.fencing(2_999, 0).is_some());
    assert!(a.fencing(3_000, 0).is_none());
}

/// Guards against two holders after a write that never reached the table.
#[test]
fn handle_row_after_lost_response_of_a_failed_write_gives_no_lease() {
    let mut a = LeaseMachine::new("a", TIMES);
    let mut random = StdRng::seed_from_u64(1);
    a.handle(Event::Row(None), 0);
    a.due_write(0, &mut random).expect("the lease is free");
    a.handle(Event::ResponseLost, 500);
    assert_eq!(a.handle(Event::Row(None), 600), None);
    assert_eq!(a.fencing(601, 0), None);
}

/// Guards against a renewal that changes the fencing number and a new holder that reuses it.
#[test]
fn due_write_renewal_keeps_the_number_and_release_frees_at_once() {
    let mut row = Row::default();
    let mut a = LeaseMachine::new("a", TIMES);
    let mut b = LeaseMachine::new("b", TIMES);
    acquire(&mut row, &mut a, 0);
    assert_eq!(
        acquire(&mut row, &mut a, 1_000),
        None,
        "a renewal is no change"
    );
    assert_eq!(a.fencing(3_500, 0), Some(FencingNumber(1)));
    let mut random = StdRng::seed_from_u64(1);
    let release = a.release(1_500, &mut random).expect("a holds the lease");
    let event = row.write(release);
    assert_eq!(a.handle(event, 1_500), Some(Change::Lost));
    assert_eq!(
        acquire(&mut row, &mut b, 1_600),
        Some(Change::Acquired(FencingNumber(2)))
    );
}

/// Guards against two processes that hold the lease at the same time, over many interleavings
/// of suspensions, lost responses and outages.
#[test]
fn fencing_never_two_holders() {
    let mut random = StdRng::seed_from_u64(42);
    let mut row = Row::default();
    let mut machines: Vec<_> = ["a", "b", "c"]
        .iter()
        .map(|name| LeaseMachine::new(name, TIMES))
        .collect();
    let mut paused_until_ms = [0u64; 3];
    let mut takeovers = 0;
    for now_ms in (0..600_000).step_by(50) {
        for index in 0..machines.len() {
            if now_ms < paused_until_ms[index] {
                continue;
            }
            if random.random_bool(0.005) {
                paused_until_ms[index] = now_ms + random.random_range(100..8_000);
                continue;
            }
            let machine = &mut machines[index];
            machine.expire(now_ms);
            let mut changes = vec![machine.handle(Event::Row(row.0.clone()), now_ms)];
            if let Some(write) = machine.due_write(now_ms, &mut random) {
                let event = match random.random_range(0..10) {
                    0 => Event::Unavailable,
                    1 => {
                        row.write(write);
                        Event::ResponseLost
                    }
                    _ => row.write(write),
                };
                changes.push(machine.handle(event, now_ms));
            }
            takeovers += changes
                .iter()
                .filter(|change| matches!(change, Some(Change::Acquired(_))))
                .count();
        }
        let active = machines.iter().filter(|m| m.fencing(now_ms, 0).is_some());
        assert!(active.count() <= 1, "two holders at {now_ms} ms");
    }
    assert!(takeovers > 20, "the run must take over often: {takeovers}");
}
