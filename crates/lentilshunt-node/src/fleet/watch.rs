//! Watches a table of the store.

use std::time::Duration;

use lentilshunt_core::dissemination::Revision;
use rand::RngExt;
use slog::{Logger, info, warn};
use tokio::time::sleep;

use super::{Change, Changes, Error, TableStore};
use crate::relay::Shared;

/// Time for a long poll to return a version that another node has in force.
///
/// It is long enough to fetch the version from the other node first, which
/// takes fewer bytes than reading the table again.
const VERSION_LAG_LIMIT: Duration = Duration::from_millis(1800);
/// Initial pause after a failed request to the store.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum pause after a failed request to the store.
const MAX_BACKOFF: Duration = Duration::from_millis(1500);

/// Table that [`watch_table`] watches, with its polling settings.
#[derive(Clone, Copy, Debug)]
pub struct Subscription<'a> {
    /// Name of the table.
    pub table: &'a str,
    /// Maximum wait of one long poll for changes.
    pub poll_timeout: Duration,
}

/// Content that was read from a table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TableUpdate {
    /// All rows; other rows no longer exist.
    Full(Vec<Change>),
    /// Rows that changed.
    Incremental(Vec<Change>),
    /// All rows after the store has come back from an older copy, which may lack the newest changes.
    Restored(Vec<Change>),
}

impl TableUpdate {
    /// Returns the changes in the update.
    #[must_use]
    pub fn changes(&self) -> &[Change] {
        let (Self::Full(changes) | Self::Incremental(changes) | Self::Restored(changes)) = self;
        changes
    }

    /// Returns the changes in the update.
    pub(super) fn changes_mut(&mut self) -> &mut Vec<Change> {
        let (Self::Full(changes) | Self::Incremental(changes) | Self::Restored(changes)) = self;
        changes
    }

    /// Returns the changes in the update.
    #[must_use]
    pub fn into_changes(self) -> Vec<Change> {
        let (Self::Full(changes) | Self::Incremental(changes) | Self::Restored(changes)) = self;
        changes
    }
}

/// Reads a table and then its changes, and passes them to `apply`, until the returned
/// future is dropped.
///
/// With `shared`, the table is read again when another node has had a newer
/// version for a while, as the store may have failed to report it to this node.
pub async fn watch_table(
    store: &dyn TableStore,
    subscription: Subscription<'_>,
    shared: Option<&Shared>,
    log: &Logger,
    mut apply: impl FnMut(TableUpdate),
) {
    let table = subscription.table;
    let mut backoff = INITIAL_BACKOFF;
    let mut is_available = true;
    let mut revision = None;
    loop {
        let snapshot = match store.read(table).await {
            Ok(snapshot) => snapshot,
            Err(error) => {
                log_availability(log, table, &mut is_available, Some(&error));
                sleep(jittered(backoff)).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
                continue;
            }
        };
        log_availability(log, table, &mut is_available, None);
        backoff = INITIAL_BACKOFF;
        let all = snapshot.rows.into_iter().map(|row| Change {
            key: row.key,
            value: Some(row.value),
        });
        let mut position = Revision::from(snapshot.revision);
        apply(match revision {
            Some(earlier) if position.is_restored_since(earlier) => {
                TableUpdate::Restored(all.collect())
            }
            _ => TableUpdate::Full(all.collect()),
        });
        let missed_version = missed_version(shared);
        tokio::pin!(missed_version);
        loop {
            // The first response after a failure shows whether the store has been restored
            // meanwhile. A long poll would wait in the new history from a position of the old one.
            let poll_timeout = if is_available {
                subscription.poll_timeout
            } else {
                Duration::ZERO
            };
            let polled = tokio::select! {
                polled = store.wait_for_changes(table, position.into(), poll_timeout) => polled,
                () = &mut missed_version => break,
            };
            match polled {
                Ok(Changes { changes, revision }) => {
                    log_availability(log, table, &mut is_available, None);
                    backoff = INITIAL_BACKOFF;
                    let earlier = std::mem::replace(&mut position, revision.into());
                    if position.is_restored_since(earlier) {
                        apply(TableUpdate::Restored(changes));
                    } else if !changes.is_empty() {
                        apply(TableUpdate::Incremental(changes));
                    }
                }
                Err(error @ (Error::Compacted { .. } | Error::Restored { .. })) => {
                    info!(log, "changes cannot be told, reading the table again";
                        "table" => table, "reason" => %error);
                    break;
                }
                Err(error) => {
                    log_availability(log, table, &mut is_available, Some(&error));
                    sleep(jittered(backoff)).await;
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                }
            }
        }
        revision = Some(position);
        // Spreads the reads, as many nodes may read the table again at the same time.
        sleep(jittered(INITIAL_BACKOFF)).await;
    }
}

/// Waits until a newer version of another node has been missing here for [`VERSION_LAG_LIMIT`].
async fn missed_version(shared: Option<&Shared>) {
    let Some(shared) = shared else {
        return std::future::pending().await;
    };
    let mut newest = shared.newest_version.subscribe();
    loop {
        let current = shared.version();
        if newest
            .wait_for(|newest| newest.version > current)
            .await
            .is_err()
        {
            return std::future::pending().await;
        }
        sleep(VERSION_LAG_LIMIT).await;
        if shared.version() == current {
            return;
        }
    }
}

/// Logs and counts when the store becomes unavailable, and logs when it is available again.
fn log_availability(log: &Logger, table: &str, is_available: &mut bool, error: Option<&Error>) {
    match error {
        Some(error) if *is_available => {
            warn!(log, "store unavailable"; "table" => table, "error" => %error);
            metrics::counter!("lentilshunt_store_lost_total").increment(1);
        }
        None if !*is_available => info!(log, "store available again"; "table" => table),
        _ => {}
    }
    *is_available = error.is_none();
}

/// Returns a random duration between 0.5 and 1.5 times a pause.
pub(super) fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.5))
}
