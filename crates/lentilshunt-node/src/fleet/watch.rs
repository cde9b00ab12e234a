//! Watches a table of the store.

use std::time::Duration;

use rand::RngExt;
use slog::{Logger, info, warn};
use tokio::time::sleep;

use super::{Change, Error, TableStore};
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
#[derive(Debug)]
pub enum TableUpdate {
    /// All rows; other rows no longer exist.
    Full(Vec<Change>),
    /// Rows that changed.
    Incremental(Vec<Change>),
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
        apply(TableUpdate::Full(all.collect()));
        let mut revision = snapshot.revision;
        let missed_version = missed_version(shared);
        tokio::pin!(missed_version);
        loop {
            let polled = tokio::select! {
                polled = store.wait_for_changes(
                    table,
                    revision,
                    subscription.poll_timeout,
                ) => polled,
                () = &mut missed_version => break,
            };
            match polled {
                Ok(changes) => {
                    log_availability(log, table, &mut is_available, None);
                    backoff = INITIAL_BACKOFF;
                    revision = changes.revision;
                    if !changes.changes.is_empty() {
                        apply(TableUpdate::Incremental(changes.changes));
                    }
                }
                Err(Error::Compacted { revision }) => {
                    info!(log, "change history of the store is compacted, reading the table again";
                        "table" => table, "revision" => revision);
                    break;
                }
                Err(error) => {
                    log_availability(log, table, &mut is_available, Some(&error));
                    sleep(jittered(backoff)).await;
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                }
            }
        }
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
