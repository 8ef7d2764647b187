//! `sablebay check --routing` reports every error in a routing configuration.

use std::process::Command;

fn check(document: &str) -> (Option<i32>, String) {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = folder.path().join("routing.json");
    std::fs::write(&path, document).expect("the file is written");
    let output =
        Command::new(env!("CARGO_BIN_EXE_sablebay")).args(["check", "--routing"]).arg(&path).output();
    let output = output.expect("the command runs");
    (output.status.code(), String::from_utf8_lossy(&output.stdout).into_owned())
}

#[test]
fn all_mistakes_are_reported_together() {
    let (code, text) = check(
        r#"{"Version": 3, "Services": [{"Name": "a", "MaxConnections": 4}, {"Name": "b"}], "Routes": [
            {"Name": "r1", "Hostname": "h", "PathPrefix": "x/", "Type": "safe", "Backend": "a"},
            {"Name": "r2", "Hostname": "h", "PathPrefix": "/y/", "Type": "perhaps", "Gather": ["a", "c"], "MinShardShare": 2},
            {"Name": "r3", "Hostname": "h", "PathPrefix": "/y/", "Type": "unsafe"}]}"#,
    );
    assert_eq!(code, Some(1));
    for expected in [
        "route r1: the prefix x/ does not begin and end with a slash",
        "route r2: the type perhaps is neither safe nor unsafe",
        "route r2: the share 2 is not between 0 and 1",
        "route r2: there is no service c",
        "route r2: an answer would hold no records",
        "route r3: it has no destination",
        "route r3: another route has its host and prefix",
        "service b: it takes no connections",
    ] {
        assert!(text.contains(expected), "{expected} is missing in {text}");
    }
}

#[test]
fn a_valid_document_passes_and_a_malformed_one_is_reported() {
    let valid = r#"{"Version": 3, "Services": [{"Name": "a", "MaxConnections": 4}], "Routes": [
        {"Name": "r1", "Hostname": "h", "PathPrefix": "/x/", "Type": "safe", "Backend": "a"}], "New": 1}"#;
    assert_eq!(check(valid).0, Some(0));
    let (code, text) = check("{\"Version\": 3, \"Routes\": 7}");
    assert_eq!(code, Some(1));
    assert!(text.contains("line 1 column"), "{text}");
}
