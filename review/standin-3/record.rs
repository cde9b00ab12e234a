//! What was sent, answered and run, with the time of each line.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::Mutex,
    time::{Duration, Instant},
};

/// The record of one run of a case.
pub struct Record {
    started_at: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        let file = File::create(path).expect("a file for the record");
        Self { started_at: Instant::now(), file: Mutex::new(file) }
    }

    /// Returns the time since the start of the case.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let now = self.now().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{now:8.3} {text}").expect("a line of the record");
    }
}
