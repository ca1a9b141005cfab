//! The inventory, which operators write: zones, teams, models, services, backend servers and the
//! rules of the fleet.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;

use hyper::Method;
use indexmap::IndexMap;
use serde::Serialize;

use crate::config::ini::{Document, SectionReader};
use crate::error::{ConfigError, Result};
use crate::ids::{Class, ModelId, RegionId, Repeat, ServerId, ServiceId, TeamId, Urgency, ZoneId};

type ConfigResult<T> = std::result::Result<T, ConfigError>;

/// Rules for the whole fleet, from the section `[rules]`.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Rules {
    /// Maximum load per slot of a server, as a multiple of the mean of its model's servers.
    pub load_bound: f64,
    /// Fraction of a model's slots up to which requests of free teams are admitted.
    pub free_threshold: f64,
    /// Fraction of a model's slots up to which requests of paying teams are admitted.
    pub paying_threshold: f64,
    /// Number of strikes after which all routers refuse a request. A request gets a strike when a
    /// server crashes while running it.
    pub strikes_max: u32,
    /// How long a strike counts, and how long a request with `strikes_max` strikes is refused.
    pub quarantine_ms: u64,
    /// How long the platform should keep the rows of a claim.
    pub claim_keep_ms: u64,
    /// Model loads per minute that the weight store allows in each region.
    pub weight_loads_per_min: u32,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            load_bound: 1.25,
            free_threshold: 0.6,
            paying_threshold: 1.0,
            strikes_max: 2,
            quarantine_ms: 600_000,
            claim_keep_ms: 86_400_000,
            weight_loads_per_min: 6,
        }
    }
}

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct AvailabilityZone {
    /// Region that the zone belongs to.
    pub region: RegionId,
}

/// A customer of the fleet; callers identify their team by its key.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Team {
    /// Label of the section, unique in the inventory.
    pub id: TeamId,
    /// Paying or free. The class determines the admission threshold, and interactive requests
    /// of free teams may be preempted by requests of paying teams.
    pub class: Class,
    /// Weight of the team's share of capacity under contention, from 1 to 1000.
    pub weight: u32,
}

/// A model that engines serve.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Model {
    /// Version of the weights that the model's servers should have loaded.
    pub weights_version: String,
}

/// An adapter of a model; the model's engines load it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Adapter {
    /// Base model of the adapter.
    pub model: ModelId,
}

/// A plain service, which is not a model.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Service {
    /// Path prefix that selects the service; starts and ends with a slash and doesn't overlap the
    /// prefix of another service.
    pub path_prefix: String,
}

/// Rule for the calls of a plain service with one method and path prefix.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Route {
    /// Service that the rule belongs to.
    pub service: ServiceId,
    /// HTTP method of the calls.
    #[serde(serialize_with = "serialize_method")]
    pub method: Method,
    /// Path prefix of the calls; the longest matching prefix applies.
    pub path: String,
    /// Whether a call may run more than once.
    pub repeat: Repeat,
    /// Whether a call may be deferred.
    pub urgency: Urgency,
    /// Whether a non-idempotent call without an idempotency key is refused.
    pub is_key_required: bool,
}

fn serialize_method<S>(method: &Method, serializer: S) -> std::result::Result<S::Ok, S::Error>
where
    S: serde::Serializer,
{
    serializer.serialize_str(method.as_str())
}

/// What a backend server serves.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// A model; the server is an engine.
    Model(ModelId),
    /// A plain service.
    Service(ServiceId),
}

/// Whether a backend server receives new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// Receives new requests.
    Active,
    /// Completes its requests in flight and receives no new ones.
    Leaving,
}

/// A backend server.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct BackendServer {
    /// Label of the section, unique in the inventory.
    pub id: ServerId,
    /// Model or service that the server serves.
    pub target: Target,
    /// Address that the server listens on, unique in the inventory.
    pub address: SocketAddr,
    /// Availability zone of the server's host.
    pub zone: ZoneId,
    /// Number of requests that the server can run concurrently.
    pub slots: u32,
    /// Whether the server receives new requests.
    pub state: ServerState,
    /// Whether the server rejects orders with an outdated fencing number.
    pub checks_fencing: bool,
}

