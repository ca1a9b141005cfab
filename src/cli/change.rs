//! Changes of the configuration as `jujubeusher-ctl` makes them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::config::ini::Document;
use crate::config::inventory::Inventory;
use crate::config::text::InventoryText;
use crate::control::config::{HEAD_KEY, Head, change_key, object_key};
use crate::edge::clock::{Clock, HostClock};
use crate::edge::object::ObjectStore;
use crate::edge::table::{Condition, Table, TableError, Write};
use crate::error::{Error, Result};
use crate::http::client::Client;
use crate::ids::{ConfigVersion, RequestId};
use crate::peer::row::{ConfigPush, SectionChange};

/// Reads of the change row after a lost answer.
const READ_BACK_TRIES: u32 = 10;
const READ_BACK_PAUSE: Duration = Duration::from_millis(500);
/// Sections above this size do not fit in a row and a push; nodes read the whole text.
const SECTIONS_MAX_BYTES: usize = 48 * 1024;
/// Time between looks at the routers while they are waited for.
const WAIT_PAUSE: Duration = Duration::from_millis(50);

/// The platform's services.
pub struct Platform<'a> {
    /// Table service.
    pub table: &'a dyn Table,
    /// Object store.
    pub objects: &'a dyn ObjectStore,
}

/// What is in force according to the platform.
pub struct Current {
    /// The head; none before the first change.
    pub head: Option<Head>,
    /// The text as the operator wrote it.
    pub bytes: Bytes,
    row_version: u64,
}

impl Current {
    /// Version in force; 0 before the first change.
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
        let found = self
            .objects
            .get(&key)
            .await
            .map_err(|error| Error::command(error.to_string(), "nothing was changed"))?;
        found.ok_or_else(|| {
            Error::command(format!("object {key} is missing"), "name another version")
        })
    }

    /// Reads what is in force.
    pub async fn current(&self) -> Result<Current> {
        let Some(row) = self.table.get(HEAD_KEY).await? else {
            return Ok(Current {
                head: None,
                bytes: Bytes::new(),
                row_version: 0,
            });
        };
        let head: Head = decode(HEAD_KEY, &row.value)?;
        let bytes = self.read_object(&head.change_id).await?;
        Ok(Current {
            head: Some(head),
            bytes,
            row_version: row.version,
        })
    }

    /// Reads the text of an earlier version.
    pub async fn text_of(&self, version: ConfigVersion) -> Result<Bytes> {
        let key = change_key(version);
        let Some(row) = self.table.get(&key).await? else {
            return Err(Error::command(
                format!("there is no version {version}"),
                "name a version that was accepted",
            ));
        };
        let push: ConfigPush = decode(&key, &row.value)?;
        self.read_object(&push.change_id).await
    }

    /// Makes a text the next version after `current`.
    pub async fn accept(
        &self,
        current: &Current,
        operator: &str,
        bytes: Bytes,
    ) -> Result<ConfigPush> {
        let document = Document::parse_bytes("inventory", &bytes)?;
        Inventory::from_document(&document)?;
        let text = InventoryText::of(&document);
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
            Err(TableError::Conflict { .. }) => Err(self.lost_race().await),
            Err(error) => Err(error.into()),
        }
    }

    /// Finds out whether a change whose answer was lost took effect.
    async fn read_back(&self, push: ConfigPush, reason: &str) -> Result<ConfigPush> {
        let key = change_key(push.version);
        for _ in 0..READ_BACK_TRIES {
            if let Ok(Some(row)) = self.table.get(&key).await {
                let accepted: ConfigPush = decode(&key, &row.value)?;
                return match accepted.change_id == push.change_id {
                    true => Ok(push),
                    false => Err(self.lost_race().await),
                };
            }
            smol::Timer::after(READ_BACK_PAUSE).await;
        }
        Err(Error::command(
            format!(
                "it is not known whether change {} took effect ({reason})",
                push.change_id
            ),
            "when the table service answers again, run `diff` and apply again if it shows changes",
        ))
    }

    async fn lost_race(&self) -> Error {
        match self.current().await {
            Ok(Current {
                head: Some(head), ..
            }) => conflict(&head),
            _ => Error::command("another change was accepted first", CONFLICT_REMEDY),
        }
    }
}

const CONFLICT_REMEDY: &str =
    "run `diff`, merge your edit into the newest inventory and apply again";

/// The error of an operator whose edit is based on an older version.
pub fn conflict(head: &Head) -> Error {
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
        .map_err(|error| Error::command(error.to_string(), "report this as a fault"))
}

fn writes(current: &Current, push: &ConfigPush) -> Result<Vec<Write>> {
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

/// Lines that tell what changes between two texts.
pub fn describe(old: &InventoryText, new: &InventoryText) -> String {
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
        let gone = before
            .lines()
            .filter(|line| !after.lines().any(|l| l == *line));
        let come = after
            .lines()
            .filter(|line| !before.lines().any(|l| l == *line));
        gone.for_each(|line| lines.push_str(&format!("    - {line}\n")));
        come.for_each(|line| lines.push_str(&format!("    + {line}\n")));
    }
    lines
}

/// The text in force and a new one, compared.
pub fn diff(current: &Current, bytes: &[u8]) -> Result<String> {
    let new = InventoryText::parse("inventory", bytes)?;
    Ok(describe(&current.text()?, &new))
}

/// The text with a server marked as leaving; all other lines stay as they are.
///
/// ```
/// use jujubeusher::cli::change::drained;
/// let text = drained("[server a]\nstate = active\nslots = 1\n[server b]\n", "a").unwrap();
/// assert_eq!(text, "[server a]\nstate = leaving\nslots = 1\n[server b]\n");
/// ```
pub fn drained(text: &str, server: &str) -> Result<String> {
    let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
    let header = |line: &String| {
        let name = line
            .trim()
            .strip_prefix('[')
            .and_then(|rest| rest.strip_suffix(']'));
        name.is_some_and(|name| name.split_whitespace().eq(["server", server]))
    };
    let Some(start) = lines.iter().position(header) else {
        return Err(Error::command(
            format!("there is no server `{server}`"),
            "name a server of the inventory",
        ));
    };
    let is_section = |line: &String| line.trim_start().starts_with('[');
    let length = lines[start + 1..].iter().position(is_section);
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

/// Waits until routers have a version in force and returns those that do not, with why.
pub async fn wait(admins: &[SocketAddr], version: ConfigVersion, limit: Duration) -> Vec<String> {
    let start = Instant::now();
    loop {
        let mut behind = Vec::new();
        for admin in admins {
            behind.extend(lag(*admin, version).await);
        }
        if behind.is_empty() || start.elapsed() >= limit {
            return behind;
        }
        smol::Timer::after(WAIT_PAUSE).await;
    }
}

async fn lag(admin: SocketAddr, version: ConfigVersion) -> Option<String> {
    let answer = match Client::open(admin, READ_BACK_PAUSE).get("/dump").await {
        Ok(answer) => answer,
        Err(error) => return Some(format!("{admin}: cannot be reached ({error})")),
    };
    let dump: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    let has = dump["config"]["version"].as_u64().unwrap_or_default();
    let name = dump["router"].as_str().unwrap_or("unknown");
    (has < version.0).then(|| format!("{name} at {admin}: lags at version {has}"))
}
