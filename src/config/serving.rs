//! Settings of choosing, of the trace recorder and of deferred work.

use crate::config::ini::SectionReader;
use crate::decide::choose::Policy;
use crate::error::ConfigError;

type ConfigResult<T> = Result<T, ConfigError>;

/// How servers are chosen and probed.
#[derive(Debug, Clone, PartialEq)]
pub struct Choosing {
    /// Policy for chats that have to be placed.
    pub policy: Policy,
    /// Secret that signs placement hints; the peers' shared key where it is not set.
    pub hint_key: Option<String>,
    /// How long a placement hint is honoured.
    pub hint_keep_s: u64,
    /// Time between probes of one server.
    pub probe_ms: u64,
    /// Time between exchanges of this router's own counts.
    pub exchange_ms: u64,
}

impl Default for Choosing {
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

/// Where decision inputs are recorded.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TraceSettings {
    /// Lines kept in memory; 0 for none.
    pub ring_lines: usize,
    /// Open file descriptor that gets every line.
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

/// How deferred work waits.
#[derive(Debug, Clone, PartialEq)]
pub struct Deferred {
    /// Most requests that wait.
    pub queue_max: usize,
}

impl Default for Deferred {
    fn default() -> Self {
        Self { queue_max: 1_000 }
    }
}

impl Deferred {
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
pub struct Serving {
    /// Choosing of servers.
    pub choosing: Choosing,
    /// Recorder of decisions.
    pub trace: TraceSettings,
    /// Waiting of deferred work.
    pub deferred: Deferred,
}

const DAY_S: u64 = 86_400;

impl Serving {
    /// Takes up one of the sections.
    pub fn read(&mut self, reader: &mut SectionReader<'_>) -> ConfigResult<()> {
        match reader.kind() {
            "choose" => self.choosing = Choosing::read(reader)?,
            "deferred" => self.deferred = Deferred::read(reader)?,
            _ => self.trace = TraceSettings::read(reader)?,
        }
        Ok(())
    }
}

impl Choosing {
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
