//! Admission, preemption of free requests and placement hints, with real processes.

mod common;

use std::time::Duration;

use common::caller::{open_env, read_response, send_chat, start_router, stream_body};
use common::{Env, RouterProcess, get, wait_until};
use jujubeusher::decide::hint::{Hint, HintKey};
use jujubeusher::filter::identify::key_sha256;
use jujubeusher::ids::{ChatId, Incarnation, ServerId};
use jujubeusher_standins::engine::EngineOptions;

fn slow(options: EngineOptions) -> EngineOptions {
    EngineOptions {
        slots: 1,
        tokens: 200,
        token_interval: Duration::from_millis(20),
        ..options
    }
}

/// Starts a router with one engine that has one slot, and adds a free team to the paying one.
fn open(free_threshold: &str) -> (Env, RouterProcess) {
    let env = open_env(1, slow);
    let inventory = env.inventory().replace("slots = 8", "slots = 1");
    let inventory = format!(
        "[rules]\nfree_threshold = {free_threshold}\n{inventory}[team trial]\nclass = free\nkey_sha256 = {}\n",
        key_sha256("trial-key")
    );
    let router = start_router(&env, "r1", &inventory, "");
    (env, router)
}

/// Sends a request with the key of the free team, as [`send_chat`] always sends the paying key.
fn free_request(router: &RouterProcess, chat: &str) -> std::net::TcpStream {
    use std::io::Write;
    let body = stream_body("hi");
    let mut stream = std::net::TcpStream::connect(router.address).expect("the router listens");
    stream
        .set_read_timeout(Some(common::WAIT_TIMEOUT))
        .expect("a timeout can be set");
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         authorization: Bearer trial-key\r\nx-chat-id: {chat}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream
        .write_all(request.as_bytes())
        .expect("the request is accepted");
    stream
}

/// Guards against free requests that are admitted above their load threshold, and against refusals
/// without the run state and the delay that a caller needs for a retry.
#[test]
fn admit_free_over_threshold_is_refused_as_not_run() {
    let (env, router) = open("0");
    let received = read_response(free_request(&router, "chat-1"));
    assert_eq!(received.status, 503, "{received:?}");
    assert_eq!(received.header("x-run-state"), Some("not_run"));
    assert_eq!(received.header("retry-after"), Some("1"));
    assert!(received.body.contains("\"overloaded\""), "{received:?}");
    assert!(env.engines[0].chats().is_empty());
}

/// Guards against a free request that occupies the slot a paying request needs, and against a
/// preempted response that looks complete.
#[test]
fn preempt_free_stream_ends_with_error_event() {
    let (env, router) = open("1");
    let free = free_request(&router, "free-chat");
    wait_until("the free request runs", || env.engines[0].load().0 == 1);
    let paying = send_chat(router.address, "paying-chat", "", &stream_body("hi"));
    let free = read_response(free);
    assert!(free.body.contains("\"preempted\""), "{free:?}");
    assert_eq!(free.done_events, 0, "{free:?}");
    wait_until("the engine cancels the free request", || {
        !env.engines[0].cancels().is_empty()
    });
    assert!(read_response(paying).is_complete(200));
}

/// Guards against ignoring valid placement hints and against following forged ones.
#[test]
fn hint_valid_is_followed_and_forged_is_ignored() {
    let env = open_env(3, |options| options);
    let extra = "[choose]\nhint_key = key-of-the-test\n";
    let router = start_router(&env, "r1", &env.inventory(), extra);
    let answered_by = |secret: &str, server: &str| {
        let hint = HintKey::derive(secret).sign(&Hint {
            server: ServerId::from(server),
            chat: ChatId::from_text("chat-1"),
            incarnation: Incarnation(0),
            expires_s: u64::MAX,
        });
        let headers = format!("x-placement-hint: {hint}\r\n");
        let received = read_response(send_chat(
            router.address,
            "chat-1",
            &headers,
            &stream_body("hi"),
        ));
        assert!(received.is_complete(8), "{received:?}");
        assert!(
            received.header("x-placement-hint").is_some(),
            "{received:?}"
        );
        received.header("x-backend-server").map(str::to_owned)
    };
    let servers = ["e0", "e1", "e2"];
    let with_valid_hint = servers.map(|server| answered_by("key-of-the-test", server));
    assert_eq!(
        with_valid_hint,
        servers.map(|server| Some(server.to_owned()))
    );
    let with_forged_hint = servers.map(|server| answered_by("another-key", server));
    assert!(
        with_forged_hint
            .iter()
            .all(|server| *server == with_forged_hint[0]),
        "{with_forged_hint:?}"
    );
    assert!(get(router.admin, "/readyz").status == 200);
}
