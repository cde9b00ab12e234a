//! Writes departures to the store and reads them from it.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use lentilshunt_core::{encoding, id::InstanceId, leaving::Departure};
use slog::{Logger, info, warn};
use tokio::{
    sync::{Notify, watch},
    time::{sleep_until, timeout_at},
};

use super::{
    Custodian, Transfer,
    row::{self, Row},
};
use crate::{
    executor::lock,
    fleet::{Change, Listing, TableStore, TableUpdate},
    relay::{Executor, Shared},
};

/// Time after which the row of an instance that is no longer listed is removed by another node.
const ORPHAN_LIFETIME: Duration = Duration::from_mins(5);
/// Maximum time for which the acknowledgement of a departure waits, if it is not kept anywhere.
///
/// The upstream waits a second for it.
const MAX_CONFIRMATION_WAIT: Duration = Duration::from_millis(700);
/// Maximum time for which the acknowledgement waits for the store if other nodes have copies.
const MAX_STORE_WAIT: Duration = Duration::from_millis(400);
/// Maximum time for which the acknowledgement waits for another node if the store has the row.
const MAX_COPY_WAIT: Duration = Duration::from_millis(300);
/// Number of copies that suffice while the store does not respond.
const MIN_COPIES: usize = 2;
/// Pause before other nodes are asked again.
const INQUIRY_PAUSE: Duration = Duration::from_millis(100);
/// Initial pause after a write that was not confirmed.
const INITIAL_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Maximum pause after a write that was not confirmed.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(1200);

/// Keeps the departures of the local upstream in the store.
#[derive(Debug)]
pub struct Ledger {
    shared: Arc<Shared>,
    executor: Arc<Executor>,
    custodian: Arc<Custodian>,
    store: Arc<dyn TableStore>,
    table: String,
    /// When the row of each other instance is to be removed if the instance is not listed then.
    orphaned_at: Mutex<BTreeMap<InstanceId, Instant>>,
    /// Notified when the rows may differ from what they should contain.
    changed: Notify,
    /// Departures in the row of the local instance, as far as this node knows.
    stored: watch::Sender<Vec<Departure>>,
    /// Whether the row of the local instance has been read.
    is_read: watch::Sender<bool>,
}

impl Ledger {
    /// Creates a ledger in a table that nodes also use for their own rows.
    #[must_use]
    pub fn new(
        shared: Arc<Shared>,
        executor: Arc<Executor>,
        custodian: Arc<Custodian>,
        store: Arc<dyn TableStore>,
        table: String,
    ) -> Self {
        Self {
            shared,
            executor,
            custodian,
            store,
            table,
            orphaned_at: Mutex::default(),
            changed: Notify::new(),
            stored: watch::Sender::default(),
            is_read: watch::Sender::default(),
        }
    }

    /// Applies the rows of departures in an update of the table, and returns the other rows.
    ///
    /// The first update may be older than the row of the local instance, which then follows. A
    /// restored table may lack rows, which are written again.
    pub fn apply_update(&self, mut update: TableUpdate, now: Instant) -> TableUpdate {
        let changes = update.changes_mut();
        let (own, others): (Vec<_>, _) = std::mem::take(changes)
            .into_iter()
            .partition(|change| row::parse_key(&change.key).is_some());
        *changes = others;
        let is_complete = !matches!(update, TableUpdate::Incremental(_));
        let local = &self.shared.locality.instance;
        let mut listed = BTreeSet::new();
        for Change { key, value } in own {
            let Some(instance) = row::parse_key(&key) else {
                continue;
            };
            if value.is_some() {
                listed.insert(instance.clone());
            }
            if instance != *local {
                self.observe_other(instance, value.as_deref(), now);
            } else if let Some(value) = value {
                self.restore(&value, is_complete, now);
            }
        }
        if is_complete && !listed.contains(local) && !self.stored.borrow().is_empty() {
            metrics::counter!("lentilshunt_departures_lost_total").increment(1);
            info!(
                self.shared.log,
                "departure lost by the store, writing it again"
            );
            self.set_stored(Vec::new(), now);
            self.changed.notify_one();
        }
        match update {
            TableUpdate::Full(_) => self.custodian.retain(&listed),
            TableUpdate::Restored(_) => self.custodian.restore(&listed, now),
            TableUpdate::Incremental(_) => {}
        }
        self.is_read.send_replace(true);
        update
    }

    /// Applies the row of another instance, and keeps the time after which it is no longer needed.
    fn observe_other(&self, instance: InstanceId, value: Option<&[u8]>, now: Instant) {
        let mut orphaned_at = lock(&self.orphaned_at);
        let Some(value) = value else {
            orphaned_at.remove(&instance);
            self.custodian.forget(&instance);
            return;
        };
        if let Some(departures) = self.decode(value) {
            self.custodian.observe(&instance, &departures, now);
        }
        orphaned_at.entry(instance).or_insert(now + ORPHAN_LIFETIME);
        self.changed.notify_one();
    }

