//! The tables of the capacity page.

use crate::Failure;
use crate::slopes::series::Results;
use crate::slopes::series::Series;
use crate::slopes::target;
use crate::slopes::target::Figure;

/// Line before the tables.
const BEGIN: &str = "<!-- tables -->\n";
/// Line after the tables.
const END: &str = "<!-- end of tables -->";

/// Returns the page with its tables made anew from the results.
///
/// # Errors
///
/// Fails when the page has no place for tables or a series is missing.
pub fn with_tables(page: &str, results: &Results) -> Result<String, Failure> {
    let begin = page.find(BEGIN).ok_or("the page has no beginning of tables")? + BEGIN.len();
    let end = page.find(END).ok_or("the page has no end of tables")?;
    let tables = format!("{}\n{}", slopes(results), sizes(&target::figures(results)?));
    Ok(format!("{}{}{}", &page[..begin], tables, &page[end..]))
}

/// Returns the table of the slopes.
fn slopes(results: &Results) -> String {
    let mut text = format!(
        "Measured by `{}` on {} cores:\n\n\
         | series | what | against | points | slope ± standard error | at zero |\n\
         |---|---|---|---|---|---|\n",
        results.command, results.cores
    );
    for series in &results.series {
        text.push_str(&row(series));
    }
    text
}

fn row(series: &Series) -> String {
    let unit = &series.unit;
    let points: Vec<String> =
        series.points.iter().map(|(x, y)| format!("{}: {}", number(*x), number(*y))).collect();
    format!(
        "| `{}` | {}, {unit} | {} | {} | {} ± {} | {} |\n",
        series.name,
        series.what,
        series.x,
        points.join("; "),
        number(series.line.slope),
        number(series.line.slope_error),
        number(series.line.intercept),
    )
}

/// Returns the table of the figures at the two-year size.
fn sizes(figures: &[Figure]) -> String {
    let mut text = String::from(
        "At the two-year size:\n\n\
         | role | what | value | limit | within | from |\n|---|---|---|---|---|---|\n",
    );
    for figure in figures {
        let limit = figure.limit.map_or(String::new(), |l| quantity(l, figure.unit));
        let within = figure.limit.map_or("", |l| if figure.value <= l { "yes" } else { "**no**" });
        text.push_str(&format!(
            "| {} | {} | {} | {limit} | {within} | {} |\n",
            figure.role,
            figure.what,
            quantity(figure.value, figure.unit),
            figure.from,
        ));
    }
    text
}

/// Writes a value with its unit.
fn quantity(value: f64, unit: &str) -> String {
    match unit {
        "B" if value >= 1e6 => format!("{:.1} MB", value / 1e6),
        "B" | "B/s" if value >= 1e3 => format!("{:.1} k{unit}", value / 1e3),
        _ => format!("{} {unit}", number(value)),
    }
}

/// Writes a number with three or four significant digits.
fn number(value: f64) -> String {
    match value.abs() {
        0.0 => "0".to_owned(),
        size if size >= 1_000.0 => format!("{value:.0}"),
        size if size >= 1.0 => format!("{value:.2}"),
        size if size >= 0.001 => format!("{value:.5}"),
        _ => format!("{value:.2e}"),
    }
}
