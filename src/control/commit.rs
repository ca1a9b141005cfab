//! Group commit: conditional writes of concurrent requests share table transactions.
//!
//! One transaction is in flight at a time. Writes that arrive meanwhile form the next one, so
//! the group size grows with the load and with the table's latency. If a row's condition
//! fails, that row is removed and the remaining group is sent again. A group that the table
//! rejects as unavailable returns to the queue and is sent together with newer writes, so
//! that a rate limit makes groups larger instead of splitting them.

#[cfg(test)]
mod tests;

use std::collections::{HashSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use rand::RngExt;

use crate::edge::table::{Row, Table, TableError, Write};
use crate::runtime::Runtime;

/// Result of one write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitResult {
    /// It took effect and produced this row version.
    Written(u64),
    /// Its condition failed; the row found under its key, if there is one.
    Conflict(Option<Row>),
    /// The table's response was lost; the write may have taken effect.
    ResponseLost,
    /// It did not take effect: the table was unavailable or the queue full.
    Unavailable,
}

#[derive(Debug)]
struct Pending {
    write: Write,
    reply: Sender<CommitResult>,
    queued_at: Instant,
}

impl Pending {
    fn new(write: Write, reply: Sender<CommitResult>) -> Self {
        Self {
            write,
            reply,
            queued_at: Instant::now(),
        }
    }
}

/// Maximum rows of one transaction.
pub const GROUP_MAX: usize = 128;
/// Maximum bytes of the values in one transaction, unless a single row is larger.
const GROUP_MAX_BYTES: usize = 512 * 1024;
/// Maximum queued writes. Writes beyond it fail as unavailable.
const QUEUE_MAX: usize = 16_384;
/// Consecutive unavailable results after which all queued writes fail; with the backoff
/// below this takes less than a second.
const UNAVAILABLE_MAX: u32 = 8;
/// Longest wait of a write that was not sent yet. While the table hangs, each group takes as
/// long as the timeout of a call, so callers in a long queue would wait many such timeouts.
const QUEUE_WAIT_MAX: Duration = Duration::from_secs(2);
const BACKOFF_BASE: Duration = Duration::from_millis(10);
const BACKOFF_MAX: Duration = Duration::from_millis(160);

/// Handle to the task that commits writes in groups.
#[derive(Debug, Clone)]
pub struct GroupCommit {
    queue: Sender<Pending>,
}

impl GroupCommit {
    /// Starts the task; a transaction has at most `group_max` rows.
    pub fn spawn(runtime: &Runtime, table: Arc<dyn Table>, group_max: usize) -> Self {
        let (queue, arrivals) = async_channel::bounded(QUEUE_MAX);
        let committer = Committer {
            table,
            arrivals,
            waiting: VecDeque::new(),
            group_max: group_max.max(1),
            unavailable_count: 0,
        };
        runtime.spawn_detached(committer.run());
        Self { queue }
    }

    /// Queues a write for the next transaction and waits for its result.
    pub async fn submit(&self, write: Write) -> CommitResult {
        let (reply, result) = async_channel::bounded(1);
        if self.queue.try_send(Pending::new(write, reply)).is_err() {
            return CommitResult::Unavailable;
        }
        // The committer replies to each queued write; it ends only with the process.
        result.recv().await.unwrap_or(CommitResult::ResponseLost)
    }
}

struct Committer {
    table: Arc<dyn Table>,
    arrivals: Receiver<Pending>,
    waiting: VecDeque<Pending>,
    group_max: usize,
    unavailable_count: u32,
}

impl Committer {
    async fn run(mut self) {
        loop {
            if self.waiting.is_empty() {
                match self.arrivals.recv().await {
                    Ok(pending) => self.waiting.push_back(pending),
                    Err(_) => return,
                }
            }
            while let Ok(pending) = self.arrivals.try_recv() {
                self.waiting.push_back(pending);
            }
            self.expire_queued();
            let group = next_group(&mut self.waiting, self.group_max);
            let unsent = commit(&*self.table, group).await;
            match unsent.is_empty() {
                true => self.unavailable_count = 0,
                false => self.requeue_and_back_off(unsent).await,
            }
        }
    }

