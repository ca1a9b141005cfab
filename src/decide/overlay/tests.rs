use std::collections::{HashMap, HashSet};

use super::{Node, outgoing_links};
use crate::ids::RouterId;

fn fleet(zones: usize, per_zone: usize) -> Vec<Node> {
    let node = |index: usize| Node {
        name: format!("r{index}").as_str().into(),
        zone: format!("z{}", index / per_zone).as_str().into(),
        region: format!("g{}", index / per_zone / 3).as_str().into(),
    };
    (0..zones * per_zone).map(node).collect()
}

fn graph(nodes: &[Node], degree: usize) -> HashMap<RouterId, HashSet<RouterId>> {
    let mut graph: HashMap<RouterId, HashSet<RouterId>> = HashMap::new();
    for own in nodes {
        let others: Vec<Node> = nodes.iter().filter(|n| *n != own).cloned().collect();
        for peer in outgoing_links(own, &others, degree) {
            graph
                .entry(own.name.clone())
                .or_default()
                .insert(peer.clone());
            graph.entry(peer).or_default().insert(own.name.clone());
        }
    }
    graph
}

fn steps_to_all(graph: &HashMap<RouterId, HashSet<RouterId>>, nodes: &[Node]) -> Option<usize> {
    let mut reached = HashSet::from([nodes[0].name.clone()]);
    let mut frontier: Vec<RouterId> = reached.iter().cloned().collect();
    let mut steps = 0;
    while reached.len() < nodes.len() {
        let next = frontier.iter().filter_map(|name| graph.get(name)).flatten();
        frontier = next
            .filter(|name| reached.insert((*name).clone()))
            .cloned()
            .collect();
        if frontier.is_empty() {
            return None;
        }
        steps += 1;
    }
    Some(steps)
}

/// Guards against an overlay that is not connected, or whose diameter is so large that flooding
/// takes many steps.
#[test]
fn outgoing_links_connect_the_fleet() {
    for (zones, per_zone) in [(1, 2), (1, 5), (3, 2), (4, 7), (5, 74)] {
        let nodes = fleet(zones, per_zone);
        let steps = steps_to_all(&graph(&nodes, 6), &nodes);
        assert!(
            steps.is_some_and(|steps| steps <= 9),
            "{zones} x {per_zone}: {steps:?}"
        );
    }
}

/// Guards against a zone whose routers are no longer connected when it is partitioned from the
/// others.
#[test]
fn outgoing_links_connect_each_zone() {
    let nodes = fleet(5, 74);
    let graph = graph(&nodes, 6);
    for zone in nodes.chunks(74) {
        assert!(steps_to_all(&graph, zone).is_some());
    }
}

/// Guards against a number of links per router that grows with the fleet.
#[test]
fn outgoing_links_degree_is_fixed() {
    let nodes = fleet(5, 74);
    assert!(graph(&nodes, 6).values().all(|peers| peers.len() <= 6));
}

/// Guards against so few links between zones that the loss of one separates them.
#[test]
fn outgoing_links_cross_zones_often() {
    let nodes = fleet(5, 74);
    let zone_of: HashMap<_, _> = nodes.iter().map(|n| (&n.name, &n.zone)).collect();
    let crossing = graph(&nodes, 6)
        .iter()
        .map(|(name, peers)| peers.iter().filter(|p| zone_of[p] != zone_of[name]).count())
        .sum::<usize>();
    assert!(
        crossing > nodes.len(),
        "{crossing} ends of links between zones"
    );
}
