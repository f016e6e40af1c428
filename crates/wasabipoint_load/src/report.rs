//! Renders results as Markdown tables and SVG plots.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};

use plotters::prelude::*;

use crate::error::LoadError;

/// Width and height of a plot.
const PLOT_SIZE_PX: (u32, u32) = (900, 480);

/// A table of a report.
#[derive(Debug, Clone)]
pub struct Table {
    /// Heading above the table.
    pub title: String,
    /// Column headers.
    pub columns: Vec<String>,
    /// Rows, each with one cell per column.
    pub rows: Vec<Vec<String>>,
}

/// A line plot with one line per series.
#[derive(Debug, Clone)]
pub(crate) struct Plot {
    pub(crate) file: String,
    pub(crate) title: String,
    pub(crate) x_label: String,
    pub(crate) y_label: String,
    pub(crate) series: Vec<(String, Vec<(f64, f64)>)>,
}

/// The results of one experiment.
#[derive(Debug, Clone)]
pub struct Report {
    name: String,
    paragraphs: Vec<String>,
    tables: Vec<Table>,
    plots: Vec<Plot>,
}

impl Report {
    /// Creates an empty report. The name is that of its Markdown file, without the extension.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            paragraphs: Vec::new(),
            tables: Vec::new(),
            plots: Vec::new(),
        }
    }

    /// Adds a paragraph above the tables.
    #[must_use]
    pub fn with_paragraph(mut self, text: impl Into<String>) -> Self {
        self.paragraphs.push(text.into());
        self
    }

    /// Adds a table.
    #[must_use]
    pub fn with_table(mut self, table: Table) -> Self {
        self.tables.push(table);
        self
    }

    pub(crate) fn with_plot(mut self, plot: Plot) -> Self {
        self.plots.push(plot);
        self
    }

    /// Renders the report as Markdown, with links to the plots.
    pub fn to_markdown(&self) -> String {
        let mut text = format!("# {}\n", self.name);
        for paragraph in &self.paragraphs {
            let _ = write!(text, "\n{paragraph}\n");
        }
        for table in &self.tables {
            let _ = write!(text, "\n## {}\n\n", table.title);
            let _ = writeln!(text, "| {} |", table.columns.join(" | "));
            let _ = writeln!(text, "|{}", "---|".repeat(table.columns.len()));
            for row in &table.rows {
                let _ = writeln!(text, "| {} |", row.join(" | "));
            }
        }
        for plot in &self.plots {
            let _ = write!(text, "\n![{}]({})\n", plot.title, plot.file);
        }
        text
    }

    /// Writes the Markdown file and the plots into a folder, which is created if missing.
    pub fn write(&self, folder: &Path) -> Result<(), LoadError> {
        let write_error = |path: PathBuf| |source| LoadError::Write { path, source };
        std::fs::create_dir_all(folder).map_err(write_error(folder.to_owned()))?;
        let path = folder.join(format!("{}.md", self.name));
        std::fs::write(&path, self.to_markdown()).map_err(write_error(path))?;
        for plot in &self.plots {
            let path = folder.join(&plot.file);
            plot.draw(&path).map_err(|error| LoadError::Plot {
                path,
                message: error.to_string(),
            })?;
        }
        Ok(())
    }
}

impl Plot {
    fn draw(&self, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
        let points = || self.series.iter().flat_map(|(_, points)| points);
        let x_max = points().map(|p| p.0).fold(1.0, f64::max);
        let y_max = points().map(|p| p.1).fold(1.0, f64::max) * 1.05;
        let root = SVGBackend::new(path, PLOT_SIZE_PX).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .caption(&self.title, ("sans-serif", 20))
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..x_max, 0.0..y_max)?;
        chart
            .configure_mesh()
            .x_desc(&self.x_label)
            .y_desc(&self.y_label)
            .draw()?;
        for (index, (name, points)) in self.series.iter().enumerate() {
            let color = Palette99::pick(index).to_rgba();
            chart
                .draw_series(LineSeries::new(
                    points.iter().copied(),
                    color.stroke_width(2),
                ))?
                .label(name)
                .legend(move |(x, y)| {
                    PathElement::new(vec![(x, y), (x + 16, y)], color.stroke_width(2))
                });
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?;
        root.present()?;
        Ok(())
    }
}