    /// Returns the departures in a row, or none and logs the problem if it cannot be decoded.
    fn decode(&self, value: &[u8]) -> Option<Vec<Departure>> {
        match encoding::decode::<Row>(value) {
            Ok(row) => Some(row.into_departures()),
            Err(error) => {
                warn!(self.shared.log, "departure cannot be decoded, row ignored";
                    "error" => %error);
                None
            }
        }
    }

    /// Applies the row of the local instance, which this node may have written before it started
    /// again.
    ///
    /// In a part of the table, it may be older than the last write.
    fn restore(&self, value: &[u8], is_complete: bool, now: Instant) {
        let Some(departures) = self.decode(value) else {
            return;
        };
        let known = self.executor.departed(now);
        for departure in departures.iter().filter(|read| !read.is_among(&known)) {
            info!(self.shared.log, "departure of an upstream read from the store";
                "upstream" => &departure.process, "phase" => %departure.phase,
                "sequence" => departure.sequence);
        }
        self.executor.restore_departures(&departures, now);
        let mut stored = self.stored.borrow().clone().into_iter();
        if is_complete || stored.all(|stored| stored.is_among(&departures)) {
            self.set_stored(departures, now);
        }
        self.changed.notify_one();
    }

    fn set_stored(&self, departures: Vec<Departure>, now: Instant) {
        let local = &self.shared.locality.instance;
        self.custodian.observe(local, &departures, now);
        self.stored.send_replace(departures);
    }

    /// Applies the departures that another node has sent.
    pub(super) fn receive(&self, transfer: Transfer) {
        let now = Instant::now();
        if transfer.instance == self.shared.locality.instance {
            self.executor.restore_departures(&transfer.departures, now);
            self.changed.notify_one();
        }
        self.custodian.receive(transfer, now);
    }

    pub(super) fn log(&self) -> &Logger {
        &self.shared.log
    }

    /// Completes once the row of the local instance has been read.
    pub async fn read(&self) {
        let mut is_read = self.is_read.subscribe();
        // The error is that of a dropped sender, which this borrows.
        let _is_read = is_read.wait_for(|is_read| *is_read).await;
    }

    /// Returns what this node knows of the departures of an instance, or `None` if it has not read
    /// the table since its start and no other node has told it.
    pub(super) fn transfer(&self, instance: &str) -> Option<Transfer> {
        let known = self.custodian.transfer(instance);
        let is_read = *self.is_read.borrow();
        known.or_else(|| is_read.then(|| self.custodian.empty_transfer(instance)))
    }

    /// Learns the departures of the local upstream from other nodes after the start of this one, and
    /// lets the executor believe reports then.
    ///
    /// The store may be away, or may have lost the row. Once the table of nodes has been read, which
    /// `listing` tells, the nodes that keep copies are asked once. Before, a caller is asked, and the
    /// nodes that it names.
    pub async fn inquire(&self, mut listing: watch::Receiver<Listing>) {
        let mut asked = BTreeSet::new();
        let mut named = BTreeSet::new();
        loop {
            let is_listed = *listing.borrow_and_update() != Listing::Unread;
            named.extend(self.custodian.informed_nodes());
            let nodes: BTreeSet<SocketAddr> = named.difference(&asked).copied().collect();
            asked.extend(&nodes);
            let told = self.custodian.inquire_all(nodes).await;
            let has_learned = !told.is_empty();
            for transfer in told {
                named.extend(transfer.nodes.values().copied());
                if !transfer.departures.is_empty() {
                    self.receive(transfer);
                }
            }
            named.remove(&self.custodian.address());
            if is_listed || (has_learned && named.is_subset(&asked)) {
                break;
            }
            if !has_learned {
                asked.clear();
                let again_at = Instant::now() + INQUIRY_PAUSE;
                // The listing changes, or the pause ends.
                let _is_elapsed = timeout_at(again_at.into(), listing.changed())
                    .await
                    .is_err();
            }
        }
        self.executor.set_believes_reports(true);
    }

    /// Writes the departures that the executor knows and sends them to other nodes, in the
    /// background.
    pub fn update(&self) {
        let now = Instant::now();
        self.custodian.keep(&self.executor.departed(now), now);
        self.changed.notify_one();
    }

