//! Encodes each log record as one JSON object: time, level, message, and the record's fields.

use std::fmt;

use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use log4rs::encode::{Encode, Write};

/// Writes a record as one JSON object on a line, with few fixed fields to keep logs small.
#[derive(Debug)]
pub struct LineEncoder;

impl Encode for LineEncoder {
    fn encode(&self, writer: &mut dyn Write, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = String::with_capacity(256);
        line.push_str("{\"time\":\"");
        line.push_str(&jiff::Timestamp::now().strftime("%Y-%m-%dT%H:%M:%S%.3fZ").to_string());
        line.push_str("\",\"level\":\"");
        line.push_str(record.level().as_str());
        line.push('"');
        push_field(&mut line, "message", &record.args());
        let mut fields = Fields { line: &mut line };
        // Writing to a `String` does not fail.
        let _ = record.key_values().visit(&mut fields);
        line.push_str("}\n");
        writer.write_all(line.as_bytes())?;
        Ok(())
    }
}

struct Fields<'a> {
    line: &'a mut String,
}

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        match value.to_u64() {
            Some(number) => push_raw(self.line, key.as_str(), &number),
            None => push_field(self.line, key.as_str(), &value),
        }
        Ok(())
    }
}

fn push_raw(line: &mut String, key: &str, value: &dyn fmt::Display) {
    use fmt::Write;
    // Writing to a `String` does not fail.
    let _ = write!(line, ",\"{key}\":{value}");
}

/// Appends a field as a JSON string.
fn push_field(line: &mut String, key: &str, value: &dyn fmt::Display) {
    let quoted = serde_json::to_string(&value.to_string()).unwrap_or_default();
    push_raw(line, key, &quoted);
}
