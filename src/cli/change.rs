//! Configuration changes of `jujubeusher-ctl`.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::config::ini::Document;
use crate::config::inventory::Inventory;
use crate::config::inventory_text::InventoryText;
use crate::control::config::{HEAD_KEY, Head, change_key, object_key};
use crate::edge::clock::{Clock, HostClock};
use crate::edge::object::ObjectStore;
use crate::edge::table::{Condition, Table, TableError, Write};
use crate::error::{Error, Result};
use crate::http::client::Client;
use crate::ids::{ConfigVersion, RequestId};
use crate::peer::row::{ConfigPush, SectionChange};

/// Maximum number of reads of the change row after the response to a write was lost.
const READ_BACK_ATTEMPTS: u32 = 10;
/// Delay between these reads; also the timeout for reading the dump of a router.
const READ_BACK_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum total size of the changed sections in a change row. Larger changes do not fit in a row
/// and a push, so nodes read the complete text instead.
const SECTIONS_MAX_BYTES: usize = 48 * 1024;
/// Interval between reads of the routers' versions while waiting for a change to be in force.
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Platform services that store the configuration.
pub struct Platform<'a> {
    /// Table service, which stores the head row and the change rows.
    pub table: &'a dyn Table,
    /// Object store, which stores the inventory texts.
    pub objects: &'a dyn ObjectStore,
}

/// Configuration in force, as stored by the platform.
pub struct CurrentConfig {
    /// Head row; `None` before the first change.
    pub head: Option<Head>,
    /// Inventory text as written by the operator; empty before the first change.
    pub bytes: Bytes,
    /// Version of the head row in the table, on which the next change is conditional.
    row_version: u64,
}

impl CurrentConfig {
    /// Returns the version in force; 0 before the first change.
    pub fn version(&self) -> ConfigVersion {
        self.head
            .as_ref()
            .map(|head| head.version)
            .unwrap_or_default()
    }

    fn text(&self) -> Result<InventoryText> {
        match &self.head {
            Some(head) => Ok(InventoryText::parse(&head.object_key(), &self.bytes)?),
            None => Ok(InventoryText::default()),
        }
    }
}

