//! How often the store is asked for changes of each table.

use std::{
    collections::HashMap,
    sync::Mutex,
    time::{Duration, Instant},
};

use tokio::time::sleep_until;

use crate::{executor::lock, fleet::follow::jittered};

/// How the tables of the store are read; one without an entry is read without pauses.
#[derive(Debug, Default)]
pub struct Pace {
    tables: HashMap<String, Table>,
    /// Instants until which further changes of the tables gather.
    gathered_at: Mutex<HashMap<String, Instant>>,
}

#[derive(Clone, Copy, Debug)]
struct Table {
    pause: Duration,
    wait: Duration,
}

impl Pace {
    /// Sets how a table is read.
    ///
    /// Further changes gather in a `pause` after some that the store told. `wait`
    /// is the longest wait of one call while other nodes ask this one.
    pub fn set(&mut self, table: &str, pause: Duration, wait: Duration) {
        self.tables.insert(table.to_owned(), Table { pause, wait });
    }

    /// Returns the longest wait of one call while other nodes ask this one, if it is set.
    #[must_use]
    pub fn wait(&self, table: &str) -> Option<Duration> {
        self.tables.get(table).map(|table| table.wait)
    }

    /// Waits while changes of a table gather.
    pub async fn gather(&self, table: &str) {
        let gathered_at = lock(&self.gathered_at).get(table).copied();
        if let Some(gathered_at) = gathered_at {
            sleep_until(gathered_at.into()).await;
        }
    }

    /// Lets further changes of a table gather for a while.
    pub fn note_changes(&self, table: &str) {
        if let Some(Table { pause, .. }) = self.tables.get(table) {
            let gathered_at = Instant::now() + jittered(*pause);
            lock(&self.gathered_at).insert(table.to_owned(), gathered_at);
        }
    }
}
