//! Draining a server: new requests go to another server, which fetches the cache of their chat.

mod common;

use common::caller::{
    home_engine, open_env, read_response, send_chat, start_router, stream_body, stream_chat,
};
use common::{get, wait_until};

/// Guards against chats of a leaving server that lose their cache, and against new requests on that
/// server.
#[test]
fn drain_moves_the_cache_of_a_returning_chat() {
    let env = open_env(2, |options| options);
    let router = start_router(&env, "r1", &env.inventory(), "");
    let old = home_engine(&router, "chat-1");
    let first = stream_chat(router.address, "chat-1");
    let hint = first.header("x-placement-hint").expect("a hint").to_owned();
    assert_eq!(home_engine(&router, "chat-1"), old);

    let section = format!("[server e{old}]\n");
    let leaving = env
        .inventory()
        .replace(&section, &format!("{section}state = leaving\n"));
    assert!(env.apply(&leaving).status.success());
    wait_until("the router applies the drain", || {
        get(router.admin, "/dump").body.contains("\"version\":2")
    });
    let before = env.engines[old].runs().len();
    let headers = format!("x-placement-hint: {hint}\r\n");
    let body = stream_body("chat-1");
    let moved = read_response(send_chat(router.address, "chat-1", &headers, &body));

    let new = 1 - old;
    assert_eq!(
        moved.header("x-backend-server"),
        Some(format!("e{new}").as_str())
    );
    assert!(moved.is_complete(8), "{moved:?}");
    let runs = env.engines[new].runs();
    assert!(runs.last().is_some_and(|run| run.is_hit), "{runs:?}");
    assert_eq!(env.engines[old].runs().len(), before);
}
