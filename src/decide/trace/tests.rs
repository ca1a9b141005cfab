use super::*;

fn choose(outcome: &[&str]) -> String {
    let server = |id: &str, held| ServerInput {
        id: ServerId::from(id),
        slots: 32,
        view: LoadView {
            held: Some(held),
            net: 0,
            known: 1,
            ..LoadView::default()
        },
    };
    let line = Line::Choose(Choose {
        at_ms: 5,
        policy: Policy::Rendezvous,
        load_bound: 1.25,
        chat: ChatId(u64::MAX),
        home: Some(ServerId::from("a")),
        is_new: false,
        draw: 9,
        servers: vec![server("a", 30), server("b", 10)],
        outcome: outcome.iter().map(|id| ServerId::from(*id)).collect(),
    });
    serde_json::to_string(&line).expect("valid JSON")
}

const HEADER: &str = r#"{"kind":"header","version":1,"router":"r1"}"#;

/// Guards against a replay that reports the recorded outcome without repeating the decision.
#[test]
fn replay_distinguishes_same_from_different() {
    let text = format!(
        "{HEADER}\n{}\n{}\n",
        choose(&["b", "a"]),
        choose(&["a", "b"])
    );
    let outcome = replay(&text).expect("a valid trace");
    expect_test::expect![[r#"
        line 2: choose same b,a
        line 3: choose DIFFERENT stated a,b found b,a
        1 same, 1 different
    "#]]
    .assert_eq(&outcome.text);
}

/// Guards against replaying a trace that is damaged or has another format version.
#[test]
fn replay_invalid_trace_reports_the_line() {
    let faults = [
        (choose(&[]), 1),
        (HEADER.replace("1,", "2,"), 1),
        (format!("{HEADER}\n{HEADER}"), 2),
        (format!("{HEADER}\n{{\"kind\":\"choose\"}}"), 2),
    ];
    for (text, line) in faults {
        assert_eq!(replay(&text).expect_err("faulty").line, line, "{text}");
    }
}
