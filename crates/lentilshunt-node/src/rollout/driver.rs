//! Exchanges reports and plans with the coordinator.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::{Method, Request, Uri};
use lentilshunt_core::rollout::Report;
use slog::info;
use tokio::time::sleep;

use super::{Coordinator, Reply};
use crate::{
    fleet::TableStore,
    relay::{Executor, Pool, Shared, body::full},
};

/// Interval between two reports of a node.
const INTERVAL: Duration = Duration::from_millis(300);
/// Time limit for the reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which a node that has not replied is no coordinator for this one.
const COOLDOWN: Duration = Duration::from_secs(3);
/// Number of nodes that may be coordinator, in order of preference.
const MAX_COORDINATORS: usize = 3;

/// Exchanges reports and plans with the coordinator, while an order is open.
#[derive(Debug)]
pub struct Driver {
    shared: Arc<Shared>,
    executor: Arc<Executor>,
    coordinator: Arc<Coordinator>,
    store: Arc<dyn TableStore>,
    pool: Arc<Pool>,
    /// Instant until which each node that has not replied is passed over.
    cooldowns: HashMap<SocketAddr, Instant>,
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
            shared,
            executor,
            coordinator,
            store,
            pool,
            cooldowns: HashMap::new(),
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
        self.cooldowns.retain(|_, until| *until > now);
        let directory = self.shared.directory.load_full();
        let candidates = directory.coordinators().iter().take(MAX_COORDINATORS);
        let mut available = candidates.filter(|(_, address)| !self.cooldowns.contains_key(address));
        let reply = match available.next() {
            Some((instance, _)) if *instance == report.node => {
                self.coordinator.settle(report.clone())
            }
            Some((_, address)) => {
                let reply = self.send(*address, &report, now).await;
                if reply.is_none() {
                    self.cooldowns.insert(*address, now + COOLDOWN);
                }
                reply.flatten()
            }
            None => None,
        };
        if let Some(reply) = reply {
            self.shared.rollouts.apply(&report, reply, now);
        }
    }

    /// Returns the coordinator's reply; the inner value is `None` if it does not know the order.
    #[allow(clippy::option_option, reason = "the outer one is for a lost reply")]
    async fn send(
        &self,
        address: SocketAddr,
        report: &Report,
        now: Instant,
    ) -> Option<Option<Reply>> {
        let body = rmp_serde::to_vec(report).ok()?;
        let mut request = Request::new(full(body));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = Uri::from_static(Coordinator::PATH);
        let deadline = now + REPLY_TIMEOUT;
        let fetched = self
            .pool
            .fetch(address, request, deadline, Coordinator::MAX_BYTES)
            .await;
        match fetched {
            Ok(response) if response.body().is_empty() => Some(None),
            Ok(response) => Some(rmp_serde::from_slice(response.body()).ok()),
            Err(error) => {
                info!(self.shared.log, "coordinator has not replied"; "address" => %address,
                    "problem" => %error);
                None
            }
        }
    }
}
