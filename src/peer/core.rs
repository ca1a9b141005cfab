//! State machine of the peer protocol: members, links and rows. Its inputs are packets and the
//! time; its outputs are queued messages, rows to deliver and routers to dial. It opens no
//! socket and reads no clock.

use std::collections::HashMap;
use std::sync::Arc;

use indexmap::IndexMap;

use crate::decide::membership::{Change, Membership, ROUTER_TIMING, Refutation};
use crate::decide::overlay::{self, Node};
use crate::ids::{Incarnation, RouterId};
use crate::peer::frame::Side;
use crate::peer::outbox::Outbox;
use crate::peer::replica::Replica;
use crate::peer::row::Health;
use crate::peer::wire;
use crate::runtime::Shutdown;

/// Time for which a link that the overlay no longer selects stays open, so that a brief change
/// of the live routers closes no links.
const UNWANTED_LINK_GRACE_MS: u64 = 5_000;
/// Backoff after the first failed dial; it doubles up to [`DIAL_BACKOFF_MAX_MS`].
const DIAL_BACKOFF_MIN_MS: u64 = 250;
const DIAL_BACKOFF_MAX_MS: u64 = 8_000;
/// Minimum time between raises of the own incarnation because another process uses the same
/// name.
const NAME_CONFLICT_INTERVAL_MS: u64 = 1_000;

/// One open link.
#[derive(Debug, Clone)]
pub struct Link {
    /// The router at the other end, as it introduced itself.
    pub peer: wire::Member,
    /// Whether this process dialed or accepted the connection.
    pub side: Side,
    /// Queue of messages to send.
    pub outbox: Arc<Outbox>,
    /// Closes the link when triggered.
    pub stop: Shutdown,
    unwanted_since_ms: Option<u64>,
    /// Whether the peer was notified that the link closes; the next tick closes it.
    is_closing: bool,
}

#[derive(Debug, Default)]
struct DialState {
    is_in_progress: bool,
    failures: u32,
    next_attempt_ms: u64,
}

/// Output of the core for the subscribers of this process.
#[derive(Debug, Default)]
pub struct Delivery {
    /// New rows, each group with its publisher.
    pub groups: Vec<(RouterId, wire::Group)>,
    /// Whether the row of any router changed.
    pub has_member_changes: bool,
}

/// State of the peer protocol of one process.
pub struct Core {
    /// This process, as it introduces itself.
    pub own: wire::Member,
    degree: usize,
    members: Membership,
    member_rows: IndexMap<String, wire::Member>,
    sessions: HashMap<u64, RouterId>,
    links: IndexMap<u64, Link>,
    dials: HashMap<String, DialState>,
    replica: Replica,
    sequence: u64,
    next_link_id: u64,
    last_name_conflict_ms: Option<u64>,
}

fn health_of(member: &wire::Member) -> Health {
    member.state().into()
}

impl Core {
    /// Creates the state of a process that knows no other router.
    pub fn new(own: wire::Member, degree: usize) -> Self {
        Self {
            own,
            degree,
            members: Membership::new(ROUTER_TIMING, Refutation::HigherIncarnation),
            member_rows: IndexMap::new(),
            sessions: HashMap::new(),
            links: IndexMap::new(),
            dials: HashMap::new(),
            replica: Replica::new(),
            sequence: 0,
            next_link_id: 0,
            last_name_conflict_ms: None,
        }
    }

    /// Open links.
    pub fn links(&self) -> impl Iterator<Item = &Link> {
        self.links.values()
    }

    /// Number of stored rows, which a new link receives.
    pub fn row_count(&self) -> usize {
        self.replica.len()
    }

    /// All known routers except this one, each with its health as seen here.
    pub fn others(&self) -> impl Iterator<Item = (&wire::Member, Health, Incarnation)> {
        self.member_rows.values().filter_map(|info| {
            let member = self.members.get(&info.name)?;
            Some((info, member.health, member.incarnation))
        })
    }

    fn broadcast_member(&self, member: &wire::Member, except: Option<u64>) {
        for (id, link) in &self.links {
            if Some(*id) != except {
                link.outbox.push_member(member.clone());
            }
        }
    }

    fn broadcast_own_member(&self) {
        self.broadcast_member(&self.own, None);
    }

