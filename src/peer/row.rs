//! Rows that routers publish to each other, and their conversion to and from wire messages.

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{ConfigVersion, Incarnation, ServerId, TeamId};
use crate::peer::wire;

/// Liveness of a router or a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// Responds to probes or heartbeats.
    Alive,
    /// An attempt to reach it failed and the suspicion is not yet refuted.
    Suspect,
    /// Stayed suspect for longer than the suspect time-out.
    Dead,
    /// Finishes the work in flight and accepts no new work.
    Leaving,
}

impl From<Health> for wire::MemberState {
    fn from(health: Health) -> Self {
        match health {
            Health::Alive => Self::Alive,
            Health::Suspect => Self::Suspect,
            Health::Dead => Self::Dead,
            Health::Leaving => Self::Leaving,
        }
    }
}

impl From<wire::MemberState> for Health {
    fn from(state: wire::MemberState) -> Self {
        match state {
            wire::MemberState::Alive => Self::Alive,
            wire::MemberState::Suspect => Self::Suspect,
            wire::MemberState::Dead => Self::Dead,
            wire::MemberState::Leaving => Self::Leaving,
        }
    }
}

/// Load and liveness of a backend server as observed by a router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerRow {
    /// The observed server.
    pub server: ServerId,
    /// Incarnation that the server reports; 0 if it reports none.
    pub incarnation: Incarnation,
    /// Requests that are running on the server.
    pub running: u32,
    /// Requests in the server's queue.
    pub waiting: u32,
    /// Maximum number of requests that the server runs concurrently.
    pub slots: u32,
    /// Health as seen by the publishing router.
    pub health: Health,
    /// Age of the observation at the time when the row was published or received.
    pub age_ms: u32,
}

/// A team's requests at the publishing router, which publishes its busiest teams while a target
/// is near an admission threshold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamShareRow {
    /// The team whose requests are counted.
    pub team: TeamId,
    /// Requests of the team in flight at the publishing router.
    pub in_flight: u32,
    /// Request rate of the team at the publishing router, in thousandths of a request per
    /// second; 0 in the rows that this version publishes.
    pub rate_milli_per_s: u32,
}

/// The publishing router's own requests in flight on a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UseRow {
    /// The server that runs the requests.
    pub server: ServerId,
    /// Number of these requests.
    pub in_flight: u32,
}

/// A request that was running on a server when the server crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StrikeRow {
    /// Hash of the request's method, path and body.
    pub fingerprint: u64,
    /// The server that crashed.
    pub server: ServerId,
    /// Number of strikes known to the publishing router for this fingerprint and server.
    pub count: u32,
    /// Time until the strike expires, from when the row was published or received.
    pub remaining_ms: u64,
}

/// One changed section of the inventory.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SectionChange {
    /// Text between the brackets of the section header.
    pub name: String,
    /// Lines of the section; none if the section is removed.
    pub body: Option<String>,
}

/// An accepted change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ConfigPush {
    /// The version that results from the change.
    pub version: ConfigVersion,
    /// Random identifier of the change.
    pub change_id: String,
    /// Name of the operator who made the change.
    pub operator: String,
    /// Time of acceptance by the operator's wall clock, in ms since the Unix epoch.
    pub accepted_wall_ms: u64,
    /// SHA-256 of the resulting full text in normal form.
    pub digest: String,
    /// The sections that differ from the previous version; none if there are too many, so that
    /// the full text has to be read.
    pub sections: Option<Vec<SectionChange>>,
}

/// One row that a router publishes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Delta {
    /// Load and liveness of a backend server.
    Server(ServerRow),
    /// The publishing router's requests in flight for a team.
    TeamShare(TeamShareRow),
    /// The publishing router's own requests in flight on a server.
    Use(UseRow),
    /// A strike against a request's fingerprint.
    Strike(StrikeRow),
    /// A configuration change.
    Config(ConfigPush),
}

/// The routers that a row is forwarded to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// All routers.
    Fleet,
    /// The routers of the publisher's zone.
    Zone,
}

impl From<Scope> for wire::Scope {
    fn from(scope: Scope) -> Self {
        match scope {
            Scope::Fleet => Self::Fleet,
            Scope::Zone => Self::Zone,
        }
    }
}

