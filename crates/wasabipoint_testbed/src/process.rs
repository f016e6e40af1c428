//! Child processes that are ended by id.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

/// Time in which a program must print its `listening` line. Debug builds on a busy machine need
/// seconds; a program that never listens fails the run either way.
const START_TIMEOUT: Duration = Duration::from_mins(1);

/// Why a process could not be started.
#[derive(Debug)]
pub enum StartError {
    /// The system refused.
    Io(io::Error),
    /// The program ended or did not listen in time; its log is named.
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
            Self::Io(error) => write!(f, "cannot start: {error}"),
            Self::NotListening(log) => write!(f, "did not listen, see {}", log.display()),
        }
    }
}

impl std::error::Error for StartError {}

/// A running program. Dropping it kills it.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    pid: Pid,
    listening: String,
}

impl Process {
    /// Starts `program` and waits for its `listening` line. Its log goes to `folder/NAME.log`.
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
            .ok_or_else(|| io::Error::other("the process has no id"))?;
        let stdout = child
            .stdout
            .take()
            .ok_or_else(|| io::Error::other("no standard output"))?;
        let mut lines = BufReader::new(stdout).lines();
        let first = tokio::time::timeout(START_TIMEOUT, lines.next_line()).await;
        let Ok(Ok(Some(line))) = first else {
            return Err(StartError::NotListening(log_path));
        };
        let Some(listening) = line.strip_prefix("listening ") else {
            return Err(StartError::NotListening(log_path));
        };
        Ok(Self {
            name: name.to_owned(),
            child,
            pid,
            listening: listening.to_owned(),
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

    /// Returns the address that the program printed, with `http=` or bare.
    pub fn http_address(&self) -> &str {
        self.listening
            .split_whitespace()
            .find_map(|part| part.strip_prefix("http="))
            .unwrap_or(self.listening.trim())
    }

    /// Sends SIGKILL and waits for the end.
    pub async fn kill(&mut self) -> io::Result<()> {
        self.child.kill().await
    }

    /// Sends SIGTERM; the process ends by itself.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Stops the process until `resume`.
    pub fn pause(&self) -> io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Lets a paused process go on.
    pub fn resume(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Waits for the end and tells whether the exit code was zero.
    pub async fn wait(&mut self) -> io::Result<bool> {
        Ok(self.child.wait().await?.success())
    }

    /// Tells whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        kill_process(self.pid, signal).map_err(io::Error::from)
    }
}

/// Finds a program of the workspace beside the running one; tests run from the folder below.
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
