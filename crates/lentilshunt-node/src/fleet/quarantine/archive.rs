//! Writes quarantined requests to the store and reads them from it.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use lentilshunt_core::{
    id::InstanceId,
    quarantine::{Fingerprint, QuarantineStatus, Suspects, Suspicion},
};
use slog::{info, warn};
use tokio::time::timeout_at;

use super::row;
use crate::{
    executor::lock,
    fleet::{Change, TableStore, TableUpdate},
    relay::Shared,
};

/// Interval at which rows are compared with the requests that are still quarantined.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Pause after a write that was not confirmed.
const RETRY_PAUSE: Duration = Duration::from_millis(800);

/// Keeps quarantined requests in rows of the store.
///
/// A node whose upstream was lost with the request in flight writes the row, and removes it once
/// the quarantine has expired.
#[derive(Debug)]
pub struct Archive {
    shared: Arc<Shared>,
    suspects: Arc<Suspects>,
    store: Arc<dyn TableStore>,
    table: String,
    /// Rows that the store has, as far as this node knows.
    rows: Mutex<BTreeMap<Fingerprint, Vec<Suspicion>>>,
}

/// A row to be written or removed.
#[derive(Debug)]
struct Edit {
    request: Fingerprint,
    /// Suspicions to be written, or `None` for a row to be removed.
    suspicions: Option<Vec<Suspicion>>,
}

impl Archive {
    /// Creates an archive in a table that nodes also use for their own rows.
    #[must_use]
    pub fn new(
        shared: Arc<Shared>,
        suspects: Arc<Suspects>,
        store: Arc<dyn TableStore>,
        table: String,
    ) -> Self {
        Self {
            shared,
            suspects,
            store,
            table,
            rows: Mutex::default(),
        }
    }

    /// Applies the rows of requests in an update of the table, and returns the other rows.
    ///
    /// A row that was read before does not extend its quarantine.
    pub fn apply_update(&self, mut update: TableUpdate, now: Instant) -> TableUpdate {
        let changes = update.changes_mut();
        let (own, others): (Vec<_>, _) = std::mem::take(changes)
            .into_iter()
            .partition(|change| row::is_key(&change.key));
        *changes = others;
        let mut rows = lock(&self.rows);
        let before = match update {
            TableUpdate::Full(_) | TableUpdate::Restored(_) => std::mem::take(&mut *rows),
            TableUpdate::Incremental(_) => rows.clone(),
        };
        for Change { key, value } in own {
            let Some(request) = row::parse_key(&key) else {
                warn!(self.shared.log, "row ignored, its key names no request"; "key" => key);
                continue;
            };
            let Some(value) = value else {
                rows.remove(&request);
                continue;
            };
            let suspicions = row::decode_value(request, &value);
            if before.get(&request) != Some(&suspicions) {
                self.merge(&suspicions, now);
            }
            rows.insert(request, suspicions);
        }
        drop(rows);
        self.shared.suspicions_changed.notify_one();
        update
    }

    fn merge(&self, suspicions: &[Suspicion], now: Instant) {
        for suspicion in suspicions {
            self.suspects.merge(suspicion, now);
        }
        info!(self.shared.log, "quarantined request read from the store";
            "lost" => suspicions.iter().map(|suspicion| &*suspicion.instance).collect::<Vec<_>>().join(","));
    }

    /// Writes and removes rows until the returned future is dropped.
    pub async fn run(&self) {
        loop {
            let wake_at = if self.synchronize().await {
                Instant::now() + CHECK_INTERVAL
            } else {
                Instant::now() + RETRY_PAUSE
            };
            let changed = self.shared.suspicions_changed.notified();
            if self.is_idle() {
                changed.await;
            } else {
                // Without a change, the rows are checked for expired ones.
                let _is_elapsed = timeout_at(wake_at.into(), changed).await.is_err();
            }
        }
    }

    /// Returns whether there is neither a row nor a quarantined request.
    fn is_idle(&self) -> bool {
        lock(&self.rows).is_empty() && self.suspects.quarantined(Instant::now()).is_empty()
    }

    /// Writes the rows that are missing and removes those that are no longer needed.
    ///
    /// Returns whether all writes were confirmed.
    async fn synchronize(&self) -> bool {
        let mut is_confirmed = true;
        for edit in self.edits(Instant::now()) {
            is_confirmed &= self.apply(edit).await;
        }
        is_confirmed
    }

    fn edits(&self, now: Instant) -> Vec<Edit> {
        let rows = lock(&self.rows);
        let quarantined = self.suspects.quarantined(now);
        let missing = quarantined
            .into_iter()
            .filter(|(request, suspicions)| !rows.contains_key(request) && self.is_own(suspicions))
            .map(|(request, suspicions)| Edit {
                request,
                suspicions: Some(suspicions),
            });
        let is_expired = |request: &Fingerprint| {
            self.suspects.status(*request, now) != QuarantineStatus::Quarantined
        };
        let expired = rows
            .iter()
            .filter(|(request, suspicions)| is_expired(request) && self.removes(suspicions))
            .map(|(request, _)| Edit {
                request: *request,
                suspicions: None,
            });
        missing.chain(expired).collect()
    }

    /// Returns whether the local upstream was lost with the request in flight.
    fn is_own(&self, suspicions: &[Suspicion]) -> bool {
        let local = &self.shared.locality.instance;
        suspicions
            .iter()
            .any(|suspicion| suspicion.instance == *local)
    }

    /// Returns whether this node removes a row: its writers do so, or the first node by preference
    /// if all of them are gone.
    fn removes(&self, suspicions: &[Suspicion]) -> bool {
        if self.is_own(suspicions) {
            return true;
        }
        let directory = self.shared.directory.load();
        let nodes = directory.coordinators();
        let is_known = |instance: &InstanceId| nodes.iter().any(|(node, _)| node == instance);
        let is_orphaned = !suspicions
            .iter()
            .any(|suspicion| is_known(&suspicion.instance));
        let first = nodes.first().map(|(instance, _)| instance);
        is_orphaned && first == Some(&self.shared.locality.instance)
    }

    /// Writes or removes a row, and returns whether the store has confirmed it.
    async fn apply(&self, edit: Edit) -> bool {
        let Edit {
            request,
            suspicions,
        } = edit;
        let key = row::key(request);
        let value = suspicions.as_deref().map(row::encode_value);
        let written = self.store.write(&self.table, &key, value).await;
        let log = &self.shared.log;
        if let Err(error) = written {
            warn!(log, "write of a quarantined request not confirmed"; "error" => %error);
            return false;
        }
        let mut rows = lock(&self.rows);
        let edit = if let Some(suspicions) = suspicions {
            rows.insert(request, suspicions);
            "written"
        } else {
            rows.remove(&request);
            "removed"
        };
        drop(rows);
        metrics::counter!("lentilshunt_quarantine_writes_total", "edit" => edit).increment(1);
        info!(log, "row of a quarantined request changed"; "edit" => edit);
        true
    }
}
