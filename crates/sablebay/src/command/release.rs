//! `sablebay release`: lets a request be tried again that is held back.

use std::process::ExitCode;

use http::Method;

use sablebay_model::RequestDigest;

use crate::CommandResult;
use crate::admin_client::{AdminClient, block_on};
use crate::arguments::{AcceptedArguments, Arguments, UsageError};
use crate::output::print_line;

const HELP: &str = "\
Lets a request be tried again that is held back because back ends ended under it. All nodes are told. It goes to all
back ends at once again: mend or replace what ended first.

Usage: sablebay release [--admin ADDRESS] [--token TOKEN] DIGEST

  DIGEST           what `sablebay status` and the log name the request by
  --admin ADDRESS  the admin API of any node that knows of it (default 127.0.0.1:7300)
  --token TOKEN    the operator's token; SABLEBAY_OPERATOR_TOKEN by default
";

/// Runs the command.
pub fn run(parser: lexopt::Parser) -> CommandResult {
    let accepted =
        AcceptedArguments { help: HELP, options: &["admin", "token"], switches: &[], positionals: true };
    let Some(arguments) = Arguments::read(parser, &accepted)? else {
        return Ok(ExitCode::SUCCESS);
    };
    let [text] = arguments.positionals.as_slice() else {
        return Err(UsageError::new("release needs one digest; see --help"));
    };
    let digest: RequestDigest = text.parse().map_err(|error| UsageError::new(format!("{error}")))?;
    let client = AdminClient::from_arguments(&arguments)?;
    Ok(block_on(release(client, digest)))
}

async fn release(client: AdminClient, digest: RequestDigest) -> ExitCode {
    let path = format!("/v1/quarantine/{digest}/release");
    if client.send(Method::POST, &path, Vec::new()).await.is_none() {
        return ExitCode::FAILURE;
    }
    print_line(&format!("{digest} is released"));
    ExitCode::SUCCESS
}
