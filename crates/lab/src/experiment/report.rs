//! Tables, JSON and plots of an experiment.

use std::{fs, path::Path};

use error_stack::{Report, ResultExt};
use plotters::prelude::*;

use crate::{
    LabError,
    experiment::{
        Measures, Policy,
        command::{Results, RunFigures, Variation},
    },
};

/// Size of a plot, pixels.
const PLOT_SIZE: (u32, u32) = (900, 420);

/// A column of the table.
struct Column {
    name: &'static str,
    value_of: fn(&RunFigures) -> f64,
}

const COLUMNS: [Column; 10] = [
    Column {
        name: "hit rate",
        value_of: |figures| figures.measures.hit_rate,
    },
    Column {
        name: "waste",
        value_of: |figures| figures.measures.waste,
    },
    Column {
        name: "p50 ms",
        value_of: |figures| figures.measures.interactive_p50,
    },
    Column {
        name: "p95 ms",
        value_of: |figures| figures.measures.interactive_p95,
    },
    Column {
        name: "p99 ms",
        value_of: |figures| figures.measures.interactive_p99,
    },
    Column {
        name: "before",
        value_of: |figures| figures.before_p99,
    },
    Column {
        name: "after",
        value_of: |figures| figures.after_p99,
    },
    Column {
        name: "goodput",
        value_of: |figures| figures.measures.goodput,
    },
    Column {
        name: "refused",
        value_of: |figures| figures.measures.refused,
    },
    Column {
        name: "fairness",
        value_of: |figures| figures.measures.fairness,
    },
];

/// Returns the median of a value over the runs; 0 if there are none.
pub fn median(runs: &[RunFigures], value_of: impl Fn(&RunFigures) -> f64) -> f64 {
    let mut values: Vec<f64> = runs.iter().map(value_of).collect();
    values.sort_by(f64::total_cmp);
    let middle = values.len() / 2;
    match values.len() {
        0 => 0.0,
        length if length.is_multiple_of(2) => (values[middle - 1] + values[middle]) / 2.0,
        _ => values[middle],
    }
}

/// Prints medians over the seeds. The columns "before" and "after" are the 99th percentile of the interactive
/// time to first token before the disturbance and from 10 s after it.
pub fn print(results: &Results) {
    let mut last = None;
    for ((kind, variation, policy), runs) in results {
        if last != Some((kind, variation)) {
            last = Some((kind, variation));
            println!(
                "\n{kind}, {} ({} seeds, medians)",
                variation.name(),
                runs.len()
            );
            print!("{:<16}", "policy");
            for column in &COLUMNS {
                print!("{:>10}", column.name);
            }
            println!("{:>10}", "attempts");
        }
        print!("{:<16}", policy.name());
        for column in &COLUMNS {
            print!("{:>10.3}", median(runs, column.value_of));
        }
        println!(
            "{:>10.3}",
            median(runs, |figures| figures.measures.amplification)
        );
    }
}

/// Writes all runs as JSON, and plots of hit rate, waste and tail latency as SVG.
pub fn write(results: &Results, folder: &Path) -> Result<(), Report<LabError>> {
    fs::create_dir_all(folder).change_context_lazy(|| LabError::File {
        path: folder.to_owned(),
    })?;
    let rows: Vec<_> = results
        .iter()
        .map(|((kind, variation, policy), runs)| {
            serde_json::json!({
                "fleet": kind,
                "variation": variation.name(),
                "policy": policy.name(),
                "runs": runs,
            })
        })
        .collect();
    let path = folder.join("experiment.json");
    let text = serde_json::to_vec_pretty(&rows).unwrap_or_default();
    fs::write(&path, text).change_context_lazy(|| LabError::File { path: path.clone() })?;
    plot(
        results,
        &folder.join("hit-rate.svg"),
        "prefix hit rate",
        |measures| measures.hit_rate,
    )?;
    plot(
        results,
        &folder.join("waste.svg"),
        "wasted recomputation",
        |measures| measures.waste,
    )?;
    plot(
        results,
        &folder.join("first-token-p99.svg"),
        "interactive time to first token, p99, ms",
        |measures| measures.interactive_p99,
    )
}

/// Plots the variation [`Variation::Ordinary`] as bars, grouped by fleet.
fn plot(
    results: &Results,
    path: &Path,
    caption: &str,
    value_of: fn(&Measures) -> f64,
) -> Result<(), Report<LabError>> {
    let failed = || LabError::Plot {
        path: path.to_owned(),
    };
    let bars: Vec<(String, f64)> = results
        .iter()
        .filter(|((_, variation, _), _)| *variation == Variation::Ordinary)
        .map(|((kind, _, policy), runs)| {
            let label = format!("{kind} {}", policy.name());
            (label, median(runs, |figures| value_of(&figures.measures)))
        })
        .collect();
    if bars.is_empty() {
        return Ok(());
    }
    let highest = bars.iter().map(|(_, value)| *value).fold(0.0, f64::max) * 1.1;
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE).change_context_lazy(failed)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(60)
        .y_label_area_size(60)
        .build_cartesian_2d(0..bars.len(), 0.0..highest.max(1e-6))
        .change_context_lazy(failed)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(bars.len())
        .x_label_formatter(&|position| {
            bars.get(*position)
                .map_or(String::new(), |(label, _)| label.clone())
        })
        .x_label_style(("sans-serif", 9))
        .draw()
        .change_context_lazy(failed)?;
    let rectangles = bars.iter().enumerate().map(|(position, (label, value))| {
        let color = if label.ends_with(Policy::Railtack.name()) {
            BLUE.filled()
        } else {
            RGBColor(150, 150, 150).filled()
        };
        Rectangle::new([(position, 0.0), (position + 1, *value)], color)
    });
    chart.draw_series(rectangles).change_context_lazy(failed)?;
    area.present().change_context_lazy(failed)
}
