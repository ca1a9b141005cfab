//! Settings of a controller process.

use std::net::SocketAddr;
use std::path::Path;

use log::LevelFilter;

use super::{ConfigResult, HOUR_MS, Platform, read_address, read_level};
use crate::config::ini::{Document, SectionReader};
use crate::error::Result;
use crate::ids::RegionId;

/// Settings of a controller process.
#[derive(Debug, Clone, PartialEq)]
pub struct ControllerSettings {
    /// Name of this controller; no two processes may share one.
    pub name: String,
    /// Region whose engines the controller may control.
    pub region: RegionId,
    /// Address to listen on for operators.
    pub admin: SocketAddr,
    /// Number of worker threads.
    pub threads: usize,
    /// How long a lease is valid after it was acquired or renewed.
    pub lease_ms: u64,
    /// Interval at which leases are checked and engines reconciled.
    pub reconcile_ms: u64,
    /// Timeout of one order; a lease must be valid for at least this long when the order is sent.
    pub order_timeout_ms: u64,
    /// Platform services.
    pub platform: Platform,
    /// Least severe level of the lines that are logged.
    pub log_level: LevelFilter,
}

/// Values of the section `[controller]`.
struct ControllerSection {
    name: String,
    region: RegionId,
    admin: SocketAddr,
    threads: usize,
    lease_ms: u64,
    reconcile_ms: u64,
    order_timeout_ms: u64,
}

impl ControllerSection {
    fn read(reader: &mut SectionReader<'_>) -> ConfigResult<Self> {
        let section = Self {
            name: reader.required("name")?.to_owned(),
            region: RegionId::from(reader.required("region")?),
            admin: read_address(reader, "admin")?,
            threads: reader.number("threads", 2, 1, 64)? as usize,
            lease_ms: reader.number("lease_ms", 10_000, 500, HOUR_MS)?,
            reconcile_ms: reader.number("reconcile_ms", 2_000, 10, 60_000)?,
            order_timeout_ms: reader.number("order_timeout_ms", 2_000, 10, HOUR_MS)?,
        };
        if section.order_timeout_ms * 2 > section.lease_ms {
            return Err(reader.error_at(
                "order_timeout_ms",
                "`order_timeout_ms` is more than half of `lease_ms`",
                "lower `order_timeout_ms` or raise `lease_ms`",
            ));
        }
        Ok(section)
    }
}

impl ControllerSettings {
    /// Reads and validates a settings file.
    pub fn open(path: &Path) -> Result<Self> {
        Ok(Self::from_document(&Document::open(path)?)?)
    }

    /// Validates a parsed settings file.
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
        let mut controller = None;
        let mut platform = None;
        let mut log_level = LevelFilter::Info;
        for mut reader in document.readers() {
            match (reader.kind(), reader.label()) {
                ("controller", "") => controller = Some(ControllerSection::read(&mut reader)?),
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
        let controller = controller.ok_or_else(|| missing("controller"))?;
        Ok(Self {
            name: controller.name,
            region: controller.region,
            admin: controller.admin,
            threads: controller.threads,
            lease_ms: controller.lease_ms,
            reconcile_ms: controller.reconcile_ms,
            order_timeout_ms: controller.order_timeout_ms,
            platform: platform.ok_or_else(|| missing("platform"))?,
            log_level,
        })
    }
}
