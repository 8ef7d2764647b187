//! `sablebay drain`: makes a node refuse new work, or accept it again.

use std::process::ExitCode;
use std::time::Duration;

use http::Method;

use sablebay_node::NodeReport;

use crate::CommandResult;
use crate::admin_client::{AdminClient, block_on};
use crate::arguments::{AcceptedArguments, Arguments};
use crate::output::print_line;

const HELP: &str = "\
Makes a node refuse new work. Requests in flight are completed, and the other nodes are notified.

Usage: sablebay drain [--admin ADDRESS] [--token TOKEN] [--undo] [--wait]

  --admin ADDRESS  the admin API of the node (default 127.0.0.1:7300)
  --token TOKEN    the operator's token (default: the variable SABLEBAY_OPERATOR_TOKEN)
  --undo           make the node accept new work again
  --wait           wait until no request is in flight
";

pub fn run(parser: lexopt::Parser) -> CommandResult {
    let accepted = AcceptedArguments {
        help: HELP,
        options: &["admin", "token"],
        switches: &["undo", "wait"],
        positionals: false,
    };
    let Some(arguments) = Arguments::read(parser, &accepted)? else {
        return Ok(ExitCode::SUCCESS);
    };
    let client = AdminClient::from_arguments(&arguments)?;
    let path = if arguments.has("undo") { "/v1/undrain" } else { "/v1/drain" };
    Ok(block_on(drain(client, path, arguments.has("wait"))))
}

async fn drain(client: AdminClient, path: &str, wait: bool) -> ExitCode {
    const POLL_INTERVAL: Duration = Duration::from_millis(200);
    let Some(mut body) = client.send(Method::POST, path, Vec::new()).await else {
        return ExitCode::FAILURE;
    };
    loop {
        let Ok(report) = serde_json::from_slice::<NodeReport>(&body) else {
            eprintln!("sablebay: the response is not a valid status report");
            return ExitCode::FAILURE;
        };
        let state = if report.draining { "draining" } else { "taking work" };
        print_line(&format!("{}: {state}, {} in flight", report.node, report.in_flight));
        if !wait || report.in_flight == 0 {
            return ExitCode::SUCCESS;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
        match client.send(Method::GET, "/v1/status", Vec::new()).await {
            Some(next) => body = next,
            None => return ExitCode::FAILURE,
        }
    }
}
