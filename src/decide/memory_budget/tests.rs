use super::*;

const MEMORY_BYTES: usize = 160_000_000;
const LARGE_BYTES: usize = 4 << 20;

/// Guards against 80 callers with bodies of 4 MiB, which took 356 MB of the 160 allowed, and against
/// ordinary requests that are refused because of them.
#[test]
fn claim_many_large_bodies_stay_within_their_share_and_small_ones_pass() {
    let mut budget = MemoryBudget::new(MEMORY_BYTES);
    let crowd: Vec<_> = (0..80).map(|_| budget.open(Purpose::Request, 0)).collect();
    let held = |budget: &mut MemoryBudget, id| budget.claim(id, LARGE_BYTES, 0) == Room::Held;
    let count = crowd.iter().filter(|id| held(&mut budget, **id)).count();
    assert_eq!(count, MEMORY_BYTES / 4 / LARGE_BYTES);
    assert!(budget.used_bytes(Purpose::Request) <= MEMORY_BYTES / 4);
    let small = budget.open(Purpose::Request, 0);
    assert_eq!(budget.claim(small, SMALL_MAX_BYTES, 0), Room::Held);
    for id in crowd.into_iter().chain([small]) {
        budget.close(id, 0);
    }
    assert_eq!(budget.used_bytes(Purpose::Request), 0);
    assert!(budget.waiting.is_empty());
}

/// Guards against callers that stop just short of their end and keep all others from being read.
#[test]
fn refuse_stalled_one_without_progress_for_longest_makes_room() {
    let mut budget = MemoryBudget::new(16 << 20);
    let (slow, waiting) = (
        budget.open(Purpose::Request, 0),
        budget.open(Purpose::Request, 0),
    );
    assert_eq!(budget.claim(slow, LARGE_BYTES, 0), Room::Held);
    assert_eq!(budget.refuse_stalled(STALL_MS), [], "nobody waits");
    assert_eq!(budget.claim(waiting, LARGE_BYTES, 0), Room::Wait);
    assert!(budget.record_progress(slow, 100));
    assert_eq!(budget.refuse_stalled(99 + STALL_MS), []);
    assert_eq!(budget.refuse_stalled(100 + STALL_MS), [slow]);
    assert!(!budget.record_progress(slow, 700));
    assert!(budget.is_first_waiting(waiting) && !budget.is_first_waiting(slow));
    assert_eq!(budget.close(slow, 700), [waiting]);
    assert!(!budget.is_first_waiting(waiting));
    assert_eq!(budget.claim(waiting, LARGE_BYTES, 700), Room::Held);
}

/// Guards against bodies of unknown length that all wait for each other's room.
#[test]
fn refuse_stalled_bodies_that_wait_for_each_other_end() {
    let mut budget = MemoryBudget::new(16 << 20);
    let ids: Vec<_> = (0..4).map(|_| budget.open(Purpose::Request, 0)).collect();
    for id in &ids {
        assert_eq!(budget.claim(*id, 1 << 20, 0), Room::Held);
    }
    for id in &ids {
        assert_eq!(budget.claim(*id, 2 << 20, 1), Room::Wait);
    }
    let refused = budget.refuse_stalled(STALL_MS)[0];
    assert_eq!(budget.claim(refused, 2 << 20, STALL_MS), Room::Refused);
    assert_eq!(budget.close(refused, STALL_MS).len(), 1);
}

/// Guards against a body that is being served being refused.
#[test]
fn refuse_stalled_complete_bodies_are_kept() {
    let mut budget = MemoryBudget::new(16 << 20);
    let (done, waiting) = (
        budget.open(Purpose::Request, 0),
        budget.open(Purpose::Request, 0),
    );
    assert_eq!(budget.claim(done, LARGE_BYTES, 0), Room::Held);
    budget.complete(done, LARGE_BYTES, 0);
    assert_eq!(budget.claim(waiting, LARGE_BYTES, 0), Room::Wait);
    assert_eq!(budget.refuse_stalled(10_000), []);
}

/// Guards against a body in chunks that is refused while it waits for more room and no other body
/// waits for its room.
#[test]
fn refuse_stalled_only_one_that_waits_is_kept() {
    let mut budget = MemoryBudget::new(16 << 20);
    let (done, growing) = (
        budget.open(Purpose::Request, 0),
        budget.open(Purpose::Request, 0),
    );
    assert_eq!(budget.claim(done, 3 << 20, 0), Room::Held);
    budget.complete(done, 3 << 20, 0);
    assert_eq!(budget.claim(growing, 1 << 20, 0), Room::Held);
    assert_eq!(budget.claim(growing, 2 << 20, 0), Room::Wait);
    assert_eq!(budget.refuse_stalled(2 * STALL_MS), []);
    assert_eq!(budget.close(done, 2 * STALL_MS), [growing]);
    assert_eq!(budget.claim(growing, 2 << 20, 2 * STALL_MS), Room::Held);
}

