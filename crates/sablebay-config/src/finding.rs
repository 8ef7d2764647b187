//! Findings of validation, with their places.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::ops::Range;

use derive_more::Display;
use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// One mistake in a configuration or settings file.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Encode, Decode)]
#[display("{file}:{line}:{column}: {message}{}", expectation(expected, nearest))]
pub struct Finding {
    /// The file's name as the caller gave it.
    pub file: String,
    /// The line, counted from 1.
    pub line: u32,
    /// The column in characters, counted from 1.
    pub column: u32,
    /// What is wrong.
    pub message: String,
    /// What was expected instead; empty when the message says it all.
    pub expected: String,
    /// The valid name nearest to the one given.
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

/// Collects the findings of one file.
pub struct Findings {
    file: String,
    line_starts: Vec<usize>,
    text: String,
    list: RefCell<BTreeSet<Finding>>,
}

impl Findings {
    /// An empty collection for the file `file` with content `text`.
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

    /// Adds a finding that offers the nearest valid name.
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

    /// Line and column of a byte offset, both counted from 1.
    fn position(&self, offset: usize) -> (u32, u32) {
        let line = self.line_starts.partition_point(|start| *start <= offset).max(1);
        let start = self.line_starts[line - 1];
        let before = self.text.get(start..offset.min(self.text.len())).unwrap_or("");
        (line as u32, before.chars().count() as u32 + 1)
    }

    /// Whether nothing was found.
    pub fn is_empty(&self) -> bool {
        self.list.borrow().is_empty()
    }

    /// All findings: by place, each one once.
    pub fn into_sorted(self) -> Vec<Finding> {
        let mut list: Vec<Finding> = self.list.into_inner().into_iter().collect();
        list.sort_by(|a, b| (a.line, a.column, &a.message).cmp(&(b.line, b.column, &b.message)));
        list
    }
}
