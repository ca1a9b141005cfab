//! Records the inputs and outcomes of decisions and replays them. `docs/trace-format.md` describes
//! the format.

use std::fmt::Write;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::decide::admit;
use crate::decide::choose::{Bounds, Candidate, PlacementRequest, Policy, rank_candidates};
use crate::decide::load::{LoadView, estimate_fleet};
use crate::ids::{ChatId, RouterId, ServerId, TeamId};

/// Version of the trace format that this build writes and reads.
pub const FORMAT_VERSION: u32 = 1;

/// One line of a trace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Line {
    /// Header, on the first line only.
    Header(Header),
    /// A ranking of servers for a chat.
    Choose(Choose),
    /// An admission decision.
    Admit(Admit),
}

/// Format and origin of the trace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// Format version; has to equal [`FORMAT_VERSION`].
    pub version: u32,
    /// Router that recorded the trace.
    pub router: RouterId,
}

/// A server with what the router knew of its load at the time of the decision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerInput {
    pub id: ServerId,
    /// Requests that the server can run concurrently.
    pub slots: u32,
    pub view: LoadView,
}

/// Inputs and outcome of a ranking of servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Choose {
    /// Time of the decision in ms on the router's monotonic clock.
    pub at_ms: u64,
    /// Placement policy in force.
    pub policy: Policy,
    /// Load bound in force, as a multiple of the mean load.
    pub load_bound: f64,
    /// Hash that identifies the chat.
    pub chat: ChatId,
    /// Server named by a valid placement hint, if there was one.
    pub home: Option<ServerId>,
    /// Whether no server held the chat's cache.
    pub is_new: bool,
    /// Random number used by the randomized policies.
    pub draw: u64,
    /// Servers that were available for the request.
    pub servers: Vec<ServerInput>,
    /// Servers in the order decided.
    pub outcome: Vec<ServerId>,
}

impl Choose {
    /// Repeats the decision from the recorded inputs, without reading the recorded outcome.
    pub fn decide(&self) -> Vec<ServerId> {
        let slots = self.servers.iter().map(|server| server.slots);
        let fleet = estimate_fleet(self.servers.iter().map(|s| s.view).zip(slots));
        let candidates: Vec<Candidate<'_>> = self
            .servers
            .iter()
            .map(|server| Candidate {
                id: &server.id,
                slots: server.slots,
                load: server.view.estimate(server.slots, &fleet),
            })
            .collect();
        let request = PlacementRequest {
            chat: self.chat,
            home: self.home.as_ref(),
            is_new: self.is_new,
        };
        let bounds = Bounds::from_load_bound(self.load_bound);
        rank_candidates(self.policy, &request, &candidates, &bounds, self.draw)
    }
}

/// Inputs and outcome of an admission decision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Admit {
    /// Time of the decision in ms on the router's monotonic clock.
    pub at_ms: u64,
    /// Team that sent the request.
    pub team: TeamId,
    /// Inputs of the decision.
    pub request: admit::Request,
    /// Recorded decision.
    pub outcome: admit::Decision,
}

/// Why a trace cannot be replayed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("line {line}: {problem}")]
pub struct TraceError {
    /// Number of the invalid line, counted from 1.
    pub line: usize,
    /// Why the line is invalid.
    pub problem: String,
}

/// Result of replaying a trace.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReplayResult {
    /// One line per decision and a summary line.
    pub text: String,
    /// Number of decisions equal to the recorded outcome.
    pub same: usize,
    /// Number of decisions that differ from the recorded outcome.
    pub different: usize,
}

fn join(servers: &[ServerId]) -> String {
    let names: Vec<&str> = servers.iter().map(ServerId::as_str).collect();
    names.join(",")
}

impl ReplayResult {
    fn record(&mut self, number: usize, kind: &str, stated: &str, found: &str) {
        // Writing to a `String` cannot fail.
        let _ = match stated == found {
            true => writeln!(self.text, "line {number}: {kind} same {found}"),
            false => writeln!(
                self.text,
                "line {number}: {kind} DIFFERENT stated {stated} found {found}"
            ),
        };
        match stated == found {
            true => self.same += 1,
            false => self.different += 1,
        }
    }
}

fn parse(number: usize, text: &str) -> Result<Line, TraceError> {
    serde_json::from_str(text).map_err(|error| TraceError {
        line: number,
        problem: format!("{error}; see docs/trace-format.md"),
    })
}

fn check_header(line: &Line) -> Result<(), TraceError> {
    let problem = match line {
        Line::Header(header) if header.version == FORMAT_VERSION => return Ok(()),
        Line::Header(header) => format!(
            "unsupported format version {}, expected {FORMAT_VERSION}; replay the trace with the \
             build that recorded it",
            header.version
        ),
        _ => "the first line is not a header".to_owned(),
    };
    Err(TraceError { line: 1, problem })
}

/// Repeats all decisions of a trace and compares them with the recorded outcomes.
///
/// ```
/// use jujubeusher::decide::trace::replay;
/// let result = replay(r#"{"kind":"header","version":1,"router":"r1"}"#).unwrap();
/// assert_eq!(result.text, "0 same, 0 different\n");
/// ```
pub fn replay(text: &str) -> Result<ReplayResult, TraceError> {
    let mut result = ReplayResult::default();
    for (index, line_text) in text.lines().enumerate() {
        let number = index + 1;
        let line = parse(number, line_text)?;
        if number == 1 {
            check_header(&line)?;
            continue;
        }
        match line {
            Line::Header(_) => {
                return Err(TraceError {
                    line: number,
                    problem: "a header is allowed on the first line only".to_owned(),
                });
            }
            Line::Choose(choose) => {
                let (stated, found) = (join(&choose.outcome), join(&choose.decide()));
                result.record(number, "choose", &stated, &found);
            }
            Line::Admit(line) => {
                let found = format!("{:?}", admit::decide(&line.request));
                result.record(number, "admit", &format!("{:?}", line.outcome), &found);
            }
        }
    }
    let (same, different) = (result.same, result.different);
    let _ = writeln!(result.text, "{same} same, {different} different");
    Ok(result)
}

#[cfg(test)]
mod tests;
