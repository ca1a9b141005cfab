//! INI settings of the `jujubeusher-standins` binary, with one section per stand-in.
//!
//! ```ini
//! [engine e0]
//! listen = 127.0.0.1:0
//! tokens = 8
//! [proxy p0]
//! listen = 127.0.0.1:0
//! upstream = engine e0
//! delay_ms = 5
//! ```

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use indexmap::IndexMap;
use ini::{Ini, Properties};
use thiserror::Error;

use crate::engine::{Engine, EngineOptions};
use crate::hosts::{Host, HostList, HostState};
use crate::objects::ObjectStore;
use crate::proxy::{End, Faults, Proxy, RandomFaults};
use crate::table::Table;

/// Error that prevents the stand-ins from starting.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file is unreadable or not valid INI.
    #[error("{0}; write an INI file with one section for each stand-in")]
    File(#[from] ini::Error),
    /// A section is invalid.
    #[error("[{section}]: {problem}")]
    Section {
        /// Name of the section.
        section: String,
        /// Description of the problem, with the remedy.
        problem: String,
    },
    /// A listener could not be bound.
    #[error("[{section}]: cannot listen: {source}; choose a free address")]
    Listen {
        /// Name of the section.
        section: String,
        /// Error from the operating system.
        source: io::Error,
    },
}

type Result<T> = std::result::Result<T, SettingsError>;

/// One running stand-in.
#[derive(Debug)]
pub enum StandIn {
    /// Model engine, `[engine NAME]`.
    Engine(Engine),
    /// Table service, `[table]`.
    Table(Table),
    /// Object store, `[objects]`.
    Objects(ObjectStore),
    /// Host list, `[hosts]`.
    Hosts(HostList),
    /// Fault-injecting proxy, `[proxy NAME]`.
    Proxy(Proxy),
}

impl StandIn {
    /// Listening address, with the actual port.
    pub fn address(&self) -> SocketAddr {
        match self {
            Self::Engine(engine) => engine.address(),
            Self::Table(table) => table.address(),
            Self::Objects(objects) => objects.address(),
            Self::Hosts(hosts) => hosts.address(),
            Self::Proxy(proxy) => proxy.address(),
        }
    }
}

/// Running stand-ins by section name, in file order.
pub type StandIns = IndexMap<String, StandIn>;

/// Starts all stand-ins that an INI file describes.
pub fn start_file(path: &Path) -> Result<StandIns> {
    start_ini(&Ini::load_from_file(path)?)
}

/// Starts all stand-ins that a parsed INI file describes.
pub fn start_ini(file: &Ini) -> Result<StandIns> {
    let mut running = StandIns::new();
    for (name, properties) in file.iter() {
        let Some(name) = name else { continue };
        let name = name.split_whitespace().collect::<Vec<_>>().join(" ");
        let mut section = Section {
            name: name.clone(),
            properties: properties.clone(),
        };
        if let Some(standin) = section.start(&running)? {
            running.insert(name, standin);
        }
        section.finish()?;
    }
    Ok(running)
}

/// A section whose keys are removed as they are read, so that the remaining ones are unknown.
struct Section {
    name: String,
    properties: Properties,
}

impl Section {
    fn error(&self, problem: impl Into<String>) -> SettingsError {
        SettingsError::Section {
            section: self.name.clone(),
            problem: problem.into(),
        }
    }

    fn value<T>(&mut self, key: &str, default: T) -> Result<T>
    where
        T: FromStr,
    {
        match self.properties.remove(key) {
            None => Ok(default),
            Some(text) => text.parse().map_err(|_| {
                self.error(format!(
                    "`{key} = {text}` cannot be parsed; correct the value"
                ))
            }),
        }
    }

    fn duration_ms(&mut self, key: &str, default: Duration) -> Result<Duration> {
        let default_ms = default.as_millis() as u64;
        Ok(Duration::from_millis(self.value(key, default_ms)?))
    }

    fn choice<T>(&mut self, key: &str, choices: &[(&str, T)]) -> Result<T>
    where
        T: Copy,
    {
        let text = self.value(key, choices[0].0.to_owned())?;
        let found = choices.iter().find(|(word, _)| *word == text);
        let words: Vec<&str> = choices.iter().map(|(word, _)| *word).collect();
        let problem = format!("`{key} = {text}`: choose one of: {}", words.join(", "));
        found
            .map(|(_, value)| *value)
            .ok_or_else(|| self.error(problem))
    }

    fn finish(self) -> Result<()> {
        match self.properties.iter().next() {
            None => Ok(()),
            Some((key, _)) => Err(self.error(format!("unknown key `{key}`; remove it"))),
        }
    }