    /// Notifies peers that this process leaves the fleet.
    pub fn leave(&mut self) {
        self.own.state = wire::MemberState::Leaving.into();
        self.broadcast_own_member();
    }

    /// Publishes rows of this process.
    pub fn publish(&mut self, mut group: wire::Group, now_ms: u64) {
        self.sequence += 1;
        group.session = self.own.session;
        group.sequence = self.sequence;
        self.replica.compact(&mut group, now_ms);
        if let Some(merged) = self.replica.merge(group, now_ms) {
            self.forward(&merged.forward, None);
        }
    }

    fn forward(&self, group: &wire::Group, except: Option<u64>) {
        let is_zone_only = group.scope() == wire::Scope::Zone;
        for (id, link) in &self.links {
            let is_in_scope = !is_zone_only || link.peer.zone == self.own.zone;
            if Some(*id) != except && is_in_scope {
                link.outbox.push_group(group.clone());
            }
        }
    }

    /// Sends a packet about the configuration on all links but one.
    pub fn broadcast_config(&self, packet: &wire::Packet, except: Option<u64>) {
        for (id, link) in &self.links {
            if Some(*id) != except {
                link.outbox.push_config(packet.clone());
            }
        }
    }

    /// Sends a packet about the configuration to one router. Returns whether a link to it exists.
    pub fn send_config_to(&self, name: &str, packet: wire::Packet) -> bool {
        let link = self.links.values().find(|link| link.peer.name == name);
        if let Some(link) = link {
            link.outbox.push_config(packet);
        }
        link.is_some()
    }

    /// Queues all members and rows for a link that is new or has dropped rows.
    pub fn send_full_state(&self, outbox: &Outbox, peer_zone: &str, now_ms: u64) {
        outbox.push_member(self.own.clone());
        for (info, health, incarnation) in self.others() {
            outbox.push_member(wire::Member {
                incarnation: incarnation.0,
                state: wire::MemberState::from(health).into(),
                ..info.clone()
            });
        }
        for group in self.replica.full_state(now_ms) {
            if group.scope() != wire::Scope::Zone || peer_zone == self.own.zone {
                outbox.push_group(group);
            }
        }
    }

    /// Stored rows of other routers, each group with its publisher.
    pub fn rows_by_publisher(&self, now_ms: u64) -> Vec<(RouterId, wire::Group)> {
        let groups = self.replica.full_state(now_ms).into_iter();
        groups
            .filter_map(|group| Some((self.sessions.get(&group.session)?.clone(), group)))
            .collect()
    }

    /// Registers a new link and queues the full state for it. Returns none if an existing link
    /// to the same process is preferred.
    pub fn add_link(
        &mut self,
        peer: wire::Member,
        side: Side,
        outbox: Arc<Outbox>,
        now_ms: u64,
        delivery: &mut Delivery,
    ) -> Option<(u64, Shutdown)> {
        let dial = self.dials.entry(peer.name.clone()).or_default();
        *dial = DialState::default();
        let old = self
            .links
            .iter()
            .find(|(_, link)| link.peer.name == peer.name);
        if let Some((id, link)) = old.map(|(id, link)| (*id, link.clone())) {
            let is_same_process = link.peer.session == peer.session;
            // Both ends keep the link that the router with the lower name dialed.
            let preferred = match self.own.name < peer.name {
                true => Side::Dialer,
                false => Side::Acceptor,
            };
            if is_same_process && side != preferred {
                return None;
            }
            link.stop.trigger();
            self.links.shift_remove(&id);
        }
        self.apply_member(&peer, None, now_ms, delivery);
        let id = self.next_link_id;
        self.next_link_id += 1;
        self.send_full_state(&outbox, &peer.zone, now_ms);
        let link = Link {
            peer,
            side,
            outbox,
            stop: Shutdown::new(),
            unwanted_since_ms: None,
            is_closing: false,
        };
        let stop = link.stop.clone();
        self.links.insert(id, link);
        Some((id, stop))
    }

    /// Removes a closed link. Returns the peer to dial at once, which shows whether the peer
    /// failed or only the link; none if the end of the link was expected.
    pub fn remove_link(&mut self, id: u64) -> Option<wire::Member> {
        let link = self.links.shift_remove(&id)?;
        let health = self
            .members
            .get(&link.peer.name)
            .map(|member| member.health);
        let is_expected = link.unwanted_since_ms.is_some() || health == Some(Health::Dead);
        (!is_expected).then_some(link.peer)
    }

