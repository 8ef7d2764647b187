//! The review's scripts: they start the project's programs as separate processes between stand-ins.

mod client;
mod foreign_entries;
mod http;
mod leaf;
mod node;
mod record;
mod retry_budget;
mod stop_while_waiting;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

/// How a script ended; also its exit code.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(folder), Some(temporary)) = (arguments.next(), arguments.next(), arguments.next())
    else {
        eprintln!("usage: review-standin SCRIPT FOLDER TEMPORARY-FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (folder, temporary) = (PathBuf::from(folder), PathBuf::from(temporary));
    let verdict = match name.as_str() {
        "stop-while-waiting" => stop_while_waiting::run(trouble, &folder, &temporary),
        "foreign-entries" => foreign_entries::run(trouble, &folder, &temporary),
        "retry-budget" => retry_budget::run(trouble, &folder, &temporary),
        _ => {
            eprintln!("there is no script {name}");
            Verdict::CouldNotRun
        }
    };
    ExitCode::from(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::CouldNotRun => 2,
    })
}
