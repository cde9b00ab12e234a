//! Follows a table of the store.

use std::time::Duration;

use rand::RngExt;
use slog::{Logger, info, warn};
use tokio::time::sleep;

use super::{Change, Error, Rows};
use crate::relay::Shared;

/// Time in which a waiting call tells a version that another node has in force.
///
/// Before that, the other node is asked for it, which takes fewer bytes.
const TELL_TIME: Duration = Duration::from_millis(1800);
/// First pause after the store did not answer.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after the store did not answer.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// What [`follow`] follows, and how long it waits.
#[derive(Clone, Copy, Debug)]
pub struct Subject<'a> {
    /// Name of the table.
    pub table: &'a str,
    /// Longest wait of one call for changes.
    pub wait: Duration,
}

/// What was read of a table.
#[derive(Debug)]
pub enum News {
    /// All rows; others no longer exist.
    All(Vec<Change>),
    /// Rows that changed.
    Some(Vec<Change>),
}

/// Reads a table and then its changes, and passes them on until the runtime ends.
///
/// With `versions`, the table is read again when another node has had a newer
/// version for a while, as this node may have been left out.
pub async fn follow(
    rows: &dyn Rows,
    subject: Subject<'_>,
    versions: Option<&Shared>,
    log: &Logger,
    mut take: impl FnMut(News),
) {
    let table = subject.table;
    let mut pause = FIRST_PAUSE;
    let mut available = true;
    loop {
        let page = match rows.read(table).await {
            Ok(page) => page,
            Err(error) => {
                note(log, table, &mut available, Some(&error));
                sleep(jittered(pause)).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
                continue;
            }
        };
        note(log, table, &mut available, None);
        pause = FIRST_PAUSE;
        let all = page.rows.into_iter().map(|row| Change {
            key: row.key,
            value: Some(row.value),
        });
        take(News::All(all.collect()));
        let mut revision = page.revision;
        let overtaken = overtaken(versions);
        tokio::pin!(overtaken);
        loop {
            let waited = tokio::select! {
                waited = rows.wait(table, revision, subject.wait) => waited,
                () = &mut overtaken => break,
            };
            match waited {
                Ok(changes) => {
                    note(log, table, &mut available, None);
                    pause = FIRST_PAUSE;
                    revision = changes.revision;
                    if !changes.changes.is_empty() {
                        take(News::Some(changes.changes));
                    }
                }
                Err(Error::Forgotten { revision }) => {
                    info!(log, "history of the store is gone, reading the table again";
                        "table" => table, "revision" => revision);
                    break;
                }
                Err(error) => {
                    note(log, table, &mut available, Some(&error));
                    sleep(jittered(pause)).await;
                    pause = (pause * 2).min(LONGEST_PAUSE);
                }
            }
        }
        // Many nodes may have been overtaken at the same time.
        sleep(jittered(FIRST_PAUSE)).await;
    }
}

/// Waits until another node has a version that this one is not told of.
async fn overtaken(versions: Option<&Shared>) {
    let Some(shared) = versions else {
        return std::future::pending().await;
    };
    let mut newest = shared.newest_version.subscribe();
    loop {
        let held = shared.version();
        if newest
            .wait_for(|newest| newest.version > held)
            .await
            .is_err()
        {
            return std::future::pending().await;
        }
        sleep(TELL_TIME).await;
        if shared.version() == held {
            return;
        }
    }
}

/// Logs that the store was lost or is back.
fn note(log: &Logger, table: &str, available: &mut bool, error: Option<&Error>) {
    match error {
        Some(error) if *available => {
            warn!(log, "store lost"; "table" => table, "error" => %error);
            metrics::counter!("lentilshunt_store_lost_total").increment(1);
        }
        None if !*available => info!(log, "store regained"; "table" => table),
        _ => {}
    }
    *available = error.is_none();
}

/// Returns between half and one and a half times a pause.
pub(super) fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.5))
}
