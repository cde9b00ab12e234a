//! How often the store is asked for changes of each table.

use std::{
    collections::HashMap,
    sync::Mutex,
    time::{Duration, Instant},
};

use tokio::time::sleep_until;

use crate::{executor::locked, fleet::watch::jittered};

/// How the tables of the store are read; one without an entry is read without pauses.
#[derive(Debug, Default)]
pub struct Throttle {
    tables: HashMap<String, Table>,
    /// Instants until which further changes of the tables gather.
    paused_until: Mutex<HashMap<String, Instant>>,
}

#[derive(Clone, Copy, Debug)]
struct Table {
    pause: Duration,
    poll_timeout: Duration,
}

impl Throttle {
    /// Sets how a table is read.
    ///
    /// Further changes gather in a `pause` after some that the store told. `poll_timeout`
    /// is the longest wait of one call while other nodes ask this one.
    pub fn set(&mut self, table: &str, pause: Duration, poll_timeout: Duration) {
        self.tables.insert(
            table.to_owned(),
            Table {
                pause,
                poll_timeout,
            },
        );
    }

    /// Returns the longest wait of one call while other nodes ask this one, if it is set.
    #[must_use]
    pub fn poll_timeout(&self, table: &str) -> Option<Duration> {
        self.tables.get(table).map(|table| table.poll_timeout)
    }

    /// Waits while changes of a table gather.
    pub async fn wait_for_pause(&self, table: &str) {
        let paused_until = locked(&self.paused_until).get(table).copied();
        if let Some(paused_until) = paused_until {
            sleep_until(paused_until.into()).await;
        }
    }

    /// Lets further changes of a table gather for a while.
    pub fn start_pause(&self, table: &str) {
        if let Some(Table { pause, .. }) = self.tables.get(table) {
            let paused_until = Instant::now() + jittered(*pause);
            locked(&self.paused_until).insert(table.to_owned(), paused_until);
        }
    }
}
