//! The record of a case: one line an event, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines to `record.txt` and to standard output.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &str) -> std::io::Result<Self> {
        let file = File::create(Path::new(folder).join("record.txt"))?;
        Ok(Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        })
    }

    /// Returns the milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.now_ms());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
        print!("{line}");
    }

    /// Writes a line to the file only.
    pub fn detail(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.now_ms());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}
