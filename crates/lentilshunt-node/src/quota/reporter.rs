//! Sends reports of the used quotas to the accountant.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::{Method, Request, Uri};
use lentilshunt_core::{
    id::InstanceId,
    quota::{Reply, Report, Usage},
};
use slog::{info, warn};
use tokio::time::sleep;

use super::{Accountant, Meter};
use crate::relay::{Pool, Shared, body::full};

/// Minimum interval between two reports of a node.
const MIN_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum interval between two reports that the accountant gets, on average.
const INTERVAL_OF_ALL: Duration = Duration::from_micros(2500);
/// Time limit for the reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which a node that has not replied is no accountant for this one.
const COOLDOWN: Duration = Duration::from_secs(3);
/// Number of nodes that may be accountant, in order of preference.
const MAX_ACCOUNTANTS: usize = 3;

/// Sends reports of the used quotas to the accountant, and applies its replies.
#[derive(Debug)]
pub struct Reporter {
    shared: Arc<Shared>,
    meter: Arc<Meter>,
    accountant: Arc<Accountant>,
    pool: Arc<Pool>,
    /// Instant until which each node that has not replied is passed over.
    cooldowns: HashMap<SocketAddr, Instant>,
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
            shared,
            meter,
            accountant,
            pool,
            cooldowns: HashMap::new(),
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
        let usages = self.meter.lock().take_usages();
        let report = Report {
            node: self.shared.locality.instance.clone(),
            usages,
        };
        let reply = match self.accountant(sent_at) {
            Some((instance, _)) if instance == report.node => Some(self.accountant.settle(&report)),
            Some((_, address)) => {
                let reply = self.send(address, &report, sent_at).await;
                if reply.is_none() {
                    self.cooldowns.insert(address, sent_at + COOLDOWN);
                }
                reply
            }
            None => None,
        };
        self.record(reply.is_some());
        match reply {
            Some(reply) => self.meter.lock().apply(&reply, sent_at),
            None => self.restore(report.usages),
        }
    }

    /// Returns the node to report to, or `None` if none has replied lately.
    fn accountant(&mut self, now: Instant) -> Option<(InstanceId, SocketAddr)> {
        self.cooldowns.retain(|_, until| *until > now);
        let directory = self.shared.directory.load();
        let candidates = directory.coordinators().iter().take(MAX_ACCOUNTANTS);
        let mut available = candidates.filter(|(_, address)| !self.cooldowns.contains_key(address));
        available.next().cloned()
    }

    async fn send(&self, address: SocketAddr, report: &Report, sent_at: Instant) -> Option<Reply> {
        let body = rmp_serde::to_vec(report).ok()?;
        let mut request = Request::new(full(body));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = Uri::from_static(Accountant::PATH);
        let deadline = sent_at + REPLY_TIMEOUT;
        let fetched = self
            .pool
            .fetch(address, request, deadline, Accountant::MAX_BYTES)
            .await;
        let problem = match fetched {
            Ok(response) => match rmp_serde::from_slice(response.body()) {
                Ok(reply) => return Some(reply),
                Err(error) => error.to_string(),
            },
            Err(error) => error.to_string(),
        };
        info!(self.shared.log, "accountant has not replied"; "address" => %address,
            "problem" => problem);
        None
    }

    fn restore(&self, usages: Vec<Usage>) {
        self.meter.lock().restore_usages(usages);
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
