//! Settings of the processes. Keys of times, sizes and rates end in their unit.

mod controller;

use std::net::SocketAddr;
use std::path::Path;

use log::LevelFilter;

use crate::config::ini::{Document, SectionReader};
use crate::config::serving::ServingSettings;
use crate::error::{ConfigError, Result};
use crate::ids::{RegionId, RouterId, ZoneId};

pub use self::controller::ControllerSettings;

/// Limits on the requests and connections of callers, from the section `[limits]`.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Maximum size of the header block of a request.
    pub header_bytes: usize,
    /// Maximum number of headers of a request.
    pub headers_max: usize,
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Maximum total size of the request bodies in memory, over all callers. One team may use half
    /// of it.
    pub body_total_bytes: usize,
    /// Maximum wait for a request on an open connection, or for a caller to read its response.
    pub idle_timeout_ms: u64,
    /// Maximum time from the first byte of a header block to its end.
    pub header_timeout_ms: u64,
    /// Maximum time for receiving a complete body.
    pub body_timeout_ms: u64,
    /// Maximum number of open caller connections.
    pub connections_max: usize,
    /// Maximum number of requests in flight.
    pub requests_max: usize,
    /// Maximum number of requests in flight of one team.
    pub team_requests_max: usize,
}

/// Retry policy, from the section `[retry]`.
#[derive(Debug, Clone, PartialEq)]
pub struct Retry {
    /// Maximum number of attempts of one request, the first one included.
    pub attempts_max: u32,
    /// Retries allowed per successful request, on average.
    pub budget_ratio: f64,
    /// Backoff before the first retry; it doubles with each further retry.
    pub backoff_base_ms: u64,
    /// Longest backoff.
    pub backoff_max_ms: u64,
}

/// Timeouts of requests to backend servers, from the section `[timeouts]`.
#[derive(Debug, Clone, PartialEq)]
pub struct Timeouts {
    /// Maximum time for opening a connection.
    pub connect_ms: u64,
    /// Maximum time from dispatch to the first event or the response header.
    pub first_event_ms: u64,
    /// Maximum time between events.
    pub next_event_ms: u64,
    /// Maximum time for a request, if the caller sets no deadline.
    pub request_ms: u64,
    /// Maximum duration of a planned stop, during which open connections close and requests in
    /// flight complete.
    pub stop_ms: u64,
}

/// Addresses of the platform's services, from the section `[platform]`.
#[derive(Debug, Clone, PartialEq)]
pub struct Platform {
    /// Address of the table service.
    pub table: SocketAddr,
    /// Address of the object store.
    pub objects: SocketAddr,
    /// Address of the host list.
    pub hosts: SocketAddr,
    /// Maximum wait for a response of a service.
    pub timeout_ms: u64,
    /// Interval between polls of the configuration's head row.
    pub poll_ms: u64,
}

/// Settings of the peer protocol, from the section `[peers]`.
#[derive(Debug, Clone, PartialEq)]
pub struct Peers {
    /// Address to listen on for other routers.
    pub listen: SocketAddr,
    /// Address at which other routers reach this one; `listen` is used if it is not set.
    pub advertise: Option<SocketAddr>,
    /// Peer addresses that the router contacts to join the overlay.
    pub seeds: Vec<SocketAddr>,
    /// Secret shared by all routers, which authenticates peers.
    pub shared_key: String,
    /// Number of links that each router maintains.
    pub degree: usize,
}

/// Settings of a router process.
#[derive(Debug, Clone, PartialEq)]
pub struct RouterSettings {
    /// Name of this router; no two routers may share one.
    pub name: RouterId,
    /// Availability zone of this host.
    pub zone: ZoneId,
    /// Region of this host.
    pub region: RegionId,
    /// Address to listen on for callers.
    pub listen: SocketAddr,
    /// Address to listen on for operators.
    pub admin: SocketAddr,
    /// Number of worker threads.
    pub threads: usize,
    /// Platform services; `None` in standalone mode.
    pub platform: Option<Platform>,
    /// Peer protocol; `None` for a single router.
    pub peers: Option<Peers>,
    /// Limits on the requests and connections of callers.
    pub limits: Limits,
    /// Retry policy.
    pub retry: Retry,
    /// Timeouts of requests to backend servers.
    pub timeouts: Timeouts,
    /// Server selection, trace recorder and deferred requests.
    pub serving: ServingSettings,
    /// Least severe level of the lines that are logged.
    pub log_level: LevelFilter,
}

const LEVELS: [(&str, LevelFilter); 5] = [
    ("error", LevelFilter::Error),
    ("warn", LevelFilter::Warn),
    ("info", LevelFilter::Info),
    ("debug", LevelFilter::Debug),
    ("trace", LevelFilter::Trace),
];

const HOUR_MS: u64 = 3_600_000;

type ConfigResult<T> = std::result::Result<T, ConfigError>;

