//! Output as aligned tables or JSON.

use serde::Serialize;
use serde_json::Value;

/// Output format of results.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Aligned columns.
    Table,
    /// One JSON document.
    Json,
}

/// Table with a heading row.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    headings: Vec<&'static str>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows.
    pub fn new(headings: impl IntoIterator<Item = &'static str>) -> Self {
        Self {
            headings: headings.into_iter().collect(),
            rows: Vec::new(),
        }
    }

    /// Adds a row, which may have fewer cells than the table has headings.
    pub fn add_row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    /// Prints the table to standard output.
    pub fn print(&self, format: OutputFormat) {
        match format {
            OutputFormat::Table => print!("{}", self.to_text()),
            OutputFormat::Json => print_json(&self.to_json()),
        }
    }

    /// Returns the table as text with aligned columns.
    pub fn to_text(&self) -> String {
        let mut widths: Vec<usize> = self.headings.iter().map(|heading| heading.len()).collect();
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.len());
            }
        }
        let headings = self.headings.iter().map(|heading| heading.to_uppercase());
        let mut text = format_row(headings, &widths);
        for row in &self.rows {
            text.push_str(&format_row(row.iter().cloned(), &widths));
        }
        text
    }

    fn to_json(&self) -> Value {
        let objects = self.rows.iter().map(|row| {
            let fields = self.headings.iter().zip(row);
            let fields = fields.map(|(heading, cell)| (heading.to_string(), cell.clone().into()));
            Value::Object(fields.collect())
        });
        objects.collect()
    }
}

/// Prints a value to standard output as indented JSON.
pub fn print_json<T: Serialize>(value: &T) {
    // Serialization cannot fail: all maps in printed types have string keys.
    println!(
        "{}",
        serde_json::to_string_pretty(value).unwrap_or_default()
    );
}

fn format_row(cells: impl Iterator<Item = String>, widths: &[usize]) -> String {
    let padded: Vec<String> = cells
        .zip(widths)
        .map(|(cell, &width)| format!("{cell:<width$}"))
        .collect();
    format!("{}\n", padded.join("  ").trim_end())
}
