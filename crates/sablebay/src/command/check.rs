//! `sablebay check`: validates configuration files offline and renders the resulting service settings.

use std::process::ExitCode;

use serde::Serialize;

use sablebay_platform::check_configuration;

use sablebay_config::{Configuration, ConfigurationError, Finding, NodeSettings, ServiceSettings};

use crate::CommandResult;
use crate::arguments::{AcceptedArguments, Arguments, UsageError};
use crate::output::print_line;

const HELP: &str = "\
Validates configuration files offline and prints each finding with its file, line and column.

Usage: sablebay check [--settings | --routing] [--render] [--json] FILE ...

  --settings  the files are node settings instead of configurations
  --routing   the files are routing configurations of the platform, as JSON
  --render    print the resulting settings of each service
  --json      print one JSON object per file

Exit codes: 0 no findings, 1 findings, 2 usage error.
";

#[derive(Serialize)]
struct FileResult {
    file: String,
    valid: bool,
    findings: Vec<Finding>,
    #[serde(skip_serializing_if = "Option::is_none")]
    services: Option<Vec<ServiceSettings>>,
}

pub fn run(parser: lexopt::Parser) -> CommandResult {
    let accepted = AcceptedArguments {
        help: HELP,
        options: &[],
        switches: &["settings", "routing", "render", "json"],
        positionals: true,
    };
    let Some(arguments) = Arguments::read(parser, &accepted)? else {
        return Ok(ExitCode::SUCCESS);
    };
    if arguments.positionals.is_empty() {
        return Err(UsageError::new("check requires a file; see --help"));
    }
    let mut all_valid = true;
    for file in &arguments.positionals {
        let text = std::fs::read_to_string(file)
            .map_err(|error| UsageError::new(format!("cannot read {file}: {error}")))?;
        let result = check_file(file, &text, &arguments);
        all_valid &= result.valid;
        print_result(&result, &arguments);
    }
    Ok(if all_valid { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn check_routing(file: &str, text: &str) -> FileResult {
    // Messages name the route or service; the validation provides no line numbers.
    let finding = |message| Finding {
        file: file.to_string(),
        line: 1,
        column: 1,
        message,
        expected: String::new(),
        nearest: None,
    };
    let findings: Vec<Finding> = check_configuration(text.as_bytes()).into_iter().map(finding).collect();
    FileResult { file: file.to_string(), valid: findings.is_empty(), findings, services: None }
}

fn check_file(file: &str, text: &str, arguments: &Arguments) -> FileResult {
    if arguments.has("routing") {
        return check_routing(file, text);
    }
    let checked = if arguments.has("settings") {
        NodeSettings::parse(file, text).map(|_| None)
    } else {
        Configuration::parse(file, text).map(|configuration| {
            let services = configuration.services.values().map(|service| (**service).clone());
            arguments.has("render").then(|| services.collect())
        })
    };
    let (valid, findings, services) = match checked {
        Ok(services) => (true, Vec::new(), services),
        Err(ConfigurationError::Invalid { findings }) => (false, findings, None),
        Err(_) => (false, Vec::new(), None),
    };
    FileResult { file: file.to_string(), valid, findings, services }
}

fn print_result(result: &FileResult, arguments: &Arguments) {
    if arguments.has("json") {
        if let Ok(line) = serde_json::to_string(result) {
            print_line(&line);
        }
        return;
    }
    for finding in &result.findings {
        print_line(&finding.to_string());
    }
    if result.valid {
        print_line(&format!("{}: fine", result.file));
    } else {
        print_line(&format!("{}: {} findings", result.file, result.findings.len()));
    }
    for service in result.services.iter().flatten() {
        if let Ok(text) = toml::to_string(service) {
            print_line(&format!("\n{text}"));
        }
    }
}
