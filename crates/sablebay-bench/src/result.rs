//! Results of experiments.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// A line in a plot.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Series {
    /// Title of the plot that contains the line.
    pub plot: String,
    /// Label in the legend.
    pub name: String,
    pub x_label: String,
    pub y_label: String,
    pub points: Vec<(f64, f64)>,
}

/// The result of one run of an experiment.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExperimentResult {
    pub experiment: String,
    pub seed: u64,
    /// The disabled mechanism, if any.
    #[serde(rename = "break")]
    pub broken: Option<String>,
    /// Number of violated invariants.
    pub violations: u64,
    /// With a mechanism disabled: whether the checker detected the consequences.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub break_caught: Option<bool>,
    /// Measured values by name.
    #[serde(flatten)]
    pub figures: Map<String, Value>,
    /// Lines plotted in the report; omitted from the printed result.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub series: Vec<Series>,
}

impl ExperimentResult {
    /// Creates a result without figures.
    pub fn new(experiment: &str, seed: u64, broken: Option<&str>) -> Self {
        Self {
            experiment: experiment.to_string(),
            seed,
            broken: broken.map(str::to_string),
            violations: 0,
            break_caught: None,
            figures: Map::new(),
            series: Vec::new(),
        }
    }

    /// Sets a figure. Floating-point numbers are rounded to four significant digits.
    pub fn figure(&mut self, name: &str, value: impl Into<Value>) {
        let value = match value.into() {
            Value::Number(number) if number.is_f64() => rounded(number.as_f64().unwrap_or(0.0)),
            other => other,
        };
        self.figures.insert(name.to_string(), value);
    }

    /// Returns a figure as a number, or NaN if it is missing or not a number.
    pub fn number(&self, name: &str) -> f64 {
        self.figures.get(name).and_then(Value::as_f64).unwrap_or(f64::NAN)
    }

    /// Adds to the violations, and records the count as a figure.
    pub fn violation(&mut self, name: &str, count: u64) {
        self.violations += count;
        self.figure(name, count);
    }

    /// Adds a line to a plot.
    pub fn plot(&mut self, plot: &str, name: &str, labels: (&str, &str), points: Vec<(f64, f64)>) {
        self.series.push(Series {
            plot: plot.to_string(),
            name: name.to_string(),
            x_label: labels.0.to_string(),
            y_label: labels.1.to_string(),
            points,
        });
    }

    /// Serializes the result as one line of JSON, without the plotted series.
    pub fn printed_line(&self) -> Result<String, serde_json::Error> {
        let printed = Self { series: Vec::new(), ..self.clone() };
        serde_json::to_string(&printed)
    }
}

/// Rounds to four significant digits.
fn rounded(number: f64) -> Value {
    if number == 0.0 || !number.is_finite() {
        return Value::from(0.0);
    }
    let digits = 3 - number.abs().log10().floor() as i32;
    let scale = 10f64.powi(digits);
    Value::from((number * scale).round() / scale)
}
