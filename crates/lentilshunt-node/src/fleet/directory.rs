//! The nodes that have written themselves into the store.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr, sync::Arc};

use lentilshunt_core::{
    id::InstanceId,
    membership::{View, weight},
};
use slog::{info, warn};

use super::{Change, Presence, follow::News};
use crate::relay::{Directory, Shared};

/// Nodes of a failure domain from which on one of them reads the store for all.
///
/// A reader asks the store more often, so that few nodes cost less by themselves.
const MIN_DOMAIN: usize = 6;
/// Role of the node that reads the store, for the choice among equal links.
const ROLE: &str = "reader";

/// Records of all nodes, from which the directory of endpoints is built.
#[derive(Debug)]
pub struct Book {
    shared: Arc<Shared>,
    presences: BTreeMap<InstanceId, Presence>,
}

impl Book {
    /// Creates a book without records.
    #[must_use]
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            presences: BTreeMap::new(),
        }
    }

    /// Takes what was read of the table and publishes the endpoints.
    pub fn take(&mut self, news: News) {
        let changes = match news {
            News::All(changes) => {
                self.presences.clear();
                changes
            }
            News::Some(changes) => changes,
        };
        for change in changes {
            self.apply(change);
        }
        let records = self.presences.values().map(|presence| &presence.record);
        let view = View::new(records);
        let directory = Directory::new(&view.endpoints, &self.shared.locality);
        let directory = directory.with_readers(self.readers());
        self.shared.directory.store(Arc::new(directory));
    }

    /// Returns the nodes of the own failure domain, the one to read the store first.
    ///
    /// A wide link is preferred, since what the reader reads and tells passes it.
    fn readers(&self) -> Vec<(InstanceId, SocketAddr)> {
        let domain = &self.shared.locality.domain;
        let mut own: Vec<_> = self
            .presences
            .values()
            .filter(|presence| presence.record.domain == *domain)
            .collect();
        if own.len() < MIN_DOMAIN {
            return Vec::new();
        }
        own.sort_by_key(|presence| {
            let weight = weight(&presence.record.instance, ROLE);
            Reverse((presence.link_mbps, weight))
        });
        own.into_iter()
            .filter_map(|Presence { record, .. }| {
                Some((record.instance.clone(), record.address.parse().ok()?))
            })
            .collect()
    }

    fn apply(&mut self, change: Change) {
        let Change { key, value } = change;
        let log = &self.shared.log;
        let Some(value) = value else {
            self.presences.remove(&key);
            info!(log, "node removed"; "node" => key);
            return;
        };
        match rmp_serde::from_slice::<Presence>(&value) {
            Ok(presence) if presence.record.instance == key => {
                let record = &presence.record;
                info!(log, "node known"; "node" => &key, "address" => &record.address,
                    "service" => &record.service, "phase" => %record.phase);
                self.presences.insert(key, presence);
            }
            Ok(Presence { record, .. }) => {
                warn!(log, "record of another node"; "node" => key, "instance" => record.instance);
            }
            Err(error) => {
                warn!(log, "record cannot be read"; "node" => key, "error" => %error);
            }
        }
    }
}