/// Guards against a body that was refused as its last bytes came, and then keeps all stalled ones
/// from being refused for as long as it is served.
#[test]
fn refuse_stalled_goes_on_after_a_refused_body_is_complete() {
    let mut budget = MemoryBudget::new(16 << 20);
    let ids: Vec<_> = (0..3).map(|_| budget.open(Purpose::Request, 0)).collect();
    assert_eq!(budget.claim(ids[0], 2 << 20, 0), Room::Held);
    assert_eq!(budget.claim(ids[1], 2 << 20, 1), Room::Held);
    assert_eq!(budget.claim(ids[2], 2 << 20, 1), Room::Wait);
    assert_eq!(budget.refuse_stalled(STALL_MS), [ids[0]]);
    budget.complete(ids[0], 2 << 20, STALL_MS);
    assert_eq!(budget.refuse_stalled(1 + STALL_MS), [ids[1]]);
}

/// Guards against a legal body that a small host never receives.
#[test]
fn claim_single_body_larger_than_the_share_is_held() {
    let mut budget = MemoryBudget::new(1 << 20);
    let id = budget.open(Purpose::Request, 0);
    assert_eq!(budget.claim(id, LARGE_BYTES, 0), Room::Held);
}

/// Guards against 200 endless responses that together exceed the memory of a small host, and against
/// usual responses that are refused because of them or of bodies.
#[test]
fn try_hold_many_endless_responses_stay_within_the_sum() {
    let mut budget = MemoryBudget::new(MEMORY_BYTES);
    let body = budget.open(Purpose::Request, 0);
    assert_eq!(budget.claim(body, MEMORY_BYTES, 0), Room::Held);
    let ids: Vec<_> = (0..200)
        .map(|_| budget.open(Purpose::Response, 0))
        .collect();
    for size in (0..).step_by(16 * 1024).take(64) {
        for id in &ids {
            budget.try_hold(*id, size);
        }
        assert!(budget.used_bytes(Purpose::Response) <= MEMORY_BYTES * 3 / 16);
    }
    let usual = budget.open(Purpose::Response, 0);
    assert!(budget.try_hold(usual, 4_800));
    for id in ids {
        budget.close(id, 0);
    }
    assert_eq!(budget.used_bytes(Purpose::Response), 4_800);
}

#[test]
fn try_hold_less_than_before_frees_the_rest() {
    let mut budget = MemoryBudget::new(MEMORY_BYTES);
    let id = budget.open(Purpose::Response, 0);
    assert!(budget.try_hold(id, SMALL_MAX_BYTES + 1_000));
    assert!(budget.try_hold(id, 10));
    assert_eq!(budget.used_bytes(Purpose::Response), 10);
    assert!(!budget.try_hold(id, usize::MAX));
    assert_eq!(budget.used_bytes(Purpose::Response), 10);
}

/// Guards against attempts that take the room of the responses which have begun.
#[test]
fn try_reserve_leaves_room_for_responses_that_grow() {
    const RESERVED_BYTES: usize = 48 * 1024;
    let mut budget = MemoryBudget::new(MEMORY_BYTES);
    let mut reserved = Vec::new();
    loop {
        let id = budget.open(Purpose::Response, 0);
        if !budget.try_reserve(id, RESERVED_BYTES) {
            break;
        }
        reserved.push(id);
    }
    assert_eq!(reserved.len(), 2 * (MEMORY_BYTES / 16 / RESERVED_BYTES));
    let grown_bytes = MEMORY_BYTES / 16;
    assert!(budget.try_hold(reserved[0], grown_bytes));
}

/// Guards against small bodies that stop coming and keep the memory of other small ones.
#[test]
fn refuse_stalled_small_body_makes_room_for_a_small_one() {
    let mut budget = MemoryBudget::new(MEMORY_BYTES);
    let mut held = Vec::new();
    let waiting = loop {
        let id = budget.open(Purpose::Request, 0);
        match budget.claim(id, SMALL_MAX_BYTES, 0) {
            Room::Held => held.push(id),
            _ => break id,
        }
    };
    for id in &held {
        assert!(budget.record_progress(*id, STALL_MS));
    }
    assert_eq!(budget.refuse_stalled(2 * STALL_MS - 1), []);
    assert_eq!(budget.refuse_stalled(2 * STALL_MS), [held[0]]);
    assert_eq!(budget.close(held[0], 2 * STALL_MS), [waiting]);
}

/// Guards against many bodies from which nothing comes any more, and which are refused one by one
/// while ordinary callers wait.
#[test]
fn refuse_stalled_silent_bodies_make_room_for_all_that_wait() {
    let mut budget = MemoryBudget::new(MEMORY_BYTES);
    let mut held = Vec::new();
    let mut waiting = Vec::new();
    while waiting.len() < 10 {
        let id = budget.open(Purpose::Request, 0);
        match budget.claim(id, SMALL_MAX_BYTES, 0) {
            Room::Held => held.push(id),
            _ => waiting.push(id),
        }
    }
    budget.record_part(held[0], 1);
    assert_eq!(budget.refuse_stalled(STALL_MS - 1), []);
    assert_eq!(budget.refuse_stalled(STALL_MS), held[1..=10]);
    assert_eq!(budget.refuse_stalled(STALL_MS), [], "enough will be free");
    for (id, next) in held[1..=10].iter().zip(waiting) {
        assert_eq!(budget.close(*id, STALL_MS), [next]);
    }
}
