//! Validation reports every error with its position.

use sablebay_config::{Configuration, ConfigurationError, Finding, NodeSettings};

const VALID_DOCUMENT: &str = r#"revision = 7

[templates.base]
deadline_ms = "${deadline}"
replicas = 2

[templates.desk]
extends = "base"
priority = "coverage"

[instances.desk-1]
template = "desk"
index = "orders"
parameters = { deadline = 250 }

[indexes.orders]
partitions = 4
[[indexes.orders.shards]]
partitions = "0-1"
leaves = ["a", "b"]
[[indexes.orders.shards]]
partitions = "2-3"
leaves = ["b", "a"]

[leaves.a]
address = "127.0.0.1:9001"
zone = "z1"
[leaves.b]
address = "127.0.0.1:9002"
zone = "z2"
"#;

fn findings(text: &str) -> Vec<Finding> {
    match Configuration::parse("c.toml", text) {
        Err(ConfigurationError::Invalid { findings }) => findings,
        other => panic!("expected findings, got {other:?}"),
    }
}

/// Findings for the valid document with one text replaced.
fn findings_after(from: &str, to: &str) -> Vec<Finding> {
    assert!(VALID_DOCUMENT.contains(from), "the document has no `{from}`");
    findings(&VALID_DOCUMENT.replace(from, to))
}

fn only_finding(from: &str, to: &str) -> Finding {
    let list = findings_after(from, to);
    assert_eq!(list.len(), 1, "{list:?}");
    list.into_iter().next().unwrap()
}

#[test]
fn a_sound_document_is_rendered_with_parameters_and_inheritance() {
    let configuration = Configuration::parse("c.toml", VALID_DOCUMENT).unwrap();
    let desk = configuration.services.values().next().unwrap();
    assert_eq!(desk.deadline_ms, 250);
    assert_eq!(desk.replicas, 2);
    assert_eq!(desk.templates, ["desk", "base"]);
    assert_eq!(configuration.version.revision.0, 7);
}

#[test]
fn six_different_mistakes_get_six_findings_with_their_places() {
    let text = r#"revision = 1
[templates.t]
deadline_ms = 0
replicsa = 2
[instances.s]
template = "tt"
index = "i"
[instances.u]
template = "t"
index = "j"
[indexes.i]
partitions = 2
shards = [{ partitions = "0-1", leaves = ["a"] }, { partitions = "1", leaves = ["b"] }]
[leaves.a]
address = "nowhere"
zone = "z"
"#;
    let list = findings(text);
    assert_eq!(list.len(), 7, "{list:#?}");
    let places: Vec<(u32, u32, &str)> =
        list.iter().map(|finding| (finding.line, finding.column, finding.message.as_str())).collect();
    let expected = [
        (3, 15, "template `t`: `deadline_ms` is 0"),
        (4, 1, "template `t`: unknown key `replicsa`"),
        (6, 12, "there is no template `tt`"),
        (10, 9, "instance `u`: there is no index `j`"),
        (13, 66, "index `i`: partitions 1 are in two shards"),
        (13, 81, "index `i`: there is no leaf `b`"),
        (15, 11, "leaf `a`: `address` is \"nowhere\": invalid socket address syntax"),
    ];
    for wanted in expected {
        assert!(places.contains(&wanted), "{wanted:?} is not in {places:#?}");
    }
    let unknown = list.iter().find(|finding| finding.line == 4).unwrap();
    assert_eq!(unknown.nearest.as_deref(), Some("replicas"));
}

#[test]
fn cycles_in_templates_are_found() {
    let list = findings_after("[templates.base]\n", "[templates.base]\nextends = \"desk\"\n");
    // One finding for each template of the cycle.
    assert_eq!(list.len(), 2, "{list:?}");
    assert!(list.iter().all(|finding| finding.message.contains("leads back")), "{list:?}");
}

#[test]
fn a_parameter_that_is_not_given_is_found() {
    let list = findings_after("parameters = { deadline = 250 }", "parameters = { deadlin = 250 }");
    assert!(
        list.iter().any(|finding| finding.message.contains("needs the parameter `deadline`")),
        "{list:?}"
    );
    assert!(list.iter().any(|finding| finding.message.contains("`deadlin` is not used")), "{list:?}");
}

#[test]
fn more_replicas_than_there_are_leaves_are_found() {
    let finding = only_finding("replicas = 2", "replicas = 3");
    assert!(finding.message.contains("3 replicas are asked for"), "{finding}");
    assert_eq!(finding.expected, "at most 2");
}

#[test]
fn partitions_in_no_shard_are_found() {
    let finding = only_finding("partitions = 4", "partitions = 5");
    assert!(finding.message.contains("partitions 4 are in no shard"), "{finding}");
}

#[test]
fn text_that_is_no_toml_is_found_and_the_rest_is_still_read() {
    let list = findings_after("zone = \"z2\"", "zone = ");
    assert!(list.iter().any(|finding| finding.message.starts_with("not TOML")), "{list:?}");
}

#[test]
fn names_that_do_not_fit_into_tickets_are_found() {
    let list = findings_after("[instances.desk-1]", "[instances.\"desk.1\"]");
    assert!(list.iter().any(|finding| finding.message == "`desk.1` is no name"), "{list:?}");
}

#[test]
fn node_settings_by_flags_go_before_the_file_and_keep_its_places() {
    let file = "node = \"n\"\nzone = 3\nprobe_period_ms = 5\n";
    let overrides = [("zone".to_string(), "\"z\"".to_string())];
    let error = NodeSettings::parse_with_overrides("node.toml", file, &overrides).unwrap_err();
    let ConfigurationError::Invalid { findings } = error else { panic!() };
    assert_eq!(findings.len(), 1, "{findings:?}");
    assert_eq!((findings[0].line, findings[0].column), (3, 19));
    let fixed = file.replace("= 5", "= 50");
    let settings = NodeSettings::parse_with_overrides("node.toml", &fixed, &overrides).unwrap();
    assert_eq!(settings.zone.as_str(), "z");
}
