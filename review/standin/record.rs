//! What was sent, answered and run, in the order of time.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Self { started: Instant::now(), file: Mutex::new(file) }
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let now = self.now_ms();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>4}.{:03} {text}", now / 1_000, now % 1_000);
    }
}
