//! `sablebay release`: releases a request from quarantine.

use std::process::ExitCode;

use http::Method;

use sablebay_model::RequestDigest;

use crate::CommandResult;
use crate::admin_client::{AdminClient, block_on};
use crate::arguments::{AcceptedArguments, Arguments, UsageError};
use crate::output::print_line;

const HELP: &str = "\
Releases a request that is quarantined because back ends crashed while running it, on all nodes. It is sent to all back
ends again without restriction: repair or replace the crashed back ends first.

Usage: sablebay release [--admin ADDRESS] [--token TOKEN] DIGEST

  DIGEST           digest of the request, as shown by `sablebay status` and in the log
  --admin ADDRESS  the admin API of any node that lists the request (default 127.0.0.1:7300)
  --token TOKEN    the operator's token (default: the variable SABLEBAY_OPERATOR_TOKEN)
";

pub fn run(parser: lexopt::Parser) -> CommandResult {
    let accepted =
        AcceptedArguments { help: HELP, options: &["admin", "token"], switches: &[], positionals: true };
    let Some(arguments) = Arguments::read(parser, &accepted)? else {
        return Ok(ExitCode::SUCCESS);
    };
    let [text] = arguments.positionals.as_slice() else {
        return Err(UsageError::new("release requires exactly one digest; see --help"));
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
