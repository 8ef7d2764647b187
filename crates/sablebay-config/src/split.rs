//! Splits a large TOML text into parts that can be parsed separately.
//!
//! Splits only before table headers outside strings, lists and comments, and only between entries:
//! `[indexes.a]` and the `[[indexes.a.shards]]` after it stay together. If a part fails to parse or
//! validate, the caller must parse the whole text instead.

use std::ops::Range;

/// Lexical context of the scanner.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ScanState {
    Plain,
    Comment,
    BasicString,
    LiteralString,
    MultiLineBasicString,
    MultiLineLiteralString,
}

struct Scan<'a> {
    bytes: &'a [u8],
    at: usize,
    state: ScanState,
    /// Nesting depth of lists and inline tables.
    depth: usize,
}

impl Scan<'_> {
    fn starts_with(&self, text: &[u8]) -> bool {
        self.bytes[self.at..].starts_with(text)
    }

    /// Advances by one byte, delimiter or escape sequence.
    fn step(&mut self) {
        let byte = self.bytes[self.at];
        let mut length = 1;
        match self.state {
            ScanState::Plain if self.starts_with(b"\"\"\"") => {
                (self.state, length) = (ScanState::MultiLineBasicString, 3)
            }
            ScanState::Plain if self.starts_with(b"'''") => {
                (self.state, length) = (ScanState::MultiLineLiteralString, 3)
            }
            ScanState::Plain => match byte {
                b'"' => self.state = ScanState::BasicString,
                b'\'' => self.state = ScanState::LiteralString,
                b'#' => self.state = ScanState::Comment,
                b'[' | b'{' => self.depth += 1,
                b']' | b'}' => self.depth = self.depth.saturating_sub(1),
                _ => {}
            },
            ScanState::Comment if byte == b'\n' => self.state = ScanState::Plain,
            ScanState::BasicString | ScanState::MultiLineBasicString if byte == b'\\' => length = 2,
            ScanState::BasicString if byte == b'"' => self.state = ScanState::Plain,
            ScanState::LiteralString if byte == b'\'' => self.state = ScanState::Plain,
            ScanState::MultiLineBasicString if self.starts_with(b"\"\"\"") => {
                (self.state, length) = (ScanState::Plain, 3)
            }
            ScanState::MultiLineLiteralString if self.starts_with(b"'''") => {
                (self.state, length) = (ScanState::Plain, 3)
            }
            _ => {}
        }
        self.at = (self.at + length).min(self.bytes.len());
    }

    /// Offset after the current line.
    fn line_end(&self) -> usize {
        let rest = &self.bytes[self.at..];
        rest.iter().position(|byte| *byte == b'\n').map_or(self.bytes.len(), |length| self.at + length + 1)
    }
}

/// Entry of a header line: the first two components of its key.
fn entry_of(header: &str) -> (&str, &str) {
    let names = header.trim_start_matches(['[', ' ', '\t']);
    let names = names.split(']').next().unwrap_or("");
    let mut names = names.split('.').map(str::trim);
    (names.next().unwrap_or(""), names.next().unwrap_or(""))
}

/// Byte offsets at which entries start.
fn entry_starts(text: &str) -> Vec<usize> {
    let mut scan = Scan { bytes: text.as_bytes(), at: 0, state: ScanState::Plain, depth: 0 };
    let mut starts = Vec::new();
    let mut last = ("", "");
    let mut at_line_start = true;
    while scan.at < scan.bytes.len() {
        let is_header =
            at_line_start && scan.state == ScanState::Plain && scan.depth == 0 && scan.starts_with(b"[");
        if is_header {
            let end = scan.line_end();
            let entry = entry_of(&text[scan.at..end]);
            if entry != last {
                starts.push(scan.at);
            }
            last = entry;
            scan.at = end;
            continue;
        }
        at_line_start = scan.bytes[scan.at] == b'\n';
        scan.step();
    }
    starts
}

/// Splits a text between entries into parts of at least `part_bytes`; the last may be shorter.
pub fn split_entries(text: &str, part_bytes: usize) -> Vec<Range<usize>> {
    let mut parts = Vec::new();
    let mut start = 0;
    for position in entry_starts(text) {
        if position - start >= part_bytes {
            parts.push(start..position);
            start = position;
        }
    }
    parts.push(start..text.len());
    parts
}
