//! Documents, deltas, digests, and robustness against arbitrary input.

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use sablebay_config::{Configuration, ConfigurationError, Document, Entry, EntryKey, EntryKind};
use sablebay_model::{IndexId, Revision};

fn settings(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn document(revision: u64, entries: &BTreeMap<u8, u8>) -> Document {
    let entries = entries.iter().map(|(name, body)| {
        (EntryKey::new(EntryKind::Leaf, &format!("leaf-{name}")), format!("{{ slots = {body} }}"))
    });
    Document::new(Revision(revision), entries)
}

proptest! {
    #![proptest_config(settings(256))]

    /// Guards against deltas or incremental digests that diverge from the target document.
    #[test]
    fn a_delta_leads_to_the_newer_document(
        old in proptest::collection::btree_map(0u8..20, 0u8..4, 0..12),
        new in proptest::collection::btree_map(0u8..20, 0u8..4, 0..12),
    ) {
        let (old, new) = (document(1, &old), document(2, &new));
        let delta = old.delta_to(&new);
        let applied = old.apply(&delta).unwrap();
        prop_assert_eq!(&applied, &new);
        prop_assert_eq!(applied.version(), new.version());
        prop_assert!(new.apply(&delta).is_err() || old == new);
    }

    /// Guards against parser panics on arbitrary text.
    #[test]
    fn any_text_is_answered_with_a_value_or_findings(text in "\\PC{0,200}") {
        let _ = Configuration::parse("any", &text);
    }

    /// Guards against panics on corrupted documents, and against accepted documents that a peer reads as a
    /// different version.
    #[test]
    fn damaged_documents_are_answered_too(at in 0usize..400, with in "\\PC{0,6}") {
        let valid = "revision = 3\n[templates.t]\ndeadline_ms = 9\n[instances.s]\ntemplate = \"t\"\nindex = \"i\"\n\
            [indexes.i]\npartitions = 1\nshards = [{ partitions = \"0\", leaves = [\"l\"] }]\n\
            [leaves.l]\naddress = \"127.0.0.1:1\"\nzone = \"z\"\n";
        let at = at.min(valid.len());
        let damaged = format!("{}{with}{}", &valid[..at], &valid[at..]);
        if let Ok(configuration) = Configuration::parse("damaged", &damaged) {
            let sent = Configuration::from_document((*configuration.document).clone()).unwrap();
            prop_assert_eq!(sent.version, configuration.version);
        }
    }
}

fn valid_text(deadline: u64, revision: u64, leaf_b: bool) -> String {
    let leaves = if leaf_b { "\"a\", \"b\"" } else { "\"a\"" };
    let extra = if leaf_b { "[leaves.b]\naddress = \"127.0.0.1:2\"\nzone = \"z\"\n" } else { "" };
    format!(
        "revision = {revision}\n[templates.t]\ndeadline_ms = {deadline}\nindex = \"i\"\n\
         [instances.s]\ntemplate = \"t\"\n[instances.other]\ntemplate = \"t\"\n\
         [indexes.i]\npartitions = 1\nshards = [{{ partitions = \"0\", leaves = [{leaves}] }}]\n\
         [leaves.a]\naddress = \"127.0.0.1:1\"\nzone = \"z\"\n{extra}"
    )
}

/// Applying a delta must give the same result as parsing the whole document.
#[test]
fn a_delta_renders_the_same_as_the_whole() {
    let versions = [
        valid_text(100, 1, false),
        valid_text(200, 2, false),
        valid_text(200, 3, true),
        valid_text(50, 4, false),
    ];
    let mut current = Configuration::parse("whole", &versions[0]).unwrap();
    for text in &versions[1..] {
        let whole = Configuration::parse("whole", text).unwrap();
        let delta = current.document.delta_to(&whole.document);
        current = current.apply(&delta).unwrap();
        assert_eq!(current.version, whole.version);
        assert_eq!(current.services, whole.services);
        assert_eq!(current.index_layouts().unwrap(), whole.index_layouts().unwrap());
    }
}

/// Guards against accepting a delta with an invalid result.
#[test]
fn a_delta_that_breaks_the_configuration_is_rejected() {
    let current = Configuration::parse("whole", &valid_text(100, 1, true)).unwrap();
    let keep = |entry: &&Entry| !(entry.kind() == EntryKind::Leaf && entry.name() == "b");
    let entries = current.document.entries().filter(keep);
    let entries = entries.map(|entry| (entry.key(), entry.body().to_string()));
    let broken = Document::new(Revision(2), entries);
    let delta = current.document.delta_to(&broken);
    assert!(current.apply(&delta).is_err());
}

/// Guards against stale index layouts, and against rebuilding layouts that are unchanged.
#[test]
fn a_layout_is_current_until_its_index_or_leaves_change() {
    let before = Configuration::parse("whole", &valid_text(100, 1, false)).unwrap();
    let layout = before.index_layout(&IndexId::new("i")).unwrap();
    assert_eq!(layout.leaves.len(), 1);
    let other_service = Configuration::parse("whole", &valid_text(200, 2, false)).unwrap();
    assert!(layout.is_current(&other_service.document));
    let moved_leaf = valid_text(200, 3, false).replace("127.0.0.1:1", "127.0.0.1:9");
    let moved_leaf = Configuration::parse("whole", &moved_leaf).unwrap();
    assert!(!layout.is_current(&moved_leaf.document));
    let other_map = Configuration::parse("whole", &valid_text(200, 4, true)).unwrap();
    assert!(!layout.is_current(&other_map.document));
    assert!(before.index_layout(&IndexId::new("none")).is_err());
}

/// Text large enough to be split, with headers inside strings, lists and comments.
fn large_text() -> String {
    let mut text =
        String::from("revision = 1 # [leaves.not-a-header]\n[templates.t]\n[zones.z]\nevacuated = false\n");
    for index in 0..40 {
        text.push_str(&format!("[instances.s{index}]\ntemplate = \"t\"\nindex = \"\"\"\ni{index}\"\"\"\n"));
        text.push_str(&format!("[indexes.i{index}]\npartitions = 60\n"));
        for shard in 0..60 {
            let leaf = index * 60 + shard;
            text.push_str(&format!(
                "[[indexes.i{index}.shards]]\npartitions = '{shard}'\nleaves = [\n# [indexes.i0]\n\"leaf-{leaf}\"\n]\n"
            ));
        }
        for leaf in index * 60..(index + 1) * 60 {
            text.push_str(&format!("[leaves.leaf-{leaf}]\naddress = \"127.0.0.1:1\"\nzone = '''z'''\n"));
        }
    }
    text
}

/// Splitting must yield the same entries as parsing the whole text with the TOML library.
#[test]
fn a_text_read_in_parts_has_the_entries_of_the_whole() {
    let text = large_text();
    let table: toml::Table = text.parse().unwrap();
    let mut entries = Vec::new();
    for kind in EntryKind::ALL {
        let section = table[kind.section()].as_table().unwrap();
        entries.extend(section.iter().map(|(name, value)| (EntryKey::new(kind, name), value.to_string())));
    }
    let expected = Document::new(Revision(1), entries);
    assert_eq!(*Configuration::parse("large", &text).unwrap().document, expected);
}

/// Findings in a split text must have positions in the whole text, and duplicate entries in different
/// parts must be detected.
#[test]
fn findings_in_a_large_text_have_their_places() {
    let text = large_text();
    let broken = text.replace("[leaves.leaf-2000]\naddress = \"127", "[leaves.leaf-2000]\naddress = \"x127");
    let line = broken.lines().position(|line| line.contains("x127")).unwrap() as u32 + 1;
    let Err(ConfigurationError::Invalid { findings }) = Configuration::parse("large", &broken) else {
        panic!("an invalid address was accepted");
    };
    assert_eq!(findings.iter().map(|finding| finding.line).collect::<Vec<_>>(), [line], "{findings:?}");
    let duplicated = format!("{text}[leaves.leaf-7]\naddress = \"127.0.0.1:1\"\nzone = \"z\"\n");
    assert!(Configuration::parse("large", &duplicated).is_err());
}

/// Reading a document from a peer in parts must give the same result as parsing its text.
#[test]
fn parts_are_read_as_the_whole_is() {
    let text = large_text();
    let whole = Configuration::parse("whole", &text).unwrap();
    assert!(whole.document.content_bytes() > 128 * 1024, "the document must span several parts");
    let parts = Configuration::from_document((*whole.document).clone()).unwrap();
    assert_eq!((parts.version, &parts.services), (whole.version, &whole.services));

    // References to entries missing from other parts are reported.
    for missing in [EntryKey::new(EntryKind::Leaf, "leaf-7"), EntryKey::new(EntryKind::Index, "i39")] {
        let entries = whole.document.entries().filter(|entry| entry.key() != missing);
        let entries = entries.map(|entry| (entry.key(), entry.body().to_string()));
        let broken = Configuration::from_document(Document::new(Revision(2), entries));
        let Err(ConfigurationError::Invalid { findings }) = broken else {
            panic!("the missing entry {missing} was not reported");
        };
        assert!(findings[0].message.contains(&missing.name), "{findings:?}");
    }
}
