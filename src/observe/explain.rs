//! Explains one request from the log lines of several routers: outcome, cause and timeline.
//!
//! The descriptions of outcome and cause are part of the interface that operators and their tools
//! see and stay unchanged between versions.

#[cfg(test)]
mod tests;

use std::collections::BTreeSet;
use std::fmt::Write as _;

/// Time before a request's first line from which lines about its servers and its routers are shown.
/// The loss or departure of a server is noticed within this time.
const CONTEXT_BEFORE_MS: u64 = 10_000;
/// Time after a request's last line up to which such lines are shown. A crash may be noticed only
/// with the next connection.
const CONTEXT_AFTER_MS: u64 = 1_000;
/// Events that affect all requests of a router.
const ROUTER_EVENTS: [&str; 14] = [
    "started",
    "stopping",
    "stopped",
    "reloaded",
    "routes",
    "source_lost",
    "source_back",
    "history_lost",
    "relayed",
    "relay_lost",
    "relay_ended",
    "relay_outdated",
    "table_relayed",
    "log_dropped",
];

/// A parsed log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// Router that wrote the line.
    pub router: String,
    /// Wall-clock time of that router in ms since 1970.
    pub time_ms: u64,
    fields: Vec<(String, String)>,
}

impl Line {
    /// Parses `key=value` pairs; values with spaces are quoted. Text before `time_ms`, such as a
    /// log collector's own time stamp, is skipped. Returns `None` if there is no valid `time_ms`.
    ///
    /// ```
    /// use jujubeusher::observe::explain::Line;
    /// let line = Line::parse("r1", "time_ms=5 level=info event=retry id=a reason=\"no answer\"");
    /// assert_eq!(line.unwrap().field("reason"), Some("no answer"));
    /// assert!(Line::parse("r1", "not a log line").is_none());
    /// ```
    pub fn parse(router: &str, text: &str) -> Option<Self> {
        let start = text.find("time_ms=")?;
        let fields = parse_pairs(&text[start..]);
        let time = fields.iter().find(|(key, _)| key == "time_ms")?;
        Some(Self {
            router: router.to_owned(),
            time_ms: time.1.parse().ok()?,
            fields,
        })
    }

    /// Returns the value of a key.
    pub fn field(&self, key: &str) -> Option<&str> {
        let pair = self.fields.iter().find(|(name, _)| name == key);
        pair.map(|(_, value)| value.as_str())
    }

    fn event(&self) -> &str {
        self.field("event").unwrap_or("-")
    }

    fn is_about(&self, request: &str) -> bool {
        self.field("id") == Some(request)
    }

    fn remaining_fields(&self) -> String {
        let hidden = ["time_ms", "level", "event", "id"];
        let shown = self
            .fields
            .iter()
            .filter(|(key, _)| !hidden.contains(&key.as_str()));
        let mut text = String::new();
        for (key, value) in shown {
            let _ = match value.contains(' ') {
                true => write!(text, " {key}=\"{value}\""),
                false => write!(text, " {key}={value}"),
            };
        }
        text
    }
}

fn parse_pairs(text: &str) -> Vec<(String, String)> {
    let mut pairs = Vec::new();
    let mut rest = text.trim();
    while let Some((key, after)) = rest.split_once('=') {
        let (value, next) = match after.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => after.split_once(' ').unwrap_or((after, "")),
        };
        pairs.push((key.trim().to_owned(), value.to_owned()));
        rest = next.trim_start();
    }
    pairs
}

/// Explains a request: its outcome, the cause, and the lines of it and of its servers and routers
/// by time. Returns `None` if no line belongs to the request.
pub fn explain_request(request: &str, lines: &[Line]) -> Option<String> {
    let own: Vec<&Line> = lines.iter().filter(|line| line.is_about(request)).collect();
    let begin_ms = own.iter().map(|line| line.time_ms).min()?;
    let end_ms = own.iter().map(|line| line.time_ms).max()?;
    let routers: BTreeSet<&str> = own.iter().map(|line| line.router.as_str()).collect();
    let servers: BTreeSet<&str> = own.iter().filter_map(|line| line.field("server")).collect();
    let span = begin_ms.saturating_sub(CONTEXT_BEFORE_MS)..=end_ms + CONTEXT_AFTER_MS;
    let is_context = |line: &&Line| {
        let is_near = routers.contains(line.router.as_str()) && span.contains(&line.time_ms);
        let is_server = line.field("server").is_some_and(|s| servers.contains(s));
        let is_event = match line.event().starts_with("server_") {
            true => is_server,
            false => ROUTER_EVENTS.contains(&line.event()),
        };
        is_near && is_event && line.field("id").is_none()
    };
    let context: Vec<&Line> = lines.iter().filter(is_context).collect();
    let mut text = format!("request {request}: {}\n", describe_outcome(&own));
    let _ = writeln!(text, "cause: {}", describe_cause(&own, &context));
    let mut shown: Vec<&Line> = own.into_iter().chain(context).collect();
    shown.sort_by_key(|line| line.time_ms);
    for line in shown {
        let at_ms = i128::from(line.time_ms) - i128::from(begin_ms);
        let mark = if line.is_about(request) { '*' } else { ' ' };
        let _ = writeln!(
            text,
            "{mark} {at_ms:>+7} ms {} {}{}",
            line.router,
            line.event(),
            line.remaining_fields()
        );
    }
    Some(text)
}

