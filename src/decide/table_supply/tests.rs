use super::*;

/// Shortest time within which a change has to be in force (`ApplyMs` of the small sites), and the bound
/// of the large ones.
const APPLY_MS: u64 = 2_000;
const APPLY_LARGE_MS: u64 = 4_000;
/// Longest time until a router whose relayed table is outdated asks the source.
const STANDBY_POLL_MS: u64 = 200;

/// Guards against a relay that is left only after the bound on a change is used up.
#[test]
fn choose_supply_stalled_relay_is_replaced_within_the_bounds() {
    for (hops, bound_ms) in [(1, APPLY_MS), (2, APPLY_MS), (12, APPLY_LARGE_MS)] {
        let replaced_ms = age_max_ms(hops) + 1 + STANDBY_POLL_MS;
        assert_eq!(choose_supply(age_max_ms(hops) + 1, hops), Supply::Source);
        assert!(replaced_ms < bound_ms, "{hops} hops: {replaced_ms} ms");
    }
}

/// Guards against a fleet that reads the source although its relays are sound: tables are as old as the
/// interval between two reads, and some ms more for each hop.
#[test]
fn choose_supply_table_between_two_reads_is_relayed() {
    const HOP_MS: u64 = 50;
    for hops in 1..=12 {
        let age_ms = READ_INTERVAL_MAX_MS + HOP_MS * hops as u64;
        assert_eq!(choose_supply(age_ms, hops), Supply::Relay);
    }
}

/// Guards against a storm on the source when one router stalls: those further below it wait for longer
/// than the ones directly below need to read the source and relay it.
#[test]
fn choose_supply_stall_reaches_the_routers_directly_below_first() {
    for hops in 1..12 {
        let age_ms = age_max_ms(hops) + 1;
        assert_eq!(choose_supply(age_ms, hops), Supply::Source);
        assert_eq!(choose_supply(age_ms, hops + 1), Supply::Relay);
    }
}
