use super::*;

/// Guards against a router that misses or double counts the requests of others, in two groups of
/// a seed and a subscriber each.
#[test]
fn others_every_router_sees_the_whole_fleet() {
    let own: Vec<Counts> = [1, 2, 4, 8].map(|count| Counts::from([(7, count)])).into();
    // Seeds 0 and 1; 2 subscribes to 0, and 3 to 1.
    let mut seeds: Vec<FleetCounts> = (0..2).map(|_| FleetCounts::default()).collect();
    for (index, seed) in seeds.iter_mut().enumerate() {
        let subscriber = seed.open_link(Scope::Subtree);
        seed.apply(subscriber, own[index + 2].clone());
    }
    let groups = [
        seeds[0].subtree_counts(&own[0]),
        seeds[1].subtree_counts(&own[1]),
    ];
    for (index, seed) in seeds.iter_mut().enumerate() {
        let other = seed.open_link(Scope::Group);
        seed.apply(other, groups[1 - index].clone());
    }
    for (index, seed) in seeds.iter().enumerate() {
        let others = seed.others(&own[index]);
        assert_eq!(others[&7] + own[index][&7], 15);
        let mut all = others;
        *all.get_mut(&7).unwrap() += own[index][&7];
        let mut subscriber = FleetCounts::default();
        let link = subscriber.open_link(Scope::Fleet);
        subscriber.apply(link, all);
        assert_eq!(
            subscriber.others(&own[index + 2])[&7] + own[index + 2][&7],
            15
        );
    }
}

/// Guards against counting requests of a lost router, also when its last message arrives late.
#[test]
fn close_link_removes_counts_of_a_lost_router() {
    let mut fleet = FleetCounts::default();
    let link = fleet.open_link(Scope::Subtree);
    fleet.apply(link, [(7, 3)]);
    fleet.close_link(link);
    fleet.apply(link, [(7, 4)]);
    assert!(fleet.others(&Counts::new()).is_empty());
}

/// Guards against sending unchanged counts, and against counts that are never reset to 0.
#[test]
fn next_changes_returns_new_changed_and_removed_counts() {
    let mut sent = Counts::from([(1, 1), (2, 2), (3, 3)]);
    let now = Counts::from([(1, 1), (2, 5), (4, 4)]);
    assert_eq!(next_changes(&mut sent, &now, 9), [(2, 5), (4, 4), (3, 0)]);
    assert!(next_changes(&mut sent, &now, 9).is_empty());
}

/// Guards against messages that exceed the bound on control traffic: with 2,400 servers most
/// counts change in each period.
#[test]
fn next_changes_bounded_sends_the_largest_first() {
    let now: Counts = (0..2_400)
        .map(|server| (server, 1 + server as u32 % 50))
        .collect();
    let mut sent = Counts::new();
    let first = next_changes(&mut sent, &now, 300);
    assert_eq!(first.len(), 300);
    assert!(first.iter().all(|(_, count)| *count >= 44));
    (0..7).for_each(|_| _ = next_changes(&mut sent, &now, 300));
    assert_eq!(sent, now);
}

/// Guards against a router that counts too few routers: each uses its fraction of the fleet's
/// retry budget, so together they would exceed the budget.
#[test]
fn router_count_subscriber_matches_its_seed() {
    let mut seed = FleetCounts::default();
    (0..4).for_each(|_| _ = seed.open_link(Scope::Subtree));
    let other = seed.open_link(Scope::Group);
    seed.set_router_count(other, 3);
    assert_eq!((seed.subtree_router_count(), seed.router_count()), (5, 8));
    let mut subscriber = FleetCounts::default();
    let link = subscriber.open_link(Scope::Fleet);
    subscriber.set_router_count(link, seed.router_count());
    assert_eq!(subscriber.router_count(), 8);
}

/// Guards against requests that are counted twice or not at all below a router that relays: a seed,
/// a router below it, and two below that.
#[test]
fn others_router_in_the_middle_passes_on_sums_and_totals() {
    let own: Vec<Counts> = [1, 2, 4, 8].map(|count| Counts::from([(7, count)])).into();
    let mut middle = FleetCounts::default();
    for leaf in &own[2..] {
        let link = middle.open_link(Scope::Subtree);
        middle.apply(link, leaf.clone());
    }
    let mut seed = FleetCounts::default();
    let below = seed.open_link(Scope::Subtree);
    seed.apply(below, middle.subtree_counts(&own[1]));
    seed.set_router_count(below, middle.subtree_router_count());
    assert_eq!(seed.others(&own[0])[&7], 14);
    assert_eq!(seed.router_count(), 4);
    let above = middle.open_link(Scope::Fleet);
    middle.apply(above, [(7, 15)]);
    middle.set_router_count(above, seed.router_count());
    assert_eq!(middle.others(&own[1])[&7], 13);
    assert_eq!(
        (middle.subtree_router_count(), middle.router_count()),
        (3, 4)
    );
}

/// Guards against two routers with the same number, which would both use the share of one of them.
#[test]
fn index_is_unique_among_two_groups() {
    let mut roots = [FleetCounts::default(), FleetCounts::default()];
    roots.iter_mut().for_each(FleetCounts::set_root);
    let mut indexes = Vec::new();
    let subtrees = [vec![1, 3, 1], vec![2, 2]];
    let sizes: Vec<u32> = subtrees.iter().map(|s| 1 + s.iter().sum::<u32>()).collect();
    for (group, root) in roots.iter_mut().enumerate() {
        let other = root.open_link(Scope::Group);
        root.set_router_count(other, sizes[1 - group]);
        if group == 1 {
            root.set_before(other);
        }
        indexes.extend(root.index());
        for size in &subtrees[group] {
            let link = root.open_link(Scope::Subtree);
            root.set_router_count(link, *size);
        }
        let links = root.links.keys().copied().collect::<Vec<_>>();
        for (link, size) in links.into_iter().skip(1).zip(&subtrees[group]) {
            let first = root.index_below(link).unwrap();
            indexes.extend(first..first + size);
        }
    }
    indexes.sort_unstable();
    assert_eq!(indexes, (0..sizes.iter().sum()).collect::<Vec<_>>());
}

/// Guards against a router that keeps its number after the link that gave it has ended.
#[test]
fn index_ends_with_the_link_that_gave_it() {
    let mut fleet = FleetCounts::default();
    let link = fleet.open_link(Scope::Fleet);
    fleet.set_index(link, 4);
    assert_eq!(fleet.index(), Some(4));
    fleet.close_link(link);
    assert_eq!(fleet.index(), None);
}
