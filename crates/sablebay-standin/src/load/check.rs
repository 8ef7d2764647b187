//! Checks an answer against what the right one is.

use std::collections::HashSet;

use derive_more::Display;
use serde::Serialize;

use sablebay_model::SortOrder;
use sablebay_protocol::caller::QueryAnswer;
use sablebay_query::{GapReason, Work};

use crate::corpus::{Corpus, StoredHit};

/// What must never happen.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Violation {
    /// Hits of two versions, or of another than the one reported.
    #[display("mixed_answers")]
    MixedVersions,
    /// A document twice.
    #[display("doubled_hits")]
    DoubledHit,
    /// Coverage that does not add up, or hits that do not fit it.
    #[display("false_coverage")]
    FalseCoverage,
    /// Hits for another caller's query.
    #[display("foreign_answers")]
    ForeignAnswer,
}

/// An answer, and what is wrong with it.
#[derive(Clone, Debug)]
pub struct CheckedAnswer {
    /// Whether nothing is missing.
    pub is_full: bool,
    /// The version reported.
    pub version: u64,
    /// The revision reported.
    pub revision: u64,
    /// The work reported.
    pub work: Work,
    /// Why partitions are missing.
    pub missing: Vec<GapReason>,
    /// What is wrong.
    pub violations: Vec<Violation>,
}

/// Checks an answer for `outlet`.
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
