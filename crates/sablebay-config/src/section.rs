//! Typed access to TOML tables with a finding for each invalid value.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Range, RangeInclusive};

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::finding::Findings;
use crate::nearest::nearest_name;

/// TOML value with its position.
#[derive(Clone, Copy)]
pub struct Place<'a> {
    pub value: &'a DeValue<'a>,
    /// Start of the byte range of the value.
    pub start: usize,
    /// End of the byte range of the value.
    pub end: usize,
    /// Start of the key.
    pub key_start: usize,
}

impl Place<'_> {
    /// Byte range of the value.
    pub fn range(&self) -> Range<usize> {
        self.start..self.end
    }
}

/// Keys of one table, or of several merged tables.
pub type Layer<'a> = BTreeMap<&'a str, Place<'a>>;

pub fn layer<'a>(table: &'a DeTable<'a>) -> Layer<'a> {
    table.iter().map(|(key, value)| (key.get_ref().as_ref(), place(key.span().start, value))).collect()
}

fn place<'a>(key_start: usize, value: &'a Spanned<DeValue<'a>>) -> Place<'a> {
    Place { value: value.get_ref(), start: value.span().start, end: value.span().end, key_start }
}

/// Table with its key.
pub struct NamedTable<'a> {
    pub name: &'a str,
    /// Position of the name.
    pub place: Range<usize>,
    table: &'a DeTable<'a>,
}

impl<'a> NamedTable<'a> {
    /// Builds the layer on each call, since keeping the layers of all tables would use too much memory.
    pub fn keys(&self) -> Layer<'a> {
        layer(self.table)
    }
}

/// Reader of one table. Tracks the keys that were read, so that unknown keys can be reported.
pub struct Section<'a> {
    findings: &'a Findings,
    name: String,
    place: Range<usize>,
    keys: Layer<'a>,
    known: RefCell<BTreeSet<&'static str>>,
    placeholders_allowed: bool,
    /// Keys inherited from other tables, whose findings are reported there.
    inherited: BTreeSet<String>,
}

impl<'a> Section<'a> {
    /// Creates a reader; `name` identifies the table in messages.
    pub fn new(findings: &'a Findings, name: String, place: Range<usize>, keys: Layer<'a>) -> Self {
        Self {
            findings,
            name,
            place,
            keys,
            known: RefCell::default(),
            placeholders_allowed: false,
            inherited: BTreeSet::new(),
        }
    }

    /// Accepts `${name}` placeholders for any value and treats them as absent.
    pub fn allow_placeholders(mut self) -> Self {
        self.placeholders_allowed = true;
        self
    }

    /// Suppresses findings for keys that are inherited from other tables.
    pub fn with_inherited(mut self, keys: BTreeSet<String>) -> Self {
        self.inherited = keys;
        self
    }

    fn report(
        &self,
        key: &str,
        place: &Range<usize>,
        message: String,
        expected: &str,
        nearest: Option<&str>,
    ) {
        if !self.inherited.contains(key) {
            self.findings.add_with_nearest(place, message, expected, nearest);
        }
    }

    /// Position of the section header.
    pub fn place(&self) -> &Range<usize> {
        &self.place
    }

    /// Position of the value of a key, or of the section if the key is absent.
    pub fn place_of(&self, key: &str) -> Range<usize> {
        self.keys.get(key).map_or(self.place.clone(), Place::range)
    }

    /// Returns the untyped value of a key; `None` if absent or a placeholder.
    pub fn raw(&self, key: &'static str) -> Option<Place<'a>> {
        self.known.borrow_mut().insert(key);
        let place = self.keys.get(key).copied()?;
        if self.placeholders_allowed && placeholder(place.value).is_some() {
            return None;
        }
        Some(place)
    }

    fn wrong_type(&self, key: &str, place: &Place<'_>, expected: &str) {
        let message = format!("{}: `{key}` is a {}", self.name, place.value.type_str());
        self.report(key, &place.range(), message, expected.as_ref(), None);
    }

    pub fn text(&self, key: &'static str) -> Option<&'a str> {
        let place = self.raw(key)?;
        let text = place.value.as_str();
        if text.is_none() {
            self.wrong_type(key, &place, "a quoted string");
        }
        text
    }

    pub fn boolean(&self, key: &'static str) -> Option<bool> {
        let place = self.raw(key)?;
        let value = place.value.as_bool();
        if value.is_none() {
            self.wrong_type(key, &place, "true or false");
        }
        value
    }

    /// Reads an integer within `limits`.
    pub fn integer(&self, key: &'static str, limits: RangeInclusive<u64>) -> Option<u64> {
        let place = self.raw(key)?;
        let expected = format!("an integer from {} to {}", limits.start(), limits.end());
        let Some(number) = place.value.as_integer() else {
            self.wrong_type(key, &place, &expected);
            return None;
        };
        let parsed = i128::from_str_radix(number.as_str(), number.radix()).unwrap_or(-1);
        let value = u64::try_from(parsed).ok().filter(|value| limits.contains(value));
        if value.is_none() {
            let message = format!("{}: `{key}` is {number}", self.name);
            self.report(key, &place.range(), message, expected.as_ref(), None);
        }
        value
    }

    /// Reads an integer or float within `limits`.
    pub fn number(&self, key: &'static str, limits: RangeInclusive<f64>) -> Option<f64> {
        let place = self.raw(key)?;
        let expected = format!("a number from {} to {}", limits.start(), limits.end());
        let text = match place.value {
            DeValue::Integer(number) => number.as_str(),
            DeValue::Float(number) => number.as_str(),
            _ => {
                self.wrong_type(key, &place, &expected);
                return None;
            }
        };
        let value = text.parse::<f64>().ok().filter(|value| limits.contains(value));
        if value.is_none() {
            let message = format!("{}: `{key}` is {text}", self.name);
            self.report(key, &place.range(), message, expected.as_ref(), None);
        }
        value
    }

    /// Reads one of several named values.
    pub fn choice<T: Copy>(&self, key: &'static str, choices: &[(&'static str, T)]) -> Option<T> {
        let place = self.raw(key)?;
        let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        let expected = format!("one of {}", names.join(", "));
        let Some(text) = place.value.as_str() else {
            self.wrong_type(key, &place, &expected);
            return None;
        };
        let found = choices.iter().find(|(name, _)| *name == text);
        if found.is_none() {
            let message = format!("{}: `{key}` is \"{text}\"", self.name);
            let nearest = nearest_name(text, names.iter().copied());
            self.report(key, &place.range(), message, expected.as_ref(), nearest);
        }
        found.map(|(_, value)| *value)
    }

