use std::net::Ipv4Addr;

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};

use super::*;

const SEED_COUNT: usize = 3;
const ZONE_COUNT: usize = 5;
const DEGREE: usize = 12;

fn address(number: usize) -> SocketAddr {
    let [_, _, high, low] = (number as u32).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), 7_340))
}

fn zone(number: usize) -> ZoneId {
    ZoneId::from(format!("z{}", number % ZONE_COUNT).as_str())
}

fn subscriber(number: usize, is_insisting: bool) -> Subscriber {
    Subscriber {
        address: Some(address(number)),
        zone: zone(number),
        degree: DEGREE,
        is_insisting,
    }
}

/// A fleet whose routers join through the seeds and follow redirects; links are numbered by the
/// subscriber.
struct Fleet {
    trees: Vec<Option<RelayTree>>,
    parents: Vec<Option<usize>>,
    rng: StdRng,
    /// Subscription attempts that each router has received.
    attempts: Vec<usize>,
}

impl Fleet {
    fn start(count: usize, seed: u64) -> Self {
        let mut fleet = Self {
            trees: (0..count).map(|_| None).collect(),
            parents: vec![None; count],
            rng: StdRng::seed_from_u64(seed),
            attempts: vec![0; count],
        };
        (0..count).for_each(|router| fleet.start_router(router));
        fleet
    }

    fn start_router(&mut self, router: usize) {
        self.trees[router] = Some(RelayTree::new(address(router), zone(router), DEGREE));
        if router >= SEED_COUNT {
            return;
        }
        for other in (0..SEED_COUNT).filter(|other| *other != router) {
            if let Some(tree) = &mut self.trees[other] {
                tree.add_seed(router as u64, address(router), zone(router));
                let tree = self.trees[router].as_mut().unwrap();
                tree.add_seed(other as u64, address(other), zone(other));
            }
        }
    }

    fn stop_router(&mut self, router: usize) {
        self.trees[router] = None;
        for other in self.trees.iter_mut().flatten() {
            other.remove_link(router as u64);
        }
        self.parents[router] = None;
        for child in 0..self.parents.len() {
            if self.parents[child] == Some(router) {
                self.leave(child);
            }
        }
    }

    fn leave(&mut self, router: usize) {
        if let Some(parent) = self.parents[router].take()
            && let Some(tree) = &mut self.trees[parent]
        {
            tree.remove_link(router as u64);
        }
        if let Some(tree) = &mut self.trees[router] {
            tree.clear_parents();
        }
    }

    fn number(&self, wanted: SocketAddr) -> usize {
        (0..self.trees.len())
            .find(|number| address(*number) == wanted)
            .unwrap()
    }

    /// Asks one router; returns the routers to try instead, or none if it accepted.
    fn ask(&mut self, router: usize, target: usize, is_insisting: bool) -> Option<Vec<usize>> {
        self.attempts[target] += 1;
        let order = self.rng.random();
        let Some(tree) = &mut self.trees[target] else {
            return Some(Vec::new());
        };
        let subscriber = subscriber(router, is_insisting);
        match tree.admit(&subscriber, order) {
            Admission::Accept => {
                let path = tree.path();
                tree.add_child(router as u64, subscriber);
                let is_valid = self.trees[router].as_mut().unwrap().set_parents(path);
                assert!(is_valid, "an accepted router closes a cycle");
                self.parents[router] = Some(target);
                None
            }
            Admission::Redirect(candidates) => {
                Some(candidates.into_iter().map(|a| self.number(a)).collect())
            }
            Admission::Refuse => Some(Vec::new()),
        }
    }

    fn join(&mut self, router: usize) -> bool {
        let mut seeds: Vec<usize> = (0..SEED_COUNT).collect();
        seeds.shuffle(&mut self.rng);
        for seed in seeds {
            let mut queue = vec![seed];
            let mut visited = Vec::new();
            while let Some(target) = queue.pop() {
                if visited.contains(&target) {
                    continue;
                }
                visited.push(target);
                match self.ask(router, target, false) {
                    None => return true,
                    Some(candidates) => queue.extend(candidates.into_iter().rev()),
                }
            }
            if self.ask(router, seed, true).is_none() {
                return true;
            }
        }
        false
    }

    /// Lets all routers without a parent join, in random order, with subtree sizes and paths passed
    /// on as the links do.
    fn settle(&mut self) {
        for _ in 0..4 {
            let is_orphan = |fleet: &Self, router: usize| {
                fleet.trees[router].is_some() && fleet.parents[router].is_none()
            };
            let mut orphans: Vec<usize> = (SEED_COUNT..self.trees.len())
                .filter(|router| is_orphan(self, *router))
                .collect();
            orphans.shuffle(&mut self.rng);
            for router in orphans {
                self.join(router);
                self.pass_on();
            }
        }
    }

