use super::*;

/// Guards against parts whose worst cases exceed the memory together.
#[test]
fn new_worst_cases_stay_within_the_memory() {
    for memory_bytes in [64_000_000, 160_000_000, 260_000_000, 512_000_000] {
        let plan = MemoryPlan::new(memory_bytes);
        let extended_bodies = plan.large_requests_bytes / EXTENDED_BODY_MIN_BYTES;
        let held_bytes = plan.large_requests_bytes
            + plan.small_requests_bytes
            + plan.large_responses_bytes
            + plan.small_responses_bytes
            + plan.caller_connections_max * CALLER_CONNECTION_BYTES
            + extended_bodies * SYSTEM_FACTOR * EXTENDED_RECEIVE_BUFFER_BYTES;
        assert!(held_bytes <= memory_bytes / WHOLE * (WHOLE - PROGRAM));
    }
}
