//! What an experiment found.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// One line of a plot.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Series {
    /// The plot that it belongs to.
    pub plot: String,
    /// Its name in the plot.
    pub name: String,
    /// What the horizontal axis shows.
    pub x_label: String,
    /// What the vertical axis shows.
    pub y_label: String,
    /// The points.
    pub points: Vec<(f64, f64)>,
}

/// What an experiment found.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExperimentResult {
    /// The experiment.
    pub experiment: String,
    /// The seed.
    pub seed: u64,
    /// The mechanism that was off.
    #[serde(rename = "break")]
    pub broken: Option<String>,
    /// Things that must never happen, and did.
    pub violations: u64,
    /// With a mechanism off: whether the checker noticed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub break_caught: Option<bool>,
    /// The figures.
    #[serde(flatten)]
    pub figures: Map<String, Value>,
    /// What the report plots; left out of the printed line.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub series: Vec<Series>,
}

impl ExperimentResult {
    /// A result without figures.
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

    /// Adds a figure; numbers are rounded to what can be told apart.
    pub fn figure(&mut self, name: &str, value: impl Into<Value>) {
        let value = match value.into() {
            Value::Number(number) if number.is_f64() => rounded(number.as_f64().unwrap_or(0.0)),
            other => other,
        };
        self.figures.insert(name.to_string(), value);
    }

    /// A figure as a number.
    pub fn number(&self, name: &str) -> f64 {
        self.figures.get(name).and_then(Value::as_f64).unwrap_or(f64::NAN)
    }

    /// Counts violations under a name of their own.
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

    /// The result without what only the report needs.
    pub fn printed_line(&self) -> Result<String, serde_json::Error> {
        let printed = Self { series: Vec::new(), ..self.clone() };
        serde_json::to_string(&printed)
    }
}

/// Four significant digits.
fn rounded(number: f64) -> Value {
    if number == 0.0 || !number.is_finite() {
        return Value::from(0.0);
    }
    let digits = 3 - number.abs().log10().floor() as i32;
    let scale = 10f64.powi(digits);
    Value::from((number * scale).round() / scale)
}
