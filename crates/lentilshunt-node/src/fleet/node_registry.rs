//! The nodes that are registered in the store.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Instant,
};

use lentilshunt_core::{
    encoding,
    id::InstanceId,
    membership::{Missing, Record, View, address_of, rendezvous_weight},
};
use slog::{info, warn};
use tokio::sync::watch;

use super::{Change, Registration, watch::TableUpdate};
use crate::relay::{Directory, Shared};

/// Minimum number of nodes in a failure domain for one of them to read the store for all.
///
/// A reader uses shorter long polls than other nodes, so with fewer nodes it is
/// cheaper that each reads the store itself.
const MIN_SHARED_READ_NODES: usize = 6;
/// Rendezvous key of the reader, which decides between links of equal bandwidth.
const READER_ROLE: &str = "reader";
/// Rendezvous key of the node that decides for the fleet.
const COORDINATOR_ROLE: &str = "coordinator";

/// What is known of the registered nodes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Listing {
    /// The table of nodes has not been read.
    #[default]
    Unread,
    /// No node is registered, as when all nodes start for the first time.
    Empty,
    /// Each node reads the store itself.
    WithoutReader,
    /// One node reads the store for the local failure domain.
    WithReader,
}

/// What a store that has come back from an older copy lists of the local node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Restoration {
    /// Record of the local node in the restored table; `None` if the table lacks it.
    pub own_record: Option<Record>,
}

/// Registrations of all nodes, from which the directory of endpoints is built.
#[derive(Debug)]
pub struct NodeRegistry {
    shared: Arc<Shared>,
    listing: watch::Sender<Listing>,
    restorations: watch::Sender<Restoration>,
    missing: Missing,
    registrations: BTreeMap<InstanceId, Registration>,
}

