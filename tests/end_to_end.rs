//! End to end with real processes: an applied inventory reaches two routers, and a chat streams
//! through either of them.

mod common;

use common::{Env, PAYING_KEY, chat, ctl, exchange, get, wait_until};

/// Guards against a failure anywhere between `jujubeusher-ctl`, platform, router and engine.
#[test]
fn chat_streams_through_either_router() {
    let env = Env::open(3);
    let routers = [env.router("r1"), env.router("r2")];
    let applied = env.apply(&env.inventory());
    assert!(applied.status.success(), "{applied:?}");
    for router in &routers {
        wait_until("the router applies version 1", || {
            get(router.admin, "/dump").body.contains("\"version\":1")
        });
    }

    let responses = routers
        .each_ref()
        .map(|router| chat(router.address, PAYING_KEY, "chat-1"));

    for response in &responses {
        assert_eq!(response.status, 200, "{response:?}");
        assert!(response.body.contains("data: [DONE]"), "{response:?}");
    }
    let servers = responses
        .each_ref()
        .map(|response| response.header("x-backend-server"));
    assert_eq!(
        servers[0], servers[1],
        "both routers must choose the same server"
    );

    let id = responses[0].header("x-request-id").expect("a request id");
    let admins = routers.each_ref().map(|router| router.admin.to_string());
    let output = ctl(&["explain", "--admin", &admins[1], "--admin", &admins[0], id]);
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(text.contains("\"outcome\": \"complete\""), "{text}");
    assert!(text.contains("choose:"), "{text}");
}

/// Guards against serving callers without a valid key.
#[test]
fn chat_unknown_key_is_refused_as_not_run() {
    let env = Env::open(1);
    let router = env.router("r1");
    let response = chat(router.address, "wrong", "chat-1");
    assert_eq!(response.status, 401);
    assert_eq!(response.header("x-run-state"), Some("not_run"));
    assert!(
        response.body.contains("\"code\":\"unknown_key\""),
        "{response:?}"
    );
    assert!(env.engines[0].chats().is_empty());
}

/// Guards against a model list that is incomplete or readable without a key.
#[test]
fn models_are_listed_for_callers_with_a_key() {
    let env = Env::open(1);
    assert!(env.apply(&env.inventory()).status.success());
    let router = env.router("r1");
    wait_until("the router applies version 1", || {
        get(router.admin, "/dump").body.contains("\"version\":1")
    });
    let list_models = |key: &str| {
        let request = format!(
            "GET /v1/models HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer {key}\r\n\r\n"
        );
        exchange(router.address, request.as_bytes())
    };
    let response = list_models(PAYING_KEY);
    assert_eq!(response.status, 200, "{response:?}");
    assert!(response.body.contains("\"id\":\"m\""), "{response:?}");
    assert_eq!(list_models("wrong").status, 401);
}
