//! How often the store is asked for changes of each table.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use tokio::time::sleep_until;

use crate::fleet::follow::jittered;

/// How the tables of the store are read; one without an entry is read without pauses.
#[derive(Debug, Default)]
pub struct Pace {
    tables: HashMap<String, Table>,
    /// Instants until which further changes of the tables gather.
    gathered_at: Mutex<HashMap<String, Instant>>,
}

#[derive(Clone, Copy, Debug, Default)]
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

    /// Returns the longest wait of one call while other nodes ask this one.
    #[must_use]
    pub fn wait(&self, table: &str) -> Duration {
        self.table(table).wait
    }

    /// Waits while changes of a table gather.
    pub async fn gather(&self, table: &str) {
        let gathered_at = self.lock().get(table).copied();
        if let Some(gathered_at) = gathered_at {
            sleep_until(gathered_at.into()).await;
        }
    }

    /// Lets further changes of a table gather for a while.
    pub fn note_changes(&self, table: &str) {
        let gathered_at = Instant::now() + jittered(self.table(table).pause);
        self.lock().insert(table.to_owned(), gathered_at);
    }

    fn table(&self, table: &str) -> Table {
        self.tables.get(table).copied().unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Instant>> {
        self.gathered_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