fn read_address(reader: &mut SectionReader<'_>, key: &str) -> ConfigResult<SocketAddr> {
    let text = reader.required(key)?;
    text.parse().map_err(|_| {
        reader.error_at(
            key,
            format!("`{key} = {text}` is not an address"),
            "write IP:PORT, as in 127.0.0.1:8080",
        )
    })
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            headers_max: 64,
            body_bytes: 4 * 1024 * 1024,
            body_total_bytes: 256 * 1024 * 1024,
            idle_timeout_ms: 60_000,
            header_timeout_ms: 10_000,
            body_timeout_ms: 30_000,
            connections_max: 10_000,
            requests_max: 5_000,
            team_requests_max: 2_000,
        }
    }
}

impl Limits {
    fn read(reader: &mut SectionReader<'_>) -> ConfigResult<Self> {
        let base = Self::default();
        let mut size = |key: &str, default: usize, min: u64, max: u64| {
            reader
                .number(key, default as u64, min, max)
                .map(|v| v as usize)
        };
        let limits = Self {
            // hyper rejects a connection buffer of less than 8 KiB.
            header_bytes: size("header_bytes", base.header_bytes, 8192, 1 << 20)?,
            headers_max: size("headers_max", base.headers_max, 8, 1024)?,
            body_bytes: size("body_bytes", base.body_bytes, 1024, 64 << 20)?,
            body_total_bytes: size("body_total_bytes", base.body_total_bytes, 2048, 64 << 30)?,
            connections_max: size("connections_max", base.connections_max, 1, 1_000_000)?,
            requests_max: size("requests_max", base.requests_max, 1, 1_000_000)?,
            team_requests_max: size("team_requests_max", base.team_requests_max, 1, 1_000_000)?,
            idle_timeout_ms: reader.number("idle_timeout_ms", base.idle_timeout_ms, 10, HOUR_MS)?,
            header_timeout_ms: reader.number(
                "header_timeout_ms",
                base.header_timeout_ms,
                10,
                HOUR_MS,
            )?,
            body_timeout_ms: reader.number("body_timeout_ms", base.body_timeout_ms, 10, HOUR_MS)?,
        };
        // The bodies of one team may use half of the total, which must suffice for the largest
        // body.
        if limits.body_total_bytes / 2 < limits.body_bytes {
            return Err(reader.error_at(
                "body_total_bytes",
                "`body_total_bytes` is less than twice `body_bytes`",
                "raise it or lower `body_bytes`",
            ));
        }
        Ok(limits)
    }
}

impl Default for Retry {
    fn default() -> Self {
        Self {
            attempts_max: 3,
            budget_ratio: 0.1,
            backoff_base_ms: 20,
            backoff_max_ms: 1_000,
        }
    }
}

impl Retry {
    fn read(reader: &mut SectionReader<'_>) -> ConfigResult<Self> {
        let base = Self::default();
        Ok(Self {
            attempts_max: reader.number("attempts_max", base.attempts_max.into(), 1, 10)? as u32,
            budget_ratio: reader.decimal("budget_ratio", base.budget_ratio, 0.0, 0.2)?,
            backoff_base_ms: reader.number("backoff_base_ms", base.backoff_base_ms, 1, 10_000)?,
            backoff_max_ms: reader.number("backoff_max_ms", base.backoff_max_ms, 1, 60_000)?,
        })
    }
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            connect_ms: 500,
            first_event_ms: 10_000,
            next_event_ms: 10_000,
            request_ms: 300_000,
            stop_ms: 600_000,
        }
    }
}

impl Timeouts {
    fn read(reader: &mut SectionReader<'_>) -> ConfigResult<Self> {
        let base = Self::default();
        Ok(Self {
            connect_ms: reader.number("connect_ms", base.connect_ms, 1, HOUR_MS)?,
            first_event_ms: reader.number("first_event_ms", base.first_event_ms, 1, HOUR_MS)?,
            next_event_ms: reader.number("next_event_ms", base.next_event_ms, 1, HOUR_MS)?,
            request_ms: reader.number("request_ms", base.request_ms, 1, 24 * HOUR_MS)?,
            stop_ms: reader.number("stop_ms", base.stop_ms, 1, 24 * HOUR_MS)?,
        })
    }
}

impl Platform {
    fn read(reader: &mut SectionReader<'_>) -> ConfigResult<Self> {
        Ok(Self {
            table: read_address(reader, "table")?,
            objects: read_address(reader, "objects")?,
            hosts: read_address(reader, "hosts")?,
            timeout_ms: reader.number("timeout_ms", 500, 1, 60_000)?,
            poll_ms: reader.number("poll_ms", 2_000, 10, 60_000)?,
        })
    }
}

