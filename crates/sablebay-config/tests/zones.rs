//! Parsing, validation and delta transfer of evacuated zones.

use sablebay_config::{Configuration, ConfigurationError, Finding};
use sablebay_model::ZoneName;

fn text(revision: u64, zones: &str) -> String {
    format!(
        r#"revision = {revision}
{zones}
[templates.desk]
replicas = 2
[instances.desk-1]
template = "desk"
index = "orders"
[indexes.orders]
partitions = 2
[[indexes.orders.shards]]
partitions = "0-1"
leaves = ["a", "b"]
[leaves.a]
address = "127.0.0.1:9001"
zone = "hall-a"
[leaves.b]
address = "127.0.0.1:9002"
zone = "hall-b"
"#
    )
}

fn parse(revision: u64, zones: &str) -> Configuration {
    Configuration::parse("c.toml", &text(revision, zones)).expect("the configuration is valid")
}

fn findings(zones: &str) -> Vec<Finding> {
    match Configuration::parse("c.toml", &text(1, zones)) {
        Err(ConfigurationError::Invalid { findings }) => findings,
        other => panic!("expected findings, got {other:?}"),
    }
}

fn evacuated(configuration: &Configuration) -> Vec<&str> {
    configuration.evacuated_zones.iter().map(ZoneName::as_str).collect()
}

#[test]
fn a_configuration_names_its_evacuated_zones() {
    assert_eq!(evacuated(&parse(1, "")), Vec::<&str>::new());
    let zones = "[zones.hall-a]\nevacuated = true\n[zones.hall-b]\nevacuated = false";
    assert_eq!(evacuated(&parse(1, zones)), ["hall-a"]);
}

#[test]
fn an_unknown_zone_is_a_finding_with_its_place_and_the_nearest_name() {
    let list = findings("[zones.hall-c]\nevacuated = true");
    assert_eq!(list.len(), 1, "{list:#?}");
    assert_eq!((list[0].line, list[0].message.as_str()), (2, "zone `hall-c`: no leaf stands in it"));
    assert!(list[0].nearest.is_some());
}

#[test]
fn evacuating_every_zone_is_a_finding() {
    let list = findings("[zones.hall-a]\nevacuated = true\n[zones.hall-b]\nevacuated = true");
    assert_eq!(list.len(), 1, "{list:#?}");
    assert_eq!(list[0].message, "every zone is evacuated: no leaf would get work");
}

#[test]
fn a_zone_says_whether_it_is_evacuated_and_nothing_else() {
    let list = findings("[zones.hall-a]\nevacuate = true");
    let messages: Vec<&str> = list.iter().map(|finding| finding.message.as_str()).collect();
    assert!(messages.iter().any(|message| message.contains("unknown key `evacuate`")), "{messages:?}");
    assert!(messages.iter().any(|message| message.contains("`evacuated`")), "{messages:?}");
}

#[test]
fn a_delta_carries_an_evacuation_and_its_end() {
    let before = parse(1, "");
    let during = parse(2, "[zones.hall-a]\nevacuated = true");
    let after = parse(3, "[zones.hall-a]\nevacuated = false");
    let updated =
        before.apply(&before.document.delta_to(&during.document)).expect("the delta matches the base");
    assert_eq!(evacuated(&updated), ["hall-a"]);
    let updated =
        updated.apply(&updated.document.delta_to(&after.document)).expect("the delta matches the base");
    assert_eq!(evacuated(&updated), Vec::<&str>::new());
    // A starting node receives the whole document from a peer.
    let started =
        Configuration::from_document((*during.document).clone()).expect("the configuration is valid");
    assert_eq!(evacuated(&started), ["hall-a"]);
}
