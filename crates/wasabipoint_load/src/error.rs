//! Errors of the experiments.

use std::fmt;
use std::path::PathBuf;

/// Why an experiment ended without results.
#[derive(Debug)]
pub enum LoadError {
    /// A result file could not be written.
    Write {
        /// The file.
        path: PathBuf,
        /// What the system reported.
        source: std::io::Error,
    },
    /// A plot could not be drawn.
    Plot {
        /// The file.
        path: PathBuf,
        /// What the plotting library reported.
        message: String,
    },
}

impl fmt::Display for LoadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Write { path, source } => {
                write!(f, "cannot write {}: {source}", path.display())
            }
            Self::Plot { path, message } => {
                write!(f, "cannot plot {}: {message}", path.display())
            }
        }
    }
}

impl std::error::Error for LoadError {}
