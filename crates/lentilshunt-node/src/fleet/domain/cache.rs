//! Cached content of the tables of the store.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use tokio::sync::watch;

use super::{FeedResponse, RowPatch, ValueHistory};
use crate::{
    executor::lock,
    fleet::{Changes, TableSnapshot},
    relay::clock::Moment,
};

/// Rows of the tables that a node watches, with their previous values.
#[derive(Debug, Default)]
pub struct Cache {
    tables: Mutex<HashMap<String, Table>>,
    /// Number of updates so far.
    update_count: watch::Sender<u64>,
}

#[derive(Debug)]
struct Table {
    /// Revision at which all rows were read.
    full_revision: u64,
    revision: u64,
    /// Latest time at which the content is known to have been current; a suspension of the instance
    /// counts to its age.
    current_at: Moment,
    rows: BTreeMap<String, Entry>,
}

#[derive(Debug, Default)]
struct Entry {
    /// Revision of the last update of the row, including its removal.
    revision: u64,
    is_removed: bool,
    values: ValueHistory,
}

impl Cache {
    /// Replaces a table with all its rows, which the store confirmed as current `age` ago.
    pub fn replace(&self, table: &str, snapshot: &TableSnapshot, age: Duration) {
        let mut tables = self.lock();
        let mut previous = tables.remove(table).map(|table| table.rows);
        let rows = snapshot.rows.iter().map(|row| {
            let entry = previous.as_mut().and_then(|rows| rows.remove(&row.key));
            let mut entry = Entry {
                revision: snapshot.revision,
                values: entry.map(|entry| entry.values).unwrap_or_default(),
                is_removed: false,
            };
            entry.values.push(row.value.clone());
            (row.key.clone(), entry)
        });
        let new = Table {
            full_revision: snapshot.revision,
            revision: snapshot.revision,
            current_at: Moment::before_now(age),
            rows: rows.collect(),
        };
        tables.insert(table.to_owned(), new);
        drop(tables);
        self.update_count
            .send_modify(|update_count| *update_count += 1);
    }

    /// Applies changes that the store confirmed as current `age` ago.
    pub fn apply(&self, table: &str, changes: &Changes, age: Duration) {
        let mut tables = self.lock();
        let Some(cached) = tables.get_mut(table) else {
            return;
        };
        cached.revision = cached.revision.max(changes.revision);
        cached.current_at = cached.current_at.latest(Moment::before_now(age));
        for change in &changes.changes {
            let entry = cached.rows.entry(change.key.clone()).or_default();
            entry.is_removed = change.value.is_none();
            if let Some(value) = &change.value {
                entry.values.push(value.clone());
            }
            entry.revision = changes.revision;
        }
        drop(tables);
        self.update_count
            .send_modify(|update_count| *update_count += 1);
    }

    /// Returns whether a table has been read.
    #[must_use]
    pub fn contains(&self, table: &str) -> bool {
        self.lock().contains_key(table)
    }

    /// Returns the last known value of a row, also of a removed one, as base for patches.
    #[must_use]
    pub fn value(&self, table: &str, key: &str) -> Option<Bytes> {
        let tables = self.lock();
        let entry = tables.get(table)?.rows.get(key)?;
        entry.values.newest().cloned()
    }

    /// Returns the hashes of the last known values, also of removed rows, that are large
    /// enough for patches.
    #[must_use]
    pub fn hashes(&self, table: &str) -> Vec<u64> {
        let tables = self.lock();
        let rows = tables
            .get(table)
            .into_iter()
            .flat_map(|table| table.rows.values());
        rows.filter_map(|entry| entry.values.hash()).collect()
    }

    /// Returns the keys of the cached rows.
    #[must_use]
    pub fn keys(&self, table: &str) -> BTreeSet<String> {
        let tables = self.lock();
        let rows = tables.get(table).into_iter().flat_map(|table| &table.rows);
        let present = rows.filter(|(_, entry)| !entry.is_removed);
        present.map(|(key, _)| key.clone()).collect()
    }

    /// Returns the changes after a revision, for a node that has values with the given hashes.
    ///
    /// Returns all rows when the table was last read in full after that revision, as
    /// rows removed in between are unknown, and none when it has not been read.
    #[must_use]
    pub fn changes_since(&self, table: &str, after: u64, hashes: &[u64]) -> Option<FeedResponse> {
        let mut tables = self.lock();
        let cached = tables.get_mut(table)?;
        let is_full = after < cached.full_revision;
        let age = cached.current_at.elapsed().as_millis();
        let changed = cached.rows.iter_mut().filter(|(_, row)| {
            if is_full {
                !row.is_removed
            } else {
                row.revision > after
            }
        });
        let rows = changed.map(|(key, row)| RowPatch {
            key: key.clone(),
            patch: (!row.is_removed)
                .then(|| row.values.patch(hashes))
                .flatten(),
        });
        Some(FeedResponse {
            rows: rows.collect(),
            is_full,
            revision: cached.revision,
            age_ms: u64::try_from(age).unwrap_or(u64::MAX),
        })
    }

    /// Returns a receiver that is notified of each update.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.update_count.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Table>> {
        lock(&self.tables)
    }
}
