//! Rows that routers tell each other, and their form on the wire.

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{ConfigVersion, Incarnation, ServerId, TeamId};
use crate::peer::wire;

/// Liveness of a router or a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// Answers.
    Alive,
    /// Failed an attempt to reach it and has not answered since.
    Suspect,
    /// Stayed suspect for too long.
    Dead,
    /// Finishes what it has and takes nothing new.
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

/// What a router saw of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerRow {
    /// The server.
    pub server: ServerId,
    /// Its incarnation; 0 when it reports none.
    pub incarnation: Incarnation,
    /// Requests that it runs.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Its liveness, as the publishing router sees it.
    pub health: Health,
    /// Age of the observation when the row was published or received.
    pub age_ms: u32,
}

/// A team that uses more than its share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamShareRow {
    /// The team.
    pub team: TeamId,
    /// Its requests in flight at the publishing router.
    pub in_flight: u32,
    /// Its rate at the publishing router, in thousandths of a request per second.
    pub rate_milli_per_s: u32,
}

/// The publishing router's own requests on a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UseRow {
    /// The server.
    pub server: ServerId,
    /// Its requests in flight there.
    pub in_flight: u32,
}

/// A request that was running when its server died.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StrikeRow {
    /// Hash of the request's body.
    pub fingerprint: u64,
    /// The server.
    pub server: ServerId,
    /// Strikes that the publishing router knows of for this fingerprint and server.
    pub count: u32,
    /// Time until the strike expires.
    pub remaining_ms: u64,
}

/// One changed section of the inventory.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SectionChange {
    /// Text between the brackets.
    pub name: String,
    /// Its lines; none when the section is removed.
    pub body: Option<String>,
}

/// An accepted change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ConfigPush {
    /// The version that it makes.
    pub version: ConfigVersion,
    /// Random id of the change.
    pub change_id: String,
    /// Who made it.
    pub operator: String,
    /// When, by the operator's clock, in ms since 1970.
    pub accepted_wall_ms: u64,
    /// SHA-256 of the whole text in normal form that it leads to.
    pub digest: String,
    /// The sections that turn the version before into this one; none when there are too
    /// many, and the whole text has to be read.
    pub sections: Option<Vec<SectionChange>>,
}

/// One row from a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Delta {
    /// Load and liveness of a backend server.
    Server(ServerRow),
    /// A team over its share.
    TeamShare(TeamShareRow),
    /// The publishing router's own requests on a server.
    Use(UseRow),
    /// A strike.
    Strike(StrikeRow),
    /// A configuration change.
    Config(ConfigPush),
}

/// How far a row goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// To all routers.
    Fleet,
    /// To the routers of the publisher's zone.
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

/// Bits of a server's hash on the wire. At 2,400 servers two share a value with a
/// probability below one in a million, and the value takes 6 bytes.
const SERVER_HASH_BITS: u32 = 42;

/// The number that stands for a server on the wire.
pub fn server_hash(server: &ServerId) -> u64 {
    xxh3_64(server.as_str().as_bytes()) >> (u64::BITS - SERVER_HASH_BITS)
}

impl wire::Group {
    /// Whether the group holds any row.
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
    /// The row of `server` as received.
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
