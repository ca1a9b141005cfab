use std::sync::Arc;

use super::*;
use crate::decide::allowance::Bound;
use crate::decide::server_limit::Room;
use crate::edge::clock::HostClock;
use crate::gateway::state::RelaySettings;

const KEY: LimitKey = LimitKey(3);
/// A limit of which each seed has many units within a few ms.
const BOUND: Bound = Bound {
    rate_per_s: 3_000.0,
    window_ms: 4_000,
    most: 18_005.0,
};

fn open(own: u16, seeds: &[u16]) -> Allowances {
    let address = |port| ([127, 0, 0, 1], port).into();
    let settings = RelaySettings {
        listen: address(own),
        seeds: seeds.iter().copied().map(address).collect(),
        degree: 4,
        key: String::new(),
    };
    Allowances::new(Some(&settings), Arc::new(HostClock::open()))
}

fn ask(allowances: &Allowances) -> Room {
    allowances.room(KEY, &BOUND, 0)
}

/// Guards against demands and grants that do not pass the relay's messages, and against grants that
/// a router accepts from one below it.
#[test]
fn apply_grants_answer_demands() {
    let (seed, router) = (open(1, &[1]), open(2, &[1]));
    let below = Claimant::Below(9);
    assert_eq!(ask(&router), Room::UsedUp(None));
    let mut up = Message::default();
    add_report(&router, &mut up, Receiver::Above);
    assert_eq!(up.demands.len(), 1);
    apply(&seed, &up, Some(below));
    std::thread::sleep(std::time::Duration::from_millis(20));
    let mut down = Message::default();
    add_grants(&seed, &mut down, below);
    if down.grants.is_empty() {
        std::thread::sleep(std::time::Duration::from_millis(20));
        add_grants(&seed, &mut down, below);
    }
    assert_eq!(down.answered_report, up.report);
    apply(&router, &down, Some(Claimant::Below(1)));
    assert!(!router.take(KEY));
    apply(&router, &down, None);
    assert!(router.take(KEY));
}

/// Guards against reports that take more than 4.6 KB/s, of the 13 KB/s that a router may use for control
/// traffic, while all servers of the larger fleet name a limit.
#[test]
fn add_report_all_servers_limited_stays_small() {
    const PER_S: usize = 5;
    const BYTES_PER_S_MAX: usize = 4_600;
    let router = open(2, &[1]);
    for key in 0..90 {
        let key = LimitKey(u64::MAX - key);
        (0..40).for_each(|_| _ = router.room(key, &crate::decide::server_limit::bound(25.0), 0));
    }
    let mut message = Message::default();
    add_report(&router, &mut message, Receiver::Above);
    let bytes = prost::Message::encoded_len(&message);
    assert!(bytes * PER_S <= BYTES_PER_S_MAX, "{bytes}");
}

/// Guards against larger messages of routers without a divided limit.
#[test]
fn add_report_without_demand_adds_nothing() {
    let (seed, router) = (open(1, &[1]), open(2, &[1]));
    let mut message = Message::default();
    add_report(&router, &mut message, Receiver::Above);
    add_grants(&seed, &mut message, Claimant::Below(9));
    assert_eq!(message, Message::default());
}

/// Guards against a seed that mints the parts of all, and a router without seeds that has none.
#[test]
fn open_rate_is_divided_by_the_number_of_seeds() {
    let next_ms = |allowances: &Allowances| {
        let slow = Bound {
            rate_per_s: 1.0,
            window_ms: 4_000,
            most: 11.0,
        };
        match allowances.room(KEY, &slow, 0) {
            Room::UsedUp(next_ms) => next_ms.unwrap(),
            Room::Free => 0,
        }
    };
    for (seeds, expected_ms) in [(vec![], 1_000), (vec![1], 1_000), (vec![1, 2, 3], 3_000)] {
        let next_ms = next_ms(&open(1, &seeds));
        assert!(next_ms.abs_diff(expected_ms) <= 100, "{seeds:?}: {next_ms}");
    }
}
