//! `sablebay trace`: what the logs of several nodes say of one request.

use std::process::ExitCode;

use serde_json::{Map, Value};

use crate::CommandResult;
use crate::arguments::{AcceptedArguments, Arguments, UsageError};
use crate::output::print_line;

const HELP: &str = "\
Shows the lines about one request in the logs of several nodes, and what each node came to believe just before.

Usage: sablebay trace [--before N] REQUEST-ID FILE ...

  --before N  lines about what the node believed, before each line about the request (default 8)

Logs are JSON lines; what stands before the first brace of a line is kept as its prefix. Lines of one file stay
in the order that the process wrote them, also where its time of day jumped.

Exit codes: 0 the request was found, 1 it was not, 2 usage.
";

/// Lines about what a node believed that are shown by default.
const DEFAULT_CONTEXT: usize = 8;
/// Beginnings of messages about what a node believes, by the part that writes them.
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

/// One line of a log.
struct LogLine {
    /// What stands before the object.
    prefix: String,
    fields: Map<String, Value>,
}

impl LogLine {
    /// Reads a line; nothing when it holds no object.
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

    /// Time, level and message, then the fields in the order of their names.
    fn render(&self) -> String {
        let mut line = [&self.prefix, self.text("time"), self.text("level"), self.text("message")].join(" ");
        let shown = |name: &str| !["time", "level", "message", "request"].contains(&name);
        for (name, value) in self.fields.iter().filter(|(name, _)| shown(name)) {
            line.push_str(&format!(" {name}={value}"));
        }
        line.trim_start().to_string()
    }
}

/// The lines of one log that belong to the story of a request, in the order that they were written;
/// empty when the log does not name it. Where several nodes write to one file, their lines are told
/// apart by the prefix without its numbers.
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

/// The words of a prefix that are no numbers: a node's name stays, a time goes.
fn writer_of(prefix: &str) -> String {
    let words = prefix.split_whitespace().filter(|word| word.parse::<f64>().is_err());
    words.collect::<Vec<_>>().join(" ")
}

/// Runs the command.
pub fn run(parser: lexopt::Parser) -> CommandResult {
    let accepted = AcceptedArguments { help: HELP, options: &["before"], switches: &[], positionals: true };
    let Some(arguments) = Arguments::read(parser, &accepted)? else {
        return Ok(ExitCode::SUCCESS);
    };
    let [request, files @ ..] = arguments.positionals.as_slice() else {
        return Err(UsageError::new("trace needs a request's id and a file; see --help"));
    };
    if files.is_empty() {
        return Err(UsageError::new("trace needs a file; see --help"));
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
            "sablebay: no line names the request {request}; what went well is logged at level debug alone"
        );
        return Ok(ExitCode::FAILURE);
    }
    Ok(ExitCode::SUCCESS)
}
