//! Limits how often the store is polled for changes of each table.

use std::{
    collections::HashMap,
    sync::Mutex,
    time::{Duration, Instant},
};

use tokio::time::sleep_until;

use crate::{executor::lock, fleet::watch::jittered};

/// Polling limits of the tables; a table without limits is polled without pauses.
#[derive(Debug, Default)]
pub struct Throttle {
    limits: HashMap<String, PollingLimits>,
    /// Instants until which the polling of each table pauses.
    paused_until: Mutex<HashMap<String, Instant>>,
}

#[derive(Clone, Copy, Debug)]
struct PollingLimits {
    pause: Duration,
    poll_timeout: Duration,
    /// Pause after a read that returned no row.
    settle_pause: Duration,
}

impl Throttle {
    /// Sets the limits of a table.
    ///
    /// Polling pauses for `pause` after the store has returned changes, so that the
    /// next poll returns several at once.
    /// `poll_timeout` limits one long poll while other nodes read through this one.
    pub fn set(&mut self, table: &str, pause: Duration, poll_timeout: Duration) {
        self.limits.insert(
            table.to_owned(),
            PollingLimits {
                pause,
                poll_timeout,
                settle_pause: Duration::ZERO,
            },
        );
    }

    /// Sets the pause after a read that returned no row, for a table that has limits.
    ///
    /// When all nodes start for the first time, each writes a row, and one poll after the pause
    /// returns them all.
    pub fn set_settle_pause(&mut self, table: &str, settle_pause: Duration) {
        if let Some(limits) = self.limits.get_mut(table) {
            limits.settle_pause = settle_pause;
        }
    }

    /// Returns the limit of one long poll while other nodes read through this one, if it is set.
    #[must_use]
    pub fn poll_timeout(&self, table: &str) -> Option<Duration> {
        self.limits.get(table).map(|limits| limits.poll_timeout)
    }

    /// Waits until the pause of a table has ended, and returns how long that took.
    pub async fn wait_for_pause(&self, table: &str) -> Duration {
        let started_at = Instant::now();
        let paused_until = lock(&self.paused_until).get(table).copied();
        if let Some(paused_until) = paused_until {
            sleep_until(paused_until.into()).await;
        }
        started_at.elapsed()
    }

    /// Starts the pause after a read that returned no row.
    pub fn start_settle_pause(&self, table: &str) {
        if let Some(PollingLimits { settle_pause, .. }) = self.limits.get(table) {
            let paused_until = Instant::now() + *settle_pause;
            lock(&self.paused_until).insert(table.to_owned(), paused_until);
        }
    }

    /// Starts the pause in the polling of a table, unless another table pauses.
    ///
    /// A poll that is in flight shows that the store is away, after which it may have been restored. If
    /// all tables paused, an outage within the pause would not be noticed.
    pub fn start_pause(&self, table: &str) {
        let Some(PollingLimits { pause, .. }) = self.limits.get(table) else {
            return;
        };
        let now = Instant::now();
        let mut paused_until = lock(&self.paused_until);
        let mut others = paused_until.iter().filter(|(other, _)| *other != table);
        if others.all(|(_, until)| *until <= now) {
            paused_until.insert(table.to_owned(), now + jittered(*pause));
        }
    }
}
