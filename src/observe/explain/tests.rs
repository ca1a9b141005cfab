use expect_test::expect;

use super::*;

fn parse_lines(router: &str, text: &str) -> Vec<Line> {
    let lines = text.lines().filter_map(|line| Line::parse(router, line));
    lines.collect()
}

const FIRST: &str = "\
time_ms=900 level=warn event=server_unreachable server=a
time_ms=950 level=warn event=server_unreachable server=other
time_ms=1000 level=info event=attempt_failed id=x server=a kind=silent reason=\"it is silent\" ms=9
time_ms=1001 level=info event=answered id=y route=r service=s server=a status=200 sends=1 ms=4
time_ms=1005 level=info event=rejected id=x status=504 code=timed_out after_ms=14 retry_after_ms=0
time_ms=90000 level=info event=routes version=3
";

/// Guards against showing lines of other requests, of other servers and from much later, which
/// would obscure the cause.
#[test]
fn explain_request_shows_related_lines_only() {
    let text = explain_request("x", &parse_lines("r1", FIRST)).unwrap();
    expect![[r#"
        request x: refused with 504 timed_out by r1 after 14 ms
        cause: its time was over before a server had answered; a failed: it is silent; server unreachable: a
             -100 ms r1 server_unreachable server=a
        *      +0 ms r1 attempt_failed server=a kind=silent reason="it is silent" ms=9
        *      +5 ms r1 rejected status=504 code=timed_out after_ms=14 retry_after_ms=0
    "#]]
    .assert_eq(&text);
}

/// Guards against dropping or misplacing the lines of a second router.
#[test]
fn explain_request_merges_routers_by_time() {
    let second = "time_ms=1002 level=info event=retry id=x server=b status=500\n";
    let mut both = parse_lines("r1", FIRST);
    both.extend(parse_lines("r2", second));
    let text = explain_request("x", &both).unwrap();
    let routers: Vec<&str> = text
        .lines()
        .skip(3)
        .filter_map(|l| l.split(' ').rev().nth(3))
        .collect();
    assert_eq!(routers.len(), 3);
    assert!(text.contains("+2 ms r2 retry"), "{text}");
}

#[test]
fn explain_request_unknown_request_is_none() {
    assert_eq!(explain_request("z", &parse_lines("r1", FIRST)), None);
}

/// Guards against rejecting lines prefixed by a log collector, and against panics on malformed
/// lines.
#[test]
fn parse_collected_and_malformed_lines() {
    let line = Line::parse(
        "r",
        "2026-01-01 host time_ms=7 event=retry id=x reason=\"a b\" ms=1",
    );
    let line = line.unwrap();
    assert_eq!((line.time_ms, line.field("reason")), (7, Some("a b")));
    assert_eq!(line.field("ms"), Some("1"));
    for malformed in [
        "",
        "time_ms=",
        "time_ms=x event=a",
        "time_ms=5 reason=\"open",
    ] {
        let parsed = Line::parse("r", malformed);
        assert!(parsed.is_none_or(|line| line.time_ms == 5), "{malformed}");
    }
}

/// Guards against an explanation that does not name the crashes behind a refusal.
#[test]
fn explain_request_quarantined_names_the_crashed_servers() {
    let text = "\
time_ms=10 level=info event=quarantine_hit id=q fingerprint=0f servers=a,b,c ages_ms=900,700,20 left_ms=599000
time_ms=10 level=info event=rejected id=q status=503 code=quarantined after_ms=1 retry_after_ms=599000
";
    let text = explain_request("q", &parse_lines("r1", text)).unwrap();
    expect![[r#"
        request q: refused with 503 quarantined by r1 after 1 ms
        cause: it had crashed the servers that ran it; crashed before: a,b,c; refused for 599000 ms more
        *      +0 ms r1 quarantine_hit fingerprint=0f servers=a,b,c ages_ms=900,700,20 left_ms=599000
        *      +0 ms r1 rejected status=503 code=quarantined after_ms=1 retry_after_ms=599000
    "#]]
    .assert_eq(&text);
}
