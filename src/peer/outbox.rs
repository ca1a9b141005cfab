//! Send queue of one link. It batches messages and is bounded: on overflow it drops the oldest
//! groups, and the full state is sent in their place.

use std::collections::VecDeque;

use async_channel::{Receiver, Sender};
use indexmap::IndexMap;
use parking_lot::Mutex;

use crate::peer::wire;

/// Maximum number of queued rows; beyond it the oldest groups are dropped.
const ROWS_MAX: usize = 20_000;
/// Number of rows after which a packet takes no further group, so that a frame stays far below
/// the maximum size.
const PACKET_ROWS_MAX: usize = 2_000;
/// Maximum number of members in one packet.
const PACKET_MEMBERS_MAX: usize = 500;
/// Maximum number of queued configuration packets. A peer that misses one requests it.
const CONFIG_PACKETS_MAX: usize = 32;

#[derive(Debug, Default)]
struct Queue {
    members: IndexMap<String, wire::Member>,
    groups: VecDeque<wire::Group>,
    rows: usize,
    config: VecDeque<wire::Packet>,
    has_dropped_groups: bool,
}

/// Send queue of one link.
#[derive(Debug)]
pub struct Outbox {
    queue: Mutex<Queue>,
    urgent: Sender<()>,
    batched: Sender<()>,
}

/// Wakes the task that sends on a link.
#[derive(Debug)]
pub struct Wakeups {
    /// A message has to be sent at once.
    pub urgent: Receiver<()>,
    /// A message may be delayed so that others share its frame.
    pub batched: Receiver<()>,
}

/// Result of [`Outbox::drain`].
#[derive(Debug, Default)]
pub struct Batch {
    /// Packets in the order in which they are sent.
    pub packets: Vec<wire::Packet>,
    /// Whether groups were dropped since the last drain, so that the full state has to be sent.
    pub has_dropped_groups: bool,
}

fn row_count(group: &wire::Group) -> usize {
    let servers = group.servers.len() + group.compact_servers.len();
    servers + group.teams.len() + group.strikes.len() + group.uses.len()
}

impl Outbox {
    /// Creates an empty queue.
    pub fn new() -> (Self, Wakeups) {
        let (urgent, urgent_wakeups) = async_channel::bounded(1);
        let (batched, batched_wakeups) = async_channel::bounded(1);
        let outbox = Self {
            queue: Mutex::default(),
            urgent,
            batched,
        };
        let wakeups = Wakeups {
            urgent: urgent_wakeups,
            batched: batched_wakeups,
        };
        (outbox, wakeups)
    }

    /// Queues a member to be sent at once; it replaces the queued row of the same member.
    pub fn push_member(&self, member: wire::Member) {
        let name = member.name.clone();
        self.queue.lock().members.insert(name, member);
        let _ = self.urgent.try_send(());
    }

    /// Queues a group of rows. A group with strikes is sent at once, any other is batched.
    pub fn push_group(&self, group: wire::Group) {
        let is_urgent = !group.strikes.is_empty();
        let mut queue = self.queue.lock();
        queue.rows += row_count(&group);
        queue.groups.push_back(group);
        while queue.rows > ROWS_MAX {
            let Some(dropped) = queue.groups.pop_front() else {
                break;
            };
            queue.rows -= row_count(&dropped);
            queue.has_dropped_groups = true;
        }
        drop(queue);
        let wakeup = if is_urgent {
            &self.urgent
        } else {
            &self.batched
        };
        let _ = wakeup.try_send(());
    }

    /// Removes a queued group that the peer has sent itself.
    pub fn remove_received_group(&self, received: &wire::Group) {
        let mut queue = self.queue.lock();
        let Queue { groups, rows, .. } = &mut *queue;
        groups.retain(|group| {
            let is_known = group == received;
            if is_known {
                *rows -= row_count(group);
            }
            !is_known
        });
    }

    /// Queues a packet about the configuration to be sent at once.
    pub fn push_config(&self, packet: wire::Packet) {
        let mut queue = self.queue.lock();
        queue.config.push_back(packet);
        if queue.config.len() > CONFIG_PACKETS_MAX {
            queue.config.pop_front();
        }
        drop(queue);
        let _ = self.urgent.try_send(());
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        let queue = self.queue.lock();
        queue.members.is_empty() && queue.groups.is_empty() && queue.config.is_empty()
    }

    /// Removes all messages from the queue and divides them into packets of bounded size.
    pub fn drain(&self) -> Batch {
        let mut queue = std::mem::take(&mut *self.queue.lock());
        let mut packets: Vec<wire::Packet> = queue.config.drain(..).collect();
        let mut members = queue.members.into_values().peekable();
        let mut groups = queue.groups.into_iter().peekable();
        while members.peek().is_some() || groups.peek().is_some() {
            let mut packet = wire::Packet {
                members: members.by_ref().take(PACKET_MEMBERS_MAX).collect(),
                ..wire::Packet::default()
            };
            let mut rows = 0;
            while let Some(group) = groups.next_if(|_| rows < PACKET_ROWS_MAX) {
                rows += row_count(&group);
                packet.groups.push(group);
            }
            packets.push(packet);
        }
        Batch {
            packets,
            has_dropped_groups: queue.has_dropped_groups,
        }
    }
}

#[cfg(test)]
mod tests;
