//! The command line: exit codes, positions of findings, suggestions for mistyped names, the examples
//! and the demo.

use std::process::{Command, Output};

fn sablebay(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sablebay")).args(arguments).output().expect("the binary runs")
}

fn bench(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sablebay-bench")).args(arguments).output().expect("the binary runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn example(name: &str) -> String {
    format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"))
}

#[test]
fn help_and_version_of_every_command() {
    for command in ["serve", "check", "status", "config", "drain", "release", "demo"] {
        let help = sablebay(&[command, "--help"]);
        assert_eq!(help.status.code(), Some(0));
        assert!(text(&help.stdout).contains(&format!("Usage: sablebay {command}")), "{command}");
        assert!(text(&sablebay(&[command, "--version"]).stdout).starts_with("sablebay 0."));
    }
}

#[test]
fn a_typing_error_names_the_nearest_flag_and_command() {
    let flag = sablebay(&["serve", "--pear-address", "x"]);
    assert_eq!(flag.status.code(), Some(2));
    assert!(text(&flag.stderr).contains("did you mean `--peer-address`?"), "{}", text(&flag.stderr));
    let command = sablebay(&["chek"]);
    assert_eq!(command.status.code(), Some(2));
    assert!(text(&command.stderr).contains("did you mean `check`?"));
}

#[test]
fn the_examples_are_sound_and_the_same_as_the_deployments() {
    for name in ["tepung-raya", "protokolia"] {
        let file = example(&format!("{name}/configuration.toml"));
        let checked = sablebay(&["check", "--render", &file]);
        assert_eq!(checked.status.code(), Some(0), "{}", text(&checked.stdout));
        let generated = bench(&["deployment", name]);
        assert_eq!(std::fs::read_to_string(&file).unwrap(), text(&generated.stdout), "{name}");
        for node in 1..=3 {
            let settings = example(&format!("{name}/node-{node}.toml"));
            let checked = sablebay(&["check", "--settings", &settings]);
            assert_eq!(checked.status.code(), Some(0), "{}", text(&checked.stdout));
        }
    }
}

#[test]
fn six_mistakes_get_six_findings() {
    let file = example("mistakes.toml");
    let checked = sablebay(&["check", "--json", &file]);
    assert_eq!(checked.status.code(), Some(1));
    let result: serde_json::Value = serde_json::from_slice(&checked.stdout).unwrap();
    let findings = result["findings"].as_array().unwrap();
    let lines: Vec<u64> = findings.iter().map(|finding| finding["line"].as_u64().unwrap()).collect();
    assert_eq!(lines, [5, 6, 12, 17, 25, 32], "{findings:#?}");
}

#[test]
fn settings_with_mistakes_are_refused_before_anything_starts() {
    let served = sablebay(&["serve", "--node", "n.1", "--probe-period-ms", "0"]);
    assert_eq!(served.status.code(), Some(1));
    let findings = text(&served.stderr);
    for part in ["`n.1` is no name", "`probe_period_ms` is 0", "`zone` is missing"] {
        assert!(findings.contains(part), "{findings}");
    }
}

#[test]
fn peers_off_this_machine_need_a_key() {
    let served = sablebay(&["serve", "--node", "n", "--zone", "z", "--peer-address", "0.0.0.0:0"]);
    assert_eq!(served.status.code(), Some(1));
    assert!(text(&served.stderr).contains("fleet_key"), "{}", text(&served.stderr));
}

#[test]
fn the_demo_ends_with_its_totals() {
    let demo = sablebay(&["demo"]);
    assert_eq!(demo.status.code(), Some(0), "{}", text(&demo.stderr));
    let output = text(&demo.stdout);
    let totals: serde_json::Value = serde_json::from_str(output.lines().last().unwrap()).unwrap();
    assert_eq!(totals["mixed_answers"], 0);
    assert_eq!(totals["operations_run_twice"], 0);
    assert_eq!(totals["queries"], totals["answered"]);
}

#[test]
fn an_experiment_that_does_not_exist_is_a_usage_error() {
    assert_eq!(bench(&["run", "nothing"]).status.code(), Some(2));
    assert_eq!(bench(&["run", "drain", "--break", "nothing"]).status.code(), Some(2));
}

#[test]
fn a_report_is_written_and_compared() {
    let folder = std::env::temp_dir().join(format!("sablebay-report-{}", std::process::id()));
    let folder_text = folder.to_string_lossy().into_owned();
    let ran = bench(&["run", "never-reverts", "--json", "--out", &folder_text]);
    assert_eq!(ran.status.code(), Some(0), "{}", text(&ran.stderr));
    assert!(std::fs::read_to_string(folder.join("index.html")).unwrap().contains("never-reverts"));
    let compared = bench(&["compare", &folder_text, &folder_text]);
    assert_eq!(compared.status.code(), Some(0));
    assert!(text(&compared.stdout).contains("nodes_replaced"));
    std::fs::remove_dir_all(folder).unwrap();
}

/// Guards against a panic or an error when the reader closes the pipe, as in `sablebay ... | head`.
#[test]
fn output_that_nobody_reads_ends_quietly() {
    let file = example("tepung-raya/configuration.toml");
    let mut child = Command::new(env!("CARGO_BIN_EXE_sablebay"))
        .args(["check", "--render", &file])
        .stdout(std::process::Stdio::piped())
        .stderr(std::process::Stdio::piped())
        .spawn()
        .unwrap();
    drop(child.stdout.take());
    let ended = child.wait_with_output().unwrap();
    assert_eq!(ended.status.code(), Some(0), "{}", text(&ended.stderr));
    assert_eq!(text(&ended.stderr), "");
}

/// Guards against log lines with encoder errors, in both formats.
#[test]
fn log_lines_are_complete() {
    for format in ["text", "json"] {
        let mut child = Command::new(env!("CARGO_BIN_EXE_sablebay"))
            .args(["serve", "--node", "n", "--zone", "z", "--log-format", format])
            .stdout(std::process::Stdio::piped())
            .stderr(std::process::Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let mut log = std::io::BufReader::new(child.stderr.take().unwrap());
        std::io::BufRead::read_line(&mut log, &mut line).unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
        assert!(line.contains("node: n listens for callers on"), "{line}");
        assert!(!line.contains("ERROR"), "{line}");
        assert_eq!(format == "json", line.starts_with('{'), "{line}");
    }
}
