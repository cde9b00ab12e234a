//! Exchanges reports and plans with the coordinator.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use lentilshunt_core::{encoding, rollout::Report};
use slog::info;
use tokio::time::sleep;

use super::{Coordinator, Reply};
use crate::{
    coordination::{self, Client},
    fleet::TableStore,
    relay::{Executor, Pool, Shared},
};

/// Interval between two reports of a node.
const INTERVAL: Duration = Duration::from_millis(300);

/// Exchanges reports and plans with the coordinator, while an order is open.
#[derive(Debug)]
pub struct Driver {
    shared: Arc<Shared>,
    executor: Arc<Executor>,
    coordinator: Arc<Coordinator>,
    store: Arc<dyn TableStore>,
    client: Client,
}

impl Driver {
    /// Creates a driver that sends to other nodes through `pool`.
    #[must_use]
    pub fn new(
        shared: Arc<Shared>,
        executor: Arc<Executor>,
        coordinator: Arc<Coordinator>,
        store: Arc<dyn TableStore>,
        pool: Arc<Pool>,
    ) -> Self {
        Self {
            client: Client::new(Arc::clone(&shared), pool),
            shared,
            executor,
            coordinator,
            store,
        }
    }

    /// Sends reports until it is dropped; without open orders it sends none.
    pub async fn run(mut self) {
        loop {
            sleep(INTERVAL).await;
            let now = Instant::now();
            let upstream = self.executor.upstream(now);
            let version = upstream.as_ref().map(|upstream| &*upstream.report.version);
            let version = version.filter(|version| !version.is_empty());
            let local = (self.shared.service.as_str(), version);
            let node = &self.shared.locality.instance;
            for report in self.shared.rollouts.reports(node, local, now) {
                self.report(report).await;
            }
            self.coordinator.write_outcomes(&*self.store).await;
        }
    }

    async fn report(&mut self, report: Report) {
        let now = Instant::now();
        let reply = match self.client.coordinator(now) {
            Some(coordination::Coordinator::Local) => self.coordinator.settle(report.clone()),
            Some(coordination::Coordinator::Remote(address)) => {
                let limit = Coordinator::MAX_BYTES;
                let reply = self
                    .client
                    .send(address, Coordinator::PATH, &report, limit)
                    .await;
                reply.and_then(|reply| self.decode(&reply))
            }
            None => None,
        };
        if let Some(reply) = reply {
            self.shared.rollouts.apply(&report, reply, now);
        }
    }

    /// Decodes a reply, which is empty if the coordinator does not know the order yet.
    fn decode(&self, reply: &[u8]) -> Option<Reply> {
        if reply.is_empty() {
            return None;
        }
        match encoding::decode(reply) {
            Ok(reply) => Some(reply),
            Err(error) => {
                info!(self.shared.log, "reply of the coordinator cannot be decoded";
                    "error" => %error);
                None
            }
        }
    }
}
