//! What waits to be sent on one link: batched, bounded, and replaced by the full state when
//! it overflows.

use std::collections::VecDeque;

use async_channel::{Receiver, Sender};
use indexmap::IndexMap;
use parking_lot::Mutex;

use crate::peer::wire;

/// Rows that one link holds back; more drop the oldest group.
const ROWS_MAX: usize = 20_000;
/// Rows that one packet carries, so that a frame stays far below its largest size.
const PACKET_ROWS_MAX: usize = 2_000;
/// Members that one packet carries.
const PACKET_MEMBERS_MAX: usize = 500;
/// Configuration messages that one link holds back. A peer that misses one asks for it.
const CONFIG_PACKETS_MAX: usize = 32;

#[derive(Debug, Default)]
struct Queue {
    members: IndexMap<String, wire::Member>,
    groups: VecDeque<wire::Group>,
    rows: usize,
    config: VecDeque<wire::Packet>,
    has_dropped_groups: bool,
}

/// The queue of one link.
#[derive(Debug)]
pub struct Outbox {
    queue: Mutex<Queue>,
    urgent: Sender<()>,
    batched: Sender<()>,
}

/// Wakes the sender of a link.
#[derive(Debug)]
pub struct Wakeups {
    /// Something has to go out at once.
    pub urgent: Receiver<()>,
    /// Something may wait for more to share its frame.
    pub batched: Receiver<()>,
}

/// What [`Outbox::drain`] hands out.
#[derive(Debug, Default)]
pub struct Batch {
    /// Packets in the order to send.
    pub packets: Vec<wire::Packet>,
    /// Whether groups were dropped, so that the full state has to follow.
    pub has_dropped_groups: bool,
}

fn row_count(group: &wire::Group) -> usize {
    let servers = group.servers.len() + group.compact_servers.len();
    servers + group.teams.len() + group.strikes.len() + group.uses.len()
}

impl Outbox {
    /// An empty queue.
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

    /// Queues the newest row of a member.
    pub fn push_member(&self, member: wire::Member) {
        let name = member.name.clone();
        self.queue.lock().members.insert(name, member);
        let _ = self.urgent.try_send(());
    }

    /// Queues a group; strikes go out at once.
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

    /// Drops rows that the peer has already, as it sent them itself.
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

    /// Queues a packet about the configuration.
    pub fn push_config(&self, packet: wire::Packet) {
        let mut queue = self.queue.lock();
        queue.config.push_back(packet);
        if queue.config.len() > CONFIG_PACKETS_MAX {
            queue.config.pop_front();
        }
        drop(queue);
        let _ = self.urgent.try_send(());
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        let queue = self.queue.lock();
        queue.members.is_empty() && queue.groups.is_empty() && queue.config.is_empty()
    }

    /// Takes all that waits, divided into packets of bounded size.
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
