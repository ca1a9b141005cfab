use super::{HostListing, Membership, ROUTER_TIMING, Refutation, SERVER_TIMING};
use crate::ids::Incarnation;
use crate::peer::row::Health;

const ONE: Incarnation = Incarnation(1);
const TWO: Incarnation = Incarnation(2);

fn routers() -> Membership {
    let mut members = Membership::new(ROUTER_TIMING, Refutation::HigherIncarnation);
    members.apply_row("r", ONE, Health::Alive, 0);
    members
}

fn servers() -> Membership {
    let mut members = Membership::new(SERVER_TIMING, Refutation::DirectEvidence);
    members.apply_row("s", ONE, Health::Alive, 0);
    members
}

fn health(members: &Membership, name: &str) -> Health {
    members.get(name).expect("a member").health
}

/// Guards against a router that never becomes dead, or becomes dead before it could refute.
#[test]
fn record_failure_suspect_becomes_dead_after_the_timeout() {
    let mut members = routers();
    members.record_failure("r", 100);
    members.tick(100 + ROUTER_TIMING.suspect_timeout_ms - 1);
    assert_eq!(health(&members, "r"), Health::Suspect);
    members.tick(100 + ROUTER_TIMING.suspect_timeout_ms);
    assert_eq!(health(&members, "r"), Health::Dead);
    members.tick(100 + ROUTER_TIMING.suspect_timeout_ms + ROUTER_TIMING.retain_dead_ms);
    assert!(members.get("r").is_none());
}

/// Guards against an outdated `Alive` row that overrides a newer suspicion, whatever the order
/// of arrival.
#[test]
fn apply_row_refutes_only_by_higher_incarnation() {
    let mut members = routers();
    members.apply_row("r", ONE, Health::Suspect, 1);
    assert_eq!(members.apply_row("r", ONE, Health::Alive, 2), None);
    assert_eq!(health(&members, "r"), Health::Suspect);
    members.apply_row("r", TWO, Health::Alive, 3);
    assert_eq!(members.apply_row("r", ONE, Health::Dead, 4), None);
    assert_eq!(health(&members, "r"), Health::Alive);
}

/// Guards against new requests for a member that has announced that it leaves.
#[test]
fn mark_leaving_lasts_until_new_incarnation() {
    let mut members = servers();
    members.mark_leaving("s", 1);
    members.record_contact("s", ONE, 2);
    members.apply_row("s", ONE, Health::Alive, 3);
    members.apply_row("s", ONE, Health::Suspect, 4);
    assert_eq!(health(&members, "s"), Health::Leaving);
    members.record_contact("s", TWO, 5);
    assert_eq!(health(&members, "s"), Health::Alive);
}

/// Guards against one router with a broken network path that makes all other routers stop
/// using a server.
#[test]
fn apply_row_does_not_override_recent_contact() {
    let mut members = servers();
    members.record_contact("s", ONE, 1_000);
    assert_eq!(members.apply_row("s", ONE, Health::Dead, 1_100), None);
    let late_ms = 1_001 + SERVER_TIMING.contact_valid_ms;
    assert!(members.apply_row("s", ONE, Health::Dead, late_ms).is_some());
    members.record_contact("s", ONE, late_ms + 1);
    assert_eq!(health(&members, "s"), Health::Alive);
}

/// Guards against a peer's row that revives a server which has just failed at this router.
#[test]
fn apply_row_alive_does_not_override_own_failure() {
    let mut members = servers();
    members.record_failure("s", 1_000);
    members.apply_row("s", ONE, Health::Alive, 1_010);
    assert_eq!(health(&members, "s"), Health::Suspect);
    members.apply_row(
        "s",
        ONE,
        Health::Alive,
        1_001 + SERVER_TIMING.contact_valid_ms,
    );
    assert_eq!(health(&members, "s"), Health::Alive);
}

/// Guards against a flapping server that gets requests each time that it recovers briefly.
#[test]
fn record_failure_repeated_is_damped_as_suspect() {
    let mut members = servers();
    let mut now_ms = 0;
    for _ in 0..SERVER_TIMING.flaps_max + 2 {
        now_ms += 100;
        members.record_failure("s", now_ms);
        members.record_contact("s", ONE, now_ms + 10);
        members.tick(now_ms + 10);
        if health(&members, "s") == Health::Suspect {
            break;
        }
    }
    assert_eq!(
        health(&members, "s"),
        Health::Suspect,
        "damped after {now_ms} ms"
    );
    members.tick(now_ms + SERVER_TIMING.damping_base_ms - 1);
    assert_eq!(health(&members, "s"), Health::Suspect);
    members.tick(now_ms + SERVER_TIMING.damping_base_ms);
    assert_eq!(health(&members, "s"), Health::Alive);
}

/// Guards against an outdated host list that marks a live member as dead or revives a dead one.
#[test]
fn apply_host_listing_only_ends_a_suspicion() {
    let mut members = servers();
    assert_eq!(
        members.apply_host_listing("s", HostListing::Leaving, 1),
        None
    );
    members.record_failure("s", 2);
    assert_eq!(members.apply_host_listing("s", HostListing::Live, 3), None);
    assert!(
        members
            .apply_host_listing("s", HostListing::Leaving, 4)
            .is_some()
    );
    assert_eq!(health(&members, "s"), Health::Dead);
    assert_eq!(members.apply_host_listing("s", HostListing::Live, 5), None);
    assert_eq!(health(&members, "s"), Health::Dead);
}
