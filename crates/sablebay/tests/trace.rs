//! `sablebay trace` collects the lines about one request from several logs.

use std::path::PathBuf;
use std::process::{Command, Output};

fn trace(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sablebay"))
        .arg("trace")
        .args(arguments)
        .output()
        .expect("the command runs")
}

fn write_log(folder: &tempfile::TempDir, name: &str, text: &str) -> PathBuf {
    let path = folder.path().join(name);
    std::fs::write(&path, text).expect("the log is written");
    path
}

const FIRST: &str = r#"{"node":"n1","caller_address":"127.0.0.1:1"}
{"time":"2026-01-01T00:00:09.000Z","level":"INFO","message":"catalogue: a configuration is in force.","version":4}
not a line of ours { at all
{"time":"2026-01-01T00:00:02.000Z","level":"WARN","message":"catalogue: reading the source failed: no answer.","catalogue_age_ms":900}
{"time":"2026-01-01T00:00:02.100Z","level":"WARN","message":"gateway: unknown: too few shards answered.","request":"other","held_ms":3}
{"time":"2026-01-01T00:00:02.200Z","level":"WARN","message":"gateway: not run: work queues.","request":"abc","crowded":18,"shards":20}
"#;

/// Log lines of two nodes in one file, each with a time and a node name as prefix.
const SECOND: &str = r#"  1.0000 node-a {"time":"t1","level":"INFO","message":"catalogue: a configuration is in force.","version":7}
  1.5000 node-b {"time":"t2","level":"INFO","message":"catalogue: a configuration is in force.","version":8}
  2.0000 node-a {"time":"t3","level":"INFO","message":"gateway: answered without some shards.","request":"abc","missing":1}
"#;

#[test]
fn request_lines_come_with_the_preceding_state_changes() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let first = write_log(&folder, "first.log", FIRST);
    let second = write_log(&folder, "second.log", SECOND);
    let empty = write_log(&folder, "empty.log", "");
    let paths =
        [&first, &second, &empty].map(|path| path.to_str().expect("the path is valid UTF-8").to_string());
    let output = trace(&["abc", &paths[0], &paths[1], &paths[2]]);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("the output is valid UTF-8");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 7, "{text}");
    assert!(lines[0].contains("first.log"));
    assert!(
        lines[1].contains("version=4"),
        "lines must be in file order, regardless of their timestamps: {text}"
    );
    assert!(lines[2].contains("reading the source failed"));
    assert!(lines[3].contains("crowded=18"));
    assert!(
        lines[5].contains("node-a") && lines[5].contains("version=7"),
        "state changes of node-b must be left out"
    );
    assert!(lines[6].contains("missing=1"));
}

#[test]
fn unknown_requests_and_missing_arguments_fail() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let log = write_log(&folder, "first.log", FIRST);
    let path = log.to_str().expect("the path is valid UTF-8");
    assert_eq!(trace(&["nobody", path]).status.code(), Some(1));
    assert_eq!(trace(&["abc"]).status.code(), Some(2));
    assert_eq!(trace(&[]).status.code(), Some(2));
    assert_eq!(trace(&["abc", "/there/is/no/such/file"]).status.code(), Some(2));
    assert_eq!(trace(&["--before", "many", "abc", path]).status.code(), Some(2));
}