    fn expire_queued(&mut self) {
        while let Some(pending) = self
            .waiting
            .pop_front_if(|p| p.queued_at.elapsed() > QUEUE_WAIT_MAX)
        {
            reply(pending, CommitResult::Unavailable);
        }
    }

    /// Returns an unavailable group to the front of the queue, or fails all queued writes
    /// after too many attempts; then waits for the backoff.
    async fn requeue_and_back_off(&mut self, unsent: Vec<Pending>) {
        for pending in unsent.into_iter().rev() {
            self.waiting.push_front(pending);
        }
        if self.unavailable_count >= UNAVAILABLE_MAX {
            for pending in self.waiting.drain(..) {
                reply(pending, CommitResult::Unavailable);
            }
        }
        let pause = (BACKOFF_BASE * (1 << self.unavailable_count)).min(BACKOFF_MAX);
        self.unavailable_count = (self.unavailable_count + 1).min(UNAVAILABLE_MAX);
        // Jitter keeps the routers of a fleet from retrying at the same time.
        let jitter_factor = rand::rng().random_range(0.5..1.0);
        smol::Timer::after(pause.mul_f64(jitter_factor)).await;
    }
}

/// Removes the next group from the queue.
///
/// Two writes of one row never share a transaction: the table checks all conditions before
/// it writes, so both writes would succeed and two claims would own the row.
fn next_group(waiting: &mut VecDeque<Pending>, group_max: usize) -> Vec<Pending> {
    let mut group: Vec<Pending> = Vec::new();
    let mut keys = HashSet::new();
    let mut skipped = VecDeque::new();
    let mut bytes = 0;
    while group.len() < group_max {
        let Some(pending) = waiting.pop_front() else {
            break;
        };
        let is_full = !group.is_empty() && bytes + pending.write.value.len() > GROUP_MAX_BYTES;
        if is_full || !keys.insert(pending.write.key.clone()) {
            skipped.push_back(pending);
            continue;
        }
        bytes += pending.write.value.len();
        group.push(pending);
    }
    skipped.append(waiting);
    *waiting = skipped;
    group
}

/// Commits a group; returns the writes that did not take effect because the table was
/// unavailable.
async fn commit(table: &dyn Table, mut group: Vec<Pending>) -> Vec<Pending> {
    while !group.is_empty() {
        let writes = group.iter().map(|pending| pending.write.clone()).collect();
        match table.transact(writes).await {
            Ok(versions) if versions.len() == group.len() => {
                for (pending, version) in group.drain(..).zip(versions) {
                    reply(pending, CommitResult::Written(version));
                }
            }
            Ok(_) => reply_all(&mut group, &CommitResult::ResponseLost),
            Err(TableError::Conflict {
                key,
                version,
                value,
            }) => {
                let found = Row {
                    key,
                    value,
                    version,
                };
                reply_conflict(&mut group, found);
            }
            Err(TableError::ResponseLost(_)) => reply_all(&mut group, &CommitResult::ResponseLost),
            Err(TableError::Unavailable(_)) => break,
        }
    }
    group
}

/// Removes the write whose condition failed from the group and replies to it.
fn reply_conflict(group: &mut Vec<Pending>, found: Row) {
    let Some(index) = group.iter().position(|p| p.write.key == found.key) else {
        // The table reports a conflict on a row that is not in the group, so its response is
        // not reliable.
        return reply_all(group, &CommitResult::ResponseLost);
    };
    let row = (found.version > 0).then_some(found);
    reply(group.remove(index), CommitResult::Conflict(row));
}

fn reply_all(group: &mut Vec<Pending>, committed: &CommitResult) {
    for pending in group.drain(..) {
        reply(pending, committed.clone());
    }
}

fn reply(pending: Pending, committed: CommitResult) {
    // The request may have ended meanwhile; its row then stays as written.
    let _ = pending.reply.try_send(committed);
}
