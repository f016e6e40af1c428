//! Errors of the experiments.

use std::fmt;
use std::net::SocketAddr;
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
    /// A file could not be read.
    Read {
        /// The file.
        path: PathBuf,
        /// What the system reported.
        source: std::io::Error,
    },
    /// A line of the customers' file is malformed.
    Customer {
        /// The file.
        path: PathBuf,
        /// Number of the line.
        line: usize,
    },
    /// Traffic to other than loopback addresses is refused.
    NotLoopback {
        /// The address.
        address: SocketAddr,
    },
    /// The runtime did not start.
    Runtime {
        /// What the system reported.
        source: std::io::Error,
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
            Self::Read { path, source } => {
                write!(f, "cannot read {}: {source}", path.display())
            }
            Self::Customer { path, line } => write!(
                f,
                "malformed line {line} of {}: expected a name, a key and requests per second",
                path.display()
            ),
            Self::NotLoopback { address } => {
                write!(f, "cannot send to {address}: expected a loopback address")
            }
            Self::Runtime { source } => write!(f, "cannot start the runtime: {source}"),
        }
    }
}

impl std::error::Error for LoadError {}
