//! Tests of group commit against the in-memory table.

use super::*;
use crate::edge::table::{Condition, MemoryTable};

fn insert(key: &str, value: &str) -> Write {
    Write {
        key: key.to_owned(),
        value: value.to_owned(),
        condition: Condition::Absent,
    }
}

fn pending(key: &str, value: &str) -> (Pending, Receiver<CommitResult>) {
    let (reply, result) = async_channel::bounded(1);
    let write = insert(key, value);
    (Pending::new(write, reply), result)
}

/// Guards against two claims of one key in the same transaction, which would both succeed.
#[test]
fn next_group_same_key_goes_to_next_group() {
    let (first, _a) = pending("k", "1");
    let (second, _b) = pending("k", "2");
    let (other, _c) = pending("l", "3");
    let mut waiting = VecDeque::from([first, second, other]);
    let group = next_group(&mut waiting, 8);
    let values = |group: &[Pending]| -> Vec<String> {
        group.iter().map(|p| p.write.value.clone()).collect()
    };
    assert_eq!(values(&group), ["1", "3"]);
    assert_eq!(values(&next_group(&mut waiting, 8)), ["2"]);
}

/// Guards against a conflict on one row failing the other rows of its transaction.
#[test]
fn commit_conflict_leaves_others_written() {
    let table = MemoryTable::new();
    smol::block_on(async {
        let versions = table.transact(vec![insert("k2", "old")]).await;
        assert_eq!(versions, Ok(vec![1]));
        let (pendings, results): (Vec<_>, Vec<_>) = ["k1", "k2", "k3"]
            .map(|key| pending(key, "new"))
            .into_iter()
            .unzip();
        assert!(commit(&*table, pendings).await.is_empty());
        let mut committed = Vec::new();
        for result in results {
            committed.push(result.recv().await.expect("each write gets a reply"));
        }
        let row = Row {
            key: "k2".to_owned(),
            value: "old".to_owned(),
            version: 1,
        };
        let expected = [
            CommitResult::Written(1),
            CommitResult::Conflict(Some(row)),
            CommitResult::Written(1),
        ];
        assert_eq!(committed, expected);
    });
}