    fn pass_on(&mut self) {
        for router in SEED_COUNT..self.trees.len() {
            if let Some(parent) = self.parents[router] {
                let path = self.trees[parent].as_ref().unwrap().path();
                if !self.trees[router].as_mut().unwrap().set_parents(path) {
                    self.leave(router);
                }
            }
        }
        for router in 0..self.trees.len() {
            let mut ancestor = self.parents[router];
            let mut steps = 0;
            while let Some(number) = ancestor {
                steps += 1;
                assert!(steps <= self.trees.len(), "the links form a cycle");
                ancestor = self.parents[number];
            }
        }
    }

    fn depth(&self, router: usize) -> usize {
        let mut depth = 0;
        let mut at = router;
        while let Some(parent) = self.parents[at] {
            depth += 1;
            at = parent;
        }
        depth
    }

    fn check(&self) {
        let live = (0..self.trees.len()).filter(|router| self.trees[*router].is_some());
        let mut links_between_zones = 0;
        for router in live {
            let tree = self.trees[router].as_ref().unwrap();
            assert!(
                router < SEED_COUNT || self.parents[router].is_some(),
                "router {router} is alone"
            );
            assert!(
                tree.children() <= tree.insisting_max(),
                "{} children",
                tree.children()
            );
            assert!(
                self.depth(router) <= 6,
                "router {router} at depth {}",
                self.depth(router)
            );
            let parent_zone = self.parents[router].map(zone);
            links_between_zones += usize::from(parent_zone.is_some_and(|z| z != zone(router)));
        }
        let most = SEED_COUNT * (ZONE_COUNT - 1) * OTHER_ZONE_CHILDREN_MAX * 2;
        assert!(
            links_between_zones <= most,
            "{links_between_zones} links between zones"
        );
    }
}

/// Guards against the star, in which three seeds served a fleet of 300 routers: the busiest carried
/// 10 MB/s.
#[test]
fn admit_a_thousand_routers_bounds_degree_depth_and_links_between_zones() {
    let mut fleet = Fleet::start(1_000, 1);
    fleet.settle();
    fleet.check();
    let busiest = (0..SEED_COUNT).map(|seed| fleet.trees[seed].as_ref().unwrap().children());
    assert!(busiest.max().unwrap() <= DEGREE + (ZONE_COUNT - 1) * OTHER_ZONE_CHILDREN_MAX);
}

/// Guards against routers that stay alone, or relay to each other in a circle, after others were
/// lost at random, a third of the fleet at once, or a seed.
#[test]
fn admit_after_losses_all_routers_are_connected_again() {
    for seed in 0..4 {
        let mut fleet = Fleet::start(300, seed);
        fleet.settle();
        for round in 0..4 {
            let lost: Vec<usize> = (0..300).filter(|_| fleet.rng.random_bool(0.33)).collect();
            let lost = lost.into_iter().filter(|router| *router != round % 3);
            let lost: Vec<usize> = lost.collect();
            lost.iter().for_each(|router| fleet.stop_router(*router));
            fleet.settle();
            fleet.check();
            lost.iter().for_each(|router| fleet.start_router(*router));
            fleet.settle();
            fleet.check();
        }
    }
}

/// A router that lost its seed may ask one of its own subscribers, which has nothing to relay.
#[test]
fn admit_router_on_the_own_path_is_refused() {
    let mut tree = RelayTree::new(address(9), zone(9), DEGREE);
    assert!(tree.set_parents(vec![address(0), address(4)]));
    assert_eq!(tree.admit(&subscriber(4, true), 0), Admission::Refuse);
    assert!(!tree.set_parents(vec![address(0), address(9)]));
}

/// Routers of a previous version know no redirects, so during an upgrade they are accepted.
#[test]
fn admit_subscriber_without_address_is_accepted() {
    let mut tree = RelayTree::new(address(0), zone(0), 1);
    tree.add_child(1, subscriber(5, false));
    let legacy = Subscriber {
        address: None,
        ..subscriber(10, false)
    };
    assert_eq!(tree.admit(&legacy, 0), Admission::Accept);
}

/// Guards against links between zones that a seed in the subscriber's zone makes needless.
#[test]
fn admit_other_zone_with_a_seed_redirects_to_it() {
    let mut tree = RelayTree::new(address(0), zone(0), DEGREE);
    tree.add_seed(1, address(1), zone(1));
    let newcomer = subscriber(6, false);
    assert_eq!(
        tree.admit(&newcomer, 0),
        Admission::Redirect(vec![address(1)])
    );
    tree.remove_link(1);
    assert_eq!(tree.admit(&newcomer, 0), Admission::Accept);
}
