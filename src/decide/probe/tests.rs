use super::*;

fn routers(zone: &str, count: usize) -> Vec<(RouterId, ZoneId)> {
    let router = |i| RouterId::from(format!("{zone}-r{i}").as_str());
    (0..count)
        .map(|i| (router(i), ZoneId::from(zone)))
        .collect()
}

/// Guards against servers that nobody probes, and against probes by all.
#[test]
fn probe_role_each_server_has_one_first_and_one_second_of_its_zone() {
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

/// Guards against a gap when the first prober is lost: the second takes its place.
#[test]
fn probe_role_second_becomes_first() {
    let live = routers("z1", 5);
    let (server, zone) = (ServerId::from("s1"), ZoneId::from("z1"));
    let with = |live: &[(RouterId, ZoneId)], wanted| {
        let found = live
            .iter()
            .find(|(id, _)| probe_role(id, &server, &zone, live) == wanted);
        found.expect("one router has the role").0.clone()
    };
    let (first, second) = (with(&live, Role::Primary), with(&live, Role::Secondary));
    let rest: Vec<_> = live.into_iter().filter(|(id, _)| *id != first).collect();
    assert_eq!(with(&rest, Role::Primary), second);
}
