use super::*;
use futures_lite::FutureExt;

fn is_cancelled(guard: &FreeGuard) -> bool {
    let cancelled = async {
        guard.cancelled().await;
        true
    };
    smol::block_on(cancelled.or(async { false }))
}

/// Guards against cancelling more than one request, the oldest one, or one on another server.
#[test]
fn cancel_newest_cancels_one_on_the_server() {
    let work = FreeWork::new();
    let (a, b) = (ServerId::from("a"), ServerId::from("b"));
    let guards = [work.register(&a), work.register(&a), work.register(&b)];
    assert!(work.cancel_newest(&a));
    let cancelled = guards.each_ref().map(is_cancelled);
    assert_eq!(cancelled, [false, true, false]);
}

/// Guards against cancelling a request that has ended.
#[test]
fn cancel_newest_ignores_ended_requests() {
    let work = FreeWork::new();
    let a = ServerId::from("a");
    drop(work.register(&a));
    assert!(!work.cancel_newest(&a));
    assert!(work.state.lock().by_server.is_empty());
}
