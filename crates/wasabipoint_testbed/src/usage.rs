//! CPU time and memory of processes, as reported by procfs.

use std::time::Duration;

use procfs::ProcError;
use procfs::process::Process as SystemProcess;

/// Cumulative CPU time and resident memory of a process at one point in time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Usage {
    pub(crate) cpu: Duration,
    pub(crate) resident_mib: f64,
}

/// Reads the usage of a process, or of the current one if `pid` is `None`.
pub(crate) fn read_usage(pid: Option<i32>) -> Result<Usage, ProcError> {
    let process = match pid {
        Some(pid) => SystemProcess::new(pid)?,
        None => SystemProcess::myself()?,
    };
    let stat = process.stat()?;
    let ticks = (stat.utime + stat.stime) as f64;
    let resident_bytes = (stat.rss * procfs::page_size()) as f64;
    Ok(Usage {
        cpu: Duration::from_secs_f64(ticks / procfs::ticks_per_second() as f64),
        resident_mib: resident_bytes / (1_024.0 * 1_024.0),
    })
}