    /// Reads a value that is parsed from a string.
    pub fn parsed<T: std::str::FromStr>(&self, key: &'static str, expected: &str) -> Option<T>
    where
        T::Err: std::fmt::Display,
    {
        let place = self.raw(key)?;
        let text = self.text(key)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                let message = format!("{}: `{key}` is \"{text}\": {error}", self.name);
                self.report(key, &place.range(), message, expected.as_ref(), None);
                None
            }
        }
    }

    /// Reads a list of strings with their positions.
    pub fn text_list(&self, key: &'static str) -> Vec<(&'a str, Range<usize>)> {
        let Some(place) = self.raw(key) else {
            return Vec::new();
        };
        let Some(array) = place.value.as_array() else {
            self.wrong_type(key, &place, "a list of strings");
            return Vec::new();
        };
        let mut texts = Vec::with_capacity(array.len());
        for item in array.iter() {
            match item.get_ref().as_str() {
                Some(text) => texts.push((text, item.span())),
                None => {
                    let message = format!("{}: an item of `{key}` is not a string", self.name);
                    self.findings.add(&item.span(), message, "a quoted string");
                }
            }
        }
        texts
    }

    /// Reads a nested table.
    pub fn section(&self, key: &'static str) -> Option<Section<'a>> {
        let place = self.raw(key)?;
        let Some(table) = place.value.as_table() else {
            self.wrong_type(key, &place, "a table");
            return None;
        };
        let name = format!("{}.{key}", self.name);
        Some(Section::new(self.findings, name, place.range(), layer(table)))
    }

    /// Reads a list of tables.
    pub fn sections(&self, key: &'static str) -> Vec<Section<'a>> {
        let Some(place) = self.raw(key) else {
            return Vec::new();
        };
        let Some(array) = place.value.as_array() else {
            self.wrong_type(key, &place, "a list of tables");
            return Vec::new();
        };
        let mut sections = Vec::with_capacity(array.len());
        for item in array.iter() {
            match item.get_ref().as_table() {
                Some(table) => {
                    let name = format!("{}.{key}", self.name);
                    sections.push(Section::new(self.findings, name, item.span(), layer(table)));
                }
                None => {
                    let message = format!("{}: an item of `{key}` is not a table", self.name);
                    self.findings.add(&item.span(), message, "a table");
                }
            }
        }
        sections
    }

    /// Reads a table of tables.
    pub fn named_tables(&self, key: &'static str) -> Vec<NamedTable<'a>> {
        let Some(place) = self.raw(key) else {
            return Vec::new();
        };
        let Some(table) = place.value.as_table() else {
            self.wrong_type(key, &place, "a table");
            return Vec::new();
        };
        let mut tables = Vec::with_capacity(table.len());
        for (name, value) in table.iter() {
            let text: &str = name.get_ref().as_ref();
            check_name(self.findings, text, &name.span());
            match value.get_ref().as_table() {
                Some(table) => tables.push(NamedTable { name: text, place: name.span(), table }),
                None => {
                    let message = format!("`{key}.{text}` is a {}", value.get_ref().type_str());
                    self.findings.add(&value.span(), message, "a table");
                }
            }
        }
        tables
    }

    /// Reports a required key that is absent.
    pub fn missing(&self, key: &str, expected: &str) {
        let present = self.keys.contains_key(key);
        if !present {
            let message = format!("{}: `{key}` is missing", self.name);
            self.findings.add(&self.place, message, expected);
        }
    }

    /// Reports all keys that were not read.
    pub fn finish(&self) {
        let known = self.known.borrow();
        for (key, place) in &self.keys {
            if known.contains(key) {
                continue;
            }
            let message = format!("{}: unknown key `{key}`", self.name);
            let names: Vec<&str> = known.iter().copied().collect();
            let nearest = nearest_name(key, names.iter().copied());
            let expected = format!("one of {}", names.join(", "));
            let range = place.key_start..place.key_start;
            self.report(key, &range, message, &expected, nearest);
        }
    }
}

/// Returns the parameter name of a `${name}` value.
pub fn placeholder<'a>(value: &'a DeValue<'a>) -> Option<&'a str> {
    value.as_str()?.strip_prefix("${")?.strip_suffix('}')
}

/// Maximum length of the name of a service, index, leaf, template, node or zone.
const MAXIMUM_NAME_LENGTH: usize = 64;

/// Reports names that are unsafe in tickets, URLs or file names.
pub fn check_name(findings: &Findings, name: &str, place: &Range<usize>) {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    if name.is_empty() || name.len() > MAXIMUM_NAME_LENGTH || !name.bytes().all(is_allowed) {
        let expected = format!("1 to {MAXIMUM_NAME_LENGTH} letters, digits, `-` or `_`");
        findings.add(place, format!("`{name}` is no name"), expected);
    }
}
