//! Settings of server selection, the trace recorder and deferred work.

use crate::config::ini::SectionReader;
use crate::decide::choose::Policy;
use crate::error::ConfigError;

type ConfigResult<T> = Result<T, ConfigError>;

/// Settings of server selection and probing, from the section `[choose]`.
#[derive(Debug, Clone, PartialEq)]
pub struct SelectionSettings {
    /// Policy by which chats are placed on servers.
    pub policy: Policy,
    /// Secret that signs placement hints; the peers' shared key is used if it is not set.
    pub hint_key: Option<String>,
    /// How long a placement hint is valid.
    pub hint_keep_s: u64,
    /// Interval between probes of a server.
    pub probe_ms: u64,
    /// Interval at which this router sends its own request counts to its peers.
    pub exchange_ms: u64,
}

impl Default for SelectionSettings {
    fn default() -> Self {
        Self {
            policy: Policy::Rendezvous,
            hint_key: None,
            hint_keep_s: 21_600,
            probe_ms: 500,
            exchange_ms: 250,
        }
    }
}

/// Settings of the recorder of decisions and their inputs, from the section `[trace]`.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TraceSettings {
    /// Number of newest lines kept in memory; 0 for none.
    pub ring_lines: usize,
    /// Open file descriptor to which each line is written.
    pub fd: Option<u32>,
}

impl TraceSettings {
    fn read(reader: &mut SectionReader<'_>) -> ConfigResult<Self> {
        let fd = match reader.optional("fd") {
            Some(_) => Some(reader.number("fd", 0, 2, 1_024)? as u32),
            None => None,
        };
        Ok(Self {
            ring_lines: reader.number("ring_lines", 0, 0, 1_000_000)? as usize,
            fd,
        })
    }
}

/// Settings of the queue of deferred requests, from the section `[deferred]`.
#[derive(Debug, Clone, PartialEq)]
pub struct DeferredSettings {
    /// Maximum number of requests that wait.
    pub queue_max: usize,
}

impl Default for DeferredSettings {
    fn default() -> Self {
        Self { queue_max: 1_000 }
    }
}

impl DeferredSettings {
    fn read(reader: &mut SectionReader<'_>) -> ConfigResult<Self> {
        let base = Self::default();
        let queue_max = reader.number("queue_max", base.queue_max as u64, 0, 100_000)?;
        Ok(Self {
            queue_max: queue_max as usize,
        })
    }
}

/// Settings of the sections `[choose]`, `[trace]` and `[deferred]`.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServingSettings {
    /// Selection and probing of backend servers.
    pub selection: SelectionSettings,
    /// Recorder of decisions and their inputs.
    pub trace: TraceSettings,
    /// Queue of deferred requests.
    pub deferred: DeferredSettings,
}

const DAY_S: u64 = 86_400;

impl ServingSettings {
    /// Reads one of the sections; the caller passes no other ones.
    pub fn read(&mut self, reader: &mut SectionReader<'_>) -> ConfigResult<()> {
        match reader.kind() {
            "choose" => self.selection = SelectionSettings::read(reader)?,
            "deferred" => self.deferred = DeferredSettings::read(reader)?,
            _ => self.trace = TraceSettings::read(reader)?,
        }
        Ok(())
    }
}

impl SelectionSettings {
    fn read(reader: &mut SectionReader<'_>) -> ConfigResult<Self> {
        let base = Self::default();
        let policies = [
            ("rendezvous", Policy::Rendezvous),
            ("two_choices", Policy::TwoChoices),
        ];
        Ok(Self {
            policy: reader.choice("policy", base.policy, &policies)?,
            hint_key: reader.optional("hint_key").map(str::to_owned),
            hint_keep_s: reader.number("hint_keep_s", base.hint_keep_s, 1, 7 * DAY_S)?,
            probe_ms: reader.number("probe_ms", base.probe_ms, 20, 1_000)?,
            exchange_ms: reader.number("exchange_ms", base.exchange_ms, 20, 1_000)?,
        })
    }
}
