use super::*;

fn routers(zone: &str, count: usize) -> Vec<(RouterId, ZoneId)> {
    let router = |i| RouterId::from(format!("{zone}-r{i}").as_str());
    (0..count)
        .map(|i| (router(i), ZoneId::from(zone)))
        .collect()
}

/// Guards against servers that no router probes, and against servers that all routers probe.
#[test]
fn probe_role_each_server_has_one_primary_and_one_secondary_of_its_zone() {
    let mut live = routers("z1", 5);
    live.extend(routers("z2", 5));
    for index in 0..100 {
        let server = ServerId::from(format!("s{index}").as_str());
        let roles: Vec<_> = live
            .iter()
            .map(|(id, zone)| (zone, probe_role(id, &server, &ZoneId::from("z1"), &live)))
            .filter(|(_, role)| *role != Role::Observer)
            .collect();
        assert_eq!(roles.len(), 2);
        assert!(roles.iter().all(|(zone, _)| zone.as_str() == "z1"));
        assert!(roles.iter().any(|(_, role)| *role == Role::Primary));
    }
}

/// Guards against a server without a primary after its primary is lost: the secondary has to take
/// over.
#[test]
fn probe_role_secondary_becomes_primary() {
    let live = routers("z1", 5);
    let (server, zone) = (ServerId::from("s1"), ZoneId::from("z1"));
    let router_with = |live: &[(RouterId, ZoneId)], expected| {
        let found = live
            .iter()
            .find(|(id, _)| probe_role(id, &server, &zone, live) == expected);
        found.expect("one router has the role").0.clone()
    };
    let (primary, secondary) = (
        router_with(&live, Role::Primary),
        router_with(&live, Role::Secondary),
    );
    let rest: Vec<_> = live.into_iter().filter(|(id, _)| *id != primary).collect();
    assert_eq!(router_with(&rest, Role::Primary), secondary);
}
