use super::*;

const GRANT: Grant = Grant {
    class: Class::Paying,
    weight: 1,
};

fn id(name: &str) -> TeamId {
    TeamId::from(name)
}

/// Guards against a share that grows with the number of routers that a team reaches.
#[test]
fn level_counts_the_whole_fleet() {
    let mut shares = Shares::default();
    for _ in 0..6 {
        shares.start(&id("one-router"), GRANT, 0);
    }
    shares.start(&id("all-routers"), GRANT, 0);
    for router in ["r2", "r3", "r4", "r5", "r6"] {
        let router = RouterId::from(router);
        shares.record_peer_in_flight(&router, &id("all-routers"), GRANT, 1, 0);
    }
    let levels = ["one-router", "all-routers"].map(|team| shares.level(&id(team), 5_000));
    assert_eq!(levels, [1.0, 1.0]);
}

/// Guards against equal shares for teams whose weights differ in the inventory.
#[test]
fn level_is_by_weight() {
    let mut shares = Shares::default();
    let double = Grant { weight: 2, ..GRANT };
    shares.start(&id("single"), GRANT, 0);
    shares.start(&id("double"), double, 0);
    shares.start(&id("double"), double, 0);
    assert_eq!(shares.level(&id("single"), 5_000), 1.0);
    assert_eq!(shares.level(&id("double"), 5_000), 1.0);
}

/// Guards against use of the free tier that reduces the shares of paying teams.
#[test]
fn level_ignores_other_classes() {
    let mut shares = Shares::default();
    let free = Grant {
        class: Class::Free,
        ..GRANT
    };
    shares.start(&id("paying"), GRANT, 0);
    for _ in 0..50 {
        shares.start(&id("free"), free, 0);
    }
    assert_eq!(shares.level(&id("paying"), 5_000), 1.0);
}

/// Guards against use that is still counted after its router is lost or its team is idle.
#[test]
fn prune_removes_lost_routers_and_idle_teams() {
    let mut shares = Shares::default();
    shares.record_peer_in_flight(&RouterId::from("r2"), &id("a"), GRANT, 9, 0);
    shares.prune(|_| false, 1_000);
    assert!(shares.level(&id("a"), 1_000) > 0.0);
    shares.prune(|_| false, 200_000);
    assert_eq!(shares.in_flight().count(), 0);
}
