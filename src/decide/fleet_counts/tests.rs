use super::*;

/// Two groups of a seed and a subscriber each: every router has to see all four.
#[test]
fn others_every_router_sees_the_whole_fleet() {
    let own: Vec<Counts> = [1, 2, 4, 8].map(|count| Counts::from([(7, count)])).into();
    // Seeds 0 and 1; 2 subscribes to 0, and 3 to 1.
    let mut seeds: Vec<FleetCounts> = (0..2).map(|_| FleetCounts::default()).collect();
    for (index, seed) in seeds.iter_mut().enumerate() {
        let subscriber = seed.open(Scope::Own);
        seed.take(subscriber, own[index + 2].clone());
    }
    let groups = [seeds[0].group(&own[0]), seeds[1].group(&own[1])];
    for (index, seed) in seeds.iter_mut().enumerate() {
        let other = seed.open(Scope::Group);
        seed.take(other, groups[1 - index].clone());
    }
    for (index, seed) in seeds.iter().enumerate() {
        let others = seed.others(&own[index]);
        assert_eq!(others[&7] + own[index][&7], 15);
        let mut told = others;
        *told.get_mut(&7).unwrap() += own[index][&7];
        let mut subscriber = FleetCounts::default();
        let link = subscriber.open(Scope::Fleet);
        subscriber.take(link, told);
        assert_eq!(
            subscriber.others(&own[index + 2])[&7] + own[index + 2][&7],
            15
        );
    }
}

#[test]
fn close_forgets_what_a_lost_router_had() {
    let mut fleet = FleetCounts::default();
    let link = fleet.open(Scope::Own);
    fleet.take(link, [(7, 3)]);
    fleet.close(link);
    fleet.take(link, [(7, 4)]);
    assert!(fleet.others(&Counts::new()).is_empty());
}

#[test]
fn take_changes_tell_what_is_new_other_or_gone() {
    let mut told = Counts::from([(1, 1), (2, 2), (3, 3)]);
    let now = Counts::from([(1, 1), (2, 5), (4, 4)]);
    assert_eq!(take_changes(&mut told, &now, 9), [(2, 5), (4, 4), (3, 0)]);
    assert!(take_changes(&mut told, &now, 9).is_empty());
}

/// The counts of 2,400 servers, most of which change in each period, passed the bound on bytes.
#[test]
fn take_changes_are_bounded_and_catch_up_with_the_largest_first() {
    let now: Counts = (0..2_400)
        .map(|server| (server, 1 + server as u32 % 50))
        .collect();
    let mut told = Counts::new();
    let first = take_changes(&mut told, &now, 300);
    assert_eq!(first.len(), 300);
    assert!(first.iter().all(|(_, count)| *count >= 44));
    (0..7).for_each(|_| _ = take_changes(&mut told, &now, 300));
    assert_eq!(told, now);
}

/// Each router spends its part of the fleet's retry budget, so one that counts too few routers
/// breaks the bound.
#[test]
fn routers_subscriber_knows_as_many_as_its_seed() {
    let mut seed = FleetCounts::default();
    (0..4).for_each(|_| _ = seed.open(Scope::Own));
    let other = seed.open(Scope::Group);
    seed.take_routers(other, 3);
    assert_eq!((seed.group_routers(), seed.routers()), (5, 8));
    let mut subscriber = FleetCounts::default();
    let link = subscriber.open(Scope::Fleet);
    subscriber.take_routers(link, seed.routers());
    assert_eq!(subscriber.routers(), 8);
}
