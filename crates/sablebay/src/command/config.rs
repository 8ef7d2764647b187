//! `sablebay config`: shows what is in force, or tries a candidate against it.

use std::process::ExitCode;

use http::Method;

use crate::CommandResult;
use crate::admin_client::{AdminClient, block_on};
use crate::arguments::{AcceptedArguments, Arguments, UsageError};
use crate::output::print_line;

const HELP: &str = "\
Shows what is in force, as JSON.

Usage: sablebay config [--admin ADDRESS] [--service NAME | --candidate FILE]

  --admin ADDRESS   the admin API of any node (default 127.0.0.1:7300)
  --service NAME    one service: its settings, and how it behaves over the whole fleet
  --candidate FILE  validate a file against what is in force, and show what it would change;
                    nothing is changed: operators publish to the platform

Exit codes: 0 fine, 1 findings or failure, 2 usage.
";

/// Runs the command.
pub fn run(parser: lexopt::Parser) -> CommandResult {
    let accepted = AcceptedArguments {
        help: HELP,
        options: &["admin", "service", "candidate"],
        switches: &["json"],
        positionals: false,
    };
    let Some(arguments) = Arguments::read(parser, &accepted)? else {
        return Ok(ExitCode::SUCCESS);
    };
    let client = AdminClient::from_arguments(&arguments)?;
    let (method, path, body) = match (arguments.value("service"), arguments.value("candidate")) {
        (Some(_), Some(_)) => return Err(UsageError::new("give --service or --candidate, not both")),
        (Some(service), None) => (Method::GET, format!("/v1/services/{service}"), Vec::new()),
        (None, Some(file)) => {
            let text = std::fs::read(file)
                .map_err(|error| UsageError::new(format!("cannot read {file}: {error}")))?;
            (Method::POST, "/v1/configuration/check".to_string(), text)
        }
        (None, None) => (Method::GET, "/v1/configuration".to_string(), Vec::new()),
    };
    Ok(block_on(async move {
        match client.send(method, &path, body).await {
            Some(body) => print_answer(&body),
            None => ExitCode::FAILURE,
        }
    }))
}

fn print_answer(body: &[u8]) -> ExitCode {
    let Ok(answer) = serde_json::from_slice::<serde_json::Value>(body) else {
        eprintln!("sablebay: the answer is not JSON");
        return ExitCode::FAILURE;
    };
    print_line(&format!("{answer:#}"));
    let rejected = answer.get("valid") == Some(&serde_json::Value::Bool(false));
    if rejected { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}