/// A valid inventory. The maps keep the order of the file.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Inventory {
    /// Rules for the whole fleet.
    pub rules: Rules,
    /// Availability zones by id.
    pub zones: IndexMap<ZoneId, AvailabilityZone>,
    /// Teams by id.
    pub teams: IndexMap<TeamId, Team>,
    /// Models by id.
    pub models: IndexMap<ModelId, Model>,
    /// Adapters by name.
    pub adapters: IndexMap<String, Adapter>,
    /// Plain services by id.
    pub services: IndexMap<ServiceId, Service>,
    /// Routes by name.
    pub routes: IndexMap<String, Route>,
    /// Backend servers by id.
    pub servers: IndexMap<ServerId, BackendServer>,
    #[serde(skip)]
    team_by_key: HashMap<KeyDigest, TeamId>,
    #[serde(skip)]
    server_by_address: HashMap<SocketAddr, ServerId>,
}

/// SHA-256 of a team's key, kept as bytes because an inventory may have 13,000 teams and the text
/// in hexadecimal takes more memory.
type KeyDigest = [u8; 32];

fn parse_digest(hex: &str) -> Option<KeyDigest> {
    let mut digest = KeyDigest::default();
    if !hex.is_ascii() || hex.len() != 2 * digest.len() {
        return None;
    }
    for (byte, digits) in digest.iter_mut().zip(hex.as_bytes().chunks(2)) {
        let digits = std::str::from_utf8(digits).ok()?;
        // `from_str_radix` also accepts a sign.
        if !digits.bytes().all(|digit| digit.is_ascii_hexdigit()) {
            return None;
        }
        *byte = u8::from_str_radix(digits, 16).ok()?;
    }
    Some(digest)
}

impl Rules {
    fn read(reader: &mut SectionReader<'_>) -> ConfigResult<Self> {
        let base = Self::default();
        Ok(Self {
            load_bound: reader.decimal("load_bound", base.load_bound, 1.0, 10.0)?,
            free_threshold: reader.decimal("free_threshold", base.free_threshold, 0.0, 1.0)?,
            paying_threshold: reader.decimal(
                "paying_threshold",
                base.paying_threshold,
                0.1,
                10.0,
            )?,
            strikes_max: reader.number("strikes_max", base.strikes_max.into(), 1, 10)? as u32,
            quarantine_ms: reader.number("quarantine_ms", base.quarantine_ms, 1, 86_400_000)?,
            claim_keep_ms: reader.number("claim_keep_ms", base.claim_keep_ms, 1, 2_592_000_000)?,
            weight_loads_per_min: reader.number(
                "weight_loads_per_min",
                base.weight_loads_per_min.into(),
                1,
                10_000,
            )? as u32,
        })
    }
}

impl Inventory {
    /// Reads and validates an inventory file.
    pub fn open(path: &Path) -> Result<Self> {
        Ok(Self::from_document(&Document::open(path)?)?)
    }

    /// Validates a parsed inventory file and builds the inventory.
    ///
    /// ```
    /// use jujubeusher::config::ini::Document;
    /// use jujubeusher::config::inventory::Inventory;
    /// let text = "[zone z1]\nregion = g1\n[model m1]\n\
    ///             [server s1]\nmodel = m1\naddress = 127.0.0.1:9000\nzone = z1\n";
    /// let inventory = Inventory::from_document(&Document::parse("i.ini", text).unwrap()).unwrap();
    /// assert_eq!(inventory.servers.len(), 1);
    /// ```
    pub fn from_document(document: &Document) -> ConfigResult<Self> {
        let mut inventory = Self::default();
        for mut reader in document.readers() {
            inventory.read_section(&mut reader)?;
            reader.finish()?;
        }
        for mut reader in document.readers() {
            inventory.check_references(&mut reader)?;
        }
        Ok(inventory)
    }

