use super::*;

const BODIES: [&str; 3] = [
    r#"{"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"a"}]}"#,
    r#"{"model":"m","messages":[{"role":"system","content":"s"}, {"role":"user", "content":"a"},
        {"role":"assistant","content":"b"},{"role":"user","content":"c"}]}"#,
    r#"{"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"x"}]}"#,
];

fn chat_id_sources() -> Vec<String> {
    let parse = |body| serde_json::from_str::<ChatRequest<'_>>(body).expect("a valid body");
    let requests = BODIES.map(parse);
    requests
        .iter()
        .map(|r| chat_id_source("t", &r.messages))
        .collect()
}

/// Guards against a chat without an id that gets another id from its second request on and
/// then misses its cache.
#[test]
fn chat_id_source_later_turn_keeps_the_chat() {
    let chat_id_sources = chat_id_sources();
    assert_eq!(chat_id_sources[0], chat_id_sources[1]);
}

/// Guards against one id for all chats with the same system message, which would send them
/// all to one server.
#[test]
fn chat_id_source_other_first_question_is_another_chat() {
    let chat_id_sources = chat_id_sources();
    assert_ne!(chat_id_sources[0], chat_id_sources[2]);
}

/// Guards against a request treated as the first of its chat although its body contains an
/// assistant message, because the role is written with a JSON escape.
#[test]
fn has_role_finds_an_escaped_role() {
    let message = RawValue::from_string(r#"{"content":[1],"role":"assist\u0061nt"}"#.to_owned());
    assert!(has_role(&message.expect("valid JSON"), "assistant"));
}
