//! What a node has read of the store.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use tokio::sync::watch;

use super::{Answer, Difference, Patch};
use crate::fleet::{Changes, Page};

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
    value: Option<Bytes>,
    /// Value before, and the patch from it.
    before: Option<Bytes>,
    patch: Option<Patch>,
}

impl Cache {
    /// Takes a whole table that was current `age` ago.
    pub fn replace(&self, table: &str, page: &Page, age: Duration) {
        let rows = page.rows.iter().map(|row| {
            let entry = Entry {
                revision: page.revision,
                value: Some(row.value.clone()),
                ..Entry::default()
            };
            (row.key.clone(), entry)
        });
        let read = Table {
            base: page.revision,
            revision: page.revision,
            fresh_at: before(age),
            rows: rows.collect(),
        };
        self.lock().insert(table.to_owned(), read);
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
            if entry.value != change.value {
                entry.before = std::mem::replace(&mut entry.value, change.value.clone());
                entry.patch = None;
            }
            entry.revision = changes.revision;
        }
        drop(tables);
        self.changed.send_modify(|changed| *changed += 1);
    }

    /// Returns a value that is held.
    #[must_use]
    pub fn value(&self, table: &str, key: &str) -> Option<Bytes> {
        self.lock().get(table)?.rows.get(key)?.value.clone()
    }

    /// Returns the changes after a revision.
    ///
    /// Returns none when the table has not been read, or was read after that
    /// revision, so that removed rows are not known.
    #[must_use]
    pub fn answer(&self, table: &str, after: u64) -> Option<Answer> {
        let mut tables = self.lock();
        let held = tables.get_mut(table)?;
        if after < held.base {
            return None;
        }
        let age = held.fresh_at.elapsed().as_millis();
        let changed = held.rows.iter_mut().filter(|(_, row)| row.revision > after);
        let differences = changed.map(|(key, row)| Difference {
            key: key.clone(),
            patch: row.patch(),
        });
        Some(Answer {
            differences: differences.collect(),
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
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Entry {
    /// Returns the patch from the value before; it is made once for all receivers.
    fn patch(&mut self) -> Option<Patch> {
        let value = self.value.as_ref()?;
        if self.patch.is_none() {
            self.patch = Some(Patch::between(self.before.as_ref(), value));
        }
        self.patch.clone()
    }
}

fn before(age: Duration) -> Instant {
    let now = Instant::now();
    now.checked_sub(age).unwrap_or(now)
}
