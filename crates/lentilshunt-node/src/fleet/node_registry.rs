//! The nodes that have written themselves into the store.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr, sync::Arc};

use lentilshunt_core::{
    id::InstanceId,
    membership::{View, weight},
};
use slog::{info, warn};

use super::{Change, Registration, watch::TableUpdate};
use crate::relay::{Directory, Shared};

/// Nodes of a failure domain from which on one of them reads the store for all.
///
/// A reader asks the store more often, so that few nodes cost less by themselves.
const MIN_DOMAIN: usize = 6;
/// Role of the node that reads the store, for the choice among equal links.
const ROLE: &str = "reader";

/// Records of all nodes, from which the directory of endpoints is built.
#[derive(Debug)]
pub struct NodeRegistry {
    shared: Arc<Shared>,
    registrations: BTreeMap<InstanceId, Registration>,
}

impl NodeRegistry {
    /// Creates a registry without records.
    #[must_use]
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            registrations: BTreeMap::new(),
        }
    }

    /// Takes what was read of the table and publishes the endpoints.
    pub fn apply_update(&mut self, update: TableUpdate) {
        let changes = match update {
            TableUpdate::Full(changes) => {
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
        let directory = Directory::new(&view.endpoints, &self.shared.place);
        let directory = directory.with_readers(self.readers());
        self.shared.directory.store(Arc::new(directory));
    }

    /// Returns the nodes of the own failure domain, the one to read the store first.
    ///
    /// A wide link is preferred, since what the reader reads and tells passes it.
    fn readers(&self) -> Vec<(InstanceId, SocketAddr)> {
        let domain = &self.shared.place.domain;
        let mut own: Vec<_> = self
            .registrations
            .values()
            .filter(|registration| registration.record.domain == *domain)
            .collect();
        if own.len() < MIN_DOMAIN {
            return Vec::new();
        }
        own.sort_by_key(|registration| {
            let weight = weight(&registration.record.instance, ROLE);
            Reverse((registration.link_mbps, weight))
        });
        own.into_iter()
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
                info!(log, "node known"; "node" => &key, "address" => &record.address,
                    "service" => &record.service, "phase" => %record.phase);
                self.registrations.insert(key, registration);
            }
            Ok(Registration { record, .. }) => {
                warn!(log, "record of another node"; "node" => key, "instance" => record.instance);
            }
            Err(error) => {
                warn!(log, "record cannot be read"; "node" => key, "error" => %error);
            }
        }
    }
}
