//! The nodes that have written themselves into the store.

use std::{collections::BTreeMap, sync::Arc};

use lentilshunt_core::{
    id::{InstanceId, VersionId},
    membership::{Record, View},
};
use slog::{info, warn};

use super::{Change, follow::News};
use crate::relay::{Directory, Shared};

/// Records of all nodes, from which the directory of endpoints is built.
#[derive(Debug)]
pub struct Book {
    shared: Arc<Shared>,
    records: BTreeMap<InstanceId, Record>,
}

impl Book {
    /// Creates a book without records.
    #[must_use]
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            records: BTreeMap::new(),
        }
    }

    /// Takes what was read of the table and publishes the endpoints.
    pub fn take(&mut self, news: News) -> VersionId {
        let changes = match news {
            News::All(changes) => {
                self.records.clear();
                changes
            }
            News::Some(changes) => changes,
        };
        for change in changes {
            self.apply(change);
        }
        let view = View::new(self.records.values());
        let directory = Directory::new(&view.endpoints, &self.shared.place);
        self.shared.directory.store(Arc::new(directory));
        0
    }

    fn apply(&mut self, change: Change) {
        let Change { key, value } = change;
        let log = &self.shared.log;
        let Some(value) = value else {
            self.records.remove(&key);
            info!(log, "node removed"; "node" => key);
            return;
        };
        match rmp_serde::from_slice::<Record>(&value) {
            Ok(record) if record.instance == key => {
                info!(log, "node known"; "node" => &key, "address" => &record.address,
                    "service" => &record.service, "phase" => %record.phase);
                self.records.insert(key, record);
            }
            Ok(record) => {
                warn!(log, "record of another node"; "node" => key, "instance" => record.instance);
            }
            Err(error) => {
                warn!(log, "record cannot be read"; "node" => key, "error" => %error);
            }
        }
    }
}
