use hyper::Method;

use super::{Inventory, Target};
use crate::config::ini::Document;
use crate::ids::{ModelId, ServiceId};

const KEY: &str = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa";

fn parse(text: &str) -> Result<Inventory, crate::error::ConfigError> {
    Inventory::from_document(&Document::parse("i.ini", text).expect("valid INI"))
}

/// Guards against accepting an invalid or inconsistent inventory, and against an error with a wrong
/// line number.
#[test]
fn from_document_reports_line_and_problem_of_invalid_inventories() {
    let base = "[zone z]\nregion = g\n[model m]\n[service s]\npath_prefix = /s/\n";
    let server = "[server a]\nmodel = m\nzone = z\naddress = 127.0.0.1:1\n";
    let same_address = server.replace("[server a]", "[server b]");
    let team = format!("[team t]\nkey_sha256 = {KEY}\n");
    let cases = [
        (
            "[server a]\nmodel = x\nzone = z\naddress = 127.0.0.1:1\n".to_owned(),
            7,
            "[model x]",
        ),
        (
            "[server a]\nservice = x\nzone = z\naddress = 127.0.0.1:1\n".to_owned(),
            7,
            "[service x]",
        ),
        (
            "[server a]\nmodel = m\nzone = x\naddress = 127.0.0.1:1\n".to_owned(),
            8,
            "[zone x]",
        ),
        ("[adapter a]\nmodel = x\n".to_owned(), 7, "[model x]"),
        (
            "[route r]\nservice = x\nmethod = GET\npath = /s/\n".to_owned(),
            7,
            "[service x]",
        ),
        (
            "[route r]\nservice = s\nmethod = G T\npath = /s/\n".to_owned(),
            8,
            "not an HTTP method",
        ),
        (format!("{server}{same_address}"), 13, "same address"),
        (
            "[server a]\nmodel = m\nservice = s\nzone = z\naddress = 127.0.0.1:1\n".to_owned(),
            6,
            "either",
        ),
        (
            "[server a]\nmodel = m\nzone = z\naddress = host:1\n".to_owned(),
            9,
            "not an address",
        ),
        (format!("{server}slots = 0\n"), 10, "out of range"),
        (format!("{server}state = gone\n"), 10, "not a known value"),
        (format!("{server}colour = red\n"), 10, "unknown key"),
        (
            format!("{team}[team u]\nkey_sha256 = {KEY}\n"),
            9,
            "same key",
        ),
        ("[team t]\nkey_sha256 = abc\n".to_owned(), 7, "SHA-256"),
        (
            "[service t]\npath_prefix = /s/t/\n".to_owned(),
            7,
            "overlaps",
        ),
        (
            "[service t]\npath_prefix = /v1/t/\n".to_owned(),
            7,
            "usable prefix",
        ),
        ("[zone]\nregion = g\n".to_owned(), 6, "needs a name"),
        ("[zone y!]\nregion = g\n".to_owned(), 6, "needs a name"),
        ("[zone y]\n".to_owned(), 6, "needs `region`"),
        ("[rules]\nload_bound = 0.5\n".to_owned(), 7, "out of range"),
        ("[motor m]\n".to_owned(), 6, "unknown section"),
    ];
    for (text, line, problem) in cases {
        let error = parse(&format!("{base}{text}")).expect_err(&text);
        assert!(error.problem.contains(problem), "{text}: {error}");
        assert_eq!(error.line, line, "{text}: {error}");
        assert!(!error.remedy.is_empty());
    }
}

/// Guards against a shorter path prefix that takes precedence over a longer one, and against a
/// route of another method.
#[test]
fn route_returns_longest_prefix_of_method() {
    let route = |name: &str, method: &str, path: &str| {
        format!("[route {name}]\nservice = s\nmethod = {method}\npath = {path}\n")
    };
    let text = "[service s]\npath_prefix = /s/\n".to_owned()
        + &route("general", "GET", "/s/")
        + &route("slots", "GET", "/s/slots/")
        + &route("book", "POST", "/s/slots/");
    let inventory = parse(&text).expect("a valid inventory");
    let service = ServiceId::from("s");
    let path = |method: &Method, path: &str| {
        let route = inventory.route(&service, method, path);
        route.map(|route| (route.method.clone(), route.path.clone()))
    };
    let slots = "/s/slots/".to_owned();
    assert_eq!(
        path(&Method::GET, "/s/slots/1"),
        Some((Method::GET, slots.clone()))
    );
    assert_eq!(
        path(&Method::GET, "/s/x"),
        Some((Method::GET, "/s/".to_owned()))
    );
    assert_eq!(
        path(&Method::POST, "/s/slots/1"),
        Some((Method::POST, slots))
    );
    assert_eq!(path(&Method::POST, "/s/x"), None);
    assert_eq!(inventory.service_by_path("/s/x"), Some(&service));
    assert_eq!(inventory.service_by_path("/sx"), None);
}

/// Guards against listing a server that serves another target.
#[test]
fn servers_of_returns_only_servers_of_target() {
    let text = "[zone z]\nregion = g\n[model m]\n[model n]\n\
                [server a]\nmodel = m\nzone = z\naddress = 127.0.0.1:1\n\
                [server b]\nmodel = n\nzone = z\naddress = 127.0.0.1:2\n\
                [server c]\nmodel = m\nzone = z\naddress = 127.0.0.1:3\n";
    let inventory = parse(text).expect("a valid inventory");
    let target = Target::Model(ModelId::from("m"));
    let ids: Vec<&str> = inventory
        .servers_of(&target)
        .map(|s| s.id.as_str())
        .collect();
    assert_eq!(ids, ["a", "c"]);
}
