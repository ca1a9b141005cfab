//! Identifiers and small value types shared by all modules.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use rand::RngExt;
use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self(Arc::from(name))
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

name_type!(
    /// A team: the customer that a caller's key belongs to.
    TeamId
);
name_type!(
    /// A model that engines serve.
    ModelId
);
name_type!(
    /// A backend server.
    ServerId
);
name_type!(
    /// A plain service.
    ServiceId
);
name_type!(
    /// A router process.
    RouterId
);
name_type!(
    /// An availability zone.
    ZoneId
);
name_type!(
    /// A region.
    RegionId
);
name_type!(
    /// One request, as the caller sees it.
    RequestId
);
name_type!(
    /// One try of a request on one backend server.
    AttemptId
);

number_type!(
    /// Hash that identifies a chat.
    ChatId
);
number_type!(
    /// Counts the lives of one process or server; a restart raises it.
    Incarnation
);
number_type!(
    /// Version of the configuration; it only grows.
    ConfigVersion
);
number_type!(
    /// Fencing number of a lease; each new holder gets a higher one.
    FencingNumber
);

const ID_BYTES: usize = 12;

fn random_hex() -> String {
    let bytes: [u8; ID_BYTES] = rand::rng().random();
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

impl RequestId {
    /// A new random id.
    pub fn random() -> Self {
        Self::from(random_hex().as_str())
    }
}

impl AttemptId {
    /// The id of try `number` of a request.
    ///
    /// ```
    /// use jujubeusher::ids::{AttemptId, RequestId};
    /// let id = AttemptId::new(&RequestId::from("r1"), 2);
    /// assert_eq!(id.as_str(), "r1-2");
    /// ```
    pub fn new(request: &RequestId, number: u32) -> Self {
        Self::from(format!("{request}-{number}").as_str())
    }
}

impl ChatId {
    /// Hashes a chat's own name, or the text that opens it.
    ///
    /// ```
    /// use jujubeusher::ids::ChatId;
    /// assert_eq!(ChatId::from_text("a"), ChatId::from_text("a"));
    /// ```
    pub fn from_text(text: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(text.as_bytes()))
    }
}

/// Whether a request ran on a backend server, as far as the router knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// No byte of it can have run anywhere.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran.
    Ran,
}

impl RunState {
    /// The stable name used in headers and bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Ran => "ran",
        }
    }
}

/// Service class of a team.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Pays for its work.
    Paying,
    /// Rides the free tier: lower threshold, lowest priority.
    Free,
}

/// Whether an answer is awaited or may come later.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// A caller waits for the answer.
    Interactive,
    /// The work may wait but must arrive whole.
    Deferred,
}

/// Whether a call may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// Running it again does no harm.
    Idempotent,
    /// It may run at most once.
    Once,
}
