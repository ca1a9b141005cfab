//! Recorded decision inputs and their replay. `docs/trace-format.md` describes the format.

use std::fmt::Write;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::decide::admit;
use crate::decide::choose::{Bounds, Candidate, PlacementRequest, Policy, rank_candidates};
use crate::decide::load::{LoadView, estimate_fleet};
use crate::ids::{ChatId, RouterId, ServerId, TeamId};

/// Version of the format that this build writes and reads.
pub const FORMAT_VERSION: u32 = 1;

/// One line of a trace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Line {
    /// The first line.
    Header(Header),
    /// A choice of servers.
    Choose(Choose),
    /// An admission.
    Admit(Admit),
}

/// What the first line states.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// Version of the format.
    pub version: u32,
    /// The router that recorded.
    pub router: RouterId,
}

/// A server as a router saw it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerInput {
    /// Its id.
    pub id: ServerId,
    /// Requests that it can run at once.
    pub slots: u32,
    /// What was known of its load.
    pub view: LoadView,
}

/// Inputs and outcome of a choice.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Choose {
    /// Monotonic time of the router in ms.
    pub at_ms: u64,
    /// Policy in force.
    pub policy: Policy,
    /// Bound in force.
    pub load_bound: f64,
    /// The chat.
    pub chat: ChatId,
    /// Server of a valid hint.
    pub home: Option<ServerId>,
    /// Whether no server held the chat's cache.
    pub is_new: bool,
    /// Random number for the policies that need one.
    pub draw: u64,
    /// The servers that could run the request.
    pub servers: Vec<ServerInput>,
    /// Servers in the order in which they were to be tried.
    pub outcome: Vec<ServerId>,
}

impl Choose {
    /// Decides from the inputs; the stated outcome is not read.
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

/// Inputs and outcome of an admission.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Admit {
    /// Monotonic time of the router in ms.
    pub at_ms: u64,
    /// The team.
    pub team: TeamId,
    /// What was decided on.
    pub request: admit::Request,
    /// What was decided.
    pub outcome: admit::Decision,
}

/// Why a trace cannot be replayed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("line {line}: {problem}")]
pub struct TraceError {
    /// Line of the fault, from 1.
    pub line: usize,
    /// What is wrong.
    pub problem: String,
}

/// What a replay found.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReplayResult {
    /// One line of text for each decision, and a summary.
    pub text: String,
    /// Decisions that came out as stated.
    pub same: usize,
    /// Decisions that came out otherwise.
    pub different: usize,
}

fn join(servers: &[ServerId]) -> String {
    let names: Vec<&str> = servers.iter().map(ServerId::as_str).collect();
    names.join(",")
}

impl ReplayResult {
    fn note(&mut self, number: usize, kind: &str, stated: &str, found: &str) {
        // Writing into a string does not fail.
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
            "format version {} is not {FORMAT_VERSION}; replay it with the build that wrote it",
            header.version
        ),
        _ => "the first line is not a header".to_owned(),
    };
    Err(TraceError { line: 1, problem })
}

/// Decides everything in a trace again and compares with the stated outcomes.
///
/// ```
/// use jujubeusher::decide::trace::replay;
/// let outcome = replay(r#"{"kind":"header","version":1,"router":"r1"}"#).unwrap();
/// assert_eq!(outcome.text, "0 same, 0 different\n");
/// ```
pub fn replay(text: &str) -> Result<ReplayResult, TraceError> {
    let mut outcome = ReplayResult::default();
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
                    problem: "a header stands on the first line only".to_owned(),
                });
            }
            Line::Choose(choose) => {
                let (stated, found) = (join(&choose.outcome), join(&choose.decide()));
                outcome.note(number, "choose", &stated, &found);
            }
            Line::Admit(line) => {
                let found = format!("{:?}", admit::decide(&line.request));
                outcome.note(number, "admit", &format!("{:?}", line.outcome), &found);
            }
        }
    }
    let (same, different) = (outcome.same, outcome.different);
    let _ = writeln!(outcome.text, "{same} same, {different} different");
    Ok(outcome)
}

#[cfg(test)]
mod tests;
