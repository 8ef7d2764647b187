//! Validation findings with their positions.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::ops::Range;

use derive_more::Display;
use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// Error in a configuration or settings file.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Encode, Decode)]
#[display("{file}:{line}:{column}: {message}{}", expectation(expected, nearest))]
pub struct Finding {
    /// File name as passed by the caller.
    pub file: String,
    /// Line, starting at 1.
    pub line: u32,
    /// Column in characters, starting at 1.
    pub column: u32,
    pub message: String,
    /// Description of valid values; empty if the message suffices.
    pub expected: String,
    /// Valid name with the smallest edit distance to the given one.
    pub nearest: Option<String>,
}

fn expectation(expected: &str, nearest: &Option<String>) -> String {
    let mut text = String::new();
    if !expected.is_empty() {
        text.push_str("; expected ");
        text.push_str(expected);
    }
    if let Some(nearest) = nearest {
        text.push_str("; did you mean `");
        text.push_str(nearest);
        text.push_str("`?");
    }
    text
}

/// Collects the findings for one file.
pub struct Findings {
    file: String,
    line_starts: Vec<usize>,
    text: String,
    list: RefCell<BTreeSet<Finding>>,
}

impl Findings {
    /// Creates an empty collection for the file `file` with content `text`.
    pub fn new(file: &str, text: &str) -> Self {
        let starts = text.match_indices('\n').map(|(position, _)| position + 1);
        Self {
            file: file.to_string(),
            line_starts: std::iter::once(0).chain(starts).collect(),
            text: text.to_string(),
            list: RefCell::default(),
        }
    }

    /// Adds a finding at the start of a byte range.
    pub fn add(&self, place: &Range<usize>, message: impl Into<String>, expected: impl Into<String>) {
        self.add_with_nearest(place, message, expected, None);
    }

    /// Adds a finding that suggests the nearest valid name.
    pub fn add_with_nearest(
        &self,
        place: &Range<usize>,
        message: impl Into<String>,
        expected: impl Into<String>,
        nearest: Option<&str>,
    ) {
        let (line, column) = self.position(place.start);
        self.list.borrow_mut().insert(Finding {
            file: self.file.clone(),
            line,
            column,
            message: message.into(),
            expected: expected.into(),
            nearest: nearest.map(str::to_string),
        });
    }

    /// Line and column of a byte offset, both starting at 1.
    fn position(&self, offset: usize) -> (u32, u32) {
        let line = self.line_starts.partition_point(|start| *start <= offset).max(1);
        let start = self.line_starts[line - 1];
        let before = self.text.get(start..offset.min(self.text.len())).unwrap_or("");
        (line as u32, before.chars().count() as u32 + 1)
    }

    pub fn is_empty(&self) -> bool {
        self.list.borrow().is_empty()
    }

    /// Returns the findings without duplicates, ordered by position.
    pub fn into_sorted(self) -> Vec<Finding> {
        let mut list: Vec<Finding> = self.list.into_inner().into_iter().collect();
        list.sort_by(|a, b| (a.line, a.column, &a.message).cmp(&(b.line, b.column, &b.message)));
        list
    }
}
