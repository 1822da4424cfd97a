//! Plots and a Markdown page with the results of a suite.

use std::path::Path;

use plotters::coord::Shift;
use plotters::prelude::*;

use crate::metrics::Line;
use crate::summary;
use crate::summary::Key;
use crate::summary::Summary;
use crate::summary::summaries;

/// Size of a plot in pixels.
const SIZE: (u32, u32) = (900, 540);

/// Load in the plot of the time to first token, in percent of the capacity.
const LOAD_PERCENT: u64 = 80;

/// Names of the bands, in the order of the plot.
const BANDS: [&str; 3] = ["up_to_8k", "8k_to_100k", "over_100k"];

/// Error when drawing a plot or writing a file.
type PlotError = Box<dyn std::error::Error>;

/// A line of a plot.
struct Series {
    name: String,
    points: Vec<(f64, f64)>,
}

/// Title and axis labels of a plot.
struct Axes<'a> {
    title: &'a str,
    x: &'a str,
    y: &'a str,
}

/// Writes the plots and the page `README.md` into `folder`.
///
/// # Errors
///
/// Returns an error when a file cannot be written or a plot cannot be drawn.
pub fn write(folder: &Path, lines: &[Line]) -> Result<(), PlotError> {
    std::fs::create_dir_all(folder)?;
    let all: Vec<(Key, Summary)> = summaries(lines).into_iter().collect();
    let mut page = String::from("# Routing experiment\n\n");
    let mut deployments: Vec<&str> = all.iter().map(|(k, _)| k.deployment.as_str()).collect();
    deployments.dedup();
    for deployment in deployments {
        let selected: Vec<&(Key, Summary)> =
            all.iter().filter(|(k, _)| k.deployment == deployment).collect();
        let first_token = format!("{deployment}-first-token.svg");
        draw_first_token(&folder.join(&first_token), deployment, &selected)?;
        let slowdown = format!("{deployment}-slowdown.svg");
        draw_slowdown(&folder.join(&slowdown), deployment, &selected)?;
        page += &format!("## {deployment}\n\n![]({first_token})\n\n![]({slowdown})\n\n");
    }
    page += "## Figures\n\n";
    let rows: Vec<Vec<String>> = all.iter().map(|(k, s)| summary::row(k, s)).collect();
    page += &summary::table(&summary::COLUMNS, &rows);
    std::fs::write(folder.join("README.md"), page)?;
    Ok(())
}

/// Plots the time to first token by band of prompt sizes.
fn draw_first_token(
    path: &Path,
    deployment: &str,
    all: &[&(Key, Summary)],
) -> Result<(), PlotError> {
    let point = |policy: &str, (position, band): (usize, &&str)| {
        let is_selected = |(k, _): &&&(Key, Summary)| {
            k.policy == policy && k.prompt_band == **band && k.load_percent == LOAD_PERCENT
        };
        all.iter().find(is_selected).map(|(_, s)| (position as f64, s.ttft_p95_s))
    };
    let series = policies(all).into_iter().map(|policy| Series {
        points: BANDS.iter().enumerate().filter_map(|b| point(&policy, b)).collect(),
        name: policy,
    });
    let title = format!("{deployment}: time to first token, 95 in 100, load 0.8");
    let axes = Axes {
        title: &title,
        x: "prompt: 0 = up to 8k, 1 = 8k to 100k, 2 = over 100k",
        y: "seconds",
    };
    draw(path, &axes, &series.collect::<Vec<_>>())
}

/// Plots the slowdown of short prompts by load.
fn draw_slowdown(path: &Path, deployment: &str, all: &[&(Key, Summary)]) -> Result<(), PlotError> {
    let points = |policy: &str| {
        let is_selected =
            |(k, _): &&&(Key, Summary)| k.policy == policy && k.prompt_band == BANDS[0];
        let point = |(k, s): &&(Key, Summary)| (k.load_percent as f64 / 100.0, s.slowdown_p95);
        all.iter().filter(is_selected).map(point).collect()
    };
    let series =
        policies(all).into_iter().map(|policy| Series { points: points(&policy), name: policy });
    let title = format!("{deployment}: slowdown of prompts up to 8k, 95 in 100");
    let axes = Axes { title: &title, x: "load, as a share of the capacity", y: "slowdown" };
    draw(path, &axes, &series.collect::<Vec<_>>())
}

fn policies(all: &[&(Key, Summary)]) -> Vec<String> {
    let mut policies: Vec<String> = all.iter().map(|(k, _)| k.policy.clone()).collect();
    policies.sort();
    policies.dedup();
    policies
}

fn draw(path: &Path, axes: &Axes<'_>, series: &[Series]) -> Result<(), PlotError> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    draw_chart(&root, axes, series)?;
    root.present()?;
    Ok(())
}

fn draw_chart(
    root: &DrawingArea<SVGBackend<'_>, Shift>,
    axes: &Axes<'_>,
    series: &[Series],
) -> Result<(), PlotError> {
    let points = || series.iter().flat_map(|s| &s.points);
    let x_end = points().map(|p| p.0).fold(0.1, f64::max);
    let x_start = points().map(|p| p.0).fold(x_end, f64::min);
    let y_end = points().map(|p| p.1).fold(0.1, f64::max);
    let y_start = points().map(|p| p.1).fold(y_end, f64::min).max(0.01);
    let mut chart = ChartBuilder::on(root)
        .caption(axes.title, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(x_start..x_end, (y_start * 0.9..y_end * 1.1).log_scale())?;
    chart.configure_mesh().x_desc(axes.x).y_desc(axes.y).draw()?;
    for (index, line) in series.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let drawn = LineSeries::new(line.points.clone(), colour.stroke_width(2)).point_size(3);
        chart
            .draw_series(drawn)?
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    Ok(())
}