    /// Waits until a departure outlives this process, for a limited time.
    ///
    /// Returns whether it does: the store has it, and another node unless none responds soon. If the
    /// store does not respond soon, two other nodes suffice, or the only one.
    pub async fn secure(&self, departure: &Departure) -> bool {
        let started_at = Instant::now();
        let copied_by = started_at + MAX_COPY_WAIT;
        let stored_by = started_at + MAX_STORE_WAIT;
        let deadline = started_at + MAX_CONFIRMATION_WAIT;
        let mut stored = self.stored.subscribe();
        let mut holders = self.custodian.holders();
        loop {
            let now = Instant::now();
            let is_stored = departure.is_among(&stored.borrow_and_update());
            let copies = holders.borrow_and_update().len();
            let wanted = self.custodian.wanted_copies();
            let is_secure = if is_stored {
                copies > 0 || wanted == 0 || now >= copied_by
            } else {
                copies > 0 && copies >= wanted.min(MIN_COPIES) && now >= stored_by
            };
            if is_secure || now >= deadline {
                return is_secure;
            }
            let limits = [copied_by, stored_by, deadline];
            let next = limits.into_iter().find(|limit| *limit > now);
            tokio::select! {
                _changed = stored.changed() => {}
                _changed = holders.changed() => {}
                () = sleep_until(next.unwrap_or(deadline).into()) => {}
            }
        }
    }

    /// Writes and removes rows until the returned future is dropped.
    pub async fn run(&self) {
        self.read().await;
        let mut retry_pause = INITIAL_RETRY_PAUSE;
        loop {
            let wake_at = if self.synchronize().await {
                retry_pause = INITIAL_RETRY_PAUSE;
                self.next_removal()
            } else {
                let retry_at = Instant::now() + retry_pause;
                retry_pause = (retry_pause * 2).min(MAX_RETRY_PAUSE);
                Some(retry_at)
            };
            let changed = self.changed.notified();
            match wake_at {
                None => changed.await,
                Some(wake_at) => {
                    // Without a change, rows are removed or a write is repeated.
                    let _is_elapsed = timeout_at(wake_at.into(), changed).await.is_err();
                }
            }
        }
    }

    /// Returns when the next row is to be removed.
    fn next_removal(&self) -> Option<Instant> {
        let own = self.executor.next_departure_expiry();
        let orphaned_at = lock(&self.orphaned_at);
        orphaned_at.values().copied().chain(own).min()
    }

    /// Writes the departures that are known and removes rows that are no longer needed.
    ///
    /// Returns whether all writes were confirmed.
    async fn synchronize(&self) -> bool {
        let now = Instant::now();
        let departures = self.executor.departed(now);
        let is_written = self.write(departures, now).await;
        is_written && self.remove_orphans(now).await
    }

    /// Writes the row of the local instance if it lacks a departure, or removes it if there is none.
    async fn write(&self, departures: Vec<Departure>, now: Instant) -> bool {
        let stored = self.stored.borrow().clone();
        if departures
            .iter()
            .all(|departure| departure.is_among(&stored))
        {
            return !departures.is_empty() || stored.is_empty() || self.remove_own().await;
        }
        let log = &self.shared.log;
        let value = match rmp_serde::to_vec_named(&Row::new(departures.clone())) {
            Ok(value) => value,
            Err(error) => {
                warn!(log, "departure cannot be encoded"; "error" => %error);
                return true;
            }
        };
        let key = row::key(&self.shared.locality.instance);
        let written = self.store.write(&self.table, &key, Some(value.into()));
        if let Err(error) = written.await {
            warn!(log, "write of a departure not confirmed"; "error" => %error);
            return false;
        }
        metrics::counter!("lentilshunt_departure_writes_total", "edit" => "written").increment(1);
        for departure in &departures {
            info!(log, "departure of the upstream written"; "upstream" => &departure.process,
                "phase" => %departure.phase, "sequence" => departure.sequence);
        }
        self.set_stored(departures, now);
        true
    }

    async fn remove_own(&self) -> bool {
        let is_removed = self.remove(&self.shared.locality.instance).await;
        if is_removed {
            self.stored.send_replace(Vec::new());
        }
        is_removed
    }

    /// Removes the rows of instances that are no longer listed, on the first node by preference.
    async fn remove_orphans(&self, now: Instant) -> bool {
        let due: Vec<InstanceId> = {
            let mut orphaned_at = lock(&self.orphaned_at);
            let expired = orphaned_at.extract_if(.., |_, at| *at <= now);
            expired.map(|(instance, _)| instance).collect()
        };
        let directory = self.shared.directory.load_full();
        let nodes = directory.coordinators();
        let local = &self.shared.locality.instance;
        if nodes.first().map(|(instance, _)| instance) != Some(local) {
            return true;
        }
        for instance in due {
            let is_listed = nodes.iter().any(|(node, _)| *node == instance);
            if !is_listed && !self.remove(&instance).await {
                let again_at = now + INITIAL_RETRY_PAUSE;
                lock(&self.orphaned_at).insert(instance, again_at);
                return false;
            }
        }
        true
    }

    async fn remove(&self, instance: &str) -> bool {
        let key = row::key(instance);
        let removed = self.store.write(&self.table, &key, None).await;
        if let Err(error) = removed {
            warn!(self.shared.log, "removal of a departure not confirmed"; "node" => instance,
                "error" => %error);
            return false;
        }
        metrics::counter!("lentilshunt_departure_writes_total", "edit" => "removed").increment(1);
        true
    }
}