    /// Starts the stand-in that the section describes. A `[host NAME]` section starts nothing; it
    /// adds an entry to the closest preceding `[hosts]`.
    fn start(&mut self, running: &StandIns) -> Result<Option<StandIn>> {
        let name = self.name.clone();
        let (kind, label) = name.split_once(' ').unwrap_or((&name, ""));
        if kind == "host" {
            self.add_host(label, running)?;
            return Ok(None);
        }
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let listen = self.value("listen", any_port)?;
        let bound = match kind {
            "engine" => {
                let options = self.engine_options(label)?;
                Engine::bind(listen, options).map(StandIn::Engine)
            }
            "table" => Table::bind(listen).map(StandIn::Table),
            "objects" => ObjectStore::bind(listen).map(StandIn::Objects),
            "hosts" => {
                let lag = self.duration_ms("lag_ms", Duration::ZERO)?;
                HostList::bind(listen).map(|hosts| {
                    hosts.set_lag(lag);
                    StandIn::Hosts(hosts)
                })
            }
            "proxy" => {
                let upstream = self.upstream(running)?;
                let faults = self.faults()?;
                Proxy::bind(listen, upstream).map(|proxy| {
                    proxy.set_faults(faults);
                    StandIn::Proxy(proxy)
                })
            }
            _ => {
                return Err(
                    self.error("unknown section; use engine, table, objects, hosts, host or proxy")
                );
            }
        };
        let section = self.name.clone();
        bound
            .map(Some)
            .map_err(|source| SettingsError::Listen { section, source })
    }

    fn engine_options(&mut self, label: &str) -> Result<EngineOptions> {
        let mut options = EngineOptions::named(label);
        options.tokens = self.value("tokens", options.tokens)?;
        options.first_token_delay =
            self.duration_ms("first_token_ms", options.first_token_delay)?;
        options.token_interval = self.duration_ms("next_token_ms", options.token_interval)?;
        Ok(options)
    }

    fn add_host(&mut self, label: &str, running: &StandIns) -> Result<()> {
        let mut lists = running.values().filter_map(|standin| match standin {
            StandIn::Hosts(hosts) => Some(hosts),
            _ => None,
        });
        let Some(hosts) = lists.next_back() else {
            return Err(self.error("no [hosts] section precedes this one; add one"));
        };
        hosts.upsert(Host {
            host: label.to_owned(),
            address: self.required("address")?,
            zone: self.required("zone")?,
            state: self.choice(
                "state",
                &[("live", HostState::Live), ("leaving", HostState::Leaving)],
            )?,
        });
        Ok(())
    }

    fn required<T>(&mut self, key: &str) -> Result<T>
    where
        T: FromStr,
    {
        let text: String = self.value(key, String::new())?;
        text.parse().map_err(|_| {
            self.error(format!(
                "`{key} = {text}` is missing or cannot be parsed; write a value"
            ))
        })
    }

    /// Reads `upstream`, which is an address or the name of an earlier section.
    fn upstream(&mut self, running: &StandIns) -> Result<SocketAddr> {
        let text: String = self.required("upstream")?;
        if let Some(standin) = running.get(&text) {
            return Ok(standin.address());
        }
        text.parse().map_err(|_| {
            self.error(format!(
                "`upstream = {text}` is neither IP:PORT nor an earlier section"
            ))
        })
    }

    fn faults(&mut self) -> Result<Faults> {
        let end = self.choice("end", &[("close", End::Close), ("reset", End::Reset)])?;
        let end_after: Option<u64> = match self.properties.contains_key("end_after_bytes") {
            true => Some(self.required("end_after_bytes")?),
            false => None,
        };
        let hold = [
            ("none", (false, false)),
            ("server", (true, false)),
            ("client", (false, true)),
            ("both", (true, true)),
        ];
        let (is_upstream_paused, is_downstream_paused) = self.choice("hold", &hold)?;
        Ok(Faults {
            delay: self.duration_ms("delay_ms", Duration::ZERO)?,
            end_after_bytes: end_after.map(|bytes| (bytes, end)),
            is_upstream_paused,
            is_downstream_paused,
            random: self.random_faults(end)?,
        })
    }

    fn random_faults(&mut self, end: End) -> Result<Option<RandomFaults>> {
        if !self.properties.contains_key("seed") {
            return Ok(None);
        }
        let end_probability: f64 = self.value("end_probability", 0.1)?;
        if !(0.0..=1.0).contains(&end_probability) {
            return Err(self.error("`end_probability` is out of range; write 0 to 1"));
        }
        Ok(Some(RandomFaults {
            seed: self.required("seed")?,
            end_probability,
            end,
            end_max_bytes: self.value("end_max_bytes", 4096)?,
            delay_max: self.duration_ms("delay_max_ms", Duration::ZERO)?,
        }))
    }
}
