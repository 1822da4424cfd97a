//! Generates the tables of the capacity page.

use crate::Error;
use crate::slopes::estimate;
use crate::slopes::estimate::Estimate;
use crate::slopes::series::Results;
use crate::slopes::series::Series;

/// Marker line before the tables.
const BEGIN: &str = "<!-- tables -->\n";
/// Marker line after the tables.
const END: &str = "<!-- end of tables -->";

/// Returns the page with its tables generated from the results.
///
/// # Errors
///
/// Fails when the page lacks a marker or the results lack a series.
pub fn replace_tables(page: &str, results: &Results) -> Result<String, Error> {
    let begin = page.find(BEGIN).ok_or("the page has no marker `<!-- tables -->`")? + BEGIN.len();
    let end = page.find(END).ok_or("the page has no marker `<!-- end of tables -->`")?;
    let tables =
        format!("{}\n{}", slope_table(results), estimate_table(&estimate::compute(results)?));
    Ok(format!("{}{}{}", &page[..begin], tables, &page[end..]))
}

/// Returns the table of the series with their slopes.
fn slope_table(results: &Results) -> String {
    let mut text = format!(
        "Measured by `{}` on {} cores:\n\n\
         | series | what | against | points | slope ± standard error | at zero |\n\
         |---|---|---|---|---|---|\n",
        results.command, results.cores
    );
    for series in &results.series {
        text.push_str(&slope_row(series));
    }
    text
}

fn slope_row(series: &Series) -> String {
    let unit = &series.unit;
    let points: Vec<String> = series
        .points
        .iter()
        .map(|(x, y)| format!("{}: {}", format_number(*x), format_number(*y)))
        .collect();
    format!(
        "| `{}` | {}, {unit} | {} | {} | {} ± {} | {} |\n",
        series.name,
        series.what,
        series.x,
        points.join("; "),
        format_number(series.line.slope),
        format_number(series.line.slope_error),
        format_number(series.line.intercept),
    )
}

/// Returns the table of the estimates at the two-year size.
fn estimate_table(estimates: &[Estimate]) -> String {
    let mut text = String::from(
        "At the two-year size:\n\n\
         | role | what | value | limit | within | from |\n|---|---|---|---|---|---|\n",
    );
    for estimate in estimates {
        let limit = estimate.limit.map_or(String::new(), |l| format_quantity(l, estimate.unit));
        let within =
            estimate.limit.map_or("", |l| if estimate.value <= l { "yes" } else { "**no**" });
        text.push_str(&format!(
            "| {} | {} | {} | {limit} | {within} | {} |\n",
            estimate.role,
            estimate.what,
            format_quantity(estimate.value, estimate.unit),
            estimate.derivation,
        ));
    }
    text
}

/// Formats a value with its unit.
fn format_quantity(value: f64, unit: &str) -> String {
    match unit {
        "B" if value >= 1e6 => format!("{:.1} MB", value / 1e6),
        "B" | "B/s" if value >= 1e3 => format!("{:.1} k{unit}", value / 1e3),
        _ => format!("{} {unit}", format_number(value)),
    }
}

/// Formats a number with a precision that depends on its magnitude.
fn format_number(value: f64) -> String {
    match value.abs() {
        0.0 => "0".to_owned(),
        size if size >= 1_000.0 => format!("{value:.0}"),
        size if size >= 1.0 => format!("{value:.2}"),
        size if size >= 0.001 => format!("{value:.5}"),
        _ => format!("{value:.2e}"),
    }
}
