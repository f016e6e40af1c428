//! Child processes, which are signaled by process id.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

/// Time within which a program must print its `listening` line. Debug builds on a busy machine need
/// several seconds, and a program that never listens fails the run in any case.
const START_TIMEOUT: Duration = Duration::from_mins(1);

/// An error while starting a process.
#[derive(Debug)]
pub enum StartError {
    /// An I/O operation failed.
    Io(io::Error),
    /// The program exited or did not listen in time. Holds the path of its log.
    NotListening(PathBuf),
}

impl From<io::Error> for StartError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

impl std::fmt::Display for StartError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Io(error) => write!(f, "cannot start the process: {error}"),
            Self::NotListening(log) => write!(
                f,
                "the process did not start listening, see {}",
                log.display()
            ),
        }
    }
}

impl std::error::Error for StartError {}

/// A child process. Dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    pid: Pid,
    listen_line: String,
}

impl Process {
    /// Starts `program` and waits for its `listening` line. Its standard error is appended to
    /// `folder/NAME.log`.
    pub async fn start(
        folder: &Path,
        name: &str,
        program: &str,
        arguments: &[String],
    ) -> Result<Self, StartError> {
        let log_path = folder.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(&log_path)?;
        let mut child = Command::new(program_path(program)?)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::from(log))
            .kill_on_drop(true)
            .spawn()?;
        let pid = child
            .id()
            .and_then(|id| Pid::from_raw(id.cast_signed()))
            .ok_or_else(|| io::Error::other("the process has already exited"))?;
        let stdout = child
            .stdout
            .take()
            .ok_or_else(|| io::Error::other("the process has no standard output"))?;
        let mut lines = BufReader::new(stdout).lines();
        let first_line = tokio::time::timeout(START_TIMEOUT, lines.next_line()).await;
        let Ok(Ok(Some(line))) = first_line else {
            return Err(StartError::NotListening(log_path));
        };
        let Some(listen_line) = line.strip_prefix("listening ") else {
            return Err(StartError::NotListening(log_path));
        };
        Ok(Self {
            name: name.to_owned(),
            child,
            pid,
            listen_line: listen_line.to_owned(),
        })
    }

    /// Returns the name of the process.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id.
    pub fn id(&self) -> i32 {
        self.pid.as_raw_nonzero().get()
    }

    /// Returns the HTTP address from the `listening` line: the `http=` field, or else the whole
    /// line.
    pub fn http_address(&self) -> &str {
        self.listen_line
            .split_whitespace()
            .find_map(|field| field.strip_prefix("http="))
            .unwrap_or(self.listen_line.trim())
    }

    /// Sends SIGKILL and waits for the process to exit.
    pub async fn kill(&mut self) -> io::Result<()> {
        self.child.kill().await
    }

    /// Sends SIGTERM, without waiting for the process to exit.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Sends SIGSTOP, which suspends the process until [`Process::resume`].
    pub fn pause(&self) -> io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Sends SIGCONT, which resumes a suspended process.
    pub fn resume(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Waits for the process to exit and tells whether its exit code was zero.
    pub async fn wait(&mut self) -> io::Result<bool> {
        Ok(self.child.wait().await?.success())
    }

    /// Tells whether the process has not exited.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        kill_process(self.pid, signal).map_err(io::Error::from)
    }
}

/// Finds a program of the workspace in the folder of the running executable or the one above it.
/// Test executables are in a subfolder of the one that holds the programs.
pub fn program_path(program: &str) -> io::Result<PathBuf> {
    let current = std::env::current_exe()?;
    current
        .ancestors()
        .skip(1)
        .take(2)
        .map(|folder| folder.join(program))
        .find(|path| path.is_file())
        .ok_or_else(|| {
            io::Error::new(
                io::ErrorKind::NotFound,
                format!("{program} is not built, run `cargo build --workspace`"),
            )
        })
}
