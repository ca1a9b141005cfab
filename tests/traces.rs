//! Replay of recorded traces: the outcomes are those recorded, and the output is the same each
//! time.

mod common;

use std::path::Path;

use common::{Env, PAYING_KEY, RouterProcess, chat, ctl, get, wait_until};

/// Guards against unintended changes of decisions: each recorded trace must replay to its outcomes.
#[test]
fn replay_recorded_cases_give_their_outcomes() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces");
    let mut count = 0;
    for entry in std::fs::read_dir(folder).expect("the directory of traces can be read") {
        let path = entry.expect("the entry can be read").path();
        let name = path.to_str().expect("a UTF-8 path");
        let output = ctl(&["replay", name]);
        let text = String::from_utf8_lossy(&output.stdout);
        assert!(output.status.success(), "{name}: {text}");
        assert!(text.ends_with(" same, 0 different\n"), "{name}: {text}");
        count += 1;
    }
    assert!(count > 0, "no recorded trace found");
}

/// Guards against recordings that lack an input of a decision, and against replays whose output
/// differs between runs.
#[test]
fn replay_of_a_live_recording_is_exact() {
    let env = Env::open(3);
    let applied = env.apply(&env.inventory());
    assert!(applied.status.success(), "{applied:?}");
    let router = RouterProcess::spawn(&env.settings("r1", "[trace]\nring_lines = 100\n"));
    wait_until("the router applies version 1", || {
        get(router.admin, "/dump").body.contains("\"version\":1")
    });
    for index in 0..5 {
        let response = chat(router.address, PAYING_KEY, &format!("chat-{index}"));
        assert_eq!(response.status, 200, "{response:?}");
    }
    let trace = get(router.admin, "/trace").body;
    assert_eq!(trace.matches("\"kind\":\"choose\"").count(), 5, "{trace}");
    let path = env.temp_dir.write("trace.jsonl", &trace);
    let name = path.to_str().expect("a UTF-8 path");
    let runs = [ctl(&["replay", name]), ctl(&["replay", name])];
    assert!(runs[0].status.success(), "{:?}", runs[0]);
    assert_eq!(runs[0].stdout, runs[1].stdout);
}
