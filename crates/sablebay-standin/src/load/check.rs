//! Checks answers against the corpus.

use std::collections::HashSet;

use derive_more::Display;
use serde::Serialize;

use sablebay_model::SortOrder;
use sablebay_protocol::caller::QueryAnswer;
use sablebay_query::{GapReason, Work};

use crate::corpus::{Corpus, StoredHit};

/// A violated guarantee.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Violation {
    /// A hit's version differs from the reported one.
    #[display("mixed_answers")]
    MixedVersions,
    /// A document occurs more than once.
    #[display("doubled_hits")]
    DoubledHit,
    /// The coverage is inconsistent or does not match the hits.
    #[display("false_coverage")]
    FalseCoverage,
    /// A hit belongs to another caller's query.
    #[display("foreign_answers")]
    ForeignAnswer,
}

/// An answer and its violations.
#[derive(Clone, Debug)]
pub struct CheckedAnswer {
    /// Whether the coverage is full.
    pub is_full: bool,
    /// The reported index version.
    pub version: u64,
    /// The reported configuration revision.
    pub revision: u64,
    /// The reported work.
    pub work: Work,
    /// Reasons for missing partitions.
    pub missing: Vec<GapReason>,
    pub violations: Vec<Violation>,
}

/// Checks an answer to a query for `outlet`.
pub fn check_answer(answer: &QueryAnswer, outlet: u64, limit: usize, corpus: &Corpus) -> CheckedAnswer {
    let mut violations = Vec::new();
    let mut keys = HashSet::new();
    for hit in &answer.hits {
        let Ok(stored) = serde_json::from_str::<StoredHit>(hit.body.get()) else {
            violations.push(Violation::ForeignAnswer);
            continue;
        };
        if stored.version != answer.snapshot.0 {
            violations.push(Violation::MixedVersions);
        }
        if stored.outlet != outlet {
            violations.push(Violation::ForeignAnswer);
        }
        if !answer.coverage.answered.contains(stored.partition) {
            violations.push(Violation::FalseCoverage);
        }
        if !keys.insert(hit.key.clone()) {
            violations.push(Violation::DoubledHit);
        }
    }
    let coverage = &answer.coverage;
    let missing: u32 = coverage.missing.iter().map(|gap| gap.partitions.len()).sum();
    let totals_match = coverage.partitions_answered + missing == coverage.partitions_total;
    let counts_match = coverage.answered.len() == coverage.partitions_answered;
    let overlaps = coverage.missing.iter().any(|gap| gap.partitions.intersects(&coverage.answered));
    if !totals_match || !counts_match || overlaps {
        violations.push(Violation::FalseCoverage);
    }
    let order = SortOrder::Descending;
    let expected = corpus.search(outlet, &coverage.answered, answer.snapshot, order, limit);
    let same = expected.len() == answer.hits.len()
        && expected.iter().zip(&answer.hits).all(|(expected, hit)| expected.key == hit.key);
    if !same && violations.is_empty() {
        violations.push(Violation::FalseCoverage);
    }
    violations.sort_unstable();
    violations.dedup();
    CheckedAnswer {
        is_full: coverage.missing.is_empty(),
        version: answer.snapshot.0,
        revision: answer.configuration.revision.0,
        work: answer.work,
        missing: coverage.missing.iter().map(|gap| gap.reason).collect(),
        violations,
    }
}
