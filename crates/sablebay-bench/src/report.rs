//! Writes a result as a self-contained HTML page with plots.

use std::collections::BTreeMap;
use std::path::Path;

use plotters::prelude::*;

use crate::error::BenchError;
use crate::result::{ExperimentResult, Series};

const PLOT_SIZE: (u32, u32) = (760, 420);

/// Writes `index.html` and `result.json` into a folder.
///
/// # Errors
/// When the folder cannot be written, or a plot cannot be drawn.
pub fn write_report(result: &ExperimentResult, folder: &Path) -> Result<(), BenchError> {
    std::fs::create_dir_all(folder)?;
    std::fs::write(folder.join("result.json"), serde_json::to_string(result)? + "\n")?;
    std::fs::write(folder.join("index.html"), page(result)?)?;
    Ok(())
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

fn page(result: &ExperimentResult) -> Result<String, BenchError> {
    let title = escape(&result.experiment);
    let broken =
        result.broken.as_deref().map_or("all mechanisms enabled".to_string(), |m| format!("{m} disabled"));
    let mut body = format!(
        "<h1>{title}</h1><p>Seed {}; {}; {} violations.</p><table>",
        result.seed,
        escape(&broken),
        result.violations
    );
    for (name, value) in &result.figures {
        let row = format!("<tr><td>{}</td><td>{}</td></tr>", escape(name), escape(&value.to_string()));
        body.push_str(&row);
    }
    body.push_str("</table>");
    let mut plots: BTreeMap<&str, Vec<&Series>> = BTreeMap::new();
    for series in &result.series {
        plots.entry(&series.plot).or_default().push(series);
    }
    for (name, series) in plots {
        body.push_str(&format!("<h2>{}</h2>{}", escape(name), plot(&series)?));
    }
    Ok(format!(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title><style>\
         body{{font-family:sans-serif;margin:2em;max-width:60em}}td{{padding:.1em 1em .1em 0;\
         font-variant-numeric:tabular-nums}}</style></head><body>{body}</body></html>\n"
    ))
}

fn bounds(values: impl Iterator<Item = f64>) -> (f64, f64) {
    let (low, high) =
        values.fold((f64::MAX, f64::MIN), |(low, high), value| (low.min(value), high.max(value)));
    if low >= high { (low - 0.5, low + 0.5) } else { (low, high) }
}

fn plot(series: &[&Series]) -> Result<String, BenchError> {
    let mut image = String::new();
    draw(series, &mut image).map_err(|message| BenchError::Plot { message })?;
    Ok(image)
}

fn draw(series: &[&Series], image: &mut String) -> Result<(), String> {
    let points = || series.iter().flat_map(|line| line.points.iter());
    if points().next().is_none() {
        return Ok(());
    }
    let (left, right) = bounds(points().map(|point| point.0));
    let (_, top) = bounds(points().map(|point| point.1));
    let area = SVGBackend::with_string(image, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|error| error.to_string())?;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(left..right, 0.0..top * 1.05)
        .map_err(|error| error.to_string())?;
    chart
        .configure_mesh()
        .x_desc(&series[0].x_label)
        .y_desc(&series[0].y_label)
        .draw()
        .map_err(|error| error.to_string())?;
    const COLOURS: [RGBColor; 5] = [BLUE, RED, GREEN, MAGENTA, BLACK];
    for (number, line) in series.iter().enumerate() {
        let colour = COLOURS[number % COLOURS.len()];
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), &colour))
            .map_err(|error| error.to_string())?
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(|error| error.to_string())?;
    area.present().map_err(|error| error.to_string())
}