fn last_line<'a>(lines: &[&'a Line], event: &str) -> Option<&'a Line> {
    let of_event = lines.iter().rev().find(|line| line.event() == event);
    of_event.copied()
}

/// Describes how the request ended.
fn describe_outcome(own: &[&Line]) -> String {
    let text = |line: &Line, key: &str| line.field(key).unwrap_or("-").to_owned();
    if let Some(line) = last_line(own, "rejected") {
        return format!(
            "refused with {} {} by {} after {} ms",
            text(line, "status"),
            text(line, "code"),
            line.router,
            text(line, "after_ms")
        );
    }
    if let Some(line) = last_line(own, "streamed") {
        return format!(
            "streamed by {} through {}, {} after {} events and {} ms",
            text(line, "server"),
            line.router,
            text(line, "outcome"),
            text(line, "events"),
            text(line, "ms")
        );
    }
    match last_line(own, "answered") {
        Some(line) => format!(
            "answered with {} by {} through {} after {} ms",
            text(line, "status"),
            text(line, "server"),
            line.router,
            text(line, "ms")
        ),
        None => "in flight, or its end was not logged".to_owned(),
    }
}

/// Describes why the request ended this way, as far as the log lines show it.
fn describe_cause(own: &[&Line], context: &[&Line]) -> String {
    let broken = last_line(own, "stream_broken");
    let failed = last_line(own, "attempt_failed");
    let mut parts = Vec::new();
    if let Some(line) = last_line(own, "rejected") {
        let code = line.field("code").unwrap_or("-");
        parts.push(describe_code(code).to_owned());
    }
    let is_complete =
        last_line(own, "streamed").is_none_or(|l| l.field("outcome") == Some("complete"));
    if let Some(line) = broken {
        let server = line.field("server").unwrap_or("-");
        let cause = line.field("cause").unwrap_or("-");
        let can_resume = line.field("resumes") == Some("true");
        let consequence = match (can_resume, is_complete) {
            (true, true) => "another server went on with it",
            (true, false) => "no other server went on with it",
            (false, _) => "it may not be resumed, or attempts or the retry budget were used up",
        };
        parts.push(format!("{server}: {cause}; {consequence}"));
    }
    if let Some(line) = failed.filter(|_| broken.is_none()) {
        parts.push(format!(
            "{} failed: {}",
            line.field("server").unwrap_or("-"),
            line.field("reason").unwrap_or("-")
        ));
    }
    if let Some(line) = last_line(own, "quarantine_hit") {
        let servers = line.field("servers").unwrap_or_default();
        let left_ms = line.field("left_ms").unwrap_or("-");
        parts.push(format!(
            "crashed before: {}; refused for {left_ms} ms more",
            if servers.is_empty() {
                "learned from other routers or the store"
            } else {
                servers
            },
        ));
    }
    if last_line(own, "trial_sent").is_some() {
        parts.push("sent as the trial of a quarantine".to_owned());
    }
    if let Some(line) = last_line(own, "crashed") {
        let server = line.field("server").unwrap_or("-");
        parts.push(format!("{server} crashed while it ran the request"));
    }
    let servers = context
        .iter()
        .filter(|line| line.event().starts_with("server_"));
    for line in servers {
        let server = line.field("server").unwrap_or("-");
        let event = line.event().replace('_', " ");
        let note = format!("{event}: {server}");
        if line.event() != "server_joined" && !parts.contains(&note) {
            parts.push(note);
        }
    }
    match parts.is_empty() {
        true => "nothing went wrong at this router".to_owned(),
        false => parts.join("; "),
    }
}

/// Describes the code of a refusal.
fn describe_code(code: &str) -> &'static str {
    match code {
        "not_accepted" => "the servers that were asked declined it, and it ran nowhere",
        "overloaded" => "each server of the service held as many requests as it runs at once",
        "no_server" => "no server of the service was registered and reachable",
        "no_configuration" => "the router had not read the routes yet",
        "unknown_route" => "no route of its host has a prefix of its path",
        "unknown_key" => "its key is in no configuration that is in force",
        "timed_out" => "its time was over before a server had answered",
        "answer_lost" => "it was sent, and no whole answer of its server came back",
        "quarantined" => "it had crashed the servers that ran it",
        "bad_request" => "it has no usable id",
        "body_timeout" => "the caller did not send its whole body in time",
        "body_too_large" => "its body is longer than the configuration allows",
        _ => "see the table of codes in docs/OPERATIONS.md",
    }
}
