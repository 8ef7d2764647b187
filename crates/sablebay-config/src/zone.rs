//! Zone settings.

use std::collections::BTreeSet;
use std::ops::Range;

use sablebay_model::ZoneName;

use crate::document::Document;
use crate::entry::EntryKind;
use crate::finding::Findings;
use crate::nearest::nearest_name;
use crate::section::{Layer, NamedTable, Section};

/// Reads a zone entry and returns whether the zone is evacuated. Leaves of an evacuated zone receive no
/// new calls.
pub fn read_zone(findings: &Findings, name: &str, place: &Range<usize>, keys: &Layer<'_>) -> bool {
    let section = Section::new(findings, format!("zone `{name}`"), place.clone(), keys.clone());
    section.missing("evacuated", "true or false");
    let evacuated = section.boolean("evacuated").unwrap_or(false);
    section.finish();
    evacuated
}

/// Reports zones without leaves, and the evacuation of all zones with leaves.
pub fn check_zones(findings: &Findings, tables: &[NamedTable<'_>], with_leaves: &BTreeSet<ZoneName>) {
    let mut evacuated = BTreeSet::new();
    for table in tables {
        let zone = ZoneName::new(table.name);
        if !with_leaves.contains(&zone) {
            let nearest = nearest_name(table.name, with_leaves.iter().map(ZoneName::as_str));
            let message = format!("zone `{zone}`: no leaf stands in it");
            findings.add_with_nearest(&table.place, message, "a zone with leaves", nearest);
        }
        if read_zone(&Findings::new("", ""), table.name, &table.place, &table.keys()) {
            evacuated.insert(zone);
        }
    }
    if let Some(table) = tables.first()
        && with_leaves.is_subset(&evacuated)
    {
        findings.add(&table.place, "every zone is evacuated: no leaf would get work", "a zone left in use");
    }
}

/// Returns the evacuated zones of a validated document.
pub fn evacuated_zones(document: &Document) -> BTreeSet<ZoneName> {
    let is_evacuated = |body: &str| {
        let table: Option<toml::Table> = format!("zone = {body}").parse().ok();
        let value = table.as_ref().and_then(|table| table["zone"].get("evacuated")?.as_bool());
        value == Some(true)
    };
    let zones = document.entries().filter(|entry| entry.kind() == EntryKind::Zone);
    let evacuated = zones.filter(|entry| is_evacuated(entry.body()));
    evacuated.map(|entry| ZoneName::new(entry.name())).collect()
}