    fn read_section(&mut self, reader: &mut SectionReader<'_>) -> ConfigResult<()> {
        match reader.kind() {
            "rules" if reader.label().is_empty() => self.rules = Rules::read(reader)?,
            "zone" => {
                let id = ZoneId::from(reader.required_label()?);
                let region = RegionId::from(reader.required("region")?);
                self.zones.insert(id, AvailabilityZone { region });
            }
            "team" => self.read_team(reader)?,
            "model" => {
                let id = ModelId::from(reader.required_label()?);
                let weights_version = reader.optional("weights_version").unwrap_or("1").to_owned();
                self.models.insert(id, Model { weights_version });
            }
            "adapter" => {
                let name = reader.required_label()?.to_owned();
                let model = ModelId::from(reader.required("model")?);
                self.adapters.insert(name, Adapter { model });
            }
            "service" => self.read_service(reader)?,
            "route" => self.read_route(reader)?,
            "server" => self.read_server(reader)?,
            _ => {
                return Err(reader.error(
                    "unknown section",
                    "use rules, zone, team, model, adapter, service, route or server",
                ));
            }
        }
        Ok(())
    }

    fn read_team(&mut self, reader: &mut SectionReader<'_>) -> ConfigResult<()> {
        let id = TeamId::from(reader.required_label()?);
        let Some(digest) = parse_digest(reader.required("key_sha256")?) else {
            return Err(reader.error_at(
                "key_sha256",
                "the key digest is not a SHA-256 digest in hexadecimal",
                "write the 64 digits that `jujubeusher-ctl digest` prints for the key",
            ));
        };
        let class = reader.choice(
            "class",
            Class::Paying,
            &[("paying", Class::Paying), ("free", Class::Free)],
        )?;
        let weight = reader.number("weight", 1, 1, 1000)? as u32;
        if let Some(other) = self.team_by_key.insert(digest, id.clone()) {
            return Err(reader.error_at(
                "key_sha256",
                format!("team `{other}` has the same key"),
                "give each team its own key",
            ));
        }
        let team = Team {
            id: id.clone(),
            class,
            weight,
        };
        self.teams.insert(id, team);
        Ok(())
    }

    fn read_service(&mut self, reader: &mut SectionReader<'_>) -> ConfigResult<()> {
        let id = ServiceId::from(reader.required_label()?);
        let path_prefix = reader.required("path_prefix")?.to_owned();
        let is_prefix = path_prefix.len() > 1
            && path_prefix.starts_with('/')
            && path_prefix.ends_with('/')
            && !path_prefix.starts_with("/v1/");
        if !is_prefix {
            return Err(reader.error_at(
                "path_prefix",
                format!("`{path_prefix}` is not a usable prefix"),
                "write /NAME/ with slashes at both ends; prefixes below /v1/ are reserved",
            ));
        }
        let has_overlap = self.services.values().any(|other| {
            other.path_prefix.starts_with(&path_prefix)
                || path_prefix.starts_with(&other.path_prefix)
        });
        if has_overlap {
            return Err(reader.error_at(
                "path_prefix",
                format!("`{path_prefix}` overlaps the prefix of another service"),
                "give each service its own prefix",
            ));
        }
        self.services.insert(id, Service { path_prefix });
        Ok(())
    }

    fn read_route(&mut self, reader: &mut SectionReader<'_>) -> ConfigResult<()> {
        let name = reader.required_label()?.to_owned();
        let service = ServiceId::from(reader.required("service")?);
        let method_text = reader.required("method")?;
        let method = method_text.parse::<Method>().map_err(|_| {
            reader.error_at(
                "method",
                format!("`{method_text}` is not an HTTP method"),
                "write GET, POST, PUT, PATCH or DELETE",
            )
        })?;
        let path = reader.required("path")?.to_owned();
        let repeat = reader.choice(
            "idempotent",
            Repeat::Once,
            &[("yes", Repeat::Idempotent), ("no", Repeat::Once)],
        )?;
        let urgency = reader.choice(
            "deferred",
            Urgency::Interactive,
            &[("yes", Urgency::Deferred), ("no", Urgency::Interactive)],
        )?;
        let is_key_required =
            reader.choice("key_required", true, &[("yes", true), ("no", false)])?;
        let route = Route {
            service,
            method,
            path,
            repeat,
            urgency,
            is_key_required,
        };
        self.routes.insert(name, route);
        Ok(())
    }

