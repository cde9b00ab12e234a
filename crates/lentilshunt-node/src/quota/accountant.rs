//! Settles the reports of all nodes.

use std::{
    sync::{Arc, Mutex},
    time::Instant,
};

use bytes::Bytes;
use lentilshunt_core::{
    encoding,
    quota::{Accounts, Reply, Report},
};
use slog::info;

use crate::{executor::lock, relay::Shared};

/// Settles the reports that nodes send to this one.
#[derive(Debug)]
pub struct Accountant {
    shared: Arc<Shared>,
    accounts: Mutex<Accounts>,
}

impl Accountant {
    /// Path of reports.
    pub const PATH: &str = "/.lentilshunt/quota";
    /// Maximum size of a report or a reply, in bytes.
    pub const MAX_BYTES: usize = 1024 * 1024;

    /// Creates an accountant without accounts.
    #[must_use]
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            accounts: Mutex::default(),
        }
    }

    /// Adds what a node has used, and returns which organisations are limited.
    pub fn settle(&self, report: &Report) -> Reply {
        let rules = self.shared.rules.load();
        let Some(organisations) = rules.organisations() else {
            return Reply::default();
        };
        let node_count = self.shared.directory.load().node_count();
        let now = Instant::now();
        let reply = lock(&self.accounts).settle(report, organisations, node_count, now);
        metrics::counter!("lentilshunt_quota_reports_total").increment(1);
        #[allow(clippy::cast_precision_loss, reason = "a gauge needs no exact count")]
        metrics::gauge!("lentilshunt_quota_limited_organisations").set(reply.limits.len() as f64);
        reply
    }

    /// Settles an encoded report; returns `None` if it cannot be decoded.
    #[must_use]
    pub fn settle_encoded(&self, report: &Bytes) -> Option<Vec<u8>> {
        match encoding::decode(report) {
            Ok(report) => rmp_serde::to_vec(&self.settle(&report)).ok(),
            Err(error) => {
                info!(self.shared.log, "quota report cannot be decoded"; "error" => %error);
                None
            }
        }
    }
}
