//! Group commit: conditional writes of concurrent requests share table transactions.
//!
//! One transaction is in flight at a time. What arrives meanwhile forms the next one, so a
//! group grows with the load and with the table's latency. A row whose condition fails is
//! taken out and the rest is sent again. A group that the table refuses for now waits in the
//! committer and is joined by what arrives meanwhile, so that a rate limit makes the groups
//! larger instead of breaking them up.

#[cfg(test)]
mod tests;

use std::collections::{HashSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use rand::RngExt;

use crate::edge::table::{Row, Table, TableError, Write};
use crate::runtime::Runtime;

/// What became of one write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitResult {
    /// It took effect and made this version.
    Written(u64),
    /// It did not take effect; the row that stood in the way, if there is one.
    Conflict(Option<Row>),
    /// It may have taken effect.
    AnswerLost,
    /// It did not take effect, as the table could not be asked.
    Unavailable,
}

#[derive(Debug)]
struct Pending {
    write: Write,
    reply: Sender<CommitResult>,
    since: Instant,
}

impl Pending {
    fn new(write: Write, reply: Sender<CommitResult>) -> Self {
        Self {
            write,
            reply,
            since: Instant::now(),
        }
    }
}

/// Most rows of one transaction.
pub const GROUP_MAX: usize = 128;
/// Most bytes of the values in one transaction, unless a single row is larger.
const GROUP_MAX_BYTES: usize = 512 * 1024;
/// Writes that may wait; a full queue counts as a table that cannot be asked.
const QUEUE_MAX: usize = 16_384;
/// Refusals in a row after which all waiting writes are given back; with the pauses below
/// they last somewhat under a second.
const REFUSALS_MAX: u32 = 8;
/// Longest wait of a write that was not yet sent. While the table hangs, each group takes as
/// long as a call's timeout, and a long queue would keep callers far beyond that.
const WAIT_MAX: Duration = Duration::from_secs(2);
const PAUSE_BASE: Duration = Duration::from_millis(10);
const PAUSE_MAX: Duration = Duration::from_millis(160);

/// Handle on the task that commits.
#[derive(Debug, Clone)]
pub struct GroupCommit {
    queue: Sender<Pending>,
}

impl GroupCommit {
    /// Starts the task; a transaction holds at most `group_max` rows.
    pub fn spawn(runtime: &Runtime, table: Arc<dyn Table>, group_max: usize) -> Self {
        let (queue, arrivals) = async_channel::bounded(QUEUE_MAX);
        let committer = Committer {
            table,
            arrivals,
            waiting: VecDeque::new(),
            group_max: group_max.max(1),
            refusals: 0,
        };
        runtime.detach(committer.run());
        Self { queue }
    }

    /// Commits one write together with others.
    pub async fn submit(&self, write: Write) -> CommitResult {
        let (reply, answer) = async_channel::bounded(1);
        if self.queue.try_send(Pending::new(write, reply)).is_err() {
            return CommitResult::Unavailable;
        }
        // The committer answers each write that it took; it ends only with the process.
        answer.recv().await.unwrap_or(CommitResult::AnswerLost)
    }
}

struct Committer {
    table: Arc<dyn Table>,
    arrivals: Receiver<Pending>,
    waiting: VecDeque<Pending>,
    group_max: usize,
    refusals: u32,
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
            self.give_back_old();
            let group = next_group(&mut self.waiting, self.group_max);
            let refused = commit(&*self.table, group).await;
            match refused.is_empty() {
                true => self.refusals = 0,
                false => self.wait_out(refused).await,
            }
        }
    }

    fn give_back_old(&mut self) {
        while let Some(pending) = self.waiting.pop_front_if(|p| p.since.elapsed() > WAIT_MAX) {
            answer(pending, CommitResult::Unavailable);
        }
    }

    /// Keeps a refused group for the next try, or gives all up after too many refusals.
    async fn wait_out(&mut self, refused: Vec<Pending>) {
        for pending in refused.into_iter().rev() {
            self.waiting.push_front(pending);
        }
        if self.refusals >= REFUSALS_MAX {
            for pending in self.waiting.drain(..) {
                answer(pending, CommitResult::Unavailable);
            }
        }
        let pause = (PAUSE_BASE * (1 << self.refusals)).min(PAUSE_MAX);
        self.refusals = (self.refusals + 1).min(REFUSALS_MAX);
        // Jitter keeps the routers of a fleet from returning together.
        let share = rand::rng().random_range(0.5..1.0);
        smol::Timer::after(pause.mul_f64(share)).await;
    }
}

/// Takes the next group out of the queue.
///
/// Two writes of one row never share a transaction: both conditions would be checked
/// before either write, so both claims would be told that they hold the row.
fn next_group(waiting: &mut VecDeque<Pending>, group_max: usize) -> Vec<Pending> {
    let mut group: Vec<Pending> = Vec::new();
    let mut keys = HashSet::new();
    let mut later = VecDeque::new();
    let mut bytes = 0;
    while group.len() < group_max {
        let Some(pending) = waiting.pop_front() else {
            break;
        };
        let is_full = !group.is_empty() && bytes + pending.write.value.len() > GROUP_MAX_BYTES;
        if is_full || !keys.insert(pending.write.key.clone()) {
            later.push_back(pending);
            continue;
        }
        bytes += pending.write.value.len();
        group.push(pending);
    }
    later.append(waiting);
    *waiting = later;
    group
}

/// Commits a group; returns what the table refused for now.
async fn commit(table: &dyn Table, mut group: Vec<Pending>) -> Vec<Pending> {
    while !group.is_empty() {
        let writes = group.iter().map(|pending| pending.write.clone()).collect();
        match table.transact(writes).await {
            Ok(versions) if versions.len() == group.len() => {
                for (pending, version) in group.drain(..).zip(versions) {
                    answer(pending, CommitResult::Written(version));
                }
            }
            Ok(_) => answer_all(&mut group, &CommitResult::AnswerLost),
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
                take_out(&mut group, found);
            }
            Err(TableError::AnswerLost(_)) => answer_all(&mut group, &CommitResult::AnswerLost),
            Err(TableError::Unavailable(_)) => break,
        }
    }
    group
}

/// Answers the write whose condition failed; the others stay.
fn take_out(group: &mut Vec<Pending>, found: Row) {
    let Some(index) = group.iter().position(|p| p.write.key == found.key) else {
        // The table names a row that was not written: its answer cannot be trusted.
        return answer_all(group, &CommitResult::AnswerLost);
    };
    let row = (found.version > 0).then_some(found);
    answer(group.remove(index), CommitResult::Conflict(row));
}

fn answer_all(group: &mut Vec<Pending>, committed: &CommitResult) {
    for pending in group.drain(..) {
        answer(pending, committed.clone());
    }
}

fn answer(pending: Pending, committed: CommitResult) {
    // The request may have ended meanwhile; its row then stands as it is.
    let _ = pending.reply.try_send(committed);
}
