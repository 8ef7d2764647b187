//! `sablebay config`: shows the configuration in force, or checks a candidate against it.

use std::process::ExitCode;

use http::Method;

use crate::CommandResult;
use crate::admin_client::{AdminClient, block_on};
use crate::arguments::{AcceptedArguments, Arguments, UsageError};
use crate::output::print_line;

const HELP: &str = "\
Shows the configuration in force, as JSON.

Usage: sablebay config [--admin ADDRESS] [--service NAME | --candidate FILE]

  --admin ADDRESS   the admin API of any node (default 127.0.0.1:7300)
  --service NAME    show the settings and fleet-wide statistics of one service
  --candidate FILE  validate a file against the configuration in force and show the differences;
                    the file is not applied: configurations are published on the platform

Exit codes: 0 success, 1 findings or failure, 2 usage error.
";

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
        (Some(_), Some(_)) => return Err(UsageError::new("--service conflicts with --candidate")),
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
        eprintln!("sablebay: the response is not valid JSON");
        return ExitCode::FAILURE;
    };
    print_line(&format!("{answer:#}"));
    let rejected = answer.get("valid") == Some(&serde_json::Value::Bool(false));
    if rejected { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}