impl Platform<'_> {
    async fn read_object(&self, change_id: &str) -> Result<Bytes> {
        let key = object_key(change_id);
        let bytes = self
            .objects
            .get(&key)
            .await
            .map_err(|error| Error::command(error.to_string(), "nothing was changed"))?;
        bytes.ok_or_else(|| {
            Error::command(format!("object {key} is missing"), "choose another version")
        })
    }

    /// Reads the configuration in force.
    pub async fn current(&self) -> Result<CurrentConfig> {
        let Some(row) = self.table.get(HEAD_KEY).await? else {
            return Ok(CurrentConfig {
                head: None,
                bytes: Bytes::new(),
                row_version: 0,
            });
        };
        let head: Head = decode(HEAD_KEY, &row.value)?;
        let bytes = self.read_object(&head.change_id).await?;
        Ok(CurrentConfig {
            head: Some(head),
            bytes,
            row_version: row.version,
        })
    }

    /// Reads the inventory text of an accepted version.
    pub async fn version_text(&self, version: ConfigVersion) -> Result<Bytes> {
        let key = change_key(version);
        let Some(row) = self.table.get(&key).await? else {
            return Err(Error::command(
                format!("there is no version {version}"),
                "choose a version that was accepted",
            ));
        };
        let push: ConfigPush = decode(&key, &row.value)?;
        self.read_object(&push.change_id).await
    }

    /// Validates a text and stores it as the version after `current`. Returns an error if another
    /// change was accepted first.
    pub async fn accept(
        &self,
        current: &CurrentConfig,
        operator: &str,
        bytes: Bytes,
    ) -> Result<ConfigPush> {
        let document = Document::parse_bytes("inventory", &bytes)?;
        Inventory::from_document(&document)?;
        let text = InventoryText::from_document(&document);
        let sections = current.text()?.diff(&text);
        let size: usize = sections.iter().map(section_bytes).sum();
        let push = ConfigPush {
            version: ConfigVersion(current.version().0 + 1),
            change_id: RequestId::random().to_string(),
            operator: operator.to_owned(),
            accepted_wall_ms: HostClock::open().wall_ms(),
            digest: text.digest(),
            sections: (size <= SECTIONS_MAX_BYTES).then_some(sections),
        };
        self.objects
            .put(&object_key(&push.change_id), bytes)
            .await
            .map_err(|error| Error::command(error.to_string(), "nothing was changed"))?;
        match self.table.transact(writes(current, &push)?).await {
            Ok(_) => Ok(push),
            Err(TableError::ResponseLost(reason)) => self.read_back(push, &reason).await,
            Err(TableError::Conflict { .. }) => Err(self.concurrent_change_error().await),
            Err(error) => Err(error.into()),
        }
    }

    /// Reads the change row to determine whether `push` took effect, after the response to its write
    /// was lost for `reason`.
    async fn read_back(&self, push: ConfigPush, reason: &str) -> Result<ConfigPush> {
        let key = change_key(push.version);
        for _ in 0..READ_BACK_ATTEMPTS {
            if let Ok(Some(row)) = self.table.get(&key).await {
                let accepted: ConfigPush = decode(&key, &row.value)?;
                return match accepted.change_id == push.change_id {
                    true => Ok(push),
                    false => Err(self.concurrent_change_error().await),
                };
            }
            smol::Timer::after(READ_BACK_INTERVAL).await;
        }
        Err(Error::command(
            format!(
                "it is not known whether change {} took effect ({reason})",
                push.change_id
            ),
            "when the table service is available again, run `diff` and apply again if it shows changes",
        ))
    }

    /// Returns the error for a change that failed because another one was accepted first.
    async fn concurrent_change_error(&self) -> Error {
        match self.current().await {
            Ok(CurrentConfig {
                head: Some(head), ..
            }) => conflict_error(&head),
            _ => Error::command("another change was accepted first", CONFLICT_REMEDY),
        }
    }
}

const CONFLICT_REMEDY: &str =
    "run `diff`, merge your edit into the newest inventory and apply again";

/// Returns the error for a change that is based on another version than that of `head`.
pub fn conflict_error(head: &Head) -> Error {
    Error::command(
        format!(
            "conflict: version {} by {} (change {}) was accepted first",
            head.version, head.operator, head.change_id
        ),
        CONFLICT_REMEDY,
    )
}

fn section_bytes(section: &SectionChange) -> usize {
    section.name.len() + section.body.as_ref().map_or(0, String::len)
}

fn decode<T>(key: &str, value: &str) -> Result<T>
where
    T: for<'de> serde::Deserialize<'de>,
{
    serde_json::from_str(value).map_err(|error| {
        Error::command(
            format!("the row {key} is malformed: {error}"),
            "restore it from the newest config/change row",
        )
    })
}

fn encode<T>(value: &T) -> Result<String>
where
    T: serde::Serialize,
{
    serde_json::to_string(value)
        .map_err(|error| Error::command(error.to_string(), "report this as a bug"))
}

fn writes(current: &CurrentConfig, push: &ConfigPush) -> Result<Vec<Write>> {
    let condition = match current.head {
        Some(_) => Condition::Version(current.row_version),
        None => Condition::Absent,
    };
    Ok(vec![
        Write {
            key: HEAD_KEY.to_owned(),
            value: encode(&Head::from(push))?,
            condition,
        },
        Write {
            key: change_key(push.version),
            value: encode(push)?,
            condition: Condition::Absent,
        },
    ])
}

