//! Error type of the load generator.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

/// An error that ends an experiment without results.
#[derive(Debug)]
pub enum LoadError {
    /// A result file could not be written.
    Write {
        /// The file.
        path: PathBuf,
        /// The underlying I/O error.
        source: std::io::Error,
    },
    /// A plot could not be drawn.
    Plot {
        /// The file.
        path: PathBuf,
        /// Error message of the plotting library.
        message: String,
    },
    /// A file could not be read.
    Read {
        /// The file.
        path: PathBuf,
        /// The underlying I/O error.
        source: std::io::Error,
    },
    /// A line of the customer file is malformed.
    Customer {
        /// The file.
        path: PathBuf,
        /// Line number, counted from 1.
        line: usize,
    },
    /// A target address is not a loopback address.
    NotLoopback {
        /// The rejected address.
        address: SocketAddr,
    },
    /// The Tokio runtime could not be started.
    Runtime {
        /// The underlying I/O error.
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
            Self::Runtime { source } => write!(f, "cannot start the Tokio runtime: {source}"),
        }
    }
}

impl std::error::Error for LoadError {}
