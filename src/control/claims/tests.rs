//! Tests of claims against the in-memory table.

use super::*;
use crate::edge::clock::HostClock;
use crate::edge::table::MemoryTable;
use crate::ids::RunState;

const FAR_MS: u64 = 60_000;
const KEY: &str = "claim/t/s/k";
/// Polls, 1 ms apart, for an outcome that is written in the background.
const SETTLE_POLLS_MAX: u32 = 5_000;

fn is_finished(row: Option<Row>) -> bool {
    row.is_some_and(|row| row.value.contains("finished"))
}

fn claims(table: &Arc<MemoryTable>, router: &str) -> Claims {
    Claims::new(
        Runtime::start(1),
        Arc::new(HostClock::open()),
        Arc::clone(table) as Arc<dyn Table>,
        RouterId::from(router),
    )
}

async fn acquire(claims: &Claims, digest: &str) -> Acquired {
    claims
        .acquire(KEY.to_owned(), digest.to_owned(), FAR_MS)
        .await
}

/// Guards against a call that certainly did not run blocking its key, and against two
/// claims of a key after its release.
#[test]
fn release_allows_one_new_claim() {
    let table = MemoryTable::new();
    let (first, second) = (claims(&table, "r1"), claims(&table, "r2"));
    smol::block_on(async {
        let Acquired::Held(held) = acquire(&first, "d").await else {
            panic!("the key is free");
        };
        held.release().await;
        assert!(
            !held.try_begin_dispatch(),
            "a released claim is never dispatched"
        );
        let Acquired::Held(_later) = acquire(&second, "d").await else {
            panic!("the key was released");
        };
        let refused = acquire(&first, "d").await;
        assert!(
            matches!(refused, Acquired::Refused(Denial::Held)),
            "{refused:?}"
        );
    });
}

/// Guards against a stored outcome that is lost, altered or replayed to another request.
#[test]
fn store_outcome_replays_to_same_digest_only() {
    let table = MemoryTable::new();
    let claims = claims(&table, "r1");
    let outcome = Outcome {
        status: 201,
        content_type: Some("text/plain".to_owned()),
        body_base64: Some("aGk=".to_owned()),
        run_state: RunState::Ran,
    };
    smol::block_on(async {
        let Acquired::Held(held) = acquire(&claims, "d").await else {
            panic!("the key is free");
        };
        assert!(held.try_begin_dispatch());
        held.store_outcome(outcome.clone());
        for _ in 0..SETTLE_POLLS_MAX {
            if claims.pending_outcomes() == 0 && table.get(KEY).await.is_ok_and(is_finished) {
                break;
            }
            smol::Timer::after(Duration::from_millis(1)).await;
        }
        match acquire(&claims, "d").await {
            Acquired::Replay(replayed) => assert_eq!(replayed, outcome),
            other => panic!("{other:?}"),
        }
        let reused = acquire(&claims, "e").await;
        assert!(
            matches!(reused, Acquired::Refused(Denial::KeyReused)),
            "{reused:?}"
        );
    });
}