impl Peers {
    fn read(reader: &mut SectionReader<'_>) -> ConfigResult<Self> {
        let listen = read_address(reader, "listen")?;
        let mut seeds = Vec::new();
        let list = reader.optional("seeds").unwrap_or_default();
        for text in list.split(',').map(str::trim).filter(|t| !t.is_empty()) {
            let seed = text.parse().map_err(|_| {
                reader.error_at(
                    "seeds",
                    format!("`{text}` is not an address"),
                    "write IP:PORT, separated by commas",
                )
            })?;
            seeds.push(seed);
        }
        let shared_key = reader.required("shared_key")?.to_owned();
        if shared_key.len() < PEER_KEY_MIN_BYTES {
            return Err(reader.error_at(
                "shared_key",
                "the shared key is too short",
                "use at least 16 characters of random text",
            ));
        }
        let advertise = match reader.optional("advertise") {
            Some(_) => Some(read_address(reader, "advertise")?),
            None => None,
        };
        Ok(Self {
            listen,
            advertise,
            seeds,
            shared_key,
            degree: reader.number("degree", 6, 2, 32)? as usize,
        })
    }
}

const PEER_KEY_MIN_BYTES: usize = 16;

/// Values of the section `[router]`.
struct RouterSection {
    name: RouterId,
    zone: ZoneId,
    region: RegionId,
    listen: SocketAddr,
    admin: SocketAddr,
    threads: usize,
}

impl RouterSection {
    fn read(reader: &mut SectionReader<'_>) -> ConfigResult<Self> {
        Ok(Self {
            name: RouterId::from(reader.required("name")?),
            zone: ZoneId::from(reader.required("zone")?),
            region: RegionId::from(reader.required("region")?),
            listen: read_address(reader, "listen")?,
            admin: read_address(reader, "admin")?,
            threads: reader.number("threads", 4, 1, 256)? as usize,
        })
    }
}

fn read_level(reader: &mut SectionReader<'_>) -> ConfigResult<LevelFilter> {
    reader.choice("level", LevelFilter::Info, &LEVELS)
}

impl RouterSettings {
    /// Reads and validates a settings file.
    pub fn open(path: &Path) -> Result<Self> {
        Ok(Self::from_document(&Document::open(path)?)?)
    }

    /// Validates a parsed settings file.
    ///
    /// ```
    /// use jujubeusher::config::ini::Document;
    /// use jujubeusher::config::settings::RouterSettings;
    /// let text = "[router]\nname = r1\nzone = z1\nregion = g1\n\
    ///             listen = 127.0.0.1:0\nadmin = 127.0.0.1:0\n";
    /// let document = Document::parse("router.ini", text).unwrap();
    /// assert_eq!(RouterSettings::from_document(&document).unwrap().threads, 4);
    /// ```
    pub fn from_document(document: &Document) -> ConfigResult<Self> {
        let mut section = None;
        let mut platform = None;
        let mut peers = None;
        let mut limits = Limits::default();
        let mut retry = Retry::default();
        let mut timeouts = Timeouts::default();
        let mut serving = ServingSettings::default();
        let mut log_level = LevelFilter::Info;
        for mut reader in document.readers() {
            match (reader.kind(), reader.label()) {
                ("router", "") => section = Some(RouterSection::read(&mut reader)?),
                ("platform", "") => platform = Some(Platform::read(&mut reader)?),
                ("peers", "") => peers = Some(Peers::read(&mut reader)?),
                ("limits", "") => limits = Limits::read(&mut reader)?,
                ("retry", "") => retry = Retry::read(&mut reader)?,
                ("timeouts", "") => timeouts = Timeouts::read(&mut reader)?,
                ("choose" | "trace" | "deferred", "") => serving.read(&mut reader)?,
                ("log", "") => log_level = read_level(&mut reader)?,
                _ => {
                    return Err(reader.error(
                        "unknown section",
                        "use router, platform, peers, limits, retry, timeouts, choose, trace, deferred or log",
                    ));
                }
            }
            reader.finish()?;
        }
        let section = section
            .ok_or_else(|| document.error(0, "the section [router] is missing", "add it"))?;
        let settings = Self {
            name: section.name,
            zone: section.zone,
            region: section.region,
            listen: section.listen,
            admin: section.admin,
            threads: section.threads,
            platform,
            peers,
            limits,
            retry,
            timeouts,
            serving,
            log_level,
        };
        settings.check_addresses(document)?;
        Ok(settings)
    }

    fn check_addresses(&self, document: &Document) -> ConfigResult<()> {
        let mut addresses = vec![self.listen, self.admin];
        addresses.extend(self.peers.as_ref().map(|peers| peers.listen));
        for (index, address) in addresses.iter().enumerate() {
            if address.port() != 0 && addresses[..index].contains(address) {
                return Err(document.error(
                    0,
                    format!("address {address} is used twice"),
                    "give each listener its own port",
                ));
            }
        }
        Ok(())
    }
}
