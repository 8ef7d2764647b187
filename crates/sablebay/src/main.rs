//! `sablebay`: a query tier over many small sharded search services.

mod admin_client;
mod arguments;
mod command;
mod output;

use std::process::ExitCode;

use arguments::UsageError;

/// Responses are often allocated on one thread and freed on another, for which the C library's
/// allocator takes locks.
#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

const USAGE: &str = "\
sablebay: a query tier over many small sharded search services

Usage: sablebay COMMAND [OPTION ...]

Commands:
  serve    run a node
  check    validate and render configuration files offline
  status   show the state of the fleet
  config   show the configuration in force, or check a candidate against it
  drain    make a node refuse new work, or accept it again
  release  release a request from quarantine
  trace    show the log lines of several nodes about one request
  demo     run a platform, leaves and three nodes in this process

Options:
  -h, --help     print this, or the help of a command
  -V, --version  print the version

Exit codes: 0 success, 1 findings or failure, 2 usage error.
";

/// Exit code of a command, or a usage error.
pub type CommandResult = Result<ExitCode, UsageError>;

const USAGE_EXIT_CODE: u8 = 2;

fn run() -> CommandResult {
    let mut raw_arguments = std::env::args_os().skip(1);
    let Some(name) = raw_arguments.next().and_then(|argument| argument.into_string().ok()) else {
        eprint!("{USAGE}");
        return Ok(ExitCode::from(USAGE_EXIT_CODE));
    };
    let rest = lexopt::Parser::from_args(raw_arguments);
    match name.as_str() {
        "serve" => command::serve::run(rest),
        "check" => command::check::run(rest),
        "status" => command::status::run(rest),
        "config" => command::config::run(rest),
        "drain" => command::drain::run(rest),
        "release" => command::release::run(rest),
        "trace" => command::trace::run(rest),
        "demo" => command::demo::run(rest),
        "-h" | "--help" | "help" => {
            output::print(USAGE);
            Ok(ExitCode::SUCCESS)
        }
        "-V" | "--version" => {
            println!("sablebay {}", env!("CARGO_PKG_VERSION"));
            Ok(ExitCode::SUCCESS)
        }
        _ => Err(UsageError::unknown_command(&name)),
    }
}

fn main() -> ExitCode {
    run().unwrap_or_else(|error| {
        eprintln!("sablebay: {error}");
        ExitCode::from(USAGE_EXIT_CODE)
    })
}
