//! Comparison of two results.

use std::collections::BTreeSet;
use std::path::Path;

use crate::error::BenchError;
use crate::result::ExperimentResult;

/// Reads a result from the last line of a file, or from `result.json` in a report folder.
pub fn read_result(path: &Path) -> Result<ExperimentResult, BenchError> {
    let file = if path.is_dir() { path.join("result.json") } else { path.to_path_buf() };
    let text = std::fs::read_to_string(file)?;
    let last = text.lines().rev().find(|line| !line.trim().is_empty()).unwrap_or_default();
    Ok(serde_json::from_str(last)?)
}

/// Formats a table of the figures of two results, with the ratio of numeric figures.
pub fn compare(left: &ExperimentResult, right: &ExperimentResult) -> String {
    let names: BTreeSet<&String> = left.figures.keys().chain(right.figures.keys()).collect();
    let mut table = format!("{:<48} {:>16} {:>16} {:>8}\n", "FIGURE", "FIRST", "SECOND", "RATIO");
    for name in names {
        let text =
            |result: &ExperimentResult| result.figures.get(name).map_or("-".to_string(), ToString::to_string);
        let ratio = right.number(name) / left.number(name);
        let ratio = if ratio.is_finite() { format!("{ratio:.3}") } else { "-".to_string() };
        table.push_str(&format!("{name:<48} {:>16} {:>16} {ratio:>8}\n", text(left), text(right)));
    }
    table.push_str(&format!("{:<48} {:>16} {:>16}\n", "violations", left.violations, right.violations));
    table
}
