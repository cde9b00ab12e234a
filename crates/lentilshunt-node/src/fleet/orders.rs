//! Receives the orders of roll-outs.

use std::{sync::Arc, time::Instant};

use slog::{info, warn};

use super::{Codec, watch::TableUpdate};
use crate::relay::Shared;

/// Receives the orders of roll-outs, which are rows beside the rules.
#[derive(Debug)]
pub struct Orders {
    shared: Arc<Shared>,
    codec: Arc<dyn Codec>,
    key_prefix: String,
}

impl Orders {
    /// Creates a receiver of the rows whose keys begin with `key_prefix`.
    #[must_use]
    pub fn new(shared: Arc<Shared>, codec: Arc<dyn Codec>, key_prefix: String) -> Self {
        Self {
            shared,
            codec,
            key_prefix,
        }
    }

    /// Applies the orders in an update of the table.
    ///
    /// One that cannot be read is logged and leaves an earlier order as it was.
    pub fn apply_update(&self, update: &TableUpdate, now: Instant) {
        let log = &self.shared.log;
        for change in update.changes() {
            let service = change.key.strip_prefix(&self.key_prefix);
            let Some(service) = service.filter(|_| !self.key_prefix.is_empty()) else {
                continue;
            };
            let Some(value) = &change.value else {
                if self.shared.rollouts.remove(service) {
                    info!(log, "roll-out order removed"; "service" => service);
                }
                continue;
            };
            match self.codec.decode_order(value) {
                Ok(order) if order.service == service => {
                    if self.shared.rollouts.add(&order, now) {
                        info!(log, "roll-out ordered"; "service" => service,
                            "version" => &order.version, "seconds" => order.duration.as_secs_f64());
                    }
                }
                Ok(order) => {
                    warn!(log, "roll-out order ignored, its key names another service";
                        "key" => service, "service" => order.service);
                }
                Err(error) => {
                    warn!(log, "roll-out order cannot be read"; "service" => service,
                        "error" => %error);
                }
            }
        }
    }
}
