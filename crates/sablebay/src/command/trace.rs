//! `sablebay trace`: shows the log lines of several nodes about one request.

use std::process::ExitCode;

use serde_json::{Map, Value};

use crate::CommandResult;
use crate::arguments::{AcceptedArguments, Arguments, UsageError};
use crate::output::print_line;

const HELP: &str = "\
Shows the log lines of several nodes about one request, and the state changes that each node logged just before.

Usage: sablebay trace [--before N] REQUEST-ID FILE ...

  --before N  state changes shown before each line about the request (default 8)

Logs consist of JSON lines; text before the first brace of a line is shown as its prefix. Lines of one file are
shown in file order, regardless of their timestamps.

Exit codes: 0 request found, 1 request not found, 2 usage error.
";

/// Default number of state changes shown before each line about the request.
const DEFAULT_CONTEXT: usize = 8;
/// Prefixes of log messages that report a change of a node's state.
const STATE_PREFIXES: [&str; 10] = [
    "catalogue:",
    "configuration:",
    "fleet:",
    "gateway: budgets",
    "log:",
    "node:",
    "peer:",
    "quarantine:",
    "settings:",
    "stop:",
];

struct LogLine {
    /// Text before the JSON object.
    prefix: String,
    fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line; `None` if it contains no JSON object.
    fn parse(line: &str) -> Option<Self> {
        let start = line.find('{')?;
        let Ok(Value::Object(fields)) = serde_json::from_str(&line[start..]) else {
            return None;
        };
        Some(Self { prefix: line[..start].trim().to_string(), fields })
    }

    fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    fn is_about(&self, request: &str) -> bool {
        self.text("request") == request
    }

    fn is_state_change(&self) -> bool {
        STATE_PREFIXES.iter().any(|prefix| self.text("message").starts_with(prefix))
    }

    /// Renders time, level and message, followed by the other fields in the order of their names.
    fn render(&self) -> String {
        let mut line = [&self.prefix, self.text("time"), self.text("level"), self.text("message")].join(" ");
        let shown = |name: &str| !["time", "level", "message", "request"].contains(&name);
        for (name, value) in self.fields.iter().filter(|(name, _)| shown(name)) {
            line.push_str(&format!(" {name}={value}"));
        }
        line.trim_start().to_string()
    }
}

/// The lines of a log about a request and up to `before` state changes preceding each, in file order;
/// empty if no line names the request. Nodes that share a file are distinguished by [`writer_of`].
fn related_lines(text: &str, request: &str, before: usize) -> Vec<String> {
    let lines: Vec<LogLine> = text.lines().filter_map(LogLine::parse).collect();
    let mut shown: Vec<usize> = Vec::new();
    for (position, line) in lines.iter().enumerate().filter(|(_, line)| line.is_about(request)) {
        let writer = writer_of(&line.prefix);
        let earlier = (0..position).rev();
        let state_changes =
            earlier.filter(|at| lines[*at].is_state_change() && writer_of(&lines[*at].prefix) == writer);
        shown.extend(state_changes.take(before));
        shown.push(position);
    }
    shown.sort_unstable();
    shown.dedup();
    shown.into_iter().map(|position| lines[position].render()).collect()
}

/// The prefix without numbers: keeps the name of a node and drops timestamps.
fn writer_of(prefix: &str) -> String {
    let words = prefix.split_whitespace().filter(|word| word.parse::<f64>().is_err());
    words.collect::<Vec<_>>().join(" ")
}

pub fn run(parser: lexopt::Parser) -> CommandResult {
    let accepted = AcceptedArguments { help: HELP, options: &["before"], switches: &[], positionals: true };
    let Some(arguments) = Arguments::read(parser, &accepted)? else {
        return Ok(ExitCode::SUCCESS);
    };
    let [request, files @ ..] = arguments.positionals.as_slice() else {
        return Err(UsageError::new("trace requires a request id and a file; see --help"));
    };
    if files.is_empty() {
        return Err(UsageError::new("trace requires a file; see --help"));
    }
    let before = arguments.parsed("before", "a number of lines")?.unwrap_or(DEFAULT_CONTEXT);
    let mut found = false;
    for file in files {
        let bytes =
            std::fs::read(file).map_err(|error| UsageError::new(format!("cannot read {file}: {error}")))?;
        let lines = related_lines(&String::from_utf8_lossy(&bytes), request, before);
        if lines.is_empty() {
            continue;
        }
        found = true;
        print_line(&format!("{file}:"));
        for line in lines {
            print_line(&format!("  {line}"));
        }
    }
    if !found {
        eprintln!(
            "sablebay: no log line names the request {request}; successful requests are logged only at level debug"
        );
        return Ok(ExitCode::FAILURE);
    }
    Ok(ExitCode::SUCCESS)
}
