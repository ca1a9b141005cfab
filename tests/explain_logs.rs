//! Examples of docs/OPERATIONS.md on recorded logs: `jujubeusher-ctl explain` finds the cause of a
//! request's outcome by the request's id.

mod common;

use std::io::Write;
use std::process::{Command, Output, Stdio};

use common::binary;

fn recorded_log(name: &str) -> String {
    format!("{}/tests/recorded/{name}.log", env!("CARGO_MANIFEST_DIR"))
}

fn explain(logs: &[&str], request: &str) -> Output {
    let mut command = Command::new(binary("jujubeusher-ctl"));
    command.arg("explain");
    for log in logs {
        command.arg("--log").arg(recorded_log(log));
    }
    command.arg(request).output().expect("ctl runs")
}

fn explanation(logs: &[&str], request: &str) -> String {
    let output = explain(logs, request);
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).expect("text")
}

/// Guards against an explanation that does not name the servers which declined the request.
#[test]
fn explain_request_refused_at_load_names_the_servers_that_declined() {
    let text = explanation(&["refused", "broken", "gone"], "d7b7d39cb73de761");
    assert!(text.starts_with(
        "request d7b7d39cb73de761: refused with 503 not_accepted by refused after 26 ms\n\
         cause: the servers that were asked declined it, and it ran nowhere;"
    ));
    for server in ["i-378a10337e", "i-9a1ba75c8f"] {
        assert!(text.contains(&format!("attempt_failed server={server} kind=not_run")));
    }
}

/// Guards against an explanation without the lost server, or with lines of another request.
#[test]
fn explain_stream_broken_midway_names_the_lost_server() {
    let text = explanation(&["broken"], "6d90e2dad61b1411");
    assert!(text.contains("broken after 30 events"), "{text}");
    assert!(text.contains("server unreachable: i-12b4f9e65e"), "{text}");
    assert!(
        !text.contains("e4864d58b4615c2f"),
        "the output has a line of another request: {text}"
    );
}

/// Guards against an explanation that does not show when the refusing server left and which server
/// served the request instead.
#[test]
fn explain_request_to_a_removed_server_shows_when_it_left() {
    let text = explanation(&["gone"], "7e6bc0bbdeced5f4");
    assert!(text.contains("Connection refused"), "{text}");
    assert!(text.contains("server left: i-8942fafa13"), "{text}");
    assert!(text.contains("source_lost source=servers"), "{text}");
    assert!(text.contains("streamed by i-8d3bf21434"), "{text}");
}

/// Guards against `--log -` not reading the log from standard input.
#[test]
fn explain_reads_standard_input() {
    let mut child = Command::new(binary("jujubeusher-ctl"))
        .args(["explain", "--log", "-", "6d90e2dad61b1411"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("ctl runs");
    let log = std::fs::read(recorded_log("broken")).expect("the log can be read");
    let mut input = child.stdin.take().expect("a pipe");
    input.write_all(&log).expect("ctl reads its input");
    drop(input);
    let output = child.wait_with_output().expect("ctl exits");
    assert!(output.status.success(), "{output:?}");
}

/// Guards against an error without a remedy when no log has a line of the request.
#[test]
fn explain_without_a_trace_names_the_remedy() {
    let output = explain(&["gone"], "0000");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success());
    assert!(text.contains("name the logs of all routers"), "{text}");
}
