//! Sends reports of the used quotas to the accountant.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use lentilshunt_core::{
    encoding,
    quota::{Reply, Report},
};
use slog::{info, warn};
use tokio::time::sleep;

use super::{Accountant, Meter};
use crate::{
    coordination::{Client, Coordinator},
    relay::{Pool, Shared},
};

/// Minimum interval between two reports of a node.
const MIN_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum interval between two reports that the accountant gets, on average.
const INTERVAL_OF_ALL: Duration = Duration::from_micros(2500);

/// Sends reports of the used quotas to the accountant, and applies its replies.
#[derive(Debug)]
pub struct Reporter {
    shared: Arc<Shared>,
    meter: Arc<Meter>,
    accountant: Arc<Accountant>,
    client: Client,
    /// Whether the last report had a reply, for the log.
    has_accountant: bool,
}

impl Reporter {
    /// Creates a reporter that sends to other nodes through `pool`.
    #[must_use]
    pub fn new(
        shared: Arc<Shared>,
        meter: Arc<Meter>,
        accountant: Arc<Accountant>,
        pool: Arc<Pool>,
    ) -> Self {
        Self {
            client: Client::new(Arc::clone(&shared), pool),
            shared,
            meter,
            accountant,
            has_accountant: true,
        }
    }

    /// Sends reports until it is dropped; without quotas in the rules it sends none.
    pub async fn run(mut self) {
        loop {
            let node_count = self.shared.directory.load().node_count();
            let interval = INTERVAL_OF_ALL * u32::try_from(node_count).unwrap_or(u32::MAX);
            sleep(interval.max(MIN_INTERVAL)).await;
            if self.has_quotas() {
                self.report().await;
            }
        }
    }

    fn has_quotas(&self) -> bool {
        let rules = self.shared.rules.load();
        let organisations = rules.organisations();
        organisations.is_some_and(|directory| {
            let mut organisations = directory.organisations();
            organisations.any(|organisation| organisation.quota.is_some())
        })
    }

    async fn report(&mut self) {
        let sent_at = Instant::now();
        let report = Report {
            node: self.shared.locality.instance.clone(),
            usages: self.meter.lock().take_usages(),
        };
        let reply = match self.client.coordinator(sent_at) {
            Some(Coordinator::Local) => Some(self.accountant.settle(&report)),
            Some(Coordinator::Remote(address)) => {
                let limit = Accountant::MAX_BYTES;
                let reply = self
                    .client
                    .send(address, Accountant::PATH, &report, limit)
                    .await;
                reply.and_then(|reply| self.decode(&reply))
            }
            None => None,
        };
        self.record(reply.is_some());
        match reply {
            Some(reply) => self.meter.lock().apply(&reply, sent_at),
            None => self.meter.lock().restore_usages(report.usages),
        }
    }

    fn decode(&self, reply: &[u8]) -> Option<Reply> {
        match encoding::decode(reply) {
            Ok(reply) => Some(reply),
            Err(error) => {
                info!(self.shared.log, "reply of the accountant cannot be decoded";
                    "error" => %error);
                None
            }
        }
    }

    /// Counts and logs whether there is an accountant.
    fn record(&mut self, has_accountant: bool) {
        if !has_accountant {
            metrics::counter!("lentilshunt_quota_reports_lost_total").increment(1);
        }
        if std::mem::replace(&mut self.has_accountant, has_accountant) != has_accountant {
            if has_accountant {
                info!(self.shared.log, "quotas are accounted again");
            } else {
                warn!(
                    self.shared.log,
                    "no accountant, this node's part of the quotas applies"
                );
            }
        }
    }
}
