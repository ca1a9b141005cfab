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
            /// The name as a string slice.
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
    /// Name of a team: the customer that a caller's key belongs to.
    TeamId
);
name_type!(
    /// Name of a model that engines serve.
    ModelId
);
name_type!(
    /// Name of a backend server.
    ServerId
);
name_type!(
    /// Name of a plain service, as opposed to a model engine.
    ServiceId
);
name_type!(
    /// Name of a router process; unique in the fleet.
    RouterId
);
name_type!(
    /// Name of an availability zone.
    ZoneId
);
name_type!(
    /// Name of a region.
    RegionId
);
name_type!(
    /// Identifier of a request from a caller, which may take several attempts.
    RequestId
);
name_type!(
    /// Identifier of one attempt to run a request on a backend server.
    AttemptId
);

number_type!(
    /// 64-bit hash that identifies a chat.
    ChatId
);
number_type!(
    /// Number of an incarnation of a process or backend server; a restart raises it.
    Incarnation
);
number_type!(
    /// Version of the configuration; it never decreases.
    ConfigVersion
);
number_type!(
    /// Fencing number of a lease; each new holder receives a higher one.
    FencingNumber
);

const ID_BYTES: usize = 12;

fn random_hex() -> String {
    let bytes: [u8; ID_BYTES] = rand::rng().random();
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

impl RequestId {
    /// Creates a random identifier of 24 hexadecimal digits.
    pub fn random() -> Self {
        Self::from(random_hex().as_str())
    }
}

impl AttemptId {
    /// Creates the identifier of attempt `number` of a request.
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
    /// Hashes the identifier that a caller sends for a chat or, without one, text that identifies
    /// the chat, such as the team and the first messages.
    ///
    /// ```
    /// use jujubeusher::ids::ChatId;
    /// assert_eq!(ChatId::from_text("a"), ChatId::from_text("a"));
    /// ```
    pub fn from_text(text: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(text.as_bytes()))
    }
}

/// Whether a request ran on a backend server, as far as known to the router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// No server can have run any part of it.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran.
    Ran,
}

impl RunState {
    /// Stable name, used in headers and bodies.
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
    /// Paying customer.
    Paying,
    /// Free tier: lower admission threshold and lowest priority.
    Free,
}

/// Whether a caller waits for the response to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// The caller waits for the response.
    Interactive,
    /// The work may be delayed but has to be completed.
    Deferred,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// Running it again has no additional effect.
    Idempotent,
    /// It may run at most once.
    Once,
}