    fn apply_member(
        &mut self,
        row: &wire::Member,
        from: Option<u64>,
        now_ms: u64,
        delivery: &mut Delivery,
    ) {
        if row.name == self.own.name {
            self.refute(row, now_ms);
            return;
        }
        let incarnation = Incarnation(row.incarnation);
        if self
            .members
            .apply_row(&row.name, incarnation, health_of(row), now_ms)
            .is_none()
        {
            return;
        }
        let old = self.member_rows.insert(row.name.clone(), row.clone());
        if let Some(old) = old.filter(|old| old.session != row.session) {
            self.sessions.remove(&old.session);
            self.replica.remove_publisher(old.session);
        }
        self.sessions
            .insert(row.session, RouterId::from(row.name.as_str()));
        self.broadcast_member(row, from);
        delivery.has_member_changes = true;
    }

    /// Refutes a row about this process that differs from its own newest row, by publishing a
    /// higher incarnation.
    fn refute(&mut self, row: &wire::Member, now_ms: u64) {
        let is_own = row.session == self.own.session;
        let is_current = is_own && row.state == self.own.state;
        if is_current || row.incarnation < self.own.incarnation {
            return;
        }
        let is_rate_limited = self
            .last_name_conflict_ms
            .is_some_and(|last| now_ms.saturating_sub(last) < NAME_CONFLICT_INTERVAL_MS);
        if !is_own && health_of(row) != Health::Dead {
            if is_rate_limited {
                return;
            }
            self.last_name_conflict_ms = Some(now_ms);
            log::warn!(
                "event=peer_name_reused router={} remedy=\"give each router a unique name\"",
                self.own.name
            );
        }
        self.own.incarnation = row.incarnation + 1;
        log::info!(
            "event=suspicion_refuted incarnation={}",
            self.own.incarnation
        );
        self.broadcast_own_member();
    }

    /// Applies the members and rows of a packet that a link received.
    pub fn apply_packet(&mut self, link: u64, packet: wire::Packet, now_ms: u64) -> Delivery {
        let mut delivery = Delivery::default();
        if let Some(name) = self.links.get(&link).map(|link| link.peer.name.clone()) {
            let incarnation = self.members.get(&name).map(|member| member.incarnation);
            self.members
                .record_contact(&name, incarnation.unwrap_or_default(), now_ms);
        }
        if packet.is_closing
            && let Some(link) = self.links.get_mut(&link)
        {
            link.unwanted_since_ms = Some(now_ms);
        }
        for member in &packet.members {
            self.apply_member(member, Some(link), now_ms, &mut delivery);
        }
        for group in packet.groups {
            let Some(publisher) = self.sessions.get(&group.session).cloned() else {
                continue;
            };
            if let Some(from) = self.links.get(&link) {
                from.outbox.remove_received_group(&group);
            }
            if let Some(merged) = self.replica.merge(group, now_ms) {
                self.forward(&merged.forward, Some(link));
                delivery
                    .groups
                    .push((publisher, merged.into_delivered_group()));
            }
        }
        delivery
    }

    fn broadcast_health_change(&mut self, change: &Change) {
        let Some(info) = self.member_rows.get_mut(&change.name) else {
            return;
        };
        info.state = wire::MemberState::from(change.health).into();
        info.incarnation = change.incarnation.0;
        let info = info.clone();
        log::info!(
            "event=router_{} router={} incarnation={}",
            format!("{:?}", change.health).to_lowercase(),
            change.name,
            change.incarnation
        );
        self.broadcast_member(&info, None);
    }

    /// Records a failed dial. Returns whether the health of the router changed.
    pub fn dial_failed(&mut self, name: &str, now_ms: u64) -> bool {
        let dial = self.dials.entry(name.to_owned()).or_default();
        dial.is_in_progress = false;
        let backoff_ms = DIAL_BACKOFF_MIN_MS << dial.failures.min(8);
        dial.failures += 1;
        dial.next_attempt_ms = now_ms + backoff_ms.min(DIAL_BACKOFF_MAX_MS);
        if self.links.values().any(|link| link.peer.name == name) {
            return false;
        }
        let change = self.members.record_failure(name, now_ms);
        if let Some(change) = &change {
            self.broadcast_health_change(change);
        }
        change.is_some()
    }