    fn read_server(&mut self, reader: &mut SectionReader<'_>) -> ConfigResult<()> {
        let id = ServerId::from(reader.required_label()?);
        let target = match (reader.optional("model"), reader.optional("service")) {
            (Some(model), None) => Target::Model(ModelId::from(model)),
            (None, Some(service)) => Target::Service(ServiceId::from(service)),
            _ => {
                return Err(reader.error(
                    "a server needs either `model` or `service`",
                    "write exactly one of the two",
                ));
            }
        };
        let text = reader.required("address")?;
        let address = text.parse().map_err(|_| {
            reader.error_at(
                "address",
                format!("`{text}` is not an address"),
                "write IP:PORT, as in 10.0.0.7:8000",
            )
        })?;
        if let Some(other) = self.server_by_address.insert(address, id.clone()) {
            return Err(reader.error_at(
                "address",
                format!("server `{other}` has the same address"),
                "give each server its own address",
            ));
        }
        let server = BackendServer {
            id: id.clone(),
            target,
            address,
            zone: ZoneId::from(reader.required("zone")?),
            slots: reader.number("slots", 32, 1, 100_000)? as u32,
            state: reader.choice(
                "state",
                ServerState::Active,
                &[
                    ("active", ServerState::Active),
                    ("leaving", ServerState::Leaving),
                ],
            )?,
            checks_fencing: reader.choice(
                "checks_fencing",
                false,
                &[("yes", true), ("no", false)],
            )?,
        };
        self.servers.insert(id, server);
        Ok(())
    }

    fn check_references(&self, reader: &mut SectionReader<'_>) -> ConfigResult<()> {
        for key in ["zone", "model", "service"] {
            let Some(name) = reader.optional(key) else {
                continue;
            };
            let is_known = match key {
                "zone" => self.zones.contains_key(name),
                "model" => self.models.contains_key(name),
                _ => self.services.contains_key(name),
            };
            if !is_known {
                return Err(reader.error_at(
                    key,
                    format!("no section [{key} {name}]"),
                    "add the section or correct the name",
                ));
            }
        }
        Ok(())
    }

    /// Returns the team whose key has this SHA-256, given in hexadecimal.
    pub fn team_by_key_sha256(&self, key_sha256: &str) -> Option<&Team> {
        let digest = parse_digest(key_sha256)?;
        self.teams.get(self.team_by_key.get(&digest)?)
    }

    /// Returns the service whose path prefix `path` starts with.
    pub fn service_by_path(&self, path: &str) -> Option<&ServiceId> {
        self.services
            .iter()
            .find(|(_, service)| path.starts_with(&service.path_prefix))
            .map(|(id, _)| id)
    }

    /// Returns the route with the longest path prefix that matches a call of `service`; `None` if
    /// no route of the method matches.
    pub fn route(&self, service: &ServiceId, method: &Method, path: &str) -> Option<&Route> {
        self.routes
            .values()
            .filter(|route| {
                route.service == *service
                    && route.method == *method
                    && path.starts_with(&route.path)
            })
            .max_by_key(|route| route.path.len())
    }

    /// Returns the servers of `target`, in file order.
    pub fn servers_of<'a>(
        &'a self,
        target: &'a Target,
    ) -> impl Iterator<Item = &'a BackendServer> + 'a {
        self.servers
            .values()
            .filter(move |server| server.target == *target)
    }
}

#[cfg(test)]
mod tests;