/// Returns the differences between two texts: a line for each changed section, followed by its
/// removed and added lines.
pub fn describe_changes(old: &InventoryText, new: &InventoryText) -> String {
    let mut lines = String::new();
    for change in old.diff(new) {
        let sign = match (old.section(&change.name), &change.body) {
            (None, _) => '+',
            (_, None) => '-',
            _ => '~',
        };
        lines.push_str(&format!("{sign} [{}]\n", change.name));
        let before = old.section(&change.name).unwrap_or_default();
        let after = change.body.as_deref().unwrap_or_default();
        let removed = before
            .lines()
            .filter(|line| !after.lines().any(|l| l == *line));
        let added = after
            .lines()
            .filter(|line| !before.lines().any(|l| l == *line));
        removed.for_each(|line| lines.push_str(&format!("    - {line}\n")));
        added.for_each(|line| lines.push_str(&format!("    + {line}\n")));
    }
    lines
}

/// Returns the differences between the text in force and a new one.
pub fn diff(current: &CurrentConfig, bytes: &[u8]) -> Result<String> {
    let new = InventoryText::parse("inventory", bytes)?;
    Ok(describe_changes(&current.text()?, &new))
}

/// Returns the text with a server marked as leaving; all other lines are unchanged.
///
/// ```
/// use jujubeusher::cli::change::mark_leaving;
/// let text = mark_leaving("[server a]\nstate = active\nslots = 1\n[server b]\n", "a").unwrap();
/// assert_eq!(text, "[server a]\nstate = leaving\nslots = 1\n[server b]\n");
/// ```
pub fn mark_leaving(text: &str, server: &str) -> Result<String> {
    let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
    let is_server_header = |line: &String| {
        let name = line
            .trim()
            .strip_prefix('[')
            .and_then(|rest| rest.strip_suffix(']'));
        name.is_some_and(|name| name.split_whitespace().eq(["server", server]))
    };
    let Some(start) = lines.iter().position(is_server_header) else {
        return Err(Error::command(
            format!("the inventory has no server `{server}`"),
            "choose a server of the inventory",
        ));
    };
    let is_section_header = |line: &String| line.trim_start().starts_with('[');
    let length = lines[start + 1..].iter().position(is_section_header);
    let end = length.map_or(lines.len(), |length| start + 1 + length);
    let is_state = |line: &String| {
        line.split_once('=')
            .is_some_and(|(key, _)| key.trim() == "state")
    };
    let leaving = "state = leaving".to_owned();
    match lines[start..end].iter().position(is_state) {
        Some(index) => lines[start + index] = leaving,
        None => lines.insert(start + 1, leaving),
    }
    Ok(lines.join("\n") + "\n")
}

/// Waits until the routers have at least `version` in force, for at most `limit`. Returns a line
/// for each router that doesn't have it yet or cannot be reached.
pub async fn wait_until_in_force(
    admins: &[SocketAddr],
    version: ConfigVersion,
    limit: Duration,
) -> Vec<String> {
    let start = Instant::now();
    loop {
        let mut lagging = Vec::new();
        for admin in admins {
            lagging.extend(describe_lag(*admin, version).await);
        }
        if lagging.is_empty() || start.elapsed() >= limit {
            return lagging;
        }
        smol::Timer::after(WAIT_POLL_INTERVAL).await;
    }
}

/// Returns a line that says why a router doesn't have `version` in force; `None` if it has.
async fn describe_lag(admin: SocketAddr, version: ConfigVersion) -> Option<String> {
    let response = match Client::new(admin, READ_BACK_INTERVAL).get("/dump").await {
        Ok(response) => response,
        Err(error) => return Some(format!("{admin}: cannot be reached ({error})")),
    };
    let dump: serde_json::Value = serde_json::from_slice(&response.body).unwrap_or_default();
    let in_force = dump["config"]["version"].as_u64().unwrap_or_default();
    let name = dump["router"].as_str().unwrap_or("unknown");
    (in_force < version.0).then(|| format!("{name} at {admin}: lags at version {in_force}"))
}