    /// Begins a dial. Returns none if the router is unknown, already linked or being dialed, or
    /// if its backoff has not expired.
    pub fn start_dial(&mut self, name: &str, now_ms: u64) -> Option<wire::Member> {
        let is_linked = self.links.values().any(|link| link.peer.name == name);
        let info = self.member_rows.get(name)?.clone();
        let dial = self.dials.entry(name.to_owned()).or_default();
        if is_linked || dial.is_in_progress || now_ms < dial.next_attempt_ms {
            return None;
        }
        dial.is_in_progress = true;
        Some(info)
    }

    /// Ends a dial that connected to the expected router; it does not count as a failure.
    pub fn finish_dial(&mut self, name: &str) {
        if let Some(dial) = self.dials.get_mut(name) {
            dial.is_in_progress = false;
        }
    }

    /// Names of dead routers, which are dialed occasionally so that a partition heals.
    pub fn dead_routers(&self) -> Vec<String> {
        self.others()
            .filter(|(_, health, _)| *health == Health::Dead)
            .map(|(info, ..)| info.name.clone())
            .collect()
    }

    /// Whether a link to a router with this address is open.
    pub fn is_linked_to(&self, address: &str) -> bool {
        self.links.values().any(|link| link.peer.address == address)
    }

    /// Advances time: expires suspicions and rows, and closes links that the overlay no longer
    /// selects. Returns the routers to dial and whether the known routers or their health changed.
    pub fn tick(&mut self, now_ms: u64) -> (Vec<String>, bool) {
        let changes = self.members.tick(now_ms);
        for change in changes
            .iter()
            .filter(|change| change.health == Health::Dead)
        {
            self.broadcast_health_change(change);
        }
        let removed: Vec<String> = self
            .member_rows
            .keys()
            .filter(|name| self.members.get(name).is_none())
            .cloned()
            .collect();
        for name in &removed {
            if let Some(info) = self.member_rows.shift_remove(name) {
                self.sessions.remove(&info.session);
                self.replica.remove_publisher(info.session);
            }
            self.dials.remove(name);
        }
        self.replica.expire(now_ms);
        let selected = self.select_links(now_ms);
        self.close_unwanted_links(&selected, now_ms);
        let dials = selected.iter().map(ToString::to_string).collect();
        (dials, !changes.is_empty() || !removed.is_empty())
    }

    fn select_links(&self, now_ms: u64) -> Vec<RouterId> {
        let is_dialable = |name: &str| {
            let is_linked = self.links.values().any(|link| link.peer.name == name);
            let dial = self.dials.get(name);
            is_linked
                || dial.is_none_or(|dial| dial.failures == 0 || dial.next_attempt_ms <= now_ms)
        };
        let others: Vec<Node> = self
            .others()
            .filter(|(info, health, _)| *health == Health::Alive && is_dialable(&info.name))
            .map(|(info, ..)| overlay_node(info))
            .collect();
        overlay::outgoing_links(&overlay_node(&self.own), &others, self.degree)
    }

    fn close_unwanted_links(&mut self, selected: &[RouterId], now_ms: u64) {
        for link in self.links.values_mut() {
            let is_selected = selected.iter().any(|name| name.as_str() == link.peer.name);
            if link.side == Side::Acceptor {
                continue;
            }
            if is_selected {
                link.unwanted_since_ms = None;
                continue;
            }
            let since_ms = *link.unwanted_since_ms.get_or_insert(now_ms);
            if now_ms.saturating_sub(since_ms) < UNWANTED_LINK_GRACE_MS {
                continue;
            }
            if link.is_closing {
                link.stop.trigger();
            }
            link.is_closing = true;
            link.outbox.push_config(wire::Packet {
                is_closing: true,
                ..wire::Packet::default()
            });
        }
    }
}

fn overlay_node(member: &wire::Member) -> Node {
    Node {
        name: member.name.as_str().into(),
        zone: member.zone.as_str().into(),
        region: member.region.as_str().into(),
    }
}
