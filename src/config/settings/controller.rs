//! Settings of a controller process.

use std::net::SocketAddr;
use std::path::Path;

use log::LevelFilter;

use super::{ConfigResult, HOUR_MS, Platform, address, read_level};
use crate::config::ini::{Document, SectionReader};
use crate::error::Result;
use crate::ids::RegionId;

/// Settings of a controller process.
#[derive(Debug, Clone, PartialEq)]
pub struct ControllerSettings {
    /// This controller's name; no two processes may share one.
    pub name: String,
    /// Region whose engines it may control.
    pub region: RegionId,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Worker threads.
    pub threads: usize,
    /// How long a lease lasts without a renewal.
    pub lease_ms: u64,
    /// Time between looks at the leases and the engines.
    pub reconcile_ms: u64,
    /// Longest time one order may take; also the least time that must be left on the lease.
    pub order_timeout_ms: u64,
    /// Platform services.
    pub platform: Platform,
    /// Least severe level that is logged.
    pub log_level: LevelFilter,
}

/// What `[controller]` holds, with the other sections still to come.
struct ControllerIdentity {
    name: String,
    region: RegionId,
    admin: SocketAddr,
    threads: usize,
    lease_ms: u64,
    reconcile_ms: u64,
    order_timeout_ms: u64,
}

impl ControllerIdentity {
    fn read(reader: &mut SectionReader<'_>) -> ConfigResult<Self> {
        let identity = Self {
            name: reader.required("name")?.to_owned(),
            region: RegionId::from(reader.required("region")?),
            admin: address(reader, "admin")?,
            threads: reader.number("threads", 2, 1, 64)? as usize,
            lease_ms: reader.number("lease_ms", 10_000, 500, HOUR_MS)?,
            reconcile_ms: reader.number("reconcile_ms", 2_000, 10, 60_000)?,
            order_timeout_ms: reader.number("order_timeout_ms", 2_000, 10, HOUR_MS)?,
        };
        if identity.order_timeout_ms * 2 > identity.lease_ms {
            return Err(reader.error_at(
                "order_timeout_ms",
                "an order may take more than half of a lease",
                "lower order_timeout_ms or raise lease_ms",
            ));
        }
        Ok(identity)
    }
}

impl ControllerSettings {
    /// Reads and checks a settings file.
    pub fn open(path: &Path) -> Result<Self> {
        Ok(Self::from_document(&Document::open(path)?)?)
    }

    /// Checks a parsed file.
    ///
    /// ```
    /// use jujubeusher::config::ini::Document;
    /// use jujubeusher::config::settings::ControllerSettings;
    /// let text = "[controller]\nname = c1\nregion = g1\nadmin = 127.0.0.1:0\n\
    ///             [platform]\ntable = 127.0.0.1:1\nobjects = 127.0.0.1:2\nhosts = 127.0.0.1:3\n";
    /// let document = Document::parse("controller.ini", text).unwrap();
    /// assert_eq!(ControllerSettings::from_document(&document).unwrap().lease_ms, 10_000);
    /// ```
    pub fn from_document(document: &Document) -> ConfigResult<Self> {
        let mut identity = None;
        let mut platform = None;
        let mut log_level = LevelFilter::Info;
        for mut reader in document.readers() {
            match (reader.kind(), reader.label()) {
                ("controller", "") => identity = Some(ControllerIdentity::read(&mut reader)?),
                ("platform", "") => platform = Some(Platform::read(&mut reader)?),
                ("log", "") => log_level = read_level(&mut reader)?,
                _ => {
                    return Err(reader.error("unknown section", "use controller, platform or log"));
                }
            }
            reader.finish()?;
        }
        let missing = |section: &str| {
            document.error(0, format!("the section [{section}] is missing"), "add it")
        };
        let identity = identity.ok_or_else(|| missing("controller"))?;
        Ok(Self {
            name: identity.name,
            region: identity.region,
            admin: identity.admin,
            threads: identity.threads,
            lease_ms: identity.lease_ms,
            reconcile_ms: identity.reconcile_ms,
            order_timeout_ms: identity.order_timeout_ms,
            platform: platform.ok_or_else(|| missing("platform"))?,
            log_level,
        })
    }
}
