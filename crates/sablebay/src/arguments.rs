//! Command-line parsing shared by all commands.

use std::collections::BTreeMap;
use std::fmt;

use lexopt::prelude::*;

use sablebay_config::nearest_name;

use crate::output::print;

/// An invalid command line.
#[derive(Debug, PartialEq, Eq)]
pub struct UsageError {
    message: String,
}

impl fmt::Display for UsageError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.message)
    }
}

impl UsageError {
    pub fn new(message: impl Into<String>) -> Self {
        Self { message: message.into() }
    }

    /// Reports an unknown command and suggests the most similar one.
    pub fn unknown_command(given: &str) -> Self {
        const COMMANDS: [&str; 8] =
            ["serve", "check", "status", "config", "drain", "release", "trace", "demo"];
        Self::new(with_nearest(format!("unknown command `{given}`"), given, &COMMANDS))
    }
}

impl From<lexopt::Error> for UsageError {
    fn from(error: lexopt::Error) -> Self {
        Self::new(error.to_string())
    }
}

fn with_nearest(message: String, given: &str, known: &[&str]) -> String {
    match nearest_name(given, known.iter().copied()) {
        Some(nearest) => format!("{message}; did you mean `{nearest}`?"),
        None => message,
    }
}

/// Arguments that a command accepts.
pub struct AcceptedArguments<'a> {
    /// Text printed for `--help`.
    pub help: &'static str,
    /// Names of options with a value, without the leading dashes.
    pub options: &'a [&'a str],
    /// Names of options without a value.
    pub switches: &'a [&'a str],
    /// Whether positional arguments are accepted.
    pub positionals: bool,
}

/// Parsed command-line arguments.
#[derive(Debug, Default)]
pub struct Arguments {
    options: BTreeMap<String, Vec<String>>,
    switches: Vec<String>,
    pub positionals: Vec<String>,
}

impl Arguments {
    /// Parses the arguments. Returns `None` after printing the help or the version on request.
    ///
    /// # Errors
    /// For unknown options, with a suggestion if one is similar, and for missing values.
    pub fn read(
        mut parser: lexopt::Parser,
        accepted: &AcceptedArguments<'_>,
    ) -> Result<Option<Self>, UsageError> {
        let mut arguments = Self::default();
        while let Some(argument) = parser.next()? {
            match argument {
                Short('h') | Long("help") => {
                    print(accepted.help);
                    return Ok(None);
                }
                Short('V') | Long("version") => {
                    println!("sablebay {}", env!("CARGO_PKG_VERSION"));
                    return Ok(None);
                }
                Long(name) if accepted.switches.contains(&name) => {
                    arguments.switches.push(name.to_string());
                }
                Long(name) if accepted.options.contains(&name) => {
                    let name = name.to_string();
                    let value = parser.value()?.string()?;
                    arguments.options.entry(name).or_default().push(value);
                }
                Long(name) => return Err(unknown_option(name, accepted)),
                Value(positional) if accepted.positionals => arguments.positionals.push(positional.string()?),
                other => return Err(other.unexpected().into()),
            }
        }
        Ok(Some(arguments))
    }

    pub fn has(&self, name: &str) -> bool {
        self.switches.iter().any(|given| given == name)
    }

    /// Last value given for an option.
    pub fn value(&self, name: &str) -> Option<&str> {
        self.options.get(name).and_then(|values| values.last()).map(String::as_str)
    }

    /// All options as name and value; repeated options yield several pairs.
    pub fn given_options(&self) -> Vec<(String, String)> {
        let pairs = self.options.iter().flat_map(|(name, values)| values.iter().map(move |v| (name, v)));
        pairs.map(|(name, value)| (name.clone(), value.clone())).collect()
    }

    /// Last value given for an option, parsed. `expected` describes the valid form in the error message.
    ///
    /// # Errors
    /// If the value cannot be parsed.
    pub fn parsed<T: std::str::FromStr>(&self, name: &str, expected: &str) -> Result<Option<T>, UsageError> {
        let Some(text) = self.value(name) else {
            return Ok(None);
        };
        let invalid = |_| UsageError::new(format!("--{name} is `{text}`, not {expected}"));
        text.parse().map(Some).map_err(invalid)
    }
}

fn unknown_option(name: &str, accepted: &AcceptedArguments<'_>) -> UsageError {
    let known: Vec<&str> = accepted.options.iter().chain(accepted.switches).copied().collect();
    let message = format!("unknown option `--{name}`");
    match nearest_name(name, known.iter().copied()) {
        Some(nearest) => UsageError::new(format!("{message}; did you mean `--{nearest}`?")),
        None => UsageError::new(format!("{message}; see --help")),
    }
}
