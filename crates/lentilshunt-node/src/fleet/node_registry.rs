//! The nodes that are registered in the store.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr, sync::Arc};

use lentilshunt_core::{
    id::InstanceId,
    membership::{View, rendezvous_weight},
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

/// Registrations of all nodes, from which the directory of endpoints is built.
#[derive(Debug)]
pub struct NodeRegistry {
    shared: Arc<Shared>,
    listing: watch::Sender<Listing>,
    registrations: BTreeMap<InstanceId, Registration>,
}

impl NodeRegistry {
    /// Creates an empty registry.
    #[must_use]
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            listing: watch::Sender::default(),
            registrations: BTreeMap::new(),
        }
    }

    /// Returns a receiver of what is known of the registered nodes.
    #[must_use]
    pub fn listing(&self) -> watch::Receiver<Listing> {
        self.listing.subscribe()
    }

    /// Applies an update of the table and publishes the endpoints.
    pub fn apply_update(&mut self, update: TableUpdate) {
        let changes = match update {
            TableUpdate::Full(changes) | TableUpdate::Restored(changes) => {
                self.registrations.clear();
                changes
            }
            TableUpdate::Incremental(changes) => changes,
        };
        for change in changes {
            self.apply_change(change);
        }
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
        let directory = directory.with_reader_candidates(candidates);
        self.shared.directory.store(Arc::new(directory));
        self.listing.send_replace(listing);
    }

    /// Returns the nodes of the local failure domain in the order in which they are
    /// chosen as reader of the store, or none if each node reads the store itself.
    ///
    /// A link of high bandwidth is preferred, since it carries all that the reader
    /// reads and sends.
    fn reader_candidates(&self) -> Vec<(InstanceId, SocketAddr)> {
        let domain = &self.shared.locality.domain;
        let mut candidates: Vec<_> = self
            .registrations
            .values()
            .filter(|registration| registration.record.domain == *domain)
            .collect();
        if candidates.len() < MIN_SHARED_READ_NODES {
            return Vec::new();
        }
        candidates.sort_by_key(|registration| {
            let rendezvous_weight = rendezvous_weight(&registration.record.instance, READER_ROLE);
            Reverse((registration.link_mbps, rendezvous_weight))
        });
        candidates
            .into_iter()
            .filter_map(|Registration { record, .. }| {
                Some((record.instance.clone(), record.address.parse().ok()?))
            })
            .collect()
    }

    fn apply_change(&mut self, change: Change) {
        let Change { key, value } = change;
        let log = &self.shared.log;
        let Some(value) = value else {
            self.registrations.remove(&key);
            info!(log, "node removed"; "node" => key);
            return;
        };
        match rmp_serde::from_slice::<Registration>(&value) {
            Ok(registration) if registration.record.instance == key => {
                let record = &registration.record;
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
