use super::*;

fn route(name: &str) -> Route {
    Route {
        name: name.to_owned(),
        destinations: vec![Destination {
            service: ServiceId::from("a"),
            weight: 1,
        }],
        repeat: Repeat::Idempotent,
        is_stream: false,
        can_resume: false,
        attempts_max: 2,
        timeout_ms: 1_000,
        latency_target_ms: 100,
        gap_target_ms: None,
        priority: 1,
        is_public: false,
    }
}

fn table(prefixes: &[&str]) -> RoutingTable {
    let routes = prefixes
        .iter()
        .map(|p| ((*p).to_owned(), Arc::new(route(p))));
    RoutingTable {
        version: ConfigVersion(1),
        hosts: IndexMap::from([("example.test".to_owned(), routes.collect())]),
        services: IndexMap::new(),
        keys: None,
        limits: CallerLimits {
            body_bytes: 1,
            idle_timeout_ms: 1,
            header_timeout_ms: 1,
        },
    }
}

fn route_name<'a>(table: &'a RoutingTable, host: &str, path: &str) -> Option<&'a str> {
    table.route(host, path).map(|route| route.name.as_str())
}

/// Guards against a shorter prefix that takes precedence over a longer one.
#[test]
fn route_longest_prefix_wins() {
    let table = table(&["/", "/a/", "/a/b/"]);
    assert_eq!(route_name(&table, "example.test", "/a/b/c"), Some("/a/b/"));
    assert_eq!(route_name(&table, "example.test", "/a/x"), Some("/a/"));
    assert_eq!(route_name(&table, "example.test", "/ab"), Some("/"));
}

/// Guards against prefixes that match a part of a path segment.
#[test]
fn route_prefix_matches_complete_segments_only() {
    let table = table(&["/a/"]);
    assert_eq!(route_name(&table, "example.test", "/ab/c"), None);
    assert_eq!(route_name(&table, "example.test", "/a"), None);
}

/// Guards against hosts that don't match because of their case or port.
#[test]
fn route_host_ignores_case_and_port() {
    let table = table(&["/a/"]);
    assert_eq!(route_name(&table, "Example.test:80", "/a/x"), Some("/a/"));
    assert_eq!(route_name(&table, "other.test", "/a/x"), None);
}

/// Guards against a split of requests that is not in proportion to the weights.
#[test]
fn destination_follows_weights() {
    let mut route = route("r");
    route.destinations = vec![
        Destination {
            service: ServiceId::from("a"),
            weight: 9,
        },
        Destination {
            service: ServiceId::from("b"),
            weight: 1,
        },
    ];
    let to_b = (0..100).filter(|n| route.destination(*n) == Some(&ServiceId::from("b")));
    assert_eq!(to_b.count(), 10);
}
