//! Appends history events to a file.

use std::{
    fs::{File, OpenOptions},
    io::{self, Write},
    sync::Arc,
};

use lentilshunt_schema::history::Event;

/// Appends events to a file, one JSON object per line, each in a single write.
///
/// A writer without a file discards its events.
#[derive(Clone, Debug)]
pub struct Writer {
    process: Arc<str>,
    incarnation: u64,
    file: Option<Arc<File>>,
}

impl Writer {
    /// Opens a writer; with an empty `file` it discards its events.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be opened.
    pub fn open(file: &str, process: &str, incarnation: u64) -> io::Result<Self> {
        let opened = if file.is_empty() {
            None
        } else {
            let opened = OpenOptions::new().create(true).append(true).open(file)?;
            Some(Arc::new(opened))
        };
        Ok(Self {
            process: process.into(),
            incarnation,
            file: opened,
        })
    }

    /// Returns whether events are written to a file.
    #[must_use]
    pub fn is_enabled(&self) -> bool {
        self.file.is_some()
    }

    /// Appends an event with the process and incarnation of this writer.
    ///
    /// An event that cannot be written is dropped.
    pub fn write(&self, mut event: Event) {
        let Some(file) = &self.file else {
            return;
        };
        self.process.as_ref().clone_into(&mut event.process);
        event.incarnation = Some(self.incarnation);
        if let Ok(mut line) = serde_json::to_vec(&event) {
            line.push(b'\n');
            drop(file.as_ref().write_all(&line));
        }
    }
}
