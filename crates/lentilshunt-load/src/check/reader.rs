//! Reads the history file of a run.

use std::{
    fs::File,
    io::{self, BufRead, BufReader},
    path::Path,
};

use lentilshunt_schema::history::Event;

/// Reads the events of a file, ordered by their instants.
///
/// Lines that cannot be decoded are skipped: a killed process may leave an
/// incomplete last line.
///
/// # Errors
///
/// Returns the error of the file system.
pub fn read_history(file: &Path) -> io::Result<Vec<Event>> {
    let mut events = Vec::new();
    for line in BufReader::new(File::open(file)?).lines() {
        if let Ok(event) = serde_json::from_str::<Event>(&line?) {
            events.push(event);
        }
    }
    events.sort_by_key(|event| event.at_us);
    Ok(events)
}
