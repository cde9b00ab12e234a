//! What a node knows of the tables of the store.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

use bytes::Bytes;
use tokio::sync::watch;

use super::{Answer, Difference, History};
use crate::{
    executor::lock,
    fleet::{Changes, Page},
};

/// Rows of the tables that a node follows, with what they were before.
#[derive(Debug, Default)]
pub struct Cache {
    tables: Mutex<HashMap<String, Table>>,
    /// Number of changes so far.
    changed: watch::Sender<u64>,
}

#[derive(Debug)]
struct Table {
    /// Revision at which the table was read whole.
    base: u64,
    revision: u64,
    /// Instant at which the store had nothing newer.
    fresh_at: Instant,
    rows: BTreeMap<String, Entry>,
}

#[derive(Debug, Default)]
struct Entry {
    /// Revision with which the value became known.
    revision: u64,
    is_removed: bool,
    values: History,
}

impl Cache {
    /// Takes a whole table that was current `age` ago.
    pub fn replace(&self, table: &str, page: &Page, age: Duration) {
        let mut tables = self.lock();
        let mut held = tables.remove(table).map(|held| held.rows);
        let rows = page.rows.iter().map(|row| {
            let held = held.as_mut().and_then(|held| held.remove(&row.key));
            let mut entry = Entry {
                revision: page.revision,
                values: held.map(|entry| entry.values).unwrap_or_default(),
                is_removed: false,
            };
            entry.values.push(row.value.clone());
            (row.key.clone(), entry)
        });
        let read = Table {
            base: page.revision,
            revision: page.revision,
            fresh_at: before(age),
            rows: rows.collect(),
        };
        tables.insert(table.to_owned(), read);
        drop(tables);
        self.changed.send_modify(|changed| *changed += 1);
    }

    /// Takes changes that were current `age` ago.
    pub fn apply(&self, table: &str, changes: &Changes, age: Duration) {
        let mut tables = self.lock();
        let Some(held) = tables.get_mut(table) else {
            return;
        };
        held.revision = held.revision.max(changes.revision);
        held.fresh_at = held.fresh_at.max(before(age));
        for change in &changes.changes {
            let entry = held.rows.entry(change.key.clone()).or_default();
            entry.is_removed = change.value.is_none();
            if let Some(value) = &change.value {
                entry.values.push(value.clone());
            }
            entry.revision = changes.revision;
        }
        drop(tables);
        self.changed.send_modify(|changed| *changed += 1);
    }

    /// Returns a value that is held.
    #[must_use]
    pub fn value(&self, table: &str, key: &str) -> Option<Bytes> {
        let tables = self.lock();
        let entry = tables.get(table)?.rows.get(key)?;
        entry.values.newest().cloned()
    }

    /// Returns the hashes of the large values that are held.
    #[must_use]
    pub fn hashes(&self, table: &str) -> Vec<u64> {
        let tables = self.lock();
        let rows = tables
            .get(table)
            .into_iter()
            .flat_map(|held| held.rows.values());
        rows.filter_map(|entry| entry.values.hash()).collect()
    }

    /// Returns the keys of the rows that are held.
    #[must_use]
    pub fn keys(&self, table: &str) -> BTreeSet<String> {
        let tables = self.lock();
        let rows = tables.get(table).into_iter().flat_map(|held| &held.rows);
        let present = rows.filter(|(_, entry)| !entry.is_removed);
        present.map(|(key, _)| key.clone()).collect()
    }

    /// Returns the changes after a revision, for a node that holds values with some hashes.
    ///
    /// Returns all rows when the table was read after that revision, so that
    /// removed ones are not known, and none when it has not been read.
    #[must_use]
    pub fn answer(&self, table: &str, after: u64, hashes: &[u64]) -> Option<Answer> {
        let mut tables = self.lock();
        let held = tables.get_mut(table)?;
        let whole = after < held.base;
        let age = held.fresh_at.elapsed().as_millis();
        let told = held.rows.iter_mut().filter(|(_, row)| {
            if whole {
                !row.is_removed
            } else {
                row.revision > after
            }
        });
        let differences = told.map(|(key, row)| Difference {
            key: key.clone(),
            patch: (!row.is_removed)
                .then(|| row.values.patch(hashes))
                .flatten(),
        });
        Some(Answer {
            differences: differences.collect(),
            whole,
            revision: held.revision,
            age_ms: u64::try_from(age).unwrap_or(u64::MAX),
        })
    }

    /// Returns a receiver that is told of each change.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Table>> {
        lock(&self.tables)
    }
}

fn before(age: Duration) -> Instant {
    let now = Instant::now();
    now.checked_sub(age).unwrap_or(now)
}