/// Bits of a server's hash on the wire. At 2,400 servers the probability of a collision is below
/// one in a million, and the varint takes 6 bytes.
const SERVER_HASH_BITS: u32 = 42;

/// Hash that identifies a server on the wire.
pub fn server_hash(server: &ServerId) -> u64 {
    xxh3_64(server.as_str().as_bytes()) >> (u64::BITS - SERVER_HASH_BITS)
}

impl wire::Group {
    /// Whether the group contains any row.
    pub fn has_rows(&self) -> bool {
        !(self.servers.is_empty()
            && self.compact_servers.is_empty()
            && self.teams.is_empty()
            && self.strikes.is_empty()
            && self.uses.is_empty())
    }
}

impl From<&ServerRow> for wire::ServerRow {
    fn from(row: &ServerRow) -> Self {
        Self {
            server: server_hash(&row.server),
            incarnation: row.incarnation.0,
            running: row.running,
            waiting: row.waiting,
            slots: row.slots,
            state: wire::MemberState::from(row.health).into(),
            age_ms: row.age_ms,
        }
    }
}

impl ServerRow {
    /// Converts a received row whose hash was resolved to `server`.
    pub fn from_wire(server: ServerId, row: &wire::ServerRow) -> Self {
        Self {
            server,
            incarnation: Incarnation(row.incarnation),
            running: row.running,
            waiting: row.waiting,
            slots: row.slots,
            health: row.state().into(),
            age_ms: row.age_ms,
        }
    }
}

impl From<&TeamShareRow> for wire::TeamShareRow {
    fn from(row: &TeamShareRow) -> Self {
        Self {
            team: row.team.to_string(),
            in_flight: row.in_flight,
            rate_milli_per_s: row.rate_milli_per_s,
        }
    }
}

impl From<&wire::TeamShareRow> for TeamShareRow {
    fn from(row: &wire::TeamShareRow) -> Self {
        Self {
            team: TeamId::from(row.team.as_str()),
            in_flight: row.in_flight,
            rate_milli_per_s: row.rate_milli_per_s,
        }
    }
}

impl From<&UseRow> for wire::UseRow {
    fn from(row: &UseRow) -> Self {
        Self {
            server: server_hash(&row.server),
            in_flight: row.in_flight,
        }
    }
}

impl From<&StrikeRow> for wire::StrikeRow {
    fn from(row: &StrikeRow) -> Self {
        Self {
            fingerprint: row.fingerprint,
            server: row.server.to_string(),
            count: row.count,
            remaining_ms: row.remaining_ms,
        }
    }
}

impl From<&wire::StrikeRow> for StrikeRow {
    fn from(row: &wire::StrikeRow) -> Self {
        Self {
            fingerprint: row.fingerprint,
            server: ServerId::from(row.server.as_str()),
            count: row.count,
            remaining_ms: row.remaining_ms,
        }
    }
}

impl From<&ConfigPush> for wire::ConfigChange {
    fn from(push: &ConfigPush) -> Self {
        let sections = push.sections.iter().flatten();
        Self {
            version: push.version.0,
            change_id: push.change_id.clone(),
            operator: push.operator.clone(),
            accepted_wall_ms: push.accepted_wall_ms,
            digest: push.digest.clone(),
            has_sections: push.sections.is_some(),
            sections: sections
                .map(|section| wire::SectionChange {
                    name: section.name.clone(),
                    body: section.body.clone(),
                })
                .collect(),
        }
    }
}

impl From<&wire::ConfigChange> for ConfigPush {
    fn from(change: &wire::ConfigChange) -> Self {
        let sections = change.sections.iter().map(|section| SectionChange {
            name: section.name.clone(),
            body: section.body.clone(),
        });
        Self {
            version: ConfigVersion(change.version),
            change_id: change.change_id.clone(),
            operator: change.operator.clone(),
            accepted_wall_ms: change.accepted_wall_ms,
            digest: change.digest.clone(),
            sections: change.has_sections.then(|| sections.collect()),
        }
    }
}

#[cfg(test)]
mod tests;
