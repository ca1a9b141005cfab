use super::*;

/// Two groups of a seed and a subscriber each: every router has to see all four.
#[test]
fn others_every_router_sees_the_whole_fleet() {
    let own: Vec<Counts> = [1, 2, 4, 8].map(|count| Counts::from([(7, count)])).into();
    // Seeds 0 and 1; 2 subscribes to 0, and 3 to 1.
    let mut seeds: Vec<FleetCounts> = (0..2).map(|_| FleetCounts::default()).collect();
    for (index, seed) in seeds.iter_mut().enumerate() {
        let subscriber = seed.open_link(Scope::Own);
        seed.apply(subscriber, own[index + 2].clone());
    }
    let groups = [
        seeds[0].group_counts(&own[0]),
        seeds[1].group_counts(&own[1]),
    ];
    for (index, seed) in seeds.iter_mut().enumerate() {
        let other = seed.open_link(Scope::Group);
        seed.apply(other, groups[1 - index].clone());
    }
    for (index, seed) in seeds.iter().enumerate() {
        let others = seed.others(&own[index]);
        assert_eq!(others[&7] + own[index][&7], 15);
        let mut told = others;
        *told.get_mut(&7).unwrap() += own[index][&7];
        let mut subscriber = FleetCounts::default();
        let link = subscriber.open_link(Scope::Fleet);
        subscriber.apply(link, told);
        assert_eq!(
            subscriber.others(&own[index + 2])[&7] + own[index + 2][&7],
            15
        );
    }
}

#[test]
fn close_link_forgets_what_a_lost_router_had() {
    let mut fleet = FleetCounts::default();
    let link = fleet.open_link(Scope::Own);
    fleet.apply(link, [(7, 3)]);
    fleet.close_link(link);
    fleet.apply(link, [(7, 4)]);
    assert!(fleet.others(&Counts::new()).is_empty());
}

#[test]
fn next_changes_tell_what_is_new_other_or_gone() {
    let mut told = Counts::from([(1, 1), (2, 2), (3, 3)]);
    let now = Counts::from([(1, 1), (2, 5), (4, 4)]);
    assert_eq!(next_changes(&mut told, &now, 9), [(2, 5), (4, 4), (3, 0)]);
    assert!(next_changes(&mut told, &now, 9).is_empty());
}

/// The counts of 2,400 servers, most of which change in each period, passed the bound on bytes.
#[test]
fn next_changes_are_bounded_and_catch_up_with_the_largest_first() {
    let now: Counts = (0..2_400)
        .map(|server| (server, 1 + server as u32 % 50))
        .collect();
    let mut told = Counts::new();
    let first = next_changes(&mut told, &now, 300);
    assert_eq!(first.len(), 300);
    assert!(first.iter().all(|(_, count)| *count >= 44));
    (0..7).for_each(|_| _ = next_changes(&mut told, &now, 300));
    assert_eq!(told, now);
}

/// Each router spends its part of the fleet's retry budget, so one that counts too few routers
/// breaks the bound.
#[test]
fn router_count_subscriber_knows_as_many_as_its_seed() {
    let mut seed = FleetCounts::default();
    (0..4).for_each(|_| _ = seed.open_link(Scope::Own));
    let other = seed.open_link(Scope::Group);
    seed.set_router_count(other, 3);
    assert_eq!((seed.group_router_count(), seed.router_count()), (5, 8));
    let mut subscriber = FleetCounts::default();
    let link = subscriber.open_link(Scope::Fleet);
    subscriber.set_router_count(link, seed.router_count());
    assert_eq!(subscriber.router_count(), 8);
}