impl NodeRegistry {
    /// Creates an empty registry.
    #[must_use]
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            listing: watch::Sender::default(),
            restorations: watch::Sender::default(),
            missing: Missing::default(),
            registrations: BTreeMap::new(),
        }
    }

    /// Returns a receiver of what is known of the registered nodes.
    #[must_use]
    pub fn listing(&self) -> watch::Receiver<Listing> {
        self.listing.subscribe()
    }

    /// Returns a receiver that is notified when the store has come back from an older copy.
    #[must_use]
    pub fn restorations(&self) -> watch::Receiver<Restoration> {
        self.restorations.subscribe()
    }

    /// Applies an update of the table and publishes the endpoints.
    ///
    /// A node that a restored table lacks stays in use for a while, in which it can write its row
    /// again; see [`remove_missing`](Self::remove_missing).
    pub fn apply_update(&mut self, update: TableUpdate, now: Instant) {
        match update {
            TableUpdate::Full(changes) => {
                self.registrations.clear();
                self.missing = Missing::default();
                self.apply_changes(changes);
            }
            TableUpdate::Incremental(changes) => self.apply_changes(changes),
            TableUpdate::Restored(changes) => self.apply_restored(changes, now),
        }
        self.publish_directory();
    }

    /// Removes the nodes that have been missing for too long since the store was restored, and
    /// returns when to call this again.
    pub fn remove_missing(&mut self, now: Instant) -> Option<Instant> {
        let expired = self.missing.take_expired(now);
        for instance in &expired {
            self.registrations.remove(instance);
            info!(self.shared.log, "node removed, it has not returned to the restored store";
                "node" => instance);
        }
        if !expired.is_empty() {
            self.publish_directory();
        }
        self.missing.next_deadline()
    }

    fn apply_changes(&mut self, changes: Vec<Change>) {
        for change in changes {
            self.apply_change(change);
        }
    }

    /// Applies all rows of a restored table, which may be older than what is known.
    fn apply_restored(&mut self, changes: Vec<Change>, now: Instant) {
        let present: Vec<_> = changes
            .into_iter()
            .filter(|change| change.value.is_some())
            .collect();
        let listed: BTreeSet<_> = present.iter().map(|change| change.key.clone()).collect();
        let known = self.registrations.keys();
        let missing: Vec<_> = known
            .filter(|key| !listed.contains(*key))
            .cloned()
            .collect();
        for instance in &missing {
            self.missing.record(instance, now);
        }
        info!(self.shared.log, "table of nodes restored from an older copy";
            "listed" => listed.len(), "missing" => missing.join(","));
        let own = &self.shared.locality.instance;
        let own_row = present.iter().find(|change| change.key == *own);
        let own_value = own_row.and_then(|change| change.value.as_ref());
        let own_record = own_value
            .and_then(|value| encoding::decode::<Registration>(value).ok())
            .map(|registration| registration.record);
        self.apply_changes(present);
        self.restorations.send_replace(Restoration { own_record });
    }

    /// Publishes the endpoints of the registered nodes.
    fn publish_directory(&self) {
        let records = self
            .registrations
            .values()
            .map(|registration| &registration.record);
        let view = View::new(records);
        let directory = Directory::new(&view.endpoints, &self.shared.locality);
        let candidates = self.reader_candidates();
        let listing = match (self.registrations.is_empty(), candidates.is_empty()) {
            (true, _) => Listing::Empty,
            (false, true) => Listing::WithoutReader,
            (false, false) => Listing::WithReader,
        };
        let directory = directory
            .with_reader_candidates(candidates)
            .with_coordinators(by_preference(self.registrations.values(), COORDINATOR_ROLE));
        self.shared.directory.store(Arc::new(directory));
        self.listing.send_replace(listing);
    }

    /// Returns the nodes of the local failure domain in the order in which they are
    /// chosen as reader of the store, or none if each node reads the store itself.
    ///
    /// The link of a reader carries all that it reads and sends.
    fn reader_candidates(&self) -> Vec<(InstanceId, SocketAddr)> {
        let domain = &self.shared.locality.domain;
        let local = self.registrations.values();
        let local = local.filter(|registration| registration.record.domain == *domain);
        let candidates = by_preference(local, READER_ROLE);
        if candidates.len() < MIN_SHARED_READ_NODES {
            return Vec::new();
        }
        candidates
    }

    /// Returns whether a node has since written a newer record, which the store has lost.
    fn is_outdated(&self, record: &Record) -> bool {
        let known = self.registrations.get(&record.instance);
        known.is_some_and(|Registration { record: known, .. }| {
            known.incarnation == record.incarnation && known.sequence > record.sequence
        })
    }

    fn apply_change(&mut self, change: Change) {
        let Change { key, value } = change;
        let log = &self.shared.log;
        self.missing.resolve(&key);
        let Some(value) = value else {
            self.registrations.remove(&key);
            info!(log, "node removed"; "node" => key);
            return;
        };
        match encoding::decode::<Registration>(&value) {
            Ok(registration) if registration.record.instance == key => {
                let record = &registration.record;
                if address_of(record).is_none() {
                    warn!(log, "node registration without a usable address, row ignored";
                        "node" => &key, "address" => &record.address);
                    return;
                }
                if self.is_outdated(record) {
                    info!(log, "older row of a node ignored"; "node" => &key,
                        "sequence" => record.sequence);
                    return;
                }
                info!(log, "node registration received"; "node" => &key,
                    "address" => &record.address, "service" => &record.service,
                    "phase" => %record.phase);
                self.registrations.insert(key, registration);
            }
            Ok(Registration { record, .. }) => {
                warn!(log, "row ignored, its key is not the instance of its record"; "node" => key,
                    "instance" => record.instance);
            }
            Err(error) => {
                warn!(log, "node registration cannot be decoded, row ignored"; "node" => key,
                    "error" => %error);
            }
        }
    }
}

/// Returns nodes in the order in which they are chosen for a role.
///
/// A link of high bandwidth is preferred.
fn by_preference<'a>(
    registrations: impl Iterator<Item = &'a Registration>,
    role: &str,
) -> Vec<(InstanceId, SocketAddr)> {
    let mut candidates: Vec<_> = registrations.collect();
    candidates.sort_by_key(|registration| {
        let rendezvous_weight = rendezvous_weight(&registration.record.instance, role);
        Reverse((registration.link_mbps, rendezvous_weight))
    });
    candidates
        .into_iter()
        .filter_map(|Registration { record, .. }| {
            Some((record.instance.clone(), address_of(record)?))
        })
        .collect()
}
